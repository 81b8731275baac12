"""Report how requests ended to callers, logs and metrics.

Refusals, failures and truncated answers are always logged; ordinary answers are sampled.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from http import HTTPStatus

from dalehollow.aio import CallerConnection, CallerRequest
from dalehollow.events import EventSplitter
from dalehollow.framing import BodyFraming
from dalehollow.gateway.admit import Job, Refusal
from dalehollow.gateway.state import GatewayState
from dalehollow.gateway.upstream import Upstream
from dalehollow.telemetry.logs import log_event

LOG_SAMPLE_RATIO = 1 / 16
"""Share of ordinary answers that are logged, a few lines per second under full load."""
_MS_PER_S = 1000

_LOG = logging.getLogger(__name__)


@dataclass
class Progress:
    """Track the progress of a request; times are seconds on the monotonic clock."""

    # When its caller probably sent it.
    arrived_at_s: float = 0.0
    tried: list[str] = field(default_factory=list)
    # Whether the request tests if a culprit still crashes upstreams.
    is_probe: bool = False
    may_have_run: bool = False
    # Whether this process could not connect to any upstream.
    is_own_failure: bool = False
    waited_s: float = 0.0
    # State of the last upstream when it was chosen: its load, the remainder of its backoff, and
    # whether it is in another hall.
    load: float = 0.0
    backoff_left_s: float = 0.0
    is_far: bool = False
    # Framing of the last answer.
    framing: BodyFraming | None = None
    first_piece_at_s: float = 0.0
    longest_pause_s: float = 0.0
    splitter: EventSplitter = field(default_factory=EventSplitter)

    def record_pause(self, pause_s: float) -> None:
        """Record a pause between two pieces of the answer."""
        self.longest_pause_s = max(self.longest_pause_s, pause_s)


def refuse(
    state: GatewayState, caller: CallerConnection, request: CallerRequest, refusal: Refusal
) -> None:
    """Send and log the refusal of a request that was not sent to any upstream."""
    request_id = request.get(state.names.request_id)
    headers = [(state.names.request_id, request_id)] if request_id is not None else []
    if refusal.retry_after_s is not None:
        headers.append((state.names.retry_after_s, _format_s(refusal.retry_after_s)))
    state.metrics.count("requests", outcome="refused", reason=refusal.reason)
    log_event(
        _LOG,
        "request_refused",
        request=(request_id or b"").decode("latin-1"),
        status=int(refusal.status),
        reason=refusal.reason,
        retry_after_s=refusal.retry_after_s,
        config_version=state.table.version if state.table is not None else None,
        **_describe_config(state, refusal),
    )
    caller.send_response(refusal.status, headers, b"")


def _describe_config(state: GatewayState, refusal: Refusal) -> dict[str, object]:
    """Return the age of the configuration and the state of the store if they decided a refusal."""
    if refusal.status not in (HTTPStatus.UNAUTHORIZED, HTTPStatus.NOT_FOUND):
        return {}
    age_s = asyncio.get_running_loop().time() - state.table_applied_at_s
    return {"config_age_s": round(age_s, 3), **state.describe_store()}


def fail(
    state: GatewayState,
    caller: CallerConnection,
    job: Job,
    progress: Progress,
    reason: str,
    *,
    status: int,
    retry_after_s: float | None = None,
) -> None:
    """Send an error response for an admitted request that no upstream answered."""
    headers = [(state.names.request_id, job.request_id)]
    if retry_after_s is not None:
        headers.append((state.names.retry_after_s, _format_s(retry_after_s)))
    state.metrics.count("requests", outcome="failed", reason=reason)
    _log_end(
        "request_failed",
        job,
        progress,
        status=int(status),
        reason=reason,
        retry_after_s=round(retry_after_s, 3) if retry_after_s is not None else None,
    )
    caller.send_response(status, headers, b"")


def end_timed_out(
    state: GatewayState, caller: CallerConnection, job: Job, progress: Progress
) -> None:
    """End a request whose deadline has passed."""
    if caller.has_sent_head:
        cut(state, caller, job, progress, "timeout")
        return
    if progress.may_have_run:
        status = HTTPStatus.GATEWAY_TIMEOUT
        fail(state, caller, job, progress, "timeout", status=status)
        return
    status = HTTPStatus.SERVICE_UNAVAILABLE
    fail(state, caller, job, progress, "timeout_not_run", status=status)


def cut(
    state: GatewayState, caller: CallerConnection, job: Job, progress: Progress, reason: str
) -> None:
    """Cut off an answer that has begun and cannot be completed."""
    state.metrics.count("requests", outcome="cut", reason=reason)
    last_id = progress.splitter.last_id
    _log_end("answer_cut", job, progress, reason=reason, last_event=(last_id or b"").decode())
    caller.abort()


def record_completed(state: GatewayState, job: Job, progress: Progress, status: int) -> None:
    """Record an upstream's answer that was relayed completely."""
    now_s = asyncio.get_running_loop().time()
    state.metrics.count("requests", outcome="answered", reason=str(status))
    state.metrics.record_ms("answer", (now_s - job.began_at_s) * _MS_PER_S, service=job.service)
    is_late = _is_late(job, progress, now_s)
    if is_late:
        state.metrics.count("answers_late", service=job.service)
    is_unusual = is_late or len(progress.tried) > 1 or status >= HTTPStatus.BAD_REQUEST
    if is_unusual or state.rng.random() < LOG_SAMPLE_RATIO:
        _log_end("request_done", job, progress, status=status, total_ms=_ms_since(job, now_s))


