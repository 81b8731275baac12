"""Switch a group to a prepared map atomically: all ranks at the start of one step, or none.

The group is held before the step while the ranks are armed, so that no pass can start with only
some of them armed. The hold is placed several passes ahead and is released as soon as all ranks
have replied, so that without faults no pass waits for it. An order without a reply may be executed
much later, even if a repetition of it was accepted in the meantime. A late arm has no effect once
its step has started or a newer version is prepared on the rank. Before a hold is released without
a switch, one of the two is ensured on every rank. A late release has no effect because no hold is
ever placed again at the same rank and step (`groups/holds.py`).
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass

from dalehollow.groups.holds import HoldLedger
from dalehollow.groups.ranks import GroupMap, OrderReply, RankPort, RankReport

ORDER_ATTEMPTS = 6
"""Attempts per order: if a third of the replies is lost, about 1 in 700 orders gets none."""
RETRY_PAUSE_S = 0.05
"""Pause after a refusal, which a rank also gives while it is still copying weights."""
HOLD_ATTEMPTS = 6
"""Ranks tried for a hold."""


class SwitchOutcome(enum.StrEnum):
    """Name the result of a switch; after UNRESOLVED the group may still be held."""

    SWITCHED = "switched"
    TOO_LATE = "too_late"
    ABANDONED = "abandoned"
    UNRESOLVED = "unresolved"


@dataclass(frozen=True)
class Proposal:
    """Propose to switch to a map version at the start of `step`.

    `current` is the active map. It is prepared again as `newer_version`, which no other map gets,
    if the switch is abandoned.
    """

    version: int
    newer_version: int
    step: int
    epoch: int
    current: GroupMap


async def _send_order(
    order: Callable[[], Awaitable[OrderReply]], *, retry_refusals: bool
) -> OrderReply:
    """Send an order up to ORDER_ATTEMPTS times.

    Stops when it is accepted or, without `retry_refusals`, when it is refused.
    """
    reply = OrderReply.UNANSWERED
    for _ in range(ORDER_ATTEMPTS):
        reply = await order()
        is_final = reply is OrderReply.REFUSED and not retry_refusals
        if reply is OrderReply.ACCEPTED or is_final:
            return reply
        if reply is OrderReply.REFUSED:
            await asyncio.sleep(RETRY_PAUSE_S)
    return reply


async def switch_map(
    port: RankPort, ranks: Sequence[int], proposal: Proposal, holds: HoldLedger
) -> SwitchOutcome:
    """Switch all ranks to a map that they have been ordered to prepare.

    The planner lease is not checked here: a planner that loses it midway does no harm, because its
    successor places a hold of its own on the group (`abort_unfinished_switch`).
    """
    holders, is_held, has_started = await _hold(port, ranks, proposal, holds)
    if not is_held:
        await _release(port, holders, proposal.epoch)
        return SwitchOutcome.TOO_LATE if has_started else SwitchOutcome.ABANDONED
    replies = await asyncio.gather(*(_arm(port, rank, proposal) for rank in ranks))
    outcome = SwitchOutcome.SWITCHED
    if any(reply is not OrderReply.ACCEPTED for reply in replies):
        if not await _disarm_all(port, ranks, proposal):
            return SwitchOutcome.UNRESOLVED
        outcome = SwitchOutcome.ABANDONED
    if not await _release(port, holders, proposal.epoch):
        return SwitchOutcome.UNRESOLVED
    return outcome


async def complete_switch(
    port: RankPort, reports: Mapping[int, RankReport], proposal: Proposal
) -> bool:
    """Release the holds that delay a switch whose arm all ranks accepted; return whether they are.

    Ranks without a report are armed as well, since only the planner itself would disarm them.
    """
    return await _release(port, _find_holds(reports), proposal.epoch)


async def abort_unfinished_switch(
    port: RankPort,
    reports: Mapping[int, RankReport],
    current: GroupMap,
    next_version: int,
    holds: HoldLedger,
) -> bool:
    """Abort another planner's unfinished switch; return whether nothing of it remains.

    The other planner may only be paused and may resume at any moment. The group is therefore first
    held on a rank that the other planner does not hold, so that its release does not end this hold.
    Then all ranks are disarmed and prepared with a newer version, so that none can be armed again.
    That includes ranks without a report: a hold is released only after every rank has confirmed.
    """
    ranks = range(len(current[0]))
    armed = [r for r in reports.values() if r.armed_version]
    holders = _find_holds(reports)
    if not armed and not holders:
        return len(reports) == len(ranks)
    epoch = max(r.epoch for r in reports.values())
    step = max([r.armed_step for r in armed] + [hold.step for hold in holders])
    version = max((r.armed_version for r in armed), default=next_version - 1)
    proposal = Proposal(version, next_version, step, epoch, current)
    held_ranks = {hold.rank for hold in holders}
    # The other planner places its hold on the first rank that accepts it, so start from the last.
    free = [rank for rank in sorted(reports, reverse=True) if rank not in held_ranks]
    own_holders, is_held, has_started = await _hold(port, free, proposal, holds)
    if not is_held and not has_started:
        return False
    if is_held and not await _disarm_all(port, ranks, proposal):
        return False
    return await _release(port, [*own_holders, *holders], epoch)


@dataclass(frozen=True)
class _Hold:
    """Name a hold that a rank has, or may have."""

    rank: int
    step: int


def _find_holds(reports: Mapping[int, RankReport]) -> list[_Hold]:
    return [_Hold(rank, r.held_step) for rank, r in reports.items() if r.held_step]


async def _hold(
    port: RankPort, ranks: Sequence[int], proposal: Proposal, holds: HoldLedger
) -> tuple[list[_Hold], bool, bool]:
    """Place a hold on one rank.

    Returns the holds that may exist, whether the group is held, and whether the step has started.
    """
    holders: list[_Hold] = []
    for _ in range(HOLD_ATTEMPTS):
        rank = await holds.take(ranks, proposal.step)
        if rank is None:
            break
        reply = await port.hold(rank, proposal.step, proposal.epoch)
        if reply is OrderReply.REFUSED:
            if await _has_started(port, rank, proposal):
                return holders, False, True
            continue
        holders.append(_Hold(rank, proposal.step))
        if reply is OrderReply.ACCEPTED:
            return holders, True, False
    return holders, False, False


async def _has_started(port: RankPort, rank: int, proposal: Proposal) -> bool:
    """Return whether a rank that refused a hold has started the step, or is in another epoch.

    It also refuses if it has another hold. Counts are read because reports are too old.
    """
    counts = await port.read_counts(rank)
    return counts is not None and (counts.epoch != proposal.epoch or counts.step >= proposal.step)


async def _arm(port: RankPort, rank: int, proposal: Proposal) -> OrderReply:
    return await _send_order(
        lambda: port.arm(rank, proposal.version, proposal.step, proposal.epoch),
        retry_refusals=True,
    )


async def _disarm_all(port: RankPort, ranks: Sequence[int], proposal: Proposal) -> bool:
    """Disarm all ranks and invalidate late arms; return whether all ranks confirmed it."""
    confirmed = await asyncio.gather(*(_disarm_rank(port, rank, proposal) for rank in ranks))
    return all(confirmed)


async def _disarm_rank(port: RankPort, rank: int, proposal: Proposal) -> bool:
    """Disarm a rank until it has prepared a newer version, which rules out late arms.

    The two orders are repeated together, because a repeated arm may be executed between them.
    """
    for _ in range(ORDER_ATTEMPTS):
        await _send_order(
            lambda: port.disarm(rank, proposal.version, proposal.epoch), retry_refusals=False
        )
        reply = await _send_order(
            lambda: port.prepare(rank, proposal.newer_version, proposal.current, proposal.epoch),
            retry_refusals=False,
        )
        if reply is OrderReply.ACCEPTED:
            return True
    return False


async def _release(port: RankPort, holds: Sequence[_Hold], epoch: int) -> bool:
    """Release holds; a refusal means that there is no such hold or another epoch."""
    replies = await asyncio.gather(
        *(
            _send_order(
                lambda hold=hold: port.release(hold.rank, hold.step, epoch),  # type: ignore[misc]
                retry_refusals=False,
            )
            for hold in holds
        )
    )
    return all(reply is not OrderReply.UNANSWERED for reply in replies)
