"""Plan the expert map of one rank group while this gateway holds the duty for it."""

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
from dalehollow.groups.place import ImprovedLayer, improve_layers, layer_loads, place_round_robin
from dalehollow.groups.ranks import GroupMap, OrderReply, RankCounts, RankPort, StoredPlan
from dalehollow.groups.switch import Proposal, SwitchOutcome, abort_unfinished_switch, switch_map
from dalehollow.telemetry.logs import log_event

VERSIONS_PER_FENCE = 1_000_000
"""A version holds the planner's fence above its own count, so that two planners never give the
same version to different maps, and ranks refuse the older planner's."""
MIN_WAIT_S = 0.05
MAX_WAIT_S = 0.5
"""Bounds of the pause until a switch has taken place: about the shortest pass, and three long ones.
An idle group makes no passes, so that what is expected may be far too long."""
SWITCH_TRIES = 3
COPY_MARGIN = 1.2
MIN_SAMPLED_RANKS = 2
TAKE_STEP_S = 0.05
MAX_TAKE_STEPS = 20
"""Gateways that see a duty become vacant try for it in turn, in an order that differs by duty: most
need not, and the duties of many groups fall to many gateways."""
PREPARE_TRIES = 4
WINDOW_S = 0.3
"""Two readings so far apart make a window: some passes, with several requests at each rank."""
EPOCH_RETRY_S = 0.1
"""Reports are some hundred ms old: those of a group that has just opened still show it broken."""
LONGEST_WINDOW_S = 0.6
"""A longer window may mix the demand of two times, and says too late what there is now."""

PRESSED_FOR_S = 60.0
"""Once pauses have pressed, looks stay frequent for so long: counts show a turn of demand half a
second to a second before passes do, for streams in hand end with the experts they began with.
Where no pause presses, maps are good enough as they are: frequent looks would cost 0.05 of the
worth of a day that is served in time anyway."""
SLOW_PACE = 1.5
"""A rank that takes so many times longer than usual gets no requests while others have slots."""
MAX_SLOW_SHARE = 0.25

_MS_PER_S = 1000

_LOG = logging.getLogger(__name__)


class Duties(Protocol):
    """Name what a planner needs of the keeper of duties."""

    def fence(self, duty: str) -> int | None:
        """Return the fence of a duty that is surely held now, or None."""

    async def take_duty(self, duty: str) -> bool:
        """Try to take a duty that nobody holds."""

    async def drop_duty(self, duty: str, why: str) -> None:
        """Give a duty up."""

    async def keep_plan(self, duty: str, plan: StoredPlan) -> None:
        """Keep what a plan was made for."""