def _is_late(job: Job, progress: Progress, now_s: float) -> bool:
    """Return whether an answer missed the latency or the pause objective of its route."""
    route = job.route
    begun_at_s = progress.first_piece_at_s or now_s
    is_first_late = _ms_since(job, begun_at_s) > route.objective_ms > 0
    longest_ms = progress.longest_pause_s * _MS_PER_S
    return is_first_late or longest_ms > route.pause_objective_ms > 0


def record_caller_left(state: GatewayState, job: Job, progress: Progress) -> None:
    """Record a caller that disconnected before its answer was complete."""
    now_s = asyncio.get_running_loop().time()
    state.metrics.count("requests", outcome="left", reason="caller_left")
    _log_end("caller_left", job, progress, after_ms=_ms_since(job, now_s))


def record_first_piece(state: GatewayState, job: Job, progress: Progress) -> None:
    """Record the time of the first events of a stream."""
    progress.first_piece_at_s = asyncio.get_running_loop().time()
    first_ms = (progress.first_piece_at_s - job.began_at_s) * _MS_PER_S
    state.metrics.record_ms("first_piece", first_ms, service=job.service)


def record_answer_end(
    state: GatewayState, job: Job, progress: Progress, *, is_complete: bool
) -> None:
    """Count the end of the body of an upstream's answer."""
    end = "complete" if is_complete else "truncated"
    framing = str(progress.framing)
    state.metrics.count("answer_bodies", service=job.service, framing=framing, end=end)


def describe_body(progress: Progress) -> dict[str, object]:
    """Return the framing of the last answer and how much of a stream was received."""
    splitter = progress.splitter
    return {
        "framing": progress.framing,
        "events": splitter.count,
        "last_event": (splitter.last_id or b"").decode("latin-1"),
        "partial_bytes": splitter.partial_bytes,
    }


def record_attempt(
    state: GatewayState,
    job: Job,
    upstream: Upstream,
    event: str,
    reason: str,
    *,
    load: float,
    backoff_left_s: float,
    **details: object,
) -> None:
    """Record an attempt without a complete answer."""
    state.metrics.count("attempts_failed", service=job.service, event=event)
    log_event(
        _LOG,
        event,
        request=job.request_id.decode("latin-1"),
        incarnation=upstream.listed.incarnation,
        reason=reason,
        load=round(load, 2),
        rest_left_s=round(backoff_left_s, 3),
        config_version=job.table_version,
        **details,
    )


def _log_end(event: str, job: Job, progress: Progress, **pairs: object) -> None:
    first_ms = None
    if progress.first_piece_at_s:
        first_ms = round((progress.first_piece_at_s - job.began_at_s) * _MS_PER_S)
    log_event(
        _LOG,
        event,
        request=job.request_id.decode("latin-1"),
        route=job.route.name,
        account=job.account,
        priority=job.priority,
        tried=",".join(progress.tried),
        load=round(progress.load, 2),
        is_far=progress.is_far,
        framing=progress.framing,
        waited_ms=round(progress.waited_s * _MS_PER_S),
        first_ms=first_ms,
        longest_pause_ms=round(progress.longest_pause_s * _MS_PER_S),
        config_version=job.table_version,
        **pairs,
    )


def _ms_since(job: Job, now_s: float) -> int:
    return round((now_s - job.began_at_s) * _MS_PER_S)


def _format_s(seconds: float) -> bytes:
    return f"{seconds:.3f}".encode()
