"""Test that a truncated answer never looks complete, however its upstream framed it."""

from __future__ import annotations

import asyncio
import logging
import socket

import pytest

from standins.server import ResponseMode, make_stream_body
from tests.gateway_bench import HOST, KEY, GatewayBench, make_config, run_bench

TRUNCATED_STREAMS = (
    ResponseMode.CUT_IN_EVENT,
    ResponseMode.UNFRAMED_CLOSED_IN_EVENT,
    ResponseMode.CHUNKED_ENDS_IN_EVENT,
    ResponseMode.LENGTH_ENDS_IN_EVENT,
    ResponseMode.LENGTH_CUT_IN_EVENT,
    ResponseMode.UNFRAMED_CLOSED_EMPTY,
    ResponseMode.UNFRAMED_RESET,
)
WHOLE_ANSWERS = (ResponseMode.NORMAL, ResponseMode.LENGTH, ResponseMode.UNFRAMED)
ANSWER_TIMEOUT_S = 3.0


async def _start_servers(bench: GatewayBench, *modes: ResponseMode) -> None:
    """Start a server for each mode; earlier ones are chosen first."""
    await bench.apply(make_config())
    for idx, mode in enumerate(modes):
        await bench.add_server(f"s{idx}", mode)
        bench.gateway.state.upstreams.adjust_others(f"s{idx}", idx)


def test_truncated_stream_never_looks_complete() -> None:
    """Guards against a stream that ends inside an event and is completed for its caller."""
    looked_complete = []

    for mode in TRUNCATED_STREAMS:

        async def scenario(bench: GatewayBench, mode: ResponseMode = mode) -> None:
            await _start_servers(bench, mode)
            answer = await bench.send_request("/stream/1")
            if answer.is_whole:
                looked_complete.append((mode, answer.body))
            else:
                assert make_stream_body().startswith(answer.body)
                assert answer.body.endswith(b"\n\n") or not answer.body

        run_bench(scenario)
    assert looked_complete == []


def test_truncated_stream_resumes_at_another_upstream() -> None:
    """Guards against a resumable stream that is not resumed since it was taken for complete."""
    not_resumed = []

    for mode in TRUNCATED_STREAMS:

        async def scenario(bench: GatewayBench, mode: ResponseMode = mode) -> None:
            await _start_servers(bench, mode, ResponseMode.UNFRAMED)
            answer = await bench.send_request("/stream/1")
            if not answer.is_whole or answer.body != make_stream_body():
                not_resumed.append((mode, answer.is_whole, answer.body))

        run_bench(scenario)
    assert not_resumed == []


