"""Record what clients and servers observed, and check it against the documented guarantees."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from standins.server import make_stream_body

CRASHING_ID = "crashing-"
"""Prefix of the IDs of requests that crash every server that starts them."""
CRASHING_PART_ID = "crashing-part-"
"""Prefix of the IDs of requests that differ, but share a prompt part that crashes servers."""
TRAP_SERVER = "trap"
"""Name of the server behind invalid entries, which must receive no requests."""
REFUSALS = frozenset({408, 421, 429, 503})
OK = 200
UNKNOWN_ROUTE = 404
PLAIN_BODY = b"whole answer"
FAULT_FREE_S = 3.0
"""Timing is checked only for components that had no fault for at least this long before."""
MAX_CONFIG_DELAY_S = 2.0
MAX_DRAIN_DELAY_S = 2.0
TIMING_MARGIN_S = 0.5
"""Added to time limits, because the test driver shares its machine with the gateways."""


@dataclass(frozen=True)
class RetryLimits:
    """Per window, all gateways together may retry a share of the requests plus an extra."""

    window_s: float = 10.0
    share: float = 0.02
    extra: float = 24.0


RETRY_LIMITS = RetryLimits()


@dataclass(frozen=True)
class RequestRecord:
    """One request and its response; `status` is 0 if no complete response head arrived."""

    request_id: str
    kind: str
    gateway: str
    # Number of the gateway process: 1 for the first, one more at each restart.
    generation: int
    sent_at_s: float
    ended_at_s: float
    status: int
    is_complete: bool
    body: bytes
    response_id: str
    version: int = 0
    is_reused_connection: bool = False


@dataclass(frozen=True)
class Arrival:
    """Arrival of a request at a server."""

    at_s: float
    request_id: str


@dataclass(frozen=True)
class ServerSignal:
    """Signal header in a server's response; `name` is the header's name."""

    server: str
    request_id: str
    name: str
    value: float
    at_s: float


@dataclass
class RunHistory:
    """Events of one run."""

    requests: list[RequestRecord] = field(default_factory=list)
    # By server incarnation.
    arrivals: dict[str, list[Arrival]] = field(default_factory=lambda: defaultdict(list))
    executions: Counter[str] = field(default_factory=Counter)
    leaving_at_s: dict[str, float] = field(default_factory=dict)
    applied_at_s: dict[int, float] = field(default_factory=dict)
    # Start and end of each fault, by component name; the end of an ongoing fault may be infinite.
    fault_intervals: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    planned_stops: list[tuple[str, int, float]] = field(default_factory=list)
    server_signals: list[ServerSignal] = field(default_factory=list)
    retry_limits: RetryLimits = RETRY_LIMITS
    # Servers that send a signal header now; no second signal starts there.
    signalling_servers: set[str] = field(default_factory=set)
    # By the cause, as `find_crash_cause` tells it from a request's ID.
    crash_times_s: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    def is_fault_free(self, name: str, from_s: float, until_s: float) -> bool:
        """Return whether a component had no fault between two times."""
        return not any(
            begin < until_s and end > from_s for begin, end in self.fault_intervals[name]
        )


@dataclass(frozen=True)
class Violation:
    """A violated guarantee; `detail` says how it was violated."""

    guarantee: str
    detail: str


def count_served_share(requests: Sequence[RequestRecord]) -> float:
    """Return the share of requests with a complete successful response."""
    return sum(r.status == OK and r.is_complete for r in requests) / len(requests)


def find_crash_cause(request_id: str) -> str:
    """Return what crashing requests with one cause have in common: their ID up to its number."""
    return request_id.rpartition("-")[0] if request_id.startswith(CRASHING_ID) else ""


def find_violations(history: RunHistory, *, checks_timing: bool) -> list[Violation]:
    """Return all violations; timing is checked only if `checks_timing` is set."""
    found = [
        *_check_responses(history.requests),
        *_check_refusals(history),
        *_check_single_execution(history),
        *_check_version_order(history.requests),
        *_check_planned_stops(history),
        *_check_trap_server(history),
        *check_retry_budget(history),
    ]
    if checks_timing:
        found += [
            *_check_config_delay(history),
            *_check_unknown_routes(history),
            *_check_drain_delay(history),
        ]
    return found


def _check_responses(requests: Sequence[RequestRecord]) -> Iterator[Violation]:
    for request in requests:
        if request.status != OK or not request.is_complete:
            continue
        if request.response_id != request.request_id:
            yield Violation(
                "response matches request",
                f"{request.request_id} got the response to {request.response_id!r}",
            )
        expected = make_stream_body() if request.kind == "stream" else PLAIN_BODY
        if request.body != expected:
            yield Violation(
                "complete response",
                f"{request.request_id} ({request.kind}) got {request.body[:80]!r}",
            )


def _check_refusals(history: RunHistory) -> Iterator[Violation]:
    for request in history.requests:
        if request.status in REFUSALS and history.executions[request.request_id]:
            yield Violation(
                "refused request not run",
                f"{request.request_id} got status {request.status} but has run",
            )


def _check_single_execution(history: RunHistory) -> Iterator[Violation]:
    for request in history.requests:
        if request.kind == "pay" and history.executions[request.request_id] > 1:
            times = history.executions[request.request_id]
            yield Violation("at most once", f"{request.request_id} ran {times} times")


def _check_version_order(requests: Sequence[RequestRecord]) -> Iterator[Violation]:
    """Check that no gateway process serves a later request with an older configuration."""
    records_by_process: dict[tuple[str, int], list[RequestRecord]] = defaultdict(list)
    for request in requests:
        if request.kind == "version" and request.status == OK:
            records_by_process[request.gateway, request.generation].append(request)
    for (gateway, generation), records in records_by_process.items():
        for later in records:
            newest = max(
                (request.version for request in records if request.ended_at_s < later.sent_at_s),
                default=0,
            )
            if later.version < newest:
                detail = f"{gateway} process {generation}: version {later.version} after {newest}"
                yield Violation("no configuration rollback", detail)


def _check_planned_stops(history: RunHistory) -> Iterator[Violation]:
    """Check that a planned stop cuts no request that had been forwarded to a server."""
    arrived = _map_requests_to_servers(history.arrivals)
    for gateway, generation, at_s in history.planned_stops:
        for request in history.requests:
            if (
                (request.gateway, request.generation) != (gateway, generation)
                or request.is_complete
                or request.ended_at_s < at_s
            ):
                continue
            if request.request_id not in arrived:
                # The request crossed the close of the connection; the caller may retry it.
                continue
            server = arrived[request.request_id]
            if history.is_fault_free(
                gateway, at_s - FAULT_FREE_S, request.ended_at_s
            ) and history.is_fault_free(
                server, request.sent_at_s - FAULT_FREE_S, request.ended_at_s
            ):
                yield Violation(
                    "no request cut by planned stop",
                    f"{request.request_id} was cut when {gateway} stopped",
                )


def _check_trap_server(history: RunHistory) -> Iterator[Violation]:
    for arrival in history.arrivals[TRAP_SERVER]:
        yield Violation(
            "invalid entries ignored", f"{arrival.request_id} reached a server with invalid entries"
        )


def check_retry_budget(history: RunHistory) -> Iterator[Violation]:
    """Check that all gateways together stay within the retry budget.

    Retries are counted from the arrivals at the servers, in each window that starts at a retry.
    The allowance uses the largest request count of that window, the one before it, and the one
    that starts half a window earlier.
    """
    limits = history.retry_limits
    request_times_s = sorted(request.sent_at_s for request in history.requests)
    retry_times_s = sorted(_find_retry_times(history))

    def count_in_window(times_s: Sequence[float], start_s: float) -> int:
        return bisect_left(times_s, start_s + limits.window_s) - bisect_left(times_s, start_s)

    def compute_allowed(start_s: float) -> float:
        starts_s = (start_s - limits.window_s, start_s - limits.window_s / 2, start_s)
        most_requests = max(count_in_window(request_times_s, s) for s in starts_s)
        return limits.share * most_requests + limits.extra

    worst_start_s = max(
        retry_times_s,
        key=lambda s: count_in_window(retry_times_s, s) - compute_allowed(s),
        default=None,
    )
    if worst_start_s is None:
        return
    retries = count_in_window(retry_times_s, worst_start_s)
    allowed = compute_allowed(worst_start_s)
    if retries > allowed:
        yield Violation("retry budget", f"{retries} retries, {allowed:.0f} allowed")


def _find_retry_times(history: RunHistory) -> Iterator[float]:
    """Yield the time of each arrival after the first with the same request ID."""
    arrivals = [
        a
        for server, server_arrivals in history.arrivals.items()
        if server != TRAP_SERVER
        for a in server_arrivals
    ]
    seen_ids: set[str] = set()
    for arrival in sorted(arrivals, key=lambda a: a.at_s):
        if arrival.request_id in seen_ids:
            yield arrival.at_s
        seen_ids.add(arrival.request_id)


def _check_config_delay(history: RunHistory) -> Iterator[Violation]:
    for request in history.requests:
        if request.kind != "version" or request.status != OK:
            continue
        newer = [
            version
            for version, at_s in history.applied_at_s.items()
            if version > request.version
            and request.sent_at_s - at_s > MAX_CONFIG_DELAY_S + TIMING_MARGIN_S
        ]
        if newer and _can_receive_changes(history, request):
            yield Violation(
                "configuration delay",
                f"{request.gateway}: version {request.version}, not {newer}",
            )


def _check_unknown_routes(history: RunHistory) -> Iterator[Violation]:
    """Check that the newest route is known once the maximum configuration delay has passed."""
    for request in history.requests:
        if request.kind != "version" or request.status != UNKNOWN_ROUTE:
            continue
        is_newest = not any(
            version > request.version and at_s < request.ended_at_s
            for version, at_s in history.applied_at_s.items()
        )
        age_s = request.sent_at_s - history.applied_at_s.get(request.version, request.sent_at_s)
        if (
            is_newest
            and age_s > MAX_CONFIG_DELAY_S + TIMING_MARGIN_S
            and _can_receive_changes(history, request)
        ):
            detail = f"{request.gateway}: version {request.version} unknown after {age_s:.1f} s"
            yield Violation("configuration delay", detail)


def _check_drain_delay(history: RunHistory) -> Iterator[Violation]:
    by_id = {request.request_id: request for request in history.requests}
    for incarnation, left_at_s in history.leaving_at_s.items():
        for arrival in history.arrivals[incarnation]:
            request = by_id.get(arrival.request_id)
            late_s = arrival.at_s - left_at_s - MAX_DRAIN_DELAY_S
            if request is None or late_s <= TIMING_MARGIN_S or request.sent_at_s < left_at_s:
                continue
            if _can_receive_changes(history, request) and history.is_fault_free(
                incarnation, left_at_s - FAULT_FREE_S, arrival.at_s
            ):
                detail = (
                    f"{request.request_id} by {request.gateway} "
                    f"{late_s:.1f} s late at {incarnation}"
                )
                yield Violation("drain delay", detail)


def _reaches_store(history: RunHistory, gateway: str, request: RequestRecord) -> bool:
    """Return whether a gateway could reach the store before and during a request."""
    return _are_fault_free(history, (gateway, f"store of {gateway}", "store"), request)


def _can_receive_changes(history: RunHistory, request: RequestRecord) -> bool:
    """Return whether a gateway could reach the store, or a peer that could."""
    if _reaches_store(history, request.gateway, request):
        return True
    if not _are_fault_free(history, (request.gateway, f"peers of {request.gateway}"), request):
        return False
    others = {other.gateway for other in history.requests} - {request.gateway}
    return any(
        _reaches_store(history, name, request)
        and _are_fault_free(history, (f"peers of {name}",), request)
        for name in others
    )


def _are_fault_free(history: RunHistory, names: Sequence[str], request: RequestRecord) -> bool:
    from_s = request.sent_at_s - FAULT_FREE_S
    return all(history.is_fault_free(name, from_s, request.ended_at_s) for name in names)


def _map_requests_to_servers(arrivals: Mapping[str, Sequence[Arrival]]) -> dict[str, str]:
    return {
        arrival.request_id: server
        for server, server_arrivals in arrivals.items()
        for arrival in reversed(server_arrivals)
    }
