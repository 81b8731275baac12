"""Test requests through a gateway to servers with each kind of failure."""

from __future__ import annotations

import asyncio

import pytest

from dalehollow.aio import ClientConnection, MemoryBudget, ResponseHead
from dalehollow.gateway import process
from dalehollow.groups.ranks import StoredPlan
from standins.server import EVENT_COUNT, ResponseMode, make_event, make_stream_body
from tests.gateway_bench import (
    HOST,
    KEY,
    TIMEOUT_S,
    GatewayBench,
    make_config,
    override_attribute,
    run_bench,
)


async def _start_server(bench: GatewayBench, *ways: ResponseMode) -> None:
    await bench.apply(make_config())
    await bench.add_server("s1", *ways)


def test_without_configuration_is_not_ready_and_answers_503() -> None:
    async def scenario(bench: GatewayBench) -> None:
        assert not await bench.is_ready()
        answer = await bench.send_request("/read/1")
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
        await _start_server(bench)
        assert (await bench.send_request(path, key=key)).status == status

    run_bench(scenario)


def test_revoked_key_is_refused_on_open_connections() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench)
        connection = await bench.connect()
        assert (await bench.send_request("/read/1", connection=connection)).status == 200
        await bench.apply(make_config(2, tenants=[{"name": "ana", "apiKeys": []}]))
        assert (await bench.send_request("/read/1", connection=connection)).status == 401

    run_bench(scenario)


def test_configuration_in_force_is_kept_when_the_stored_one_is_unreadable() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench)
        await bench.apply(make_config(7))
        bench.store.discard_history()
        bench.store.put("op/config", b'{"version": "unreadable"}')
        calls = len(bench.store.calls)
        await bench.wait_until(lambda: len(bench.store.calls) > calls + 2)
        assert bench.version() == 7
        assert (await bench.send_request("/read/1")).status == 200

    run_bench(scenario)


def test_caller_cannot_set_internal_headers() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench)
        sent_headers = {
            "X-Tenant": "rival",
            "X-Expect-Instance": "s9",
            "X-Request-Priority": "0",
            "X-Own": "kept",
            "Connection": "X-Hop",
            "X-Hop": "dropped",
        }
        assert (
            await bench.send_request("/read/a%2Fb?q=%20", headers=sent_headers, body=b"hand")
        ).status == 200
        seen = bench.servers["s1"].received[0]
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
        ("/read/1", ResponseMode.REFUSE, 200, 1),
        ("/read/1", ResponseMode.CUT_UNANSWERED, 200, 2),
        ("/read/1", ResponseMode.CUT_BODY, 200, 2),
        ("/read/1", ResponseMode.ERROR, 200, 2),
        ("/pay/1", ResponseMode.REFUSE, 200, 1),
        ("/pay/1", ResponseMode.CUT_UNANSWERED, 502, 1),
        ("/pay/1", ResponseMode.CUT_BODY, 502, 1),
        ("/pay/1", ResponseMode.ERROR, 500, 1),
        ("/pay/1", ResponseMode.OTHERS_ANSWER_FIRST, 200, 1),
        ("/read/1", ResponseMode.SURPLUS, 200, 1),
    ],
)
def test_status_and_run_count_of_each_failure(
    path: str, way: ResponseMode, status: int, runs: int
) -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench, way)
        await bench.add_server("s2")
        # Makes the failing server the first choice.
        bench.gateway.state.upstreams.adjust_others("s2", 1)
        answer = await bench.send_request(path)
        assert answer.status == status
        assert answer.is_whole
        if status == 200:
            assert answer.body == b"whole answer"
        assert sum(len(s.runs) for s in bench.servers.values()) == runs

    run_bench(scenario)


@pytest.mark.parametrize("way", [ResponseMode.REFUSE, ResponseMode.OTHER_SERVER])
def test_refused_request_has_not_run_and_has_retry_after(way: ResponseMode) -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench, way, way, way)
        answer = await bench.send_request("/pay/1")
        assert answer.status == 503
        assert answer.head.get(b"retry-after") is not None
        assert answer.head.get(b"x-response-seal") is None
        assert bench.servers["s1"].runs == []

    run_bench(scenario)


def test_broken_group_is_not_retried_at_another_rank() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench, ResponseMode.REFUSE_BROKEN)
        await bench.add_server("s2", ResponseMode.REFUSE_BROKEN)
        assert (await bench.send_request("/stream/1")).status == 503
        assert sum(len(s.received) for s in bench.servers.values()) == 1

    run_bench(scenario)


def test_interrupted_stream_resumes_at_another_server() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench, ResponseMode.CUT_IN_EVENT)
        await bench.add_server("s2", ResponseMode.CUT_IN_EVENT)
        await bench.add_server("s3")
        answer = await bench.send_request("/stream/1")
        assert answer.is_whole
        assert answer.body == make_stream_body()
        resume_positions = [
            s.get(b"last-event-id") for x in bench.servers.values() for s in x.received
        ]
        assert all(value in (None, b"2", b"4") for value in resume_positions)

    run_bench(scenario)


