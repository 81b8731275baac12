"""Messages of the internal protocol between Dalehollow processes.

The transport is in `dalehollow.protocol.link`, which gateways do not import.
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
