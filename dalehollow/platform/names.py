"""Define the names of the platform's HTTP headers and store keys; no other module does."""

from __future__ import annotations

from dalehollow.gateway.headers import HeaderNames

# Prefix of every key: a single watch needs one call where three prefixes would need three.
ALL_KEYS_PREFIX = ""
CONFIG_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"

HEADERS = HeaderNames(
    request_id=b"x-request-id",
    # Remaining time in milliseconds, not a point in time.
    time_left_ms=b"x-deadline-ms",
    key=b"x-key",
    account=b"x-tenant",
    expected_incarnation=b"x-expect-instance",
    # 0 is the most urgent, 9 the least.
    priority=b"x-request-priority",
    # Its presence with any value means that the request was not executed.
    not_run=b"x-not-executed",
    # Running requests, waiting requests and slots, separated by commas.
    load=b"x-server-load",
    # Opaque; forwarded to the caller only with the upstream's own status and body.
    seal=b"x-response-seal",
    # Two counts: prompt tokens and the maximum number of generated tokens.
    token_counts=b"x-token-counts",
    # The caller's estimate of the number of generated tokens.
    length_hint=b"x-length-hint",
    # ID:TOKENS of each part of the prompt in order, separated by commas. Despite the name it lists
    # the whole prompt: the last part belongs to the request or its session alone.
    prompt_parts=b"x-prompt-prefix",
    last_event_id=b"last-event-id",
    retry_after_s=b"retry-after",
    # The upstream that a refusal concerns, which may differ from the one that sent it.
    faulty_upstream=b"at-server",
    # 1 in all responses of an upstream that is shutting down; other values have no meaning.
    leaving=b"server-leaving",
    # Requests per second across all gateways; a response without it lifts the limit.
    limit_per_s=b"server-limit",
)
MEMBER_PREFIX = "dalehollow/members/"
DUTY_PREFIX = "dalehollow/duties/"
PLAN_PREFIX = "dalehollow/plans/"
HOLD_PREFIX = "dalehollow/holds/"
CULPRIT_PREFIX = "dalehollow/culprits/"
