"""Serve and call HTTP/1.1 over asyncio with httptools: many streams in one small process."""

from __future__ import annotations

from dalehollow.aio.caller import CallerConnection, CallerRequest, Handler, Limits
from dalehollow.aio.client import (
    ClientConnection,
    ConnectError,
    ResponseDroppedError,
    ResponseError,
    ResponseHead,
    connect,
)
from dalehollow.aio.connections import Connections
from dalehollow.memory import MemoryBudget

__all__ = [
    "CallerConnection",
    "CallerRequest",
    "ClientConnection",
    "ConnectError",
    "Connections",
    "Handler",
    "Limits",
    "MemoryBudget",
    "ResponseDroppedError",
    "ResponseError",
    "ResponseHead",
    "connect",
]
