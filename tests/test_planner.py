"""Check when a planner changes the expert map of a fake group, and how."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from dalehollow.gateway import tasks
from dalehollow.gateway.pass_times import PassTimes
from dalehollow.gateway.plan_policy import PlanPolicy, PlanTerms
from dalehollow.gateway.planner import GroupPlanner
from dalehollow.gateway.table import ExpertFigures
from dalehollow.groups.holds import HoldRecord, HoldRecordChange
from dalehollow.groups.place import place_round_robin
from dalehollow.groups.ranks import OrderReply, RankCounts, RankReport, StoredPlan
from dalehollow.groups.switch import ORDER_ATTEMPTS
from tests.fake_ranks import FakeGroup

RANKS, EXPERTS = 4, 16
FIGURES = ExpertFigures(1, EXPERTS, places=5, spare=4, expert_mb=0.0, link_mbps=1000.0)
TERMS = PlanTerms(interval_s=0.005, begin_gain=0.1, copy_price_mb=0.0)
POLICY = PlanPolicy(TERMS, TERMS, 0.5, sampled_share=0.5, memory=0, copy_s=1.0)


@dataclass
class _Duties:
    held: int | None = 1
    stored: list[StoredPlan] = field(default_factory=list)
    holds: HoldRecord = field(default_factory=HoldRecord)

    def fence(self, duty: str) -> int | None:
        return self.held

    async def acquire_duty(self, duty: str) -> bool:
        self.held = (self.held or 0) + 1
        return True

    async def release_duty(self, duty: str, why: str) -> None:
        self.held = None

    async def store_plan(self, duty: str, plan: StoredPlan) -> None:
        self.stored.append(plan)

    async def update_holds(self, duty: str, change: HoldRecordChange) -> bool:
        changed = change(self.holds) if self.held is not None else None
        self.holds = changed or self.holds
        return changed is not None


class _CountingGroup(FakeGroup):
    """Fake group with expert counters, `hot` counted most; each read of counts runs a pass."""

    hot = 0
    paces = (1.0,) * RANKS
    seen = (0,) * EXPERTS

    async def read_counts(self, rank: int) -> RankCounts | None:
        self.run_pass()
        chosen = (20_000 if e == self.hot else 1000 for e in range(EXPERTS))
        self.seen = tuple(a + b for a, b in zip(self.seen, chosen, strict=True))
        return RankCounts(self.epoch, self.step, (self.seen,))

    async def read_report(self, rank: int) -> RankReport | None:
        report = await super().read_report(rank)
        assert report is not None
        return RankReport(**{**report.__dict__, "pace": self.paces[rank]})


def _make_planner(group: FakeGroup, duties: _Duties) -> GroupPlanner:
    pass_times = PassTimes(asyncio.get_running_loop().time, lambda: 1.0, lambda batch: 10.0)
    return GroupPlanner(
        duty="desk",
        duties=duties,
        holder=lambda: None,
        count_predecessors=lambda: 0,
        port=group,
        ranks=lambda: {rank: f"rank-{rank}" for rank in range(RANKS)},
        figures=FIGURES,
        policy=POLICY,
        rng=random.Random(3),
        pass_times=pass_times,
        load=lambda: 0.9,
        pause_objective_s=lambda: 0.0,
    )


def _run(
    scenario: Callable[[GroupPlanner, _CountingGroup, _Duties], Awaitable[None]],
) -> None:
    async def run() -> None:
        group, duties = _CountingGroup(RANKS), _Duties()
        planner = _make_planner(group, duties)
        task = asyncio.ensure_future(planner.run())
        try:
            async with asyncio.timeout(20):
                await scenario(planner, group, duties)
        finally:
            task.cancel()

    asyncio.run(run())


async def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.001)


def test_hot_expert_is_replicated_and_demand_is_stored() -> None:
    async def scenario(planner: GroupPlanner, group: _CountingGroup, duties: _Duties) -> None:
        await _wait_until(lambda: planner.changes >= 1)
        assert planner.current is not None
        assert sum(0 in held for held in planner.current[0]) > 1
        await _wait_until(lambda: bool(duties.stored))
        assert duties.stored[-1].demand[0][0] == max(duties.stored[-1].demand[0])
        assert len({rank.version for rank in group.ranks} | {rank.prepared for rank in group.ranks})

    _run(scenario)


def test_no_map_is_prepared_while_the_last_switch_has_not_taken_place() -> None:
    """Armed ranks refuse a new map.

    A plan that was made too early lost half a second, and other ranks copied experts in vain.
    """

    async def scenario(planner: GroupPlanner, group: _CountingGroup, duties: _Duties) -> None:
        planned_while_armed = []

        def note(name: str, rank: int) -> None:
            if name == "prepare":
                planned_while_armed.append(group.ranks[rank].armed is not None)

        def is_done() -> bool:
            # Demand shifts with each plan.
            group.hot = planner.changes
            return planner.changes >= 3

        group.on_order = note
        await _wait_until(is_done)
        assert not any(planned_while_armed)

    _run(scenario)


def test_reopened_group_is_planned_from_known_demand() -> None:
    async def scenario(planner: GroupPlanner, group: _CountingGroup, duties: _Duties) -> None:
        await _wait_until(lambda: planner.changes >= 1)
        changes = planner.changes
        group.epoch += 1
        group.ranks = [type(group.ranks[0])() for _ in range(RANKS)]
        planner.record_epoch(group.epoch)
        await _wait_until(lambda: planner.changes > changes)

    _run(scenario)


def test_slow_rank_is_reported() -> None:
    async def scenario(planner: GroupPlanner, group: _CountingGroup, duties: _Duties) -> None:
        await _wait_until(lambda: planner.changes >= 1)
        group.paces = (1.0, 1.0, 4.0, 1.0)
        planner._record_slower()
        await _wait_until(lambda: bool(duties.stored) and duties.stored[-1].slow_ranks == (2,))
        group.paces = (1.0,) * RANKS
        await _wait_until(lambda: duties.stored[-1].slow_ranks == ())

    _run(scenario)


def test_slow_rank_is_detected_by_steps_without_streams() -> None:
    """A planner with few streams of its own did not notice a rank 12 times slower for 8 s.

    Until then requests were still sent to that rank.
    """

    async def scenario(planner: GroupPlanner, group: _CountingGroup, duties: _Duties) -> None:
        await _wait_until(lambda: planner.changes >= 1)
        group.paces = (1.0, 1.0, 12.0, 1.0)
        planner.pass_times.pass_ms = lambda batch: 0.001
        await _wait_until(lambda: bool(duties.stored) and duties.stored[-1].slow_ranks == (2,))

    _run(scenario)


@pytest.mark.parametrize("is_slower", [True, False])
def test_long_passes_before_a_switch_trigger_no_round_after_it(is_slower: bool) -> None:
    """Long passes under the previous map triggered a second plan within 50 ms of each switch.

    The ranks refused its orders.
    """

    async def scenario(planner: GroupPlanner, group: _CountingGroup, duties: _Duties) -> None:
        await _wait_until(lambda: planner.changes >= 1)
        terms = PlanTerms(interval_s=3600.0, begin_gain=0.1, copy_price_mb=0.0)
        planner.policy = PlanPolicy(terms, terms, 0.5, sampled_share=0.5, memory=0, copy_s=1.0)
        seen_at_note = []
        prepare = group.prepare

        async def prepare_and_note(*args: Any) -> OrderReply:
            seen_at_note.append(group.seen)
            planner._record_slower() if is_slower else planner.record_vacancy()
            return await prepare(*args)

        group.prepare = prepare_and_note  # type: ignore[method-assign]
        group.hot = 1
        stored = len(duties.stored)
        planner.record_vacancy()
        await _wait_until(lambda: len(duties.stored) > stored)
        group.prepare = prepare  # type: ignore[method-assign]
        if is_slower:
            for _ in range(50):
                await asyncio.sleep(0)
            assert group.seen == seen_at_note[-1]
        else:
            # A vacancy or a new epoch during the switch still triggers a round.
            await _wait_until(lambda: group.seen > seen_at_note[-1])

    _run(scenario)


def test_hold_applied_late_is_settled() -> None:
    """A rank may apply an unanswered hold after its planner has stopped waiting for it.

    The group then stands still until the hold is settled.
    """

    async def scenario(planner: GroupPlanner, group: _CountingGroup, duties: _Duties) -> None:
        await _wait_until(lambda: planner.changes >= 1)
        group.ranks[1].held = group.step + 1
        await _wait_until(lambda: group.ranks[1].held is None)
        step = group.step
        await _wait_until(lambda: group.step > step)

    _run(scenario)


@pytest.mark.parametrize("is_reachable", [True, False])
def test_late_hold_does_not_split_a_switch_when_a_report_is_missing(is_reachable: bool) -> None:
    """Guards against passes with two maps after a hold is settled without one rank's report."""

    async def scenario(planner: GroupPlanner, group: _CountingGroup, duties: _Duties) -> None:
        silent_rank = RANKS - 1
        read_report = group.read_report
        switch_steps: list[int] = []

        async def read_report_of_others(rank: int) -> RankReport | None:
            return await read_report(rank) if rank != silent_rank else None

        def apply_hold_late(name: str, rank: int) -> None:
            armed = group.ranks[silent_rank].armed
            if name == "release" and armed is not None and not switch_steps:
                group.ranks[1].held = armed[1]
                switch_steps.append(armed[1])
                group.read_report = read_report_of_others  # type: ignore[method-assign]
                if not is_reachable:
                    group.choose_delivery = lambda name, rank: (
                        "lost" if rank == silent_rank else "delivered"
                    )

        group.on_order = apply_hold_late
        await _wait_until(lambda: bool(switch_steps) and group.step >= switch_steps[0])
        assert len({rank.version for rank in group.ranks}) == 1
        assert planner.current is not None
        assert sum(0 in held for held in planner.current[0]) > 1

    _run(scenario)


