"""Improve where a layer's experts stand, within the places and copies that ranks allow.

A pass lasts as long as the most loaded rank of each layer, so a change is worth what it takes off
that rank's load, less a price for each weight that must be copied. Ranks copy at the same time, so
a change takes as long as the rank that copies most, over all layers together.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from dalehollow.groups.expert_map import LayerMap, rank_loads

_POWER = 6
"""Ranks weigh by this power of their load: high enough that the longest decide, low enough that
taking one of two equally long ranks down counts as progress."""
_LIGHT_RANKS = 4
"""Targets looked at for a move, the least loaded ranks: more cost time and change little."""
_GIVE_UP_STEPS = 4


@dataclass(frozen=True)
class Bounds:
    """Bound a change of one layer.

    `places` experts a rank at most, `spare` experts new to a rank in one change; `price` is the
    share of the mean load that one copied weight must take off the longest rank; `rank_copies`
    bounds what is new to a rank in all layers together.
    """

    places: int
    spare: int
    price: float
    rank_copies: int


@dataclass(frozen=True)
class Improved:
    """Hold a changed layer, its copies, and the longest rank over the mean before and after."""

    layer: LayerMap
    copies: int
    longest_before: float
    longest_after: float


def layer_loads(
    layer: LayerMap, demand: Sequence[float], paces: Sequence[float] | None = None
) -> list[float]:
    """Return each rank's time over the mean load; an expert's tokens are shared by its holders.

    `paces` holds how many times longer than usual each rank takes.
    """
    scale = len(layer) / (sum(demand) or 1.0)
    loads = [load * scale for load in rank_loads(layer, demand)]
    return loads if paces is None else [a * b for a, b in zip(loads, paces, strict=True)]


def improve_layers(
    layers: Sequence[LayerMap],
    demand: Sequence[Sequence[float]],
    bounds: Bounds,
    paces: Sequence[float] | None = None,
) -> Iterator[tuple[Improved, ...]]:
    """Yield after each change what is found so far, until none pays any more.

    The layer with the longest rank goes first: what ranks may copy goes where it brings most.
    """
    ranks = len(layers[0])
    room = [bounds.rank_copies] * ranks
    searches = [
        _Search(_Work(layer, wanted, bounds, paces or [1.0] * ranks, room))
        for layer, wanted in zip(layers, demand, strict=True)
    ]
    while unfinished := [s for s in searches if not s.is_finished]:
        max(unfinished, key=lambda s: s.longest).advance()
        yield tuple(s.best for s in searches)


@dataclass(frozen=True)
class _Change:
    """Add `expert` to the rank `target`; drop what gives way there and perhaps at the source.

    `load_changes` holds what it adds to the load of each rank, before its pace.
    """

    score: float
    load_changes: dict[int, float]
    target: int
    expert: int
    dropped: int | None
    source: int
    leaves_source: bool
    returns: int | None


class _Search:
    """Hold the search for the best change of one layer."""

    def __init__(self, work: _Work) -> None:
        self._work = work
        self._before = max(work.loads)
        self._best_gain = 0.0
        self._since_best = 0
        self.best = Improved(work.as_layer(), 0, self._before, self._before)
        self.is_finished = False

    @property
    def longest(self) -> float:
        """Return the longest rank's load as the layer is now."""
        return max(self._work.loads)

    def advance(self) -> None:
        """Take one more change, or finish where none pays."""
        if self._since_best == _GIVE_UP_STEPS or not self._work.take_best():
            self.is_finished = True
            self._work.give_back_room(self.best.layer)
            return
        copies = self._work.copies
        gain = self._before - self.longest - self._work.bounds.price * copies
        self._since_best += 1
        if gain > self._best_gain:
            self.best = Improved(self._work.as_layer(), copies, self._before, self.longest)
            self._best_gain, self._since_best = gain, 0


class _Work:
    """Hold a layer while it is changed; `room` is what each rank may still copy in all layers."""

    def __init__(
        self,
        layer: LayerMap,
        demand: Sequence[float],
        bounds: Bounds,
        paces: Sequence[float],
        room: list[int],
    ) -> None:
        self.bounds = bounds
        self._room = room
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

    def take_best(self) -> bool:
        """Take the change that relieves the most loaded rank best; return False if none does."""
        source = max(range(len(self.loads)), key=self.loads.__getitem__)
        ranks = sorted(range(len(self.loads)), key=self.loads.__getitem__)
        best: _Change | None = None
        for target in ranks[:_LIGHT_RANKS]:
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
            changes.append(self._rate(source, target, expert, None, False, None))
            changes.append(self._rate(source, target, expert, None, True, None))
        for other in self._held[target]:
            if len(self._holders[other]) > 1:
                changes.append(self._rate(source, target, expert, other, False, None))
            elif other not in self._held[source] and self._may_copy(source, other):
                changes.append(self._rate(source, target, expert, other, True, other))
        return changes

    def _may_copy(self, rank: int, expert: int) -> bool:
        if expert in self._origin[rank]:
            return True
        if not self._room[rank]:
            return False
        return len(self._held[rank] - self._origin[rank]) < self.bounds.spare

    def _rate(
        self,
        source: int,
        target: int,
        expert: int,
        dropped: int | None,
        leaves_source: bool,
        returns: int | None,
    ) -> _Change:
        """Rate a change by the sum of the changed ranks' loads to a power, lower being better."""
        changes: dict[int, float] = {}

        def add(rank: int, load: float) -> None:
            changes[rank] = changes.get(rank, 0.0) + load

        if leaves_source:
            share = self._share_of(expert)
            add(source, -share)
            add(target, share)
        else:
            share = self._share_of(expert, more=1)
            lost = self._share_of(expert) - share
            for rank in self._holders[expert]:
                add(rank, -lost)
            add(target, share)
        if returns is not None:
            share = self._share_of(returns)
            add(target, -share)
            add(source, share)
        elif dropped is not None:
            share = self._share_of(dropped)
            gained = self._share_of(dropped, more=-1) - share
            for rank in self._holders[dropped]:
                add(rank, gained)
            add(target, -share - gained)
        score = 0.0
        for rank, change in changes.items():
            load = self.loads[rank]
            score += (load + change * self._paces[rank]) ** _POWER - load**_POWER
        copies = (expert not in self._origin[target]) + (
            returns is not None and returns not in self._origin[source]
        )
        return _Change(
            score / max(1, copies),
            changes,
            target,
            expert,
            dropped,
            source,
            leaves_source,
            returns,
        )

    def _share_of(self, expert: int, *, more: int = 0) -> float:
        """Return the load that an expert is at each holder, with so many holders more."""
        return self._demand[expert] / (len(self._holders[expert]) + more)

    def _apply(self, change: _Change) -> None:
        self._place(change.expert, change.target)
        if change.dropped is not None:
            self._remove(change.dropped, change.target)
        if change.leaves_source:
            self._remove(change.expert, change.source)
        if change.returns is not None:
            self._place(change.returns, change.source)
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
            self._room[rank] -= change

    def give_back_room(self, kept: LayerMap) -> None:
        """Leave to other layers what ranks would have copied beyond the layer that is kept."""
        for rank, held in enumerate(kept):
            self._room[rank] += len(self._held[rank] - self._origin[rank])
            self._room[rank] -= len(set(held) - self._origin[rank])


def deal_in_turn(ranks: int, experts: int) -> LayerMap:
    """Return the layer that a group starts with: expert e stands at rank e modulo the ranks."""
    return tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
