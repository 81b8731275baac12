"""Record the keys that an owner has accepted, and the responses of those that ran.

The table never evicts a key within its retention window: when full, it refuses new keys.
"""

from __future__ import annotations

import enum
import threading
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from result import Err, Ok, Result

from dalehollow.errors import Failure, Reason
from dalehollow.verdict import Verdict

RETRY_AFTER_IN_PROGRESS_MS = 500


COMPLETE_FROM_START_MS = -(2**62)
"""The `complete_from_ms` of an owner that has no earlier incarnation."""


class KeyState(enum.StrEnum):
    """Name the state of an accepted key's request."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class StoredAnswer:
    """Hold the complete first response to a key."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Return the size counted against the table's memory limit."""
        return len(self.body) + sum(len(k) + len(v) for k, v in self.headers.items())


@dataclass(frozen=True)
class KeyTableLimits:
    """Limit a table: number of keys, bytes of stored responses and key retention time."""

    capacity: int
    answer_bytes: int
    window_ms: int
    clock_bound_ms: int


@dataclass
class KeyRecord:
    """Hold the state of one key."""

    fingerprint: str
    state: KeyState
    expires_at_ms: int
    answer: StoredAnswer | None = None


@dataclass
class KeyTable:
    """Hold one owner's keys.

    Contains every unexpired key created after `complete_from_ms` that any incarnation of the
    owner accepted; the outcome of earlier keys may have been lost with an incarnation.
    """

    limits: KeyTableLimits
    complete_from_ms: int
    _records: dict[str, KeyRecord] = field(default_factory=dict)
    _expiry: deque[tuple[int, str]] = field(default_factory=deque)
    _answer_bytes: int = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def begin(
        self, scope: str, fingerprint: str, key_created_at_ms: int | None, now_ms: int
    ) -> Result[StoredAnswer | None, Failure]:
        """Accept a new key (Ok of None), return the stored response, or fail."""
        with self._lock:
            self._expire(now_ms)
            record = self._records.get(scope)
            if record is not None:
                return _resolve_known_key(record, fingerprint)
            refusal = self._check_unseen_key(key_created_at_ms, now_ms)
            if refusal is not None:
                return Err(refusal)
            self._add(scope, fingerprint, key_created_at_ms, now_ms)
            return Ok(None)

    def discard(self, scope: str) -> None:
        """Remove a running key whose request certainly did not run."""
        with self._lock:
            record = self._records.get(scope)
            if record is not None and record.state is KeyState.RUNNING:
                del self._records[scope]

    def finish(self, scope: str, answer: StoredAnswer) -> None:
        """Store a key's response; if it does not fit, record only that the request ran."""
        with self._lock:
            record = self._records.get(scope)
            if record is None:
                return
            record.state = KeyState.DONE
            if self._answer_bytes + answer.size_bytes <= self.limits.answer_bytes:
                record.answer = answer
                self._answer_bytes += answer.size_bytes

    def mark_unknown(self, scope: str) -> None:
        """Record that a key's request may have run."""
        with self._lock:
            record = self._records.get(scope)
            if record is not None:
                record.state = KeyState.UNKNOWN

    def records(self) -> dict[str, KeyRecord]:
        """Return a copy of the records by scope."""
        with self._lock:
            return dict(self._records)

    def load(self, records: Mapping[str, KeyRecord]) -> None:
        """Load the records of an earlier incarnation."""
        with self._lock:
            for scope, record in sorted(records.items(), key=lambda item: item[1].expires_at_ms):
                self._records[scope] = record
                self._expiry.append((record.expires_at_ms, scope))
                self._answer_bytes += record.answer.size_bytes if record.answer else 0

    def count(self) -> int:
        """Return the number of keys held."""
        with self._lock:
            return len(self._records)

    def _add(
        self, scope: str, fingerprint: str, key_created_at_ms: int | None, now_ms: int
    ) -> None:
        # A timestamped key must be kept until it is too old to be admitted.
        base_ms = max(now_ms, key_created_at_ms or 0)
        expires_at_ms = base_ms + self.limits.window_ms + 2 * self.limits.clock_bound_ms
        self._records[scope] = KeyRecord(fingerprint, KeyState.RUNNING, expires_at_ms)
        self._expiry.append((expires_at_ms, scope))

    def _expire(self, now_ms: int) -> None:
        while self._expiry and self._expiry[0][0] <= now_ms:
            expires_at_ms, scope = self._expiry.popleft()
            record = self._records.get(scope)
            if record is None or record.expires_at_ms != expires_at_ms:
                continue
            if record.state is KeyState.RUNNING:
                record.expires_at_ms = now_ms + self.limits.window_ms
                self._expiry.append((record.expires_at_ms, scope))
                continue
            del self._records[scope]
            if record.answer is not None:
                self._answer_bytes -= record.answer.size_bytes

    def _check_unseen_key(self, key_created_at_ms: int | None, now_ms: int) -> Failure | None:
        """Return the failure of an unseen key that may have run before or cannot be accepted."""
        limits = self.limits
        if key_created_at_ms is not None and key_created_at_ms > now_ms + limits.clock_bound_ms:
            return Failure(
                Reason.KEY_FROM_FUTURE,
                Verdict.NOT_RUN,
                f"key timestamp is {key_created_at_ms - now_ms} ms in the future; "
                f"at most {limits.clock_bound_ms} ms is allowed",
                retry_after_ms=key_created_at_ms - now_ms,
            )
        if key_created_at_ms is not None and key_created_at_ms < now_ms - limits.window_ms:
            return Failure(
                Reason.KEY_EXPIRED,
                Verdict.MAY_HAVE_RUN,
                f"key is older than the retention window of {limits.window_ms} ms",
            )
        if not self._is_complete_for(key_created_at_ms, now_ms):
            return Failure(
                Reason.KEY_OUTCOME_UNKNOWN,
                Verdict.MAY_HAVE_RUN,
                "the owner of this key restarted and cannot determine whether the request ran",
            )
        if len(self._records) >= limits.capacity:
            return Failure(
                Reason.KEY_TABLE_FULL,
                Verdict.NOT_RUN,
                f"key table is full ({limits.capacity} keys)",
                retry_after_ms=self._next_expiry_ms(now_ms),
            )
        return None

    def _is_complete_for(self, key_created_at_ms: int | None, now_ms: int) -> bool:
        """Return whether a key created then would be in the table if it had been accepted."""
        if key_created_at_ms is None:
            return now_ms > self.complete_from_ms + self.limits.window_ms
        return key_created_at_ms > self.complete_from_ms

    def _next_expiry_ms(self, now_ms: int) -> int:
        return max(1, self._expiry[0][0] - now_ms) if self._expiry else 1


def _resolve_known_key(record: KeyRecord, fingerprint: str) -> Result[StoredAnswer | None, Failure]:
    if record.fingerprint != fingerprint:
        message = "the key was already used for a different request; this request was not run"
        return Err(Failure(Reason.KEY_REUSED, Verdict.NOT_RUN, message))
    if record.answer is not None:
        return Ok(record.answer)
    if record.state is KeyState.RUNNING:
        return Err(
            Failure(
                Reason.KEY_IN_PROGRESS,
                Verdict.MAY_HAVE_RUN,
                "a request with this key is still running",
                retry_after_ms=RETRY_AFTER_IN_PROGRESS_MS,
            )
        )
    if record.state is KeyState.DONE:
        message = "a request with this key ran; its response was not stored"
        return Err(Failure(Reason.KEY_OUTCOME_UNKNOWN, Verdict.RAN, message))
    message = "a request with this key may have run; its response was lost"
    return Err(Failure(Reason.KEY_OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, message))
