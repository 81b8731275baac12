"""Compare how long a group is blocked by a switch under three ways to agree on its step.

votes: the production protocol, measured. service: a two-phase commit whose decision is stored in
the key-value service and read by each rank, computed. pause: stop all ranks, load the weights and
continue, computed.
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
    """Switch maps repeatedly and print how long the group was blocked, in ms and steps."""
    votes = [_switch_by_votes(seed) for seed in range(2, 2 + SWITCHES)]
    step_ms = statistics.mean(v[1] for v in votes)
    blocked_ms = [v[0] for v in votes]
    # With a decision in the service, armed ranks wait for a write and a read after arming. With
    # the same lead of steps this does not block them, except while the service is unavailable.
    print_pairs(
        way="votes",
        switches=SWITCHES,
        ranks=RANKS,
        stood_still_ms_mean=statistics.mean(blocked_ms),
        stood_still_ms_max=max(blocked_ms),
        lost_steps_per_switch=statistics.mean(blocked_ms) / step_ms,
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
    print_pairs(lost_steps_ratio_to_pause=statistics.mean(blocked_ms) / pause_ms)


def _switch_by_votes(seed: int) -> tuple[float, float, int]:
    """Return the blocked time and mean step time in ms, and the number of moved weights."""
    bench = GroupBench()
    try:
        bench.group.set_demand(make_demand(seed))
        bench.wait_steps(20)
        blocked_before_ms = bench.group.blocked_ms
        planner = bench.run_planner(1)
        wait_for(bench.is_settled, "settled")
        bench.wait_steps(80)
        blocked_ms = bench.group.blocked_ms - blocked_before_ms
        recent_step_times_ms = bench.group.step_times_ms[-80:]
        moves = int(planner.last_reason.split()[0]) if "moves reduce" in planner.last_reason else 0
        return blocked_ms, statistics.mean(recent_step_times_ms), moves
    finally:
        bench.close()
        time.sleep(0)
