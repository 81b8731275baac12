"""Test that gateways together respect the rate limit that an upstream sets with `Server-Limit`.

Guards against sending requests to the least loaded upstream as fast as it answers them: with a
limit of 4 requests/s, 133 reached it in 4 s through one gateway and 140 through three, where 29
are allowed. Gateways ignored the header, and the limit applies to the sum over all gateways, none
of which knows the requests of the others. In these tests other upstreams are available, and all
have free slots.
"""

from __future__ import annotations

import asyncio

import pytest

from dalehollow.aio import CallerConnection, CallerRequest, connect
from soak.signal_promises import count_allowed_in_window, count_max_in_window
from standins.platform import listen
from standins.server import ResponseMode, ServerStandIn
from tests.gateway_bench import (
    TIMEOUT_S,
    GatewayBench,
    make_config,
    make_request,
    read_answer,
    run_bench,
    start_gateway,
)

COUNT_DELAY_S = 0.5
"""Time after the first answer with a limit from which requests are counted."""


class LimitedServer(ServerStandIn):
    """Record the arrival time of each request."""

    def __init__(self, limit: str) -> None:
        super().__init__("s0", extra_headers=[(b"server-limit", limit.encode())])
        self.times_s: list[float] = []

    async def handle(self, caller: CallerConnection, request: CallerRequest) -> None:
        self.times_s.append(asyncio.get_running_loop().time())
        await super().handle(caller, request)

    def list_counted(self) -> list[float]:
        first_s = self.times_s[0]
        return [t for t in self.times_s if t - first_s > COUNT_DELAY_S]


async def _add_limited(bench: GatewayBench, limit: str) -> LimitedServer:
    server = LimitedServer(limit)
    bench.servers["s0"] = server
    bench.list_server("s0", await listen(server.handle))
    await bench.wait_until(lambda: bench.gateway.state.upstreams.find("s0") is not None)
    return server


@pytest.mark.parametrize("limit", ["1.0", "0"])
def test_one_gateway_respects_a_limit(limit: str) -> None:
    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        limited = await _add_limited(bench, limit)
        await bench.send_request("/read/0")
        await bench.add_server("s1")
        loop = asyncio.get_running_loop()
        until_s = loop.time() + 2.0
        while loop.time() < until_s:
            assert (await bench.send_request("/read/1")).status == 200
        assert count_max_in_window(limited.list_counted()) <= count_allowed_in_window(float(limit))

    run_bench(scenario)


def test_three_gateways_together_respect_a_limit() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        others = [await start_gateway(bench.store_address, name) for name in ("gw-2", "gw-3")]
        stopping = asyncio.Event()
        running = [asyncio.ensure_future(gateway.run(stopping)) for gateway in others]
        gateways = [bench.gateway, *others]
        for gateway in others:
            await gateway.listening.wait()
        limited = await _add_limited(bench, "1.0")
        await bench.add_server("s1")
        for gateway in gateways:
            await bench.wait_until(lambda g=gateway: len(list(g.state.upstreams)) == 2)  # type: ignore[misc]
            await bench.wait_until(lambda g=gateway: g.state.table is not None)  # type: ignore[misc]
        loop = asyncio.get_running_loop()
        until_s = loop.time() + 2.5
        number = 0
        while loop.time() < until_s:
            for gateway in gateways:
                number += 1
                connection = await connect(gateway.http, TIMEOUT_S)
                connection.send([make_request("/read/1", number)])
                assert (await read_answer(connection)).status == 200
        assert count_max_in_window(limited.list_counted()) <= count_allowed_in_window(1.0)
        for task in running:
            task.cancel()

    run_bench(scenario)


@pytest.mark.parametrize("way", [ResponseMode.CUT_UNANSWERED, ResponseMode.OTHER_SERVER])
def test_only_an_answer_without_a_limit_removes_it(way: ResponseMode) -> None:
    """Guards against removing a limit after an attempt without an answer of the upstream."""

    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        limited = await _add_limited(bench, "50")
        (upstream,) = bench.gateway.state.upstreams
        await bench.send_request("/open/1")
        assert upstream.reported_state.limit_per_s == 50.0
        limited.next_modes = [way]
        while limited.next_modes:
            # Tokens accrue over time.
            await bench.send_request("/open/1")
        assert upstream.reported_state.limit_per_s == 50.0
        limited.next_modes, limited.extra_headers = [], []
        while (await bench.send_request("/open/1")).status != 200:
            await asyncio.sleep(0.01)
        assert upstream.reported_state.limit_per_s is None

    run_bench(scenario)
