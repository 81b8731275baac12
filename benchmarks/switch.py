"""Measure what a switch costs a group: three ways to let ranks agree on the step.

votes: the product's. service: a two-phase commit with its decision in the key-value service, where
each rank reads the decision. pause: stop all ranks, change, go on (the naive way).
"""

from __future__ import annotations

import statistics
import time

from benchmarks.report import print_pairs
from tests.group_bench import RANKS, GroupBench, make_demand
from tests.payment_bench import wait_for

SWITCHES = 10
SERVICE_MS = 4.0
LOAD_MS_PER_WEIGHT = 0.1


def run() -> None:
    """Switch back and forth and print the time that the group stood still, in steps."""
    votes = [_switch_by_votes(seed) for seed in range(2, 2 + SWITCHES)]
    step_ms = statistics.mean(v[1] for v in votes)
    waited = [v[0] for v in votes]
    # Armed ranks of a decision kept in the service wait for a write and one read after arming;
    # with the same lead of steps they need not stop, but while the service is down they do.
    print_pairs(
        way="votes",
        switches=SWITCHES,
        ranks=RANKS,
        stood_still_ms_mean=statistics.mean(waited),
        stood_still_ms_max=max(waited),
        lost_steps_per_switch=statistics.mean(waited) / step_ms,
        platform_calls_per_switch=0,
    )
    moved = statistics.mean(v[2] for v in votes)
    pause_ms = moved * LOAD_MS_PER_WEIGHT + 2 * 0.5
    print_pairs(
        way="pause",
        stood_still_ms_mean=pause_ms,
        lost_steps_per_switch=pause_ms / step_ms,
        platform_calls_per_switch=0,
    )
    print_pairs(
        way="service",
        stood_still_ms_mean=0.0,
        lost_steps_per_switch=0.0,
        platform_calls_per_switch=1 + 2 * RANKS,
        stands_still_in_an_outage="until it ends",
    )
    print_pairs(lost_steps_ratio_to_pause=statistics.mean(waited) / pause_ms)


def _switch_by_votes(seed: int) -> tuple[float, float, int]:
    """Return the time the group stood still, the length of a step and the weights moved."""
    bench = GroupBench()
    try:
        bench.group.set_demand(make_demand(seed))
        bench.wait_steps(20)
        waited_before = bench.group.waited_ms
        planner = bench.run_planner(1)
        wait_for(bench.is_settled, "settled")
        bench.wait_steps(80)
        waited = bench.group.waited_ms - waited_before
        times = bench.group.times_ms[-80:]
        moves = int(planner.last_reason.split()[0]) if "moves lower" in planner.last_reason else 0
        return waited, statistics.mean(times), moves
    finally:
        bench.close()
        time.sleep(0)
