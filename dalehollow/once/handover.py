"""Hand an owner's keys to its next incarnation over a planned stop.

The platform holds two things for each owner: who runs (the incarnation record) and, after a
planned stop, the keys it had taken. A new incarnation first claims the record by a swap; only
if the record it replaced says "ended", with the digest of a snapshot that is there, does the new
one know all that was taken. After a crash, or when the platform cannot be reached, it does not.
"""

from __future__ import annotations

import hashlib
import uuid
from collections.abc import Mapping
from dataclasses import dataclass, replace

import msgspec
from result import Err, Ok, Result

from dalehollow.errors import PlatformError
from dalehollow.once.table import NEVER_MS, KeyRecord, KeyState
from dalehollow.platform.keyvalue import KeyValue

MAX_SNAPSHOT_BYTES = 900_000
_ATTEMPTS = 3


@dataclass(frozen=True)
class Incarnation:
    """Tell who runs as an owner; `snapshot_digest` is set once that one has ended as planned."""

    mark: str
    snapshot_digest: str | None = None


@dataclass(frozen=True)
class Snapshot:
    """Hold the records of all tables by service, and from when on they are complete.

    `others_complete_from_ms` speaks for services of which no key was taken.
    """

    others_complete_from_ms: int
    complete_from_ms: Mapping[str, int]
    records: Mapping[str, Mapping[str, KeyRecord]]


@dataclass(frozen=True)
class Claim:
    """Hold this incarnation's mark, and the snapshot that it may build on if there is one."""

    mark: str
    is_first: bool
    snapshot: Snapshot | None


def _record_key(member: str) -> str:
    return f"incarnation/{member}"


def _snapshot_key(member: str) -> str:
    return f"keys/{member}"


def claim_incarnation(kv: KeyValue, member: str) -> Result[Claim, PlatformError]:
    """Claim to be the owner's running incarnation, and learn what the last one left."""
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
    before = msgspec.json.decode(entry.value, type=Incarnation)
    snapshot = _read_snapshot(kv, member, before.snapshot_digest)
    return Ok(Claim(mark, is_first=False, snapshot=snapshot))


def leave_snapshot(
    kv: KeyValue, member: str, mark: str, snapshot: Snapshot
) -> Result[int, PlatformError]:
    """Leave the keys for the next incarnation; return how many bytes they took.

    To be called only after the last request has ended: a key taken later would be lost.
    """
    data = _encode_snapshot(snapshot)
    if data is None:
        message = f"the keys take more than {MAX_SNAPSHOT_BYTES} bytes even without answers"
        return Err(PlatformError(message, may_have_written=False))
    record = kv.get(_record_key(member))
    if isinstance(record, Err):
        return Err(record.err_value)
    if msgspec.json.decode(record.ok_value.value, type=Incarnation).mark != mark:
        return Err(PlatformError("another incarnation runs", may_have_written=False))
    written = _overwrite(kv, _snapshot_key(member), data)
    if isinstance(written, Err):
        return Err(written.err_value)
    digest = hashlib.sha256(data).hexdigest()
    ended = _swap_record(kv, member, record.ok_value.revision, Incarnation(mark, digest))
    return Ok(len(data)) if isinstance(ended, Ok) else Err(ended.err_value)


def _swap_record(
    kv: KeyValue, member: str, revision: int, record: Incarnation
) -> Result[None, PlatformError]:
    """Write the record, settling a lost answer by reading back."""
    value = msgspec.json.encode(record)
    failure = PlatformError("another incarnation came first", may_have_written=False)
    for _ in range(_ATTEMPTS):
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
    failure = PlatformError("the key kept changing", may_have_written=False)
    for _ in range(_ATTEMPTS):
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
    """Encode with the kept answers if they fit, without them if not, or not at all."""
    data = msgspec.msgpack.encode(snapshot)
    if len(data) <= MAX_SNAPSHOT_BYTES:
        return data
    bare = {
        service: {scope: _drop_answer(record) for scope, record in records.items()}
        for service, records in snapshot.records.items()
    }
    data = msgspec.msgpack.encode(replace(snapshot, records=bare))
    return data if len(data) <= MAX_SNAPSHOT_BYTES else None


def _drop_answer(record: KeyRecord) -> KeyRecord:
    return KeyRecord(record.fingerprint, record.state, record.expires_at_ms)


def settle_running(records: Mapping[str, KeyRecord]) -> dict[str, KeyRecord]:
    """Return the records with those that still ran marked as unknown."""
    settled = {}
    for scope, record in records.items():
        state = KeyState.UNKNOWN if record.state is KeyState.RUNNING else record.state
        settled[scope] = KeyRecord(record.fingerprint, state, record.expires_at_ms, record.answer)
    return settled


def complete_from(claim: Claim | None, service: str, started_at_ms: int, bound_ms: int) -> int:
    """Return from which birth on a new incarnation's table is complete."""
    if claim is not None and claim.is_first:
        return NEVER_MS
    if claim is not None and claim.snapshot is not None:
        snapshot = claim.snapshot
        return snapshot.complete_from_ms.get(service, snapshot.others_complete_from_ms)
    return started_at_ms + bound_ms
