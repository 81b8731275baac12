"""Improve an expert map in small moves, each worth its cost under the deployment's policy.

A move is taken where it lowers the layer's longest rank by more than the policy's price for each
weight that must be loaded. Planning begins only when the skew that the moves could remove
exceeds what counting noise explains, so that noise alone moves nothing; for a layer whose demand
has changed beyond doubt it begins earlier.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
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

NOISE_DEVIATIONS = 4.0
GIVE_UP_LOSS = 0.1
_SHORT_RANKS_TRIED = 4
_SPARES_TRIED = 2


@dataclass(frozen=True)
class Policy:
    """Weigh skew against moves.

    `price_per_move` is the share of a layer's mean time that one moved weight must save;
    `begin_skew` is the skew over the noise at which a layer is worked on at all, and
    `begin_moving_skew` the same for a layer whose demand is known to be changing.
    """

    price_per_move: float
    begin_skew: float
    begin_moving_skew: float
    max_moves: int


POLICIES = {
    "calm": Policy(price_per_move=0.03, begin_skew=0.15, begin_moving_skew=0.15, max_moves=2_000),
    "skew": Policy(price_per_move=0.0005, begin_skew=0.04, begin_moving_skew=0.0, max_moves=8_000),
}


@dataclass(frozen=True)
class Plan:
    """Hold a planned map, what it costs and what it is expected to bring."""

    expert_map: ExpertMap
    moves: int
    skew_before: float
    skew_after: float
    reason: str


@dataclass(frozen=True)
class _Move:
    """Put an expert into a rank's slot in place of another; two of them make an exchange."""

    rank: int
    out: int
    into: int


def plan_map(
    current: ExpertMap,
    demand: Sequence[Sequence[float]],
    policy: Policy,
    *,
    speeds: Sequence[float] | None = None,
    tokens_counted: float | None = None,
    moving: Sequence[bool] | None = None,
    max_moves: int | None = None,
) -> Plan:
    """Plan the next map; a plan without moves keeps the current one.

    `demand` holds tokens for each expert of each layer; `tokens_counted`, for a demand that was
    scaled or smoothed, is how many tokens of a layer it really rests on. `moving` marks the layers
    whose demand is known to be changing; `max_moves` is what the weight store can load in time.
    """
    before = step_skew(current, demand, speeds)
    even = [1.0] * current.ranks
    layers = list(current.layers)
    left = policy.max_moves if max_moves is None else min(max_moves, policy.max_moves)
    for idx in _order_layers(current, demand, speeds):
        if left <= 0:
            break
        counted = sum(demand[idx]) if tokens_counted is None else tokens_counted
        noise = _noise_skew(sum(demand[idx]), counted, current.ranks)
        begin = policy.begin_skew + NOISE_DEVIATIONS * noise
        if moving is not None and moving[idx]:
            begin = policy.begin_moving_skew + noise
        layers[idx], used = _improve_layer(
            layers[idx], demand[idx], speeds or even, policy, (begin, noise), left
        )
        left -= used
    planned = ExpertMap(tuple(layers))
    moves = count_moves(current, planned)
    after = step_skew(planned, demand, speeds)
    return Plan(planned, moves, before, after, _explain(moves, before, after, policy))


def _explain(moves: int, before: float, after: float, policy: Policy) -> str:
    if not moves:
        return f"skew {before:.3f}: no move is worth {policy.price_per_move} of a layer's time"
    return f"{moves} moves lower the expected skew from {before:.3f} to {after:.3f}"


def _order_layers(
    current: ExpertMap, demand: Sequence[Sequence[float]], speeds: Sequence[float] | None
) -> list[int]:
    """Return the layers, the most skewed first."""
    skews = [
        layer_skew(rank_loads(layer, d, speeds))
        for layer, d in zip(current.layers, demand, strict=True)
    ]
    return sorted(range(len(skews)), key=lambda idx: -skews[idx])


def _noise_skew(tokens: float, counted: float, ranks: int) -> float:
    """Return the deviation that counting noise gives to an even rank's load."""
    if tokens <= 0 or counted <= 0:
        return math.inf
    return 1 / math.sqrt(counted / ranks)


def _improve_layer(
    layer: LayerMap,
    demand: Sequence[float],
    speeds: Sequence[float],
    policy: Policy,
    bounds: tuple[float, float],
    most_moves: int,
) -> tuple[LayerMap, int]:
    """Take the best change again and again, and keep those up to where all of them paid most.

    `bounds` are the skews at which to begin and to stop.
    """
    begin, stop = bounds
    state = _LayerState.of(layer, demand, speeds)
    mean = sum(state.loads) / len(state.loads)
    if layer_skew(state.loads) < begin:
        return layer, 0
    begun = max(state.loads)
    used, best_gain, best = 0, 0.0, (layer, 0)
    while layer_skew(state.loads) > stop:
        change = _find_best(state, mean)
        if change is None or used + len(change.moves) > most_moves:
            break
        state.take(change.moves)
        used += len(change.moves)
        # Several ranks may be about the longest: only all their moves together pay.
        gain = (begun - max(state.loads)) / mean - policy.price_per_move * used
        if gain > best_gain:
            best_gain, best = gain, (state.as_layer(), used)
        elif gain < best_gain - GIVE_UP_LOSS:
            break
    return _place_anew(layer, best, demand, speeds, policy, stop, most_moves)