@dataclass
class GroupPlanner:
    """Hold the planner of one group; `ranks` gives the addresses by rank, all of them or none."""

    duty: str
    duties: Duties
    holder: Callable[[], str | None]
    # How many gateways try for the duty before this one.
    turn: Callable[[], int]
    port: RankPort
    ranks: Callable[[], Mapping[int, str]]
    figures: ExpertFigures
    policy: PlanPolicy
    rng: random.Random
    pass_times: PassTimes
    load: Callable[[], float]
    # The longest pause between pieces that callers take well, 0 where none is known.
    pause_objective_s: Callable[[], float]
    current: GroupMap | None = None
    changes: int = 0
    copies: int = 0
    _epoch: int = -1
    _count: int = 0
    _window: DemandWindow = field(init=False)
    _sample: list[int] = field(default_factory=list)
    _steps: StepClock = field(init=False)
    _kept: list[list[float]] = field(default_factory=list)
    _pressed_until_s: float = float("-inf")
    _is_stopping: bool = False
    _must_look: bool = False
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _next_pause_s: float | None = 0.0
    _is_slower: bool = False
    _read_at_s: float = float("-inf")
    _lost_orders: bool = False
    # The step at which the last switch takes place: until then ranks refuse another map.
    _switch_step: int = 0
    _paces: list[float] = field(default_factory=list)
    _slow: tuple[int, ...] = ()

    def __post_init__(self) -> None:
        """Begin without demand."""
        self._window = DemandWindow(self.policy.memory)
        self._steps = StepClock(self.pass_times)
        self.pass_times.on_slower = self._note_slower

    def stop(self) -> None:
        """Plan no more; a switch in hand is brought to its end, then the duty is given up."""
        self._is_stopping = True
        self._wake.set()

    def note_kept_demand(self, demand: Demand) -> None:
        """Take in what some planner last planned for; the own readings go first."""
        self._kept = [list(map(float, layer)) for layer in demand]

    async def run(self) -> None:
        """Look at the group at intervals while the duty is held, and try to take it otherwise."""
        while not self._is_stopping:
            await self._pause()
            fence = self.duties.fence(self.duty)
            if self._is_stopping:
                break
            if fence is None:
                self._epoch = -1
                await self._try_take()
            elif self.ranks():
                await self._round(fence)
        await self.duties.drop_duty(self.duty, "planned stop")

    async def _pause(self) -> None:
        """Wait until the next look is due by the terms as they change, or is called for."""
        clock = asyncio.get_running_loop().time
        began_s = clock()
        while (left_s := began_s + self._pause_s() - clock()) > 0:
            if await wait_set(self._wake, min(left_s, self.policy.pressed.interval_s)):
                break
        self._wake.clear()
        self._must_look = False
        self._next_pause_s = None

    def _pause_s(self) -> float:
        return self._terms().interval_s if self._next_pause_s is None else self._next_pause_s

    def _terms(self) -> PlanTerms:
        """Return the terms by the longest pauses of the last minute."""
        now_s = asyncio.get_running_loop().time()
        if self.policy.is_pressing(self._steps.longest_s(), self.pause_objective_s()):
            self._pressed_until_s = now_s + PRESSED_FOR_S
        return self.policy.pressed if now_s < self._pressed_until_s else self.policy.calm

    def note_epoch(self, epoch: int) -> None:
        """Look at once: the group has opened anew, with its first map."""
        if epoch != self._epoch:
            self._look_at_once()

    def _note_slower(self) -> None:
        """Look soon: passes last longer than they did with this map."""
        if not self._is_slower:
            self._is_slower = True
            self._wake.set()

    def note_vacancy(self) -> None:
        """Look at once: nobody holds the duty any more."""
        self._look_at_once()

    def _look_at_once(self) -> None:
        self._must_look = True
        self._wake.set()

    async def _try_take(self) -> None:
        if self.holder() is not None or not self.ranks():
            return
        steps = min(MAX_TAKE_STEPS, self.turn()) + self.rng.random()
        await asyncio.sleep(steps * TAKE_STEP_S)
        if self.holder() is None and await self.duties.take_duty(self.duty):
            self._wake.set()

    async def _round(self, fence: int) -> None:
        read = await self._read_counts()
        if not read:
            return
        epoch = max(counts.epoch for counts in read.values())
        if epoch == self._epoch and self._steps.is_standing_still and self.load() > 0:
            await self._end_holds(fence)
        is_begun = epoch != self._epoch
        if is_begun and not await self._begin_epoch(epoch, fence):
            self._next_pause_s = EPOCH_RETRY_S
            return
        if self._is_slower or self._slow or self._steps.is_suspect():
            await self._read_paces()
        window_s = self._window_s()
        known = self._window.demand or self._kept
        if is_begun and known:
            # The group begins with its first map: what was in demand before it broke still is.
            self._window.begin(read)
            await self._improve(fence, known)
            self._next_pause_s = WINDOW_S
            return
        if window_s > LONGEST_WINDOW_S:
            # Demand may have turned since: begin a window now.
            self._window.begin(read)
            self._next_pause_s = WINDOW_S
            return
        is_new = self._window.add(read, self._rate_longest)
        self._is_slower = False
        if not self._steps.has_begun(self._switch_step):
            self._next_pause_s = self._switch_wait_s()
        elif is_new:
            await self._improve(fence, self._window.demand)
        if not self._window.demand:
            self._next_pause_s = WINDOW_S

    def _switch_wait_s(self) -> float:
        """Return how long to wait for the last switch to take place."""
        return max(MIN_WAIT_S, min(MAX_WAIT_S, self._steps.wait_s(self._switch_step)))

    def _rate_longest(self, demand: Demand | list[list[float]]) -> float:
        """Return the longest rank of the map in force over the mean, on average of the layers."""
        assert self.current is not None
        layers = zip(self.current, demand, strict=True)
        longest = [max(layer_loads(layer, wanted)) for layer, wanted in layers]
        return sum(longest) / len(longest)

    async def _end_holds(self, fence: int) -> None:
        """End a hold whose order was carried out late, when nobody waited for it any more."""
        assert self.current is not None
        ranks = sorted(self.ranks())
        reports = await asyncio.gather(*(self.port.read_report(rank) for rank in ranks))
        known = {rank: r for rank, r in zip(ranks, reports, strict=True) if r is not None}
        if not any(r.held_step for r in known.values()):
            return
        log_event(_LOG, "group_held", logging.WARNING, duty=self.duty, epoch=self._epoch)
        if not await abort_unfinished_switch(
            self.port, known, self.current, self._next_version(fence)
        ):
            await self.duties.drop_duty(self.duty, "a hold is unresolved")

    def _window_s(self) -> float:
        """Return how long the window is that a reading now closes."""
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
            self._steps.note(max(c.step for c in found.values()))
        return found

    async def _begin_epoch(self, epoch: int, fence: int) -> bool:
        """Learn the map in force, and settle what another planner may have left open."""
        ranks = sorted(self.ranks())
        reports = await asyncio.gather(*(self.port.read_report(rank) for rank in ranks))
        known = {rank: r for rank, r in zip(ranks, reports, strict=True) if r is not None}
        if len(known) < len(ranks) or any(
            r.epoch != epoch or not r.is_open for r in known.values()
        ):
            return False
        current = await self._read_map(ranks, known[ranks[0]].map_version)
        if current is None:
            return False
        next_version = self._next_version(fence)
        if not await abort_unfinished_switch(self.port, known, current, next_version):
            await self.duties.drop_duty(self.duty, "another planner's switch is unresolved")
            return False
        if any(r.armed_version for r in known.values()):
            return False
        self.current, self._epoch, self._switch_step = current, epoch, 0
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
        terms = self._terms()
        bounds = choose_bounds(self.policy, terms, self.figures, len(self.current[0]), self.load())
        improved: tuple[ImprovedLayer, ...] = ()
        for found in improve_layers(self.current, demand, bounds, self._paces):
            improved = found
            # A plan takes some ms: streams are relayed in between.
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
        outcome = await self._carry_out(planned, copy_s, fence)
        log_event(_LOG, "map_switch", duty=self.duty, outcome=outcome, epoch=self._epoch)
        if outcome is SwitchOutcome.SWITCHED:
            self.current = planned
            self.pass_times.settle()
            self._is_slower = False
            if not self._must_look:
                # Passes were long under the map before; the new one is looked at in its turn.
                self._wake.clear()
            self.changes += 1
            self.copies += copies
            if most_copied >= bounds.rank_copies:
                # There was more to gain than fits one change: go on with the next window.
                self._next_pause_s = max(WINDOW_S, self._switch_wait_s())
            await self._keep_plan(demand)
        elif outcome is SwitchOutcome.UNRESOLVED:
            await self.duties.drop_duty(self.duty, "a switch is unresolved")

    async def _keep_plan(self, demand: list[list[float]]) -> None:
        self._slow = self._list_slow()
        await self.duties.keep_plan(self.duty, StoredPlan(scale_demand(demand), self._slow))

    def _list_slow(self) -> tuple[int, ...]:
        slow = tuple(rank for rank, pace in enumerate(self._paces) if pace >= SLOW_PACE)
        # Where most are slow there is nowhere to go.
        return slow if len(slow) <= MAX_SLOW_SHARE * len(self._paces) else ()

    async def _read_paces(self) -> None:
        """Learn which ranks are slow for their own reasons, whatever they hold."""
        ranks = sorted(self.ranks())
        reports = await asyncio.gather(*(self.port.read_report(rank) for rank in ranks))
        paces = [r.pace if r is not None else 1.0 for r in reports]
        usual = self._paces or [1.0] * len(paces)
        if [p >= SLOW_PACE for p in paces] != [p >= SLOW_PACE for p in usual]:
            log_event(_LOG, "paces_changed", duty=self.duty, paces=",".join(map(str, paces)))
        self._paces = paces
        if self._slow != self._list_slow():
            # Told at once, without waiting for a plan: requests are the larger part of its work.
            await self._keep_plan(self._window.demand or self._kept)

    async def _carry_out(self, planned: GroupMap, copy_s: float, fence: int) -> SwitchOutcome:
        """Have all ranks copy what a map needs, which takes `copy_s`, and switch to it."""
        assert self.current is not None
        ranks = sorted(self.ranks())
        version = self._next_version(fence)
        self._lost_orders = False
        replies = await asyncio.gather(*(self._prepare(r, version, planned) for r in ranks))
        if any(reply is not OrderReply.ACCEPTED for reply in replies):
            return SwitchOutcome.ABANDONED
        await asyncio.sleep(copy_s)
        outcome = SwitchOutcome.ABANDONED
        for _ in range(SWITCH_TRIES):
            if self.duties.fence(self.duty) != fence:
                return SwitchOutcome.ABANDONED
            proposal = Proposal(
                version, self._steps.choose_step(self._lost_orders), self._epoch, self.current
            )
            outcome = await switch_map(self.port, ranks, proposal)
            if outcome is SwitchOutcome.SWITCHED:
                self._switch_step = proposal.step
            if outcome is not SwitchOutcome.TOO_LATE:
                return outcome
            counts = await self.port.read_counts(ranks[0])
            if counts is not None:
                self._steps.note(counts.step)
        return outcome

    async def _prepare(self, rank: int, version: int, planned: GroupMap) -> OrderReply:
        reply = OrderReply.UNANSWERED
        for _ in range(PREPARE_TRIES):
            reply = await self.port.prepare(rank, version, planned, self._epoch)
            if reply is not OrderReply.UNANSWERED:
                break
            self._lost_orders = True
        return reply


def _count_most_copied(current: GroupMap, planned: GroupMap) -> int:
    """Return how many experts are new to the rank with the most of them, over all layers."""
    copied = [0] * len(planned[0])
    for old, new in zip(current, planned, strict=True):
        for rank, (before, after) in enumerate(zip(old, new, strict=True)):
            copied[rank] += len(set(after) - set(before))
    return max(copied)
