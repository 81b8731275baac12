"""Test that clients and servers without limits do not use up the memory of a gateway's VM.

Each test starts a gateway with little memory as a process of its own, and checks that it lives,
that its memory and descriptors stay within the VM's, and that an ordinary request is answered.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import pytest

from dalehollow.aio import connect
from standins.hall import ACCOUNT_KEYS, start_hall
from standins.metadata import MetadataStandIn
from standins.platform import (
    HOST,
    KEY,
    GatewayProcess,
    listen,
    make_configuration,
    send_request,
    start_gateway,
    start_servers,
    wait_until_ready,
)
from standins.processes import Launcher, RunningProcess
from standins.server import ResponseMode

MEMORY_MB = 96
MAX_DESCRIPTORS = 1024
MAX_BODY_BYTES = 1024 * 1024
SEND_TIMEOUT_S = 20.0
ANSWER_TRIES = 400
_KIB = 1024

_HEAD = (
    f"POST /status/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: c\r\nX-Key: {KEY}\r\n"
    "X-Deadline-Ms: 5000\r\n"
).encode()
_CHUNKED_HEAD = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_LAST_CHUNK = b"1\r\nx\r\n0\r\n"
_SHORT_FIELDS = b"a:\r\n" * 4096
_LONG_VALUE = b"a" * (16 * _KIB)
_TINY_CHUNKS = b"2\r\nxx\r\n" * 4092


def _make_chunk(size_bytes: int) -> bytes:
    return b"%x\r\n" % size_bytes + b"x" * size_bytes + b"\r\n"


def _make_request(body_bytes: int) -> bytes:
    return _HEAD + b"Content-Length: %d\r\n\r\n" % body_bytes + b"x" * body_bytes


@dataclass(frozen=True)
class Crowd:
    """Describe clients that each send a prefix and a block some times, and then stay open."""

    clients: int
    prefix: bytes
    block: bytes
    blocks: int


CLIENT_CROWDS = {
    "trailers_of_short_fields": Crowd(4, _CHUNKED_HEAD + _LAST_CHUNK, _SHORT_FIELDS, 128),
    "trailers_of_one_field": Crowd(6, _CHUNKED_HEAD + _LAST_CHUNK + b"a:", _LONG_VALUE, 1024),
    "heads_of_short_fields": Crowd(200, _HEAD, _SHORT_FIELDS[:15_600], 1),
    "heads_of_one_field_without_end": Crowd(60, _HEAD + b"a:", _LONG_VALUE, 64),
    "heads_of_short_fields_without_end": Crowd(60, _HEAD, _SHORT_FIELDS, 64),
    "targets_without_end": Crowd(60, b"POST /status/", _LONG_VALUE, 64),
    "empty_lines_without_end": Crowd(60, b"", b"\r\n" * 8 * _KIB, 64),
    "chunk_sizes_without_end": Crowd(60, _CHUNKED_HEAD + b"1;", _LONG_VALUE, 64),
    "bodies_in_tiny_chunks": Crowd(100, _CHUNKED_HEAD, _TINY_CHUNKS, 8),
    "bodies_in_large_chunks": Crowd(120, _CHUNKED_HEAD, _make_chunk(64 * _KIB - 64), 16),
    "bodies_with_a_length": Crowd(
        120, _HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES, b"x" * 65_472, 16
    ),
    "bodies_in_line": Crowd(40, b"", _make_request(MAX_BODY_BYTES), 3),
}


async def _keep_sending(address: str, crowd: Crowd, sent: asyncio.Event) -> None:
    """Send one client's data, and keep the connection open until cancelled."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                writer.write(crowd.prefix)
                for _ in range(crowd.blocks):
                    writer.write(crowd.block)
                    await writer.drain()
                    if reader.at_eof():
                        break
        sent.set()
        await asyncio.Event().wait()
    finally:
        writer.transport.abort()


@asynccontextmanager
async def _send_crowd(address: str, crowd: Crowd) -> AsyncIterator[None]:
    """Keep a crowd connected that has sent all it could."""
    events = [asyncio.Event() for _ in range(crowd.clients)]
    tasks = [asyncio.ensure_future(_keep_sending(address, crowd, sent)) for sent in events]
    try:
        await asyncio.gather(*(sent.wait() for sent in events))
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _read_peak_kib(pid: int) -> int:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1])


def _check_process(gateway: GatewayProcess) -> None:
    assert gateway.process.returncode is None
    assert _read_peak_kib(gateway.process.pid) <= MEMORY_MB * _KIB
    assert len(os.listdir(f"/proc/{gateway.process.pid}/fd")) <= MAX_DESCRIPTORS


async def _wait_until_listed(gateway: GatewayProcess, count: int) -> None:
    """Wait until a gateway knows so many upstreams."""
    while len(await _read_state(gateway, "upstreams")) < count:
        await asyncio.sleep(0.01)


async def _read_state(gateway: GatewayProcess, section: str) -> Any:
    _, body = await send_request(gateway.metrics, "/dump", "r", "GET")
    return msgspec.json.decode(body)[section]


