"""Serve one request: admit it, send it to upstreams until one answers, and relay the answer."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus

from dalehollow.aio import (
    CallerConnection,
    CallerRequest,
    ResponseDroppedError,
    ResponseError,
    ResponseHead,
)
from dalehollow.crashes import Fingerprint
from dalehollow.framing import BodyFraming
from dalehollow.gateway import bodies, outcome
from dalehollow.gateway.admission import (
    CRASHES_UPSTREAMS,
    Admission,
    AdmissionRefusal,
    AdmissionRequest,
)
from dalehollow.gateway.admit import Job, Refusal, admit
from dalehollow.gateway.attempt import Answered, AttemptResult, MayHaveRun, NotRun, send_attempt
from dalehollow.gateway.headers import HOP_HEADERS
from dalehollow.gateway.outcome import Progress
from dalehollow.gateway.state import GatewayState
from dalehollow.gateway.upstream import Move, MoveReason, Upstream
from dalehollow.telemetry.logs import log_event

_MIN_SERVER_ERROR_STATUS = 500
ELSEWHERE_RETRY_AFTER_S = 0.05
"""Another gateway can take the request at once; the delay lets the balancer choose another."""
_MS_PER_S = 1000

_LOG = logging.getLogger(__name__)


STOPPING = Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "stopping", ELSEWHERE_RETRY_AFTER_S)
"""Refusal of requests that may not end before this process does."""


async def serve_request(
    state: GatewayState, caller: CallerConnection, request: CallerRequest
) -> None:
    """Validate, admit and proxy one request."""
    admitted = admit(request, state.table, state.names, state.rng)
    if isinstance(admitted, Refusal):
        outcome.refuse(state, caller, request, admitted)
        return
    if admitted.deadline_s > state.ends_at_s and not admitted.route.is_repeatable:
        # It might still run when the process ends, and must not be sent again.
        outcome.refuse(state, caller, request, STOPPING)
        return
    ruling = state.suspects.check_request(admitted.fingerprints)
    if ruling.refused_s:
        refusal = Refusal(HTTPStatus.SERVICE_UNAVAILABLE, CRASHES_UPSTREAMS, ruling.refused_s)
        outcome.refuse(state, caller, request, refusal)
        return
    arrived_at_s = state.standstills.estimate_arrival_s(admitted.caller_time_left_s)
    progress = Progress(arrived_at_s, is_probe=ruling.is_probe)
    try:
        async with asyncio.timeout_at(min(admitted.deadline_s, state.ends_at_s)) as limit:
            state.running.add(limit)
            try:
                await _Exchange(state, caller, admitted, progress).run()
            finally:
                state.running.discard(limit)
    except TimeoutError:
        outcome.end_timed_out(state, caller, admitted, progress)
    except asyncio.CancelledError:
        outcome.record_caller_left(state, admitted, progress)
        raise


class _Exchange:
    """Run the attempts of one admitted request."""

    def __init__(
        self, state: GatewayState, caller: CallerConnection, job: Job, progress: Progress
    ) -> None:
        self._state = state
        self._caller = caller
        self._job = job
        self._progress = progress
        self._clock = asyncio.get_running_loop().time
        # Excludes standstills of this process.
        self._running_clock = state.standstills.running_s
        self._sent_at_s = self._sent_running_s = 0.0
        # Events received from earlier upstreams, and what this one began to answer.
        self._events_before = 0
        self._begun: frozenset[Fingerprint] | None = None
        # Time at which a retry was taken from the budget, while it has not been sent.
        self._retry_taken_at_s: float | None = None

    async def run(self) -> None:
        """Attempt the request until an upstream answers or no further attempt is allowed."""
        try:
            await self._run_attempts()
        finally:
            if self._retry_taken_at_s is not None:
                self._state.retry_window(self._job.service).release(self._retry_taken_at_s)

    async def _run_attempts(self) -> None:
        admission = self._state.admission(self._job.service)
        while True:
            began_s = self._clock()
            granted = await admission.acquire(self._make_admission_request(), self._progress.tried)
            self._progress.waited_s += self._clock() - began_s
            if isinstance(granted, AdmissionRefusal):
                return self._give_up(granted.reason, granted.retry_after_s)
            if refused_s := self._refused_s():
                admission.release(granted)
                return self._give_up(CRASHES_UPSTREAMS, refused_s)
            if not self._count_attempt():
                admission.release(granted)
                return self._give_up_retry(admission)
            self._record_chosen(granted)
            self._state.on_change()
            try:
                is_done = await self._run_attempt(granted)
            finally:
                admission.release(granted)
                self._state.on_change()
            if is_done:
                return None
            if self._progress.is_own_failure:
                return self._give_up("cannot_connect", ELSEWHERE_RETRY_AFTER_S)
            if refused_s := self._refused_s():
                return self._give_up(CRASHES_UPSTREAMS, refused_s)
            if self._retry_taken_at_s is None and not self._take_retry():
                return self._give_up_retry(admission)

    def _refused_s(self) -> float:
        """Return how long the request is refused by now, 0 if it is not or is itself the probe.

        What was learned while it waited or was in flight counts before each attempt.
        """
        if self._progress.is_probe and not self._progress.tried:
            return 0.0
        return self._state.suspects.refused_s(self._job.fingerprints)

    def _record_chosen(self, upstream: Upstream) -> None:
        progress = self._progress
        progress.tried.append(upstream.listed.incarnation)
        progress.load = upstream.load(self._clock())
        progress.backoff_left_s = upstream.backoff_left_s(self._clock())
        progress.is_far = upstream.listed.hall != self._state.upstreams.hall

    def _make_admission_request(self) -> AdmissionRequest:
        job = self._job
        events = self._progress.splitter.count
        return AdmissionRequest(
            route=job.route.name,
            priority=job.priority,
            objective_s=job.route.objective_ms / _MS_PER_S,
            time_left_s=job.deadline_s - self._clock(),
            caller_time_left_s=job.caller_time_left_s,
            expected_duration_s=self._state.expected_run_s(
                job.service, job.expected_tokens, events
            ),
            fingerprints=job.fingerprints,
        )

    async def _run_attempt(self, upstream: Upstream) -> bool:
        """Make one attempt; return whether the request is finished."""
        job, state, progress = self._job, self._state, self._progress
        resume_after = progress.splitter.last_id if self._caller.has_sent_head else None
        may_have_run_before, progress.may_have_run = progress.may_have_run, True
        self._sent_at_s, self._sent_running_s = self._clock(), self._running_clock()
        self._events_before = progress.splitter.count
        self._begun = None
        move = Move()
        if self._is_movable():
            upstream.moves.add(move)
        if job.route.is_repeatable and not progress.is_probe:
            state.unanswered[move] = job.fingerprints
        try:
            result = await send_attempt(
                job,
                upstream,
                state.names,
                resume_after=resume_after,
                connect_timeout_s=state.connect_timeout_s,
                move=move,
            )
            if isinstance(result, MayHaveRun):
                await self._handle_broken_connection(upstream, move)
            if isinstance(result, NotRun):
                progress.may_have_run = may_have_run_before
            if result.signals is not None:
                state.apply_signals(upstream, result.signals)
            if move.is_requested and not isinstance(result, Answered):
                self._record_attempt(upstream, "attempt_moved", str(move.reason))
                return False
            self._record_result(upstream, result)
            if not isinstance(result, Answered):
                return False
            return await self._relay_or_drop(upstream, result, move)
        except asyncio.CancelledError:
            # The caller disconnected or the deadline passed. A crashed upstream may merely have
            # stopped responding, so an attempt without any output still counts as broken off.
            if not progress.first_piece_at_s:
                self._record_broken_attempt(upstream)
            raise
        finally:
            upstream.moves.discard(move)
            state.unanswered.pop(move, None)

    def _count_attempt(self) -> bool:
        """Count a first attempt when its request arrived, or a retry now.

        Returns False if the retry budget does not allow the retry any more.
        """
        window = self._state.retry_window(self._job.service)
        taken_at_s, self._retry_taken_at_s = self._retry_taken_at_s, None
        if taken_at_s is not None:
            return window.mark_sent(taken_at_s, self._clock())
        window.count_first_attempt(self._progress.arrived_at_s, self._clock())
        return True

    async def _handle_broken_connection(self, upstream: Upstream, move: Move) -> None:
        """Record a broken connection and check whether the upstream crashed."""
        if move.reason in (MoveReason.SLOW_RANK, MoveReason.CRASHES_UPSTREAMS):
            return
        self._record_broken_attempt(upstream)
        await self._state.check_for_crash(upstream)

    def _record_broken_attempt(self, upstream: Upstream) -> None:
        events = self._progress.splitter.count - self._events_before
        self._state.crashes.record_broken_attempt(
            self._job,
            upstream,
            events=events,
            begun=self._begun,
            in_flight_s=self._clock() - self._sent_at_s,
        )

    async def _relay_or_drop(self, upstream: Upstream, answered: Answered, move: Move) -> bool:
        """Relay an answer; return False if it broke off and another attempt may continue it."""
        try:
            return await self._relay(upstream, answered, move)
        except ResponseDroppedError as exc:
            # This process lacks memory: the upstream is not blamed for it.
            self._record_answer_end(is_complete=False)
            self._record_attempt(upstream, "answer_dropped", str(exc))
            return False
        except ResponseError as exc:
            await self._handle_broken_connection(upstream, move)
            body = outcome.describe_body(self._progress)
            if move.is_requested:
                self._record_attempt(upstream, "attempt_moved", str(move.reason), **body)
            else:
                self._record_answer_end(is_complete=False)
                self._record_failure(upstream, is_unreachable=False)
                self._record_attempt(upstream, "answer_broken", str(exc), **body)
            return False
        finally:
            answered.connection.abort()

    def _is_movable(self) -> bool:
        """Return whether the current attempt may be followed by another whatever its result."""
        route = self._job.route
        return route.is_repeatable and len(self._progress.tried) < route.max_attempts

    def _record_result(self, upstream: Upstream, result: AttemptResult) -> None:
        state, now_s = self._state, self._clock()
        if isinstance(result, Answered):
            state.health.record_served(upstream.listed.group_key, now_s)
            return
        self._record_attempt(upstream, "attempt_failed", result.reason)
        if isinstance(result, NotRun) and result.is_own_failure:
            self._progress.is_own_failure = True
            return
        if isinstance(result, MayHaveRun):
            self._record_failure(upstream, is_unreachable=False)
            return
        if result.is_port_closed or result.is_other_upstream:
            # An answer with another identity means that the listed upstream is gone and that its
            # address has been reused.
            state.upstreams.record_failure(upstream, now_s, is_unreachable=True)
            if result.is_port_closed:
                state.record_port_closed(upstream)
        elif result.is_unreachable:
            self._record_failure(upstream, is_unreachable=True)
        elif not result.is_group_broken:
            # An upstream that refuses immediately has no requests in flight, so least-loaded
            # selection would choose it again.
            upstream.eject(now_s)
        if result.is_group_broken:
            self._record_group_broken(upstream.listed.group_key)

    def _record_failure(self, upstream: Upstream, *, is_unreachable: bool) -> None:
        """Record a failed attempt, unless this process stood still during it.

        Time-outs pass and connections break in a standstill whatever the upstream does.
        """
        state = self._state
        if not state.standstills.has_ended_since(self._sent_at_s):
            state.upstreams.record_failure(upstream, self._clock(), is_unreachable=is_unreachable)

    def _record_group_broken(self, group_key: str) -> None:
        health = self._state.health
        if not health.is_broken(group_key):
            log_event(_LOG, "group_broken", group=group_key)
        health.record_refused(group_key, self._clock())

    async def _relay(self, upstream: Upstream, answered: Answered, move: Move) -> bool:
        """Relay an answer; return False if the request is to be retried instead."""
        head, connection = answered.head, answered.connection
        self._progress.framing = head.framing
        is_stream = bodies.is_relayed_as_stream(self._job.route, head)
        if self._caller.has_sent_head and not is_stream:
            raise ResponseError(
                f"upstream answered status {head.status} to a request to resume a stream"
            )
        if is_stream:
            await self._relay_stream(upstream, answered, move)
            upstream.record_answer(failed=False)
        else:
            body = await bodies.read_buffered(connection, self._state.memory)
            bodies.check_buffered(head, body)
            self._record_answer_end(is_complete=True)
            self._record_answer_latency()
            if self._record_status(upstream, head) and self._take_retry(is_answered=True):
                return False
            self._caller.send_response(head.status, _end_to_end_headers(head), body)
        if head.status < HTTPStatus.BAD_REQUEST:
            self._record_answered(upstream, head)
        outcome.record_completed(self._state, self._job, self._progress, head.status)
        return True

    def _record_answered(self, upstream: Upstream, head: ResponseHead) -> None:
        """Record that the upstream answered the request without crashing."""
        if head.framing is BodyFraming.CONNECTION:
            # A crash may have ended the body, too.
            self._record_broken_attempt(upstream)
            self._state.confirm_answer(upstream, self._job.fingerprints)
        else:
            self._state.suspects.record_answered(self._job.fingerprints)

    def _record_status(self, upstream: Upstream, head: ResponseHead) -> bool:
        """Record a complete answer as a success or failure; return whether it is a failure."""
        if head.status < _MIN_SERVER_ERROR_STATUS:
            upstream.record_answer(failed=False)
            return False
        self._state.upstreams.record_failure(upstream, self._clock(), is_unreachable=False)
        return True

    async def _relay_stream(self, upstream: Upstream, answered: Answered, move: Move) -> None:
        head, connection = answered.head, answered.connection
        splitter = self._progress.splitter
        splitter.begin_body()
        if not self._caller.has_sent_head:
            # The length of this body is not passed on: a resumed stream continues in another body.
            self._caller.begin_stream(head.status, _end_to_end_headers(head))
        pass_times = self._state.pass_times_of(upstream.listed)
        last: tuple[float, float] | None = None
        while (piece := await connection.read_piece()) is not None:
            events = bodies.split_events(splitter, piece)
            if events:
                if self._begun is None:
                    self._state.unanswered.pop(move, None)
                    self._begun = self._state.suspects.record_begun(self._job.fingerprints)
                now_s, running_s = self._clock(), self._running_clock()
                if last is not None:
                    self._progress.record_pause(now_s - last[0])
                    pass_times.record_pause(running_s - last[1])
                elif not self._progress.first_piece_at_s:
                    outcome.record_first_piece(self._state, self._job, self._progress)
                    self._record_answer_latency()
                last = now_s, running_s
            await self._caller.send_piece(events)
        bodies.check_stream_end(head, splitter)
        self._record_answer_end(is_complete=True)
        await self._caller.send_piece(splitter.flush())
        self._caller.end_stream()

    def _record_answer_latency(self) -> None:
        latency_s = self._running_clock() - self._sent_running_s
        self._state.admission(self._job.service).record_answer_latency(latency_s)

    def _take_retry(self, *, is_answered: bool = False) -> bool:
        """Return whether a retry is allowed; if so, take it from the retry budget."""
        job, progress = self._job, self._progress
        if len(progress.tried) >= job.route.max_attempts:
            return False
        if (progress.may_have_run or is_answered) and not job.route.is_repeatable:
            return False
        if not self._state.suspects.may_be_retried(job.fingerprints):
            return False
        if self._state.admission(job.service).is_broken():
            # Every rank of a broken group refuses requests, so a retry cannot succeed.
            return False
        self._retry_taken_at_s = self._state.take_retry(job.service, job.request_id)
        return self._retry_taken_at_s is not None

    def _give_up_retry(self, admission: Admission) -> None:
        """End the request because another attempt is not allowed."""
        retry_after_s = admission.suggest_retry_after_s(self._make_admission_request())
        self._give_up("no_try_left", retry_after_s)

    def _give_up(self, reason: str, retry_after_s: float) -> None:
        """End the request with an error response, or cut off an answer that has begun."""
        state, caller, job, progress = self._state, self._caller, self._job, self._progress
        if caller.has_sent_head:
            outcome.cut(state, caller, job, progress, reason)
        elif progress.may_have_run:
            status = HTTPStatus.BAD_GATEWAY
            outcome.fail(state, caller, job, progress, reason, status=status)
        else:
            outcome.fail(
                state,
                caller,
                job,
                progress,
                reason,
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                retry_after_s=retry_after_s,
            )

    def _record_answer_end(self, *, is_complete: bool) -> None:
        outcome.record_answer_end(self._state, self._job, self._progress, is_complete=is_complete)

    def _record_attempt(
        self, upstream: Upstream, event: str, reason: str, **details: object
    ) -> None:
        load = upstream.load(self._clock())
        backoff_left_s = self._progress.backoff_left_s
        outcome.record_attempt(
            self._state,
            self._job,
            upstream,
            event,
            reason,
            load=load,
            backoff_left_s=backoff_left_s,
            **details,
        )


def _end_to_end_headers(head: ResponseHead) -> list[tuple[bytes, bytes]]:
    return [(k, v) for k, v in head.headers if k not in HOP_HEADERS]
