"""Test that gateways respect the backoff that an upstream requests with `Retry-After`.

Guards against sending requests to upstreams that refuse them. A refusal takes a few milliseconds,
so a refusing upstream has no requests in flight and is chosen as the least loaded one, also for
retries. Gateways sent up to 13 further requests within a `Retry-After` of 3 s, and five refusing
ranks of 16 got 73 % of all requests while the others had free slots, because the reported state was
only used for the attempt that received it. The log line of an attempt has the remaining backoff.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable

import pytest

from dalehollow.gateway import upstream
from standins.server import ResponseMode, ServerStandIn
from tests.crash_world import CrashingUpstream
from tests.gateway_bench import (
    HOST,
    Answer,
    GatewayBench,
    delete_and_rewrite_entry,
    make_config,
    override_attribute,
    rewrite_entry,
    run_bench,
)

REST_S = 50
REQUESTS = 20


async def _add_upstreams(bench: GatewayBench, others: int, *, value: str = str(REST_S)) -> Answer:
    """Add upstreams of which the first refuses one request and requests a backoff."""
    await bench.apply(make_config())
    backing_off = await bench.add_server("s0", ResponseMode.REFUSE)
    backing_off.extra_headers = [(b"retry-after", value.encode())]
    answer = await bench.send_request("/read/0")
    for number in range(others):
        await bench.add_server(f"s{number + 1}")
    return answer


async def _ask_repeatedly(bench: GatewayBench, path: str = "/read/1") -> list[Answer]:
    return [await bench.send_request(path) for _ in range(REQUESTS)]


def test_an_upstream_in_backoff_gets_no_requests_while_others_serve() -> None:
    for path, others in itertools.product(("/read/1", "/pay/1", "/stream/1"), (3, 1)):

        async def scenario(bench: GatewayBench, path: str = path, others: int = others) -> None:
            await _add_upstreams(bench, others)
            answers = await _ask_repeatedly(bench, path)
            assert [a.status for a in answers] == [200] * REQUESTS
            assert len(bench.servers["s0"].received) == 1

        run_bench(scenario)


def test_a_backoff_is_respected_without_another_upstream() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _add_upstreams(bench, 0)
        answers = await _ask_repeatedly(bench)
        assert [a.status for a in answers] == [503] * REQUESTS
        assert len(bench.servers["s0"].received) == 1
        waits_s = [float(a.head.get(b"retry-after") or b"0") for a in answers]
        assert min(waits_s) > REST_S / 2

    run_bench(scenario)


def test_a_backoff_ends() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _add_upstreams(bench, 0, value="0.2")
        (backing_off,) = bench.gateway.state.upstreams
        now_s = asyncio.get_running_loop().time
        await bench.wait_until(lambda: not backing_off.backoff_left_s(now_s()))
        assert (await bench.send_request("/read/1")).status == 200

    run_bench(scenario)


def test_a_backoff_is_kept_when_the_list_changes() -> None:
    """Guards against list updates that reset a backoff, which the list does not contain."""
    for update_list in (rewrite_entry, delete_and_rewrite_entry):

        async def scenario(
            bench: GatewayBench,
            update_list: Callable[[GatewayBench], Awaitable[None]] = update_list,
        ) -> None:
            await _add_upstreams(bench, 1)
            await update_list(bench)
            assert {a.status for a in await _ask_repeatedly(bench)} == {200}
            assert len(bench.servers["s0"].received) == 1

        run_bench(scenario)


def test_a_restart_ends_a_backoff() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _add_upstreams(bench, 0)
        bench.list_server("s0", str(bench.read_entry("s0")["address"]), born=7)
        await bench.wait_until(lambda: bench.listed("s0").started_at_ms == 7)
        assert (await bench.send_request("/read/1")).status == 200

    run_bench(scenario)


def test_waiting_requests_are_granted_when_a_backoff_ends() -> None:
    async def scenario(bench: GatewayBench) -> None:
        route = {"host": HOST, "service": "desk", "name": "read", "pathPrefix": "/read/"}
        patient = {**route, "kind": "safe", "timeoutMs": 60_000, "targetLatencyMs": 40_000}
        await _add_upstreams(bench, 0, value="1")
        await bench.apply(make_config(2, routes=[patient]))
        busy = await bench.add_server("s1", slots=1)
        bench.gateway.state.upstreams.adjust_others("s1", 1)
        assert (await bench.send_request("/read/2", deadline_ms=60_000)).status == 200
        assert busy.received == []

    run_bench(scenario)


def test_the_longest_of_several_backoffs_in_an_answer_is_used() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        backing_off = await bench.add_server("s0", ResponseMode.REFUSE)
        backing_off.extra_headers = [
            (b"retry-after", b"0"),
            (b"retry-after", b"50"),
            (b"retry-after", b"x"),
        ]
        await bench.send_request("/read/0")
        assert (await bench.send_request("/read/1")).status == 503
        assert len(backing_off.received) == 1

    run_bench(scenario)


@pytest.mark.parametrize("value", ["nan", "1e309", "-1"])
def test_an_invalid_backoff_is_ignored(value: str) -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _add_upstreams(bench, 0, value=value)
        assert (await bench.send_request("/read/1")).status == 200

    run_bench(scenario)


@pytest.mark.parametrize("way", [ResponseMode.OTHERS_REFUSAL_FIRST, ResponseMode.OTHER_SERVER])
def test_headers_of_other_answers_are_ignored(way: ResponseMode) -> None:
    """Guards against using the headers of answers to other requests or from other upstreams."""

    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        server = await bench.add_server("s0", way)
        server.extra_headers = [(b"retry-after", b"50")]
        await bench.send_request("/read/0")
        (upstream,) = bench.gateway.state.upstreams
        assert upstream.backoff_left_s(asyncio.get_running_loop().time()) == 0.0

    run_bench(scenario)


def test_an_upstream_that_refuses_without_a_backoff_is_ejected() -> None:
    """Guards against choosing a refusing upstream again because it has no requests in flight."""

    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        refusing = await bench.add_server("s0", *[ResponseMode.REFUSE] * (2 * REQUESTS))
        serving = await bench.add_server("s1")
        assert {a.status for a in await _ask_repeatedly(bench)} == {200}
        assert len(refusing.received) == 1
        assert len(serving.received) == REQUESTS

    with (
        override_attribute(upstream, "MIN_EJECTION_S", 60.0),
        override_attribute(upstream, "MAX_EJECTION_S", 60.0),
    ):
        run_bench(scenario)


def test_an_ejected_upstream_is_used_without_another_upstream() -> None:
    """Guards against excluding the only upstream after a refusal that requests no backoff."""

    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        refusing = await bench.add_server("s0", ResponseMode.REFUSE)
        assert (await bench.send_request("/read/0")).status == 503
        assert (await bench.send_request("/read/1")).status == 200
        assert len(refusing.received) == 2

    run_bench(scenario)


def test_a_rest_asked_for_before_the_list_tells_of_the_restart_is_kept() -> None:
    """Guards against dropping what the new run of an upstream said when its start is read late."""

    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        server = ServerStandIn("s0")
        upstream = CrashingUpstream("s0", server)
        await upstream.listen()
        address = f"127.0.0.1:{upstream.port}"
        bench.list_server("s0", address, born=1)
        await bench.wait_until(lambda: bench.gateway.state.upstreams.find("s0") is not None)
        upstream.close_port()
        assert (await bench.send_request("/pay/1")).status == 503
        await upstream.listen()
        server.next_modes, server.extra_headers = [ResponseMode.REFUSE], [(b"retry-after", b"30")]
        for listed in bench.gateway.state.upstreams:
            listed.ejected_until_s = 0.0
        assert (await bench.send_request("/pay/1")).status == 503
        server.extra_headers = []
        bench.list_server("s0", address, born=2)
        await bench.wait_until(lambda: bench.listed("s0").started_at_ms == 2)
        assert (await bench.send_request("/pay/1")).status == 503
        assert len(server.received) == 1

    run_bench(scenario)
