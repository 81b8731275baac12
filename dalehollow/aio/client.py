"""Send HTTP/1.1 requests over asyncio and report exactly how far a failed request got."""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import httptools

from dalehollow.aio.headers import Headers, find_header, list_values
from dalehollow.framing import BodyFraming, find_framing
from dalehollow.sockets import tune_socket

_FIRST_FINAL_STATUS = 200
_OWN_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)
"""Errors of this process or VM: no descriptor, memory or local port is left."""
MAX_BUFFERED_BYTES = 256 * 1024
"""Reading pauses above this size, so that a slow caller's data stays in the upstream."""
MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of the head of a response, and of its trailers, with `FIELD_OVERHEAD_BYTES`."""
FIELD_OVERHEAD_BYTES = 32
"""Added for each field, as for the header list size of HTTP/2 (RFC 9113, section 6.5.2)."""
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Maximum size of a body that is read as a whole."""
_PIECE_OVERHEAD_BYTES = 64
"""Memory of a buffered piece beside its data."""
PARSED_BYTES = 16 * 1024
"""Data is parsed in parts of this size, so that limits are checked between them."""
PIECE_TIMEOUT_S = 0.5
"""Maximum wait for the next piece of a response, twice the time after which a lost packet is
retransmitted. Each piece extends the time-out, so that data already received is not discarded only
because a response is long."""
ANSWER_TIMEOUT_S = 3.0
"""Maximum time to receive a body: enough for 1 MB, the largest store value, at 3 Mbit/s."""


class ConnectError(ConnectionError):
    """Report that no connection was established; no byte of a request was sent.

    `is_refused` is True if the host refused the connection because nothing listens on the port,
    `is_own_failure` if this process lacked the means to open a connection.
    """

    def __init__(
        self, message: str, *, is_refused: bool = False, is_own_failure: bool = False
    ) -> None:
        """Store the message and the kind of failure."""
        super().__init__(message)
        self.is_refused = is_refused
        self.is_own_failure = is_own_failure


class ResponseError(ConnectionError):
    """Report a response that is incomplete or cannot be used."""


class ResponseDroppedError(ResponseError):
    """Report a response that this process dropped for lack of memory; the server is sound."""


