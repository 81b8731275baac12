"""Check that a gateway serves on while most new connections of callers come to it."""

from __future__ import annotations

from collections.abc import Iterator

from soak.promises import RequestRecord, RunHistory, Violation, count_served_share

NEW_CONNECTION_ID = "new-connection-"
"""Prefix of the IDs of requests that each come on a new connection, which stays open."""
MIN_COMPARED_REQUESTS = 20
MIN_SERVED_RATIO = 0.75
MAX_CLOSE_DELAY_S = 0.5
"""Time after which a connection without an answer does not count as closed at once."""


def check_new_connections(history: RunHistory) -> Iterator[Violation]:
    """Yield a violation for each gateway that serves fewer requests while connections are new.

    A request whose connection is closed at once is unread, and its caller tries elsewhere.
    """
    for gateway in {r.gateway for r in history.requests if _is_on_new_connection(r)}:
        new = [r for r in history.requests if r.gateway == gateway and _is_on_new_connection(r)]
        began_s, ended_s = new[0].sent_at_s, new[-1].ended_at_s
        before = [
            r for r in history.requests if r.gateway == gateway and 0.0 < r.ended_at_s < began_s
        ]
        read = [r for r in new if r.status or r.ended_at_s - r.sent_at_s > MAX_CLOSE_DELAY_S]
        if min(len(before), len(new)) < MIN_COMPARED_REQUESTS or _has_faults(history, ended_s):
            continue
        share = count_served_share(read) if read else 0.0
        if share < MIN_SERVED_RATIO * count_served_share(before):
            detail = f"{share:.2f} of {len(read)} read of {len(new)} served by {gateway}"
            yield Violation("new connections", detail)


def _is_on_new_connection(request: RequestRecord) -> bool:
    return request.request_id.startswith(NEW_CONNECTION_ID)


def _has_faults(history: RunHistory, until_s: float) -> bool:
    intervals = [interval for known in history.fault_intervals.values() for interval in known]
    return any(begin < until_s for begin, _ in intervals)
