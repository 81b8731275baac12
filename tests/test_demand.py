"""Check what a planner remembers of demand: chance evens out, and a turn is followed at once."""

from __future__ import annotations

from dalehollow.gateway.demand import MIN_COUNTS, DemandWindow
from dalehollow.groups.ranks import RankCounts

QUIET, EVEN, TURNED = [1, 1, 1, 1], [6, 5, 5, 4], [0, 1, 0, 19]


class _Counter:
    """Count on as a rank does; the map in force gives each of two ranks one half of the experts."""

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


def test_windows_of_one_time_are_added_up() -> None:
    counter = _Counter()
    for chosen in (QUIET, QUIET, EVEN, EVEN, QUIET):
        counter.add(chosen)
    # The first window may hold some of the time before it, so the second takes its place.
    assert counter.shares() == [0.3, 0.25, 0.25, 0.2]


def test_memory_fades() -> None:
    counter = _Counter(memory=0.5)
    for chosen in (EVEN, EVEN, EVEN, EVEN, QUIET):
        counter.add(chosen)
    assert counter.window.demand[0][0] == MIN_COUNTS * (1 + 0.5 * 9)


def test_a_turn_is_followed_at_once_and_its_mixed_window_is_not_kept() -> None:
    counter = _Counter()
    for _ in range(5):
        counter.add(EVEN)
    counter.add([2, 2, 2, 30])
    assert counter.shares() == [0.06, 0.06, 0.06, 0.83]
    counter.add(TURNED)
    assert counter.shares() == [0.0, 0.05, 0.0, 0.95]


def test_a_window_of_few_counts_says_nothing() -> None:
    counter = _Counter()
    counter.add(EVEN)
    assert counter.add(EVEN)
    assert not counter.add([1, 1, 1, 1], scale=MIN_COUNTS // 8)
