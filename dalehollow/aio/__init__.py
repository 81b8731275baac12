"""Serve and call HTTP/1.1 over asyncio with httptools: many streams in one small process."""

from __future__ import annotations

from dalehollow.aio.caller import CallerConnection, CallerRequest, Handler, Limits
from dalehollow.aio.client import (
    AnswerHead,
    ClientConnection,
    ConnectError,
    CutError,
    connect,
)

__all__ = [
    "AnswerHead",
    "CallerConnection",
    "CallerRequest",
    "ClientConnection",
    "ConnectError",
    "CutError",
    "Handler",
    "Limits",
    "connect",
]
