"""Define the names of HTTP headers used by Dalehollow, in lower case."""

from __future__ import annotations

from collections.abc import Mapping

PREFIX = "dalehollow-"

# Exchanged between caller and entry.
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

# Exchanged between entry and sidecar only; removed from messages of callers and upstreams.
SERVICE = "dalehollow-service"
ACCOUNT = "dalehollow-account"
REPEATABLE = "dalehollow-repeatable"
INNER_KEY = "dalehollow-inner-key"
MAY_RETRY = "dalehollow-may-retry"
REST_MS = "dalehollow-rest-ms"
LOAD = "dalehollow-load"
INCARNATION_MS = "dalehollow-incarnation-ms"

# Hop-by-hop headers and headers for Dalehollow only; not forwarded.
_NOT_FORWARDED = frozenset(
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

# Sent to upstreams.
ENGINE_PRIORITY = "x-request-priority"


def strip_internal(headers: Mapping[str, str]) -> dict[str, str]:
    """Remove Dalehollow's own headers, which external parties must not set."""
    return {k: v for k, v in headers.items() if not k.startswith(PREFIX)}


def keep_end_to_end(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the request headers that are forwarded to the next process."""
    return {k: v for k, v in strip_internal(headers).items() if k not in _NOT_FORWARDED}
