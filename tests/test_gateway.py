"""Send requests through a gateway to servers that fail in every way, and check what comes."""

from __future__ import annotations

import asyncio

import pytest

from dalehollow.gateway import process
from dalehollow.groups.ranks import StoredPlan
from standins.server import EVENTS, Way, make_event, whole_stream
from tests.gateway_bench import (
    HOST,
    TIMEOUT_S,
    GatewayBench,
    make_config,
    replaced,
    run_bench,
)


async def _with_servers(bench: GatewayBench, *first_ways: Way) -> None:
    await bench.apply(make_config())
    await bench.add_server("s1", *first_ways)


def test_not_ready_and_refusing_before_a_configuration() -> None:
    async def scenario(bench: GatewayBench) -> None:
        assert not await bench.is_ready()
        answer = await bench.ask("/read/1")
        assert answer.status == 503
        assert answer.head.get(b"retry-after") is not None
        await bench.apply(make_config())
        assert await bench.is_ready()

    run_bench(scenario)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/nowhere/1", "key-of-ana", 404),
        ("/read/1", "unknown", 401),
        ("/read/1", None, 401),
        ("/open/1", None, 200),
        ("/read/1", "key-of-ana", 200),
    ],
)
def test_route_and_key_decide(path: str, key: str | None, status: int) -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench)
        assert (await bench.ask(path, key=key)).status == status

    run_bench(scenario)


def test_a_key_that_is_taken_away_is_refused() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench)
        connection = await bench.connect()
        assert (await bench.ask("/read/1", connection=connection)).status == 200
        await bench.apply(make_config(2, tenants=[{"name": "ana", "apiKeys": []}]))
        assert (await bench.ask("/read/1", connection=connection)).status == 401

    run_bench(scenario)


def test_an_older_configuration_never_comes_back() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench)
        await bench.apply(make_config(7))
        bench.store.forget_history()
        bench.store.put("op/config", b'{"version": "unreadable"}')
        calls = len(bench.store.calls)
        await bench.until(lambda: len(bench.store.calls) > calls + 2)
        assert bench.version() == 7
        assert (await bench.ask("/read/1")).status == 200

    run_bench(scenario)


def test_headers_that_the_system_sets_are_not_the_callers() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench)
        forged = {
            "X-Tenant": "rival",
            "X-Expect-Instance": "s9",
            "X-Request-Priority": "0",
            "X-Own": "kept",
            "Connection": "X-Hop",
            "X-Hop": "dropped",
        }
        assert (await bench.ask("/read/a%2Fb?q=%20", headers=forged, body=b"hand")).status == 200
        seen = bench.servers["s1"].seen[0]
        assert seen.method == b"POST"
        assert seen.target == b"/read/a%2Fb?q=%20"
        assert seen.body == b"hand"
        assert [v for k, v in seen.headers if k == b"x-tenant"] == [b"ana"]
        assert [v for k, v in seen.headers if k == b"x-expect-instance"] == [b"s1"]
        assert seen.get(b"x-own") == b"kept"
        assert seen.get(b"x-key") is None
        assert seen.get(b"x-hop") is None
        assert int(seen.get(b"x-deadline-ms") or b"0") <= 5000

    run_bench(scenario)


@pytest.mark.parametrize(
    ("path", "way", "status", "runs"),
    [
        ("/read/1", Way.REFUSE, 200, 1),
        ("/read/1", Way.CUT_UNANSWERED, 200, 2),
        ("/read/1", Way.CUT_BODY, 200, 2),
        ("/read/1", Way.ERROR, 200, 2),
        ("/pay/1", Way.REFUSE, 200, 1),
        ("/pay/1", Way.CUT_UNANSWERED, 502, 1),
        ("/pay/1", Way.CUT_BODY, 502, 1),
        ("/pay/1", Way.ERROR, 500, 1),
        ("/pay/1", Way.OTHERS_ANSWER_FIRST, 200, 1),
        ("/read/1", Way.SURPLUS, 200, 1),
    ],
)
def test_tries_and_runs(path: str, way: Way, status: int, runs: int) -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench, way)
        await bench.add_server("s2")
        # The first choice is the server that fails.
        bench.gateway.state.upstreams.adjust_others("s2", 1)
        answer = await bench.ask(path)
        assert answer.status == status
        assert answer.is_whole
        if status == 200:
            assert answer.body == b"whole answer"
        assert sum(len(s.runs) for s in bench.servers.values()) == runs

    run_bench(scenario)


