"""Keep the keys that an owner has taken, and the answers of those that ran.

The table never forgets a key inside its window: when it is full it refuses.
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

RETRY_IN_PROGRESS_MS = 500


NEVER_MS = -(2**62)
"""The `complete_from_ms` of an owner that never ran before."""


class KeyState(enum.StrEnum):
    """Name what is known of a key that was taken."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class KeptAnswer:
    """Hold the first answer of a key, whole."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Return what the answer counts against the table's memory."""
        return len(self.body) + sum(len(k) + len(v) for k, v in self.headers.items())


@dataclass(frozen=True)
class KeyTableLimits:
    """Bound a table: entries, bytes of kept answers, and how long a key is remembered."""

    capacity: int
    answer_bytes: int
    window_ms: int
    clock_bound_ms: int


@dataclass
class KeyRecord:
    """Hold what is known of one key."""

    fingerprint: str
    state: KeyState
    expires_at_ms: int
    answer: KeptAnswer | None = None


@dataclass
class KeyTable:
    """Hold one owner's keys.

    Every key born after `complete_from_ms` that any incarnation of the owner took is here,
    unless it has expired; what earlier keys came to may have been lost with an incarnation.
    """

    limits: KeyTableLimits
    complete_from_ms: int
    _records: dict[str, KeyRecord] = field(default_factory=dict)
    _expiry: deque[tuple[int, str]] = field(default_factory=deque)
    _answer_bytes: int = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def begin(
        self, scope: str, fingerprint: str, birth_ms: int | None, now_ms: int
    ) -> Result[KeptAnswer | None, Failure]:
        """Take a key to run it (Ok of None), or return the first run's answer, or refuse."""
        with self._lock:
            self._expire(now_ms)
            record = self._records.get(scope)
            if record is not None:
                return _answer_known(record, fingerprint)
            refusal = self._refuse_unseen(birth_ms, now_ms)
            if refusal is not None:
                return Err(refusal)
            self._add(scope, fingerprint, birth_ms, now_ms)
            return Ok(None)

    def forget(self, scope: str) -> None:
        """Release a key whose request certainly did not run."""
        with self._lock:
            record = self._records.get(scope)
            if record is not None and record.state is KeyState.RUNNING:
                del self._records[scope]

    def finish(self, scope: str, answer: KeptAnswer) -> None:
        """Keep the answer of a key that ran; without room, keep only that it ran."""
        with self._lock:
            record = self._records.get(scope)
            if record is None:
                return
            record.state = KeyState.DONE
            if self._answer_bytes + answer.size_bytes <= self.limits.answer_bytes:
                record.answer = answer
                self._answer_bytes += answer.size_bytes

    def mark_unknown(self, scope: str) -> None:
        """Keep that a key's request may have run."""
        with self._lock:
            record = self._records.get(scope)
            if record is not None:
                record.state = KeyState.UNKNOWN

    def records(self) -> dict[str, KeyRecord]:
        """Return a copy of the records by scope."""
        with self._lock:
            return dict(self._records)

    def load(self, records: Mapping[str, KeyRecord]) -> None:
        """Take over the records of an earlier incarnation."""
        with self._lock:
            for scope, record in sorted(records.items(), key=lambda item: item[1].expires_at_ms):
                self._records[scope] = record
                self._expiry.append((record.expires_at_ms, scope))
                self._answer_bytes += record.answer.size_bytes if record.answer else 0

    def count(self) -> int:
        """Return the number of keys held."""
        with self._lock:
            return len(self._records)

    def _add(self, scope: str, fingerprint: str, birth_ms: int | None, now_ms: int) -> None:
        # A dated key must be known until its birth is too old to be admitted at all.
        base_ms = max(now_ms, birth_ms or 0)
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

    def _refuse_unseen(self, birth_ms: int | None, now_ms: int) -> Failure | None:
        """Refuse an unseen key that an earlier incarnation or an expired record may have run."""
        limits = self.limits
        if birth_ms is not None and birth_ms > now_ms + limits.clock_bound_ms:
            return Failure(
                Reason.KEY_FROM_FUTURE,
                Verdict.NOT_RUN,
                f"key is dated {birth_ms - now_ms} ms ahead; at most {limits.clock_bound_ms} ms",
                retry_after_ms=birth_ms - now_ms,
            )
        if birth_ms is not None and birth_ms < now_ms - limits.window_ms:
            return Failure(
                Reason.KEY_EXPIRED,
                Verdict.MAY_HAVE_RUN,
                f"key is older than the window of {limits.window_ms} ms",
            )
        if not self._is_complete_for(birth_ms, now_ms):
            return Failure(
                Reason.KEY_OUTCOME_UNKNOWN,
                Verdict.MAY_HAVE_RUN,
                "the owner of this key was restarted and cannot tell whether it ran",
            )
        if len(self._records) >= limits.capacity:
            return Failure(
                Reason.KEY_TABLE_FULL,
                Verdict.NOT_RUN,
                f"the table of {limits.capacity} keys is full",
                retry_after_ms=self._next_expiry_ms(now_ms),
            )
        return None

    def _is_complete_for(self, birth_ms: int | None, now_ms: int) -> bool:
        """Return whether a key of this birth would be here if it had been taken."""
        if birth_ms is None:
            return now_ms > self.complete_from_ms + self.limits.window_ms
        return birth_ms > self.complete_from_ms

    def _next_expiry_ms(self, now_ms: int) -> int:
        return max(1, self._expiry[0][0] - now_ms) if self._expiry else 1


def _answer_known(record: KeyRecord, fingerprint: str) -> Result[KeptAnswer | None, Failure]:
    if record.fingerprint != fingerprint:
        message = "the key was used before for another request; this one was not run"
        return Err(Failure(Reason.KEY_REUSED, Verdict.NOT_RUN, message))
    if record.answer is not None:
        return Ok(record.answer)
    if record.state is KeyState.RUNNING:
        return Err(
            Failure(
                Reason.KEY_IN_PROGRESS,
                Verdict.MAY_HAVE_RUN,
                "a request with this key is being run",
                retry_after_ms=RETRY_IN_PROGRESS_MS,
            )
        )
    if record.state is KeyState.DONE:
        message = "a request with this key ran; its answer was not kept"
        return Err(Failure(Reason.KEY_OUTCOME_UNKNOWN, Verdict.RAN, message))
    message = "a request with this key may have run; its answer was lost"
    return Err(Failure(Reason.KEY_OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, message))
