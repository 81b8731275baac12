"""Serve one request: admit it, try upstreams for it, and relay an answer."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from dalehollow.aio import AnswerHead, CallerConnection, CallerRequest, CutError
from dalehollow.gateway.admission import Admission, NoPlace, Turn
from dalehollow.gateway.admit import Job, Refusal, admit
from dalehollow.gateway.attempt import Answered, AttemptResult, MayHaveRun, NotRun, send_attempt
from dalehollow.gateway.events import EventSplitter
from dalehollow.gateway.headers import HOP_HEADERS, HeaderNames
from dalehollow.gateway.peers import GroupHealth
from dalehollow.gateway.retries import RetryWindow
from dalehollow.gateway.rhythm import Rhythm
from dalehollow.gateway.table import RequestKind, RoutingTable
from dalehollow.gateway.upstreams import Upstream, UpstreamSet
from dalehollow.telemetry.logs import log_event

_FIRST_FAILED_STATUS = 500
_MS_PER_S = 1000

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True)
class RetryLimits:
    """Hold the bounds of repeats to one service by one gateway."""

    window_s: float
    share: float
    extra: float


def _do_nothing() -> None:
    pass


@dataclass
class GatewayState:
    """Hold what all requests of a gateway share."""

    names: HeaderNames
    rng: random.Random
    upstreams: UpstreamSet
    retry_limits: RetryLimits
    connect_timeout_s: float
    health: GroupHealth = field(default_factory=GroupHealth)
    table: RoutingTable | None = None
    retries: dict[str, RetryWindow] = field(default_factory=dict)
    admissions: dict[str, Admission] = field(default_factory=dict)
    rhythms: dict[str, Rhythm] = field(default_factory=dict)
    on_change: Callable[[], None] = _do_nothing

    def take_table(self, table: RoutingTable) -> None:
        """Put a configuration in force unless a newer one is."""
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        log_event(_LOG, "config_in_force", version=table.version, routes=len(table.routes))

    def retry_window(self, service: str) -> RetryWindow:
        """Return the window of repeats to a service."""
        window = self.retries.get(service)
        if window is None:
            limits = self.retry_limits
            window = RetryWindow(limits.window_s, limits.share, limits.extra)
            self.retries[service] = window
        return window

    def admission(self, service: str) -> Admission:
        """Return what lets requests through to a service."""
        admission = self.admissions.get(service)
        if admission is None:
            clock = asyncio.get_running_loop().time
            admission = Admission(service, self.upstreams, self.health, self.rng, clock)
            self.admissions[service] = admission
        return admission

    def rhythm(self, service: str) -> Rhythm:
        """Return what follows the passes of a service's group."""
        rhythm = self.rhythms.get(service)
        if rhythm is None:
            rhythm = Rhythm(
                asyncio.get_running_loop().time,
                lambda: self.upstreams.mean_batch(service),
                lambda batch: self._pass_ms(service, batch),
            )
            self.rhythms[service] = rhythm
        return rhythm

    def _pass_ms(self, service: str, batch: float) -> float:
        known = self.table.services.get(service) if self.table is not None else None
        engine = known.engine if known is not None else None
        return engine.pass_ms(batch) if engine is not None else 1.0

    def grant_all(self) -> None:
        """Give free places to those that wait, after a change that may have made some."""
        for admission in self.admissions.values():
            admission.grant()


@dataclass
class _Progress:
    """Hold how far a request has come."""

    tried: list[str] = field(default_factory=list)
    may_have_run: bool = False
    splitter: EventSplitter = field(default_factory=EventSplitter)


async def serve_request(
    state: GatewayState, caller: CallerConnection, request: CallerRequest
) -> None:
    """Answer one request."""
    admitted = admit(request, state.table, state.names, state.rng)
    if isinstance(admitted, Refusal):
        refuse(state, caller, request, admitted)
        return
    progress = _Progress()
    try:
        async with asyncio.timeout_at(admitted.give_up_at_s):
            await _Exchange(state, caller, admitted, progress).run()
    except TimeoutError:
        _end_late(state, caller, admitted, progress)