def test_truncated_stream_is_logged_and_counted(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a truncated stream that leaves no trace, since it was taken for complete."""

    async def scenario(bench: GatewayBench) -> None:
        await _start_servers(bench, ResponseMode.UNFRAMED_CLOSED_IN_EVENT, ResponseMode.UNFRAMED)
        answer = await bench.send_request("/stream/1")
        assert answer.is_whole
        counts = bench.gateway.state.metrics.counts()
        for end in ("truncated", "complete"):
            labels = f'{{end="{end}",framing="connection",service="desk"}}'
            assert counts["answer_bodies" + labels] == 1
        assert counts['attempts_failed{event="answer_broken",service="desk"}'] == 1

    with caplog.at_level(logging.INFO):
        run_bench(scenario)
    (line,) = [r.getMessage() for r in caplog.records if "event=answer_broken" in r.getMessage()]
    assert 'reason="the stream ended inside an event"' in line
    assert "framing=connection events=2 last_event=2 partial_bytes=9" in line


@pytest.mark.parametrize("longer", ["s0", "s1"])
def test_resumed_stream_does_not_keep_the_length_of_its_first_body(longer: str) -> None:
    """Guards against a resumed stream cut at, or never reaching, the length of its first body."""

    async def scenario(bench: GatewayBench) -> None:
        await _start_servers(bench, ResponseMode.LENGTH_CUT_IN_EVENT, ResponseMode.LENGTH)
        bench.servers[longer].event_prefix = b"version: 2\n"
        connection = await bench.connect()
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            answer = await bench.send_request("/stream/1", connection=connection)
            assert answer.is_whole
            assert answer.body.replace(b"version: 2\n", b"") == make_stream_body()
            following = await bench.send_request("/read/1", connection=connection)
        assert following.body == b"whole answer"

    run_bench(scenario)


@pytest.mark.parametrize("path", ["/read/1", "/pay/1", "/stream/1"])
@pytest.mark.parametrize("mode", WHOLE_ANSWERS)
def test_whole_answer_stays_whole_in_each_framing(path: str, mode: ResponseMode) -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_servers(bench, mode)
        connection = await bench.connect()
        expected = make_stream_body() if path == "/stream/1" else b"whole answer"
        for _ in range(2):
            answer = await bench.send_request(path, connection=connection)
            assert (answer.status, answer.is_whole, answer.body) == (200, True, expected)
        assert [len(server.runs) for server in bench.servers.values()] == [2]

    run_bench(scenario)


@pytest.mark.parametrize(("path", "status", "runs"), [("/read/1", 200, 2), ("/pay/1", 502, 1)])
def test_unframed_answer_whose_connection_is_reset_is_not_passed_on(
    path: str, status: int, runs: int
) -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_servers(bench, ResponseMode.UNFRAMED_RESET, ResponseMode.UNFRAMED)
        answer = await bench.send_request(path)
        assert (answer.status, answer.is_whole) == (status, True)
        assert answer.body == (b"whole answer" if status == 200 else b"")
        assert sum(len(server.runs) for server in bench.servers.values()) == runs

    run_bench(scenario)


def test_answer_that_is_no_event_stream_is_whole_on_a_streaming_route() -> None:
    """Guards against a plain body that is taken for an event which has not ended."""

    async def scenario(bench: GatewayBench) -> None:
        await _start_servers(bench, ResponseMode.NO_STREAM)
        answer = await bench.send_request("/stream/1")
        assert (answer.status, answer.is_whole, answer.body) == (200, True, b"whole answer")

    run_bench(scenario)


def test_stream_that_ends_inside_an_event_is_not_passed_on_by_a_plain_route() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_servers(bench, ResponseMode.STREAM_ENDS_IN_EVENT, ResponseMode.NORMAL)
        answer = await bench.send_request("/read/1")
        assert (answer.status, answer.body) == (200, b"whole answer")

    run_bench(scenario)


def _send_http_1_0(address: str, path: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=ANSWER_TIMEOUT_S)
    lines = [f"GET {path} HTTP/1.0", f"Host: {HOST}", "X-Request-Id: r1", f"X-Key: {KEY}"]
    sock.sendall("\r\n".join([*lines, "X-Deadline-Ms: 500"]).encode() + b"\r\n\r\n")
    return sock


def _read_until_close(sock: socket.socket) -> tuple[bytes, bytes]:
    """Return the head and body of a response that ends with its connection."""
    received = b""
    with sock:
        while data := sock.recv(65_536):
            received += data
    head, _, body = received.partition(b"\r\n\r\n")
    return head, body


def test_http_1_0_caller_gets_a_whole_stream_without_chunks() -> None:
    async def scenario(bench: GatewayBench) -> None:
        await _start_servers(bench, ResponseMode.NORMAL)
        sock = await asyncio.to_thread(_send_http_1_0, bench.gateway.http, "/stream/1")
        head, body = await asyncio.to_thread(_read_until_close, sock)
        assert b"transfer-encoding" not in head.lower()
        assert body == make_stream_body()

    run_bench(scenario)


@pytest.mark.parametrize(
    "mode", [ResponseMode.CUT_IN_EVENT, ResponseMode.UNFRAMED_CLOSED_IN_EVENT, ResponseMode.HANG]
)
def test_truncated_stream_of_an_http_1_0_caller_ends_with_a_reset(mode: ResponseMode) -> None:
    """Guards against a close that an HTTP/1.0 caller takes for the end of its stream."""

    async def scenario(bench: GatewayBench) -> None:
        await _start_servers(bench, ResponseMode.CUT_IN_EVENT, mode)
        sock = await asyncio.to_thread(_send_http_1_0, bench.gateway.http, "/stream/1")
        with pytest.raises(ConnectionResetError):
            await asyncio.to_thread(_read_until_close, sock)

    run_bench(scenario)
