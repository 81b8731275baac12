"""Hold the inner protocol: the messages between the system's processes and their links."""

from __future__ import annotations

from dalehollow.protocol.link import ControlServer, PeerLink
from dalehollow.protocol.messages import (
    Beat,
    BeatReply,
    ConfigText,
    Dump,
    DumpText,
    FetchConfig,
    Refused,
    Reply,
    Request,
)

__all__ = [
    "Beat",
    "BeatReply",
    "ConfigText",
    "ControlServer",
    "Dump",
    "DumpText",
    "FetchConfig",
    "PeerLink",
    "Refused",
    "Reply",
    "Request",
]
