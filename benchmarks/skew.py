"""Compare planning policies under drifting demand: step-time skew and moved weights."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.report import percentile, print_pairs
from benchmarks.traces import TRACES, Shape, make_trace
from dalehollow.groups import POLICIES, ExpertMap, plan_map, step_skew
from dalehollow.groups.demand import DemandAverage
from dalehollow.groups.expert_map import count_moves, count_replicas, make_layer

SHAPE = Shape(layers=4, experts=64, tokens=65_536, windows=130)
RANKS = 16
SLOTS = 5
FULL_SIZE_MOVES = 1_000
PLOTS = Path("docs/plots")


@dataclass
class PolicyResult:
    """Hold the results of one policy over a trace."""

    skews: list[float] = field(default_factory=list)
    moves: list[int] = field(default_factory=list)


Planner = Callable[[ExpertMap, DemandAverage], ExpertMap]


def run() -> None:
    """Print one line per trace and policy, then the ratios that the goals limit."""
    for trace in TRACES:
        runs = {name: _replay_trace(trace, plan) for name, plan in PLANNERS.items()}
        bound = _lower_bound(trace)
        for name, result in runs.items():
            print_pairs(
                trace=trace,
                way=name,
                skew_mean=_mean(result.skews),
                skew_p50=percentile(result.skews, 0.5),
                skew_p99=percentile(result.skews, 0.99),
                moved_weights=sum(result.moves),
                switches=sum(m > 0 for m in result.moves),
                lost_steps=0,
            )
        _print_ratios(trace, runs, bound)
        if "--plot" in sys.argv:
            _plot(trace, runs)
    _time_full_size()


def _print_ratios(trace: str, runs: dict[str, PolicyResult], bound: float) -> None:
    full_moves = max(1, sum(runs["full"].moves))
    print_pairs(
        trace=trace,
        lower_bound=bound,
        skew_policy_to_full=_mean(runs["skew"].skews) / _mean(runs["full"].skews),
        skew_policy_moves_share=sum(runs["skew"].moves) / full_moves,
        calm_policy_to_static=_mean(runs["calm"].skews) / _mean(runs["static"].skews),
        calm_policy_moves_share=sum(runs["calm"].moves) / full_moves,
    )


def _keep_map(current: ExpertMap, average: DemandAverage) -> ExpertMap:
    return current


def _plan_full(current: ExpertMap, average: DemandAverage) -> ExpertMap:
    return ExpertMap(tuple(make_layer(d, RANKS, SLOTS) for d in average.demand))


def _plan_with(policy: str) -> Planner:
    def plan(current: ExpertMap, average: DemandAverage) -> ExpertMap:
        return plan_map(
            current,
            average.demand,
            POLICIES[policy],
            tokens_counted=average.tokens_counted,
            changed=average.changed_layers(),
        ).expert_map

    return plan


PLANNERS: dict[str, Planner] = {
    "static": _keep_map,
    "full": _plan_full,
    "calm": _plan_with("calm"),
    "skew": _plan_with("skew"),
}


def _replay_trace(trace: str, plan: Planner) -> PolicyResult:
    """Plan after each window from the demand counted so far, for use in the next window."""
    result = PolicyResult()
    average = DemandAverage()
    current: ExpertMap | None = None
    for window, demand in enumerate(make_trace(trace, SHAPE)):
        if current is not None:
            result.skews.append(step_skew(current, demand))
        average.add(demand)
        if current is None:
            # All policies start with a map planned for the demand of the warm-up.
            if window + 1 == SHAPE.warm_up:
                current = _plan_full(ExpertMap(()), average)
            continue
        planned = plan(current, average)
        result.moves.append(count_moves(current, planned))
        current = planned
    return result


def _lower_bound(trace: str) -> float:
    """Return a lower bound on the mean skew of any map with these slots.

    An expert has at most one replica in each spare slot besides its first, so the load that the
    hottest expert puts on one rank bounds the load of the slowest rank.
    """
    bounds = []
    most_replicas = min(RANKS, RANKS * SLOTS - SHAPE.experts + 1)
    for demand in make_trace(trace, SHAPE):
        max_load = sum(max(sum(d) / RANKS, max(d) / most_replicas) for d in demand)
        mean = sum(sum(d) / RANKS for d in demand)
        bounds.append(max_load / mean - 1)
    return _mean(bounds)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _time_full_size() -> None:
    """Measure the CPU time of one plan at full size: 64 ranks, 256 experts, 58 layers."""
    shape = Shape(layers=58, experts=256, tokens=1_000_000, windows=40)
    windows = make_trace("sudden_turn", shape)
    first = next(windows)
    current = ExpertMap(tuple(make_layer(d, 64, 5) for d in first))
    last = first
    for demand in windows:
        last = demand
    began_s = time.process_time()
    plan = plan_map(current, last, POLICIES["skew"], max_moves=FULL_SIZE_MOVES)
    took_s = time.process_time() - began_s
    replicas = sum(sum(count_replicas(layer).values()) for layer in current.layers)
    print_pairs(
        size="64x256x58",
        plan_cpu_s=took_s,
        moves=plan.moves,
        skew_before=plan.skew_before,
        skew_after=plan.skew_after,
        slots=replicas,
    )


def _plot(trace: str, runs: dict[str, PolicyResult]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    fig, ax = plt.subplots(figsize=(9, 3.5))
    for name, result in runs.items():
        (line,) = ax.plot(result.skews, label=f"{name} ({sum(result.moves)} moves)", linewidth=1)
        moved = [idx for idx, moves in enumerate(result.moves) if moves and name != "full"]
        ax.plot(
            moved,
            [result.skews[min(i, len(result.skews) - 1)] for i in moved],
            ".",
            color=line.get_color(),
        )
    ax.set(title=trace, xlabel="window", ylabel="step-time skew (max / mean - 1)")
    ax.legend()
    fig.tight_layout()
    PLOTS.mkdir(parents=True, exist_ok=True)
    fig.savefig(PLOTS / f"{trace}.png", dpi=80)
    plt.close(fig)
