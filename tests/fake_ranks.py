"""Fake a rank group that checks in each pass that all ranks use the same map."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from dalehollow.groups.ranks import GroupMap, OrderReply, RankCounts, RankReport


@dataclass
class FakeRank:
    """Hold the state of one rank; `highest` is the highest version it has ever prepared."""

    version: int = 0
    prepared: int = 0
    highest: int = 0
    armed: tuple[int, int] | None = None
    held: int | None = None


class MapsDifferError(AssertionError):
    """Report a pass that started with two maps."""


@dataclass
class FakeGroup:
    """Hold the ranks and the orders that will be executed late.

    `choose_delivery` returns the outcome of each order: `delivered`, `lost` (never executed),
    `delayed` (no reply, executed at some later moment) or `reply_lost` (executed, no reply).
    """

    size: int
    choose_delivery: Callable[[str, int], str] = lambda name, rank: "delivered"
    step: int = 10
    epoch: int = 1
    ranks: list[FakeRank] = field(default_factory=list)
    delayed: list[tuple[str, int, tuple[int, ...]]] = field(default_factory=list)
    orders: list[tuple[str, int]] = field(default_factory=list)
    on_order: Callable[[str, int], None] | None = None

    def __post_init__(self) -> None:
        self.ranks = [FakeRank() for _ in range(self.size)]

    def run_pass(self) -> bool:
        """Start the next pass unless the group is held; raise if the maps differ in it."""
        next_step = self.step + 1
        if any(rank.held is not None and rank.held <= next_step for rank in self.ranks):
            return False
        self.step = next_step
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == next_step:
                rank.version, rank.armed = rank.armed[0], None
        if len({rank.version for rank in self.ranks}) > 1:
            raise MapsDifferError(f"step {next_step}: {[r.version for r in self.ranks]}")
        return True

    def execute_delayed(self, rng: random.Random) -> None:
        """Execute one of the delayed orders."""
        if self.delayed:
            name, rank, values = self.delayed.pop(rng.randrange(len(self.delayed)))
            self._execute(name, rank, values)

    def _deliver(self, name: str, rank: int, *values: int) -> OrderReply:
        self.orders.append((name, rank))
        if self.on_order is not None:
            self.on_order(name, rank)
        delivery = self.choose_delivery(name, rank)
        if delivery == "lost":
            return OrderReply.UNANSWERED
        if delivery == "delayed":
            self.delayed.append((name, rank, values))
            return OrderReply.UNANSWERED
        is_accepted = self._execute(name, rank, values)
        if delivery == "reply_lost":
            return OrderReply.UNANSWERED
        return OrderReply.ACCEPTED if is_accepted else OrderReply.REFUSED

    def _execute(self, name: str, rank: int, values: tuple[int, ...]) -> bool:
        state, (*rest, epoch) = self.ranks[rank], values
        if epoch != self.epoch:
            return False
        if name == "prepare":
            (version,) = rest
            if version == state.prepared:
                return True
            if version <= state.highest or state.armed is not None:
                return False
            state.prepared = state.highest = version
            return True
        if name == "arm":
            version, step = rest
            if state.armed == (version, step):
                return True
            if state.prepared != version or self.step >= step or state.armed is not None:
                return False
            state.armed = (version, step)
            return True
        if name == "disarm":
            (version,) = rest
            if state.version == version:
                return False
            if state.armed is not None and state.armed[0] == version:
                state.armed = None
            return True
        (step,) = rest
        if name == "hold":
            if self.step >= step or state.held not in (None, step):
                return False
            state.held = step
            return True
        if state.held == step:
            state.held = None
        return True

    async def prepare(self, rank: int, version: int, group_map: GroupMap, epoch: int) -> OrderReply:
        return self._deliver("prepare", rank, version, epoch)

    async def arm(self, rank: int, version: int, step: int, epoch: int) -> OrderReply:
        return self._deliver("arm", rank, version, step, epoch)

    async def disarm(self, rank: int, version: int, epoch: int) -> OrderReply:
        return self._deliver("disarm", rank, version, epoch)

    async def hold(self, rank: int, step: int, epoch: int) -> OrderReply:
        return self._deliver("hold", rank, step, epoch)

    async def release(self, rank: int, step: int, epoch: int) -> OrderReply:
        return self._deliver("release", rank, step, epoch)

    async def read_report(self, rank: int) -> RankReport | None:
        state = self.ranks[rank]
        return RankReport(
            epoch=self.epoch,
            step=self.step,
            is_open=True,
            map_version=state.version,
            prepared_version=state.prepared,
            armed_version=state.armed[0] if state.armed else 0,
            armed_step=state.armed[1] if state.armed else 0,
            held_step=state.held or 0,
        )

    async def read_counts(self, rank: int) -> RankCounts | None:
        return RankCounts(self.epoch, self.step, ())

    async def read_layers(self, rank: int) -> tuple[tuple[int, ...], ...] | None:
        return None
