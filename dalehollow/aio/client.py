"""Call HTTP servers and tell exactly how far a failed call had come."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import httptools

from dalehollow.aio.headers import Headers, find_header
from dalehollow.aio.sockets import tune_socket

_NO_BODY_STATUSES = frozenset({204, 304})
_FIRST_FINAL_STATUS = 200
MAX_BUFFERED_BYTES = 256 * 1024
"""Reading pauses above this: what a slow caller has not taken yet stays in the upstream."""
PIECE_TIMEOUT_S = 0.5
"""An answer that has begun is read for as long as its pieces come: what has come is never thrown
away for its length. Twice the time after which a lost packet is sent again."""
ANSWER_TIMEOUT_S = 3.0
"""Bound of an answer that has begun: 1 MB, the largest value of the store, in 3 Mbit/s."""


class ConnectError(ConnectionError):
    """Report that no connection came up; no byte of a request was sent.

    `is_refused` says that the port was reached and nobody listens there.
    """

    def __init__(self, message: str, *, is_refused: bool = False) -> None:
        """Keep whether the port refused."""
        super().__init__(message)
        self.is_refused = is_refused


class CutError(ConnectionError):
    """Report that a connection ended before the answer did."""


@dataclass(frozen=True)
class AnswerHead:
    """Hold the head of an answer; header names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


class ClientConnection(asyncio.Protocol):
    """Carry one request at a time to one server."""

    def __init__(self) -> None:
        """Begin unconnected; `connect` makes connections."""
        self._parser: Any = httptools.HttpResponseParser(self)
        self._items: deque[AnswerHead | bytes | None] = deque()
        self._buffered_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._ends_with_connection = False
        self._is_interim = False
        self._error: Exception | None = None
        self._is_paused = False
        self.received_bytes = 0

    # The connection, as asyncio reports it.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        tune_socket(transport)

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        self.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(CutError(f"the server sent what is no answer: {exc}"))
            self.abort()

    def eof_received(self) -> bool:
        """End an answer that has no length; cut any other."""
        if self._ends_with_connection:
            self._finish()
        else:
            self._fail(CutError("the server closed the connection"))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the reader."""
        self._fail(CutError(f"the connection was lost: {exc or 'closed'}"))

    # The answer, as the parser reports it.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Hand the head over; interim answers are dropped."""
        status = self._parser.get_status_code()
        headers, self._headers = tuple(self._headers), []
        self._is_interim = status < _FIRST_FINAL_STATUS
        if self._is_interim:
            return
        framing = {name for name, _ in headers}
        is_framed = bool(framing & {b"content-length", b"transfer-encoding"})
        self._ends_with_connection = not is_framed and status not in _NO_BODY_STATUSES
        self._put(AnswerHead(status, headers))

    def on_body(self, body: bytes) -> None:
        """Hand a piece of the body over."""
        self._buffered_bytes += len(body)
        if self._buffered_bytes > MAX_BUFFERED_BYTES and self._transport and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
        self._put(body)

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        if not self._is_interim:
            self._finish()

    # What callers of this class use.

    def send(self, parts: Iterable[bytes]) -> None:
        """Send a whole request."""
        if self._transport is None or self._transport.is_closing():
            raise CutError("the connection is closed")
        self._transport.write(b"".join(parts))

    async def read_head(self) -> AnswerHead:
        """Return the head of the next answer, skipping the rest of an earlier one."""
        while True:
            item = await self._next()
            if isinstance(item, AnswerHead):
                return item

    async def read_piece(self) -> bytes | None:
        """Return the next piece of the body, or None at its end."""
        item = await self._next()
        if isinstance(item, AnswerHead):
            raise CutError("another answer began inside this one")
        return item

    async def read_body(self) -> bytes:
        """Return what is left of the body."""
        pieces = []
        while (piece := await self.read_piece()) is not None:
            pieces.append(piece)
        return b"".join(pieces)

    async def read_body_while_it_comes(self, limit: asyncio.Timeout) -> bytes:
        """Return the body, moving the time limit in force on with each piece, up to a bound."""
        clock = asyncio.get_running_loop().time
        last_s = clock() + ANSWER_TIMEOUT_S
        pieces: list[bytes] = []
        while True:
            limit.reschedule(min(clock() + PIECE_TIMEOUT_S, last_s))
            piece = await self.read_piece()
            if piece is None:
                return b"".join(pieces)
            pieces.append(piece)

    def abort(self) -> None:
        """Drop the connection at once, which cancels the request at the server."""
        if self._transport is not None:
            self._transport.abort()

    async def _next(self) -> AnswerHead | bytes | None:
        while not self._items:
            if self._error is not None:
                raise self._error
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        item = self._items.popleft()
        if isinstance(item, bytes):
            self._buffered_bytes -= len(item)
            if self._is_paused and self._buffered_bytes <= MAX_BUFFERED_BYTES // 2:
                self._is_paused = False
                assert self._transport is not None
                self._transport.resume_reading()
        return item

    def _put(self, item: AnswerHead | bytes | None) -> None:
        self._items.append(item)
        self._wake()

    def _finish(self) -> None:
        self._ends_with_connection = False
        self._put(None)

    def _fail(self, error: Exception) -> None:
        if self._error is None:
            self._error = error
            self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(address: str, timeout_s: float) -> ClientConnection:
    """Open a connection; raise ConnectError if none comes up in time."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(ClientConnection, host, int(port))
    except (OSError, TimeoutError) as exc:
        message = f"no connection to {address}: {exc or 'timed out'}"
        raise ConnectError(message, is_refused=isinstance(exc, ConnectionRefusedError)) from exc
    return connection
