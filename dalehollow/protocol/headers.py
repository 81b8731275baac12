"""Name the HTTP headers of the system, in lower case."""

from __future__ import annotations

from collections.abc import Mapping

PREFIX = "dalehollow-"

# Between caller and entry.
PRIORITY = "dalehollow-priority"
DEADLINE_MS = "dalehollow-deadline-ms"
VERDICT = "dalehollow-verdict"
REASON = "dalehollow-reason"
REQUEST_ID = "dalehollow-request-id"
ENTRY = "dalehollow-entry"
UPSTREAM = "dalehollow-upstream"
TRIES = "dalehollow-tries"
REPLAYED = "dalehollow-replayed"
IDEMPOTENCY_KEY = "idempotency-key"
RETRY_AFTER = "retry-after"
RETRY_AFTER_MS = "dalehollow-retry-after-ms"

# Between entry and sidecar only: stripped from what callers and upstreams send.
SERVICE = "dalehollow-service"
ACCOUNT = "dalehollow-account"
REPEATABLE = "dalehollow-repeatable"
INNER_KEY = "dalehollow-inner-key"
MAY_RETRY = "dalehollow-may-retry"
REST_MS = "dalehollow-rest-ms"
LOAD = "dalehollow-load"

# Meant for one connection, or for this system alone: never passed on.
_NOT_PASSED_ON = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# Towards upstreams.
ENGINE_PRIORITY = "x-request-priority"


def strip_own(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers without any of the system's own, which nobody outside may set."""
    return {k: v for k, v in headers.items() if not k.startswith(PREFIX)}


def keep_end_to_end(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of a request that go on to the next process."""
    return {k: v for k, v in strip_own(headers).items() if k not in _NOT_PASSED_ON}
