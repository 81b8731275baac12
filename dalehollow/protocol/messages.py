"""Define the messages of the inner protocol, encoded as MessagePack arrays."""

from __future__ import annotations

from typing import Literal

import msgspec


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Tell a peer who is there and which configuration it knows to be current, and when."""

    sender: str
    address: str
    version: int
    confirmed_at_ms: int


class BeatReply(msgspec.Struct, frozen=True, array_like=True, tag="B"):
    """Answer a beat with the load of the upstream behind this sidecar."""

    sender: str
    incarnation_ms: int
    version: int
    confirmed_at_ms: int
    running: int
    waiting: int
    slots: int
    service_ms: float
    is_leaving: bool


class FetchManifest(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Ask a peer for the manifest that it has in force."""


class ManifestJson(msgspec.Struct, frozen=True, array_like=True, tag="F"):
    """Carry a manifest as JSON."""

    manifest_json: bytes


class FetchParts(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """Ask a peer for parts of a configuration by their ids."""

    part_ids: tuple[str, ...]


class Parts(msgspec.Struct, frozen=True, array_like=True, tag="G"):
    """Carry those of the parts asked for that the peer holds."""

    parts: dict[str, bytes]


class Dump(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Ask a process for its state."""

    section: str = ""


class DumpText(msgspec.Struct, frozen=True, array_like=True, tag="D"):
    """Carry a process's state as JSON."""

    state_json: bytes


class VoteQuery(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Put a proposed expert map to a rank's gate, and ask for its vote on it."""

    group: str
    rank: int
    fence: int
    sequence: int
    base_version: int
    switch_step: int
    map_digest: str


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag="V"):
    """Carry one rank's vote, which never changes once it is yes or no."""

    rank: int
    vote: Literal["yes", "no", "pending"]


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Order a rank to load the weights of a new map, given as changes to the one in force.

    A change is (layer, rank, expert that leaves, expert that comes); ranks need all of them,
    since each must know where tokens go.
    """

    group: str
    rank: int
    fence: int
    base_digest: str
    map_digest: str
    changes: tuple[tuple[int, int, int, int], ...]


class PrepareReply(msgspec.Struct, frozen=True, array_like=True, tag="P"):
    """Tell how far a rank is with loading."""

    rank: int
    state: Literal["loading", "loaded", "refused"]


class RankQuery(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Ask a rank's gate for its engine's step, map and counts."""

    group: str
    rank: int


class RankReply(msgspec.Struct, frozen=True, array_like=True, tag="R"):
    """Carry a rank's step, map and tokens for each of its experts since the group began.

    `counts` holds (layer, expert, tokens); `step_ms` is the rank's own part of recent steps.
    """

    rank: int
    step: int
    version: int
    map_digest: str
    is_undecided: bool
    step_ms: float
    counts: tuple[tuple[int, int, int], ...]


class AskShares(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Tell an allocator, for each account, what the sender holds and what it could use a second."""

    sender: str
    accounts: tuple[tuple[str, float, float], ...]


class Shares(msgspec.Struct, frozen=True, array_like=True, tag="S"):
    """Carry what the sender may hold of each account's limit from now on."""

    accounts: tuple[tuple[str, float], ...]


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="x"):
    """Tell that a message could not be answered, and why."""

    message: str


Request = Beat | FetchManifest | FetchParts | Dump | VoteQuery | Prepare | RankQuery | AskShares
Reply = (
    BeatReply
    | ManifestJson
    | Parts
    | DumpText
    | VoteReply
    | PrepareReply
    | RankReply
    | Shares
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
