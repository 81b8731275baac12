"""Define the datagrams exchanged between gateways, encoded as MessagePack arrays."""

from __future__ import annotations

import zlib

import msgspec


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Hold a written store item; `value` is None if the item was deleted."""

    key: str
    value: bytes | None
    revision: int


class RelayState(msgspec.Struct, frozen=True, array_like=True):
    """Report the store revision up to which a relay is complete, and the age of that state."""

    revision: int
    age_s: float


class StoreView(msgspec.Struct, frozen=True, array_like=True):
    """Report the sender's store data and the store's recent availability.

    The sender has all changes up to `revision`, 0 without data. The store last answered a gateway
    known to the sender `answer_age_s` ago, and has been available for `unbroken_s` without an
    outage long enough for entries to expire. The era of the revision was first seen `era_heard_s`
    ago.
    """

    revision: int
    answer_age_s: float
    unbroken_s: float
    era_heard_s: float


class Run(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identify a run of an upstream: its listed start, or the last one before it was listed.

    `unlisted_runs` counts the runs since that start, as far as the sender detected them.
    """

    started_at_ms: int
    unlisted_runs: int = 0


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """Report a run whose end was detected before a later start was listed, and how long ago."""

    run: Run
    age_s: float


class Limit(msgspec.Struct, frozen=True, array_like=True):
    """Report an upstream's limit in requests per second, None for no limit, and its age.

    `run` reported the limit; None if the sender does not distinguish runs.
    """

    rate_per_s: float | None
    age_s: float
    run: Run | None = None


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Report how long ago requests with a fingerprint crashed upstreams, were answered and probed.

    `companions` are other fingerprints without an answer that all of these requests contained.
    `in_flight_s` is the time for which a request had been in flight, in the order of the crashes.
    """

    crashes: dict[str, float]
    cleared_age_s: float | None = None
    probe_age_s: float | None = None
    companions: list[bytes] = []
    in_flight_s: list[float] = []


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Report the sender's requests in flight to the gateways of its hall.

    The ages give the time since a group last served and last refused as broken. `relay` is set by
    the gateway that follows the store for its hall.
    """

    sender: str
    in_flight_counts: dict[str, int]
    served_age_s: dict[str, float]
    refused_age_s: dict[str, float]
    # Requests at an upstream that no gateway accounts for, and the age of that observation.
    unknown: dict[str, tuple[int, float]]
    relay: RelayState | None = None
    view: StoreView | None = None
    limits: dict[str, Limit] = {}
    # What is suspected of crashing upstreams, by fingerprint.
    suspects: dict[bytes, Suspicion] = {}
    # By incarnation.
    ended_runs: dict[str, EndedRun] = {}


class HallReport(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Report the total requests in flight of the sender's hall to another hall."""

    hall: str
    in_flight_counts: dict[str, int]
    served_age_s: dict[str, float]
    refused_age_s: dict[str, float]
    # Set when the report is forwarded within a hall; it is not forwarded again.
    is_passed_on: bool = False
    # The gateway that reports for its hall.
    sender: str = ""
    view: StoreView | None = None


class HallSignals(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """Report upstream limits, suspected requests and ended runs to another hall.

    Sent separately from `HallReport`, which is sent less often the larger it is.
    """

    hall: str
    limits: dict[str, Limit]
    suspects: dict[bytes, Suspicion]
    is_passed_on: bool = False
    ended_runs: dict[str, EndedRun] = {}


class StoreChanges(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Carry all store changes after one revision up to and including another.

    With `after` 0 it carries all existing items, and any other key is deleted. `packed` holds
    compressed changes: configurations and plans compress to a fifth of their size or less.
    """

    after: int
    revision: int
    packed: bytes


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Request tokens for rate-limited upstreams from their allocator."""

    sender: str
    wanted: dict[str, int]


class TokenGrant(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """Grant tokens for rate-limited upstreams; 0 only acknowledges the request."""

    tokens: dict[str, int]


PeerMessage = LoadReport | HallReport | HallSignals | StoreChanges | TokenRequest | TokenGrant

_CHANGES = msgspec.msgpack.Decoder(tuple[Change, ...])
MAX_UNPACKED_BYTES = 1 << 23
"""Eight times the largest value that the store accepts; all items of 1,000 servers, 360 gateways
and a configuration need a third of it. No gateway sends a message that unpacks to more."""


def pack_changes(changes: tuple[Change, ...]) -> bytes:
    """Encode and compress changes for a message."""
    return zlib.compress(msgspec.msgpack.encode(changes))


def unpack_changes(packed: bytes) -> tuple[Change, ...]:
    """Return the changes in a message; raise ValueError if they cannot be decoded."""
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise ValueError(f"cannot decompress changes: {exc}") from exc
    return _CHANGES.decode(data)
