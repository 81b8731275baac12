"""Hold what all requests of a gateway share."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from dalehollow.aio import ConnectError, connect
from dalehollow.gateway.admission import Admission
from dalehollow.gateway.crashes import CrashWatch
from dalehollow.gateway.headers import HeaderNames
from dalehollow.gateway.health import GroupHealth
from dalehollow.gateway.listed import ListedUpstream, read_service
from dalehollow.gateway.pass_times import PassTimes
from dalehollow.gateway.retries import RetryWindow
from dalehollow.gateway.signals import Signals
from dalehollow.gateway.table import EngineFigures, RoutingTable
from dalehollow.gateway.upstream import MoveReason, Upstream
from dalehollow.gateway.upstreams import UpstreamSet
from dalehollow.telemetry.logs import log_event
from dalehollow.telemetry.metrics import Metrics

SAFETY_SHARE = 2 / 3
"""Share of the repeats allowed to all gateways together that is allocated to them. The rest covers
additional repeats of restarted gateways (`STARTUP_SHARE`), repeats that arrive late, and gateways
that temporarily disagree on their number."""

LOOK_WAIT_S = 0.02
"""A few round trips to another hall: a request that broke off goes on elsewhere after this."""

_MS_PER_S = 1000

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True)
class RetryLimits:
    """Hold the bounds of repeats to one service by all gateways together.

    `gateways` is how many share the extra repeats at least; more are counted as they appear.
    """

    window_s: float
    share: float
    extra: float
    gateways: int


def _do_nothing() -> None:
    pass


@dataclass
class GatewayState:
    """Hold the configuration in force, the upstreams and what is kept for each service."""

    names: HeaderNames
    rng: random.Random
    upstreams: UpstreamSet
    retry_limits: RetryLimits
    connect_timeout_s: float
    crashes: CrashWatch
    # When the process started; by default long enough ago for the full retry budget.
    started_at_s: float = float("-inf")
    health: GroupHealth = field(default_factory=GroupHealth)
    metrics: Metrics = field(default_factory=Metrics)
    table: RoutingTable | None = None
    table_at_s: float = 0.0
    admissions: dict[str, Admission] = field(default_factory=dict)
    pass_times: dict[str, PassTimes] = field(default_factory=dict)
    on_change: Callable[[], None] = _do_nothing
    # What is known of the store just now, for the log lines of requests that are refused.
    describe_store: Callable[[], dict[str, object]] = dict
    _retries: dict[str, RetryWindow] = field(default_factory=dict)
    _most_gateways: int = 1
    _looking: set[asyncio.Task[None]] = field(default_factory=set)

    def take_table(self, table: RoutingTable) -> None:
        """Put a configuration in force unless a newer one is."""
        before = self.table.version if self.table is not None else 0
        if table.version <= before:
            return
        self.table = table
        self.table_at_s = asyncio.get_running_loop().time()
        log_event(
            _LOG,
            "config_in_force",
            version=table.version,
            before=before,
            routes=len(table.routes),
            keys=len(table.keys),
        )

    def note_gateways(self, count: int) -> None:
        """Share the extra repeats among the most gateways that were ever seen at once."""
        self._most_gateways = max(self._most_gateways, count)
        for window in self._retries.values():
            window.extra = self._own_extra()

    def retry_window(self, service: str) -> RetryWindow:
        """Return the window of repeats to a service."""
        window = self._retries.get(service)
        if window is None:
            limits = self.retry_limits
            share = limits.share * SAFETY_SHARE
            window = RetryWindow(
                limits.window_s, share, self._own_extra(), self.started_at_s, self.rng.random()
            )
            self._retries[service] = window
        return window

    def take_retry(self, service: str, request_id: bytes) -> float | None:
        """Take a retry from the budget of a service; return the time, or None if none is left."""
        window, now_s = self.retry_window(service), asyncio.get_running_loop().time()
        budget = window.describe(now_s)
        is_allowed = window.take_repeat(now_s)
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
        """Return what lets requests through to a service."""
        admission = self.admissions.get(service)
        if admission is None:
            clock = asyncio.get_running_loop().time
            admission = Admission(service, self.upstreams, self.health, self.rng, clock)
            self.admissions[service] = admission
        return admission

    def pass_times_of(self, listed: ListedUpstream) -> PassTimes:
        """Return what follows the passes of an upstream's group, or of the upstream alone."""
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
        """Return how long so many tokens take at the present pace, 0 where that is unknown.

        `events` of them, of a pass each, have come already: a broken stream goes on after them.
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
        """Return the shortest pause objective of the streams that a service serves, 0 for none."""
        routes = self.table.routes if self.table is not None else ()
        objectives_ms = [
            route.pause_objective_ms
            for route in routes
            if route.pause_objective_ms and any(t.service == service for t in route.targets)
        ]
        return min(objectives_ms, default=0) / _MS_PER_S

    def note_signals(self, upstream: Upstream, signals: Signals) -> None:
        """Take in what an upstream said of itself, and have all that wait judged by it."""
        loop = asyncio.get_running_loop()
        incarnation = upstream.listed.incarnation
        for value in signals.unusable:
            text = value.decode("latin-1")
            log_event(_LOG, "signal_unusable", incarnation=incarnation, value=text)
        if signals.is_leaving and not upstream.is_leaving():
            upstream.said.is_leaving = True
            log_event(_LOG, "upstream_leaving", incarnation=incarnation, by="answer")
            self.grant_all()
        has_limit = upstream.said.limit_per_s is not None
        if (has_limit or signals.limit_per_s is not None) and not signals.is_limit_unusable:
            self.upstreams.note_limit(upstream, signals.limit_per_s, loop.time())
            self.on_change()
        if signals.backoff_s:
            upstream.note_rest(signals.backoff_s, loop.time())
            log_event(_LOG, "upstream_rests", incarnation=incarnation, for_s=signals.backoff_s)
            self.grant_all()
            loop.call_later(signals.backoff_s, self.grant_all)

    async def look_for_crash(self, listed: ListedUpstream) -> None:
        """See by its port whether an upstream has crashed; wait as long as one that runs needs."""
        looking = asyncio.get_running_loop().create_task(self._look_for_crash(listed))
        self._looking.add(looking)
        looking.add_done_callback(self._looking.discard)
        await asyncio.wait({looking}, timeout=LOOK_WAIT_S)

    async def _look_for_crash(self, listed: ListedUpstream) -> None:
        try:
            connection = await connect(listed.address, self.connect_timeout_s)
        except ConnectError as exc:
            if exc.is_refused:
                self.crashes.note_port_closed(listed)
            return
        connection.abort()

    def move_from_slow_ranks(self, group_key: str) -> None:
        """Have requests at slow ranks go on elsewhere: each holds its whole group up.

        A request whose repeat finds no room would be cut, so only half of the room is used.
        """
        moves = [m for m in self.upstreams.list_moves(group_key) if not m.is_asked]
        window = self.retry_window(read_service(group_key))
        room = window.count_available(asyncio.get_running_loop().time()) // 2
        if moves:
            log_event(_LOG, "requests_moved", group=group_key, count=len(moves[:room]), room=room)
        for move in moves[:room]:
            move.ask(MoveReason.SLOW_RANK)

    def grant_all(self) -> None:
        """Give free places to those that wait, after a change of what upstreams take."""
        for admission in self.admissions.values():
            admission.grant()

    def _own_extra(self) -> float:
        return self.retry_limits.extra * SAFETY_SHARE / self._count_gateways()

    def _count_gateways(self) -> int:
        """Return the number of gateways among which the extra repeats are divided."""
        return max(self.retry_limits.gateways, self._most_gateways)

    def _pass_ms(self, service: str, batch: float) -> float:
        engine = self._find_engine(service)
        return engine.pass_ms(batch) if engine is not None else 1.0

    def _find_engine(self, service: str) -> EngineFigures | None:
        known = self.table.services.get(service) if self.table is not None else None
        return known.engine if known is not None else None