def test_stream_that_cannot_resume_is_cut_off() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench, ResponseMode.CUT_IN_EVENT)
        answer = await bench.send_request("/stream/1")
        assert answer.status == 200
        assert not answer.is_whole
        assert answer.body == make_event(1) + make_event(2)

    run_bench(scenario)


def test_last_event_id_of_the_caller_is_forwarded() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench)
        answer = await bench.send_request(
            "/stream/1", headers={"Last-Event-Id": str(EVENT_COUNT - 1)}
        )
        assert answer.body == make_event(EVENT_COUNT)

    run_bench(scenario)


def test_disconnect_of_the_caller_cancels_its_run() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench, ResponseMode.HANG)
        server = bench.servers["s1"]
        connection = await bench.connect()
        request_task = asyncio.ensure_future(bench.send_request("/read/1", connection=connection))
        await server.request_received.wait()
        connection.abort()
        await server.handler_cancelled.wait()
        assert len(server.cancelled) == 1
        request_task.cancel()
        await bench.wait_until(lambda: not any(u.in_flight for u in bench.gateway.state.upstreams))

    run_bench(scenario)


def test_expired_deadline_is_answered_with_504() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench, ResponseMode.HANG)
        answer = await bench.send_request("/read/1", deadline_ms=100)
        assert answer.status == 504
        assert answer.is_whole

    run_bench(scenario)


def test_draining_server_gets_no_new_request() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench)
        await bench.add_server("s2")
        listed = bench.gateway.state.upstreams.find("s1")
        assert listed is not None
        bench.list_server("s1", listed.address, state="draining")
        await bench.wait_until(lambda: len(bench.gateway.state.upstreams.of_service("desk")) == 1)
        for _ in range(6):
            assert (await bench.send_request("/read/1")).status == 200
        assert bench.servers["s1"].received == []

    run_bench(scenario)


def test_shutdown_closes_idle_connections_and_refuses_new_requests() -> None:
    """Guards against serving keep-alive connections until the grace period cuts their answers."""

    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench, ResponseMode.NORMAL, ResponseMode.HANG)
        idle, busy = await bench.connect(), await bench.connect()
        assert (await bench.send_request("/read/1", connection=idle)).status == 200
        request_task = asyncio.ensure_future(
            bench.send_request("/read/2", connection=busy, deadline_ms=2000)
        )
        await bench.wait_until(lambda: len(bench.servers["s1"].received) == 2)
        bench.stopping.set()
        with pytest.raises(ConnectionError):
            await idle.read_head()
        assert not await bench.is_ready()
        await bench.wait_until(lambda: bench.gateway.refuses_new)
        late_answer = await bench.send_request("/read/3")
        assert late_answer.status == 503
        assert late_answer.head.get(b"retry-after") is not None
        assert (await request_task).status == 504
        await bench.running

    with override_attribute(process, "MIN_STOP_S", 0.01):
        run_bench(scenario)


def test_requests_in_flight_at_the_end_of_the_grace_period_are_answered() -> None:
    """Guards against a stop that closes connections of requests that an upstream has."""

    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench, ResponseMode.HANG, ResponseMode.HANG)
        connections = [await bench.connect(), await bench.connect()]
        tasks = [
            asyncio.ensure_future(bench.send_request(path, connection=c, deadline_ms=4000))
            for path, c in zip(("/pay/1", "/read/1"), connections, strict=True)
        ]
        await bench.wait_until(lambda: len(bench.servers["s1"].received) == 2)
        bench.stopping.set()
        await bench.running
        # The process ends now.
        assert [task.done() and task.result().status for task in tasks] == [504, 504]

    run_bench(scenario, stop_grace_ms=1000)


def test_requests_that_outlast_the_grace_period_are_refused() -> None:
    """Guards against a stop that takes requests which must not be sent again and cuts them."""

    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench)
        long, short, late = [await bench.connect() for _ in range(3)]
        # Keeps the gateway running, and the connections from being closed as idle ones.
        bench.servers["s1"].next_modes = [ResponseMode.HANG]
        held = asyncio.ensure_future(bench.send_request("/pay/0", deadline_ms=3000))
        await bench.wait_until(lambda: len(bench.servers["s1"].received) == 1)
        for connection in (long, short, late):
            connection.send([b"POST "])
        await bench.wait_until(lambda: sum(c._is_receiving for c in bench.gateway._callers) == 3)
        bench.stopping.set()
        while await bench.is_ready():
            await asyncio.sleep(0)
        refused = await _finish_request(long, 4900)
        assert (refused.status, refused.get(b"retry-after") is None) == (503, False)
        assert (await _finish_request(short, 1000)).status == 200
        await bench.wait_until(lambda: bench.gateway.refuses_new)
        assert (await _finish_request(late, 1000)).status == 503
        assert (await held).status == 504
        assert len(bench.servers["s1"].received) == 2
        await bench.running

    run_bench(scenario, stop_grace_ms=5000)


