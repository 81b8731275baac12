"""Define what gateways tell each other in datagrams, encoded as MessagePack arrays."""

from __future__ import annotations

import zlib

import msgspec


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Hold an item of the store as it was written, or None as value where it was deleted."""

    key: str
    value: bytes | None
    revision: int


class RelayState(msgspec.Struct, frozen=True, array_like=True):
    """Tell up to which revision of the store a relay knows everything, and how long ago it did."""

    revision: int
    age_s: float


class StoreView(msgspec.Struct, frozen=True, array_like=True):
    """Tell what the sender knows of the store, and when the store was there.

    Nothing up to `revision` is missing, 0 where nothing is known. The store answered some gateway
    that the sender hears `answer_age_s` ago, and for `unbroken_s` without an absence in which
    entries could lapse. The era of the revision was heard of `era_heard_s` ago.
    """

    revision: int
    answer_age_s: float
    unbroken_s: float
    era_heard_s: float


class Limit(msgspec.Struct, frozen=True, array_like=True):
    """Tell how many requests a second an upstream takes, None without a limit, and since when."""

    rate_per_s: float | None
    age_s: float


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Tell how long ago a request crashed which upstreams, was answered, and was probed with."""

    crashes: dict[str, float]
    cleared_age_s: float | None = None
    probe_age_s: float | None = None


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Tell the gateways of the own hall what the sender has in hand.

    Ages say how long ago a group last served and last refused as broken. `relay` is set by the
    gateway that follows the store for its hall.
    """

    sender: str
    in_hand: dict[str, int]
    served_age_s: dict[str, float]
    refused_age_s: dict[str, float]
    # Requests at an upstream that no gateway knows of, and how long ago that was found.
    unknown: dict[str, tuple[int, float]]
    relay: RelayState | None = None
    view: StoreView | None = None
    limits: dict[str, Limit] = {}
    # Of requests that may crash upstreams, by fingerprint.
    suspects: dict[bytes, Suspicion] = {}


class HallReport(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Tell another hall what all gateways of the sender's have in hand together."""

    hall: str
    in_hand: dict[str, int]
    served_age_s: dict[str, float]
    refused_age_s: dict[str, float]
    # Set by whoever passes it on within a hall: it goes no further.
    is_passed_on: bool = False
    # The gateway that speaks for its hall.
    sender: str = ""
    view: StoreView | None = None


class HallSignals(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """Tell another hall the limits of upstreams and the requests that may crash them.

    Apart from the sums of loads, which go the more seldom the larger they are.
    """

    hall: str
    limits: dict[str, Limit]
    suspects: dict[bytes, Suspicion]
    is_passed_on: bool = False


class StoreChanges(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Carry all changes of the store after one revision and up to another.

    After revision 0 it carries all items that there are: a key that is not among them is gone.
    `packed` holds them compressed: configurations and plans shrink to a fifth or less.
    """

    after: int
    revision: int
    packed: bytes


class TokenAsk(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Ask the allocator of limited upstreams for so many tokens of each."""

    sender: str
    wanted: dict[str, int]


class TokenGrant(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """Give tokens of limited upstreams; 0 says that the ask was heard."""

    tokens: dict[str, int]


PeerMessage = LoadReport | HallReport | HallSignals | StoreChanges | TokenAsk | TokenGrant

_CHANGES = msgspec.msgpack.Decoder(tuple[Change, ...])
MAX_UNPACKED_BYTES = 1 << 23
"""Eight values of the largest size that the store takes: all items of 1,000 servers, 360 gateways
and a configuration are a third of it. A message that unpacks to more is not one of ours."""


def pack_changes(changes: tuple[Change, ...]) -> bytes:
    """Return changes as a message carries them."""
    return zlib.compress(msgspec.msgpack.encode(changes))


def unpack_changes(packed: bytes) -> tuple[Change, ...]:
    """Return the changes that a message carries; raise ValueError if it carries none."""
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise ValueError(f"changes cannot be unpacked: {exc}") from exc
    return _CHANGES.decode(data)
