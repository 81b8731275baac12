"""Improve one layer of an expert map move by move with a greedy search."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from dalehollow.groups.expert_map import LayerMap, rank_loads

_MAX_TARGET_RANKS = 4
_MAX_REPLACED_REPLICAS = 2


@dataclass(frozen=True)
class Move:
    """Replace the expert in a rank's slot by another; a swap between two ranks takes two moves."""

    rank: int
    removed: int
    added: int


@dataclass
class LayerState:
    """Hold one layer during the search, indexed by rank and by expert, with each rank's load."""

    ranks: list[set[int]]
    holders: list[set[int]]
    loads: list[float]
    demand: Sequence[float]
    speeds: Sequence[float]

    @staticmethod
    def from_layer(layer: LayerMap, demand: Sequence[float], speeds: Sequence[float]) -> LayerState:
        """Build the search state of a layer; `speeds` holds one relative speed per rank."""
        holders: list[set[int]] = [set() for _ in demand]
        for rank, experts in enumerate(layer):
            for expert in experts:
                holders[expert].add(rank)
        loads = rank_loads(layer, demand, speeds)
        return LayerState([set(e) for e in layer], holders, loads, demand, speeds)

    def replica_tokens(self, expert: int) -> float:
        """Return the tokens that each replica of an expert receives."""
        return self.demand[expert] / len(self.holders[expert])

    def changed_loads(self, moves: Sequence[Move]) -> dict[int, float]:
        """Return the loads that the affected ranks would have after the moves."""
        holders: dict[int, set[int]] = {}
        for move in moves:
            for expert in (move.removed, move.added):
                holders.setdefault(expert, set(self.holders[expert]))
            holders[move.removed].discard(move.rank)
            holders[move.added].add(move.rank)
        changed: dict[int, float] = {}
        for expert, after in holders.items():
            before = self.holders[expert]
            old, new = self.demand[expert] / len(before), self.demand[expert] / len(after)
            for rank in before:
                changed[rank] = changed.get(rank, self.loads[rank]) - old / self.speeds[rank]
            for rank in after:
                changed[rank] = changed.get(rank, self.loads[rank]) + new / self.speeds[rank]
        return changed

    def apply(self, moves: Sequence[Move]) -> None:
        """Apply the moves."""
        for rank, load in self.changed_loads(moves).items():
            self.loads[rank] = load
        for move in moves:
            self.ranks[move.rank].discard(move.removed)
            self.ranks[move.rank].add(move.added)
            self.holders[move.removed].discard(move.rank)
            self.holders[move.added].add(move.rank)

    def as_layer(self) -> LayerMap:
        """Return the layer as an immutable map."""
        return tuple(tuple(sorted(experts)) for experts in self.ranks)


@dataclass(frozen=True)
class Improvement:
    """Hold moves that must be applied together, and their combined benefit."""

    moves: tuple[Move, ...]
    benefit: float


def find_best_change(state: LayerState, mean: float) -> Improvement | None:
    """Return the change to the most loaded rank with the largest benefit per weight loaded.

    The least loaded ranks are tried as targets first, and the others only if none of them helps.
    """
    best = _find_best_among(state, mean, _MAX_TARGET_RANKS)
    return best if best is not None else _find_best_among(state, mean, len(state.loads) - 1)


def _find_best_among(state: LayerState, mean: float, ranks_tried: int) -> Improvement | None:
    best: Improvement | None = None
    for moves in _iter_changes(state, ranks_tried):
        changed = state.changed_loads(moves)
        before = sum(_penalize(state.loads[rank] / mean) for rank in changed)
        benefit = before - sum(_penalize(load / mean) for load in changed.values())
        if benefit > 0 and (best is None or benefit / len(moves) > best.benefit / len(best.moves)):
            best = Improvement(moves, benefit)
    return best


def _penalize(load: float) -> float:
    """Return the eighth power of a load, a smooth stand-in for the maximum.

    If several ranks share the highest load, relieving one of them counts as progress although the
    maximum is unchanged.
    """
    square = load * load
    fourth = square * square
    return fourth * fourth


def _iter_changes(state: LayerState, ranks_tried: int) -> Iterator[tuple[Move, ...]]:
    """Yield replications and swaps of the most loaded rank's experts on the least loaded ranks."""
    by_load = sorted(range(len(state.loads)), key=state.loads.__getitem__)
    most_loaded, least_loaded = by_load[-1], by_load[:-1][:ranks_tried]
    hot = sorted(state.ranks[most_loaded], key=lambda e: (-state.replica_tokens(e), e))
    for rank in least_loaded:
        held = sorted(state.ranks[rank], key=lambda e: (state.replica_tokens(e), e))
        spare = [e for e in held if len(state.holders[e]) > 1][:_MAX_REPLACED_REPLICAS]
        for expert in hot:
            if expert in state.ranks[rank]:
                continue
            for removed in spare:
                yield (Move(rank, removed, expert),)
            for removed in held:
                if removed not in state.ranks[most_loaded] and state.replica_tokens(
                    removed
                ) < state.replica_tokens(expert):
                    yield (Move(rank, removed, expert), Move(most_loaded, expert, removed))
