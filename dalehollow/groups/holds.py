"""Allot the holds of a rank group so that no two are ever placed at the same rank and step.

A release names only a rank and a step, and one without a reply may be executed much later. It would
end any hold that is placed there meanwhile, by whichever planner. Each planner therefore records
the steps that it may hold at a rank before it sends the first of those holds; the record outlives
the planner.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field

RESERVED_STEPS = 100
"""Steps reserved at a rank at a time: some seconds of passes, so that not every switch must write
the record."""
RESERVED_RANKS = 2
"""Ranks reserved ahead of a switch: the first hold may get no reply."""


@dataclass(frozen=True)
class HoldRecord:
    """Record for each rank the last step reserved in an epoch; a rank not listed has none."""

    epoch: int = 0
    last_steps: Mapping[int, int] = field(default_factory=dict)


HoldRecordChange = Callable[[HoldRecord], HoldRecord | None]
"""Return the changed record, or None if there is nothing to change."""
UpdateHolds = Callable[[HoldRecordChange], Awaitable[bool]]
"""Change the stored record if the duty is still held; return whether that is confirmed."""


@dataclass(frozen=True)
class _Reservation:
    """Hold the steps at one rank that this planner may still use."""

    next_step: int
    last_step: int


class HoldLedger:
    """Allot the holds of one planner in one epoch of its group."""

    def __init__(self, epoch: int, update: UpdateHolds) -> None:
        """Create a ledger without reservations."""
        self.epoch = epoch
        self._update = update
        self._reserved: dict[int, _Reservation] = {}

    async def reserve(self, ranks: Sequence[int], step: int) -> None:
        """Reserve holds from `step` on at some of the ranks, unless there are enough."""
        missing = RESERVED_RANKS - sum(step <= r.last_step for r in self._reserved.values())
        if missing > 0:
            await self._reserve(ranks, step, missing)

    async def find_step(self, ranks: Sequence[int], earliest: int) -> int | None:
        """Return the first step from `earliest` on at which one of the ranks may be held.

        None if no reservation could be confirmed.
        """
        await self.reserve(ranks, earliest)
        steps = [
            max(earliest, r.next_step) for r in self._reserved.values() if earliest <= r.last_step
        ]
        return min(steps, default=None)

    async def take(self, ranks: Sequence[int], step: int) -> int | None:
        """Return a rank that may be held at `step`, each at most once; None if there is none."""
        rank = self._take_reserved(ranks, step)
        if rank is None and await self._reserve(ranks, step, 1, latest=step):
            rank = self._take_reserved(ranks, step)
        return rank

    def _take_reserved(self, ranks: Sequence[int], step: int) -> int | None:
        for rank in ranks:
            reserved = self._reserved.get(rank)
            if reserved is not None and reserved.next_step <= step <= reserved.last_step:
                self._reserved[rank] = _Reservation(step + 1, reserved.last_step)
                return rank
        return None

    async def _reserve(
        self, ranks: Sequence[int], step: int, count: int, latest: int | None = None
    ) -> bool:
        """Reserve at up to `count` ranks, those with the earliest free step first.

        With `latest`, only ranks that are free at that step or before it.
        """
        reserved: dict[int, _Reservation] = {}

        def add(record: HoldRecord) -> HoldRecord | None:
            reserved.clear()
            used = dict(record.last_steps) if record.epoch == self.epoch else {}
            first_steps = {rank: max(step, used.get(rank, 0) + 1) for rank in ranks}
            free = [r for r in ranks if latest is None or first_steps[r] <= latest]
            for rank in sorted(free, key=first_steps.__getitem__)[:count]:
                used[rank] = first_steps[rank] + RESERVED_STEPS
                reserved[rank] = _Reservation(first_steps[rank], used[rank])
            return HoldRecord(self.epoch, used) if reserved else None

        if not await self._update(add):
            return False
        self._reserved |= reserved
        return True
