"""Serve callers: read whole requests from each connection and answer them in order."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import httptools

from dalehollow.aio.headers import Headers, find_header
from dalehollow.aio.sockets import tune_socket

_LOG = logging.getLogger(__name__)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"
_PHRASES = {status.value: status.phrase for status in HTTPStatus}


@dataclass(frozen=True)
class Limits:
    """Bound what a caller may send, and how long it may take or rest; all in force at once."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True)
class CallerRequest:
    """Hold one whole request; header names are in lower case, times on the monotonic clock."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    began_at_s: float

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


Handler = Callable[["CallerConnection", CallerRequest], Coroutine[Any, Any, None]]


class CallerConnection(asyncio.Protocol):
    """Carry one caller's requests; the handler of a request is cancelled when the caller leaves."""

    def __init__(
        self,
        handler: Handler,
        read_limits: Callable[[], Limits],
        connections: set[CallerConnection],
    ) -> None:
        """Prepare; the connection stands in `connections` while it is open."""
        self._handler = handler
        self._read_limits = read_limits
        self._connections = connections
        self._parser: Any = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._requests: deque[CallerRequest] = deque()
        self._arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._is_reading_head = False
        self._began_at_s = 0.0
        self._refused_status = 0
        self._head_sent = False
        self._is_chunked = False
        self.keeps_alive = True
        self.is_busy = False
        self.is_gone = False

    # The connection, as asyncio reports it.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the task that serves this connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        tune_socket(transport)
        self._connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Parse what came, until the connection is to be closed."""
        if self._refused_status:
            return
        if not self._is_reading_head and not self._body_bytes and not self._headers:
            self._began_at_s = asyncio.get_running_loop().time()
        self._count_head(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._refuse(self._refused_status or HTTPStatus.BAD_REQUEST)

    def eof_received(self) -> bool:
        """Take a half-closed connection for a caller that has left."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what is still being done for this caller."""
        self.is_gone = True
        self._connections.discard(self)
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Note that the caller reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        self._writable.set()

    # The request, as the parser reports it.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._target, self._headers, self._body = b"", [], []
        self._body_bytes = 0
        self._is_reading_head = True
        self._arrived.set()

    def on_url(self, url: bytes) -> None:
        """Collect the target as it was sent."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the size of the head, and let a caller that asks go on with its body."""
        self._is_reading_head = False
        limits = self._read_limits()
        head_bytes = len(self._target) + sum(len(k) + len(v) + 4 for k, v in self._headers)
        self._head_bytes = 0
        if head_bytes > limits.max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        names = dict(self._headers)
        if names.get(b"expect", b"").lower() == b"100-continue" and self._transport:
            self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._read_limits().max_body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand the whole request to the task."""
        if self._refused_status:
            return
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=tuple(self._headers),
            body=b"".join(self._body),
            began_at_s=self._began_at_s,
        )
        self._headers, self._body, self._body_bytes = [], [], 0
        self.keeps_alive = self.keeps_alive and self._parser.should_keep_alive()
        self._requests.append(request)
        self._arrived.set()
        if len(self._requests) > 1 and self._transport is not None:
            self._transport.pause_reading()

    # What handlers use.

    def send_whole(self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> None:
        """Send an answer whose body is known."""
        length = (b"content-length", str(len(body)).encode())
        self._send_head(status, [*headers, length], body)

    def begin_stream(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], *, length: int | None
    ) -> None:
        """Send the head of an answer whose body follows in pieces."""
        self._is_chunked = length is None
        framing = (
            (b"transfer-encoding", b"chunked")
            if length is None
            else (b"content-length", str(length).encode())
        )
        self._send_head(status, [*headers, framing], b"")

    async def send_piece(self, piece: bytes) -> None:
        """Send a piece of a body, waiting while the caller reads slowly."""
        if not piece or self._transport is None:
            return
        if self._is_chunked:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        self._transport.write(piece)
        if not self._writable.is_set():
            await self._writable.wait()

    def end_stream(self) -> None:
        """End a body sent in pieces."""
        if self._is_chunked and self._transport is not None:
            self._transport.write(_LAST_CHUNK)

    def cut(self) -> None:
        """Break the connection, so that an answer that has begun cannot look complete."""
        self.keeps_alive = False
        if self._transport is not None:
            self._transport.abort()

    @property
    def has_begun(self) -> bool:
        """Return whether the head of an answer to the request in hand was sent."""
        return self._head_sent

    def close_if_idle(self) -> None:
        """Close a connection without a request in hand or on its way in."""
        if self.is_busy or self._requests or self._is_reading_head or self._headers:
            return
        if self._transport is not None:
            self._transport.close()

    # The task.

    async def _serve(self) -> None:
        while not self.is_gone:
            request = await self._next_request()
            if request is None:
                break
            self.is_busy, self._head_sent = True, False
            try:
                await self._handler(self, request)
            except Exception as exc:
                # The caller must not take silence, or half an answer, for more than it is.
                _LOG.error("event=handler_failed", exc_info=exc)
                self.cut()
            finally:
                self.is_busy = False
            if not self.keeps_alive:
                break
        if self._transport is not None:
            self._transport.close()

    async def _next_request(self) -> CallerRequest | None:
        """Wait for a whole request; a caller that is too slow is answered 408 or closed."""
        limits = self._read_limits()
        while not self._requests:
            if self._refused_status:
                self._answer_refused()
                return None
            is_idle = not self._is_reading_head and not self._headers
            timeout_s = limits.idle_timeout_s if is_idle else limits.header_timeout_s
            self._arrived.clear()
            try:
                async with asyncio.timeout(timeout_s):
                    await self._arrived.wait()
            except TimeoutError:
                if is_idle and not self._is_reading_head:
                    return None
                self._refused_status = HTTPStatus.REQUEST_TIMEOUT
        request = self._requests.popleft()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        return request

    def _send_head(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        if self._transport is None:
            return
        self._head_sent = True
        lines = [b"HTTP/1.1 %d %s" % (status, _PHRASES.get(status, "Unknown").encode())]
        lines += [k + b": " + v for k, v in headers]
        if not self.keeps_alive:
            lines.append(b"connection: close")
        self._transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    def _count_head(self, received_bytes: int) -> None:
        """Bound a head that never ends; whole heads are measured when they are complete."""
        if not self._is_reading_head:
            return
        self._head_bytes += received_bytes
        if self._head_bytes > 2 * self._read_limits().max_header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _refuse(self, status: int) -> None:
        self._refused_status = int(status)
        self._arrived.set()

    def _answer_refused(self) -> None:
        self.keeps_alive = False
        self.send_whole(self._refused_status, [], b"")
