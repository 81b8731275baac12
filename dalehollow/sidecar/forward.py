"""Forward a request to the upstream and relay its response, or report the failed step."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus

from result import Err, Ok, Result

from dalehollow.clock import read_clock
from dalehollow.crashes import CrashDetector, SharedSuspects
from dalehollow.errors import Failure, Reason, make_crash_refusal
from dalehollow.framing import BodyFraming
from dalehollow.limits import Gate
from dalehollow.once import StoredAnswer
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
    """Forward requests to one upstream; `upstream_http` is its host:port."""

    upstream: str
    upstream_http: str
    client: HttpClient
    gate: Gate
    ownership: Ownership
    answer_timeout_s: float
    suspects: SharedSuspects
    crashes: CrashDetector
    read_wall_clock_ms: Callable[[], int]

    def serve(self, req: HttpRequest, call: InnerCall) -> HttpResponse:
        """Run a call, at most once if it has a key, and return the response to the entry."""
        run = self._run if call.key is None else self._run_at_most_once
        outcome = run(req, call)
        if isinstance(outcome, Ok):
            return outcome.ok_value
        return self._refuse(call, outcome.err_value)

    def _run_at_most_once(self, req: HttpRequest, call: InnerCall) -> Result[HttpResponse, Failure]:
        now_ms = self.read_wall_clock_ms()
        admitted = self.ownership.admit(call, now_ms)
        if isinstance(admitted, Err):
            return admitted
        table = admitted.ok_value
        assert call.key is not None
        begun = table.begin(call.scope, call.fingerprint, call.key_created_at_ms, now_ms)
        if isinstance(begun, Err):
            return begun
        if begun.ok_value is not None:
            return Ok(self._build_response(begun.ok_value, is_replay=True))
        try:
            outcome = self._run_buffered(req, call)
        except BaseException:
            table.mark_unknown(call.scope)
            raise
        if isinstance(outcome, Ok):
            table.finish(call.scope, outcome.ok_value)
            return Ok(self._build_response(outcome.ok_value, is_replay=False))
        if outcome.err_value.verdict is Verdict.NOT_RUN:
            table.discard(call.scope)
        else:
            table.mark_unknown(call.scope)
        return outcome

    def _run(self, req: HttpRequest, call: InnerCall) -> Result[HttpResponse, Failure]:
        """Run a call and relay the response, streaming it if the upstream streams."""
        begun = self._start_call(req, call)
        if isinstance(begun, Err):
            return begun
        answer, started_s = begun.ok_value
        if answer.can_be_buffered():
            return self._read_buffered(call, answer, started_s).map(self._build_first_response)
        headers = self._relayed_headers(answer)
        return Ok(HttpResponse(answer.status, headers, self._relay(call, answer, started_s)))

    def _run_buffered(self, req: HttpRequest, call: InnerCall) -> Result[StoredAnswer, Failure]:
        """Run a call and buffer the whole response so that it can be stored."""
        begun = self._start_call(req, call)
        if isinstance(begun, Err):
            return begun
        return self._read_buffered(call, *begun.ok_value)

    def _start_call(
        self, req: HttpRequest, call: InnerCall
    ) -> Result[tuple[Answer, float], Failure]:
        """Acquire a gate permit, send the request and return the response head and start time."""
        permit = self.gate.acquire(call.priority, call.deadline_s)
        if isinstance(permit, Err):
            return permit
        if refused_s := self.suspects.refused_s(call.fingerprints):
            self.gate.release()
            return Err(make_crash_refusal(refused_s))
        started_s = read_clock()
        left_s = call.deadline_s - started_s
        if left_s <= 0 or not req.is_connected():
            self.gate.release()
            message = "the entry cancelled the request, or its deadline passed, while it was queued"
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
            if sent.err_value.sent:
                self.crashes.record_broken(call.fingerprints, started_s)
            return Err(self._classify_call_error(call, sent.err_value))
        return Ok((sent.ok_value, started_s))

    def _read_buffered(
        self, call: InnerCall, answer: Answer, started_s: float
    ) -> Result[StoredAnswer, Failure]:
        try:
            body = answer.read()
        except TruncatedResponseError as exc:
            _log_truncated(call, exc)
            self.crashes.record_broken(call.fingerprints, started_s)
            ruling = assess_failure(Step.RELAY_ANSWER, repeatable=call.repeatable)
            message = "the upstream's response was truncated"
            return Err(
                Failure(Reason.UPSTREAM_FAILED, ruling.verdict, message, may_retry=ruling.may_retry)
            )
        finally:
            self.gate.release((read_clock() - started_s) * _MS_PER_S)
        self._record_complete(call, answer, started_s)
        headers = hdr.strip_internal(answer.end_to_end_headers())
        return Ok(StoredAnswer(answer.status, headers, body))

    def _relay(self, call: InnerCall, answer: Answer, started_s: float) -> Iterator[bytes]:
        """Yield the response as it arrives; the permit is held until it ends or is cancelled."""
        try:
            yield from answer.stream()
            self._record_complete(call, answer, started_s)
        except TruncatedResponseError as exc:
            _log_truncated(call, exc)
            self.crashes.record_broken(call.fingerprints, started_s)
            raise
        finally:
            answer.close()
            self.gate.release((read_clock() - started_s) * _MS_PER_S)

    def _record_complete(self, call: InnerCall, answer: Answer, started_s: float) -> None:
        if answer.status < HTTPStatus.BAD_REQUEST:
            is_framed = answer.framing is not BodyFraming.CONNECTION
            self.crashes.record_complete(call.fingerprints, started_s, is_framed=is_framed)

    def _classify_call_error(self, call: InnerCall, error: CallError) -> Failure:
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

    def _build_first_response(self, stored: StoredAnswer) -> HttpResponse:
        return self._build_response(stored, is_replay=False)

    def _build_response(self, stored: StoredAnswer, *, is_replay: bool) -> HttpResponse:
        headers = {**stored.headers, **self._sidecar_headers()}
        if is_replay:
            headers[hdr.REPLAYED] = "true"
        return HttpResponse(stored.status, headers, stored.body)

    def _relayed_headers(self, answer: Answer) -> dict[str, str]:
        return {**hdr.strip_internal(answer.end_to_end_headers()), **self._sidecar_headers()}

    def _sidecar_headers(self) -> dict[str, str]:
        return {hdr.VERDICT: Verdict.RAN, **self._state_headers()}

    def _state_headers(self) -> dict[str, str]:
        """Return the headers that describe this sidecar in every response to an entry."""
        return {
            hdr.UPSTREAM: self.upstream,
            hdr.INCARNATION_MS: str(self.ownership.started_at_ms),
            hdr.LOAD: self.format_load(),
        }

    def format_load(self) -> str:
        """Return the gate's load as the value of the header sent with every response."""
        load = self.gate.load()
        return f"{load.running},{load.waiting},{load.slots},{load.service_ms}"

    def _refuse(self, call: InnerCall, failure: Failure) -> HttpResponse:
        response = make_refusal(failure, request_id=call.request_id)
        headers = {
            **response.headers,
            **self._state_headers(),
            hdr.MAY_RETRY: "true" if failure.may_retry else "false",
        }
        return HttpResponse(response.status, headers, response.body)


def _log_truncated(call: InnerCall, error: TruncatedResponseError) -> None:
    log_event(_log, "answer_broken", logging.WARNING, request_id=call.request_id, reason=error)
