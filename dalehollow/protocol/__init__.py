"""Messages of the internal protocol between Dalehollow processes.

The transport is in `dalehollow.protocol.link`, which gateways do not import.
"""

from __future__ import annotations

from dalehollow.protocol.messages import (
    Dump,
    DumpText,
    FetchManifest,
    FetchParts,
    Heartbeat,
    HeartbeatReply,
    ManifestJson,
    Parts,
    Prepare,
    PrepareReply,
    RankQuery,
    RankReply,
    Refused,
    Reply,
    Request,
    ShareGrant,
    ShareRequest,
    VoteQuery,
    VoteReply,
)

__all__ = [
    "Dump",
    "DumpText",
    "FetchManifest",
    "FetchParts",
    "Heartbeat",
    "HeartbeatReply",
    "ManifestJson",
    "Parts",
    "Prepare",
    "PrepareReply",
    "RankQuery",
    "RankReply",
    "Refused",
    "Reply",
    "Request",
    "ShareGrant",
    "ShareRequest",
    "VoteQuery",
    "VoteReply",
]
