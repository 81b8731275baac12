"""Queue requests for one upstream by priority and limit its concurrency.

The gate runs in the sidecar, so its limit holds regardless of the number of entries. Waiting
requests are ordered by priority, then by arrival. Urgent requests may use `urgent_extra` slots
beyond those of the other classes; an engine that supports priorities schedules them early in its
batch. To prevent starvation, every `_REVERSED_GRANT_INTERVAL`-th grant goes to the lowest waiting
class: a background request at the head of its class waits for at most that many grants.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from dalehollow.config.model import PRIORITIES
from dalehollow.errors import Failure, Reason
from dalehollow.verdict import Verdict

URGENT = PRIORITIES[0]
_REVERSED_GRANT_INTERVAL = 16
_SERVICE_TIME_WEIGHT = 0.1
_MIN_RETRY_AFTER_MS = 50


@dataclass(frozen=True)
class GateLimits:
    """Limit the running requests, the additional urgent ones and the waiting ones."""

    slots: int
    urgent_extra: int
    queue_limit: int


@dataclass(frozen=True)
class GateLoad:
    """Report a gate's load to entries."""

    running: int
    waiting: int
    slots: int
    service_ms: float


class _Waiter:
    """Hold one waiting request; `granted` or `failure` is set once, under the gate's lock."""

    __slots__ = ("decided", "failure", "granted", "priority")

    def __init__(self, priority: str) -> None:
        self.priority = priority
        self.granted = False
        self.failure: Failure | None = None
        self.decided = threading.Event()


class Gate:
    """Grant permits for one upstream."""

    def __init__(self, limits: GateLimits, clock: Callable[[], float]) -> None:
        """Create an empty gate; `clock` returns monotonic seconds."""
        self._limits = limits
        self._clock = clock
        self._queues: dict[str, deque[_Waiter]] = {p: deque() for p in PRIORITIES}
        self._running = 0
        self._grants = 0
        self._service_ms = 0.0
        self._closed = False
        self._lock = threading.Lock()

    def acquire(self, priority: str, deadline_s: float) -> Result[float, Failure]:
        """Wait for a permit until the deadline; return the seconds waited.

        Refuses at once if the queue is full and holds no request of a lower class, or if the
        expected wait exceeds the deadline.
        """
        started_s = self._clock()
        with self._lock:
            refusal = self._check_refusal(priority, deadline_s - started_s)
            if refusal is not None:
                return Err(refusal)
            if self._may_run(priority) and not self._has_queue_ahead(priority):
                self._count_grant(priority)
                return Ok(0.0)
            waiter = _Waiter(priority)
            self._queues[priority].append(waiter)
        return self._await_grant(waiter, started_s, deadline_s)

    def release(self, service_ms: float | None = None) -> None:
        """Return a permit; `service_ms` updates the average service time."""
        with self._lock:
            self._running -= 1
            if service_ms is not None:
                self._update_service_time(service_ms)
            self._grant_waiting()

    def resize(self, limits: GateLimits) -> None:
        """Change the limits; running requests are not interrupted."""
        with self._lock:
            self._limits = limits
            self._grant_waiting()

    def close(self) -> None:
        """Refuse new requests; waiting requests are still served."""
        with self._lock:
            self._closed = True

    def load(self) -> GateLoad:
        """Return the current load."""
        with self._lock:
            return GateLoad(
                self._running, self._count_waiting(), self._limits.slots, round(self._service_ms, 3)
            )

    def _await_grant(
        self, waiter: _Waiter, started_s: float, deadline_s: float
    ) -> Result[float, Failure]:
        waiter.decided.wait(max(0.0, deadline_s - self._clock()))
        with self._lock:
            if waiter.granted:
                return Ok(self._clock() - started_s)
            if waiter.failure is not None:
                return Err(waiter.failure)
            self._queues[waiter.priority].remove(waiter)
            return Err(
                self._make_failure(
                    Reason.DEADLINE, "the deadline passed while the request was queued"
                )
            )

    def _check_refusal(self, priority: str, remaining_s: float) -> Failure | None:
        if self._closed:
            return self._make_failure(Reason.LEAVING, "the upstream is shutting down")
        if remaining_s <= 0:
            return self._make_failure(
                Reason.DEADLINE, "the deadline passed before the request was queued"
            )
        if self._expected_wait_ms(priority) > remaining_s * 1000:
            return self._make_failure(Reason.QUEUE_FULL, "the expected wait exceeds the deadline")
        must_wait = not self._may_run(priority) or self._has_queue_ahead(priority)
        if (
            must_wait
            and self._count_waiting() >= self._limits.queue_limit
            and not self._displace(priority)
        ):
            message = f"the queue has reached its limit of {self._limits.queue_limit} requests"
            failure = self._make_failure(Reason.QUEUE_FULL, message)
            return replace(failure, backoff_ms=failure.retry_after_ms)
        return None

    def _displace(self, priority: str) -> bool:
        """Free a queue position by refusing the newest request of the lowest lower class."""
        for lower in reversed(PRIORITIES[PRIORITIES.index(priority) + 1 :]):
            if self._queues[lower]:
                waiter = self._queues[lower].pop()
                waiter.failure = self._make_failure(
                    Reason.DISPLACED,
                    f"displaced from the queue by a request of priority {priority}",
                )
                waiter.decided.set()
                return True
        return False

    def _grant_waiting(self) -> None:
        while True:
            waiter = self._pick_next()
            if waiter is None:
                return
            self._queues[waiter.priority].popleft()
            self._count_grant(waiter.priority)
            waiter.granted = True
            waiter.decided.set()

    def _pick_next(self) -> _Waiter | None:
        order = (
            PRIORITIES
            if (self._grants + 1) % _REVERSED_GRANT_INTERVAL
            else tuple(reversed(PRIORITIES))
        )
        for priority in order:
            if self._queues[priority] and self._may_run(priority):
                return self._queues[priority][0]
        return None

    def _count_grant(self, priority: str) -> None:
        self._running += 1
        self._grants += 1

    def _may_run(self, priority: str) -> bool:
        extra = self._limits.urgent_extra if priority == URGENT else 0
        return self._running < self._limits.slots + extra

    def _has_queue_ahead(self, priority: str) -> bool:
        ahead = PRIORITIES[: PRIORITIES.index(priority) + 1]
        return any(self._queues[p] for p in ahead)

    def _count_waiting(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def _expected_wait_ms(self, priority: str) -> float:
        if self._may_run(priority):
            return 0.0
        ahead = PRIORITIES[: PRIORITIES.index(priority) + 1]
        requests_ahead = sum(len(self._queues[p]) for p in ahead)
        return requests_ahead * self._service_ms / self._limits.slots

    def _update_service_time(self, service_ms: float) -> None:
        if self._service_ms == 0.0:
            self._service_ms = service_ms
        self._service_ms += _SERVICE_TIME_WEIGHT * (service_ms - self._service_ms)

    def _make_failure(self, reason: Reason, message: str) -> Failure:
        wait_ms = (self._count_waiting() + 1) * self._service_ms / self._limits.slots
        return Failure(
            reason,
            Verdict.NOT_RUN,
            message,
            retry_after_ms=max(_MIN_RETRY_AFTER_MS, round(wait_ms)),
            may_retry=reason in (Reason.QUEUE_FULL, Reason.DISPLACED, Reason.LEAVING),
        )