def _end_late(state: GatewayState, caller: CallerConnection, job: Job, progress: _Progress) -> None:
    """Give the final answer of a request whose time is over."""
    if caller.has_begun:
        log_event(_LOG, "answer_cut", request=job.request_id.decode(), reason="timeout")
        caller.cut()
        return
    if progress.may_have_run:
        _fail(state, caller, job, HTTPStatus.GATEWAY_TIMEOUT, "timeout", progress)
        return
    _fail(state, caller, job, HTTPStatus.SERVICE_UNAVAILABLE, "timeout_not_run", progress)


def refuse(
    state: GatewayState, caller: CallerConnection, request: CallerRequest, refusal: Refusal
) -> None:
    """Answer a request that was not admitted."""
    request_id = request.get(state.names.request_id)
    headers = [(state.names.request_id, request_id)] if request_id is not None else []
    if refusal.retry_after_s is not None:
        value = f"{refusal.retry_after_s:.3f}".encode()
        headers.append((state.names.retry_after_s, value))
    log_event(
        _LOG,
        "request_refused",
        request=(request_id or b"").decode("latin-1"),
        status=int(refusal.status),
        reason=refusal.reason,
    )
    caller.send_whole(refusal.status, headers, b"")


def _fail(
    state: GatewayState,
    caller: CallerConnection,
    job: Job,
    status: int,
    reason: str,
    progress: _Progress,
    retry_after_s: float | None = None,
) -> None:
    log_event(
        _LOG,
        "request_failed",
        request=job.request_id.decode("latin-1"),
        status=int(status),
        reason=reason,
        route=job.route.name,
        tried=",".join(progress.tried),
        config_version=job.table_version,
        retry_after_s=round(retry_after_s, 3) if retry_after_s is not None else None,
    )
    headers = [(state.names.request_id, job.request_id)]
    if retry_after_s is not None:
        headers.append((state.names.retry_after_s, f"{retry_after_s:.3f}".encode()))
    caller.send_whole(status, headers, b"")


