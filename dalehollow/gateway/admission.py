"""Control the admission of requests to the upstreams of one service.

An upstream serves as many concurrent requests as it has slots; the number in flight from all
gateways is known from their reports. When no slot is free, a request waits briefly in a queue that
favors urgent requests and caller retries, and is then refused with a `Retry-After` that estimates
when a slot becomes free. Apart from caller retries, the longest wait is the route's latency
objective less the recent answer latency of the upstreams. A request whose expected wait exceeds the
longest wait is refused immediately.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from dalehollow.crashes import Fingerprint
from dalehollow.gateway.health import GroupHealth
from dalehollow.gateway.limit_tokens import MAX_REQUESTED_TOKENS, TOKEN_REQUEST_LIFETIME_S
from dalehollow.gateway.upstream import Upstream
from dalehollow.gateway.upstreams import UpstreamSet

ANSWER_LATENCY_WEIGHT = 0.1
"""Weight of a new sample in the moving average of answer latency, about the last ten samples."""
CALLER_RETRY_MAX_WAIT_S = 1.0
"""Longest wait of a caller retry. Callers of streams disconnect after 2 s, and under full load the
first event takes up to 1 s."""
CALLER_RETRY_TIME_LEFT_SHARE = 0.96
"""A request counts as a caller retry if its remaining time is less than this share of the
longest remaining time seen on its route."""
PRIORITY_OFFSET_S = 0.025
"""Offset added to the arrival time for each priority level when the queue is ordered. Urgent
requests go first, but others do not starve under steady overload."""
CALLER_RETRY_HEAD_START_S = 0.5
RETRY_AFTER_MIN_S = 0.25
RETRY_AFTER_MAX_S = 5.0
RETRY_AFTER_TIME_LEFT_SHARE = 0.33
"""Callers honor a `Retry-After` of up to a third of their remaining time."""
CALLER_RETRY_SLOT_SHARE = 0.5
"""Share of the slots becoming free that is offered to refused callers through `Retry-After`."""
BACKOFF_SPREAD_S = 0.5
"""Caller retries after an upstream's backoff are spread over this interval, so that their burst
does not overload the upstream again."""
PROBE_INTERVAL_S = 0.25
"""Interval at which each gateway sends one request to a broken group to detect its recovery."""
REPROBE_INTERVAL_S = 2.0
"""Interval between probes of a broken group while other groups of the service are healthy. Its
recovery is normally learned from the list of upstreams; probes cover lost reports."""
COMPLETION_INTERVAL_WEIGHT = 0.1
CRASHES_UPSTREAMS = "crashes_upstreams"
"""Reason of a refusal because of what a request has in common with others."""


@dataclass(frozen=True)
class AdmissionRequest:
    """Describe what decides whether and in which order a request is admitted.

    `expected_duration_s` is that of its answer at the current token rate, 0 if unknown.
    """

    route: str
    priority: int
    objective_s: float
    time_left_s: float
    caller_time_left_s: float
    expected_duration_s: float = 0.0
    fingerprints: tuple[Fingerprint, ...] = ()


@dataclass(frozen=True)
class AdmissionRefusal:
    """Describe why a request was not admitted and when its caller should retry."""

    reason: str
    retry_after_s: float


@dataclass
class _Waiter:
    effective_arrival_s: float
    request: AdmissionRequest
    tried: Collection[str]
    granted: asyncio.Future[Upstream | AdmissionRefusal]

    def outcome(self) -> Upstream | AdmissionRefusal | None:
        """Return how the wait was ended by the queue, None if it was not."""
        is_ended = self.granted.done() and not self.granted.cancelled()
        return self.granted.result() if is_ended else None


@dataclass
class Admission:
    """Admit the requests of one service and queue those that wait for a slot."""

    service: str
    upstreams: UpstreamSet
    health: GroupHealth
    rng: random.Random
    clock: Callable[[], float]
    # Excludes standstills of this process, by default the same as `clock`.
    running_clock: Callable[[], float] | None = None
    waiting: list[_Waiter] = field(default_factory=list)
    _max_time_left_s: dict[str, float] = field(default_factory=dict)
    _probed_at_s: float = float("-inf")
    # Time of the last request sent to each group while it was considered broken.
    _group_probed_at_s: dict[str, float] = field(default_factory=dict)
    _promised_until_s: float = 0.0
    _completion_interval_s: float = 0.1
    # On the running clock.
    _completed_at_s: float = 0.0
    # Moving average of the time until a streamed answer begins or another answer is complete.
    _answer_latency_s: float = 0.0

    async def acquire(
        self, request: AdmissionRequest, tried: Collection[str]
    ) -> Upstream | AdmissionRefusal:
        """Acquire a slot, waiting for one if necessary; it must be released with `release`."""
        is_caller_retry = self._record_time_left(request)
        if not self.upstreams.of_service(self.service):
            return AdmissionRefusal("no_upstream", self._retry_after_s(request))
        if request.expected_duration_s > request.time_left_s:
            # The request would time out and occupy a slot that another request could use.
            return AdmissionRefusal("too_long_now", self._max_retry_after_s(request))
        is_broken = self.is_broken()
        if is_broken and not self._may_probe():
            # The time of recovery is unknown, so that most waiting requests would time out.
            return AdmissionRefusal("group_broken", self._max_retry_after_s(request))
        if not self.waiting or is_broken:
            upstream = self._choose_upstream(tried, requests_tokens=True)
            if upstream is not None:
                return self._reserve(upstream)
        candidates = self._list_candidates(tried)
        if not candidates:
            return self._refuse_without_candidates(request)
        max_wait_s = self._max_wait_s(request, is_caller_retry)
        if self._expected_wait_s() > max_wait_s:
            lacks_tokens = self.upstreams.lacks_tokens(candidates, self.clock())
            if not lacks_tokens or len(self.waiting) >= MAX_REQUESTED_TOKENS:
                return AdmissionRefusal("no_place_in_time", self._retry_after_s(request))
            max_wait_s = min(max_wait_s, TOKEN_REQUEST_LIFETIME_S)
        return await self._wait(request, tried, is_caller_retry, max_wait_s)

    def release(self, upstream: Upstream) -> None:
        """Release the slot of a finished request."""
        upstream.in_flight -= 1
        now_s = self._running_s()
        if self._completed_at_s:
            interval_s = min(1.0, now_s - self._completed_at_s)
            self._completion_interval_s += COMPLETION_INTERVAL_WEIGHT * (
                interval_s - self._completion_interval_s
            )
        self._completed_at_s = now_s
        self.grant()

    def record_answer_latency(self, latency_s: float) -> None:
        """Update the moving average of answer latency."""
        if not self._answer_latency_s:
            self._answer_latency_s = latency_s
        self._answer_latency_s += ANSWER_LATENCY_WEIGHT * (latency_s - self._answer_latency_s)

    def is_broken(self) -> bool:
        """Return whether all groups of the service are known to be broken."""
        groups = self.upstreams.groups_of(self.service)
        return bool(groups) and all(map(self.health.is_broken, groups))

    def suggest_retry_after_s(self, request: AdmissionRequest) -> float:
        """Return after which time a refused caller should retry."""
        if self.is_broken():
            return self._max_retry_after_s(request)
        return self._retry_after_s(request)

    def grant(self) -> None:
        """Grant free slots to waiting requests in queue order."""
        if not self.waiting or self.is_broken():
            return
        for waiter in sorted(self.waiting, key=lambda w: w.effective_arrival_s):
            if waiter.granted.done():
                # The caller disconnected; the waiting task removes itself from the queue.
                continue
            upstream = self._choose_upstream(waiter.tried)
            if upstream is not None:
                self._end_wait(waiter, self._reserve(upstream))
            elif not self._list_candidates(waiter.tried):
                self._end_wait(waiter, self._refuse_without_candidates(waiter.request))
            elif not waiter.tried:
                # No slot is free for a first attempt, so none is free for the requests behind it.
                return

    def refuse_crashing(self, find_refused_s: Callable[[Collection[Fingerprint]], float]) -> None:
        """Refuse waiting requests that turned out to crash upstreams."""
        for waiter in list(self.waiting):
            refused_s = find_refused_s(waiter.request.fingerprints)
            if refused_s and not waiter.granted.done():
                self._end_wait(waiter, AdmissionRefusal(CRASHES_UPSTREAMS, refused_s))

    def _end_wait(self, waiter: _Waiter, outcome: Upstream | AdmissionRefusal) -> None:
        self.waiting.remove(waiter)
        waiter.granted.set_result(outcome)

    def _list_candidates(self, tried: Collection[str]) -> list[Upstream]:
        """Return the upstreams that may serve a request now or after a wait."""
        excluded_groups = self._list_excluded_groups()
        return self.upstreams.list_candidates(self.service, tried, self.clock(), excluded_groups)

    def _refuse_without_candidates(self, request: AdmissionRequest) -> AdmissionRefusal:
        is_in_backoff = self.upstreams.backoff_left_s(self.service, self.clock()) > 0
        return AdmissionRefusal(
            "all_resting" if is_in_backoff else "all_tried", self._retry_after_s(request)
        )

    async def _wait(
        self,
        request: AdmissionRequest,
        tried: Collection[str],
        is_caller_retry: bool,
        max_wait_s: float,
    ) -> Upstream | AdmissionRefusal:
        effective_arrival_s = self.clock() + request.priority * PRIORITY_OFFSET_S
        if is_caller_retry:
            effective_arrival_s -= CALLER_RETRY_HEAD_START_S
        waiter = _Waiter(
            effective_arrival_s, request, tried, asyncio.get_running_loop().create_future()
        )
        self.waiting.append(waiter)
        try:
            async with asyncio.timeout(max_wait_s):
                return await waiter.granted
        except TimeoutError:
            # A slot may have been granted in the same iteration of the event loop.
            return waiter.outcome() or AdmissionRefusal("no_place", self._retry_after_s(request))
        except asyncio.CancelledError:
            if isinstance(granted := waiter.outcome(), Upstream):
                self.release(granted)
            raise
        finally:
            if waiter in self.waiting:
                self.waiting.remove(waiter)

    def _max_wait_s(self, request: AdmissionRequest, is_caller_retry: bool) -> float:
        max_wait_s = max(0.0, request.objective_s - self._answer_latency_s)
        if is_caller_retry:
            max_wait_s = CALLER_RETRY_MAX_WAIT_S
        return min(max_wait_s, request.time_left_s)

    def _expected_wait_s(self) -> float:
        """Return the expected wait of a request that joins the queue now."""
        since_completion_s = (
            self._running_s() - self._completed_at_s if self._completed_at_s else 0.0
        )
        return (len(self.waiting) + 1) * max(self._completion_interval_s, since_completion_s)

    def _running_s(self) -> float:
        return (self.running_clock or self.clock)()

    def _choose_upstream(
        self, tried: Collection[str], *, requests_tokens: bool = False
    ) -> Upstream | None:
        return self.upstreams.choose(
            self.service,
            tried,
            self.clock(),
            self._list_excluded_groups(),
            requests_tokens=requests_tokens,
        )

    def _list_excluded_groups(self) -> list[str]:
        """Return the broken groups not due for a probe, or none if all groups are broken."""
        groups = self.upstreams.groups_of(self.service)
        broken = [g for g in groups if self.health.is_broken(g)]
        if len(broken) == len(groups):
            return []
        now_s = self.clock()
        return [g for g in broken if now_s < self._next_probe_at_s(g)]

    def _next_probe_at_s(self, group_key: str) -> float:
        group_probed_at_s = self._group_probed_at_s.get(group_key, float("-inf"))
        pause_s = self.rng.uniform(REPROBE_INTERVAL_S, 2 * REPROBE_INTERVAL_S)
        return max(self.health.refused_at_s[group_key], group_probed_at_s) + pause_s

    def _reserve(self, upstream: Upstream) -> Upstream:
        self.upstreams.acquire(upstream)
        if self.health.is_broken(upstream.listed.group_key):
            self._group_probed_at_s[upstream.listed.group_key] = self.clock()
        return upstream

    def _record_time_left(self, request: AdmissionRequest) -> bool:
        """Record a caller's remaining time and return whether the request is a caller retry."""
        max_s = max(request.caller_time_left_s, self._max_time_left_s.get(request.route, 0.0))
        self._max_time_left_s[request.route] = max_s
        return request.caller_time_left_s < CALLER_RETRY_TIME_LEFT_SHARE * max_s

    def _may_probe(self) -> bool:
        now_s = self.clock()
        if now_s - self._probed_at_s < PROBE_INTERVAL_S:
            return False
        self._probed_at_s = now_s
        return True

    def _max_retry_after_s(self, request: AdmissionRequest) -> float:
        return min(RETRY_AFTER_MAX_S, RETRY_AFTER_TIME_LEFT_SHARE * request.time_left_s)

    def _retry_after_s(self, request: AdmissionRequest) -> float:
        """Return when a slot is expected to be free, after those offered to earlier callers.

        While all upstreams are in backoff, this is at least the end of the first backoff, even if
        callers do not wait that long: an earlier retry is certain to be refused.
        """
        now_s = self.clock()
        backoff_s = self.upstreams.backoff_left_s(self.service, now_s)
        max_s = max(self._max_retry_after_s(request), backoff_s and backoff_s + BACKOFF_SPREAD_S)
        interval_s = self._completion_interval_s / CALLER_RETRY_SLOT_SHARE
        self._promised_until_s = max(self._promised_until_s, now_s + backoff_s) + interval_s
        wait_s = RETRY_AFTER_MIN_S + self._promised_until_s - now_s
        if wait_s <= max_s:
            return wait_s
        self._promised_until_s = now_s + max_s
        return self.rng.uniform(max(backoff_s, min(RETRY_AFTER_MIN_S, max_s)), max_s)
