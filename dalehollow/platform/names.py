"""Name the headers and store keys of the users' platform; no other module does."""

from __future__ import annotations

from dalehollow.gateway.headers import HeaderNames

# The prefix of every key: one watch costs one call where three would cost three.
ALL_KEYS = ""
CONFIG_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"

HEADERS = HeaderNames(
    request_id=b"x-request-id",
    # Milliseconds left, not a point in time.
    time_left_ms=b"x-deadline-ms",
    key=b"x-key",
    account=b"x-tenant",
    expected_incarnation=b"x-expect-instance",
    # 0 is the most urgent, 9 the least.
    priority=b"x-request-priority",
    # The value does not matter: the header's presence says that the request did not run.
    not_run=b"x-not-executed",
    # Running, waiting and slots, joined by commas.
    load=b"x-server-load",
    # Opaque; it goes to the caller with the upstream's own status and body, never with another.
    seal=b"x-response-seal",
    # Despite its name two counts: tokens of the prompt, and the most that may be generated.
    token_counts=b"x-token-counts",
    # The caller's guess of the tokens that will be generated.
    length_hint=b"x-length-hint",
    last_event_id=b"last-event-id",
    retry_after_s=b"retry-after",
    # The upstream that a refusal is about, which need not be the one that sends it.
    faulty_upstream=b"at-server",
    # 1 in all answers of an upstream that leaves; no other value means anything.
    leaving=b"server-leaving",
    # Requests a second from all gateways together; an answer without it ends the limit.
    limit_per_s=b"server-limit",
)
MEMBER_PREFIX = "dalehollow/members/"
DUTY_PREFIX = "dalehollow/duties/"
PLAN_PREFIX = "dalehollow/plans/"