def test_map_is_read_again_after_a_switch_was_aborted() -> None:
    """Guards against plans that start from a map which no rank uses."""

    async def scenario(planner: GroupPlanner, group: _CountingGroup, duties: _Duties) -> None:
        initial = (place_round_robin(RANKS, EXPERTS),)
        current_at_holds: list[object] = []
        was_disarmed = False

        def disarm_rank(name: str, rank: int) -> None:
            nonlocal was_disarmed
            if name == "release" and group.ranks[0].armed is not None and not was_disarmed:
                group.ranks[1].held = group.ranks[0].armed[1]
                group.ranks[0].armed, was_disarmed = None, True
            elif name == "hold" and was_disarmed:
                current_at_holds.append(planner.current)

        group.on_order = disarm_rank
        await _wait_until(lambda: planner.changes >= 2)
        aborted, *planned = current_at_holds
        assert aborted != initial
        assert planned[0] == initial

    _run(scenario)


class _IdleGroup(_CountingGroup):
    """Fake group whose callers pause: reads of counts run no pass."""

    def run_pass(self) -> bool:
        return False

    def run_passes_to(self, step: int) -> None:
        """Run passes until one is held or the step is reached, as when callers come back."""
        while self.step < step and super().run_pass():
            pass


@pytest.mark.parametrize("is_same_planner", [False, True])
def test_late_release_does_not_end_a_later_hold(is_same_planner: bool) -> None:
    """Guards against passes with two maps after a release of an earlier switch is executed late.

    An idle group makes no passes, so two switches choose the same step. The earlier switch is that
    of a planner that was killed, or one that this planner abandoned.
    """

    async def run() -> None:
        group, duties = _IdleGroup(RANKS), _Duties()
        late_releases = 0

        def choose_delivery(name: str, rank: int) -> str:
            nonlocal late_releases
            if name == "release" and not late_releases:
                late_releases += 1
                return "delayed"
            if is_same_planner and name == "arm" and rank == RANKS - 1 and not late_releases:
                return "lost"
            return "delivered"

        group.choose_delivery = choose_delivery
        planner = _make_planner(group, duties)
        task = asyncio.ensure_future(planner.run())
        await _wait_until(lambda: late_releases > 0 and group.ranks[0].held is None)
        if not is_same_planner:
            await _wait_until(lambda: bool(duties.stored))
            task.cancel()
            duties.held = 2
            planner = _make_planner(group, duties)
            planner.set_stored_demand(duties.stored[-1].demand)
            task = asyncio.ensure_future(planner.run())
        armed_at: list[int] = []

        def execute_release_late(name: str, rank: int) -> None:
            armed = group.ranks[0].armed
            if name == "arm" and rank == RANKS - 1 and armed is not None and not armed_at:
                armed_at.append(armed[1])
                group.execute_delayed(random.Random(1))
                group.run_passes_to(armed[1])

        group.on_order = execute_release_late
        await _wait_until(lambda: bool(armed_at) and planner.changes > 0)
        group.run_passes_to(armed_at[0])
        task.cancel()
        assert group.step == armed_at[0]
        assert len({rank.version for rank in group.ranks}) == 1

    async def run_in_time() -> None:
        async with asyncio.timeout(20):
            await run()

    asyncio.run(run_in_time())


