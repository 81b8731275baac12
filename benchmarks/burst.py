"""Send a burst of ten times capacity through no gate, a gate per entry and the sidecar's gate.

The gate per entry, with its bounded queue and a deadline that covers all waiting, follows the
related paper's concurrency gate per process. Such a gate limits the concurrency of each process but
not of the upstream that the processes share, which is what this benchmark measures.
"""

from __future__ import annotations

from collections.abc import Callable

from result import Err

from benchmarks.load import Sample, Samples, read_engine_stats, run_threads, send_chat
from benchmarks.report import percentile, print_pairs
from dalehollow.clock import read_clock
from dalehollow.limits import Gate, GateLimits
from dalehollow.web import HttpClient
from standins.hall import apply_config, make_config, start_hall
from standins.processes import Launcher

SLOTS = 8
STEP_MS = 6.0
TOKENS = 20
DEADLINE_MS = 1_000
QUEUE_LIMIT = 40

SendRequest = Callable[[int], Sample]


def run() -> None:
    """Compare the three placements with 2 and 8 entries."""
    capacity = SLOTS * DEADLINE_MS / (TOKENS * STEP_MS)
    requests = round(10 * capacity)
    print_pairs(capacity_in_deadline=capacity, requests=requests)
    for entries in (2, 8):
        for name in ("none", "entry", "sidecar"):
            with Launcher() as launcher:
                _measure(launcher, name, entries, requests, capacity)


def _measure(launcher: Launcher, name: str, entries: int, requests: int, capacity: float) -> None:
    hall = start_hall(
        launcher,
        entries=entries if name == "sidecar" else 1,
        engines=1,
        plain=(),
        slots=SLOTS,
        step_ms=STEP_MS,
    )
    apply_config(hall, make_config(hall, slots=SLOTS, queue_limit=QUEUE_LIMIT))
    http = HttpClient(connect_timeout_s=2)
    engine = hall.engines[0]
    gates = [Gate(GateLimits(SLOTS, 0, QUEUE_LIMIT), read_clock) for _ in range(entries)]

    def send_direct(idx: int) -> Sample:
        return send_chat(http, engine.http, f"{idx}", tokens=TOKENS, deadline_ms=DEADLINE_MS)

    def send_gated(idx: int) -> Sample:
        gate = gates[idx % entries]
        began_s = read_clock()
        if isinstance(gate.acquire("normal", began_s + DEADLINE_MS / 1000), Err):
            return Sample(503, 0.0, (read_clock() - began_s) * 1000, 0, True)
        sample = send_direct(idx)
        gate.release(sample.total_ms)
        waited_ms = (read_clock() - began_s) * 1000
        return Sample(sample.status, sample.first_ms, waited_ms, sample.tokens, False)

    def send_through(idx: int) -> Sample:
        entry = hall.entries[idx % entries]
        return send_chat(http, entry.http, f"{idx}", tokens=TOKENS, deadline_ms=DEADLINE_MS)

    senders: dict[str, SendRequest] = {
        "none": send_direct,
        "entry": send_gated,
        "sidecar": send_through,
    }
    # Warm up the service-time estimates of the gates, which are unset only after a start.
    for idx in range(2 * entries):
        senders[name](idx)
    samples = Samples()
    began_s = read_clock()
    run_threads(requests, lambda idx: samples.add(senders[name](idx)))
    took_s = read_clock() - began_s
    _report(name, entries, samples, took_s, read_engine_stats(hall.engines)[0], capacity)


def _report(
    name: str, entries: int, samples: Samples, took_s: float, stats: dict[str, int], capacity: float
) -> None:
    in_time = [s for s in samples.answered() if s.total_ms <= DEADLINE_MS * 1.1]
    refused = [s for s in samples.all if s.status in (503, 429)]
    late = len(samples.all) - len(in_time) - len(refused)
    print_pairs(
        gate=name,
        entries=entries,
        answered_in_time=len(in_time),
        refused=len(refused),
        late_or_timed_out=late,
        refused_p99_ms=percentile([s.total_ms for s in refused], 0.99),
        refused_with_retry_after=sum(s.retry_after for s in refused),
        worst_in_flight=stats["worst_in_flight"],
        took_s=took_s,
        goodput_ratio=len(in_time) / capacity,
    )
