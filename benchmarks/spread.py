"""Simulate the propagation of configuration changes and the reads it takes, by fleet size.

Uses the production decisions `compute_poll_limit_ms`, `is_poll_due` and `choose_subset`. The model
only adds a heartbeat exchange of each entry with the upstreams of its subset every 500 ms.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from benchmarks.report import print_pairs
from dalehollow.config.model import Upstream
from dalehollow.config.spread import compute_poll_limit_ms, is_poll_due
from dalehollow.membership import choose_subset

TICK_MS = 50
HEARTBEAT_MS = 500
RUN_MS = 120_000
CHANGE_EVERY_MS = 20_000
SUBSET_SIZE = 8
POLL_MIN_MS, POLL_MAX_MS = 1_000, 3_000


@dataclass
class _Process:
    name: str
    limit_ms: int
    heartbeat_at_ms: int
    peers: list[int] = field(default_factory=list)
    version: int = 0
    confirmed_ms: int = 0
    polled_ms: int = -10_000


def run() -> None:
    """Print the read rate and the time until all processes have a change, by fleet size."""
    for halls, entries, upstreams in ((3, 8, 0), (3, 8, 19), (15, 360, 1_000)):
        processes = _make_processes(halls, entries, upstreams)
        polls, delays = _simulate(processes)
        print_pairs(
            processes=len(processes),
            halls=halls,
            reads_per_s=polls / (RUN_MS / 1000),
            reads_per_s_per_process=polls / (RUN_MS / 1000) / len(processes),
            everywhere_max_ms=max(delays),
            everywhere_mean_ms=sum(delays) / len(delays),
        )


def _make_processes(halls: int, entries: int, upstreams: int) -> list[_Process]:
    rng = random.Random(3)
    upstream_list = [Upstream(f"u-{i}", f"h-{i % halls}", "", "x", 8) for i in range(upstreams)]
    indexes = {u.name: entries + idx for idx, u in enumerate(upstream_list)}
    names = [f"entry-{i}" for i in range(entries)] + [u.name for u in upstream_list]
    processes = [
        _Process(n, compute_poll_limit_ms(n, POLL_MIN_MS, POLL_MAX_MS), rng.randrange(HEARTBEAT_MS))
        for n in names
    ]
    for idx in range(entries):
        subset = choose_subset(f"entry-{idx}", f"h-{idx % halls}", upstream_list, SUBSET_SIZE)
        processes[idx].peers = [indexes[u.name] for u in subset]
    return processes


def _simulate(processes: list[_Process]) -> tuple[int, list[int]]:
    polls = 0
    version, changed_ms = 1, 0
    delays: list[int] = []
    for now_ms in range(0, RUN_MS, TICK_MS):
        if now_ms and now_ms % CHANGE_EVERY_MS == 0:
            version, changed_ms = version + 1, now_ms
        for process in processes:
            age_ms = now_ms - process.confirmed_ms
            if is_poll_due(age_ms, now_ms - process.polled_ms, process.limit_ms, 0):
                process.polled_ms, polls = now_ms, polls + 1
                process.version, process.confirmed_ms = version, now_ms
            if now_ms % HEARTBEAT_MS == process.heartbeat_at_ms // TICK_MS * TICK_MS:
                for peer in process.peers:
                    _exchange(process, processes[peer])
        if len(delays) < version and all(p.version == version for p in processes):
            delays.append(now_ms - changed_ms)
    return polls, delays


def _exchange(a: _Process, b: _Process) -> None:
    """Exchange versions and the times when they were confirmed as current."""
    newest = max(a.version, b.version)
    confirmed_ms = max(p.confirmed_ms for p in (a, b) if p.version == newest)
    for process in (a, b):
        process.version = newest
        process.confirmed_ms = max(process.confirmed_ms, confirmed_ms)
