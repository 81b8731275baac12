"""Test that a gateway keeps serving when most new connections of callers come to it.

Guards against running out of file descriptors: a gateway then accepted nothing for seconds, reached
no upstream and ejected the sound ones for it.
"""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

import pytest

from dalehollow.aio import (
    CallerConnection,
    CallerRequest,
    ClientConnection,
    Connections,
    Limits,
    ResponseError,
    connect,
)
from dalehollow.gateway.descriptors import count_caller_connections
from standins.metadata import MetadataStandIn
from standins.platform import (
    HOST,
    KEY,
    GatewayProcess,
    listen,
    make_configuration,
    start_gateway,
    start_servers,
    wait_until_ready,
)
from standins.server import ServerStandIn
from tests.gateway_bench import GatewayBench, make_config, run_bench

DESCRIPTOR_LIMIT = 120
TIMEOUT_S = 30.0


class _Connection:
    """Stand for a connection that is idle or not."""

    def __init__(self) -> None:
        self.is_idle, self.is_closed = True, False

    def close_if_idle(self) -> bool:
        self.is_closed = self.is_idle
        return self.is_idle


def test_the_connection_that_was_idle_longest_makes_room() -> None:
    connections = Connections[_Connection](3)
    first, second, third, fourth = (_Connection() for _ in range(4))
    for connection in (first, second, third):
        assert connections.add(connection)
    connections.record_busy(first)
    connections.record_idle(first)
    assert connections.add(fourth)
    assert [c.is_closed for c in (first, second, third)] == [False, True, False]
    assert (len(connections), connections.closed_idle) == (3, 1)


def test_a_connection_without_room_is_turned_away() -> None:
    connections = Connections[_Connection](2)
    receiving, busy = _Connection(), _Connection()
    for connection in (receiving, busy):
        assert connections.add(connection)
    connections.record_busy(busy)
    receiving.is_idle = False
    assert not connections.add(_Connection())
    assert connections.turned_away == 1
    connections.discard(busy)
    assert connections.add(_Connection())


@pytest.mark.parametrize(("limit", "callers"), [(0, None), (400, 262), (4_100, 2_925), (8, 5)])
def test_some_descriptors_are_kept_for_other_uses(limit: int, callers: int | None) -> None:
    assert count_caller_connections(limit) == callers


