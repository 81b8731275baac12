"""Hold the inner protocol: the messages between the system's processes and their links."""

from __future__ import annotations

from dalehollow.protocol.link import ControlServer, PeerLink
from dalehollow.protocol.messages import (
    AskShares,
    Beat,
    BeatReply,
    Dump,
    DumpText,
    FetchManifest,
    FetchParts,
    ManifestJson,
    Parts,
    Prepare,
    PrepareReply,
    RankQuery,
    RankReply,
    Refused,
    Reply,
    Request,
    Shares,
    VoteQuery,
    VoteReply,
)

__all__ = [
    "AskShares",
    "Beat",
    "BeatReply",
    "ControlServer",
    "Dump",
    "DumpText",
    "FetchManifest",
    "FetchParts",
    "ManifestJson",
    "Parts",
    "PeerLink",
    "Prepare",
    "PrepareReply",
    "RankQuery",
    "RankReply",
    "Refused",
    "Reply",
    "Request",
    "Shares",
    "VoteQuery",
    "VoteReply",
]