async def _await_answer(gateway: GatewayProcess) -> None:
    """Send an ordinary request, again after each failure as callers do, until it is answered."""
    statuses: list[object] = []
    for number in range(ANSWER_TRIES):
        try:
            statuses.append((await send_request(gateway.http, "/status/1", f"r-{number}"))[0])
        except ConnectionError as exc:
            statuses.append(exc)
        if statuses[-1] == 200:
            return
        await asyncio.sleep(0.05)
    raise AssertionError(f"no answer in {ANSWER_TRIES} tries, last: {statuses[-1]}")


def _make_configuration() -> bytes:
    config = msgspec.json.decode(make_configuration())
    config["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
    return msgspec.json.encode(config)


Scenario = Callable[[GatewayProcess, MetadataStandIn], Awaitable[None]]


def _run(directory: Path, scenario: Scenario) -> None:
    async def run() -> None:
        store = MetadataStandIn()
        store.put("op/config", _make_configuration())
        address = await listen(store.handle)
        changes: dict[str, Any] = {"memory_mb": MEMORY_MB, "max_descriptors": MAX_DESCRIPTORS}
        async with start_gateway(address, "gw", directory, **changes) as gateway:
            await wait_until_ready(gateway)
            await scenario(gateway, store)

    asyncio.run(asyncio.wait_for(run(), 120))


@pytest.mark.parametrize("name", CLIENT_CROWDS)
def test_crowd_of_clients_stays_within_memory(tmp_path: Path, name: str) -> None:
    """Guards against a gateway that runs out of memory by clients that it does not control."""

    async def scenario(gateway: GatewayProcess, store: MetadataStandIn) -> None:
        servers = await start_servers(store, ["s1", "s2"])
        if name == "bodies_in_line":
            for server in servers:
                server.next_modes = [ResponseMode.HANG] * 8
        await _wait_until_listed(gateway, len(servers))
        async with _send_crowd(gateway.http, CLIENT_CROWDS[name]):
            _check_process(gateway)
            for server in servers:
                server.next_modes = []
            await _await_answer(gateway)
        _check_process(gateway)

    _run(tmp_path, scenario)


def test_largest_request_is_served_in_calm(tmp_path: Path) -> None:
    """Guards against a memory limit that refuses a request within the limits of its own."""

    received: list[int] = []

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head)
        assert length is not None
        received.append(len(await reader.readexactly(int(length[1]))))
        writer.write(_ANSWER_HEAD + b"Content-Length: 0\r\n\r\n")
        await writer.drain()
        writer.close()

    async def scenario(gateway: GatewayProcess, store: MetadataStandIn) -> None:
        config = msgspec.json.decode(_make_configuration(), type=dict[str, Any])
        config["version"], config["limits"]["maxBodyBytes"] = 2, 8 * MAX_BODY_BYTES
        store.put("op/config", msgspec.json.encode(config))
        store.put("servers/s1", await _start_server(answer, 4))
        await _wait_until_listed(gateway, 1)
        while await _read_state(gateway, "config_version") != 2:
            await asyncio.sleep(0.01)
        assert await _post(gateway, 8 * MAX_BODY_BYTES) == 200
        assert received == [8 * MAX_BODY_BYTES]
        _check_process(gateway)

    _run(tmp_path, scenario)


async def _post(gateway: GatewayProcess, body_bytes: int) -> int:
    """Send a request with a body and return the status of the response."""
    connection = await connect(gateway.http, SEND_TIMEOUT_S)
    try:
        connection.send([_make_request(body_bytes)])
        return (await connection.read_head()).status
    finally:
        connection.abort()


_ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
_STREAM_HEAD = _ANSWER_HEAD + b"Content-Type: text/event-stream\r\n"
_CHUNKED_ANSWER = _ANSWER_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

SERVER_CROWDS = {
    "heads_of_short_fields": ("/status/1", Crowd(12, _ANSWER_HEAD, _SHORT_FIELDS, 64)),
    "heads_of_one_field": ("/status/1", Crowd(12, _ANSWER_HEAD + b"a:", _LONG_VALUE, 512)),
    "trailers": ("/status/1", Crowd(12, _CHUNKED_ANSWER + _LAST_CHUNK, _SHORT_FIELDS, 64)),
    "bodies_without_framing": ("/status/1", Crowd(12, _ANSWER_HEAD + b"\r\n", _LONG_VALUE, 512)),
    "bodies_in_chunks": ("/status/1", Crowd(12, _CHUNKED_ANSWER, _make_chunk(16 * _KIB), 512)),
    "bodies_in_tiny_chunks": ("/status/1", Crowd(12, _CHUNKED_ANSWER, _TINY_CHUNKS, 64)),
    "events_without_end": ("/stream/1", Crowd(12, _STREAM_HEAD + b"\r\n", _LONG_VALUE, 512)),
    "event_lines_without_end": (
        "/stream/1",
        Crowd(12, _STREAM_HEAD + b"\r\n", b"data: a\n" * 2048, 512),
    ),
}


