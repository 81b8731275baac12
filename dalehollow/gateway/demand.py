"""Estimate the demand for experts from the counters of sampled ranks."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from dalehollow.groups.ranks import RankCounts

MIN_COUNTS = 400
"""Minimum counts per layer for a window to be significant: those of a few requests."""
SHIFT_RATIO = 1.4
"""Demand has shifted if the longest rank under a window exceeds that under the remembered demand by
this factor: windows of unchanged demand differ by up to 1.35, a shift gives 1.5 to 2.5."""
STORED_SCALE = 1_000
"""A stored demand is rounded to thousandths of a layer's total: finer than any plan needs."""

Demand = tuple[tuple[int, ...], ...]


@dataclass
class DemandWindow:
    """Weighted demand at the sampled ranks since it last shifted, newest windows weighing most.

    A window covers few prompts, so a map planned from one alone would fit their noise. Earlier
    windows average it out, until a window shows that demand has shifted.
    """

    memory: float
    demand: list[list[float]] = field(default_factory=list)
    _may_be_mixed: bool = False
    _last: dict[int, RankCounts] = field(default_factory=dict)

    def begin(self, read: Mapping[int, RankCounts]) -> None:
        """Start a window; counts before it are not used."""
        self._last.update(read)

    def add(
        self,
        read: Mapping[int, RankCounts],
        rate_longest: Callable[[list[list[float]]], float],
    ) -> bool:
        """Add the counts since the last read; return whether they are significant.

        `rate_longest` returns the relative load of the longest rank of the active map under a
        demand.
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
        has_shifted = not self.demand or rate_longest(window) > SHIFT_RATIO * rate_longest(
            self.demand
        )
        if has_shifted or self._may_be_mixed:
            self.demand = window
        else:
            self.demand = _add_layers(window, self.demand, self.memory)
        # A window in which demand shifted mixes old and new demand: the next one replaces it.
        self._may_be_mixed = has_shifted
        return True


def _add_layers(
    first: list[list[float]], second: list[list[float]], weight: float
) -> list[list[float]]:
    return [
        [a + weight * b for a, b in zip(x, y, strict=True)]
        for x, y in zip(first, second, strict=True)
    ]


def scale_demand(demand: list[list[float]]) -> Demand:
    """Return a demand as integers, as stored for later planners."""
    totals = [sum(layer) or 1.0 for layer in demand]
    return tuple(
        tuple(round(value * STORED_SCALE / total) for value in layer)
        for layer, total in zip(demand, totals, strict=True)
    )
