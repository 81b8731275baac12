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
    Prepare,
    PrepareReply,
    RankQuery,
    RankReply,
    Refused,
    Reply,
    Request,
    VoteQuery,
    VoteReply,
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
    "Prepare",
    "PrepareReply",
    "RankQuery",
    "RankReply",
    "Refused",
    "Reply",
    "Request",
    "VoteQuery",
    "VoteReply",
]
