"""Convert failures to HTTP responses, and error responses of sidecars back to failures."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping

from dalehollow.errors import Failure, Reason
from dalehollow.protocol import headers as hdr
from dalehollow.verdict import Verdict
from dalehollow.web.messages import HttpResponse

_MS_PER_S = 1000


def make_refusal(failure: Failure, *, request_id: str) -> HttpResponse:
    """Return the HTTP response for a failure: status, headers and JSON body."""
    headers = {
        "content-type": "application/json",
        hdr.VERDICT: failure.verdict,
        hdr.REASON: failure.reason,
        hdr.REQUEST_ID: request_id,
    }
    if failure.retry_after_ms is not None:
        headers[hdr.RETRY_AFTER] = str(max(1, math.ceil(failure.retry_after_ms / _MS_PER_S)))
        headers[hdr.RETRY_AFTER_MS] = str(failure.retry_after_ms)
    if failure.backoff_ms is not None:
        headers[hdr.REST_MS] = str(failure.backoff_ms)
    error = {
        "reason": failure.reason,
        "verdict": failure.verdict,
        "message": failure.message,
        "request_id": request_id,
        "retry_after_ms": failure.retry_after_ms,
    }
    return HttpResponse(failure.status, headers, json.dumps({"error": error}).encode())


def read_refusal(headers: Mapping[str, str], body: bytes) -> Failure | None:
    """Return the failure in a sidecar's response, or None for a response of an upstream."""
    if hdr.REASON not in headers:
        return None
    retry_after = headers.get(hdr.RETRY_AFTER_MS)
    return Failure(
        reason=Reason(headers[hdr.REASON]),
        verdict=Verdict(headers[hdr.VERDICT]),
        message=_read_message(body),
        retry_after_ms=int(retry_after) if retry_after is not None else None,
        may_retry=headers.get(hdr.MAY_RETRY) == "true",
        backoff_ms=parse_ms(headers.get(hdr.REST_MS)),
        incarnation_ms=parse_ms(headers.get(hdr.INCARNATION_MS)),
    )


def parse_ms(value: str | None) -> int | None:
    """Return the milliseconds; None if the value is missing or not a non-negative integer."""
    return int(value) if value is not None and value.isascii() and value.isdigit() else None


def _read_message(body: bytes) -> str:
    try:
        return str(json.loads(body)["error"]["message"])
    except (ValueError, KeyError, TypeError):
        return "the sidecar gave no error message"
