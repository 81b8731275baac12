"""Improve the placement of experts within the slot and copy limits of the ranks.

In every layer, a pass waits for the most loaded rank. The gain of a change is therefore the
reduction of that rank's load, less a cost for each weight that must be copied. Ranks copy in
parallel, so a change takes as long as the rank with the most copies over all layers.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from dalehollow.groups.expert_map import LayerMap, rank_loads

_LOAD_EXPONENT = 6
"""Exponent of a rank's load in the score: high enough that the most loaded ranks dominate, low
enough that relieving one of two equally loaded ranks counts as progress."""
_MAX_TARGET_RANKS = 4
"""Number of least loaded ranks tried as targets; more of them cost time for little gain."""
_MAX_STEPS_WITHOUT_GAIN = 4


@dataclass(frozen=True)
class Bounds:
    """Set the limits of a map change.

    `places` is the maximum number of experts per rank and layer, `spare` the maximum number of
    copies to a rank per layer, and `rank_copies` the maximum number of copies to a rank over all
    layers. `price` is the share of the mean load by which each copied weight must reduce the
    highest load.
    """

    places: int
    spare: int
    price: float
    rank_copies: int


@dataclass(frozen=True)
class ImprovedLayer:
    """Hold a changed layer, its copy count, and its highest load over the mean before and after."""

    layer: LayerMap
    copies: int
    max_load_before: float
    max_load_after: float


def layer_loads(
    layer: LayerMap, demand: Sequence[float], paces: Sequence[float] | None = None
) -> list[float]:
    """Return each rank's load relative to the mean; replicas share an expert's tokens evenly.

    `paces` holds each rank's step time as a multiple of its usual one.
    """
    scale = len(layer) / (sum(demand) or 1.0)
    loads = [load * scale for load in rank_loads(layer, demand)]
    return loads if paces is None else [a * b for a, b in zip(loads, paces, strict=True)]


def improve_layers(
    layers: Sequence[LayerMap],
    demand: Sequence[Sequence[float]],
    bounds: Bounds,
    paces: Sequence[float] | None = None,
) -> Iterator[tuple[ImprovedLayer, ...]]:
    """Yield the best layers found so far after each change, until no change improves them.

    The layer with the highest load is changed first, so that the copy limit of the ranks is spent
    where it gains most.
    """
    ranks = len(layers[0])
    copies_left = [bounds.rank_copies] * ranks
    searches = [
        _LayerSearch(_LayerState(layer, layer_demand, bounds, paces or [1.0] * ranks, copies_left))
        for layer, layer_demand in zip(layers, demand, strict=True)
    ]
    while unfinished := [s for s in searches if not s.is_finished]:
        max(unfinished, key=lambda s: s.highest_load).advance()
        yield tuple(s.best for s in searches)


@dataclass(frozen=True)
class _Change:
    """Copy `expert` to the rank `target`, optionally replacing `dropped` there.

    `leaves_source` moves the expert instead of replicating it, and `swapped_back` is the expert
    that moves to the source in exchange. `load_changes` holds the change of each rank's load,
    before the rank's pace is applied.
    """

    score: float
    load_changes: dict[int, float]
    target: int
    expert: int
    dropped: int | None
    source: int
    leaves_source: bool
    swapped_back: int | None


class _LayerSearch:
    """Search for the best sequence of changes to one layer."""

    def __init__(self, state: _LayerState) -> None:
        self._state = state
        self._initial_max_load = max(state.loads)
        self._best_gain = 0.0
        self._steps_since_best = 0
        self.best = ImprovedLayer(
            state.as_layer(), 0, self._initial_max_load, self._initial_max_load
        )
        self.is_finished = False

    @property
    def highest_load(self) -> float:
        """Return the highest rank load of the layer in its current state."""
        return max(self._state.loads)

    def advance(self) -> None:
        """Apply the next change, or finish if none improves the layer."""
        if self._steps_since_best == _MAX_STEPS_WITHOUT_GAIN or not self._state.apply_best():
            self.is_finished = True
            self._state.release_unused_copies(self.best.layer)
            return
        copies = self._state.copies
        gain = self._initial_max_load - self.highest_load - self._state.bounds.price * copies
        self._steps_since_best += 1
        if gain > self._best_gain:
            self.best = ImprovedLayer(
                self._state.as_layer(), copies, self._initial_max_load, self.highest_load
            )
            self._best_gain, self._steps_since_best = gain, 0


class _LayerState:
    """Hold a layer during the search.

    `copies_left` holds the remaining number of copies per rank and is shared by all layers.
    """

    def __init__(
        self,
        layer: LayerMap,
        demand: Sequence[float],
        bounds: Bounds,
        paces: Sequence[float],
        copies_left: list[int],
    ) -> None:
        self.bounds = bounds
        self._copies_left = copies_left
        self._paces = paces
        total = sum(demand) or 1.0
        self._demand = [d * len(layer) / total for d in demand]
        self._origin = [frozenset(held) for held in layer]
        self._held = [set(held) for held in layer]
        self._holders: list[set[int]] = [set() for _ in demand]
        for rank, held in enumerate(layer):
            for expert in held:
                self._holders[expert].add(rank)
        self.loads = layer_loads(layer, demand, paces)
        self.copies = 0

    def as_layer(self) -> LayerMap:
        return tuple(tuple(sorted(held)) for held in self._held)

    def apply_best(self) -> bool:
        """Apply the best change to the most loaded rank; return False if none helps."""
        source = max(range(len(self.loads)), key=self.loads.__getitem__)
        ranks = sorted(range(len(self.loads)), key=self.loads.__getitem__)
        best: _Change | None = None
        for target in ranks[:_MAX_TARGET_RANKS]:
            if target == source:
                continue
            for expert in self._held[source] - self._held[target]:
                for change in self._list_changes(source, target, expert):
                    if best is None or change.score < best.score:
                        best = change
        if best is None or best.score >= 0:
            return False
        self._apply(best)
        return True

    def _list_changes(self, source: int, target: int, expert: int) -> list[_Change]:
        if not self._may_copy(target, expert):
            return []
        changes = []
        if len(self._held[target]) < self.bounds.places:
            changes.append(self._score_change(source, target, expert, None, False, None))
            changes.append(self._score_change(source, target, expert, None, True, None))
        for other in self._held[target]:
            if len(self._holders[other]) > 1:
                changes.append(self._score_change(source, target, expert, other, False, None))
            elif other not in self._held[source] and self._may_copy(source, other):
                changes.append(self._score_change(source, target, expert, other, True, other))
        return changes

    def _may_copy(self, rank: int, expert: int) -> bool:
        if expert in self._origin[rank]:
            return True
        if not self._copies_left[rank]:
            return False
        return len(self._held[rank] - self._origin[rank]) < self.bounds.spare

    def _score_change(
        self,
        source: int,
        target: int,
        expert: int,
        dropped: int | None,
        leaves_source: bool,
        swapped_back: int | None,
    ) -> _Change:
        """Score a change by its effect on the sum of powers of the rank loads; lower is better.

        The score is per copied weight.
        """
        changes: dict[int, float] = {}

        def add(rank: int, load: float) -> None:
            changes[rank] = changes.get(rank, 0.0) + load

        if leaves_source:
            share = self._share_of(expert)
            add(source, -share)
            add(target, share)
        else:
            share = self._share_of(expert, extra_replicas=1)
            lost = self._share_of(expert) - share
            for rank in self._holders[expert]:
                add(rank, -lost)
            add(target, share)
        if swapped_back is not None:
            share = self._share_of(swapped_back)
            add(target, -share)
            add(source, share)
        elif dropped is not None:
            share = self._share_of(dropped)
            gained = self._share_of(dropped, extra_replicas=-1) - share
            for rank in self._holders[dropped]:
                add(rank, gained)
            add(target, -share - gained)
        score = 0.0
        for rank, change in changes.items():
            load = self.loads[rank]
            score += (load + change * self._paces[rank]) ** _LOAD_EXPONENT - load**_LOAD_EXPONENT
        copies = (expert not in self._origin[target]) + (
            swapped_back is not None and swapped_back not in self._origin[source]
        )
        return _Change(
            score / max(1, copies),
            changes,
            target,
            expert,
            dropped,
            source,
            leaves_source,
            swapped_back,
        )

    def _share_of(self, expert: int, *, extra_replicas: int = 0) -> float:
        """Return an expert's load on each of its ranks, given `extra_replicas` more replicas."""
        return self._demand[expert] / (len(self._holders[expert]) + extra_replicas)

    def _apply(self, change: _Change) -> None:
        self._place(change.expert, change.target)
        if change.dropped is not None:
            self._remove(change.dropped, change.target)
        if change.leaves_source:
            self._remove(change.expert, change.source)
        if change.swapped_back is not None:
            self._place(change.swapped_back, change.source)
        for rank, load in change.load_changes.items():
            self.loads[rank] += load * self._paces[rank]

    def _place(self, expert: int, rank: int) -> None:
        self._held[rank].add(expert)
        self._holders[expert].add(rank)
        self._count_copy(expert, rank, 1)

    def _remove(self, expert: int, rank: int) -> None:
        self._held[rank].discard(expert)
        self._holders[expert].discard(rank)
        self._count_copy(expert, rank, -1)

    def _count_copy(self, expert: int, rank: int, change: int) -> None:
        if expert not in self._origin[rank]:
            self.copies += change
            self._copies_left[rank] -= change

    def release_unused_copies(self, kept: LayerMap) -> None:
        """Release the copies that the layer in `kept` does not need, for use by other layers."""
        for rank, held in enumerate(kept):
            self._copies_left[rank] += len(self._held[rank] - self._origin[rank])
            self._copies_left[rank] -= len(set(held) - self._origin[rank])


def place_round_robin(ranks: int, experts: int) -> LayerMap:
    """Return the initial layer of a group: expert e is placed on rank e modulo `ranks`."""
    return tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
