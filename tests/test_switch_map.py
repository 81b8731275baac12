"""Prove that a group switches its map at all ranks in one step, or at none."""

from __future__ import annotations

import asyncio
import random

import pytest

from dalehollow.groups import switch
from dalehollow.groups.ranks import OrderReply
from dalehollow.groups.switch import Proposal, SwitchOutcome, settle_switch, switch_map
from tests.fake_ranks import FakeGroup, MapsDifferError

RANKS = 4
WORLDS = 1_500
CURRENT = (tuple((rank,) for rank in range(RANKS)),)


@pytest.fixture(autouse=True)
def _no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(switch, "RETRY_PAUSE_S", 0)


class _Killed(BaseException):
    """End a planner at one of its orders."""


def _play(seed: int, *, kill_at: int | None = None, tries: int = 4) -> tuple[FakeGroup, str]:
    """Play a switch, passes and late orders in one random order; a second planner follows."""
    rng = random.Random(seed)
    weights = {"taken": rng.choice([1, 3, 6]), "lost": 1, "late": 1, "deaf": 1}

    def fate(name: str, rank: int) -> str:
        return rng.choices(list(weights), list(weights.values()))[0]

    group = FakeGroup(RANKS, fate)
    count = 0

    def on_order(name: str, rank: int) -> None:
        nonlocal count
        count += 1
        if kill_at is not None and count == kill_at:
            raise _Killed
        while rng.random() < 0.5:
            if rng.random() < 0.5:
                group.carry_out_late(rng)
            else:
                group.run_pass()

    async def run() -> str:
        version = 1_000_001
        for rank in range(RANKS):
            for _ in range(20):
                if await group.prepare(rank, version, CURRENT, 1) is OrderReply.TAKEN:
                    break
        group.on_order = on_order
        outcome = "killed"
        try:
            proposal = Proposal(version, group.step + rng.randint(1, 6), 1, CURRENT)
            outcome = await switch_map(group, range(RANKS), proposal)
        except _Killed:
            pass
        group.on_order = None
        for fence in range(2, 2 + tries):
            for _ in range(rng.randint(0, 3)):
                group.run_pass()
            reports = {r: await group.read_report(r) for r in range(RANKS)}
            sure = await settle_switch(group, reports, CURRENT, fence * 1_000_000)  # type: ignore[arg-type]
            if sure and not any(r.held for r in group.ranks):
                break
        while group.late:
            group.run_pass()
            group.carry_out_late(rng)
        return outcome

    outcome = asyncio.run(run())
    for _ in range(20):
        group.run_pass()
    return group, outcome


def test_lost_and_late_orders_never_split_the_group() -> None:
    outcomes = {_play(seed)[1] for seed in range(WORLDS)}
    assert {SwitchOutcome.SWITCHED, SwitchOutcome.TOO_LATE} <= outcomes


