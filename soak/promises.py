"""Keep what callers and servers saw, and check it against what the pages promise."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from standins.server import make_stream_body

CRASHING_ID = "crashing-"
"""The ids of requests that crash whoever begins to run them begin so."""
TRAP = "trap"
"""The server behind entries that name none."""
REFUSALS = frozenset({408, 421, 429, 503})
OK = 200
UNKNOWN_ROUTE = 404
PLAIN_BODY = b"whole answer"
CONTACT_S = 3.0
"""Bounds in time hold for who was left alone for so long before."""
CONFIG_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
MARGIN_S = 0.5
"""Added to bounds in time: the driver shares its machine with what it watches."""

RETRY_WINDOW_S = 10.0
RETRY_SHARE = 0.02
RETRY_EXTRA = 24.0
"""Per window, all gateways together may retry RETRY_SHARE of the requests plus RETRY_EXTRA."""


@dataclass(frozen=True)
class Asked:
    """Hold one request and what its caller saw; `status` is 0 where no whole head came."""

    request_id: str
    kind: str
    gateway: str
    # Counts the lives of the gateway's process.
    life: int
    sent_at_s: float
    ended_at_s: float
    status: int
    is_whole: bool
    body: bytes
    answered_id: str
    version: int = 0
    is_kept_connection: bool = False


@dataclass(frozen=True)
class Arrival:
    """Hold a request as it came to a server."""

    at_s: float
    request_id: str


@dataclass(frozen=True)
class Told:
    """Hold what a server said of itself in its answer to a request, by the name of the header."""

    server: str
    request_id: str
    name: str
    value: float
    at_s: float


@dataclass
class Ledger:
    """Hold all that happened in a run."""

    asked: list[Asked] = field(default_factory=list)
    # By incarnation.
    arrivals: dict[str, list[Arrival]] = field(default_factory=lambda: defaultdict(list))
    runs: Counter[str] = field(default_factory=Counter)
    leaving_at_s: dict[str, float] = field(default_factory=dict)
    applied_at_s: dict[int, float] = field(default_factory=dict)
    # When each thing was disturbed, by name; an open end is infinite.
    disturbed: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    stops: list[tuple[str, int, float]] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    # Servers that say something or crash now: no other fault of that kind begins there.
    speaking: set[str] = field(default_factory=set)
    crashes_at_s: list[float] = field(default_factory=list)

    def is_calm(self, name: str, from_s: float, until_s: float) -> bool:
        """Return whether a thing was left alone all the time."""
        return not any(begin < until_s and end > from_s for begin, end in self.disturbed[name])


@dataclass(frozen=True)
class Violation:
    """Hold which promise was broken, and how."""

    promise: str
    detail: str


def find_violations(ledger: Ledger, *, checks_bounds: bool) -> list[Violation]:
    """Return every broken promise; bounds in time only where asked for."""
    found = [
        *_check_answers(ledger.asked),
        *_check_refusals(ledger),
        *_check_once(ledger),
        *_check_versions(ledger.asked),
        *_check_stops(ledger),
        *_check_trap(ledger),
        *check_retry_budget(ledger),
    ]
    if checks_bounds:
        found += [
            *_check_config_bound(ledger),
            *_check_refused_routes(ledger),
            *_check_drain_bound(ledger),
        ]
    return found


def _check_answers(asked: Sequence[Asked]) -> Iterator[Violation]:
    for a in asked:
        if a.status != OK or not a.is_whole:
            continue
        if a.answered_id != a.request_id:
            yield Violation("own answer", f"{a.request_id} got the answer to {a.answered_id!r}")
        expected = make_stream_body() if a.kind == "stream" else PLAIN_BODY
        if a.body != expected:
            yield Violation("whole answer", f"{a.request_id} ({a.kind}) got {a.body[:80]!r}")


def _check_refusals(ledger: Ledger) -> Iterator[Violation]:
    for a in ledger.asked:
        if a.status in REFUSALS and ledger.runs[a.request_id]:
            yield Violation("true refusal", f"{a.request_id} got {a.status} and has run")


def _check_once(ledger: Ledger) -> Iterator[Violation]:
    for a in ledger.asked:
        if a.kind == "pay" and ledger.runs[a.request_id] > 1:
            times = ledger.runs[a.request_id]
            yield Violation("at most once", f"{a.request_id} ran {times} times")


def _check_versions(asked: Sequence[Asked]) -> Iterator[Violation]:
    """A process that has served by a version serves no request sent later by an older one."""
    lives: dict[tuple[str, int], list[Asked]] = defaultdict(list)
    for a in asked:
        if a.kind == "version" and a.status == OK:
            lives[a.gateway, a.life].append(a)
    for (gateway, life), seen in lives.items():
        for later in seen:
            newest = max((a.version for a in seen if a.ended_at_s < later.sent_at_s), default=0)
            if later.version < newest:
                detail = f"{gateway} life {life}: {later.version} after {newest}"
                yield Violation("no older configuration", detail)


def _check_stops(ledger: Ledger) -> Iterator[Violation]:
    """A planned stop cuts off nothing that was taken and passed on before the process ended."""
    arrived = _first_arrivals(ledger.arrivals)
    for gateway, life, at_s in ledger.stops:
        for a in ledger.asked:
            if (a.gateway, a.life) != (gateway, life) or a.is_whole or a.ended_at_s < at_s:
                continue
            if a.request_id not in arrived:
                # It crossed the close: its caller may send it again.
                continue
            server = arrived[a.request_id]
            if ledger.is_calm(gateway, at_s - CONTACT_S, a.ended_at_s) and ledger.is_calm(
                server, a.sent_at_s - CONTACT_S, a.ended_at_s
            ):
                yield Violation("planned stop", f"{a.request_id} was cut by {gateway}'s stop")


def _check_trap(ledger: Ledger) -> Iterator[Violation]:
    for arrival in ledger.arrivals[TRAP]:
        yield Violation("no foreign entry used", f"{arrival.request_id} reached the trap")


def check_retry_budget(ledger: Ledger) -> Iterator[Violation]:
    """Check that all gateways together stay within the retry budget.

    Retries are counted from the arrivals at the servers, in each window that starts at a retry.
    The allowance uses the largest request count of that window, the one before it, and the one
    that starts half a window earlier.
    """
    request_times_s = sorted(a.sent_at_s for a in ledger.asked)
    retry_times_s = sorted(_find_retry_times(ledger))

    def count_in_window(times_s: Sequence[float], start_s: float) -> int:
        return bisect_left(times_s, start_s + RETRY_WINDOW_S) - bisect_left(times_s, start_s)

    def compute_allowed(start_s: float) -> float:
        starts_s = (start_s - RETRY_WINDOW_S, start_s - RETRY_WINDOW_S / 2, start_s)
        most_requests = max(count_in_window(request_times_s, s) for s in starts_s)
        return RETRY_SHARE * most_requests + RETRY_EXTRA

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


def _find_retry_times(ledger: Ledger) -> Iterator[float]:
    """Yield the time of each arrival after the first with the same request ID."""
    arrivals = [a for server, seen in ledger.arrivals.items() if server != TRAP for a in seen]
    seen_ids: set[str] = set()
    for arrival in sorted(arrivals, key=lambda a: a.at_s):
        if arrival.request_id in seen_ids:
            yield arrival.at_s
        seen_ids.add(arrival.request_id)


def _check_config_bound(ledger: Ledger) -> Iterator[Violation]:
    for a in ledger.asked:
        if a.kind != "version" or a.status != OK:
            continue
        newer = [
            version
            for version, at_s in ledger.applied_at_s.items()
            if version > a.version and a.sent_at_s - at_s > CONFIG_BOUND_S + MARGIN_S
        ]
        if newer and _can_know(ledger, a):
            yield Violation("configuration in time", f"{a.gateway}: {a.version}, not {newer}")


def _check_refused_routes(ledger: Ledger) -> Iterator[Violation]:
    """A route that was confirmed long ago is not refused as unknown while it is the newest."""
    for a in ledger.asked:
        if a.kind != "version" or a.status != UNKNOWN_ROUTE:
            continue
        is_newest = not any(
            version > a.version and at_s < a.ended_at_s
            for version, at_s in ledger.applied_at_s.items()
        )
        age_s = a.sent_at_s - ledger.applied_at_s.get(a.version, a.sent_at_s)
        if is_newest and age_s > CONFIG_BOUND_S + MARGIN_S and _can_know(ledger, a):
            detail = f"{a.gateway}: {a.version} unknown after {age_s:.1f} s"
            yield Violation("configuration in time", detail)


def _check_drain_bound(ledger: Ledger) -> Iterator[Violation]:
    by_id = {a.request_id: a for a in ledger.asked}
    for incarnation, left_at_s in ledger.leaving_at_s.items():
        for arrival in ledger.arrivals[incarnation]:
            a = by_id.get(arrival.request_id)
            late_s = arrival.at_s - left_at_s - DRAIN_BOUND_S
            if a is None or late_s <= MARGIN_S or a.sent_at_s < left_at_s:
                continue
            if _can_know(ledger, a) and ledger.is_calm(
                incarnation, left_at_s - CONTACT_S, arrival.at_s
            ):
                detail = f"{a.request_id} by {a.gateway} {late_s:.1f} s late at {incarnation}"
                yield Violation("no new work when leaving", detail)


def _reaches_store(ledger: Ledger, gateway: str, a: Asked) -> bool:
    """Return whether a gateway reached the store all the time before a request and in it."""
    return _were_calm(ledger, (gateway, f"store of {gateway}", "store"), a)


def _can_know(ledger: Ledger, a: Asked) -> bool:
    """Return whether a gateway reached the store, or another that did."""
    if _reaches_store(ledger, a.gateway, a):
        return True
    if not _were_calm(ledger, (a.gateway, f"peers of {a.gateway}"), a):
        return False
    others = {asked.gateway for asked in ledger.asked} - {a.gateway}
    return any(
        _reaches_store(ledger, name, a) and _were_calm(ledger, (f"peers of {name}",), a)
        for name in others
    )


def _were_calm(ledger: Ledger, names: Sequence[str], a: Asked) -> bool:
    from_s = a.sent_at_s - CONTACT_S
    return all(ledger.is_calm(name, from_s, a.ended_at_s) for name in names)


def _first_arrivals(arrivals: Mapping[str, Sequence[Arrival]]) -> dict[str, str]:
    return {a.request_id: server for server, seen in arrivals.items() for a in reversed(seen)}
