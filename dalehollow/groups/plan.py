"""Improve an expert map by small moves whose gain exceeds their cost under the deployment's policy.

A move is accepted if it lowers the load of the layer's most loaded rank by more than the policy's
cost for each weight that must be loaded. A layer is planned only if its skew exceeds what sampling
noise explains, so that noise alone causes no moves. The threshold is lower for a layer whose
demand has changed significantly.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from dalehollow.groups.expert_map import (
    ExpertMap,
    LayerMap,
    count_moves,
    layer_skew,
    make_layer,
    match_ranks,
    rank_loads,
    step_skew,
)
from dalehollow.groups.layer import LayerState, find_best_change

NOISE_SIGMAS = 4.0
MAX_GAIN_LOSS = 0.1


@dataclass(frozen=True)
class Policy:
    """Set the trade-off between skew and moves.

    `cost_per_move` is the share of a layer's mean load that each moved weight must save.
    `min_skew` is the skew above the noise from which a layer is planned, and `min_changed_skew`
    the same for a layer whose demand has changed significantly.
    """

    cost_per_move: float
    min_skew: float
    min_changed_skew: float
    max_moves: int


POLICIES = {
    "calm": Policy(cost_per_move=0.03, min_skew=0.15, min_changed_skew=0.15, max_moves=2_000),
    "skew": Policy(cost_per_move=0.0005, min_skew=0.04, min_changed_skew=0.0, max_moves=8_000),
}


@dataclass(frozen=True)
class Plan:
    """Hold a planned map, its number of moves and the skew expected before and after."""

    expert_map: ExpertMap
    moves: int
    skew_before: float
    skew_after: float
    reason: str


def plan_map(
    current: ExpertMap,
    demand: Sequence[Sequence[float]],
    policy: Policy,
    *,
    speeds: Sequence[float] | None = None,
    tokens_counted: float | None = None,
    changed: Sequence[bool] | None = None,
    max_moves: int | None = None,
) -> Plan:
    """Plan the next map; a plan without moves keeps the active one.

    `demand` holds tokens for each expert of each layer. `tokens_counted` is the effective sample
    size per layer, needed if the demand was scaled or smoothed. `changed` marks the layers whose
    demand has changed significantly. `max_moves` is what the weight store can load in time.
    """
    before = step_skew(current, demand, speeds)
    equal_speeds = [1.0] * current.ranks
    layers = list(current.layers)
    moves_left = policy.max_moves if max_moves is None else min(max_moves, policy.max_moves)
    for idx in _order_by_skew(current, demand, speeds):
        if moves_left <= 0:
            break
        sample_size = sum(demand[idx]) if tokens_counted is None else tokens_counted
        noise = _noise_skew(sum(demand[idx]), sample_size, current.ranks)
        start_skew = policy.min_skew + NOISE_SIGMAS * noise
        if changed is not None and changed[idx]:
            start_skew = policy.min_changed_skew + noise
        layers[idx], moves_used = _improve_layer(
            layers[idx],
            demand[idx],
            speeds or equal_speeds,
            policy,
            (start_skew, noise),
            moves_left,
        )
        moves_left -= moves_used
    planned = ExpertMap(tuple(layers))
    moves = count_moves(current, planned)
    after = step_skew(planned, demand, speeds)
    return Plan(planned, moves, before, after, _describe_plan(moves, before, after, policy))


def _describe_plan(moves: int, before: float, after: float, policy: Policy) -> str:
    if not moves:
        return f"skew {before:.3f}: no move saves {policy.cost_per_move} of a layer's mean load"
    return f"{moves} moves reduce the expected skew from {before:.3f} to {after:.3f}"


def _order_by_skew(
    current: ExpertMap, demand: Sequence[Sequence[float]], speeds: Sequence[float] | None
) -> list[int]:
    """Return the layer indices in order of decreasing skew."""
    skews = [
        layer_skew(rank_loads(layer, d, speeds))
        for layer, d in zip(current.layers, demand, strict=True)
    ]
    return sorted(range(len(skews)), key=lambda idx: -skews[idx])


def _noise_skew(tokens: float, sample_size: float, ranks: int) -> float:
    """Return the standard deviation of a rank's relative load under balanced Poisson counts."""
    if tokens <= 0 or sample_size <= 0:
        return math.inf
    return 1 / math.sqrt(sample_size / ranks)


def _improve_layer(
    layer: LayerMap,
    demand: Sequence[float],
    speeds: Sequence[float],
    policy: Policy,
    bounds: tuple[float, float],
    move_limit: int,
) -> tuple[LayerMap, int]:
    """Apply the best change repeatedly and return the layer at the largest total gain.

    `bounds` are the skews at which to start and to stop.
    """
    start_skew, stop_skew = bounds
    state = LayerState.from_layer(layer, demand, speeds)
    mean = sum(state.loads) / len(state.loads)
    if layer_skew(state.loads) < start_skew:
        return layer, 0
    initial_max = max(state.loads)
    moves_used, best_gain, best = 0, 0.0, (layer, 0)
    while layer_skew(state.loads) > stop_skew:
        change = find_best_change(state, mean)
        if change is None or moves_used + len(change.moves) > move_limit:
            break
        state.apply(change.moves)
        moves_used += len(change.moves)
        # Several ranks may share the highest load; the gain appears once all of them are relieved.
        gain = (initial_max - max(state.loads)) / mean - policy.cost_per_move * moves_used
        if gain > best_gain:
            best_gain, best = gain, (state.as_layer(), moves_used)
        elif gain < best_gain - MAX_GAIN_LOSS:
            break
    return _rebuild_layer_if_stuck(layer, best, demand, speeds, policy, stop_skew, move_limit)


def _rebuild_layer_if_stuck(
    layer: LayerMap,
    best: tuple[LayerMap, int],
    demand: Sequence[float],
    speeds: Sequence[float],
    policy: Policy,
    stop_skew: float,
    move_limit: int,
) -> tuple[LayerMap, int]:
    """Return a layer built from scratch if local search is stuck and the gain exceeds its cost."""
    loads = rank_loads(best[0], demand, speeds)
    if layer_skew(loads) <= 2 * stop_skew:
        return best
    slots = max(len(experts) for experts in layer)
    fresh = make_layer(demand, len(layer), slots, speeds)
    if len(set(speeds)) == 1:
        fresh = match_ranks(layer, fresh)
    fresh_loads = rank_loads(fresh, demand, speeds)
    mean = sum(loads) / len(loads)
    moves = count_moves(ExpertMap((layer,)), ExpertMap((fresh,)))
    saved = (max(loads) - max(fresh_loads)) / mean
    if moves > move_limit or saved <= policy.cost_per_move * (moves - best[1]):
        return best
    return fresh, moves
