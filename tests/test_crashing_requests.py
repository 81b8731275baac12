"""Test that gateways stop sending a request that crashes upstreams.

Guards against retrying such a request at one upstream after another: a crash looks like a broken
connection, and the same request with another ID looks like a new one. One request crashed three of
six upstreams and, sent again by its caller, caused 11 more crashes, because gateways did not record
the requests in flight at a crash. In these tests upstreams crash only on one request body.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from dalehollow.aio import CallerConnection, Connections, Limits
from standins.platform import listen
from standins.server import ResponseMode, ServerStandIn
from tests.gateway_bench import GatewayBench, make_config, run_bench

CRASHES = b"crashes"
UPSTREAMS = 6
MAX_ARRIVALS = 6
"""A request may reach upstreams three more times after it has crashed three."""
_LIMITS = Limits(65_536, 65_536, 10.0, 60.0)


async def _add_crashing(bench: GatewayBench) -> None:
    """Start upstreams that crash on one body and restart immediately under the same IDs."""
    await bench.apply(make_config())
    for number in range(UPSTREAMS):
        name, starts = f"s{number}", itertools.count(1)
        server = ServerStandIn(name, crash_body=CRASHES)
        address = await listen(server.handle)
        server.on_crash = _make_restart(bench, name, address, starts)
        bench.servers[name] = server
        bench.list_server(name, address, born=next(starts))
    await bench.wait_until(lambda: len(list(bench.gateway.state.upstreams)) == UPSTREAMS)


def _make_restart(
    bench: GatewayBench, name: str, address: str, starts: itertools.count[int]
) -> Callable[[], None]:
    return lambda: bench.list_server(name, address, born=next(starts))


async def _wait_for_restarts(bench: GatewayBench) -> None:
    """Wait until the gateway knows the last restart of each upstream."""

    def knows(name: str) -> bool:
        return bench.listed(name).started_at_ms == bench.read_entry(name)["born"]

    await bench.wait_until(lambda: all(map(knows, bench.servers)))


def _count_crashes(bench: GatewayBench) -> int:
    return sum(request.body == CRASHES for s in bench.servers.values() for request in s.received)


def test_a_crashing_request_is_refused_after_three_crashes() -> None:
    for path in ("/read/1", "/pay/1", "/stream/1"):

        async def scenario(bench: GatewayBench, path: str = path) -> None:
            await _add_crashing(bench)
            for _ in range(12):
                answer = await bench.send_request(path, body=CRASHES)
                await _wait_for_restarts(bench)
            assert _count_crashes(bench) <= MAX_ARRIVALS
            assert answer.status == 503
            assert answer.head.get(b"retry-after") is not None

        run_bench(scenario)


def test_a_closed_port_counts_as_a_crash() -> None:
    """Guards against crashes after the third while the list still shows upstreams as ready."""

    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        for number in range(UPSTREAMS):
            name = f"s{number}"
            server = ServerStandIn(name, crash_body=CRASHES)
            kept = Connections[CallerConnection]()
            listening = await asyncio.get_running_loop().create_server(
                lambda s=server, k=kept: CallerConnection(s.handle, lambda: _LIMITS, k),
                "127.0.0.1",
                0,
            )
            server.on_crash = listening.close
            port = listening.sockets[0].getsockname()[1]
            bench.servers[name] = server
            bench.list_server(name, f"127.0.0.1:{port}")
        await bench.wait_until(lambda: len(list(bench.gateway.state.upstreams)) == UPSTREAMS)
        for _ in range(UPSTREAMS):
            await bench.send_request("/read/1", body=CRASHES)
        assert _count_crashes(bench) == 3

    run_bench(scenario)


def test_other_requests_of_the_same_caller_and_path_are_served() -> None:
    """Guards against refusing other requests that are in flight at each crash."""

    async def scenario(bench: GatewayBench) -> None:
        await _add_crashing(bench)
        for _ in range(4):
            for server in bench.servers.values():
                server.next_modes, server.request_received = [ResponseMode.HANG], asyncio.Event()
            connections = [await bench.connect() for _ in range(UPSTREAMS)]
            others = [
                asyncio.ensure_future(bench.send_request("/pay/1", connection=c, body=b"harmless"))
                for c in connections
            ]
            for server in bench.servers.values():
                await server.request_received.wait()
            await bench.send_request("/pay/1", body=CRASHES)
            await _wait_for_restarts(bench)
            for task, connection in zip(others, connections, strict=True):
                task.cancel()
                connection.abort()
            for server in bench.servers.values():
                server.next_modes = []
            assert (await bench.send_request("/pay/1", body=b"harmless")).status == 200
            assert (await bench.send_request("/pay/1")).status == 200

    run_bench(scenario)