class _Exchange:
    """Carry one admitted request through its tries."""

    def __init__(
        self, state: GatewayState, caller: CallerConnection, job: Job, progress: _Progress
    ) -> None:
        self._state = state
        self._caller = caller
        self._job = job
        self._progress = progress
        self._clock = asyncio.get_running_loop().time

    async def run(self) -> None:
        """Try upstreams until one answers or no other try is allowed."""
        admission = self._state.admission(self._job.service)
        while True:
            place = await admission.take(self._make_turn(), self._progress.tried)
            if isinstance(place, NoPlace):
                return self._give_up(place.reason, place.retry_after_s)
            self._progress.tried.append(place.listed.incarnation)
            self._state.on_change()
            try:
                is_done = await self._try_one(place)
            finally:
                admission.give_back(place)
                self._state.on_change()
            if is_done:
                return None
            if not self._may_repeat():
                return self._give_up("no_try_left", None)

    def _make_turn(self) -> Turn:
        job = self._job
        return Turn(
            route=job.route.name,
            priority=job.priority,
            objective_s=job.route.objective_ms / _MS_PER_S,
            left_s=job.give_up_at_s - self._clock(),
            caller_left_s=job.caller_left_s,
        )

    async def _try_one(self, upstream: Upstream) -> bool:
        """Try one upstream; return whether the request is over."""
        job, state = self._job, self._state
        if len(self._progress.tried) == 1:
            state.retry_window(job.service).note_first(self._clock())
        resume_after = self._progress.splitter.last_id if self._caller.has_begun else None
        was_unsure, self._progress.may_have_run = self._progress.may_have_run, True
        result = await send_attempt(
            job,
            upstream,
            state.names,
            resume_after=resume_after,
            connect_timeout_s=state.connect_timeout_s,
        )
        if isinstance(result, NotRun):
            self._progress.may_have_run = was_unsure
        self._note_result(upstream, result)
        if not isinstance(result, Answered):
            return False
        try:
            return await self._relay(upstream, result)
        except CutError as exc:
            state.upstreams.note_failure(upstream, self._clock(), is_unreachable=False)
            self._log_attempt(upstream, "answer_broken", str(exc))
            self._progress.splitter.drop_rest()
            return False
        finally:
            result.connection.abort()

    def _note_result(self, upstream: Upstream, result: AttemptResult) -> None:
        upstreams = self._state.upstreams
        if isinstance(result, Answered):
            self._state.health.note_served(self._job.service, self._clock())
            return
        if isinstance(result, NotRun) and result.is_group_broken:
            self._note_broken()
        self._log_attempt(upstream, "attempt_failed", result.reason)
        if isinstance(result, MayHaveRun):
            upstreams.note_failure(upstream, self._clock(), is_unreachable=False)
        elif result.is_unreachable:
            upstreams.note_failure(upstream, self._clock(), is_unreachable=True)

    def _note_broken(self) -> None:
        service, health = self._job.service, self._state.health
        if not health.is_broken(service):
            log_event(_LOG, "group_broken", service=service)
        health.note_refused(service, self._clock())

    async def _relay(self, upstream: Upstream, answered: Answered) -> bool:
        """Relay an answer; return False where another try would serve better."""
        head, connection = answered.head, answered.connection
        is_stream = self._job.route.kind is RequestKind.STREAM and head.status == HTTPStatus.OK
        if self._caller.has_begun and not is_stream:
            raise CutError(f"status {head.status} to a stream that was to go on")
        if is_stream:
            await self._relay_stream(answered)
            upstream.note_answer(failed=False)
            return True
        body = await connection.read_body()
        failed = head.status >= _FIRST_FAILED_STATUS
        if failed:
            self._state.upstreams.note_failure(upstream, self._clock(), is_unreachable=False)
        else:
            upstream.note_answer(failed=False)
        if failed and self._may_repeat(is_answered=True):
            return False
        self._caller.send_whole(head.status, _end_to_end(head), body)
        return True

    async def _relay_stream(self, answered: Answered) -> None:
        head, connection = answered.head, answered.connection
        splitter = self._progress.splitter
        if not self._caller.has_begun:
            length = head.get(b"content-length")
            self._caller.begin_stream(
                head.status, _end_to_end(head), length=int(length) if length else None
            )
        rhythm = self._state.rhythm(self._job.service)
        last_s = None
        while (piece := await connection.read_piece()) is not None:
            events = splitter.feed(piece)
            if events:
                now_s = self._clock()
                if last_s is not None:
                    rhythm.note_pause(now_s - last_s)
                last_s = now_s
            await self._caller.send_piece(events)
        await self._caller.send_piece(splitter.take_rest())
        self._caller.end_stream()

    def _may_repeat(self, *, is_answered: bool = False) -> bool:
        """Return whether another try is allowed, and take it from the budget."""
        job, progress = self._job, self._progress
        if len(progress.tried) >= job.route.max_tries:
            return False
        if (progress.may_have_run or is_answered) and not job.route.is_repeatable:
            return False
        if self._state.health.is_broken(job.service):
            # Another rank of a broken group refuses too; the try would be for nothing.
            return False
        return self._state.retry_window(job.service).take_repeat(self._clock())

    def _give_up(self, reason: str, retry_after_s: float | None) -> None:
        """Tell the caller at once that nothing more is done for its request."""
        if self._caller.has_begun:
            log_event(_LOG, "answer_cut", request=self._job.request_id.decode(), reason=reason)
            self._caller.cut()
            return
        if self._progress.may_have_run:
            _fail(
                self._state, self._caller, self._job, HTTPStatus.BAD_GATEWAY, reason, self._progress
            )
            return
        if retry_after_s is None:
            admission = self._state.admission(self._job.service)
            retry_after_s = admission.suggest_return_s(self._make_turn())
        _fail(
            self._state,
            self._caller,
            self._job,
            HTTPStatus.SERVICE_UNAVAILABLE,
            reason,
            self._progress,
            retry_after_s,
        )

    def _log_attempt(self, upstream: Upstream, event: str, reason: str) -> None:
        log_event(
            _LOG,
            event,
            request=self._job.request_id.decode("latin-1"),
            incarnation=upstream.listed.incarnation,
            reason=reason,
            in_hand=upstream.in_hand,
        )


def _end_to_end(head: AnswerHead) -> list[tuple[bytes, bytes]]:
    return [(k, v) for k, v in head.headers if k not in HOP_HEADERS]
