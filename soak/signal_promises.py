"""Check how gateways react to signal headers of servers and to requests that crash servers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence

from soak.promises import (
    CRASHING_ID,
    FAULT_FREE_S,
    MAX_DRAIN_DELAY_S,
    TIMING_MARGIN_S,
    Arrival,
    RequestRecord,
    RunHistory,
    ServerSignal,
    Violation,
)

SIGNAL_DELAY_S = 0.5
"""Time after which a gateway must act on a signal in a response that it relayed."""
MAX_REQUESTS_IN_BACKOFF = 2
LIMIT_WINDOW_S = 4.0
MAX_CRASHES = 3


def check_signals(history: RunHistory) -> Iterator[Violation]:
    """Yield all violations of backoff, leaving, limits and crash protection."""
    requests = {request.request_id: request for request in history.requests}
    yield from _check_backoff(history, requests)
    yield from _check_leaving(history, requests)
    yield from _check_limits(history, requests)
    yield from _check_crashes(history, requests)


def _list_later_arrivals(
    history: RunHistory, requests: dict[str, RequestRecord], signal: ServerSignal, until_s: float
) -> list[tuple[Arrival, RequestRecord]]:
    """Return later arrivals from the gateway process that relayed a signal, if it had no faults."""
    origin = requests.get(signal.request_id)
    if origin is None:
        return []
    return [
        (arrival, request)
        for arrival in history.arrivals[signal.server]
        if signal.at_s + SIGNAL_DELAY_S < arrival.at_s < until_s
        and (request := requests.get(arrival.request_id)) is not None
        and (request.gateway, request.generation) == (origin.gateway, origin.generation)
        and history.is_fault_free(origin.gateway, signal.at_s - TIMING_MARGIN_S, arrival.at_s)
        and history.is_fault_free(signal.server, signal.at_s - TIMING_MARGIN_S, arrival.at_s)
    ]


def _check_backoff(history: RunHistory, requests: dict[str, RequestRecord]) -> Iterator[Violation]:
    for signal in history.server_signals:
        if signal.name == "retry-after":
            during_backoff = _list_later_arrivals(
                history, requests, signal, signal.at_s + signal.value
            )
            if len(during_backoff) > MAX_REQUESTS_IN_BACKOFF:
                detail = (
                    f"{len(during_backoff)} requests at {signal.server} "
                    f"by {during_backoff[0][1].gateway}"
                )
                yield Violation("backoff", detail)


def _check_leaving(history: RunHistory, requests: dict[str, RequestRecord]) -> Iterator[Violation]:
    for signal in history.server_signals:
        if signal.name == "server-leaving":
            for arrival, request in _list_later_arrivals(history, requests, signal, float("inf")):
                if request.sent_at_s > signal.at_s + MAX_DRAIN_DELAY_S:
                    detail = f"{arrival.request_id} by {request.gateway} at {signal.server}"
                    yield Violation("server-leaving", detail)


def _check_limits(history: RunHistory, requests: dict[str, RequestRecord]) -> Iterator[Violation]:
    by_server: dict[str, list[ServerSignal]] = defaultdict(list)
    for signal in history.server_signals:
        if signal.name == "server-limit":
            by_server[signal.server].append(signal)
    for server, signals in by_server.items():
        until_s = signals[-1].at_s
        counted: dict[str, float] = {}
        for signal in signals:
            for arrival, _ in _list_later_arrivals(history, requests, signal, until_s):
                if arrival.at_s > signals[0].at_s + FAULT_FREE_S:
                    counted[arrival.request_id] = arrival.at_s
        max_in_window = count_max_in_window(list(counted.values()))
        if max_in_window > count_allowed_in_window(signals[0].value):
            yield Violation(
                "server limit", f"{max_in_window} requests within {LIMIT_WINDOW_S} s at {server}"
            )


def count_allowed_in_window(limit_per_s: float) -> float:
    """Return how many requests may reach an upstream in any window of LIMIT_WINDOW_S."""
    return 1.5 * limit_per_s * LIMIT_WINDOW_S + 5


def count_max_in_window(times_s: Sequence[float]) -> int:
    """Return the largest number of times within one window of LIMIT_WINDOW_S."""
    return max(
        (sum(0 <= t - at_s <= LIMIT_WINDOW_S for t in times_s) for at_s in times_s), default=0
    )


def _check_crashes(history: RunHistory, requests: dict[str, RequestRecord]) -> Iterator[Violation]:
    if len(history.crash_times_s) < MAX_CRASHES:
        return
    from_s = sorted(history.crash_times_s)[MAX_CRASHES - 1] + FAULT_FREE_S + TIMING_MARGIN_S
    late_arrivals = [
        arrival
        for arrivals in history.arrivals.values()
        for arrival in arrivals
        if arrival.request_id.startswith(CRASHING_ID)
        and arrival.at_s > from_s
        and (request := requests.get(arrival.request_id)) is not None
        and history.is_fault_free(request.gateway, arrival.at_s - FAULT_FREE_S, arrival.at_s)
    ]
    if len(late_arrivals) > MAX_CRASHES:
        yield Violation(
            "crashing request",
            f"{len(late_arrivals)} attempts long after crash {MAX_CRASHES}",
        )
