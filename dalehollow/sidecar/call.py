"""Parse the requests that entries send to a sidecar."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

from result import Err, Ok, Result

from dalehollow.config.model import PRIORITIES
from dalehollow.crashes import Fingerprint, list_shared_messages, make_fingerprints
from dalehollow.errors import Failure, Reason
from dalehollow.once import make_scope, read_key_created_at_ms
from dalehollow.protocol import headers as hdr
from dalehollow.verdict import Verdict
from dalehollow.web import HttpRequest

_MS_PER_S = 1000


@dataclass(frozen=True)
class InnerCall:
    """Hold a request from an entry; `deadline_s` is on this process's monotonic clock."""

    request_id: str
    service: str
    account: str
    priority: str
    repeatable: bool
    deadline_s: float
    key: str | None
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes

    @cached_property
    def fingerprints(self) -> tuple[Fingerprint, ...]:
        """Return the fingerprints, identical to those that an entry computes."""
        path = self.target.partition("?")[0]
        parts = list_shared_messages(path, self.body)
        return make_fingerprints(path.encode(), self.account, self.body, parts)

    @property
    def scope(self) -> str:
        """Return the scope under which the key is owned and recorded."""
        return make_scope(self.service, self.account, self.key)

    @property
    def key_created_at_ms(self) -> int | None:
        """Return the creation time in the key, in Unix milliseconds; None if it has none."""
        return None if self.key is None else read_key_created_at_ms(self.key)

    @property
    def fingerprint(self) -> str:
        """Return a digest that distinguishes different requests with the same key."""
        head = f"{self.method} {self.target}\0".encode()
        return hashlib.sha256(head + self.body).hexdigest()


def read_call(req: HttpRequest, inner_key: str, now_s: float) -> Result[InnerCall, Failure]:
    """Validate the internal headers and return the call."""
    headers = req.headers
    if headers.get(hdr.INNER_KEY, "") != inner_key:
        message = f"{hdr.INNER_KEY} is invalid; only entries may call a sidecar"
        return Err(Failure(Reason.FORBIDDEN, Verdict.NOT_RUN, message))
    priority = headers.get(hdr.PRIORITY, "")
    if priority not in PRIORITIES:
        message = f"{hdr.PRIORITY} is {priority!r}, must be one of {', '.join(PRIORITIES)}"
        return Err(Failure(Reason.BAD_REQUEST, Verdict.NOT_RUN, message))
    left_ms = headers.get(hdr.DEADLINE_MS, "")
    if not left_ms.isdigit():
        message = f"{hdr.DEADLINE_MS} is {left_ms!r}, must be a number of milliseconds"
        return Err(Failure(Reason.BAD_REQUEST, Verdict.NOT_RUN, message))
    return Ok(
        InnerCall(
            request_id=headers.get(hdr.REQUEST_ID, "-"),
            service=headers.get(hdr.SERVICE, ""),
            account=headers.get(hdr.ACCOUNT, ""),
            priority=priority,
            repeatable=headers.get(hdr.REPEATABLE) == "true",
            deadline_s=now_s + int(left_ms) / _MS_PER_S,
            key=headers.get(hdr.IDEMPOTENCY_KEY),
            method=req.method,
            target=req.path + (f"?{req.query}" if req.query else ""),
            headers=_headers_for_upstream(headers, priority),
            body=req.body,
        )
    )


def _headers_for_upstream(headers: Mapping[str, str], priority: str) -> dict[str, str]:
    kept = hdr.keep_end_to_end(headers)
    kept[hdr.ENGINE_PRIORITY] = priority
    return kept