def _place_anew(
    layer: LayerMap,
    best: tuple[LayerMap, int],
    demand: Sequence[float],
    speeds: Sequence[float],
    policy: Policy,
    stop: float,
    most_moves: int,
) -> tuple[LayerMap, int]:
    """Take a placement from nothing instead, where small changes are stuck and it pays."""
    loads = rank_loads(best[0], demand, speeds)
    if layer_skew(loads) <= 2 * stop:
        return best
    slots = max(len(experts) for experts in layer)
    fresh = make_layer(demand, len(layer), slots, speeds)
    if len(set(speeds)) == 1:
        fresh = match_ranks(layer, fresh)
    fresh_loads = rank_loads(fresh, demand, speeds)
    mean = sum(loads) / len(loads)
    moves = count_moves(ExpertMap((layer,)), ExpertMap((fresh,)))
    saved = (max(loads) - max(fresh_loads)) / mean
    if moves > most_moves or saved <= policy.price_per_move * (moves - best[1]):
        return best
    return fresh, moves


@dataclass
class _LayerState:
    """Hold one layer while it is changed, with each expert's ranks and each rank's load."""

    ranks: list[set[int]]
    holders: list[set[int]]
    loads: list[float]
    demand: Sequence[float]
    speeds: Sequence[float]

    @staticmethod
    def of(layer: LayerMap, demand: Sequence[float], speeds: Sequence[float]) -> _LayerState:
        holders: list[set[int]] = [set() for _ in demand]
        for rank, experts in enumerate(layer):
            for expert in experts:
                holders[expert].add(rank)
        loads = rank_loads(layer, demand, speeds)
        return _LayerState([set(e) for e in layer], holders, loads, demand, speeds)

    def share(self, expert: int) -> float:
        """Return the tokens that each replica of an expert gets."""
        return self.demand[expert] / len(self.holders[expert])

    def changed_loads(self, moves: Sequence[_Move]) -> dict[int, float]:
        """Return the loads of the ranks that the moves would change."""
        holders: dict[int, set[int]] = {}
        for move in moves:
            for expert in (move.out, move.into):
                holders.setdefault(expert, set(self.holders[expert]))
            holders[move.out].discard(move.rank)
            holders[move.into].add(move.rank)
        changed: dict[int, float] = {}
        for expert, after in holders.items():
            before = self.holders[expert]
            old, new = self.demand[expert] / len(before), self.demand[expert] / len(after)
            for rank in before:
                changed[rank] = changed.get(rank, self.loads[rank]) - old / self.speeds[rank]
            for rank in after:
                changed[rank] = changed.get(rank, self.loads[rank]) + new / self.speeds[rank]
        return changed

    def take(self, moves: Sequence[_Move]) -> None:
        """Take the moves."""
        for rank, load in self.changed_loads(moves).items():
            self.loads[rank] = load
        for move in moves:
            self.ranks[move.rank].discard(move.out)
            self.ranks[move.rank].add(move.into)
            self.holders[move.out].discard(move.rank)
            self.holders[move.into].add(move.rank)

    def as_layer(self) -> LayerMap:
        """Return the layer as frozen data."""
        return tuple(tuple(sorted(experts)) for experts in self.ranks)


@dataclass(frozen=True)
class _Change:
    moves: tuple[_Move, ...]
    worth: float


def _find_best(state: _LayerState, mean: float) -> _Change | None:
    """Return the change worth most for each weight, of those that relieve the longest rank.

    The shortest ranks are tried first; all others only when none of those offers anything.
    """
    few = _find_best_on(state, mean, _SHORT_RANKS_TRIED)
    return few if few is not None else _find_best_on(state, mean, len(state.loads) - 1)


def _find_best_on(state: _LayerState, mean: float, ranks_tried: int) -> _Change | None:
    best: _Change | None = None
    for moves in _propose(state, ranks_tried):
        changed = state.changed_loads(moves)
        before = sum(_weigh(state.loads[rank] / mean) for rank in changed)
        worth = before - sum(_weigh(load / mean) for load in changed.values())
        if worth > 0 and (best is None or worth / len(moves) > best.worth / len(best.moves)):
            best = _Change(moves, worth)
    return best


def _weigh(load: float) -> float:
    """Weigh a load so that the longest count most: where several ranks are the longest, a change
    that relieves one of them is still worth something, though the maximum stays."""
    square = load * load
    fourth = square * square
    return fourth * fourth


def _propose(state: _LayerState, ranks_tried: int) -> Iterator[tuple[_Move, ...]]:
    """Offer replicas of the longest rank's experts, and exchanges, on the shortest ranks."""
    by_load = sorted(range(len(state.loads)), key=state.loads.__getitem__)
    longest, shortest = by_load[-1], by_load[:-1][:ranks_tried]
    hot = sorted(state.ranks[longest], key=lambda e: (-state.share(e), e))
    for rank in shortest:
        held = sorted(state.ranks[rank], key=lambda e: (state.share(e), e))
        spare = [e for e in held if len(state.holders[e]) > 1][:_SPARES_TRIED]
        for expert in hot:
            if expert in state.ranks[rank]:
                continue
            for out in spare:
                yield (_Move(rank, out, expert),)
            for out in held:
                if out not in state.ranks[longest] and state.share(out) < state.share(expert):
                    yield (_Move(rank, out, expert), _Move(longest, expert, out))
