"""Name what the system needs of the ranks of a group, whatever speaks to them."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from dalehollow.groups.expert_map import LayerMap

GroupMap = tuple[LayerMap, ...]
"""For each layer and rank, the experts that stand there."""


class OrderReply(enum.StrEnum):
    """Name what came of an order; an unanswered one may still be carried out, even much later."""

    TAKEN = "taken"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclass(frozen=True)
class RankReport:
    """Hold what a rank tells of itself; versions and steps are 0 where there is none."""

    epoch: int
    step: int
    is_open: bool
    map_version: int = 0
    prepared_version: int = 0
    armed_version: int = 0
    armed_step: int = 0
    held_step: int = 0
    # How many times longer than usual the rank takes.
    pace: float = 1.0


@dataclass(frozen=True)
class KeptPlan:
    """Hold what planners and gateways need of the last plan.

    `demand` is in thousandths of a layer's total; `slow_ranks` get no requests while others can.
    """

    demand: tuple[tuple[int, ...], ...]
    slow_ranks: tuple[int, ...] = ()


@dataclass(frozen=True)
class RankCounts:
    """Hold how often a rank's requests chose each expert since its start, layer by layer."""

    epoch: int
    step: int
    counts: tuple[tuple[int, ...], ...]


class RankPort(Protocol):
    """Give orders to ranks and read them; an order of another epoch is refused."""

    async def prepare(self, rank: int, version: int, group_map: GroupMap, epoch: int) -> OrderReply:
        """Copy the weights that a map needs, beside those in use."""

    async def arm(self, rank: int, version: int, step: int, epoch: int) -> OrderReply:
        """Take a prepared map as a step begins; refused once it has begun."""

    async def disarm(self, rank: int, version: int, epoch: int) -> OrderReply:
        """Take back an arm; refused where the map is in use."""

    async def hold(self, rank: int, step: int, epoch: int) -> OrderReply:
        """Keep the whole group from beginning a step; refused once it has begun."""

    async def release(self, rank: int, step: int, epoch: int) -> OrderReply:
        """End a hold."""

    async def read_report(self, rank: int) -> RankReport | None:
        """Read a rank's report, or None if it did not answer."""

    async def read_counts(self, rank: int) -> RankCounts | None:
        """Read a rank's counts, or None if it did not answer."""

    async def read_layers(self, rank: int) -> tuple[tuple[int, ...], ...] | None:
        """Read the experts that stand at a rank, layer by layer, or None if it did not answer."""
