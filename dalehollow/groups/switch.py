"""Switch a group to a prepared map: at every rank as the same step begins, or at none.

The group is held before the step while ranks are armed, so no pass can begin with some of them
armed and some not. The hold is placed several passes ahead and ends as soon as all have
answered, so that in the ordinary course nothing waits. An order that got no answer may be
carried out much later, also one that was repeated and taken; such an arm is harmless once its
step has begun or once a newer version is prepared there, and that is made sure of at every rank
before a hold ends without a switch.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from dalehollow.groups.ranks import GroupMap, OrderReply, RankPort, RankReport

ORDER_TRIES = 6
"""An order is repeated so often: with every third answer lost, one in 700 stays without."""
RETRY_PAUSE_S = 0.05
"""Pause before an order is repeated: a rank that is still copying is asked again after it."""


REFUSALS_MEAN_BEGUN = 2


class SwitchOutcome(enum.StrEnum):
    """Name what a switch came to; after UNRESOLVED the group is still held."""

    SWITCHED = "switched"
    TOO_LATE = "too_late"
    ABANDONED = "abandoned"
    UNRESOLVED = "unresolved"


@dataclass(frozen=True)
class Proposal:
    """Hold a map to switch to, and the step at which; `current` is the map in force."""

    version: int
    step: int
    epoch: int
    current: GroupMap


async def _repeat(order: Callable[[], Awaitable[OrderReply]], *, past_refusals: bool) -> OrderReply:
    """Give an order until it is answered; where wanted, also past refusals."""
    reply = OrderReply.UNANSWERED
    for _ in range(ORDER_TRIES):
        reply = await order()
        is_final = reply is OrderReply.REFUSED and not past_refusals
        if reply is OrderReply.TAKEN or is_final:
            return reply
        if reply is OrderReply.REFUSED:
            await asyncio.sleep(RETRY_PAUSE_S)
    return reply


async def switch_map(port: RankPort, ranks: Sequence[int], proposal: Proposal) -> SwitchOutcome:
    """Switch all ranks to a map that they have been told to prepare.

    Nothing here asks whether the duty is still held: a planner whose time is over in the middle
    can do no harm, since its successor holds the group by itself (`settle_switch`).
    """
    holders, is_held, is_begun = await _hold(port, ranks, proposal)
    if not is_held:
        await _release(port, holders, proposal)
        return SwitchOutcome.TOO_LATE if is_begun else SwitchOutcome.ABANDONED
    replies = await asyncio.gather(*(_arm(port, rank, proposal) for rank in ranks))
    outcome = SwitchOutcome.SWITCHED
    if any(reply is not OrderReply.TAKEN for reply in replies):
        if not await _take_back(port, ranks, proposal):
            return SwitchOutcome.UNRESOLVED
        outcome = SwitchOutcome.ABANDONED
    if not await _release(port, holders, proposal):
        return SwitchOutcome.UNRESOLVED
    return outcome


async def settle_switch(
    port: RankPort, reports: dict[int, RankReport], current: GroupMap, next_version: int
) -> bool:
    """Take back what another planner left behind; return whether nothing is left open.

    That planner may only be paused and may go on at any moment. So the group is first held at a
    rank of its own choice, which the other's release does not end; then no arm is left anywhere
    and none can be given any more.
    """
    armed = [r for r in reports.values() if r.armed_version]
    holders = [rank for rank, r in reports.items() if r.held_step]
    if not armed and not holders:
        return True
    epoch = max(r.epoch for r in reports.values())
    step = max([r.armed_step for r in armed] + [reports[rank].held_step for rank in holders])
    version = max((r.armed_version for r in armed), default=next_version - 1)
    proposal = Proposal(version, step, epoch, current)
    # The other planner holds at the first rank that takes its order: begin from the last.
    free = [rank for rank in sorted(reports, reverse=True) if rank not in holders]
    own_holders, is_held, is_begun = await _hold(port, free, proposal)
    if not is_held and not is_begun:
        return False
    if is_held and not await _take_back(port, sorted(reports), proposal, next_version):
        return False
    return await _release(port, [*own_holders, *holders], proposal)


async def _hold(
    port: RankPort, ranks: Sequence[int], proposal: Proposal
) -> tuple[list[int], bool, bool]:
    """Hold the group at some rank; return the ranks that may hold it, and how it went."""
    holders: list[int] = []
    refused = 0
    for rank in ranks:
        reply = await port.hold(rank, proposal.step, proposal.epoch)
        if reply is OrderReply.REFUSED:
            # The step has begun, unless this one rank is held for another planner.
            refused += 1
            if refused == REFUSALS_MEAN_BEGUN:
                return holders, False, True
            continue
        holders.append(rank)
        if reply is OrderReply.TAKEN:
            return holders, True, False
    return holders, False, False


async def _arm(port: RankPort, rank: int, proposal: Proposal) -> OrderReply:
    return await _repeat(
        lambda: port.arm(rank, proposal.version, proposal.step, proposal.epoch),
        past_refusals=True,
    )


async def _take_back(
    port: RankPort, ranks: Sequence[int], proposal: Proposal, next_version: int = 0
) -> bool:
    """Disarm all ranks and make late arms harmless; return whether all is sure."""
    newer = max(next_version, proposal.version + 1)
    sure = await asyncio.gather(*(_take_back_at(port, rank, proposal, newer) for rank in ranks))
    return all(sure)


async def _take_back_at(port: RankPort, rank: int, proposal: Proposal, newer: int) -> bool:
    """Disarm a rank until it has prepared a newer version, after which no arm can be carried out.

    An arm that was repeated may be carried out once more between the two orders.
    """
    for _ in range(ORDER_TRIES):
        await _repeat(
            lambda: port.disarm(rank, proposal.version, proposal.epoch), past_refusals=False
        )
        reply = await _repeat(
            lambda: port.prepare(rank, newer, proposal.current, proposal.epoch),
            past_refusals=False,
        )
        if reply is OrderReply.TAKEN:
            return True
    return False


async def _release(port: RankPort, holders: Sequence[int], proposal: Proposal) -> bool:
    """End the holds; a release that is refused finds none, or another epoch."""
    replies = await asyncio.gather(
        *(
            _repeat(
                lambda rank=rank: port.release(rank, proposal.step, proposal.epoch),  # type: ignore[misc]
                past_refusals=False,
            )
            for rank in holders
        )
    )
    return all(reply is not OrderReply.UNANSWERED for reply in replies)
