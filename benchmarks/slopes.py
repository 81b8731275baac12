"""Measure memory and CPU time by size, and fit a line to each."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from benchmarks.child import config_bytes, message_bytes
from benchmarks.load import run_threads, send_chat
from benchmarks.report import print_pairs
from dalehollow.clock import read_clock
from dalehollow.web import HttpClient
from standins.hall import start_hall
from standins.processes import Launcher, RunningProcess

SIZES: dict[str, Sequence[int]] = {
    "accounts": (500, 1_000, 2_200, 4_400),
    "account_state": (500, 1_000, 2_200, 4_400),
    "upstreams": (125, 250, 500, 1_000),
    "keys": (2_500, 5_000, 10_000, 20_000),
    "layers": (8, 16, 32, 58),
    "peers": (4, 8, 16, 32),
}
BEATS_PER_PEER = 10
REQUESTS = (200, 400, 800, 1_600)
WIRE_OVERHEAD_BYTES = 2 * (8 + 4) + 3 * 52
"""Overhead of one exchange: frames and request numbers of the link, and the TCP/IP headers of the
heartbeat, of the reply (which acknowledges it) and of the acknowledgement of the reply."""
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def run() -> None:
    """Print the fit for each kind, then message sizes and the CPU time of requests."""
    for kind, sizes in SIZES.items():
        measured = [_measure(kind, size) for size in sizes]
        _print_fit(kind, "kib", sizes, [m["kib"] for m in measured])
        _print_fit(kind, "cpu_ms", sizes, [m["cpu_ms"] for m in measured])
    sizes_bytes = message_bytes()
    exchange = sum(sizes_bytes.values()) + WIRE_OVERHEAD_BYTES
    print_pairs(**{f"{k}_bytes": v for k, v in sizes_bytes.items()}, exchange_bytes=exchange)
    print_pairs(**config_bytes())
    _measure_requests()


def _measure(kind: str, size: int) -> dict[str, float]:
    command = [sys.executable, "-m", "benchmarks.child", kind, str(size)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    measurement: dict[str, float] = json.loads(done.stdout)
    return measurement


def _measure_requests() -> None:
    """Print the CPU time of a request and of idling in an entry and in a sidecar."""
    with Launcher() as launcher:
        hall = start_hall(launcher, entries=1, engines=1, plain=(), slots=64, step_ms=1.0)
        http = HttpClient(connect_timeout_s=1)
        used: dict[str, list[float]] = {"entry": [], "sidecar": []}
        for count in REQUESTS:
            processes = {"entry": hall.entries[0], "sidecar": hall.sidecars["model-0"]}
            before = {name: read_cpu_s(p) for name, p in processes.items()}

            def work(idx: int, share: int = count // 8) -> None:
                for number in range(share):
                    send_chat(http, hall.entries[0].http, f"{idx}-{number}", tokens=1)

            run_threads(8, work)
            for name, process in processes.items():
                used[name].append((read_cpu_s(process) - before[name]) * 1000)
        for name, values in used.items():
            _print_fit(f"requests_{name}", "cpu_ms", REQUESTS, values)
        began_s, idle_entry_s = read_clock(), read_cpu_s(hall.entries[0])
        idle_sidecar_s = read_cpu_s(hall.sidecars["model-0"])
        time.sleep(10)
        took_s = read_clock() - began_s
        print_pairs(
            idle_entry_core_share=(read_cpu_s(hall.entries[0]) - idle_entry_s) / took_s,
            idle_sidecar_core_share=(read_cpu_s(hall.sidecars["model-0"]) - idle_sidecar_s)
            / took_s,
            peers_of_entry=1,
        )


def read_cpu_s(process: RunningProcess) -> float:
    """Return the CPU time used by a process in s."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _print_fit(kind: str, unit: str, xs: Sequence[int], ys: Sequence[float]) -> None:
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    var_x = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / var_x
    intercept = mean_y - slope * mean_x
    residual = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    total = sum((y - mean_y) ** 2 for y in ys)
    print_pairs(
        kind=kind,
        unit=unit,
        sizes="/".join(map(str, xs)),
        values="/".join(f"{y:.0f}" if y >= 10 else f"{y:.2f}" for y in ys),
        slope=f"{slope:.5g}",
        intercept=f"{intercept:.4g}",
        r2=f"{1 - residual / total if total else 1:.3f}",
    )
