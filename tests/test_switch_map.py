"""Test that a group switches its map on all ranks in the same step, or on none."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from dalehollow.groups import switch
from dalehollow.groups.holds import HoldLedger, HoldRecord, HoldRecordChange
from dalehollow.groups.ranks import OrderReply
from dalehollow.groups.switch import Proposal, SwitchOutcome, abort_unfinished_switch, switch_map
from tests.fake_ranks import FakeGroup, MapsDifferError

RANKS = 4
RUNS = 1_500
CURRENT = (tuple((rank,) for rank in range(RANKS)),)


@pytest.fixture(autouse=True)
def _no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(switch, "RETRY_PAUSE_S", 0)


class _HoldStore:
    """Keep the record of holds that successive planners share."""

    def __init__(self) -> None:
        self.record = HoldRecord()

    async def update(self, change: HoldRecordChange) -> bool:
        changed = change(self.record)
        self.record = changed or self.record
        return changed is not None

    def open(self, epoch: int = 1) -> HoldLedger:
        """Return the ledger of a further planner."""
        return HoldLedger(epoch, self.update)


class _Killed(BaseException):
    """Kill a planner at one of its orders."""


def _run_random_switch(
    seed: int, *, kill_at: int | None = None, planners: int = 4, lost_reports: float = 0.0
) -> tuple[FakeGroup, str]:
    """Run a switch with random passes and late orders, followed by further planners.

    `lost_reports` is the share of reports that the further planners do not get.
    """
    rng, report_rng = random.Random(seed), random.Random(seed)
    weights = {"delivered": rng.choice([1, 3, 6]), "lost": 1, "delayed": 1, "reply_lost": 1}

    def choose_delivery(name: str, rank: int) -> str:
        return rng.choices(list(weights), list(weights.values()))[0]

    group, store = FakeGroup(RANKS, choose_delivery), _HoldStore()
    count = 0

    def on_order(name: str, rank: int) -> None:
        nonlocal count
        count += 1
        if kill_at is not None and count == kill_at:
            raise _Killed
        while rng.random() < 0.5:
            if rng.random() < 0.5:
                group.execute_delayed(rng)
            else:
                group.run_pass()

    async def run() -> str:
        version = 1_000_001
        for rank in range(RANKS):
            for _ in range(20):
                if await group.prepare(rank, version, CURRENT, 1) is OrderReply.ACCEPTED:
                    break
        group.on_order = on_order
        outcome = "killed"
        try:
            proposal = Proposal(version, version + 1, group.step + rng.randint(1, 6), 1, CURRENT)
            outcome = await switch_map(group, range(RANKS), proposal, store.open())
        except _Killed:
            pass
        group.on_order = None
        for fence in range(2, 2 + planners):
            for _ in range(rng.randint(0, 3)):
                group.run_pass()
            known = [r for r in range(RANKS) if report_rng.random() >= lost_reports]
            reports = {r: await group.read_report(r) for r in known}
            is_clean = await abort_unfinished_switch(
                group, reports, CURRENT, fence * 1_000_000, store.open()
            )
            if is_clean and not any(r.held for r in group.ranks):
                break
        while group.delayed:
            group.run_pass()
            group.execute_delayed(rng)
        return outcome

    outcome = asyncio.run(run())
    for _ in range(20):
        group.run_pass()
    return group, outcome


def test_lost_and_late_orders_never_split_the_group() -> None:
    outcomes = {_run_random_switch(seed)[1] for seed in range(RUNS)}
    assert {SwitchOutcome.SWITCHED, SwitchOutcome.TOO_LATE} <= outcomes


def test_planner_killed_at_any_order_never_splits_the_group() -> None:
    for kill_at in range(1, 16):
        for seed in range(RUNS // 15):
            _run_random_switch(seed, kill_at=kill_at)


@pytest.mark.parametrize("lost_reports", [0.2, 0.6])
def test_successor_without_all_reports_never_splits_the_group(lost_reports: float) -> None:
    """Guards against a hold that is released while a rank without a report is armed."""
    for kill_at in range(1, 16):
        for seed in range(RUNS // 15):
            _run_random_switch(seed, kill_at=kill_at, lost_reports=lost_reports)


def _run_paused_planner(seed: int) -> None:
    """Pause a planner at a random order while its successor cleans up, then resume it."""
    rng = random.Random(seed)
    weights = {"delivered": rng.choice([2, 6]), "lost": 1, "delayed": 1, "reply_lost": 1}
    group = FakeGroup(
        RANKS, lambda name, rank: rng.choices(list(weights), list(weights.values()))[0]
    )
    pause_at, resume_after = rng.randint(1, 14), rng.randint(1, 30)
    resumed, store = asyncio.Event(), _HoldStore()
    order_counts = {"first": 0, "second": 0}

    class First:
        """Forward the first planner's orders, with one long pause."""

        def __getattr__(self, name: str) -> object:
            async def order(*args: object) -> OrderReply:
                order_counts["first"] += 1
                if order_counts["first"] == pause_at:
                    await resumed.wait()
                await asyncio.sleep(0)
                return await getattr(group, name)(*args)  # type: ignore[no-any-return]

            return order

    class Second:
        """Forward the second planner's orders, and resume the first planner among them."""

        def __getattr__(self, name: str) -> object:
            async def order(*args: object) -> OrderReply:
                order_counts["second"] += 1
                if order_counts["second"] >= resume_after:
                    resumed.set()
                for _ in range(rng.randint(0, 3)):
                    await asyncio.sleep(0)
                if rng.random() < 0.3:
                    group.run_pass()
                if rng.random() < 0.2:
                    group.execute_delayed(rng)
                return await getattr(group, name)(*args)  # type: ignore[no-any-return]

            return order

    async def run() -> None:
        version = 1_000_001
        for rank in range(RANKS):
            for _ in range(30):
                if await group.prepare(rank, version, CURRENT, 1) is OrderReply.ACCEPTED:
                    break
        proposal = Proposal(version, version + 1, group.step + rng.randint(1, 5), 1, CURRENT)
        first = asyncio.ensure_future(switch_map(First(), range(RANKS), proposal, store.open()))  # type: ignore[arg-type]
        while order_counts["first"] < pause_at and not first.done():
            await asyncio.sleep(0)
        reports = {r: await group.read_report(r) for r in range(RANKS)}
        await abort_unfinished_switch(Second(), reports, CURRENT, 2_000_000, store.open())  # type: ignore[arg-type]
        resumed.set()
        await first
        while group.delayed:
            group.run_pass()
            group.execute_delayed(rng)
        for _ in range(20):
            group.run_pass()

    asyncio.run(run())


