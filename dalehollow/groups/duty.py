"""Hold a group's planning duty under a lease, with a fence that rises at each take-over."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok

from dalehollow.clock import read_clock
from dalehollow.platform.keyvalue import KeyValue

LEASE_MS = 6_000
RENEW_MS = 2_000
MARGIN_MS = 1_000
_MS_PER_S = 1000


@dataclass(frozen=True)
class DutyRecord:
    """Hold who has the duty; `fence` grows by one with each holder, `serial` with each renewal."""

    holder: str
    fence: int
    serial: int
    is_released: bool = False


@dataclass
class Duty:
    """Hold one process's claim to a group's duty.

    The record itself never expires, so that the fence is never lost: a lease has lapsed when
    its serial has not moved for LEASE_MS on the watcher's own clock. The holder counts its lease
    from before it asked for it, less a margin, on its own monotonic clock.
    """

    kv: KeyValue
    key: str
    name: str
    clock: Callable[[], float] = read_clock
    lease_ms: int = LEASE_MS
    margin_ms: int = MARGIN_MS
    _fence: int = 0
    _revision: int = 0
    _held_until_s: float = 0.0
    _seen: DutyRecord | None = None
    _seen_at_s: float = 0.0
    calls: int = field(default=0)

    def fence(self) -> int | None:
        """Return the fence if the lease surely still holds, or None."""
        return self._fence if self.clock() < self._held_until_s else None

    def advance(self) -> int | None:
        """Renew the lease if it is ours, take it if it has lapsed; return the fence if held."""
        asked_at_s = self.clock()
        self.calls += 1
        found = self.kv.get(self.key, timeout_s=1.0)
        if isinstance(found, Err):
            return self.fence()
        entry = found.ok_value
        record = msgspec.json.decode(entry.value, type=DutyRecord) if entry.revision else None
        if not self._may_write(record, asked_at_s):
            return self.fence()
        is_ours = record is not None and record.holder == self.name and self.fence() is not None
        if record is None:
            following = DutyRecord(self.name, 1, 1)
        else:
            fence = record.fence if is_ours else record.fence + 1
            following = DutyRecord(self.name, fence, record.serial + 1)
        return self._write(following, entry.revision, asked_at_s)

    def release(self) -> None:
        """Give the duty up at a planned stop, so that another need not wait for it."""
        if self.fence() is None:
            return
        self._held_until_s = 0.0
        found = self.kv.get(self.key, timeout_s=1.0)
        if isinstance(found, Err) or not found.ok_value.revision:
            return
        record = msgspec.json.decode(found.ok_value.value, type=DutyRecord)
        if record.holder == self.name and record.fence == self._fence:
            released = DutyRecord(self.name, record.fence, record.serial + 1, is_released=True)
            self.kv.swap(
                self.key,
                msgspec.json.encode(released),
                expected_revision=found.ok_value.revision,
            )

    def _may_write(self, record: DutyRecord | None, now_s: float) -> bool:
        if record is None or record.is_released:
            return True
        if record.holder == self.name:
            # After a restart, or a lapse, the same name takes over from itself with a new fence.
            return True
        if record != self._seen:
            self._seen, self._seen_at_s = record, now_s
            return False
        return now_s - self._seen_at_s >= self.lease_ms / _MS_PER_S

    def _write(self, record: DutyRecord, revision: int, asked_at_s: float) -> int | None:
        value = msgspec.json.encode(record)
        self.calls += 1
        swapped = self.kv.swap(self.key, value, expected_revision=revision, timeout_s=1.0)
        succeeded = isinstance(swapped, Ok) and swapped.ok_value.succeeded
        if isinstance(swapped, Err) and swapped.err_value.may_have_written:
            found = self.kv.get(self.key, timeout_s=1.0)
            succeeded = isinstance(found, Ok) and found.ok_value.value == value
        if not succeeded:
            return self.fence()
        self._fence = record.fence
        self._held_until_s = asked_at_s + (self.lease_ms - self.margin_ms) / _MS_PER_S
        return self.fence()
