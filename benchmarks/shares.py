"""Measure account limits: the effect of a large account on small ones, and the sum of shares.

The first part runs the processes of a hall. The second simulates share allocation with 2, 8 and 360
entries, shifting demand and isolated entries.
"""

from __future__ import annotations

import json
import random
import threading
import time
from collections.abc import Callable

from result import Err, Ok, Result

from benchmarks.report import percentile, print_pairs
from dalehollow.clock import read_clock
from dalehollow.config.model import Account, Config, Hall
from dalehollow.entry.shares import ShareManager, held_shares
from dalehollow.platform.vms import Vm
from dalehollow.protocol import ShareGrant, ShareRequest
from dalehollow.web import HttpClient
from standins.hall import ACCOUNT_KEYS, apply_config, make_config, start_hall
from standins.hall import Hall as HallProcesses
from standins.processes import Launcher

LARGE, *SMALL = sorted(ACCOUNT_KEYS)
LARGE_LIMIT_PER_S = 20
SMALL_LIMIT_PER_S = 50
DURATION_S = 10.0
SMALL_GAP_S = 0.1
LIMIT = 100.0
ROUNDS = 200


def run() -> None:
    """Run both parts."""
    with Launcher() as launcher:
        hall = start_hall(launcher, engines=0, plain=("gate-1", "gate-2"))
        config = make_config(hall)
        config["services"].pop("assistant")
        for name, account in config["client_accounts"].items():
            limit = LARGE_LIMIT_PER_S if name == LARGE else SMALL_LIMIT_PER_S
            account["requests_per_s"] = account["burst"] = limit
        apply_config(hall, config)
        without_large = _measure(hall, large_gap_s=None)
        with_large = _measure(hall, large_gap_s=1 / (10 * LARGE_LIMIT_PER_S))
    print_pairs(
        small_p50_ratio=percentile(with_large[0], 0.5) / percentile(without_large[0], 0.5),
        small_p99_ratio=percentile(with_large[0], 0.99) / percentile(without_large[0], 0.99),
    )
    for entries, halls in ((2, 1), (8, 1), (360, 15)):
        _simulate_allocation(entries, halls)


def _measure(hall: HallProcesses, large_gap_s: float | None) -> tuple[list[float], int]:
    """Return the latencies of the small accounts in ms and the responses to the large account."""
    times_ms: list[float] = []
    large_answered = [0]
    stopping = threading.Event()
    http = HttpClient(connect_timeout_s=1)

    def send(account: str, number: int) -> int:
        entry = hall.entries[number % len(hall.entries)]
        headers = {"authorization": f"Bearer {ACCOUNT_KEYS[account]}"}
        body = json.dumps({"n": number}).encode()
        call = http.call("POST", entry.http, "/gate/draw", headers=headers, body=body, timeout_s=5)
        answer = call.unwrap()
        answer.read()
        return answer.status

    def run_small(account: str) -> None:
        number = 0
        while not stopping.wait(SMALL_GAP_S):
            began_s = read_clock()
            if send(account, number) == 200:
                times_ms.append((read_clock() - began_s) * 1000)
            number += 1

    def run_large(gap_s: float) -> None:
        number = 0
        while not stopping.wait(gap_s):
            large_answered[0] += send(LARGE, number) == 200
            number += 1

    threads = [threading.Thread(target=run_small, args=(a,)) for a in SMALL for _ in range(2)]
    if large_gap_s is not None:
        threads.append(threading.Thread(target=run_large, args=(large_gap_s,)))
    for thread in threads:
        thread.start()
    time.sleep(DURATION_S)
    stopping.set()
    for thread in threads:
        thread.join()
    print_pairs(
        case="beside" if large_gap_s else "alone",
        small_answered=len(times_ms),
        small_p50_ms=percentile(times_ms, 0.5),
        small_p99_ms=percentile(times_ms, 0.99),
        large_answered_per_s=large_answered[0] / DURATION_S,
        large_limit_per_s=LARGE_LIMIT_PER_S,
    )
    return times_ms, large_answered[0]


def _simulate_allocation(entries: int, halls: int) -> None:
    rng = random.Random(5)
    managers: dict[str, ShareManager] = {}
    isolated: set[str] = set()

    def make_transport(sender: str) -> Callable[[str, ShareRequest], Result[ShareGrant, str]]:
        def transmit(address: str, message: ShareRequest) -> Result[ShareGrant, str]:
            if sender in isolated or address in isolated:
                return Err("entry is isolated")
            return Ok(managers[address].answer(message))

        return transmit

    names = [f"e{i}" for i in range(entries)]
    vms = tuple(Vm(n, "live", f"h{i % halls}", n) for i, n in enumerate(names))
    account = Account("a", "0" * 64, LIMIT, 10, "normal")
    cfg = Config(
        "d",
        2_000,
        {f"h{h}": Hall(f"h{h}", "r", entries // halls) for h in range(halls)},
        {"a": account},
        {},
        {},
        {},
    )
    for idx, name in enumerate(names):
        manager = ShareManager(name, f"h{idx % halls}", make_transport(name), clock=lambda: 0.0)
        manager.update_vm_list(vms)
        manager.apply(cfg)
        managers[name] = manager
    worst, used = 0.0, 0.0
    busy = names[0]
    for number in range(ROUNDS):
        if number % 20 == 0:
            busy = rng.choice(names)
            isolated = set(rng.sample(names, entries // 8))
        for name, manager in managers.items():
            for _ in range(200 if name == busy else 0):
                manager.take("a")
            manager.run_round(1.0)
        shares = {n: held_shares(k)["a"] for n, k in managers.items()}
        worst = max(worst, sum(shares.values()))
        used += shares[busy]
    print_pairs(
        entries=entries,
        halls=halls,
        worst_sum_to_limit=worst / LIMIT,
        busy_entry_share_mean=used / ROUNDS / LIMIT,
        even_share=1 / entries,
    )