def test_version_of_an_abandoned_switch_names_one_map() -> None:
    """Guards against a version that names two maps, of which a rank may take the older one."""

    async def scenario(planner: GroupPlanner, group: _CountingGroup, duties: _Duties) -> None:
        maps: dict[int, set[object]] = {}
        prepare = group.prepare

        async def record_and_prepare(rank: int, version: int, *args: Any) -> OrderReply:
            maps.setdefault(version, set()).add(args[0])
            return await prepare(rank, version, *args)

        group.prepare = record_and_prepare  # type: ignore[method-assign]
        lost = ["arm"] * ORDER_ATTEMPTS
        group.choose_delivery = lambda name, rank: (
            "lost" if rank == 0 and name == "arm" and lost and lost.pop() else "delivered"
        )
        await _wait_until(lambda: planner.changes >= 1)
        assert not lost
        assert [len(found) for found in maps.values()] == [1] * len(maps)

    _run(scenario)


@pytest.mark.parametrize("demand", [(), ((),), ((1,) * (EXPERTS - 1),), ((0,) * EXPERTS,)])
def test_stored_demand_of_another_shape_is_ignored(demand: tuple[tuple[int, ...], ...]) -> None:
    """Guards against a planner that fails in each round by a plan it has read."""

    async def scenario(planner: GroupPlanner, group: _CountingGroup, duties: _Duties) -> None:
        planner.set_stored_demand(demand)
        await _wait_until(lambda: planner.changes >= 1)

    _run(scenario)


