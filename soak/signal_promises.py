"""Check how gateways react to signal headers of servers and to requests that crash servers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence

from soak.promises import (
    CRASHING_ID,
    CRASHING_PART_ID,
    FAULT_FREE_S,
    MAX_DRAIN_DELAY_S,
    TIMING_MARGIN_S,
    Arrival,
    RequestRecord,
    RunHistory,
    ServerSignal,
    Violation,
    count_served_share,
    find_crash_cause,
)

SIGNAL_DELAY_S = 0.5
"""Time after which a gateway must act on a signal in a response that it relayed."""
MAX_REQUESTS_IN_BACKOFF = 2
LIMIT_WINDOW_S = 4.0
MAX_CRASHES = 3
"""Crashes by one repeated request, after which few of its repetitions may reach servers."""
MAX_CRASHES_BY_PART = 5
"""The same for requests that share a part of their prompts."""
MAX_LATE_ATTEMPTS = 3
MIN_COMPARED_REQUESTS = 20
MIN_SERVED_RATIO = 0.5
"""Share of sound requests served while a crashing part is refused, compared to before."""


def check_signals(history: RunHistory) -> Iterator[Violation]:
    """Yield all violations of backoff, leaving, limits and crash protection."""
    requests = {request.request_id: request for request in history.requests}
    yield from _check_backoff(history, requests)
    yield from _check_leaving(history, requests)
    yield from _check_limits(history, requests)
    yield from _check_crashes(history, requests)
    yield from _check_sound_requests(history)


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
    for cause, times_s in history.crash_times_s.items():
        crashes = MAX_CRASHES_BY_PART if cause.startswith(CRASHING_PART_ID) else MAX_CRASHES
        if len(times_s) < crashes:
            continue
        from_s = sorted(times_s)[crashes - 1] + FAULT_FREE_S + TIMING_MARGIN_S
        late_arrivals = [
            arrival
            for arrivals in history.arrivals.values()
            for arrival in arrivals
            if find_crash_cause(arrival.request_id) == cause
            and arrival.at_s > from_s
            and (request := requests.get(arrival.request_id)) is not None
            and history.is_fault_free(request.gateway, arrival.at_s - FAULT_FREE_S, arrival.at_s)
        ]
        if len(late_arrivals) > MAX_LATE_ATTEMPTS:
            yield Violation(
                "crashing request",
                f"{len(late_arrivals)} attempts of {cause} long after crash {crashes}",
            )


def _check_sound_requests(history: RunHistory) -> Iterator[Violation]:
    """Compare how many sound requests were served before and after crashes by a prompt part."""
    for cause, times_s in history.crash_times_s.items():
        if not cause.startswith(CRASHING_PART_ID):
            continue
        crashes_s = sorted(times_s)[:MAX_CRASHES_BY_PART]
        from_s = crashes_s[-1] + 2 * FAULT_FREE_S
        sound = [r for r in history.requests if not r.request_id.startswith(CRASHING_ID)]
        before = [r for r in sound if r.ended_at_s < crashes_s[0]]
        after = [r for r in sound if r.sent_at_s > from_s]
        if min(len(before), len(after)) < MIN_COMPARED_REQUESTS or _has_other_faults(
            history, from_s - FAULT_FREE_S
        ):
            continue
        if count_served_share(after) < MIN_SERVED_RATIO * count_served_share(before):
            detail = f"{count_served_share(after):.2f} of {len(after)} served after {cause}"
            yield Violation("sound requests", detail)


def _has_other_faults(history: RunHistory, from_s: float) -> bool:
    """Return whether a component had a fault before the first crash or after a time."""
    first_s = min(min(times_s) for times_s in history.crash_times_s.values())
    intervals = [interval for known in history.fault_intervals.values() for interval in known]
    return any(begin < first_s or end > from_s for begin, end in intervals)
