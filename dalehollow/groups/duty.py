"""Elect a group's planner by a lease with a fencing token that increases at each takeover."""

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
class LeaseRecord:
    """Store the lease; `fence` increases with each takeover and `serial` with each write."""

    holder: str
    fence: int
    serial: int
    is_released: bool = False


@dataclass
class PlannerLease:
    """Acquire and renew the planner lease of a group for one process.

    The record itself never expires, so that the fencing token is never lost. A lease has expired if
    its serial has not changed for LEASE_MS on the observer's own clock. The holder counts its lease
    on its own monotonic clock, from before the request was sent and less a margin.
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
    _observed: LeaseRecord | None = None
    _observed_at_s: float = 0.0
    calls: int = field(default=0)

    def fence(self) -> int | None:
        """Return the fencing token while the lease is certainly valid, or None."""
        return self._fence if self.clock() < self._held_until_s else None

    def advance(self) -> int | None:
        """Renew an own lease or acquire an expired one; return the fencing token if it is held."""
        requested_at_s = self.clock()
        self.calls += 1
        reply = self.kv.get(self.key, timeout_s=1.0)
        if isinstance(reply, Err):
            return self.fence()
        entry = reply.ok_value
        record = msgspec.json.decode(entry.value, type=LeaseRecord) if entry.revision else None
        if not self._may_write(record, requested_at_s):
            return self.fence()
        is_own = record is not None and record.holder == self.name and self.fence() is not None
        if record is None:
            next_record = LeaseRecord(self.name, 1, 1)
        else:
            fence = record.fence if is_own else record.fence + 1
            next_record = LeaseRecord(self.name, fence, record.serial + 1)
        return self._write(next_record, entry.revision, requested_at_s)

    def release(self) -> None:
        """Release the lease at a graceful shutdown, so that others can acquire it at once."""
        if self.fence() is None:
            return
        self._held_until_s = 0.0
        reply = self.kv.get(self.key, timeout_s=1.0)
        if isinstance(reply, Err) or not reply.ok_value.revision:
            return
        record = msgspec.json.decode(reply.ok_value.value, type=LeaseRecord)
        if record.holder == self.name and record.fence == self._fence:
            released = LeaseRecord(self.name, record.fence, record.serial + 1, is_released=True)
            self.kv.swap(
                self.key,
                msgspec.json.encode(released),
                expected_revision=reply.ok_value.revision,
            )

    def _may_write(self, record: LeaseRecord | None, now_s: float) -> bool:
        if record is None or record.is_released:
            return True
        if record.holder == self.name:
            # After a restart or an expiry, a process takes over from itself with a new token.
            return True
        if record != self._observed:
            self._observed, self._observed_at_s = record, now_s
            return False
        return now_s - self._observed_at_s >= self.lease_ms / _MS_PER_S

    def _write(self, record: LeaseRecord, revision: int, requested_at_s: float) -> int | None:
        value = msgspec.json.encode(record)
        self.calls += 1
        swapped = self.kv.swap(self.key, value, expected_revision=revision, timeout_s=1.0)
        succeeded = isinstance(swapped, Ok) and swapped.ok_value.succeeded
        if isinstance(swapped, Err) and swapped.err_value.may_have_written:
            reply = self.kv.get(self.key, timeout_s=1.0)
            succeeded = isinstance(reply, Ok) and reply.ok_value.value == value
        if not succeeded:
            return self.fence()
        self._fence = record.fence
        self._held_until_s = requested_at_s + (self.lease_ms - self.margin_ms) / _MS_PER_S
        return self.fence()
