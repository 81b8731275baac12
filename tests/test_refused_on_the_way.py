"""Test that a request is refused by what is known before each attempt, not only on arrival.

Guards against sending a request that waited, broke off, was resumed or moved while it became known
that what it has in common with others crashes upstreams.
"""

from __future__ import annotations

import asyncio

import pytest

from dalehollow.aio import ResponseError
from dalehollow.crashes import CrashEvidence, make_fingerprints
from dalehollow.gateway.upstream import MoveReason
from standins.server import ResponseMode, make_prompt_header
from tests.gateway_bench import Answer, GatewayBench, make_config, make_request, run_bench

SHARED_PARTS = ("5c1e07a2", "91bd3f06")
HEADERS = {"X-Prompt-Prefix": make_prompt_header((*SHARED_PARTS, "e4402b7d"))}
LONG_WAIT_MS = 60_000


def _make_culprit(bench: GatewayBench) -> None:
    """Let the gateway learn of three crashes with a part of the prompt in flight."""
    suspects = bench.gateway.state.suspects
    for number in range(3):
        parts = (SHARED_PARTS[1].encode(),)
        fingerprints = make_fingerprints(b"", "", b"%d" % number, parts)
        evidence = CrashEvidence(fingerprints, asyncio.get_running_loop().time())
        suspects.record_crash(f"crash-{number}", [evidence])


async def _start(bench: GatewayBench, path: str) -> asyncio.Task[Answer]:
    return asyncio.ensure_future(bench.send_request(path, headers=HEADERS))


def test_a_waiting_request_is_refused_at_once() -> None:
    async def scenario(bench: GatewayBench) -> None:
        config = make_config()
        routes = [{**r, "targetLatencyMs": LONG_WAIT_MS} for r in config["routes"]]  # type: ignore[attr-defined]
        await bench.apply({**config, "routes": routes})
        server = await bench.add_server("s0", ResponseMode.HANG, slots=1)
        first = asyncio.ensure_future(bench.send_request("/read/1"))
        await server.request_received.wait()
        admission = bench.gateway.state.admission("desk")
        admission._completion_interval_s = 0.0
        second = await _start(bench, "/read/1")
        await bench.wait_until(lambda: bool(admission.waiting))
        _make_culprit(bench)
        answer = await second
        assert answer.status == 503
        assert float(answer.head.get(b"retry-after") or 0) > 10
        assert len(server.received) == 1
        first.cancel()

    run_bench(scenario)


@pytest.mark.parametrize("path", ["/read/1", "/stream/1"])
def test_a_request_that_broke_off_is_not_sent_again(path: str) -> None:
    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        servers = [await bench.add_server(f"s{number}") for number in range(3)]
        for server in servers:
            server.response_delay_s = 0.05
        sent = await _start(bench, path)
        await bench.wait_until(lambda: any(s.runs for s in servers))
        _make_culprit(bench)
        for server in servers:
            server.crash()
        answer = await sent
        assert (answer.status, answer.is_whole) != (200, True)
        assert sum(len(server.received) for server in servers) == 1

    run_bench(scenario)


def test_a_stream_is_not_resumed() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        servers = [await bench.add_server(f"s{number}") for number in range(3)]
        for server in servers:
            server.response_delay_s = 0.05
        connection = await bench.connect()
        connection.send([make_request("/stream/1", 1, HEADERS)])
        assert (await connection.read_head()).status == 200
        assert await connection.read_piece() is not None
        _make_culprit(bench)
        for server in servers:
            server.crash()
        with pytest.raises(ResponseError):
            while await connection.read_piece() is not None:
                pass
        assert sum(len(server.received) for server in servers) == 1

    run_bench(scenario)


@pytest.mark.parametrize("path", ["/read/1", "/stream/1"])
def test_a_request_is_not_moved(path: str) -> None:
    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        servers = [await bench.add_server(f"s{number}") for number in range(3)]
        for server in servers:
            server.response_delay_s = 0.05
        sent = await _start(bench, path)
        await bench.wait_until(lambda: any(s.runs for s in servers))
        _make_culprit(bench)
        for upstream in bench.gateway.state.upstreams:
            for move in list(upstream.moves):
                move.request(MoveReason.RESTARTED)
        answer = await sent
        assert (answer.status, answer.is_whole) != (200, True)
        assert sum(len(server.received) for server in servers) == 1

    run_bench(scenario)


@pytest.mark.parametrize("path", ["/read/1", "/stream/1"])
def test_an_attempt_is_ended_before_its_upstream_begins_to_answer(path: str) -> None:
    """Guards against crashes by requests that wait at upstreams when the third crash is known."""

    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        server = await bench.add_server("s0", ResponseMode.HANG)
        sent = await _start(bench, path)
        await server.request_received.wait()
        _make_culprit(bench)
        await server.handler_cancelled.wait()
        assert (await sent).status == 502
        assert len(server.received) == 1

    run_bench(scenario)


def test_an_attempt_that_must_not_repeat_is_not_ended() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        server = await bench.add_server("s0")
        server.response_delay_s = 0.05
        sent = await _start(bench, "/pay/1")
        await server.request_received.wait()
        _make_culprit(bench)
        assert (await sent).status == 200

    run_bench(scenario)
