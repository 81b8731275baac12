"""Transfer an owner's keys to its next incarnation across a graceful shutdown.

The platform stores two values per owner: the incarnation record, which names the running
incarnation, and, after a graceful shutdown, a snapshot of the keys it accepted. A new incarnation
first claims the record by compare-and-swap. It knows all accepted keys only if the record it
replaced holds the digest of a snapshot that is present. After a crash, or when the platform is
unreachable, it must assume that earlier keys may have run.
"""

from __future__ import annotations

import hashlib
import uuid
from collections.abc import Mapping
from dataclasses import dataclass, replace

import msgspec
from result import Err, Ok, Result

from dalehollow.errors import PlatformError
from dalehollow.once.table import COMPLETE_FROM_START_MS, KeyRecord, KeyState
from dalehollow.platform.keyvalue import KeyValue

MAX_SNAPSHOT_BYTES = 900_000
_MAX_ATTEMPTS = 3


@dataclass(frozen=True)
class Incarnation:
    """Name an owner's incarnation; `snapshot_digest` is set once it has shut down gracefully."""

    mark: str
    snapshot_digest: str | None = None


@dataclass(frozen=True)
class Snapshot:
    """Hold the records of all tables by service, and the times from which they are complete.

    `others_complete_from_ms` applies to services for which no key was accepted.
    """

    others_complete_from_ms: int
    complete_from_ms: Mapping[str, int]
    records: Mapping[str, Mapping[str, KeyRecord]]


@dataclass(frozen=True)
class Claim:
    """Hold this incarnation's mark, and the previous incarnation's snapshot if it is valid."""

    mark: str
    is_first: bool
    snapshot: Snapshot | None


def _record_key(member: str) -> str:
    return f"incarnation/{member}"


def _snapshot_key(member: str) -> str:
    return f"keys/{member}"


def claim_incarnation(kv: KeyValue, member: str) -> Result[Claim, PlatformError]:
    """Claim to be the owner's running incarnation and load the previous one's snapshot."""
    mark = uuid.uuid4().hex
    found = kv.get(_record_key(member))
    if isinstance(found, Err):
        return Err(found.err_value)
    entry = found.ok_value
    claimed = _swap_record(kv, member, entry.revision, Incarnation(mark))
    if isinstance(claimed, Err):
        return Err(claimed.err_value)
    if entry.revision == 0:
        return Ok(Claim(mark, is_first=True, snapshot=None))
    previous = msgspec.json.decode(entry.value, type=Incarnation)
    snapshot = _read_snapshot(kv, member, previous.snapshot_digest)
    return Ok(Claim(mark, is_first=False, snapshot=snapshot))


def store_snapshot(
    kv: KeyValue, member: str, mark: str, snapshot: Snapshot
) -> Result[int, PlatformError]:
    """Store the keys for the next incarnation; return the snapshot size in bytes.

    Call only after the last request has ended: a key accepted later would be lost.
    """
    data = _encode_snapshot(snapshot)
    if data is None:
        message = f"snapshot exceeds {MAX_SNAPSHOT_BYTES} bytes even without stored responses"
        return Err(PlatformError(message, may_have_written=False))
    record = kv.get(_record_key(member))
    if isinstance(record, Err):
        return Err(record.err_value)
    if msgspec.json.decode(record.ok_value.value, type=Incarnation).mark != mark:
        return Err(
            PlatformError("another incarnation has claimed the record", may_have_written=False)
        )
    written = _overwrite(kv, _snapshot_key(member), data)
    if isinstance(written, Err):
        return Err(written.err_value)
    digest = hashlib.sha256(data).hexdigest()
    ended = _swap_record(kv, member, record.ok_value.revision, Incarnation(mark, digest))
    return Ok(len(data)) if isinstance(ended, Ok) else Err(ended.err_value)


def _swap_record(
    kv: KeyValue, member: str, revision: int, record: Incarnation
) -> Result[None, PlatformError]:
    """Write the record; if the reply is lost, read it back to see whether it was written."""
    value = msgspec.json.encode(record)
    failure = PlatformError("another incarnation claimed the record first", may_have_written=False)
    for _ in range(_MAX_ATTEMPTS):
        swapped = kv.swap(_record_key(member), value, expected_revision=revision)
        if isinstance(swapped, Ok) and swapped.ok_value.succeeded:
            return Ok(None)
        found = kv.get(_record_key(member))
        if isinstance(found, Ok) and found.ok_value.value == value:
            return Ok(None)
        if isinstance(swapped, Ok):
            return Err(failure)
        failure = swapped.err_value
    return Err(failure)


def _overwrite(kv: KeyValue, key: str, value: bytes) -> Result[None, PlatformError]:
    failure = PlatformError("key was changed concurrently on every attempt", may_have_written=False)
    for _ in range(_MAX_ATTEMPTS):
        found = kv.get(key)
        if isinstance(found, Err):
            failure = found.err_value
            continue
        swapped = kv.swap(key, value, expected_revision=found.ok_value.revision)
        if isinstance(swapped, Ok) and swapped.ok_value.succeeded:
            return Ok(None)
        if isinstance(swapped, Err):
            failure = swapped.err_value
    return Err(failure)


def _read_snapshot(kv: KeyValue, member: str, digest: str | None) -> Snapshot | None:
    if digest is None:
        return None
    found = kv.get(_snapshot_key(member))
    if isinstance(found, Err) or hashlib.sha256(found.ok_value.value).hexdigest() != digest:
        return None
    return msgspec.msgpack.decode(found.ok_value.value, type=Snapshot)


def _encode_snapshot(snapshot: Snapshot) -> bytes | None:
    """Encode with the stored responses if they fit, else without; None if still too large."""
    data = msgspec.msgpack.encode(snapshot)
    if len(data) <= MAX_SNAPSHOT_BYTES:
        return data
    without_answers = {
        service: {scope: _drop_answer(record) for scope, record in records.items()}
        for service, records in snapshot.records.items()
    }
    data = msgspec.msgpack.encode(replace(snapshot, records=without_answers))
    return data if len(data) <= MAX_SNAPSHOT_BYTES else None


def _drop_answer(record: KeyRecord) -> KeyRecord:
    return KeyRecord(record.fingerprint, record.state, record.expires_at_ms)


def mark_running_unknown(records: Mapping[str, KeyRecord]) -> dict[str, KeyRecord]:
    """Return the records with those still running marked as unknown."""
    resolved = {}
    for scope, record in records.items():
        state = KeyState.UNKNOWN if record.state is KeyState.RUNNING else record.state
        resolved[scope] = KeyRecord(record.fingerprint, state, record.expires_at_ms, record.answer)
    return resolved


def get_complete_from_ms(
    claim: Claim | None, service: str, started_at_ms: int, bound_ms: int
) -> int:
    """Return the key creation time from which a new incarnation's table is complete."""
    if claim is not None and claim.is_first:
        return COMPLETE_FROM_START_MS
    if claim is not None and claim.snapshot is not None:
        snapshot = claim.snapshot
        return snapshot.complete_from_ms.get(service, snapshot.others_complete_from_ms)
    return started_at_ms + bound_ms
