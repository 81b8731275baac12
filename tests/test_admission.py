"""Test which requests are admitted, queued or refused."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from dalehollow.gateway import admission as admission_module
from dalehollow.gateway.admission import Admission, AdmissionRefusal, AdmissionRequest
from dalehollow.gateway.health import GroupHealth
from dalehollow.gateway.listed import ListedUpstream
from dalehollow.gateway.upstream import Upstream
from dalehollow.gateway.upstreams import UpstreamSet
from tests.virtual_time import VirtualTimeLoop, run_virtual

SLOTS = 2


def _make_request(
    *, priority: int = 5, time_left_s: float = 8.0, objective_s: float = 40.0
) -> AdmissionRequest:
    # The objective is long enough that no wait times out during a test.
    return AdmissionRequest("talk", priority, objective_s, time_left_s, time_left_s)


class _AdmissionBench:
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

    async def acquire(self, **changes: object) -> Upstream | AdmissionRefusal:
        return await self.admission.acquire(_make_request(**changes), ())  # type: ignore[arg-type]

    async def wait(self, **changes: object) -> asyncio.Task[Upstream | AdmissionRefusal]:
        task = asyncio.ensure_future(self.acquire(**changes))
        await asyncio.sleep(0)
        return task


def _run(scenario: Callable[[_AdmissionBench], Awaitable[None]], upstreams: int = 1) -> None:
    async def run() -> None:
        async with asyncio.timeout(10):
            await scenario(_AdmissionBench(upstreams))

    asyncio.run(run())


def test_slots_limit_requests_in_flight() -> None:
    async def scenario(bench: _AdmissionBench) -> None:
        taken = [await bench.acquire() for _ in range(2 * SLOTS)]
        loads = [u.in_flight for u in bench.upstreams]
        assert loads == [SLOTS, SLOTS]
        assert all(isinstance(u, Upstream) for u in taken)
        waiting = await bench.wait()
        assert not waiting.done()
        waiting.cancel()

    _run(scenario, upstreams=2)


def test_requests_of_other_gateways_occupy_slots() -> None:
    async def scenario(bench: _AdmissionBench) -> None:
        bench.upstreams.adjust_others("u0", SLOTS)
        waiting = await bench.wait()
        assert not waiting.done()
        bench.upstreams.adjust_others("u0", -1)
        bench.admission.grant()
        assert isinstance(await waiting, Upstream)

    _run(scenario)


def test_a_reported_load_occupies_slots_until_it_expires() -> None:
    async def scenario(bench: _AdmissionBench) -> None:
        (upstream,) = bench.upstreams
        upstream.record_reported_load(SLOTS, bench.now_s)
        assert bench.upstreams.choose("desk", (), bench.now_s) is None
        bench.now_s += 2.5
        assert bench.upstreams.choose("desk", (), bench.now_s) is upstream

    _run(scenario)


def test_urgent_requests_and_caller_retries_go_first() -> None:
    async def scenario(bench: _AdmissionBench) -> None:
        all_acquired = [await bench.acquire() for _ in range(SLOTS)]
        ordinary = await bench.wait(priority=9)
        urgent = await bench.wait(priority=0)
        returned = await bench.wait(priority=9, time_left_s=4.0)
        order = []
        for task, name in ((ordinary, "ordinary"), (urgent, "urgent"), (returned, "returned")):
            task.add_done_callback(lambda _, name=name: order.append(name))  # type: ignore[misc]
        acquired = all_acquired[0]
        assert isinstance(acquired, Upstream)
        for _ in range(3):
            bench.admission.release(acquired)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        assert order == ["returned", "urgent", "ordinary"]

    _run(scenario)


def test_a_caller_that_disconnects_leaves_the_queue() -> None:
    async def scenario(bench: _AdmissionBench) -> None:
        all_acquired = [await bench.acquire() for _ in range(SLOTS)]
        waiting = await bench.wait()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert bench.admission.waiting == []
        assert isinstance(all_acquired[0], Upstream)
        bench.admission.release(all_acquired[0])
        assert sum(u.in_flight for u in bench.upstreams) == SLOTS - 1

    _run(scenario)


def test_a_slot_released_while_a_caller_disconnects_is_not_lost() -> None:
    async def scenario(bench: _AdmissionBench) -> None:
        all_acquired = [await bench.acquire() for _ in range(SLOTS)]
        leaving, staying = await bench.wait(), await bench.wait()
        leaving.cancel()
        acquired = all_acquired[0]
        assert isinstance(acquired, Upstream)
        # Release the slot before the cancelled task has run.
        bench.admission.release(acquired)
        assert isinstance(await staying, Upstream)
        await asyncio.gather(leaving, return_exceptions=True)
        assert sum(u.in_flight for u in bench.upstreams) == SLOTS

    _run(scenario)


def test_a_slot_granted_as_the_wait_times_out_is_not_lost() -> None:
    """Guards against slots that stay occupied for good after a wait has timed out."""

    async def scenario() -> None:
        bench, loop = _AdmissionBench(), asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        all_acquired = [await bench.acquire() for _ in range(SLOTS)]
        waiting = await bench.wait(objective_s=1.0)
        acquired = all_acquired[0]
        assert isinstance(acquired, Upstream)
        loop.call_at(loop.time() + 0.9, bench.admission.release, acquired)
        loop.call_at(loop.time() + 0.5, loop.stand_still, 1.0)
        granted = await waiting
        assert isinstance(granted, Upstream)
        bench.admission.release(granted)
        assert sum(u.in_flight for u in bench.upstreams) == SLOTS - 1

    run_virtual(scenario())


def test_a_refusal_of_a_waiting_request_as_its_wait_times_out_keeps_its_reason() -> None:
    async def scenario() -> None:
        bench, loop = _AdmissionBench(), asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        for _ in range(SLOTS):
            await bench.acquire()
        waiting = await bench.wait(objective_s=1.0)
        loop.call_at(loop.time() + 0.9, bench.admission.refuse_crashing, lambda names: 10.0)
        loop.call_at(loop.time() + 0.5, loop.stand_still, 1.0)
        refused = await waiting
        assert isinstance(refused, AdmissionRefusal)
        assert refused.reason == admission_module.CRASHES_UPSTREAMS

    run_virtual(scenario())


def test_a_request_with_too_long_an_expected_wait_is_refused_immediately() -> None:
    async def scenario(bench: _AdmissionBench) -> None:
        for _ in range(SLOTS):
            await bench.acquire()
        refused = await bench.acquire(objective_s=0.001)
        assert isinstance(refused, AdmissionRefusal)
        assert 0 < refused.retry_after_s <= 8.0 / 3

    _run(scenario)


def test_retry_after_times_are_spread() -> None:
    async def scenario(bench: _AdmissionBench) -> None:
        for _ in range(SLOTS):
            await bench.acquire()
        times = [await bench.acquire(objective_s=0.001) for _ in range(5)]
        afters = [t.retry_after_s for t in times if isinstance(t, AdmissionRefusal)]
        assert len(set(afters)) == 5

    _run(scenario)


def test_a_broken_group_is_probed_and_refuses_the_rest() -> None:
    async def scenario(bench: _AdmissionBench) -> None:
        bench.health.record_refused("desk", bench.now_s)
        probe, refused = await bench.acquire(), await bench.acquire()
        assert isinstance(probe, Upstream)
        assert isinstance(refused, AdmissionRefusal)
        assert refused.reason == "group_broken"
        assert refused.retry_after_s == pytest.approx(
            8.0 * admission_module.RETRY_AFTER_TIME_LEFT_SHARE
        )
        bench.health.record_served("desk", bench.now_s + 0.1)
        assert isinstance(await bench.acquire(), Upstream)

    _run(scenario)


def test_the_maximum_wait_depends_on_the_answer_latency() -> None:
    """A wait of a fixed share of the objective is too long for slow upstreams, else too short."""

    async def scenario(bench: _AdmissionBench) -> None:
        for _ in range(SLOTS):
            await bench.acquire()
        request = _make_request(objective_s=0.02)
        bench.admission._completion_interval_s = 0.001
        bench.admission.record_answer_latency(0.03)
        assert bench.admission._max_wait_s(request, False) == 0.0
        refused = await bench.acquire(objective_s=0.02)
        assert isinstance(refused, AdmissionRefusal) and refused.reason == "no_place_in_time"
        for _ in range(100):
            bench.admission.record_answer_latency(0.005)
        assert bench.admission._max_wait_s(request, False) == pytest.approx(0.015, abs=0.001)

    _run(scenario)


def test_waiting_requests_are_refused_once_all_upstreams_are_in_backoff() -> None:
    async def scenario(bench: _AdmissionBench) -> None:
        for _ in range(2 * SLOTS):
            await bench.acquire()
        waiting = [await bench.wait() for _ in range(3)]
        first, second = bench.upstreams
        first.start_backoff(3.0, bench.now_s)
        bench.admission.grant()
        assert len(bench.admission.waiting) == 3
        second.start_backoff(1.0, bench.now_s)
        bench.admission.grant()
        for task in waiting:
            refused = await task
            assert isinstance(refused, AdmissionRefusal)
            assert refused.reason == "all_resting"
            # `Retry-After` covers the backoff that ends first and differs between callers.
            assert refused.retry_after_s >= 1.0
        assert bench.admission.waiting == []

    _run(scenario, upstreams=2)


def test_a_request_that_has_tried_all_upstreams_is_refused_immediately() -> None:
    async def scenario(bench: _AdmissionBench) -> None:
        refused = await bench.admission.acquire(_make_request(), ("u0", "u1"))
        assert isinstance(refused, AdmissionRefusal)
        assert refused.reason == "all_tried"

    _run(scenario, upstreams=2)


def test_a_waiting_retry_does_not_block_first_attempts() -> None:
    async def scenario(bench: _AdmissionBench) -> None:
        all_acquired = [await bench.acquire() for _ in range(2 * SLOTS)]
        again = asyncio.ensure_future(bench.admission.acquire(_make_request(priority=0), ("u0",)))
        await asyncio.sleep(0)
        first = await bench.wait(priority=9)
        acquired = next(
            p for p in all_acquired if isinstance(p, Upstream) and p.listed.incarnation == "u0"
        )
        bench.admission.release(acquired)
        granted = await first
        assert isinstance(granted, Upstream) and granted.listed.incarnation == "u0"
        assert not again.done()
        again.cancel()

    _run(scenario, upstreams=2)
