"""Hold which rank hosts which experts, and tell how evenly a demand falls on the ranks."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

LayerMap = tuple[tuple[int, ...], ...]
"""For each rank the experts in its slots, sorted; an expert may stand on several ranks."""


@dataclass(frozen=True)
class ExpertMap:
    """Hold the map of all layers."""

    layers: tuple[LayerMap, ...]

    @property
    def ranks(self) -> int:
        """Return the number of ranks."""
        return len(self.layers[0])


def count_replicas(layer: LayerMap) -> Counter[int]:
    """Count on how many ranks each expert stands."""
    return Counter(expert for experts in layer for expert in experts)


def rank_loads(
    layer: LayerMap, demand: Sequence[float], speeds: Sequence[float] | None = None
) -> list[float]:
    """Return each rank's work: its experts' tokens, shared among replicas, over its speed."""
    replicas = count_replicas(layer)
    loads = [sum(demand[e] / replicas[e] for e in experts) for experts in layer]
    if speeds is None:
        return loads
    return [load / speed for load, speed in zip(loads, speeds, strict=True)]


def layer_skew(loads: Sequence[float]) -> float:
    """Return how much longer the slowest rank takes than the mean: max over mean, minus one."""
    mean = sum(loads) / len(loads)
    return max(loads) / mean - 1 if mean > 0 else 0.0


def step_skew(
    expert_map: ExpertMap,
    demand: Sequence[Sequence[float]],
    speeds: Sequence[float] | None = None,
) -> float:
    """Return the skew of a whole step: ranks wait for each other in every layer."""
    longest = mean = 0.0
    for layer, layer_demand in zip(expert_map.layers, demand, strict=True):
        loads = rank_loads(layer, layer_demand, speeds)
        longest += max(loads)
        mean += sum(loads) / len(loads)
    return longest / mean - 1 if mean > 0 else 0.0


def count_moves(before: ExpertMap, after: ExpertMap) -> int:
    """Return how many expert weights a rank must load that it did not have."""
    return sum(
        len(set(new) - set(old))
        for old_layer, new_layer in zip(before.layers, after.layers, strict=True)
        for old, new in zip(old_layer, new_layer, strict=True)
    )


def match_ranks(before: LayerMap, after: LayerMap) -> LayerMap:
    """Give each set of experts to the rank that holds most of it already (greedy, even ranks)."""
    overlaps = sorted(
        (
            (-len(set(old) & set(new)), rank, idx)
            for rank, old in enumerate(before)
            for idx, new in enumerate(after)
        ),
    )
    matched: dict[int, int] = {}
    taken: set[int] = set()
    for _, rank, idx in overlaps:
        if rank not in matched and idx not in taken:
            matched[rank] = idx
            taken.add(idx)
    return tuple(after[matched[rank]] for rank in range(len(before)))


def make_layer(
    demand: Sequence[float],
    ranks: int,
    slots: int,
    speeds: Sequence[float] | None = None,
) -> LayerMap:
    """Place a layer from nothing: replicas for the hottest, then the hottest first.

    Each expert stands once before any stands twice; a rank never holds an expert twice.
    """
    if len(demand) > ranks * slots:
        raise ValueError(f"{len(demand)} experts do not fit {ranks} ranks of {slots} slots")
    replicas = _choose_replicas(demand, ranks, slots)
    return _place(demand, replicas, ranks, slots, speeds or [1.0] * ranks)


def _choose_replicas(demand: Sequence[float], ranks: int, slots: int) -> list[int]:
    replicas = [1] * len(demand)
    heap = [(-tokens, expert) for expert, tokens in enumerate(demand)]
    heapq.heapify(heap)
    spare = ranks * slots - len(demand)
    while spare and heap:
        _, expert = heapq.heappop(heap)
        if replicas[expert] == ranks:
            continue
        replicas[expert] += 1
        spare -= 1
        heapq.heappush(heap, (-demand[expert] / replicas[expert], expert))
    return replicas


def _place(
    demand: Sequence[float],
    replicas: Sequence[int],
    ranks: int,
    slots: int,
    speeds: Sequence[float],
) -> LayerMap:
    pieces = [
        (demand[expert] / count, expert)
        for expert, count in enumerate(replicas)
        for _ in range(count)
    ]
    pieces.sort(reverse=True)
    placed: list[set[int]] = [set() for _ in range(ranks)]
    loads = [0.0] * ranks
    for load, expert in pieces:
        rank = _find_rank(placed, loads, speeds, slots, expert)
        if rank is None:
            # Only ranks that hold it already have room: the replica is left out.
            continue
        placed[rank].add(expert)
        loads[rank] += load
    return tuple(tuple(sorted(experts)) for experts in placed)


def _find_rank(
    placed: Sequence[set[int]],
    loads: Sequence[float],
    speeds: Sequence[float],
    slots: int,
    expert: int,
) -> int | None:
    best = None
    for rank, experts in enumerate(placed):
        if len(experts) >= slots or expert in experts:
            continue
        if best is None or loads[rank] / speeds[rank] < loads[best] / speeds[best]:
            best = rank
    return best
