"""Measure the latency of urgent requests at two times capacity against first-come service."""

from __future__ import annotations

import threading

from benchmarks.load import Samples, read_engine_stats, run_threads, send_chat
from benchmarks.report import percentile, print_pairs
from dalehollow.clock import read_clock
from dalehollow.web import HttpClient
from standins.hall import Hall, start_hall
from standins.processes import Launcher

ENGINES = 2
SLOTS = 8
STEP_MS = 6.0
TOKENS = 40
URGENT_TOKENS = 8
URGENT_GAP_S = 0.05
DURATION_S = 8.0


def run() -> None:
    """Run idle, first-come (equal priorities) and urgent-first in sequence on one hall."""
    with Launcher() as launcher:
        hall = start_hall(launcher, engines=ENGINES, plain=(), slots=SLOTS, step_ms=STEP_MS)
        idle, _, _ = _measure(hall, clients=0, urgent_priority="urgent")
        first_come, first_come_rate, _ = _measure(hall, _overload(), urgent_priority="normal")
        urgent, urgent_rate, background = _measure(hall, _overload(), urgent_priority="urgent")
    p99 = {
        name: percentile([s.first_ms for s in samples.answered()], 0.99)
        for name, samples in [("idle", idle), ("first_come", first_come), ("urgent", urgent)]
    }
    for name, value in p99.items():
        print_pairs(case=name, first_token_p99_ms=value)
    print_pairs(
        tokens_per_s_first_come=first_come_rate,
        tokens_per_s_urgent=urgent_rate,
        background_answered=background,
    )
    print_pairs(
        extra_steps=(p99["urgent"] - p99["idle"]) / STEP_MS,
        rate_ratio=urgent_rate / first_come_rate,
        p99_ratio=p99["urgent"] / p99["first_come"],
    )


def _overload() -> int:
    return 2 * ENGINES * SLOTS


def _measure(hall: Hall, clients: int, urgent_priority: str) -> tuple[Samples, float, int]:
    """Return the urgent samples, the token rate in 1/s and the number of background responses."""
    urgent, background = Samples(), Samples()
    stopping = threading.Event()
    http = HttpClient(connect_timeout_s=1)

    def work(idx: int) -> None:
        entry = hall.entries[idx % len(hall.entries)].http
        if idx == clients:
            _send_urgent(hall, http, urgent, urgent_priority, stopping)
            return
        priority = "background" if idx % 8 == 0 else "normal"
        while not stopping.is_set():
            sample = send_chat(http, entry, f"{idx}", priority=priority, tokens=TOKENS)
            if priority == "background":
                background.add(sample)

    before = sum(s["tokens_made"] for s in read_engine_stats(hall.engines))
    began_s = read_clock()
    timer = threading.Timer(DURATION_S, stopping.set)
    timer.start()
    run_threads(clients + 1, work)
    took_s = read_clock() - began_s
    generated_tokens = sum(s["tokens_made"] for s in read_engine_stats(hall.engines)) - before
    return urgent, generated_tokens / took_s, len(background.answered())


def _send_urgent(
    hall: Hall, http: HttpClient, samples: Samples, priority: str, stopping: threading.Event
) -> None:
    number = 0
    while not stopping.wait(URGENT_GAP_S):
        entry = hall.entries[number % len(hall.entries)].http
        samples.add(
            send_chat(http, entry, f"urgent {number}", priority=priority, tokens=URGENT_TOKENS)
        )
        number += 1
