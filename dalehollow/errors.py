"""Define the failures returned to callers and the exceptions raised internally."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

from dalehollow.verdict import Verdict

_MS_PER_S = 1000


class Reason(enum.StrEnum):
    """List the reasons why a request is refused or fails; each has one HTTP status."""

    BAD_REQUEST = "bad_request"
    BAD_KEY = "bad_key"
    FORBIDDEN = "forbidden"
    UNKNOWN_ROUTE = "unknown_route"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    MEMORY_FULL = "memory_full"
    ACCOUNT_LIMIT = "account_limit"
    NO_CONFIGURATION = "no_configuration"
    NO_UPSTREAM = "no_upstream"
    QUEUE_FULL = "queue_full"
    DISPLACED = "displaced"
    LEAVING = "leaving"
    DEADLINE = "deadline"
    RETRY_BUDGET = "retry_budget"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_FAILED = "upstream_failed"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_OUTCOME_UNKNOWN = "key_outcome_unknown"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    KEY_FROM_FUTURE = "key_from_future"
    KEY_TABLE_FULL = "key_table_full"
    OWNERSHIP_UNCONFIRMED = "ownership_unconfirmed"


HTTP_STATUS: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.BAD_KEY: 401,
    Reason.FORBIDDEN: 403,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.METHOD_NOT_ALLOWED: 405,
    Reason.BODY_TOO_LARGE: 413,
    Reason.MEMORY_FULL: 503,
    Reason.ACCOUNT_LIMIT: 429,
    Reason.NO_CONFIGURATION: 503,
    Reason.NO_UPSTREAM: 503,
    Reason.QUEUE_FULL: 503,
    Reason.DISPLACED: 503,
    Reason.LEAVING: 503,
    Reason.DEADLINE: 504,
    Reason.RETRY_BUDGET: 503,
    Reason.UPSTREAM_UNREACHABLE: 503,
    Reason.UPSTREAM_FAILED: 502,
    Reason.CRASHES_UPSTREAMS: 503,
    Reason.KEY_IN_PROGRESS: 409,
    Reason.KEY_OUTCOME_UNKNOWN: 409,
    Reason.KEY_REUSED: 422,
    Reason.KEY_EXPIRED: 409,
    Reason.KEY_FROM_FUTURE: 400,
    Reason.KEY_TABLE_FULL: 503,
    Reason.OWNERSHIP_UNCONFIRMED: 503,
}


@dataclass(frozen=True)
class Failure:
    """Describe why a request was refused or failed, as reported to the caller.

    `backoff_ms` is the time in which the upstream is to receive no request of this priority or a
    lower one. `incarnation_ms` identifies the run of the sidecar that refused the request, None if
    it is unknown.
    """

    reason: Reason
    verdict: Verdict
    message: str
    retry_after_ms: int | None = None
    may_retry: bool = False
    backoff_ms: int | None = None
    incarnation_ms: int | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status for the reason."""
        return HTTP_STATUS[self.reason]


def make_crash_refusal(refused_s: float) -> Failure:
    """Return the refusal of a request because of what it has in common with others."""
    message = "requests with the same body or a message of it crashed several upstreams"
    return Failure(
        Reason.CRASHES_UPSTREAMS,
        Verdict.NOT_RUN,
        message,
        retry_after_ms=math.ceil(refused_s * _MS_PER_S),
    )


class SettingsError(ValueError):
    """Report invalid settings or arguments, with the invalid value and the choices."""


class PlatformError(ConnectionError):
    """Report a failed platform call; `may_have_written` is True if a write may have succeeded."""

    def __init__(self, message: str, *, may_have_written: bool) -> None:
        """Store the message and whether a write may have succeeded."""
        super().__init__(message)
        self.may_have_written = may_have_written
