"""Check what gateways made of what servers said of themselves, and of requests that crash them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence

from soak.promises import (
    CONTACT_S,
    CRASHING_ID,
    DRAIN_BOUND_S,
    MARGIN_S,
    Arrival,
    Asked,
    Ledger,
    Told,
    Violation,
)

HEARD_S = 0.5
"""What an answer says binds the gateway that it came through so long after it."""
MOST_IN_REST = 2
WINDOW_S = 4.0
MOST_CRASHES = 3


def check_signals(ledger: Ledger) -> Iterator[Violation]:
    """Return what was broken of rests, leaving, limits and crashes."""
    asked = {a.request_id: a for a in ledger.asked}
    yield from _check_rests(ledger, asked)
    yield from _check_leaving(ledger, asked)
    yield from _check_limits(ledger, asked)
    yield from _check_crashes(ledger, asked)


def _list_after(
    ledger: Ledger, asked: dict[str, Asked], told: Told, until_s: float
) -> list[tuple[Arrival, Asked]]:
    """Return what came through the life of a gateway that was told, if it was left alone since."""
    by = asked.get(told.request_id)
    if by is None:
        return []
    return [
        (arrival, a)
        for arrival in ledger.arrivals[told.server]
        if told.at_s + HEARD_S < arrival.at_s < until_s
        and (a := asked.get(arrival.request_id)) is not None
        and (a.gateway, a.life) == (by.gateway, by.life)
        and ledger.is_calm(by.gateway, told.at_s - MARGIN_S, arrival.at_s)
        and ledger.is_calm(told.server, told.at_s - MARGIN_S, arrival.at_s)
    ]


def _check_rests(ledger: Ledger, asked: dict[str, Asked]) -> Iterator[Violation]:
    for told in ledger.told:
        if told.name == "retry-after":
            came = _list_after(ledger, asked, told, told.at_s + told.value)
            if len(came) > MOST_IN_REST:
                detail = f"{len(came)} requests at {told.server} by {came[0][1].gateway}"
                yield Violation("rest", detail)


def _check_leaving(ledger: Ledger, asked: dict[str, Asked]) -> Iterator[Violation]:
    for told in ledger.told:
        if told.name == "server-leaving":
            for arrival, a in _list_after(ledger, asked, told, float("inf")):
                if a.sent_at_s > told.at_s + DRAIN_BOUND_S:
                    detail = f"{arrival.request_id} by {a.gateway} at {told.server}"
                    yield Violation("no new work when an answer said that it leaves", detail)


def _check_limits(ledger: Ledger, asked: dict[str, Asked]) -> Iterator[Violation]:
    by_server: dict[str, list[Told]] = defaultdict(list)
    for told in ledger.told:
        if told.name == "server-limit":
            by_server[told.server].append(told)
    for server, tolds in by_server.items():
        until_s = tolds[-1].at_s
        counted: dict[str, float] = {}
        for told in tolds:
            for arrival, _ in _list_after(ledger, asked, told, until_s):
                if arrival.at_s > tolds[0].at_s + CONTACT_S:
                    counted[arrival.request_id] = arrival.at_s
        most = count_most(list(counted.values()))
        if most > count_allowed(tolds[0].value):
            yield Violation("limit", f"{most} requests within {WINDOW_S} s at {server}")


def count_allowed(limit_per_s: float) -> float:
    """Return how many requests may reach an upstream in some window of time."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def count_most(times_s: Sequence[float]) -> int:
    """Return how many of some moments fall into the fullest window."""
    return max((sum(0 <= t - at_s <= WINDOW_S for t in times_s) for at_s in times_s), default=0)


def _check_crashes(ledger: Ledger, asked: dict[str, Asked]) -> Iterator[Violation]:
    if len(ledger.crashes_at_s) < MOST_CRASHES:
        return
    from_s = sorted(ledger.crashes_at_s)[MOST_CRASHES - 1] + CONTACT_S + MARGIN_S
    late = [
        arrival
        for arrivals in ledger.arrivals.values()
        for arrival in arrivals
        if arrival.request_id.startswith(CRASHING_ID)
        and arrival.at_s > from_s
        and (a := asked.get(arrival.request_id)) is not None
        and ledger.is_calm(a.gateway, arrival.at_s - CONTACT_S, arrival.at_s)
    ]
    if len(late) > MOST_CRASHES:
        yield Violation("crashing request", f"{len(late)} tries long after the third crash")
