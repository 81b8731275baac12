"""Check that an upstream which says in an answer that it leaves gets no new request.

Seen: 2.1 s after an answer with `Server-Leaving: 1`, 10 to 22 of 40 requests reached the upstream.
How: its entry still said that it is ready, and was all that was looked at.
Cause: as with rests, what an upstream says of itself in answers was not kept.
Proof: the entry stays as it is throughout these tests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from standins.server import Way, whole_stream
from tests.gateway_bench import (
    GatewayBench,
    lapse_and_return,
    make_config,
    run_bench,
    say_ready_again,
)

ASKED = 20
LEAVING = (b"server-leaving", b"1")


async def _make_leave(bench: GatewayBench, path: str, *ways: Way) -> None:
    """Have the one upstream say that it leaves in its answer to one request."""
    await bench.apply(make_config())
    leaving = await bench.add_server("s0", *ways)
    leaving.says = [LEAVING]
    await bench.ask(path)


async def _count_reached(bench: GatewayBench) -> int:
    before = len(bench.servers["s0"].seen)
    for _ in range(ASKED):
        await bench.ask("/read/1")
    return len(bench.servers["s0"].seen) - before


def test_an_upstream_that_says_it_leaves_gets_no_new_request() -> None:
    answers = (("/read/0", Way.WELL), ("/stream/0", Way.WELL), ("/pay/0", Way.ERROR))
    for path, way in (*answers, ("/read/0", Way.REFUSE)):

        async def scenario(bench: GatewayBench, path: str = path, way: Way = way) -> None:
            await _make_leave(bench, path, way)
            await bench.add_server("s1")
            assert await _count_reached(bench) == 0
            assert len(bench.servers["s1"].seen) == ASKED

        run_bench(scenario)


def test_that_it_leaves_binds_where_no_other_upstream_is_there() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _make_leave(bench, "/read/0")
        assert await _count_reached(bench) == 0
        assert (await bench.ask("/read/1")).status == 503

    run_bench(scenario)


def test_the_list_does_not_take_back_that_it_leaves() -> None:
    for happens in (say_ready_again, lapse_and_return):

        async def scenario(
            bench: GatewayBench, happens: Callable[[GatewayBench], Awaitable[None]] = happens
        ) -> None:
            await _make_leave(bench, "/read/0")
            await bench.add_server("s1")
            await happens(bench)
            assert await _count_reached(bench) == 0

        run_bench(scenario)


def test_a_new_start_does_not_leave() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _make_leave(bench, "/read/0")
        bench.servers["s0"].says = []
        bench.list_server("s0", str(bench.read_entry("s0")["address"]), born=7)
        await bench.until(lambda: bench.listed("s0").started_at_ms == 7)
        assert (await bench.ask("/read/1")).status == 200

    run_bench(scenario)


def test_what_it_has_in_hand_goes_on() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        leaving = await bench.add_server("s0")
        leaving.pace_s = 0.02
        stream = asyncio.ensure_future(bench.ask("/stream/1"))
        await leaving.reached.wait()
        leaving.says = [LEAVING]
        await bench.ask("/read/0")
        answer = await stream
        assert answer.is_whole and answer.body == whole_stream()
        assert len(leaving.seen) == 2

    run_bench(scenario)


@pytest.mark.parametrize("value", [b"0", b"", b"true", b"-1", b"11"])
def test_another_value_says_nothing(value: bytes) -> None:
    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        server = await bench.add_server("s0")
        server.says = [(b"server-leaving", value)]
        await bench.ask("/read/0")
        assert await _count_reached(bench) == ASKED

    run_bench(scenario)


@pytest.mark.parametrize("way", [Way.OTHERS_REFUSAL_FIRST, Way.OTHER_SERVER])
def test_what_another_answer_says_binds_nobody(way: Way) -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _make_leave(bench, "/read/0", way)
        bench.servers["s0"].says = []
        await bench.until(lambda: bench.gateway.state.upstreams.of_service("desk") != [])
        (upstream,) = bench.gateway.state.upstreams
        assert upstream.takes_requests(asyncio.get_running_loop().time())

    run_bench(scenario)