@pytest.mark.parametrize("way", [Way.REFUSE, Way.OTHER_SERVER])
def test_a_refusal_is_true_and_says_when_to_come_back(way: Way) -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench, way, way, way)
        answer = await bench.ask("/pay/1")
        assert answer.status == 503
        assert answer.head.get(b"retry-after") is not None
        assert answer.head.get(b"x-response-seal") is None
        assert bench.servers["s1"].runs == []

    run_bench(scenario)


def test_a_second_rank_of_a_broken_group_is_not_tried() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench, Way.REFUSE_BROKEN)
        await bench.add_server("s2", Way.REFUSE_BROKEN)
        assert (await bench.ask("/stream/1")).status == 503
        assert sum(len(s.seen) for s in bench.servers.values()) == 1

    run_bench(scenario)


def test_a_stream_that_breaks_goes_on_elsewhere() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench, Way.CUT_IN_EVENT)
        await bench.add_server("s2", Way.CUT_IN_EVENT)
        await bench.add_server("s3")
        answer = await bench.ask("/stream/1")
        assert answer.is_whole
        assert answer.body == whole_stream()
        resumed = [s.get(b"last-event-id") for x in bench.servers.values() for s in x.seen]
        assert all(value in (None, b"2", b"4") for value in resumed)

    run_bench(scenario)


def test_a_stream_that_cannot_go_on_is_cut_not_ended() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench, Way.CUT_IN_EVENT)
        answer = await bench.ask("/stream/1")
        assert answer.status == 200
        assert not answer.is_whole
        assert answer.body == make_event(1) + make_event(2)

    run_bench(scenario)


def test_a_callers_own_position_is_passed_on() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench)
        answer = await bench.ask("/stream/1", headers={"Last-Event-Id": str(EVENTS - 1)})
        assert answer.body == make_event(EVENTS)

    run_bench(scenario)


def test_a_caller_that_leaves_cancels_its_run() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench, Way.HANG)
        server = bench.servers["s1"]
        connection = await bench.connect()
        asking = asyncio.ensure_future(bench.ask("/read/1", connection=connection))
        await server.reached.wait()
        connection.abort()
        await server.left.wait()
        assert len(server.cancelled) == 1
        asking.cancel()
        await bench.until(lambda: not any(u.in_flight for u in bench.gateway.state.upstreams))

    run_bench(scenario)


def test_a_route_s_time_ends_the_wait() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench, Way.HANG)
        answer = await bench.ask("/read/1", left_ms=100)
        assert answer.status == 504
        assert answer.is_whole

    run_bench(scenario)


def test_a_leaving_server_gets_no_new_request() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench)
        await bench.add_server("s2")
        listed = bench.gateway.state.upstreams.find("s1")
        assert listed is not None
        bench.list_server("s1", listed.address, state="draining")
        await bench.until(lambda: len(bench.gateway.state.upstreams.of_service("desk")) == 1)
        for _ in range(6):
            assert (await bench.ask("/read/1")).status == 200
        assert bench.servers["s1"].seen == []

    run_bench(scenario)


def test_a_planned_stop_closes_idle_connections_and_refuses_what_comes_late() -> None:
    """Kept connections were served until the grace ended, in the middle of answers."""

    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench, Way.WELL, Way.HANG)
        idle, busy = await bench.connect(), await bench.connect()
        assert (await bench.ask("/read/1", connection=idle)).status == 200
        asking = asyncio.ensure_future(bench.ask("/read/2", connection=busy, left_ms=2000))
        await bench.until(lambda: len(bench.servers["s1"].seen) == 2)
        bench.stopping.set()
        with pytest.raises(ConnectionError):
            await idle.read_head()
        assert not await bench.is_ready()
        await bench.until(lambda: bench.gateway.refuses_new)
        late = await bench.ask("/read/3")
        assert late.status == 503
        assert late.head.get(b"retry-after") is not None
        assert (await asking).status == 504
        await bench.running

    with replaced(process, "MIN_STOP_S", 0.01):
        run_bench(scenario)


