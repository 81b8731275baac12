"""Send a job to one upstream and report the step at which it failed, if it did."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from result import Err, Ok, Result

from dalehollow.clock import read_clock
from dalehollow.entry.admit import Job
from dalehollow.errors import Failure, Reason
from dalehollow.membership import UpstreamView
from dalehollow.protocol import headers as hdr
from dalehollow.routing import LoadReport
from dalehollow.verdict import Step, Verdict, assess_failure
from dalehollow.web import Answer, CallError, HttpClient
from dalehollow.web.client import TruncatedResponseError
from dalehollow.web.refusal import parse_ms, read_refusal

_MS_PER_S = 1000
_RETRY_UNREACHABLE_MS = 1_000


@dataclass(frozen=True)
class UpstreamClient:
    """Send requests to sidecars, or directly to upstreams that have none."""

    client: HttpClient
    direct_client: HttpClient
    inner_key: str
    answer_timeout_s: float

    def call_upstream(self, job: Job, view: UpstreamView) -> Result[Answer, Failure]:
        """Send a job to a known upstream, counting it as in flight until its response ends."""
        view.record_sent()
        is_direct = view.upstream.control is None
        sent_at_s = read_clock()
        tried = self.call_address(job, view.upstream.http, is_direct=is_direct)
        now_s = read_clock()
        if isinstance(tried, Err):
            view.record_done()
            failure = tried.err_value
            if not _follow_run(view, failure.incarnation_ms, sent_at_s, now_s):
                return tried
            if failure.backoff_ms is not None:
                view.start_backoff(job.priority, now_s + failure.backoff_ms / _MS_PER_S)
            if failure.reason in (Reason.UPSTREAM_UNREACHABLE, Reason.UPSTREAM_FAILED):
                is_unreachable = failure.reason is Reason.UPSTREAM_UNREACHABLE
                view.record_failure(now_s, is_unreachable=is_unreachable)
            elif failure.reason is Reason.LEAVING:
                view.is_leaving = True
            return tried
        headers = tried.ok_value.headers
        incarnation_ms = None if is_direct else parse_ms(headers.get(hdr.INCARNATION_MS))
        if not _follow_run(view, incarnation_ms, sent_at_s, now_s):
            return tried
        view.record_success()
        report = parse_load(headers.get(hdr.LOAD))
        if report is not None:
            view.apply_report(report, now_s)
        return tried

    def call_address(self, job: Job, address: str, *, is_direct: bool) -> Result[Answer, Failure]:
        """Send a job to an address and wait for the response head."""
        left_s = job.deadline_s - read_clock()
        if left_s <= 0:
            return Err(Failure(Reason.DEADLINE, Verdict.NOT_RUN, "the deadline has passed"))
        client = self.direct_client if is_direct else self.client
        sent = client.call(
            job.method,
            address,
            job.target,
            headers=_outgoing_headers(job, left_s, self.inner_key, is_direct=is_direct),
            body=job.body,
            timeout_s=min(left_s, self.answer_timeout_s),
        )
        if isinstance(sent, Err):
            return Err(_classify_call_error(job, sent.err_value, is_direct=is_direct))
        return _read_inner_refusal(sent.ok_value, is_direct=is_direct)


def _follow_run(
    view: UpstreamView, incarnation_ms: int | None, sent_at_s: float, now_s: float
) -> bool:
    """Return whether a response is from the sidecar's current run, or names no run."""
    return incarnation_ms is None or view.follow_run(incarnation_ms, sent_at_s, now_s)


def _read_inner_refusal(answer: Answer, *, is_direct: bool) -> Result[Answer, Failure]:
    if is_direct or hdr.REASON not in answer.headers:
        return Ok(answer)
    try:
        body = answer.read()
    except TruncatedResponseError:
        body = b""
    failure = read_refusal(answer.headers, body)
    assert failure is not None
    return Err(failure)


def _classify_call_error(job: Job, error: CallError, *, is_direct: bool) -> Failure:
    connect = Step.CONNECT_UPSTREAM if is_direct else Step.CONNECT_SIDECAR
    send = Step.SEND_UPSTREAM if is_direct else Step.SEND_SIDECAR
    step = send if error.sent else connect
    ruling = assess_failure(step, repeatable=job.repeatable)
    is_deadline = error.sent and error.timed_out and job.deadline_s <= read_clock()
    reason = Reason.UPSTREAM_FAILED if error.sent else Reason.UPSTREAM_UNREACHABLE
    return Failure(
        Reason.DEADLINE if is_deadline else reason,
        ruling.verdict,
        f"the request failed at step {step}",
        retry_after_ms=_RETRY_UNREACHABLE_MS,
        may_retry=ruling.may_retry and not is_deadline,
    )


def _outgoing_headers(
    job: Job, left_s: float, inner_key: str, *, is_direct: bool
) -> dict[str, str]:
    headers = dict(job.headers)
    if is_direct:
        headers[hdr.ENGINE_PRIORITY] = job.priority
        return headers
    headers[hdr.INNER_KEY] = inner_key
    headers[hdr.REQUEST_ID] = job.request_id
    headers[hdr.SERVICE] = job.service.name
    headers[hdr.ACCOUNT] = job.account.name
    headers[hdr.PRIORITY] = job.priority
    headers[hdr.REPEATABLE] = "true" if job.repeatable else "false"
    headers[hdr.DEADLINE_MS] = str(max(1, int(left_s * _MS_PER_S)))
    return headers


def parse_load(value: str | None) -> LoadReport | None:
    """Parse the load header of a sidecar's response; None if absent or malformed."""
    if value is None:
        return None
    try:
        running, waiting, slots, service_ms = value.split(",")
        return LoadReport(int(running), int(waiting), max(1, int(slots)), float(service_ms))
    except ValueError:
        return None


def stream_answer(answer: Answer, view: UpstreamView | None) -> Iterator[bytes]:
    """Yield a response as it arrives; closes the upstream connection on any exit."""
    try:
        yield from answer.stream()
    finally:
        answer.close()
        if view is not None:
            view.record_done()
