"""Hold the inner protocol: the messages between the system's processes.

Links stand in `dalehollow.protocol.link`, which gateways run without.
"""

from __future__ import annotations

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
    "Dump",
    "DumpText",
    "FetchManifest",
    "FetchParts",
    "ManifestJson",
    "Parts",
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
