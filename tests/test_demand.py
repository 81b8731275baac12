"""Check that the demand estimate averages out noise and follows a shift of demand at once."""

from __future__ import annotations

from dalehollow.gateway.demand import MIN_COUNTS, DemandWindow
from dalehollow.groups.ranks import RankCounts

UNIFORM, BALANCED, SHIFTED = [1, 1, 1, 1], [6, 5, 5, 4], [0, 1, 0, 19]


class _Counter:
    """Counters of a rank; the active map assigns each of two ranks one half of the experts."""

    def __init__(self, memory: float = 1.0) -> None:
        self.window = DemandWindow(memory)
        self.counts = [0, 0, 0, 0]
        self.step = 0

    def add(self, chosen: list[int], scale: int = MIN_COUNTS) -> bool:
        self.counts = [a + scale * b for a, b in zip(self.counts, chosen, strict=True)]
        self.step += 1
        read = {0: RankCounts(1, self.step, (tuple(self.counts),))}
        return self.window.add(read, self._rate_longest)

    @staticmethod
    def _rate_longest(demand: list[list[float]]) -> float:
        (layer,) = demand
        return max(sum(layer[:2]), sum(layer[2:])) / sum(layer) * 2

    def shares(self) -> list[float]:
        (layer,) = self.window.demand
        return [round(value / sum(layer), 2) for value in layer]


def test_windows_of_unchanged_demand_are_added_up() -> None:
    counter = _Counter()
    for chosen in (UNIFORM, UNIFORM, BALANCED, BALANCED, UNIFORM):
        counter.add(chosen)
    # The first window may include counts from before a shift, so the second one replaces it.
    assert counter.shares() == [0.3, 0.25, 0.25, 0.2]


def test_older_windows_weigh_less() -> None:
    counter = _Counter(memory=0.5)
    for chosen in (BALANCED, BALANCED, BALANCED, BALANCED, UNIFORM):
        counter.add(chosen)
    assert counter.window.demand[0][0] == MIN_COUNTS * (1 + 0.5 * 9)


def test_shift_is_followed_at_once_and_mixed_window_is_replaced() -> None:
    counter = _Counter()
    for _ in range(5):
        counter.add(BALANCED)
    counter.add([2, 2, 2, 30])
    assert counter.shares() == [0.06, 0.06, 0.06, 0.83]
    counter.add(SHIFTED)
    assert counter.shares() == [0.0, 0.05, 0.0, 0.95]


def test_window_with_few_counts_is_not_significant() -> None:
    counter = _Counter()
    counter.add(BALANCED)
    assert counter.add(BALANCED)
    assert not counter.add([1, 1, 1, 1], scale=MIN_COUNTS // 8)
