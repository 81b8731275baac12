"""Test which requests are admitted, queued or refused."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from dalehollow.gateway import admission as admission_module
from dalehollow.gateway.admission import Admission, NoPlace, Turn
from dalehollow.gateway.health import GroupHealth
from dalehollow.gateway.listed import ListedUpstream
from dalehollow.gateway.upstream import Upstream
from dalehollow.gateway.upstreams import UpstreamSet

SLOTS = 2


def _turn(*, priority: int = 5, time_left_s: float = 8.0, objective_s: float = 40.0) -> Turn:
    # The objective is long enough that no wait times out during a test.
    return Turn("talk", priority, objective_s, time_left_s, time_left_s)


class _Desk:
    """Provide one service with upstreams and a manually advanced clock."""

    def __init__(self, upstreams: int = 1) -> None:
        rng = random.Random(7)
        self.now_s = 1000.0
        self.health = GroupHealth()
        self.upstreams = UpstreamSet(rng)
        for number in range(upstreams):
            name = f"u{number}"
            self.upstreams.put(ListedUpstream(name, "desk", name, "hall", SLOTS, False))
        self.admission = Admission(
            "desk", self.upstreams, self.health, rng, clock=lambda: self.now_s
        )

    async def take(self, **changes: object) -> Upstream | NoPlace:
        return await self.admission.take(_turn(**changes), ())  # type: ignore[arg-type]

    async def wait(self, **changes: object) -> asyncio.Task[Upstream | NoPlace]:
        task = asyncio.ensure_future(self.take(**changes))
        await asyncio.sleep(0)
        return task


def _run(scenario: Callable[[_Desk], Awaitable[None]], upstreams: int = 1) -> None:
    async def run() -> None:
        async with asyncio.timeout(10):
            await scenario(_Desk(upstreams))

    asyncio.run(run())


def test_slots_bound_what_is_let_through() -> None:
    async def scenario(desk: _Desk) -> None:
        taken = [await desk.take() for _ in range(2 * SLOTS)]
        loads = [u.in_hand for u in desk.upstreams]
        assert loads == [SLOTS, SLOTS]
        assert all(isinstance(u, Upstream) for u in taken)
        waiting = await desk.wait()
        assert not waiting.done()
        waiting.cancel()

    _run(scenario, upstreams=2)


def test_what_others_have_in_hand_counts() -> None:
    async def scenario(desk: _Desk) -> None:
        desk.upstreams.add_others("u0", SLOTS)
        waiting = await desk.wait()
        assert not waiting.done()
        desk.upstreams.add_others("u0", -1)
        desk.admission.grant()
        assert isinstance(await waiting, Upstream)

    _run(scenario)


def test_a_load_that_nobody_knows_of_counts_for_a_while() -> None:
    async def scenario(desk: _Desk) -> None:
        (upstream,) = desk.upstreams
        upstream.note_reported_load(SLOTS, desk.now_s)
        assert desk.upstreams.choose("desk", (), desk.now_s) is None
        desk.now_s += 2.5
        assert desk.upstreams.choose("desk", (), desk.now_s) is upstream

    _run(scenario)


def test_urgent_requests_and_returned_callers_go_first() -> None:
    async def scenario(desk: _Desk) -> None:
        places = [await desk.take() for _ in range(SLOTS)]
        usual = await desk.wait(priority=9)
        urgent = await desk.wait(priority=0)
        returned = await desk.wait(priority=9, time_left_s=4.0)
        order = []
        for task, name in ((usual, "usual"), (urgent, "urgent"), (returned, "returned")):
            task.add_done_callback(lambda _, name=name: order.append(name))  # type: ignore[misc]
        place = places[0]
        assert isinstance(place, Upstream)
        for _ in range(3):
            desk.admission.release(place)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        assert order == ["returned", "urgent", "usual"]

    _run(scenario)


def test_a_caller_that_leaves_while_it_waits_frees_its_turn() -> None:
    async def scenario(desk: _Desk) -> None:
        places = [await desk.take() for _ in range(SLOTS)]
        waiting = await desk.wait()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert desk.admission.waiting == []
        assert isinstance(places[0], Upstream)
        desk.admission.release(places[0])
        assert sum(u.in_hand for u in desk.upstreams) == SLOTS - 1

    _run(scenario)


def test_a_place_that_comes_as_a_caller_leaves_stays_free() -> None:
    async def scenario(desk: _Desk) -> None:
        places = [await desk.take() for _ in range(SLOTS)]
        leaving, staying = await desk.wait(), await desk.wait()
        leaving.cancel()
        place = places[0]
        assert isinstance(place, Upstream)
        # Release the slot before the cancelled task has run.
        desk.admission.release(place)
        assert isinstance(await staying, Upstream)
        await asyncio.gather(leaving, return_exceptions=True)
        assert sum(u.in_hand for u in desk.upstreams) == SLOTS

    _run(scenario)


def test_a_wait_that_would_be_too_long_is_refused_at_once() -> None:
    async def scenario(desk: _Desk) -> None:
        for _ in range(SLOTS):
            await desk.take()
        refused = await desk.take(objective_s=0.001)
        assert isinstance(refused, NoPlace)
        assert 0 < refused.retry_after_s <= 8.0 / 3

    _run(scenario)


def test_times_to_come_back_are_spread() -> None:
    async def scenario(desk: _Desk) -> None:
        for _ in range(SLOTS):
            await desk.take()
        times = [await desk.take(objective_s=0.001) for _ in range(5)]
        afters = [t.retry_after_s for t in times if isinstance(t, NoPlace)]
        assert len(set(afters)) == 5

    _run(scenario)


def test_a_broken_group_is_probed_and_refuses_the_rest() -> None:
    async def scenario(desk: _Desk) -> None:
        desk.health.note_refused("desk", desk.now_s)
        probe, refused = await desk.take(), await desk.take()
        assert isinstance(probe, Upstream)
        assert isinstance(refused, NoPlace)
        assert refused.reason == "group_broken"
        assert refused.retry_after_s == pytest.approx(
            8.0 * admission_module.RETRY_AFTER_TIME_LEFT_SHARE
        )
        desk.health.note_served("desk", desk.now_s + 0.1)
        assert isinstance(await desk.take(), Upstream)

    _run(scenario)


def test_a_first_try_waits_as_long_as_it_can_still_be_served_in_time() -> None:
    """A wait of a fixed share of the objective is too long for slow upstreams, else too short."""

    async def scenario(desk: _Desk) -> None:
        for _ in range(SLOTS):
            await desk.take()
        turn = _turn(objective_s=0.02)
        desk.admission._completion_interval_s = 0.001
        desk.admission.note_answer_latency(0.03)
        assert desk.admission._max_wait_s(turn, False) == 0.0
        refused = await desk.take(objective_s=0.02)
        assert isinstance(refused, NoPlace) and refused.reason == "no_place_in_time"
        for _ in range(100):
            desk.admission.note_answer_latency(0.005)
        assert desk.admission._max_wait_s(turn, False) == pytest.approx(0.015, abs=0.001)

    _run(scenario)


def test_what_waits_is_refused_once_all_upstreams_rest() -> None:
    async def scenario(desk: _Desk) -> None:
        for _ in range(2 * SLOTS):
            await desk.take()
        waiting = [await desk.wait() for _ in range(3)]
        first, second = desk.upstreams
        first.note_rest(3.0, desk.now_s)
        desk.admission.grant()
        assert len(desk.admission.waiting) == 3
        second.note_rest(1.0, desk.now_s)
        desk.admission.grant()
        for task in waiting:
            refused = await task
            assert isinstance(refused, NoPlace)
            assert refused.reason == "all_resting"
            # `Retry-After` covers the backoff that ends first and differs between callers.
            assert refused.retry_after_s >= 1.0
        assert desk.admission.waiting == []

    _run(scenario, upstreams=2)


def test_what_has_tried_all_others_is_refused_at_once() -> None:
    async def scenario(desk: _Desk) -> None:
        refused = await desk.admission.take(_turn(), ("u0", "u1"))
        assert isinstance(refused, NoPlace)
        assert refused.reason == "all_tried"

    _run(scenario, upstreams=2)


def test_a_second_try_that_finds_no_place_holds_nobody_up() -> None:
    async def scenario(desk: _Desk) -> None:
        places = [await desk.take() for _ in range(2 * SLOTS)]
        again = asyncio.ensure_future(desk.admission.take(_turn(priority=0), ("u0",)))
        await asyncio.sleep(0)
        first = await desk.wait(priority=9)
        place = next(p for p in places if isinstance(p, Upstream) and p.listed.incarnation == "u0")
        desk.admission.release(place)
        granted = await first
        assert isinstance(granted, Upstream) and granted.listed.incarnation == "u0"
        assert not again.done()
        again.cancel()

    _run(scenario, upstreams=2)
