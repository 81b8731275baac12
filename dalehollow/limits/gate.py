"""Order the requests that wait for one upstream and bound those it runs.

The gate stands in the sidecar, so its bound holds however many entries send. Waiting requests
are ordered by priority, then by arrival. Urgent requests may use `urgent_extra` slots beyond
the others', which an engine that honours priorities turns into an early place in its batch.
Every `_YIELD_EVERY`-th grant goes to the lowest class that waits, so none is starved: a
background request at the head of its class waits for at most that many grants.
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
_YIELD_EVERY = 16
_SERVICE_TIME_WEIGHT = 0.1
_MIN_RETRY_AFTER_MS = 50


@dataclass(frozen=True)
class GateLimits:
    """Bound a gate: requests at the upstream, the extra for urgent ones, requests that wait."""

    slots: int
    urgent_extra: int
    queue_limit: int


@dataclass(frozen=True)
class GateLoad:
    """Report a gate's load as entries see it."""

    running: int
    waiting: int
    slots: int
    service_ms: float


class _Waiter:
    """Hold one waiting request; `outcome` is set once, under the gate's lock."""

    __slots__ = ("failure", "granted", "priority", "signal")

    def __init__(self, priority: str) -> None:
        self.priority = priority
        self.granted = False
        self.failure: Failure | None = None
        self.signal = threading.Event()


class Gate:
    """Grant permits for one upstream."""

    def __init__(self, limits: GateLimits, clock: Callable[[], float]) -> None:
        """Begin empty; `clock` gives monotonic seconds."""
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

        Refuses at once when the queue is full of requests as urgent, or when the wait would
        outlast the deadline.
        """
        began_s = self._clock()
        with self._lock:
            refusal = self._refuse_early(priority, deadline_s - began_s)
            if refusal is not None:
                return Err(refusal)
            if self._may_run(priority) and not self._waits_before(priority):
                self._take(priority)
                return Ok(0.0)
            waiter = _Waiter(priority)
            self._queues[priority].append(waiter)
        return self._await_grant(waiter, began_s, deadline_s)

    def release(self, service_ms: float | None = None) -> None:
        """Give a permit back; `service_ms` teaches the gate how long a request takes."""
        with self._lock:
            self._running -= 1
            if service_ms is not None:
                self._learn(service_ms)
            self._grant_waiting()

    def resize(self, limits: GateLimits) -> None:
        """Change the bounds; running requests are left to finish."""
        with self._lock:
            self._limits = limits
            self._grant_waiting()

    def close(self) -> None:
        """Refuse all new requests; those that wait still get their turn."""
        with self._lock:
            self._closed = True

    def load(self) -> GateLoad:
        """Report the load."""
        with self._lock:
            return GateLoad(
                self._running, self._waiting(), self._limits.slots, round(self._service_ms, 3)
            )

    def _await_grant(
        self, waiter: _Waiter, began_s: float, deadline_s: float
    ) -> Result[float, Failure]:
        waiter.signal.wait(max(0.0, deadline_s - self._clock()))
        with self._lock:
            if waiter.granted:
                return Ok(self._clock() - began_s)
            if waiter.failure is not None:
                return Err(waiter.failure)
            self._queues[waiter.priority].remove(waiter)
            return Err(self._failure(Reason.DEADLINE, "the deadline passed while it waited"))

    def _refuse_early(self, priority: str, left_s: float) -> Failure | None:
        if self._closed:
            return self._failure(Reason.LEAVING, "the upstream is leaving")
        if left_s <= 0:
            return self._failure(Reason.DEADLINE, "the deadline has passed")
        if self._expected_wait_ms(priority) > left_s * 1000:
            return self._failure(Reason.QUEUE_FULL, "the wait would outlast the deadline")
        must_wait = not self._may_run(priority) or self._waits_before(priority)
        if (
            must_wait
            and self._waiting() >= self._limits.queue_limit
            and not self._displace(priority)
        ):
            message = f"{self._limits.queue_limit} requests wait already"
            failure = self._failure(Reason.QUEUE_FULL, message)
            return replace(failure, rest_ms=failure.retry_after_ms)
        return None

    def _displace(self, priority: str) -> bool:
        """Make room by refusing the newest waiting request of a lower class."""
        for lower in reversed(PRIORITIES[PRIORITIES.index(priority) + 1 :]):
            if self._queues[lower]:
                waiter = self._queues[lower].pop()
                waiter.failure = self._failure(Reason.DISPLACED, f"made room for {priority} work")
                waiter.signal.set()
                return True
        return False

    def _grant_waiting(self) -> None:
        while True:
            waiter = self._pick_next()
            if waiter is None:
                return
            self._queues[waiter.priority].popleft()
            self._take(waiter.priority)
            waiter.granted = True
            waiter.signal.set()

    def _pick_next(self) -> _Waiter | None:
        order = PRIORITIES if (self._grants + 1) % _YIELD_EVERY else tuple(reversed(PRIORITIES))
        for priority in order:
            if self._queues[priority] and self._may_run(priority):
                return self._queues[priority][0]
        return None

    def _take(self, priority: str) -> None:
        self._running += 1
        self._grants += 1

    def _may_run(self, priority: str) -> bool:
        extra = self._limits.urgent_extra if priority == URGENT else 0
        return self._running < self._limits.slots + extra

    def _waits_before(self, priority: str) -> bool:
        ahead = PRIORITIES[: PRIORITIES.index(priority) + 1]
        return any(self._queues[p] for p in ahead)

    def _waiting(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def _expected_wait_ms(self, priority: str) -> float:
        if self._may_run(priority):
            return 0.0
        ahead = PRIORITIES[: PRIORITIES.index(priority) + 1]
        before = sum(len(self._queues[p]) for p in ahead)
        return before * self._service_ms / self._limits.slots

    def _learn(self, service_ms: float) -> None:
        if self._service_ms == 0.0:
            self._service_ms = service_ms
        self._service_ms += _SERVICE_TIME_WEIGHT * (service_ms - self._service_ms)

    def _failure(self, reason: Reason, message: str) -> Failure:
        wait_ms = (self._waiting() + 1) * self._service_ms / self._limits.slots
        return Failure(
            reason,
            Verdict.NOT_RUN,
            message,
            retry_after_ms=max(_MIN_RETRY_AFTER_MS, round(wait_ms)),
            may_retry=reason in (Reason.QUEUE_FULL, Reason.DISPLACED, Reason.LEAVING),
        )