def test_a_planner_that_ends_at_any_order_never_splits_the_group() -> None:
    for kill_at in range(1, 16):
        for seed in range(WORLDS // 15):
            _play(seed, kill_at=kill_at)


def _play_two(seed: int) -> None:
    """Play a planner that is paused at a random order while its successor settles, then goes on."""
    rng = random.Random(seed)
    weights = {"taken": rng.choice([2, 6]), "lost": 1, "late": 1, "deaf": 1}
    group = FakeGroup(
        RANKS, lambda name, rank: rng.choices(list(weights), list(weights.values()))[0]
    )
    pause_at, resume_after = rng.randint(1, 14), rng.randint(1, 30)
    resumed = asyncio.Event()
    given = {"first": 0, "second": 0}

    class First:
        """Pass the first planner's orders on, with one long pause."""

        def __getattr__(self, name: str) -> object:
            async def order(*args: object) -> OrderReply:
                given["first"] += 1
                if given["first"] == pause_at:
                    await resumed.wait()
                await asyncio.sleep(0)
                return await getattr(group, name)(*args)  # type: ignore[no-any-return]

            return order

    class Second:
        """Pass the second planner's orders on; the first wakes in their midst."""

        def __getattr__(self, name: str) -> object:
            async def order(*args: object) -> OrderReply:
                given["second"] += 1
                if given["second"] >= resume_after:
                    resumed.set()
                for _ in range(rng.randint(0, 3)):
                    await asyncio.sleep(0)
                if rng.random() < 0.3:
                    group.run_pass()
                if rng.random() < 0.2:
                    group.carry_out_late(rng)
                return await getattr(group, name)(*args)  # type: ignore[no-any-return]

            return order

    async def run() -> None:
        version = 1_000_001
        for rank in range(RANKS):
            for _ in range(30):
                if await group.prepare(rank, version, CURRENT, 1) is OrderReply.TAKEN:
                    break
        proposal = Proposal(version, group.step + rng.randint(1, 5), 1, CURRENT)
        first = asyncio.ensure_future(switch_map(First(), range(RANKS), proposal))  # type: ignore[arg-type]
        while given["first"] < pause_at and not first.done():
            await asyncio.sleep(0)
        reports = {r: await group.read_report(r) for r in range(RANKS)}
        await settle_switch(Second(), reports, CURRENT, 2_000_000)  # type: ignore[arg-type]
        resumed.set()
        await first
        while group.late:
            group.run_pass()
            group.carry_out_late(rng)
        for _ in range(20):
            group.run_pass()

    asyncio.run(run())


def test_a_paused_planner_that_wakes_beside_its_successor_never_splits_the_group() -> None:
    for seed in range(WORLDS):
        _play_two(seed)


def test_without_a_hold_of_its_own_the_successor_splits_the_group(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    real_hold = switch._hold

    async def pretend(port, ranks, proposal):  # type: ignore[no-untyped-def]
        if type(port).__name__ == "Second":
            return [], True, False
        return await real_hold(port, ranks, proposal)

    monkeypatch.setattr(switch, "_hold", pretend)
    with pytest.raises(MapsDifferError):
        for seed in range(WORLDS * 4):
            _play_two(seed)


def test_without_the_hold_the_group_is_split(monkeypatch: pytest.MonkeyPatch) -> None:
    """Show that the proof would see a fault: arms alone are taken by some ranks only."""

    async def pretend(port, ranks, proposal):  # type: ignore[no-untyped-def]
        return [], True, False

    monkeypatch.setattr(switch, "_hold", pretend)
    with pytest.raises(MapsDifferError):
        for seed in range(WORLDS):
            _play(seed)


def test_without_taking_back_the_group_is_split(monkeypatch: pytest.MonkeyPatch) -> None:
    async def pretend(*args: object) -> bool:
        return True

    monkeypatch.setattr(switch, "_disarm_all", pretend)
    with pytest.raises(MapsDifferError):
        for seed in range(WORLDS):
            _play(seed)


def test_in_the_ordinary_course_nothing_waits() -> None:
    group = FakeGroup(RANKS)

    async def run() -> SwitchOutcome:
        for rank in range(RANKS):
            await group.prepare(rank, 5, CURRENT, 1)
        return await switch_map(group, range(RANKS), Proposal(5, group.step + 3, 1, CURRENT))

    assert asyncio.run(run()) is SwitchOutcome.SWITCHED
    assert all(group.run_pass() for _ in range(5))
    assert {rank.version for rank in group.ranks} == {5}


def test_a_group_of_another_epoch_is_left_alone() -> None:
    group = FakeGroup(RANKS)

    async def run() -> SwitchOutcome:
        for rank in range(RANKS):
            await group.prepare(rank, 5, CURRENT, 1)
        group.epoch = 2
        return await switch_map(group, range(RANKS), Proposal(5, group.step + 3, 1, CURRENT))

    assert asyncio.run(run()) is SwitchOutcome.TOO_LATE
    assert {rank.version for rank in group.ranks} == {0}