@pytest.mark.parametrize("name", SERVER_CROWDS)
def test_answers_without_end_stay_within_memory(tmp_path: Path, name: str) -> None:
    """Guards against a gateway that runs out of memory by servers whose answers do not end."""
    path, crowd = SERVER_CROWDS[name]

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            with contextlib.suppress(ConnectionError, TimeoutError):
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    writer.write(crowd.prefix)
                    for _ in range(crowd.blocks):
                        writer.write(crowd.block)
                        await writer.drain()
            await reader.read()
        finally:
            writer.transport.abort()

    async def scenario(gateway: GatewayProcess, store: MetadataStandIn) -> None:
        store.put("servers/endless", await _start_server(answer, crowd.clients))
        await _wait_until_listed(gateway, 1)
        requests = (send_request(gateway.http, path, f"c-{n}") for n in range(crowd.clients))
        await asyncio.gather(*requests, return_exceptions=True)
        _check_process(gateway)
        store.delete("servers/endless")
        await start_servers(store, ["s1", "s2"])
        await _await_answer(gateway)
        _check_process(gateway)

    _run(tmp_path, scenario)


def test_answers_that_clients_do_not_read_stay_within_memory(tmp_path: Path) -> None:
    """Guards against a gateway that keeps the answers to requests in line for a client."""
    crowd = Crowd(12, b"", _make_request(0), 24)
    body = b"x" * MAX_BODY_BYTES
    answered = 0

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal answered
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_ANSWER_HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
            answered += 1
            await writer.drain()
            await reader.read()
        writer.transport.abort()

    async def scenario(gateway: GatewayProcess, store: MetadataStandIn) -> None:
        store.put("servers/large", await _start_server(answer, crowd.clients))
        await _wait_until_listed(gateway, 1)
        async with _send_crowd(gateway.http, crowd):
            seen = -1
            while not answered or seen != answered:
                seen = answered
                await asyncio.sleep(1.0)
                await _wait_until_listed(gateway, 1)
            _check_process(gateway)
            await _await_answer(gateway)
        _check_process(gateway)

    _run(tmp_path, scenario)


async def _start_server(
    answer: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]], slots: int
) -> bytes:
    """Start a server and return its entry for the list."""
    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    entry = {
        "service": "desk",
        "address": f"127.0.0.1:{port}",
        "zone": "hall",
        "slots": slots,
        "state": "ready",
    }
    return msgspec.json.encode(entry)


_ENTRY_HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
_ENTRY_CHUNKED_HEAD = _ENTRY_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENTRY_MEMORY_MB = 256
"""An entry that is not told its VM's memory."""

ENTRY_CROWDS = {
    "bodies_in_large_chunks": Crowd(60, _ENTRY_CHUNKED_HEAD, _make_chunk(64 * _KIB - 64), 127),
    "bodies_with_a_length": Crowd(
        60, _ENTRY_HEAD + b"Content-Length: 8388608\r\n\r\n", b"x" * 65_472, 127
    ),
    "chunk_sizes_without_end": Crowd(60, _ENTRY_CHUNKED_HEAD + b"1;", _LONG_VALUE, 512),
    "trailers_without_end": Crowd(60, _ENTRY_CHUNKED_HEAD + _LAST_CHUNK + b"a:", _LONG_VALUE, 512),
}


@pytest.mark.parametrize("name", ENTRY_CROWDS)
def test_crowd_of_clients_at_an_entry_stays_within_memory(name: str) -> None:
    """Guards against an entry that runs out of memory by clients that it does not control."""

    async def run() -> None:
        with Launcher() as launcher:
            hall = await asyncio.to_thread(start_hall, launcher, engines=1, entries=1, plain=())
            entry = hall.entries[0]
            async with _send_crowd(entry.http, ENTRY_CROWDS[name]):
                _check_entry(entry)
                await _await_completion(entry)
            _check_entry(entry)

    asyncio.run(asyncio.wait_for(run(), 180))


def _check_entry(entry: RunningProcess) -> None:
    assert entry.popen.poll() is None
    assert _read_peak_kib(entry.popen.pid) <= ENTRY_MEMORY_MB * _KIB
    assert len(os.listdir(f"/proc/{entry.popen.pid}/fd")) <= MAX_DESCRIPTORS


async def _await_completion(entry: RunningProcess) -> None:
    """Send an ordinary request, again after each failure, until it is answered."""
    body = msgspec.json.encode(
        {
            "model": "kelani-assist",
            "max_tokens": 8,
            "messages": [{"role": "user", "content": "hello"}],
        }
    )
    head = _ENTRY_HEAD + f"Authorization: Bearer {ACCOUNT_KEYS['colombo-city']}\r\n".encode()
    last: object = None
    for _ in range(ANSWER_TRIES):
        connection = await connect(entry.http, SEND_TIMEOUT_S)
        try:
            connection.send([head, b"Content-Length: %d\r\n\r\n" % len(body), body])
            last = (await connection.read_head()).status
        except ConnectionError as exc:
            last = exc
        finally:
            connection.abort()
        if last == 200:
            return
        await asyncio.sleep(0.05)
    raise AssertionError(f"no answer in {ANSWER_TRIES} tries, last: {last}")
