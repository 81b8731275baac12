"""Test that what one answer may hold is limited."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from dalehollow.aio import ClientConnection, ResponseError
from dalehollow.aio.client import MAX_HEAD_BYTES
from dalehollow.events import MAX_EVENT_BYTES, EventSizeError, EventSplitter

_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_SHORT_FIELDS = b"a:\r\n" * (MAX_HEAD_BYTES // 32)


def _run(scenario: Callable[[ClientConnection], Awaitable[None]]) -> None:
    async def run() -> None:
        await asyncio.wait_for(scenario(ClientConnection()), 20)

    asyncio.run(run())


def _receive(connection: ClientConnection, data: bytes, part_bytes: int) -> None:
    for start in range(0, len(data), part_bytes):
        connection.data_received(data[start : start + part_bytes])


@pytest.mark.parametrize("part_bytes", [61, 1_000_000])
@pytest.mark.parametrize(
    "data",
    [
        _HEAD + _SHORT_FIELDS,
        _HEAD + b"a:" + b"x" * MAX_HEAD_BYTES * 2,
        b"HTTP/1.1 200 " + b"x" * MAX_HEAD_BYTES * 2,
        _CHUNKED + b"1\r\nx\r\n0\r\n" + _SHORT_FIELDS,
        _CHUNKED + b"1;" + b"x" * MAX_HEAD_BYTES * 2,
    ],
)
def test_head_and_trailers_are_limited(data: bytes, part_bytes: int) -> None:
    """Guards against heads, trailers and chunk sizes without end."""

    async def scenario(connection: ClientConnection) -> None:
        _receive(connection, data, part_bytes)
        with pytest.raises(ResponseError, match="head or trailers exceed"):
            await connection.read_head()
            await connection.read_body()

    _run(scenario)


def test_trailers_are_no_headers_of_the_next_answer() -> None:
    async def scenario(connection: ClientConnection) -> None:
        connection.data_received(_CHUNKED + b"1\r\nx\r\n0\r\nSeal: a\r\n\r\n")
        connection.data_received(_HEAD + b"Content-Length: 0\r\n\r\n")
        assert (await connection.read_head()).get(b"seal") is None
        assert await connection.read_body() == b"x"
        assert (await connection.read_head()).get(b"seal") is None

    _run(scenario)


def test_body_is_limited() -> None:
    async def scenario(connection: ClientConnection) -> None:
        connection.data_received(_HEAD + b"\r\n" + b"x" * 101)
        await connection.read_head()
        with pytest.raises(ResponseError, match="body exceeds 100 bytes"):
            await connection.read_body(100)

    _run(scenario)


@pytest.mark.parametrize("piece_bytes", [997, MAX_EVENT_BYTES + 1])
def test_event_is_limited(piece_bytes: int) -> None:
    """Guards against events without end, which were also searched from their start each time."""
    splitter = EventSplitter()
    assert splitter.feed(b"data: a\n\n" + b"x" * MAX_EVENT_BYTES) == b"data: a\n\n"
    with pytest.raises(EventSizeError):
        splitter.feed(b"x" * piece_bytes)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_event_in_many_pieces_is_found(line_end: bytes) -> None:
    event = b"id: 7" + line_end + b"data: " + b"x" * 40 + line_end * 2
    splitter = EventSplitter()
    found = b"".join(splitter.feed(event[i : i + 1]) for i in range(len(event))) + splitter.flush()
    assert (found, splitter.last_id, splitter.count) == (event, b"7", 1)