def test_planner_without_duty_sends_no_orders() -> None:
    async def scenario(planner: GroupPlanner, group: _CountingGroup, duties: _Duties) -> None:
        duties.held = None
        planner.holder = lambda: "another"
        orders = len(group.orders)
        for _ in range(20):
            planner.record_vacancy()
            await asyncio.sleep(0)
        assert len(group.orders) == orders

    _run(scenario)


def test_failed_task_is_logged_and_restarted(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(tasks, "RESTART_PAUSE_S", 0)
    runs = []

    async def run() -> None:
        runs.append(1)
        if len(runs) < 3:
            raise KeyError("unexpected")

    async def scenario() -> None:
        await tasks.keep_running("test", run)

    asyncio.run(scenario())
    assert len(runs) == 3
    assert caplog.text.count("event=task_failed task=test") == 2


def test_pressed_terms_remain_after_passes_shorten() -> None:
    """Short passes between two demand shifts do not end the pressed terms early.

    Counts show a shift before passes do, so rounds must stay frequent.
    """

    async def scenario(planner: GroupPlanner, group: _CountingGroup, duties: _Duties) -> None:
        now_s = asyncio.get_running_loop().time()
        normal, pressed = PlanTerms(4.0, 0.3, 0.0), PlanTerms(0.5, 0.1, 0.0)
        planner.policy = PlanPolicy(normal, pressed, 0.5, 0.5, memory=0, copy_s=1.0)
        planner.pause_objective_s = lambda: 0.1
        assert planner._select_terms() is normal
        for _ in range(10):
            planner.pass_times.record_pause(0.04)
        assert planner._select_terms() is normal
        for _ in range(10):
            planner.pass_times.record_pause(0.09)
        assert planner._select_terms() is pressed
        planner.pass_times._pieces.clear()
        assert planner._select_terms() is pressed
        planner._pressed_until_s = now_s
        assert planner._select_terms() is normal

    _run(scenario)


@pytest.mark.parametrize(
    ("pass_s", "objective_s", "is_pressed"),
    [(None, 0.12, False), (0.05, 0.12, False), (0.06, 0.12, True), (0.2, 0.0, False)],
)
def test_long_passes_select_the_pressed_terms(
    pass_s: float | None, objective_s: float, is_pressed: bool
) -> None:
    pressed = PlanTerms(interval_s=1.0, begin_gain=0.1, copy_price_mb=0.0)
    policy = PlanPolicy(TERMS, pressed, 0.5, sampled_share=0.1, memory=0.5, copy_s=1.0)
    assert policy.is_pressing(pass_s, objective_s) == is_pressed
