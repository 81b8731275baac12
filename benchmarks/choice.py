"""Compare upstream selection policies with stale load reports and one slow upstream.

A queueing simulation in which each upstream serves `SLOTS` requests at a time and entries see load
reports that are `REPORT_DELAY_MS` old. The policy `ours` is the production function `choose`.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.report import percentile, print_pairs
from dalehollow.routing import Candidate, LoadReport, choose

UPSTREAMS = 8
SLOTS = 8
SERVICE_MS = 200.0
SLOWDOWN = 3.0
REPORT_DELAY_MS = 500.0
ENTRIES = 2
OFFERED_LOAD = 0.8
REQUESTS = 60_000

SelectUpstream = Callable[["_Entry", list["_Upstream"], random.Random], int]


@dataclass
class _Upstream:
    idx: int
    service_ms: float
    running: int = 0
    waiting: deque[float] = field(default_factory=deque)


@dataclass
class _Entry:
    reports: list[LoadReport]
    sent_at_ms: list[deque[float]]
    own_running: list[int]


def run() -> None:
    """Print the queueing time of each policy, and ratios of the 99th percentiles."""
    policies: dict[str, SelectUpstream] = {
        "random": _select_random,
        "least_reported": _select_least_reported,
        "ours": _select_ours,
    }
    p99 = {}
    for name, select in policies.items():
        waits = _simulate(select)
        p99[name] = percentile(waits, 0.99)
        print_pairs(way=name, wait_p50_ms=percentile(waits, 0.5), wait_p99_ms=p99[name])
    print_pairs(
        ratio_to_random=p99["ours"] / p99["random"],
        ratio_to_least_reported=p99["ours"] / p99["least_reported"],
    )


def _select_random(entry: _Entry, upstreams: list[_Upstream], rng: random.Random) -> int:
    return rng.randrange(len(upstreams))


def _select_least_reported(entry: _Entry, upstreams: list[_Upstream], rng: random.Random) -> int:
    loads = [(r.running + r.waiting, rng.random(), i) for i, r in enumerate(entry.reports)]
    return min(loads)[2]


def _select_ours(entry: _Entry, upstreams: list[_Upstream], rng: random.Random) -> int:
    candidates = [
        Candidate(str(i), report, len(entry.sent_at_ms[i]), 0.2)
        for i, report in enumerate(entry.reports)
    ]
    return int(choose(candidates, rng).name)


def _simulate(select: SelectUpstream) -> list[float]:
    rng = random.Random(11)
    upstreams = [_Upstream(i, SERVICE_MS * (SLOWDOWN if i == 0 else 1)) for i in range(UPSTREAMS)]
    capacity_per_ms = sum(SLOTS / u.service_ms for u in upstreams)
    entries = [
        _Entry(
            [LoadReport(0, 0, SLOTS, u.service_ms) for u in upstreams],
            [deque() for _ in upstreams],
            [0] * UPSTREAMS,
        )
        for _ in range(ENTRIES)
    ]
    waits: list[float] = []
    events: list[tuple[float, int, str, int]] = [(0.0, 0, "arrive", 0), (0.0, 1, "report", 0)]
    next_event_number = 2
    arrived = 0

    def push(at_ms: float, kind: str, value: int) -> None:
        nonlocal next_event_number
        heapq.heappush(events, (at_ms, next_event_number, kind, value))
        next_event_number += 1

    history: deque[tuple[float, list[LoadReport]]] = deque()
    while events and arrived < REQUESTS:
        now_ms, _, kind, value = heapq.heappop(events)
        if kind == "arrive":
            arrived += 1
            entry = entries[rng.randrange(ENTRIES)]
            chosen = select(entry, upstreams, rng)
            entry.sent_at_ms[chosen].append(now_ms)
            upstream = upstreams[chosen]
            if upstream.running < SLOTS:
                upstream.running += 1
                waits.append(0.0)
                push(now_ms + rng.expovariate(1 / upstream.service_ms), "finish", chosen)
            else:
                upstream.waiting.append(now_ms)
            push(now_ms + rng.expovariate(OFFERED_LOAD * capacity_per_ms), "arrive", 0)
        elif kind == "finish":
            upstream = upstreams[value]
            if upstream.waiting:
                waits.append(now_ms - upstream.waiting.popleft())
                push(now_ms + rng.expovariate(1 / upstream.service_ms), "finish", value)
            else:
                upstream.running -= 1
        else:
            loads = [LoadReport(u.running, len(u.waiting), SLOTS, u.service_ms) for u in upstreams]
            history.append((now_ms, loads))
            while history and history[0][0] <= now_ms - REPORT_DELAY_MS:
                taken_at_ms, reports = history.popleft()
                for entry in entries:
                    entry.reports = reports
                    for sent in entry.sent_at_ms:
                        while sent and sent[0] <= taken_at_ms:
                            sent.popleft()
            push(now_ms + 100.0, "report", 0)
    return waits[len(waits) // 10 :]