def _make_request(number: int) -> bytes:
    return (
        f"POST /status/a HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r{number}\r\n"
        f"X-Deadline-Ms: 5000\r\nX-Key: {KEY}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


async def _send_on_new_connection(gateway: GatewayProcess, data: bytes) -> ClientConnection:
    connection = await connect(gateway.http, TIMEOUT_S)
    connection.send([data])
    return connection


def _run(directory: Path, scenario) -> None:  # type: ignore[no-untyped-def]
    async def run() -> None:
        store = MetadataStandIn()
        store.put("op/config", make_configuration())
        address = await listen(store.handle)
        servers = await start_servers(store, ["s1", "s2", "s3"])
        async with (
            asyncio.timeout(TIMEOUT_S),
            start_gateway(address, "gw", directory, descriptor_limit=DESCRIPTOR_LIMIT) as gateway,
        ):
            await wait_until_ready(gateway)
            await scenario(gateway, servers)

    asyncio.run(run())


def test_requests_on_new_connections_are_served_while_others_are_kept_open(tmp_path: Path) -> None:
    """Guards against a gateway that its callers' idle connections leave without descriptors."""

    async def scenario(gateway: GatewayProcess, servers: list[ServerStandIn]) -> None:
        kept = []
        for number in range(3 * DESCRIPTOR_LIMIT):
            connection = await _send_on_new_connection(gateway, _make_request(number))
            kept.append(connection)
            assert (await connection.read_head()).status == 200
            assert await connection.read_body() == b"whole answer"
        for connection in kept:
            connection.abort()
        log = gateway.log_path.read_text()
        assert "event=callers_at_limit" in log
        assert "event=upstream_ejected" not in log

    _run(tmp_path, scenario)


def test_a_connection_that_finds_all_others_busy_is_closed_unread(tmp_path: Path) -> None:
    """Guards against callers that wait for a gateway which cannot read their requests."""

    async def scenario(gateway: GatewayProcess, servers: list[ServerStandIn]) -> None:
        limit = count_caller_connections(DESCRIPTOR_LIMIT)
        assert limit is not None
        request = _make_request(1)
        half = len(request) // 2
        busy = [await _send_on_new_connection(gateway, request[:half]) for _ in range(limit)]
        # The gateway has read the halves once it answers.
        await wait_until_ready(gateway)
        turned_away = await _send_on_new_connection(gateway, request)
        with pytest.raises(ResponseError):
            await turned_away.read_head()
        busy[0].send([request[half:]])
        assert (await busy[0].read_head()).status == 200
        for connection in busy:
            connection.abort()

    _run(tmp_path, scenario)


def test_a_lack_of_descriptors_ejects_no_upstream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against ejecting sound upstreams because this process cannot open a connection."""

    async def fail(*args: object, **kwargs: object) -> None:
        raise OSError(errno.EMFILE, "too many open files")

    async def scenario(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        for number in range(2):
            await bench.add_server(f"s{number}")
        connection = await bench.connect()
        with monkeypatch.context() as patch:
            patch.setattr(asyncio.get_running_loop(), "create_connection", fail)
            for _ in range(5):
                answer = await bench.send_request("/pay/1", connection=connection)
                assert answer.status == 503
                assert float(answer.head.get(b"retry-after") or 9) < 0.1
        assert not any(u.ejected_until_s for u in bench.gateway.state.upstreams)
        assert (await bench.send_request("/pay/1", connection=connection)).status == 200

    run_bench(scenario)


def _connect_caller(requests: list[CallerRequest]) -> CallerConnection:
    """Return a connection whose requests are recorded and answered with 200."""

    async def answer(connection: CallerConnection, request: CallerRequest) -> None:
        requests.append(request)
        connection.send_response(200, [], b"")

    limits = Limits(max_header_bytes=200, max_body_bytes=200, header_timeout_s=5, idle_timeout_s=5)
    caller = CallerConnection(answer, lambda: limits, Connections[CallerConnection]())
    caller.connection_made(_Transport())
    return caller


class _Transport(asyncio.Transport):
    """Keep what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.sent, self.is_paused = b"", False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.sent += data

    def get_extra_info(self, name: str, default: object = None) -> object:
        return default

    def is_closing(self) -> bool:
        return False

    def close(self) -> None:
        pass

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False


_POST = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (_POST + b"3\r\nabc\r\n0\r\nX-Key: a\r\n\r\n", 200),
        (_POST + b"3\r\nabc\r\n0\r\n" + b"a:\r\n" * 60, 431),
        (b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 60, 431),
        # A head of 200 bytes with its request line.
        (b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 45 + b"\r\n", 200),
        (b"GET /" + b"a" * 200, 431),
        (_POST + b"c9\r\n" + b"a" * 201, 413),
        (_POST + b"c8\r\n" + b"a" * 200 + b"\r\n0\r\n\r\n", 200),
        (b"\r\n" * 20_000, 431),
        (_POST + b"1;" + b"a" * 40_000, 431),
    ],
)
@pytest.mark.parametrize("part_bytes", [7, 100_000])
def test_parts_of_a_request_are_limited(data: bytes, status: int, part_bytes: int) -> None:
    """Guards against trailers, chunk sizes and empty lines without end."""

    async def run() -> None:
        requests: list[CallerRequest] = []
        caller = _connect_caller(requests)
        for start in range(0, len(data), part_bytes):
            caller.data_received(data[start : start + part_bytes])
        while not (sent := caller._transport.sent):  # type: ignore[union-attr]
            await asyncio.sleep(0)
        assert sent.startswith(b"HTTP/1.1 %d " % status)
        assert len(requests) == (status == 200)
        # Trailers are no headers: they were not there when the request was checked.
        assert all(request.get(b"x-key") is None for request in requests)
        caller.connection_lost(None)

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


def test_requests_in_line_are_parsed_only_when_they_are_next() -> None:
    """Guards against thousands of small requests of one read that wait as objects."""

    async def run() -> None:
        requests: list[CallerRequest] = []
        caller = _connect_caller(requests)
        caller.data_received(b"GET / HTTP/1.1\r\n\r\n" * 14_000)
        assert len(caller._requests) < 1_000
        while len(requests) < 14_000:
            await asyncio.sleep(0)
        caller.connection_lost(None)

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
