"""Plan the expert map of one rank group while this gateway holds its duty."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from dalehollow.gateway.demand import Demand, DemandWindow, scale_demand
from dalehollow.gateway.pass_times import PassTimes
from dalehollow.gateway.plan_policy import PlanPolicy, PlanTerms, choose_bounds
from dalehollow.gateway.steps import StepClock
from dalehollow.gateway.table import ExpertFigures
from dalehollow.gateway.tasks import wait_set
from dalehollow.groups.holds import HoldLedger, HoldRecordChange
from dalehollow.groups.place import ImprovedLayer, improve_layers, layer_loads, place_round_robin
from dalehollow.groups.ranks import (
    GroupMap,
    OrderReply,
    RankCounts,
    RankPort,
    RankReport,
    StoredPlan,
)
from dalehollow.groups.switch import (
    Proposal,
    SwitchOutcome,
    abort_unfinished_switch,
    complete_switch,
    switch_map,
)
from dalehollow.telemetry.logs import log_event

VERSIONS_PER_FENCE = 1_000_000
"""A map version is `fence * VERSIONS_PER_FENCE + count`, so that two planners never assign the same
version to different maps, and ranks refuse maps of the older planner."""
MIN_WAIT_S = 0.05
MAX_WAIT_S = 0.5
"""Bounds of the pause until a switch takes place: about the shortest pass, and three long ones. An
idle group makes no passes, so the expected time may be far too long."""
SWITCH_ATTEMPTS = 3
COPY_MARGIN = 1.2
MIN_SAMPLED_RANKS = 2
TAKE_DELAY_S = 0.05
MAX_TAKE_DELAYS = 20
"""Gateways attempt to take a vacant duty in turn, in an order that differs by duty. Most find it
taken and make no attempt, and the duties of many groups are spread over many gateways."""
PREPARE_ATTEMPTS = 4
WINDOW_S = 0.3
"""Length of a demand window: some passes, with several requests at each rank."""
EPOCH_RETRY_S = 0.1
"""Reports are some hundred ms old: those of a group that has just opened still show it broken."""
ABORT_SETTLE_S = 0.3
"""Time until reports show that a switch was aborted; a planner that reads them earlier aborts it
again."""
LONGEST_WINDOW_S = 0.6
"""A longer window may mix old and new demand, and detects a shift too late."""

PRESSED_FOR_S = 60.0
"""The pressed terms of the policy apply for this time after a pause came near the limit. Counts
show a demand shift 0.5 s to 1 s before passes do, since streams in flight end with the experts they
began with. While no pause is near the limit the maps are good enough, and frequent rounds would
cost 0.05 of the value of a day whose requests are served in time anyway."""
SLOW_PACE = 1.5
"""A rank slower than usual by this factor gets no requests while other ranks have free slots."""
MAX_SLOW_SHARE = 0.25

_MS_PER_S = 1000

_LOG = logging.getLogger(__name__)


class Duties(Protocol):
    """The operations on duties that a planner needs."""

    def fence(self, duty: str) -> int | None:
        """Return the fence of a duty, None unless it is known to be held by this gateway now."""

    async def acquire_duty(self, duty: str) -> bool:
        """Attempt to take a vacant duty; return whether it was taken."""

    async def release_duty(self, duty: str, why: str) -> None:
        """Release a duty."""

    async def store_plan(self, duty: str, plan: StoredPlan) -> None:
        """Store the demand and the slow ranks that a plan is based on."""

    async def update_holds(self, duty: str, change: HoldRecordChange) -> bool:
        """Change the record of a group's holds; return whether that is confirmed."""


