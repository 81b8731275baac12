"""Define the interface to the ranks of a group, independent of the transport."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from dalehollow.groups.expert_map import LayerMap

GroupMap = tuple[LayerMap, ...]
"""The experts of each layer and rank."""


class OrderReply(enum.StrEnum):
    """Name the reply to an order; an unanswered order may still be executed, even much later."""

    ACCEPTED = "taken"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclass(frozen=True)
class RankReport:
    """Report the state of a rank; versions and steps are 0 where there is none."""

    epoch: int
    step: int
    is_open: bool
    map_version: int = 0
    prepared_version: int = 0
    armed_version: int = 0
    armed_step: int = 0
    held_step: int = 0
    # Step time as a multiple of the usual one.
    pace: float = 1.0


@dataclass(frozen=True)
class StoredPlan:
    """Store the part of the last plan that planners and gateways need.

    `demand` is in thousandths of a layer's total. `slow_ranks` get no requests while other ranks
    have capacity.
    """

    demand: tuple[tuple[int, ...], ...]
    slow_ranks: tuple[int, ...] = ()


@dataclass(frozen=True)
class RankCounts:
    """Count the choices of each expert by a rank's requests since its start, per layer."""

    epoch: int
    step: int
    counts: tuple[tuple[int, ...], ...]


class RankPort(Protocol):
    """Send orders to ranks and read their state; an order of another epoch is refused."""

    async def prepare(self, rank: int, version: int, group_map: GroupMap, epoch: int) -> OrderReply:
        """Copy the weights that a map needs, in addition to those in use."""

    async def arm(self, rank: int, version: int, step: int, epoch: int) -> OrderReply:
        """Activate a prepared map when a step starts; refused once it has started."""

    async def disarm(self, rank: int, version: int, epoch: int) -> OrderReply:
        """Cancel an arm; refused if the map is already active."""

    async def hold(self, rank: int, step: int, epoch: int) -> OrderReply:
        """Keep the whole group from starting a step; refused once it has started."""

    async def release(self, rank: int, step: int, epoch: int) -> OrderReply:
        """Release a hold."""

    async def read_report(self, rank: int) -> RankReport | None:
        """Read a rank's report, or return None if it does not answer."""

    async def read_counts(self, rank: int) -> RankCounts | None:
        """Read a rank's counts, or return None if it does not answer."""

    async def read_layers(self, rank: int) -> tuple[tuple[int, ...], ...] | None:
        """Read a rank's experts per layer, or return None if it does not answer."""
