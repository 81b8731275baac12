"""Learn which experts are in demand from the counts of a few ranks."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from dalehollow.groups.ranks import RankCounts

MIN_COUNTS = 400
"""Counts of one layer below which a window says nothing: a few requests' worth."""
TURNED = 1.4
"""The map in force is so many times longer under a window than under what was remembered when
demand has turned: windows of one time differ by up to 1.35, a turn makes it 1.5 to 2.5."""
KEPT_SCALE = 1_000
"""A kept demand is scaled to whole thousandths of a layer's total: finer than any plan needs."""

Demand = tuple[tuple[int, ...], ...]


@dataclass
class DemandWindow:
    """Hold the demand seen at the sampled ranks since it last turned, the newest counting most.

    A window holds few prompts, so a map planned from one alone follows their chance: remembered
    windows even that out, until a window shows that demand has turned.
    """

    memory: float
    demand: list[list[float]] = field(default_factory=list)
    _may_be_mixed: bool = False
    _last: dict[int, RankCounts] = field(default_factory=dict)

    def begin(self, read: Mapping[int, RankCounts]) -> None:
        """Begin a window and forget what was counted before."""
        self._last.update(read)

    def add(
        self,
        read: Mapping[int, RankCounts],
        rate_longest: Callable[[list[list[float]]], float],
    ) -> bool:
        """Add what was chosen since the last reading; return whether it says something.

        `rate_longest` tells how long the longest rank of the map in force is under a demand.
        """
        window: list[list[float]] = []
        for rank, counts in read.items():
            last = self._last.get(rank)
            self._last[rank] = counts
            if last is None or last.epoch != counts.epoch or last.step > counts.step:
                continue
            change: list[list[float]] = [
                [now - before for now, before in zip(a, b, strict=True)]
                for a, b in zip(counts.counts, last.counts, strict=True)
            ]
            window = _add_layers(window, change, 1.0) if window else change
        if not window or sum(window[0]) < MIN_COUNTS:
            return False
        has_turned = not self.demand or rate_longest(window) > TURNED * rate_longest(self.demand)
        if has_turned or self._may_be_mixed:
            self.demand = window
        else:
            self.demand = _add_layers(window, self.demand, self.memory)
        # A window in which demand turned holds some of both times: the next one replaces it.
        self._may_be_mixed = has_turned
        return True


def _add_layers(
    first: list[list[float]], second: list[list[float]], weight: float
) -> list[list[float]]:
    return [
        [a + weight * b for a, b in zip(x, y, strict=True)]
        for x, y in zip(first, second, strict=True)
    ]


def scale_demand(demand: list[list[float]]) -> Demand:
    """Return a demand as it is kept for planners to come."""
    totals = [sum(layer) or 1.0 for layer in demand]
    return tuple(
        tuple(round(value * KEPT_SCALE / total) for value in layer)
        for layer, total in zip(demand, totals, strict=True)
    )