@dataclass
class GroupPlanner:
    """Planner of one group; `ranks` returns the addresses of all ranks, or an empty mapping."""

    duty: str
    duties: Duties
    holder: Callable[[], str | None]
    # Number of gateways that attempt to take the duty before this one.
    count_predecessors: Callable[[], int]
    port: RankPort
    ranks: Callable[[], Mapping[int, str]]
    figures: ExpertFigures
    policy: PlanPolicy
    rng: random.Random
    pass_times: PassTimes
    load: Callable[[], float]
    # Longest pause between stream pieces that callers tolerate, 0 if unknown.
    pause_objective_s: Callable[[], float]
    current: GroupMap | None = None
    changes: int = 0
    copies: int = 0
    _epoch: int = -1
    _count: int = 0
    _window: DemandWindow = field(init=False)
    _sample: list[int] = field(default_factory=list)
    _steps: StepClock = field(init=False)
    _holds: HoldLedger = field(init=False)
    _stored_demand: list[list[float]] = field(default_factory=list)
    _pressed_until_s: float = float("-inf")
    _is_stopping: bool = False
    _round_requested: bool = False
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _next_round_in_s: float | None = 0.0
    _is_slower: bool = False
    _read_at_s: float = float("-inf")
    _has_unanswered_orders: bool = False
    # Last switch that all ranks accepted; until its step begins they refuse another map.
    _switch: Proposal | None = None
    _paces: list[float] = field(default_factory=list)
    _stored_slow_ranks: tuple[int, ...] = ()

    def __post_init__(self) -> None:
        """Create the demand window and the step clock."""
        self._window = DemandWindow(self.policy.memory)
        self._steps = StepClock(self.pass_times)
        self._holds = self._create_hold_ledger(self._epoch)
        self.pass_times.on_slower = self._record_slower

    def _create_hold_ledger(self, epoch: int) -> HoldLedger:
        return HoldLedger(epoch, lambda change: self.duties.update_holds(self.duty, change))

    def stop(self) -> None:
        """Stop planning; a switch that has begun is completed, then the duty is released."""
        self._is_stopping = True
        self._wake.set()

    def set_stored_demand(self, demand: Demand) -> None:
        """Set the demand of the last stored plan, used until this planner has its own window.

        Demand for other layers or experts, or without tokens, is ignored.
        """
        is_usable = len(demand) == self.figures.layers and all(
            len(layer) == self.figures.experts and min(layer) >= 0 and sum(layer) > 0
            for layer in demand
        )
        if not is_usable:
            log_event(_LOG, "stored_demand_unusable", logging.WARNING, duty=self.duty)
            return
        self._stored_demand = [list(map(float, layer)) for layer in demand]

    async def run(self) -> None:
        """Run planning rounds while the duty is held, and attempt to take it otherwise."""
        while not self._is_stopping:
            await self._wait_for_round()
            fence = self.duties.fence(self.duty)
            if self._is_stopping:
                break
            if fence is None:
                self._epoch = -1
                self._holds = self._create_hold_ledger(self._epoch)
                await self._attempt_to_take_duty()
            elif self.ranks():
                await self._run_round(fence)
        await self.duties.release_duty(self.duty, "planned stop")

    async def _wait_for_round(self) -> None:
        """Wait until the next round is due under the current terms, or is requested."""
        clock = asyncio.get_running_loop().time
        began_s = clock()
        while (left_s := began_s + self._time_to_round_s() - clock()) > 0:
            if await wait_set(self._wake, min(left_s, self.policy.pressed.interval_s)):
                break
        self._wake.clear()
        self._round_requested = False
        self._next_round_in_s = None

    def _time_to_round_s(self) -> float:
        return (
            self._select_terms().interval_s
            if self._next_round_in_s is None
            else self._next_round_in_s
        )

    def _select_terms(self) -> PlanTerms:
        """Return the terms for the longest pauses within `PRESSED_FOR_S`."""
        now_s = asyncio.get_running_loop().time()
        if self.policy.is_pressing(self._steps.longest_s(), self.pause_objective_s()):
            self._pressed_until_s = now_s + PRESSED_FOR_S
        return self.policy.pressed if now_s < self._pressed_until_s else self.policy.normal

    def record_epoch(self, epoch: int) -> None:
        """Request a round now if the group has reopened, with its initial map."""
        if epoch != self._epoch:
            self._request_round()

    def _record_slower(self) -> None:
        """Request a round: passes take longer than before with this map."""
        if not self._is_slower:
            self._is_slower = True
            self._wake.set()

    def record_vacancy(self) -> None:
        """Request a round now: the duty is vacant."""
        self._request_round()

    def _request_round(self) -> None:
        self._round_requested = True
        self._wake.set()

    async def _attempt_to_take_duty(self) -> None:
        if self.holder() is not None or not self.ranks():
            return
        steps = min(MAX_TAKE_DELAYS, self.count_predecessors()) + self.rng.random()
        await asyncio.sleep(steps * TAKE_DELAY_S)
        if self.holder() is None and await self.duties.acquire_duty(self.duty):
            self._wake.set()

    async def _run_round(self, fence: int) -> None:
        read = await self._read_counts()
        if not read:
            return
        epoch = max(counts.epoch for counts in read.values())
        is_standing_still = self._steps.is_standing_still and self.load() > 0
        if epoch == self._epoch and is_standing_still and not await self._settle_holds(fence):
            return
        is_begun = epoch != self._epoch
        if is_begun and not await self._begin_epoch(epoch, fence):
            return
        if self._is_slower or self._stored_slow_ranks or self._steps.is_suspect():
            await self._update_paces()
        window_s = self._advance_window_s()
        known = self._window.demand or self._stored_demand
        if is_begun and known:
            # The group starts with its initial map; the demand from before it broke is still valid.
            self._window.begin(read)
            await self._improve(fence, known)
            self._next_round_in_s = WINDOW_S
            return
        if window_s > LONGEST_WINDOW_S:
            # Demand may have shifted during a long window: start a new one.
            self._window.begin(read)
            self._next_round_in_s = WINDOW_S
            return
        is_new = self._window.add(read, self._relative_longest)
        self._is_slower = False
        if not self._steps.has_begun(self._switch_step()):
            self._next_round_in_s = self._switch_wait_s()
        elif is_new:
            await self._improve(fence, self._window.demand)
        if not self._window.demand:
            self._next_round_in_s = WINDOW_S

    def _switch_step(self) -> int:
        """Return the step at which the last switch takes effect, 0 if there was none."""
        return self._switch.step if self._switch is not None else 0

    def _switch_wait_s(self) -> float:
        """Return the expected time until the last switch takes effect, within bounds."""
        return max(MIN_WAIT_S, min(MAX_WAIT_S, self._steps.wait_s(self._switch_step())))

    def _relative_longest(self, demand: Demand | list[list[float]]) -> float:
        """Return the load of the most loaded rank over the mean, averaged over the layers."""
        assert self.current is not None
        layers = zip(self.current, demand, strict=True)
        longest = [max(layer_loads(layer, wanted)) for layer, wanted in layers]
        return sum(longest) / len(longest)

    async def _settle_holds(self, fence: int) -> bool:
        """Settle a hold that a rank applied late, after its planner had stopped waiting for it.

        A switch of this planner that the hold delays is completed. Anything else is aborted, and
        the map is read again. If neither can be done, the duty is released; returns whether it is
        kept.
        """
        assert self.current is not None
        ranks = sorted(self.ranks())
        reports = await self._read_reports(ranks)
        if not any(r.held_step for r in reports.values()):
            return True
        is_pending = self._is_switch_pending(reports, fence)
        log_event(
            _LOG,
            "group_held",
            logging.WARNING,
            duty=self.duty,
            epoch=self._epoch,
            reports=len(reports),
            ranks=len(ranks),
            is_switch_pending=is_pending,
        )
        if is_pending:
            assert self._switch is not None
            is_settled = await complete_switch(self.port, reports, self._switch)
        else:
            is_settled = await abort_unfinished_switch(
                self.port, reports, self.current, self._next_version(fence), self._holds
            )
            self._epoch = -1
        if not is_settled:
            await self.duties.release_duty(self.duty, "hold could not be settled")
        return is_settled

    def _is_switch_pending(self, reports: Mapping[int, RankReport], fence: int) -> bool:
        """Return whether the last switch is still to take effect, by all reports there are.

        Without the duty the result is False: a successor may be aborting the switch.
        """
        switch = self._switch
        return (
            switch is not None
            and self.duties.fence(self.duty) == fence
            and all(
                (r.epoch, r.armed_version, r.armed_step)
                == (switch.epoch, switch.version, switch.step)
                for r in reports.values()
            )
        )

    async def _read_reports(self, ranks: list[int]) -> dict[int, RankReport]:
        """Return the reports of the ranks that answer."""
        reports = await asyncio.gather(*(self.port.read_report(rank) for rank in ranks))
        return {rank: r for rank, r in zip(ranks, reports, strict=True) if r is not None}

    def _advance_window_s(self) -> float:
        """Return the time since the last read, and start the next window."""
        now_s = asyncio.get_running_loop().time()
        window_s, self._read_at_s = now_s - self._read_at_s, now_s
        return window_s

    async def _read_counts(self) -> dict[int, RankCounts]:
        ranks = sorted(self.ranks())
        if not self._sample or not set(self._sample) <= set(ranks):
            wanted = max(MIN_SAMPLED_RANKS, math.ceil(len(ranks) * self.policy.sampled_share))
            self._sample = self.rng.sample(ranks, min(wanted, len(ranks)))
        read = await asyncio.gather(*(self.port.read_counts(rank) for rank in self._sample))
        found = {r: c for r, c in zip(self._sample, read, strict=True) if c is not None}
        if found:
            self._steps.record(max(c.step for c in found.values()))
        return found

    async def _begin_epoch(self, epoch: int, fence: int) -> bool:
        """Read the active map, and settle a switch that another planner left open."""
        self._next_round_in_s = EPOCH_RETRY_S
        ranks = sorted(self.ranks())
        known = await self._read_reports(ranks)
        if len(known) < len(ranks) or any(
            r.epoch != epoch or not r.is_open for r in known.values()
        ):
            return False
        current = await self._read_map(ranks, known[ranks[0]].map_version)
        if current is None:
            return False
        next_version = self._next_version(fence)
        if self._holds.epoch != epoch:
            self._holds = self._create_hold_ledger(epoch)
        if not await abort_unfinished_switch(self.port, known, current, next_version, self._holds):
            await self.duties.release_duty(
                self.duty, "another planner's switch could not be settled"
            )
            return False
        if any(r.armed_version for r in known.values()):
            self._next_round_in_s = ABORT_SETTLE_S
            return False
        self.current, self._epoch, self._switch = current, epoch, None
        self._next_round_in_s = None
        log_event(_LOG, "group_planned", duty=self.duty, epoch=epoch, fence=fence)
        return True

    async def _read_map(self, ranks: list[int], version: int) -> GroupMap | None:
        if version == 0:
            layer = place_round_robin(len(ranks), self.figures.experts)
            return (layer,) * self.figures.layers
        held = await asyncio.gather(*(self.port.read_layers(rank) for rank in ranks))
        if any(layers is None for layers in held):
            return None
        by_rank = [layers for layers in held if layers is not None]
        return tuple(tuple(layers[idx] for layers in by_rank) for idx in range(self.figures.layers))

    def _next_version(self, fence: int) -> int:
        self._count += 1
        return fence * VERSIONS_PER_FENCE + self._count

    async def _improve(self, fence: int, demand: list[list[float]]) -> None:
        assert self.current is not None
        terms = self._select_terms()
        bounds = choose_bounds(self.policy, terms, self.figures, len(self.current[0]), self.load())
        improved: tuple[ImprovedLayer, ...] = ()
        for found in improve_layers(self.current, demand, bounds, self._paces):
            improved = found
            # Planning takes some ms: yield so that streams are relayed in between.
            await asyncio.sleep(0)
        before = sum(i.max_load_before for i in improved) / len(improved)
        after = sum(i.max_load_after for i in improved) / len(improved)
        copies = sum(i.copies for i in improved)
        if not copies or before - after < terms.begin_gain * before:
            return
        log_event(
            _LOG,
            "map_planned",
            duty=self.duty,
            longest_before=round(before, 3),
            longest_after=round(after, 3),
            copies=copies,
            pressed=terms is self.policy.pressed,
            step_ms=round(self._steps.step_s * _MS_PER_S, 1),
        )
        planned = tuple(i.layer for i in improved)
        most_copied = _count_most_copied(self.current, planned)
        copy_s = most_copied * self.figures.copy_s * COPY_MARGIN
        outcome = await self._apply_map(planned, copy_s, fence)
        log_event(_LOG, "map_switch", duty=self.duty, outcome=outcome, epoch=self._epoch)
        if outcome is SwitchOutcome.SWITCHED:
            self.current = planned
            self.pass_times.settle()
            self._is_slower = False
            if not self._round_requested:
                # The wake-up came from long passes under the previous map; the new map is
                # evaluated in the next regular round.
                self._wake.clear()
            self.changes += 1
            self.copies += copies
            if most_copied >= bounds.rank_copies:
                # The copy limit cut the change short: continue with the next window.
                self._next_round_in_s = max(WINDOW_S, self._switch_wait_s())
            await self._keep_plan(demand)
        elif outcome is SwitchOutcome.UNRESOLVED:
            await self.duties.release_duty(self.duty, "switch could not be settled")

    async def _keep_plan(self, demand: list[list[float]]) -> None:
        self._stored_slow_ranks = self._find_slow_ranks()
        await self.duties.store_plan(
            self.duty, StoredPlan(scale_demand(demand), self._stored_slow_ranks)
        )

    def _find_slow_ranks(self) -> tuple[int, ...]:
        slow = tuple(rank for rank, pace in enumerate(self._paces) if pace >= SLOW_PACE)
        # If many ranks are slow, there are too few others to take their requests.
        return slow if len(slow) <= MAX_SLOW_SHARE * len(self._paces) else ()

    async def _update_paces(self) -> None:
        """Read which ranks are slow regardless of the experts they hold."""
        ranks = sorted(self.ranks())
        reports = await self._read_reports(ranks)
        paces = [reports[rank].pace if rank in reports else 1.0 for rank in ranks]
        usual = self._paces or [1.0] * len(paces)
        if [p >= SLOW_PACE for p in paces] != [p >= SLOW_PACE for p in usual]:
            log_event(_LOG, "paces_changed", duty=self.duty, paces=",".join(map(str, paces)))
        self._paces = paces
        if self._stored_slow_ranks != self._find_slow_ranks():
            # Stored at once, without waiting for a plan: the requests sent to a rank are the
            # larger part of its work.
            await self._keep_plan(self._window.demand or self._stored_demand)

    async def _apply_map(self, planned: GroupMap, copy_s: float, fence: int) -> SwitchOutcome:
        """Have all ranks copy the experts of a map, which takes `copy_s`, and switch to it."""
        assert self.current is not None
        ranks = sorted(self.ranks())
        version, newer_version = self._next_version(fence), self._next_version(fence)
        self._has_unanswered_orders = False
        replies = await asyncio.gather(*(self._prepare(r, version, planned) for r in ranks))
        if any(reply is not OrderReply.ACCEPTED for reply in replies):
            return SwitchOutcome.ABANDONED
        # Reserved while the ranks copy, so that the switch itself does not wait for the store.
        reserve = self._holds.reserve(ranks, self._choose_step())
        await asyncio.gather(asyncio.sleep(copy_s), reserve)
        outcome = SwitchOutcome.ABANDONED
        for _ in range(SWITCH_ATTEMPTS):
            if self.duties.fence(self.duty) != fence:
                return SwitchOutcome.ABANDONED
            step = await self._holds.find_step(ranks, self._choose_step())
            if step is None:
                return SwitchOutcome.ABANDONED
            proposal = Proposal(version, newer_version, step, self._epoch, self.current)
            outcome = await switch_map(self.port, ranks, proposal, self._holds)
            if outcome is SwitchOutcome.SWITCHED:
                self._switch = proposal
            if outcome is not SwitchOutcome.TOO_LATE:
                return outcome
            counts = await self.port.read_counts(ranks[0])
            if counts is not None:
                self._steps.record(counts.step)
        return outcome

    def _choose_step(self) -> int:
        return self._steps.choose_step(self._has_unanswered_orders)

    async def _prepare(self, rank: int, version: int, planned: GroupMap) -> OrderReply:
        reply = OrderReply.UNANSWERED
        for _ in range(PREPARE_ATTEMPTS):
            reply = await self.port.prepare(rank, version, planned, self._epoch)
            if reply is not OrderReply.UNANSWERED:
                break
            self._has_unanswered_orders = True
        return reply


def _count_most_copied(current: GroupMap, planned: GroupMap) -> int:
    """Return the largest number of experts that any rank must copy, over all layers."""
    copied = [0] * len(planned[0])
    for old, new in zip(current, planned, strict=True):
        for rank, (before, after) in enumerate(zip(old, new, strict=True)):
            copied[rank] += len(set(after) - set(before))
    return max(copied)