@dataclass(frozen=True)
class ResponseHead:
    """Hold the status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)

    def list_values(self, name: bytes) -> list[bytes]:
        """Return all values of a header, including those of comma-separated lists."""
        return list_values(self.headers, name)

    @property
    def framing(self) -> BodyFraming:
        """Return what marks the end of the body."""
        return find_framing(self.status, {name for name, _ in self.headers})


class ClientConnection(asyncio.Protocol):
    """Send requests to one server, one at a time."""

    def __init__(self) -> None:
        """Create an unconnected protocol; use `connect` to open a connection."""
        self._parser: Any = httptools.HttpResponseParser(self)
        self._items: deque[ResponseHead | bytes | None] = deque()
        self._buffered_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        # Size of the head, or of the trailers after a chunked body.
        self._head_bytes = 0
        # Data that the parser has taken without reporting a part of the response.
        self._unreported_bytes = 0
        self._is_reading_body = False
        self._ends_with_connection = False
        self._is_interim = False
        self._error: Exception | None = None
        self._is_paused = False
        self.received_bytes = 0

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        tune_socket(transport)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; abort the connection on invalid HTTP or a head without end."""
        self.received_bytes += len(data)
        for start in range(0, len(data), PARSED_BYTES):
            part = data[start : start + PARSED_BYTES]
            self._unreported_bytes += len(part)
            try:
                self._parser.feed_data(part)
            except httptools.HttpParserError as exc:
                self._fail(ResponseError(f"invalid HTTP response: {exc}"))
            if self._unreported_bytes > MAX_HEAD_BYTES + PARSED_BYTES:
                self._fail_oversize_head()
            if self._error is not None:
                self.abort()
                return

    def eof_received(self) -> bool:
        """Complete a response that ends with the connection; any other one is truncated."""
        if self._ends_with_connection:
            self._finish()
        else:
            self._fail(ResponseError("the server closed the connection"))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail pending and later reads."""
        self._fail(ResponseError(f"connection lost: {exc or 'closed'}"))

    # httptools parser callbacks

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are discarded, but their size is limited like a head's."""
        self._unreported_bytes = 0
        self._head_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail_oversize_head()
        elif not self._is_reading_body:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Queue the response head; discard interim (1xx) responses."""
        self._head_bytes = self._unreported_bytes = 0
        self._is_reading_body = True
        status = self._parser.get_status_code()
        headers, self._headers = tuple(self._headers), []
        self._is_interim = status < _FIRST_FINAL_STATUS
        if self._is_interim:
            return
        head = ResponseHead(status, headers)
        self._ends_with_connection = head.framing is BodyFraming.CONNECTION
        self._put(head)

    def on_body(self, body: bytes) -> None:
        """Queue a piece of the body; pause reading while too much is buffered."""
        self._unreported_bytes = 0
        self._buffered_bytes += len(body) + _PIECE_OVERHEAD_BYTES
        if self._buffered_bytes > MAX_BUFFERED_BYTES and self._transport and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
        self._put(body)

    def on_message_complete(self) -> None:
        """Queue the end of the response, unless it is an interim one."""
        self._head_bytes = self._unreported_bytes = 0
        self._is_reading_body = False
        if not self._is_interim:
            self._finish()

    # Interface for requests

    def send(self, parts: Iterable[bytes]) -> None:
        """Send a complete request; raise ResponseError if the connection is closed."""
        if self._transport is None or self._transport.is_closing():
            raise ResponseError("the connection is closed")
        self._transport.write(b"".join(parts))

    async def read_head(self) -> ResponseHead:
        """Return the head of the next response, skipping the rest of an earlier one."""
        while True:
            item = await self._next()
            if isinstance(item, ResponseHead):
                return item

    async def read_piece(self) -> bytes | None:
        """Return the next piece of the body, or None at its end."""
        item = await self._next()
        if isinstance(item, ResponseHead):
            raise ResponseError("a new response began before the end of this one")
        return item

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the rest of the body; raise ResponseError if it exceeds `max_bytes`."""
        body = bytearray()
        while (piece := await self.read_piece()) is not None:
            body += piece
            check_body_size(body, max_bytes)
        return bytes(body)

    async def read_body_with_timeout(self, limit: asyncio.Timeout) -> bytes:
        """Return the body; each piece extends `limit` until ANSWER_TIMEOUT_S have passed."""
        clock = asyncio.get_running_loop().time
        deadline_s = clock() + ANSWER_TIMEOUT_S
        body = bytearray()
        while True:
            limit.reschedule(min(clock() + PIECE_TIMEOUT_S, deadline_s))
            piece = await self.read_piece()
            if piece is None:
                return bytes(body)
            body += piece
            check_body_size(body)

    def fail(self, error: ResponseError) -> None:
        """Abort the connection; data that was not read is dropped, and reads raise the error."""
        self._items.clear()
        self._error = error
        self._wake()
        self.abort()

    def abort(self) -> None:
        """Abort the connection, which cancels the request at the server."""
        if self._transport is not None:
            self._transport.abort()

    async def _next(self) -> ResponseHead | bytes | None:
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
            self._buffered_bytes -= len(item) + _PIECE_OVERHEAD_BYTES
            if self._is_paused and self._buffered_bytes <= MAX_BUFFERED_BYTES // 2:
                self._is_paused = False
                assert self._transport is not None
                self._transport.resume_reading()
        return item

    def _put(self, item: ResponseHead | bytes | None) -> None:
        self._items.append(item)
        self._wake()

    def _fail_oversize_head(self) -> None:
        self._headers = []
        self._fail(ResponseError(f"head or trailers exceed {MAX_HEAD_BYTES} bytes"))

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


def check_body_size(body: bytearray, max_bytes: int = MAX_BODY_BYTES) -> None:
    """Raise ResponseError if what was read of a body exceeds a limit."""
    if len(body) > max_bytes:
        raise ResponseError(f"body exceeds {max_bytes} bytes")


async def connect(address: str, timeout_s: float) -> ClientConnection:
    """Open a connection to host:port; raise ConnectError if it fails or times out."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(ClientConnection, host, int(port))
    except (OSError, TimeoutError) as exc:
        message = f"cannot connect to {address}: {exc or 'timed out'}"
        raise ConnectError(
            message,
            is_refused=isinstance(exc, ConnectionRefusedError),
            is_own_failure=exc.errno in _OWN_ERRNOS,
        ) from exc
    return connection