def test_bad_requests_are_refused_and_the_gateway_serves_on() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench)
        smuggled = (
            f"POST /read/1 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 4\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        for text in (smuggled, "no request at all\r\n\r\n"):
            connection = await bench.connect()
            connection.send([text.encode()])
            assert (await connection.read_head()).status == 400
        too_long = await bench.ask("/read/1", headers={"X-Long": "x" * 5000})
        assert too_long.status == 431
        assert (await bench.ask("/read/1", body=b"x" * 5000)).status == 413
        assert (await bench.ask("/read/1", headers={"X-Deadline-Ms": "soon"})).status == 200
        assert len(bench.servers["s1"].seen) == 1
        assert (await bench.ask("/read/1")).status == 200

    run_bench(scenario)


def test_a_handler_that_fails_cuts_its_connection_and_no_other() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench)
        real = bench.gateway.state.admission

        def failing(service: str) -> object:
            bench.gateway.state.admission = real  # type: ignore[method-assign]
            raise KeyError("unexpected")

        bench.gateway.state.admission = failing  # type: ignore[method-assign, assignment]
        with pytest.raises(ConnectionError):
            await bench.ask("/read/1")
        assert (await bench.ask("/read/1")).status == 200

    run_bench(scenario)


def test_an_address_that_answers_for_another_upstream_is_left_alone() -> None:
    """It stayed in the list, and every request went there first, until it was unlisted."""

    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench, *[Way.OTHER_SERVER] * 9)
        assert (await bench.ask("/read/1")).status == 503
        await bench.add_server("s2")
        for number in range(4):
            assert (await bench.ask(f"/read/{number}")).status == 200
        assert len(bench.servers["s1"].seen) == 1

    run_bench(scenario)


def test_a_stream_at_a_slow_rank_goes_on_elsewhere_in_the_same_answer() -> None:
    """Streams that were there when a rank turned slow held their whole group up to their end."""

    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        slow = await bench.add_server("s1")
        group = {"name": "g", "epoch": 1, "rank": 0, "state": "open"}
        address = bench.gateway.state.upstreams.find("s1").address  # type: ignore[union-attr]
        bench.list_server("s1", address, group=group, size=2)
        await bench.until(lambda: bench.gateway.state.upstreams.find("s1").group == "g")  # type: ignore[union-attr]
        slow.pace_s = TIMEOUT_S / (EVENTS - 1)
        asking = asyncio.ensure_future(bench.ask("/stream/1"))
        await slow.reached.wait()
        other = await bench.add_server("s2")
        plan = StoredPlan(demand=(), slow_ranks=(0,))
        other_entry = bench.gateway.state.upstreams.find("s2")
        assert other_entry is not None
        bench.list_server("s2", other_entry.address, group={**group, "rank": 1}, size=2)
        await bench.until(lambda: bench.gateway.state.upstreams.find("s2").group == "g")  # type: ignore[union-attr]
        bench.gateway._planners.record_plan("desk/g", plan)
        answer = await asking
        assert answer.is_whole and answer.body == whole_stream()
        assert other.runs == slow.runs
        # It is no fault of the slow rank's: nothing is ejected.
        assert all(u.ejected_until_s == 0 for u in bench.gateway.state.upstreams)

    run_bench(scenario)


def test_what_must_not_repeat_stays_at_a_slow_rank() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _with_servers(bench)
        server = bench.servers["s1"]
        server.pace_s = 0.2
        asking = asyncio.ensure_future(bench.ask("/pay/1"))
        await server.reached.wait()
        assert all(not u.moves for u in bench.gateway.state.upstreams)
        assert (await asking).status == 200

    run_bench(scenario)
