"""Define the messages of the internal protocol, encoded as MessagePack arrays."""

from __future__ import annotations

from typing import Literal

import msgspec

from dalehollow.protocol.reports import Suspicion


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Announce the sender and the configuration version it last confirmed as current, and when."""

    sender: str
    address: str
    version: int
    confirmed_at_ms: int
    # What is suspected of crashing upstreams, by fingerprint.
    suspects: dict[bytes, Suspicion] = {}


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="B"):
    """Reply to a heartbeat with the load of the sidecar's upstream."""

    sender: str
    incarnation_ms: int
    version: int
    confirmed_at_ms: int
    running: int
    waiting: int
    slots: int
    service_ms: float
    is_leaving: bool
    suspects: dict[bytes, Suspicion] = {}


class FetchManifest(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Request a peer's active manifest."""


class ManifestJson(msgspec.Struct, frozen=True, array_like=True, tag="F"):
    """Return a manifest as JSON."""

    manifest_json: bytes


class FetchParts(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """Request configuration parts by id."""

    part_ids: tuple[str, ...]


class Parts(msgspec.Struct, frozen=True, array_like=True, tag="G"):
    """Return the requested parts that the peer holds."""

    parts: dict[str, bytes]


class Dump(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Request a dump of a process's state."""

    section: str = ""


class DumpText(msgspec.Struct, frozen=True, array_like=True, tag="D"):
    """Return a process's state as JSON."""

    state_json: bytes


class VoteQuery(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Propose an expert map to a rank's gate and request its vote."""

    group: str
    rank: int
    fence: int
    sequence: int
    base_version: int
    switch_step: int
    map_digest: str


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag="V"):
    """Return a rank's vote, which is final once it is yes or no."""

    rank: int
    vote: Literal["yes", "no", "pending"]


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Order a rank to load the weights of a new map, given as changes to the active map.

    A change is (layer, rank, removed expert, added expert). Every rank receives all changes, since
    it must know where to send tokens.
    """

    group: str
    rank: int
    fence: int
    base_digest: str
    map_digest: str
    changes: tuple[tuple[int, int, int, int], ...]


class PrepareReply(msgspec.Struct, frozen=True, array_like=True, tag="P"):
    """Report a rank's loading progress."""

    rank: int
    state: Literal["loading", "loaded", "refused"]


class RankQuery(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Request the step, map and counts of a rank's engine."""

    group: str
    rank: int


class RankReply(msgspec.Struct, frozen=True, array_like=True, tag="R"):
    """Return a rank's step, map and token counts per expert since the group started.

    `counts` holds (layer, expert, tokens); `step_ms` is the rank's own share of recent steps.
    """

    rank: int
    step: int
    version: int
    map_digest: str
    is_undecided: bool
    step_ms: float
    counts: tuple[tuple[int, int, int], ...]


class ShareRequest(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Report the held and usable requests per second of each account to an allocator."""

    sender: str
    accounts: tuple[tuple[str, float, float], ...]


class ShareGrant(msgspec.Struct, frozen=True, array_like=True, tag="S"):
    """Return the share of each account's limit, in requests/s, granted to the recipient."""

    accounts: tuple[tuple[str, float], ...]


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="x"):
    """Report why a message was not processed."""

    message: str


Request = (
    Heartbeat | FetchManifest | FetchParts | Dump | VoteQuery | Prepare | RankQuery | ShareRequest
)
Reply = (
    HeartbeatReply
    | ManifestJson
    | Parts
    | DumpText
    | VoteReply
    | PrepareReply
    | RankReply
    | ShareGrant
    | Refused
)

_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(Request)
_reply_decoder = msgspec.msgpack.Decoder(Reply)


def encode(message: Request | Reply) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode_request(data: bytes) -> Request:
    """Decode a request; raise ValueError for anything else."""
    return _request_decoder.decode(data)


def decode_reply(data: bytes) -> Reply:
    """Decode a reply; raise ValueError for anything else."""
    return _reply_decoder.decode(data)
