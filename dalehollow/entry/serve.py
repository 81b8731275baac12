"""Dispatch a job to upstreams within its deadline and its account's retry budget."""

from __future__ import annotations

import json
import logging
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from dalehollow.clock import read_clock
from dalehollow.config.holder import ConfigHolder
from dalehollow.crashes import SharedSuspects
from dalehollow.entry.admit import Job
from dalehollow.entry.attempt import UpstreamClient, stream_answer
from dalehollow.entry.pool import Pool
from dalehollow.errors import Failure, Reason, make_crash_refusal
from dalehollow.limits import RetryBudget
from dalehollow.membership import UpstreamView
from dalehollow.once import find_owner, read_key_created_at_ms
from dalehollow.protocol import headers as hdr
from dalehollow.telemetry.logs import log_event
from dalehollow.verdict import Verdict
from dalehollow.web import Answer, HttpResponse
from dalehollow.web.client import TruncatedResponseError

MAX_ATTEMPTS = 3
_RETRY_NO_UPSTREAM_MS = 1_000

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class UpstreamAnswer:
    """Hold a response, the upstream that sent it and the number of attempts."""

    answer: Answer
    view: UpstreamView | None
    upstream: str
    attempts: int


@dataclass
class JobDispatcher:
    """Dispatch jobs to upstreams, with one retry budget per account."""

    entry: str
    holder: ConfigHolder
    pool: Pool
    upstream_client: UpstreamClient
    read_wall_clock_ms: Callable[[], int]
    suspects: SharedSuspects
    _budgets: dict[str, RetryBudget] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def serve(self, job: Job) -> Result[HttpResponse, Failure]:
        """Run a job and return the response, or the failure with its verdict."""
        outcome = self._call_owner(job) if job.key is not None else self._call_with_retries(job)
        if isinstance(outcome, Err):
            return outcome
        return self._make_response(job, outcome.ok_value)

    def _call_with_retries(self, job: Job) -> Result[UpstreamAnswer, Failure]:
        budget = self._get_budget(job.account.name)
        budget.record_first_attempt()
        tried: list[str] = []
        failure: Failure | None = None
        worst_verdict = Verdict.NOT_RUN
        while len(tried) < MAX_ATTEMPTS:
            if refused_s := self.suspects.refused_s(job.fingerprints):
                failure = failure or make_crash_refusal(refused_s)
                break
            view = self.pool.pick(job.service, tried, job.priority)
            if view is None:
                break
            if tried and not budget.take_retry():
                break
            tried.append(view.upstream.name)
            outcome = self.upstream_client.call_upstream(job, view)
            if isinstance(outcome, Ok):
                return Ok(UpstreamAnswer(outcome.ok_value, view, view.upstream.name, len(tried)))
            failure = outcome.err_value
            if failure.verdict is not Verdict.NOT_RUN:
                worst_verdict = Verdict.MAY_HAVE_RUN
            self._log_failed_attempt(job, view.upstream.name, failure)
            may_retry = failure.may_retry and self.suspects.may_be_retried(job.fingerprints)
            if not may_retry or job.deadline_s <= read_clock():
                break
        if failure is None:
            backoff_ms = self.pool.backoff_left_ms(job.service.name, job.priority)
            return Err(
                _all_queues_full(job, backoff_ms) if backoff_ms else _no_usable_upstream(job)
            )
        # An earlier attempt may have run even if the last one certainly did not.
        return Err(failure if worst_verdict is Verdict.NOT_RUN else _mark_may_have_run(failure))

    def _call_owner(self, job: Job) -> Result[UpstreamAnswer, Failure]:
        """Send a job with an idempotency key to the only upstream that may run it."""
        active = self.holder.active
        assert active.config is not None and job.key is not None
        owner = find_owner(
            tuple(active.manifest.generations.get(job.service.name, ())),
            job.scope,
            read_key_created_at_ms(job.key),
            now_ms=self.read_wall_clock_ms(),
            retention_ms=job.service.key_window_ms + 2 * active.config.clock_bound_ms,
        )
        if owner is None:
            return Err(_no_usable_upstream(job))
        name, _, address = owner.member.partition("@")
        upstream = active.config.upstreams.get(name)
        if upstream is not None and upstream.control is None:
            message = (
                f"service {job.service.name!r} has an upstream without a sidecar "
                f"({name!r}), which cannot guarantee at-most-once execution"
            )
            return Err(Failure(Reason.NO_UPSTREAM, Verdict.NOT_RUN, message))
        view = self.pool.find(name)
        if view is not None and view.upstream.http == address:
            outcome = self.upstream_client.call_upstream(job, view)
        else:
            view = None
            outcome = self.upstream_client.call_address(job, address, is_direct=False)
        if isinstance(outcome, Err):
            self._log_failed_attempt(job, name, outcome.err_value)
            return outcome
        return Ok(UpstreamAnswer(outcome.ok_value, view, name, 1))

    def _make_response(self, job: Job, served: UpstreamAnswer) -> Result[HttpResponse, Failure]:
        answer = served.answer
        headers = {
            **hdr.strip_internal(answer.end_to_end_headers()),
            hdr.VERDICT: Verdict.RAN,
            hdr.REQUEST_ID: job.request_id,
            hdr.ENTRY: self.entry,
            hdr.UPSTREAM: served.upstream,
            hdr.TRIES: str(served.attempts),
        }
        if answer.headers.get(hdr.REPLAYED) == "true":
            headers[hdr.REPLAYED] = "true"
        body = stream_answer(answer, served.view)
        if not answer.can_be_buffered():
            stream = self._relay_stream(job, served.upstream, answer, body)
            return Ok(HttpResponse(answer.status, headers, stream))
        try:
            whole = b"".join(body)
        except TruncatedResponseError:
            message = "the upstream's response was truncated"
            return Err(Failure(Reason.UPSTREAM_FAILED, Verdict.RAN, message))
        return Ok(HttpResponse(answer.status, headers, whole))

    def _relay_stream(
        self, job: Job, upstream: str, answer: Answer, body: Iterator[bytes]
    ) -> Iterator[bytes]:
        """Relay a stream; a truncated one ends with an error event and an unclean close."""
        is_events = answer.headers.get("content-type", "").startswith("text/event-stream")
        try:
            yield from body
        except TruncatedResponseError as exc:
            log_event(
                _log,
                "answer_cut",
                logging.WARNING,
                request_id=job.request_id,
                upstream=upstream,
                reason=exc,
            )
            if is_events:
                error = {"reason": Reason.UPSTREAM_FAILED, "verdict": Verdict.RAN}
                yield b"event: error\ndata: " + json.dumps({"error": error}).encode() + b"\n\n"
            raise

    def _get_budget(self, account: str) -> RetryBudget:
        with self._lock:
            return self._budgets.setdefault(account, RetryBudget())

    def _log_failed_attempt(self, job: Job, upstream: str, failure: Failure) -> None:
        log_event(
            _log,
            "try_failed",
            request_id=job.request_id,
            upstream=upstream,
            reason=failure.reason,
            verdict=failure.verdict,
        )


def _mark_may_have_run(failure: Failure) -> Failure:
    if failure.verdict is Verdict.RAN:
        return failure
    return replace(failure, verdict=Verdict.MAY_HAVE_RUN)


def _all_queues_full(job: Job, backoff_ms: int) -> Failure:
    message = f"the queues of all upstreams of service {job.service.name!r} are full"
    return Failure(Reason.QUEUE_FULL, Verdict.NOT_RUN, message, retry_after_ms=backoff_ms)


def _no_usable_upstream(job: Job) -> Failure:
    return Failure(
        Reason.NO_UPSTREAM,
        Verdict.NOT_RUN,
        f"service {job.service.name!r} has no usable upstream",
        retry_after_ms=_RETRY_NO_UPSTREAM_MS,
    )
