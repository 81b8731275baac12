"""Check that a VM which was suspended does not take the time before for now.

Seen, by reading: after a suspension of seconds a planner believed that it held its duty, whose
lease had run out long before, and a relay told the others that it knew everything as of now.
How: a suspension is no time on the steady clock, by which leases and ages were counted.
Cause: `read_clock` and the event loop's own clock, read in many places.
Proof: these tests have the two clocks part by moving on the one that counts a suspension.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager

from dalehollow.clock import BootTimeEventLoop
from dalehollow.gateway.listed import Member
from dalehollow.groups.duty import PlannerLease
from dalehollow.platform.session import Session
from standins.metadata import MetadataStandIn
from standins.platform import listen
from tests.fake_keyvalue import FakeKeyValue
from tests.gateway_bench import TIMEOUT_S, GatewayBench, make_config, replaced, run_bench

SUSPENDED_S = 5.0


@contextmanager
def suspended(for_s: float = SUSPENDED_S) -> Iterator[None]:
    """Have a suspension lie behind: the steady clock has not counted it."""
    read = time.clock_gettime

    def read_later(clock: int) -> float:
        return read(clock) + (for_s if clock == time.CLOCK_BOOTTIME else 0.0)

    with replaced(time, "clock_gettime", read_later):
        yield


def test_a_duty_is_over_after_a_suspension() -> None:
    async def run() -> None:
        store = MetadataStandIn()
        session = Session(await listen(store.handle), "a", Member("127.0.0.1:1", "h"))
        assert await session.acquire_duty("g")
        assert session.fence("g") is not None
        with suspended():
            assert session.fence("g") is None
        await session.end()
        duty = PlannerLease(FakeKeyValue(), "duty/g", "a")
        assert duty.advance() is not None
        with suspended(60.0):
            assert duty.fence() is None

    async def run_bounded() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            await run()

    with asyncio.Runner(loop_factory=BootTimeEventLoop) as runner:
        runner.run(run_bounded())


def test_what_is_known_has_aged_after_a_suspension() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        gateway = bench.gateway
        await bench.until(lambda: gateway._feed.relay_state() is not None)
        before_s = gateway._feed.contact.answer_age_s()
        with suspended():
            assert gateway._feed.relay_state() is None
            assert gateway._feed.age_s() >= SUSPENDED_S
            assert gateway._feed.contact.answer_age_s() >= before_s + SUSPENDED_S

    run_bench(scenario)


def test_rests_and_windows_have_moved_on_after_a_suspension() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        await bench.add_server("s0")
        state, clock = bench.gateway.state, asyncio.get_running_loop().time
        (upstream,) = state.upstreams
        upstream.start_backoff(4.0, clock())
        window = state.retry_window("desk")
        taken = 0
        while window.try_take(clock()):
            taken += 1
        assert taken > 0
        with suspended(60.0):
            assert upstream.takes_requests(clock())
            assert window.try_take(clock())
        assert (await bench.ask("/read/1")).status == 503

    run_bench(scenario)