def test_planner_resumed_beside_its_successor_never_splits_the_group() -> None:
    for seed in range(RUNS):
        _run_paused_planner(seed)


def test_successor_without_its_own_hold_splits_the_group(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original_hold = switch._hold

    async def skip(port, ranks, proposal, holds):  # type: ignore[no-untyped-def]
        if type(port).__name__ == "Second":
            return [], True, False
        return await original_hold(port, ranks, proposal, holds)

    monkeypatch.setattr(switch, "_hold", skip)
    with pytest.raises(MapsDifferError):
        for seed in range(RUNS * 4):
            _run_paused_planner(seed)


def test_switch_without_a_hold_splits_the_group(monkeypatch: pytest.MonkeyPatch) -> None:
    """Show that the test detects a missing hold: only some ranks execute their arms in time."""

    async def skip(port, ranks, proposal, holds):  # type: ignore[no-untyped-def]
        return [], True, False

    monkeypatch.setattr(switch, "_hold", skip)
    with pytest.raises(MapsDifferError):
        for seed in range(RUNS):
            _run_random_switch(seed)


def test_switch_without_disarming_splits_the_group(monkeypatch: pytest.MonkeyPatch) -> None:
    async def skip(*args: object) -> bool:
        return True

    monkeypatch.setattr(switch, "_disarm_all", skip)
    with pytest.raises(MapsDifferError):
        for seed in range(RUNS):
            _run_random_switch(seed)


def test_ranks_with_other_holds_do_not_show_that_the_step_has_started() -> None:
    """Guards against an abort that releases a partly armed group without disarming it."""
    group, holds = FakeGroup(RANKS), _HoldStore().open()

    async def run() -> bool:
        step = group.step + 1
        for rank in range(RANKS):
            await group.prepare(rank, 5, CURRENT, 1)
        await group.hold(0, step, 1)
        for rank in range(2):
            await group.arm(rank, 5, step, 1)
        reports = {rank: await group.read_report(rank) for rank in range(RANKS)}
        # Executed late, after the reports were read.
        for rank in range(1, RANKS):
            await group.hold(rank, step + 5, 1)
        return await abort_unfinished_switch(group, reports, CURRENT, 1_000_000, holds)  # type: ignore[arg-type]

    is_clean = asyncio.run(run())
    assert not is_clean
    while group.run_pass():
        pass


def test_switch_without_faults_blocks_no_pass() -> None:
    group = FakeGroup(RANKS)

    async def run() -> SwitchOutcome:
        for rank in range(RANKS):
            await group.prepare(rank, 5, CURRENT, 1)
        proposal = Proposal(5, 6, group.step + 3, 1, CURRENT)
        return await switch_map(group, range(RANKS), proposal, _HoldStore().open())

    assert asyncio.run(run()) is SwitchOutcome.SWITCHED
    assert all(group.run_pass() for _ in range(5))
    assert {rank.version for rank in group.ranks} == {5}


def test_group_of_another_epoch_is_not_switched() -> None:
    group = FakeGroup(RANKS)

    async def run() -> SwitchOutcome:
        for rank in range(RANKS):
            await group.prepare(rank, 5, CURRENT, 1)
        group.epoch = 2
        proposal = Proposal(5, 6, group.step + 3, 1, CURRENT)
        return await switch_map(group, range(RANKS), proposal, _HoldStore().open())

    assert asyncio.run(run()) is SwitchOutcome.TOO_LATE
    assert {rank.version for rank in group.ranks} == {0}


def _run_planners_in_turn(seed: int) -> int:
    """Run planners in turn on a group that is mostly idle; return how many maps it switched to.

    Each settles what it finds, switches, and may be killed at one of its orders.
    """
    rng = random.Random(seed)
    weights = {"delivered": rng.choice([2, 6]), "lost": 0.5, "delayed": 2, "reply_lost": 0.5}
    group, store = FakeGroup(RANKS), _HoldStore()
    kill_at = 0

    def on_order(name: str, rank: int) -> None:
        nonlocal kill_at
        kill_at -= 1
        if kill_at == 0:
            raise _Killed
        while rng.random() < 0.4:
            group.execute_delayed(rng) if rng.random() < 0.7 else group.run_pass()

    async def plan(fence: int) -> None:
        holds, version = store.open(), fence * 1_000_000
        reports = {rank: await group.read_report(rank) for rank in range(RANKS)}
        if not await abort_unfinished_switch(group, reports, CURRENT, version, holds):  # type: ignore[arg-type]
            return
        replies = [await group.prepare(r, version + 1, CURRENT, 1) for r in range(RANKS)]
        if any(reply is not OrderReply.ACCEPTED for reply in replies):
            return
        step = await holds.find_step(range(RANKS), group.step + rng.randint(1, 3))
        if step is not None:
            proposal = Proposal(version + 1, version + 2, step, 1, CURRENT)
            await switch_map(group, range(RANKS), proposal, holds)

    async def run() -> None:
        nonlocal kill_at
        group.on_order = on_order
        group.choose_delivery = lambda name, rank: rng.choices(list(weights), weights.values())[0]
        for fence in range(1, 9):
            kill_at = rng.choice([0, rng.randint(1, 30)])
            with contextlib.suppress(_Killed):
                await plan(fence)
        while group.delayed:
            group.run_pass()
            group.execute_delayed(rng)

    asyncio.run(run())
    for _ in range(20):
        group.run_pass()
    return group.ranks[0].version


def test_late_orders_of_earlier_planners_never_split_the_group() -> None:
    """Guards against a hold that a release of an earlier planner ends."""
    assert sum(_run_planners_in_turn(seed) > 0 for seed in range(RUNS)) > RUNS / 10


def test_holds_placed_twice_split_the_group(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_HoldStore, "open", lambda self: HoldLedger(1, _HoldStore().update))
    with pytest.raises(MapsDifferError):
        for seed in range(RUNS * 4):
            _run_planners_in_turn(seed)
