"""Hold the state shared by all requests of a gateway."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from dalehollow.aio import ConnectError, MemoryBudget, connect
from dalehollow.crashes import Fingerprint, Suspects
from dalehollow.gateway.admission import Admission
from dalehollow.gateway.crashes import CrashWatch
from dalehollow.gateway.headers import HeaderNames
from dalehollow.gateway.health import GroupHealth
from dalehollow.gateway.listed import ListedUpstream, read_service
from dalehollow.gateway.pass_times import PassTimes
from dalehollow.gateway.retries import RetryWindow
from dalehollow.gateway.signals import Signals
from dalehollow.gateway.standstill import StandstillWatch
from dalehollow.gateway.table import EngineFigures, RoutingTable
from dalehollow.gateway.upstream import Move, MoveReason, Upstream
from dalehollow.gateway.upstreams import UpstreamSet
from dalehollow.telemetry.logs import log_event
from dalehollow.telemetry.metrics import Metrics

ALLOCATED_SHARE = 2 / 3
"""Share of the total retry budget that is allocated to gateways. The remainder covers additional
retries of restarted gateways (`STARTUP_SHARE`), retries that arrive late, and gateways that
temporarily disagree on their number."""

CRASH_CHECK_TIMEOUT_S = 0.02
"""Longest delay of a retry while its upstream's port is checked, a few round trips to another
hall."""

_MS_PER_S = 1000

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True)
class RetryLimits:
    """Hold the retry budget for one service, shared by all gateways.

    `gateways` is the minimum number of gateways that `extra` is divided among; a larger number is
    used once as many have been discovered.
    """

    window_s: float
    share: float
    extra: float
    gateways: int


def _do_nothing() -> None:
    pass


def _read_loop_time() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class GatewayState:
    """Hold the active configuration, the upstreams and the state of each service."""

    names: HeaderNames
    rng: random.Random
    upstreams: UpstreamSet
    retry_limits: RetryLimits
    connect_timeout_s: float
    crashes: CrashWatch
    # Start time of the process; the default gives the full retry budget immediately.
    started_at_s: float = float("-inf")
    standstills: StandstillWatch = field(default_factory=lambda: StandstillWatch(_read_loop_time))
    health: GroupHealth = field(default_factory=GroupHealth)
    metrics: Metrics = field(default_factory=Metrics)
    memory: MemoryBudget = field(default_factory=MemoryBudget)
    table: RoutingTable | None = None
    table_applied_at_s: float = 0.0
    admissions: dict[str, Admission] = field(default_factory=dict)
    pass_times: dict[str, PassTimes] = field(default_factory=dict)
    on_change: Callable[[], None] = _do_nothing
    # Returns the state of the store for the log lines of refused requests.
    describe_store: Callable[[], dict[str, object]] = dict
    _retries: dict[str, RetryWindow] = field(default_factory=dict)
    # Attempts that may be repeated and that no upstream has begun to answer.
    unanswered: dict[Move, tuple[Fingerprint, ...]] = field(default_factory=dict)
    # Time by which all requests must end, infinite unless the process shuts down.
    ends_at_s: float = float("inf")
    # Time-outs of the requests in flight.
    running: set[asyncio.Timeout] = field(default_factory=set)
    _max_gateways: int = 1
    _crash_checks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def suspects(self) -> Suspects:
        """Return what is suspected of crashing upstreams."""
        return self.crashes.suspects

    def end_requests_at(self, ends_at_s: float) -> None:
        """Limit the time of all requests, those in flight included, because the process ends."""
        self.ends_at_s = ends_at_s
        for limit in self.running:
            when_s = limit.when()
            if when_s is not None and when_s > ends_at_s and not limit.expired():
                limit.reschedule(ends_at_s)

    def apply_table(self, table: RoutingTable) -> None:
        """Apply a configuration unless its version is already applied or older."""
        before = self.table.version if self.table is not None else 0
        if table.version <= before:
            return
        self.table = table
        self.table_applied_at_s = asyncio.get_running_loop().time()
        log_event(
            _LOG,
            "config_in_force",
            version=table.version,
            before=before,
            routes=len(table.routes),
            keys=len(table.keys),
        )

    def record_gateways(self, count: int) -> None:
        """Divide the extra retries by the largest number of gateways seen at the same time."""
        self._max_gateways = max(self._max_gateways, count)
        for window in self._retries.values():
            window.extra = self._own_extra()

    def retry_window(self, service: str) -> RetryWindow:
        """Return the retry window of a service."""
        window = self._retries.get(service)
        if window is None:
            limits = self.retry_limits
            share = limits.share * ALLOCATED_SHARE
            window = RetryWindow(
                limits.window_s, share, self._own_extra(), self.started_at_s, self.rng.random()
            )
            self._retries[service] = window
        return window

    def take_retry(self, service: str, request_id: bytes) -> float | None:
        """Take a retry from the budget of a service; return the time, or None if none is left."""
        window, now_s = self.retry_window(service), asyncio.get_running_loop().time()
        budget = window.describe(now_s)
        is_allowed = window.try_take(now_s)
        self.metrics.count("retries", service=service, allowed=str(is_allowed).lower())
        log_event(
            _LOG,
            "retry_decided",
            request=request_id.decode("latin-1"),
            service=service,
            is_allowed=is_allowed,
            gateways=self._count_gateways(),
            **budget,
        )
        return now_s if is_allowed else None

    def describe_retries(self) -> dict[str, dict[str, object]]:
        """Return the state of the retry budget of each service."""
        now_s = asyncio.get_running_loop().time()
        return {service: window.describe(now_s) for service, window in self._retries.items()}

    def admission(self, service: str) -> Admission:
        """Return the admission control of a service."""
        admission = self.admissions.get(service)
        if admission is None:
            clock = asyncio.get_running_loop().time
            admission = Admission(
                service,
                self.upstreams,
                self.health,
                self.rng,
                clock,
                running_clock=self.standstills.running_s,
            )
            self.admissions[service] = admission
        return admission

    def pass_times_of(self, listed: ListedUpstream) -> PassTimes:
        """Return the pass times of an upstream's rank group, or of its service without a group."""
        key, service = listed.group_key, listed.service
        pass_times = self.pass_times.get(key)
        if pass_times is None:
            pass_times = PassTimes(
                asyncio.get_running_loop().time,
                lambda: self.upstreams.mean_batch(key),
                lambda batch: self._pass_ms(service, batch),
            )
            self.pass_times[key] = pass_times
        return pass_times

    def expected_run_s(self, service: str, tokens: int, events: int = 0) -> float:
        """Return the expected time to generate `tokens`, 0 if the current rate is unknown.

        The passes of the `events` already received are deducted, because a broken stream resumes
        after them.
        """
        engine = self._find_engine(service)
        if engine is None:
            return 0.0
        groups = self.upstreams.groups_of(service)
        known = [self.pass_times[g].pass_s() for g in groups if g in self.pass_times]
        passes_s = [pass_s for pass_s in known if pass_s is not None]
        if not passes_s:
            return 0.0
        return max(0.0, tokens / max(1, engine.steps_per_pass) - events) * min(passes_s)

    def pause_objective_s(self, service: str) -> float:
        """Return the shortest pause objective of a service's routes, 0 if there is none."""
        routes = self.table.routes if self.table is not None else ()
        objectives_ms = [
            route.pause_objective_ms
            for route in routes
            if route.pause_objective_ms and any(t.service == service for t in route.targets)
        ]
        return min(objectives_ms, default=0) / _MS_PER_S

    def apply_signals(self, upstream: Upstream, signals: Signals) -> None:
        """Apply the state reported by an upstream and reconsider all waiting requests."""
        loop = asyncio.get_running_loop()
        incarnation = upstream.listed.incarnation
        for value in signals.unusable:
            text = value.decode("latin-1")
            log_event(_LOG, "signal_unusable", incarnation=incarnation, value=text)
        if signals.is_leaving and not upstream.is_leaving():
            upstream.reported_state.is_leaving = True
            log_event(
                _LOG,
                "upstream_leaving",
                incarnation=incarnation,
                run=upstream.run_name,
                by="answer",
            )
            self.grant_all()
        has_limit = upstream.limit_per_s() is not None
        if (has_limit or signals.limit_per_s is not None) and not signals.is_limit_unusable:
            self.upstreams.record_limit(upstream, signals.limit_per_s, loop.time())
            self.on_change()
        if signals.backoff_s:
            upstream.start_backoff(signals.backoff_s, loop.time())
            log_event(
                _LOG,
                "upstream_rests",
                incarnation=incarnation,
                run=upstream.run_name,
                for_s=signals.backoff_s,
            )
            self.grant_all()
            loop.call_later(signals.backoff_s, self.grant_all)

    async def check_for_crash(self, upstream: Upstream) -> None:
        """Check for a closed port; return after `CRASH_CHECK_TIMEOUT_S` at the latest."""
        await asyncio.wait(
            {self._start_crash_check(upstream, _do_nothing)}, timeout=CRASH_CHECK_TIMEOUT_S
        )

    def confirm_answer(self, upstream: Upstream, fingerprints: tuple[Fingerprint, ...]) -> None:
        """Count an answer as complete if its upstream is found not to have crashed."""
        if self.suspects.needs_answer(fingerprints):
            self._start_crash_check(upstream, lambda: self.suspects.record_answered(fingerprints))

    def record_port_closed(self, upstream: Upstream) -> None:
        """Record that nothing listens on the port of an upstream."""
        self.upstreams.record_port_closed(upstream.listed.incarnation)
        self.on_change()

    def _start_crash_check(
        self, upstream: Upstream, on_alive: Callable[[], None]
    ) -> asyncio.Task[None]:
        check = asyncio.get_running_loop().create_task(self._check_for_crash(upstream, on_alive))
        self._crash_checks.add(check)
        check.add_done_callback(self._crash_checks.discard)
        return check

    async def _check_for_crash(self, upstream: Upstream, on_alive: Callable[[], None]) -> None:
        try:
            connection = await connect(upstream.listed.address, self.connect_timeout_s)
        except ConnectError as exc:
            if exc.is_refused:
                self.crashes.record_port_closed(upstream.listed, upstream.unlisted_runs)
                self.record_port_closed(upstream)
            return
        connection.abort()
        on_alive()

    def move_from_slow_ranks(self, group_key: str) -> None:
        """Move requests away from slow ranks, where each of them slows down the whole group.

        A request without a retry in the budget would be cut off, so only half of the budget is
        used.
        """
        moves = [m for m in self.upstreams.list_moves(group_key) if not m.is_requested]
        window = self.retry_window(read_service(group_key))
        room = window.count_available(asyncio.get_running_loop().time()) // 2
        if moves:
            log_event(_LOG, "requests_moved", group=group_key, count=len(moves[:room]), room=room)
        for move in moves[:room]:
            move.request(MoveReason.SLOW_RANK)

    def grant_all(self) -> None:
        """Grant free slots to waiting requests after upstreams have changed."""
        for admission in self.admissions.values():
            admission.grant()

    def refuse_crashing(self) -> None:
        """Refuse waiting requests that turned out to crash upstreams, and end their attempts."""
        for admission in self.admissions.values():
            admission.refuse_crashing(self.suspects.refused_s)
        for move, fingerprints in list(self.unanswered.items()):
            if self.suspects.refused_s(fingerprints):
                move.request(MoveReason.CRASHES_UPSTREAMS)

    def _own_extra(self) -> float:
        return self.retry_limits.extra * ALLOCATED_SHARE / self._count_gateways()

    def _count_gateways(self) -> int:
        """Return the number of gateways that the extra retries are divided by."""
        return max(self.retry_limits.gateways, self._max_gateways)

    def _pass_ms(self, service: str, batch: float) -> float:
        engine = self._find_engine(service)
        return engine.pass_ms(batch) if engine is not None else 1.0

    def _find_engine(self, service: str) -> EngineFigures | None:
        known = self.table.services.get(service) if self.table is not None else None
        return known.engine if known is not None else None
