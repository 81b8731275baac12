"""Describe the placement of experts on ranks, and compute how evenly it balances a demand."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

LayerMap = tuple[tuple[int, ...], ...]
"""The sorted experts of each rank; an expert may have replicas on several ranks."""


@dataclass(frozen=True)
class ExpertMap:
    """Hold the placement of all layers."""

    layers: tuple[LayerMap, ...]

    @property
    def ranks(self) -> int:
        """Return the number of ranks."""
        return len(self.layers[0])


def count_replicas(layer: LayerMap) -> Counter[int]:
    """Count the ranks that host each expert."""
    return Counter(expert for experts in layer for expert in experts)


def rank_loads(
    layer: LayerMap, demand: Sequence[float], speeds: Sequence[float] | None = None
) -> list[float]:
    """Return each rank's load: its share of its experts' tokens, divided by its speed."""
    replicas = count_replicas(layer)
    loads = [sum(demand[e] / replicas[e] for e in experts) for experts in layer]
    if speeds is None:
        return loads
    return [load / speed for load, speed in zip(loads, speeds, strict=True)]


def layer_skew(loads: Sequence[float]) -> float:
    """Return the skew of a layer: the maximum load over the mean, minus one."""
    mean = sum(loads) / len(loads)
    return max(loads) / mean - 1 if mean > 0 else 0.0


def step_skew(
    expert_map: ExpertMap,
    demand: Sequence[Sequence[float]],
    speeds: Sequence[float] | None = None,
) -> float:
    """Return the skew of a whole step, in which ranks synchronize after every layer."""
    longest = mean = 0.0
    for layer, layer_demand in zip(expert_map.layers, demand, strict=True):
        loads = rank_loads(layer, layer_demand, speeds)
        longest += max(loads)
        mean += sum(loads) / len(loads)
    return longest / mean - 1 if mean > 0 else 0.0


def count_moves(before: ExpertMap, after: ExpertMap) -> int:
    """Return the number of expert weights that ranks must load for a map change."""
    return sum(
        len(set(new) - set(old))
        for old_layer, new_layer in zip(before.layers, after.layers, strict=True)
        for old, new in zip(old_layer, new_layer, strict=True)
    )


def match_ranks(before: LayerMap, after: LayerMap) -> LayerMap:
    """Assign each expert set to the rank that already hosts most of it.

    The assignment is greedy and assumes ranks of equal speed.
    """
    overlaps = sorted(
        (
            (-len(set(old) & set(new)), rank, idx)
            for rank, old in enumerate(before)
            for idx, new in enumerate(after)
        ),
    )
    matched: dict[int, int] = {}
    assigned: set[int] = set()
    for _, rank, idx in overlaps:
        if rank not in matched and idx not in assigned:
            matched[rank] = idx
            assigned.add(idx)
    return tuple(after[matched[rank]] for rank in range(len(before)))


def make_layer(
    demand: Sequence[float],
    ranks: int,
    slots: int,
    speeds: Sequence[float] | None = None,
) -> LayerMap:
    """Build a layer from scratch: replicate the hottest experts, then place by decreasing load.

    Every expert is placed once before any is replicated, and never twice on the same rank.
    """
    if len(demand) > ranks * slots:
        raise ValueError(f"{len(demand)} experts do not fit {ranks} ranks of {slots} slots")
    replicas = _choose_replicas(demand, ranks, slots)
    return _place(demand, replicas, ranks, slots, speeds or [1.0] * ranks)


def _choose_replicas(demand: Sequence[float], ranks: int, slots: int) -> list[int]:
    replicas = [1] * len(demand)
    heap = [(-tokens, expert) for expert, tokens in enumerate(demand)]
    heapq.heapify(heap)
    free_slots = ranks * slots - len(demand)
    while free_slots and heap:
        _, expert = heapq.heappop(heap)
        if replicas[expert] == ranks:
            continue
        replicas[expert] += 1
        free_slots -= 1
        heapq.heappush(heap, (-demand[expert] / replicas[expert], expert))
    return replicas


def _place(
    demand: Sequence[float],
    replicas: Sequence[int],
    ranks: int,
    slots: int,
    speeds: Sequence[float],
) -> LayerMap:
    replica_loads = [
        (demand[expert] / count, expert)
        for expert, count in enumerate(replicas)
        for _ in range(count)
    ]
    replica_loads.sort(reverse=True)
    placed: list[set[int]] = [set() for _ in range(ranks)]
    loads = [0.0] * ranks
    for load, expert in replica_loads:
        rank = _find_least_loaded(placed, loads, speeds, slots, expert)
        if rank is None:
            # Only ranks that already host the expert have a free slot: omit the replica.
            continue
        placed[rank].add(expert)
        loads[rank] += load
    return tuple(tuple(sorted(experts)) for experts in placed)


def _find_least_loaded(
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
