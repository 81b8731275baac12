"""Give one request to the upstream and relay its answer, telling how far it came."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from result import Err, Ok, Result

from dalehollow.clock import read_clock
from dalehollow.errors import Failure, Reason
from dalehollow.limits import Gate
from dalehollow.once import KeptAnswer
from dalehollow.protocol import headers as hdr
from dalehollow.sidecar.call import InnerCall
from dalehollow.sidecar.ownership import Ownership
from dalehollow.telemetry.logs import log_event
from dalehollow.verdict import Step, Verdict, assess_failure
from dalehollow.web import Answer, CallError, HttpClient, HttpRequest, HttpResponse
from dalehollow.web.client import TruncatedResponseError
from dalehollow.web.refusal import make_refusal

_RETRY_UNREACHABLE_MS = 1_000
_MS_PER_S = 1000

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class Forwarder:
    """Hold what forwarding needs; `upstream_http` is the upstream's host:port."""

    upstream: str
    upstream_http: str
    client: HttpClient
    gate: Gate
    ownership: Ownership
    answer_timeout_s: float
    wall_ms: Callable[[], int]

    def serve(self, req: HttpRequest, call: InnerCall) -> HttpResponse:
        """Run one call, once if it has a key, and return the response to the entry."""
        run = self._run if call.key is None else self._run_once
        outcome = run(req, call)
        if isinstance(outcome, Ok):
            return outcome.ok_value
        return self._refuse(call, outcome.err_value)

    def _run_once(self, req: HttpRequest, call: InnerCall) -> Result[HttpResponse, Failure]:
        now_ms = self.wall_ms()
        admitted = self.ownership.admit(call, now_ms)
        if isinstance(admitted, Err):
            return admitted
        table = admitted.ok_value
        assert call.key is not None
        begun = table.begin(call.scope, call.fingerprint, call.birth_ms, now_ms)
        if isinstance(begun, Err):
            return begun
        if begun.ok_value is not None:
            return Ok(self._respond_kept(begun.ok_value, is_replay=True))
        try:
            outcome = self._run_whole(req, call)
        except BaseException:
            table.mark_unknown(call.scope)
            raise
        if isinstance(outcome, Ok):
            table.finish(call.scope, outcome.ok_value)
            return Ok(self._respond_kept(outcome.ok_value, is_replay=False))
        if outcome.err_value.verdict is Verdict.NOT_RUN:
            table.forget(call.scope)
        else:
            table.mark_unknown(call.scope)
        return outcome

    def _run(self, req: HttpRequest, call: InnerCall) -> Result[HttpResponse, Failure]:
        """Run a call and relay its answer, streaming where the upstream streams."""
        begun = self._begin(req, call)
        if isinstance(begun, Err):
            return begun
        answer, began_s = begun.ok_value
        if answer.can_be_buffered():
            return self._read_whole(call, answer, began_s).map(self._respond_whole)
        headers = self._answer_headers(answer)
        return Ok(HttpResponse(answer.status, headers, self._relay(answer, began_s)))

    def _run_whole(self, req: HttpRequest, call: InnerCall) -> Result[KeptAnswer, Failure]:
        """Run a call and read its answer whole, so that it can be kept."""
        begun = self._begin(req, call)
        if isinstance(begun, Err):
            return begun
        return self._read_whole(call, *begun.ok_value)

    def _begin(self, req: HttpRequest, call: InnerCall) -> Result[tuple[Answer, float], Failure]:
        """Wait for a permit, send the request and return the answer's head."""
        permit = self.gate.acquire(call.priority, call.deadline_s)
        if isinstance(permit, Err):
            return permit
        began_s = read_clock()
        left_s = call.deadline_s - began_s
        if left_s <= 0 or not req.is_connected():
            self.gate.release()
            message = "the entry gave the request up while it waited"
            return Err(Failure(Reason.DEADLINE, Verdict.NOT_RUN, message))
        sent = self.client.call(
            call.method,
            self.upstream_http,
            call.target,
            headers=call.headers,
            body=call.body,
            timeout_s=min(left_s, self.answer_timeout_s),
        )
        if isinstance(sent, Err):
            self.gate.release()
            return Err(self._judge_call(call, sent.err_value))
        return Ok((sent.ok_value, began_s))

    def _read_whole(
        self, call: InnerCall, answer: Answer, began_s: float
    ) -> Result[KeptAnswer, Failure]:
        try:
            body = answer.read()
        except TruncatedResponseError:
            ruling = assess_failure(Step.RELAY_ANSWER, repeatable=call.repeatable)
            message = "the upstream's answer was cut short"
            return Err(
                Failure(Reason.UPSTREAM_FAILED, ruling.verdict, message, may_retry=ruling.may_retry)
            )
        finally:
            self.gate.release((read_clock() - began_s) * _MS_PER_S)
        headers = hdr.strip_own(answer.end_to_end_headers())
        return Ok(KeptAnswer(answer.status, headers, body))

    def _relay(self, answer: Answer, began_s: float) -> Iterator[bytes]:
        """Yield the answer as it comes; the permit is held until its end or its cancel."""
        try:
            yield from answer.stream()
        finally:
            answer.close()
            self.gate.release((read_clock() - began_s) * _MS_PER_S)

    def _judge_call(self, call: InnerCall, error: CallError) -> Failure:
        step = Step.AWAIT_ANSWER if error.sent else Step.CONNECT_UPSTREAM
        ruling = assess_failure(step, repeatable=call.repeatable)
        reason = Reason.UPSTREAM_FAILED if error.sent else Reason.UPSTREAM_UNREACHABLE
        log_event(
            _log,
            "upstream_failed",
            logging.WARNING,
            request_id=call.request_id,
            step=step,
            verdict=ruling.verdict,
            error=error.message,
        )
        return Failure(
            reason,
            ruling.verdict,
            f"upstream {self.upstream!r} failed at step {step}",
            retry_after_ms=_RETRY_UNREACHABLE_MS,
            may_retry=ruling.may_retry,
        )

    def _respond_whole(self, kept: KeptAnswer) -> HttpResponse:
        return self._respond_kept(kept, is_replay=False)

    def _respond_kept(self, kept: KeptAnswer, *, is_replay: bool) -> HttpResponse:
        headers = {**kept.headers, **self._own_headers()}
        if is_replay:
            headers[hdr.REPLAYED] = "true"
        return HttpResponse(kept.status, headers, kept.body)

    def _answer_headers(self, answer: Answer) -> dict[str, str]:
        return {**hdr.strip_own(answer.end_to_end_headers()), **self._own_headers()}

    def _own_headers(self) -> dict[str, str]:
        return {hdr.VERDICT: Verdict.RAN, hdr.UPSTREAM: self.upstream, hdr.LOAD: self.format_load()}

    def format_load(self) -> str:
        """Return the gate's load as the header that rides on every answer."""
        load = self.gate.load()
        return f"{load.running},{load.waiting},{load.slots},{load.service_ms}"

    def _refuse(self, call: InnerCall, failure: Failure) -> HttpResponse:
        response = make_refusal(failure, request_id=call.request_id)
        headers = {
            **response.headers,
            hdr.UPSTREAM: self.upstream,
            hdr.LOAD: self.format_load(),
            hdr.MAY_RETRY: "true" if failure.may_retry else "false",
        }
        return HttpResponse(response.status, headers, response.body)
