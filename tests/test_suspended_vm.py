"""Test that leases, ages and back-offs include the time for which a VM was suspended.

Guards against a planner that believes after a suspension of seconds that it holds its duty, whose
lease has expired, and against a relay that reports stale state as current. Both follow if time is
measured by a monotonic clock that stops during a suspension, as `read_clock` and the clock of the
event loop did. The tests simulate a suspension by advancing only the clock that includes it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import msgspec
import pytest

from dalehollow.aio import ClientConnection, ConnectError
from dalehollow.clock import BootTimeEventLoop
from dalehollow.gateway import attempt
from dalehollow.gateway.listed import Member
from dalehollow.groups.duty import PlannerLease
from dalehollow.platform.session import Session
from dalehollow.protocol.reports import LoadReport, StoreView, TokenGrant
from standins.metadata import MetadataStandIn
from standins.platform import listen
from tests.fake_keyvalue import FakeKeyValue
from tests.gateway_bench import (
    TIMEOUT_S,
    GatewayBench,
    HeldServer,
    make_config,
    override_attribute,
    run_bench,
)

SUSPENDED_S = 5.0


@contextmanager
def suspended(for_s: float = SUSPENDED_S) -> Iterator[None]:
    """Simulate a past suspension by advancing only the clock that includes suspended time."""
    original_gettime = time.clock_gettime

    def read_advanced(clock: int) -> float:
        return original_gettime(clock) + (for_s if clock == time.CLOCK_BOOTTIME else 0.0)

    with override_attribute(time, "clock_gettime", read_advanced):
        yield


def test_duty_lease_expires_during_a_suspension() -> None:
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


def test_age_of_store_state_includes_a_suspension() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        gateway = bench.gateway
        await bench.wait_until(lambda: gateway._feed.relay_state() is not None)
        age_before_s = gateway._feed.contact.answer_age_s()
        with suspended():
            assert gateway._feed.relay_state() is None
            assert gateway._feed.age_s() >= SUSPENDED_S
            assert gateway._feed.contact.answer_age_s() >= age_before_s + SUSPENDED_S

    run_bench(scenario)


def test_backoffs_and_retry_windows_include_a_suspension() -> None:
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
        assert (await bench.send_request("/read/1")).status == 503

    run_bench(scenario)


def test_a_suspension_does_not_count_as_slowness_of_upstreams() -> None:
    """Guards against refusing callers because answers seemed to take as long as a suspension."""

    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        server = HeldServer("s0")
        await bench.start_server(server, slots=1)
        assert (await bench.send_request("/read/1")).status == 200
        delayed = await server.hold(bench.send_request("/read/2"))
        with suspended(4.0):
            server.release()
            assert (await delayed).status == 200
            current = await server.hold(bench.send_request("/read/3"))
            waiting = asyncio.ensure_future(bench.send_request("/read/4"))
            admission = bench.gateway.state.admission("desk")
            await bench.wait_until(lambda: waiting.done() or bool(admission.waiting))
            server.release()
            assert (await current).status == 200
            assert (await waiting).status == 200

    run_bench(scenario)


@pytest.mark.parametrize("is_suspended", [False, True])
def test_a_timeout_that_passed_in_a_suspension_is_no_failure_of_the_upstream(
    is_suspended: bool,
) -> None:
    """Guards against ejecting upstreams that were connected to when the gateway was suspended."""

    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        await bench.add_server("s0")
        (upstream,) = bench.gateway.state.upstreams
        with ExitStack() as stack:

            async def time_out(address: str, timeout_s: float) -> ClientConnection:
                if is_suspended:
                    stack.enter_context(suspended(4.0))
                raise ConnectError("timed out")

            with override_attribute(attempt, "connect", time_out):
                await bench.send_request("/pay/1")
            is_ejected = upstream.ejected_until_s > asyncio.get_running_loop().time()
        assert is_ejected is not is_suspended

    run_bench(scenario)


def test_messages_read_after_a_suspension_are_as_old_as_it() -> None:
    """Guards against using tokens, and trusting reports, that waited through a suspension."""

    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        await bench.add_server("s0")
        gateway, clock = bench.gateway, asyncio.get_running_loop().time
        await bench.wait_until(lambda: gateway._feed.relay_state() is not None)
        (upstream,) = gateway.state.upstreams
        gateway.state.upstreams.record_limit(upstream, 1.0, clock())
        view = StoreView(revision=0, answer_age_s=0.1, unbroken_s=0.0, era_heard_s=0.0)
        with suspended():
            for message in (
                LoadReport("gw-2", {}, {}, {}, {"s0": (4, 0.1)}, view=view),
                TokenGrant({"s0": 1}),
            ):
                data = msgspec.msgpack.encode(message)
                gateway._reports.datagram_received(data, ("127.0.0.1", 9))
            assert not gateway._tokens.may_send("s0")
            assert gateway._feed.contact.answer_age_s() >= SUSPENDED_S - 1.0
            assert upstream.load(clock()) == 0.0

    run_bench(scenario)