async def _finish_request(connection: ClientConnection, deadline_ms: int) -> ResponseHead:
    """Send the rest of a request to an unsafe route and return the head of the response."""
    fields = f"X-Request-Id: l-{deadline_ms}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
    connection.send([f"/pay/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\n{fields}\r\n".encode()])
    return await connection.read_head()


def test_answer_that_is_dropped_for_lack_of_memory_blames_no_upstream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against upstreams that are ejected because a gateway lacks memory."""
    failed: list[object] = []

    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench)
        connection = await bench.connect()
        assert (await bench.send_request("/read/1", connection=connection)).status == 200
        monkeypatch.setattr(
            bench.gateway.state.upstreams,
            "record_failure",
            lambda *args, **kwargs: failed.append(args),
        )
        # Applies to answers; the connection has its own count already.
        bench.gateway.state.memory = MemoryBudget(1)
        assert (await bench.send_request("/read/2", connection=connection)).status == 502
        bench.gateway.state.memory = MemoryBudget()
        assert (await bench.send_request("/read/3", connection=connection)).status == 200
        assert not failed

    run_bench(scenario)


def test_malformed_requests_are_refused_and_later_ones_served() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench)
        ambiguous_length = (
            f"POST /read/1 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 4\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        for text in (ambiguous_length, "no request at all\r\n\r\n"):
            connection = await bench.connect()
            connection.send([text.encode()])
            assert (await connection.read_head()).status == 400
        too_large_head = await bench.send_request("/read/1", headers={"X-Long": "x" * 5000})
        assert too_large_head.status == 431
        assert (await bench.send_request("/read/1", body=b"x" * 5000)).status == 413
        assert (
            await bench.send_request("/read/1", headers={"X-Deadline-Ms": "soon"})
        ).status == 200
        assert len(bench.servers["s1"].received) == 1
        assert (await bench.send_request("/read/1")).status == 200

    run_bench(scenario)


def test_exception_in_a_handler_closes_only_its_connection() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench)
        original_admission = bench.gateway.state.admission

        def fail_once(service: str) -> object:
            bench.gateway.state.admission = original_admission  # type: ignore[method-assign]
            raise KeyError("unexpected")

        bench.gateway.state.admission = fail_once  # type: ignore[method-assign, assignment]
        with pytest.raises(ConnectionError):
            await bench.send_request("/read/1")
        assert (await bench.send_request("/read/1")).status == 200

    run_bench(scenario)


def test_address_that_answers_as_another_instance_is_avoided() -> None:
    """Guards against trying such an address first for every request until it is unlisted."""

    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench, *[ResponseMode.OTHER_SERVER] * 9)
        assert (await bench.send_request("/read/1")).status == 503
        await bench.add_server("s2")
        for number in range(4):
            assert (await bench.send_request(f"/read/{number}")).status == 200
        assert len(bench.servers["s1"].received) == 1

    run_bench(scenario)


def test_stream_moves_from_a_slow_rank_within_one_answer() -> None:
    """Guards against streams that stay at a rank turned slow and delay its whole group."""

    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        slow_server = await bench.add_server("s1")
        group = {"name": "g", "epoch": 1, "rank": 0, "state": "open"}
        address = bench.gateway.state.upstreams.find("s1").address  # type: ignore[union-attr]
        bench.list_server("s1", address, group=group, size=2)
        await bench.wait_until(lambda: bench.gateway.state.upstreams.find("s1").group == "g")  # type: ignore[union-attr]
        slow_server.response_delay_s = TIMEOUT_S / (EVENT_COUNT - 1)
        request_task = asyncio.ensure_future(bench.send_request("/stream/1"))
        await slow_server.request_received.wait()
        other_server = await bench.add_server("s2")
        plan = StoredPlan(demand=(), slow_ranks=(0,))
        other_entry = bench.gateway.state.upstreams.find("s2")
        assert other_entry is not None
        bench.list_server("s2", other_entry.address, group={**group, "rank": 1}, size=2)
        await bench.wait_until(lambda: bench.gateway.state.upstreams.find("s2").group == "g")  # type: ignore[union-attr]
        bench.gateway._planners.record_plan("desk/g", plan)
        answer = await request_task
        assert answer.is_whole and answer.body == make_stream_body()
        assert other_server.runs == slow_server.runs
        # Slowness is no failure of the upstream, so none is ejected.
        assert all(u.ejected_until_s == 0 for u in bench.gateway.state.upstreams)

    run_bench(scenario)


def test_unsafe_request_is_not_moved_from_a_slow_server() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_server(bench)
        server = bench.servers["s1"]
        server.response_delay_s = 0.2
        request_task = asyncio.ensure_future(bench.send_request("/pay/1"))
        await server.request_received.wait()
        assert all(not u.moves for u in bench.gateway.state.upstreams)
        assert (await request_task).status == 200

    run_bench(scenario)
