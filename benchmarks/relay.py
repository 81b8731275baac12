"""Measure the token relay of one entry: rate, CPU time per token and added latency."""

from __future__ import annotations

import os
from pathlib import Path

from benchmarks.load import Samples, run_threads, send_chat
from benchmarks.report import percentile, print_pairs
from dalehollow.clock import read_clock
from dalehollow.web import HttpClient
from standins.hall import Hall, start_hall
from standins.processes import Launcher, RunningProcess

ENGINES = 4
STREAMS = 200
STEP_MS = 30.0
TOKENS = 200
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def run() -> None:
    """Stream from the engines directly, then through the entry, at the same load."""
    with Launcher() as launcher:
        hall = start_hall(
            launcher,
            entries=1,
            engines=ENGINES,
            plain=(),
            slots=STREAMS // ENGINES,
            step_ms=STEP_MS,
        )
        direct = _stream([e.http for e in hall.engines])
        before_s = _read_cpu_s(hall.entries[0])
        began_s = read_clock()
        through = _stream([hall.entries[0].http])
        took_s = read_clock() - began_s
        used_s = _read_cpu_s(hall.entries[0]) - before_s
        _report(hall, direct, through, took_s, used_s)


def _report(hall: Hall, direct: Samples, through: Samples, took_s: float, used_s: float) -> None:
    tokens = sum(s.tokens for s in through.answered())
    gaps = {
        name: [g for s in samples.answered() for g in s.gaps_ms]
        for name, samples in [("direct", direct), ("through", through)]
    }
    first_token_ms = {
        name: [s.first_ms for s in samples.answered()]
        for name, samples in [("direct", direct), ("through", through)]
    }
    for name in gaps:
        print_pairs(
            path=name,
            gap_p50_ms=percentile(gaps[name], 0.5),
            gap_p95_ms=percentile(gaps[name], 0.95),
            gap_p99_ms=percentile(gaps[name], 0.99),
            first_p50_ms=percentile(first_token_ms[name], 0.5),
            first_p99_ms=percentile(first_token_ms[name], 0.99),
        )
    print_pairs(
        streams=STREAMS,
        answered=len(through.answered()),
        tokens_per_s=tokens / took_s,
        entry_core_share=used_s / took_s,
        entry_cpu_us_per_token=used_s / tokens * 1e6,
        tokens_per_s_at_one_core=tokens / used_s,
        added_gap_p50_ms=percentile(gaps["through"], 0.5) - percentile(gaps["direct"], 0.5),
        added_gap_p99_ms=percentile(gaps["through"], 0.99) - percentile(gaps["direct"], 0.99),
        gap_p99_ratio=percentile(gaps["through"], 0.99) / percentile(gaps["direct"], 0.99),
    )


def _stream(addresses: list[str]) -> Samples:
    samples = Samples()
    http = HttpClient(connect_timeout_s=5)

    def work(idx: int) -> None:
        address = addresses[idx % len(addresses)]
        samples.add(send_chat(http, address, f"s{idx}", tokens=TOKENS, deadline_ms=60_000))

    run_threads(STREAMS, work)
    return samples


def _read_cpu_s(process: RunningProcess) -> float:
    """Return the CPU time used by a process in s."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
