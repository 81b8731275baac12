"""Serve HTTP/1.1: read complete requests from each connection and answer them in order."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import httptools

from dalehollow.aio.client import PARSED_BYTES
from dalehollow.aio.connections import Connections
from dalehollow.aio.headers import Headers, find_header, list_values
from dalehollow.framing import BodyFraming, find_framing
from dalehollow.memory import BODY_COPIES, MemoryBudget
from dalehollow.sockets import set_reset_on_close, tune_socket

_LOG = logging.getLogger(__name__)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_CHUNKED = (b"transfer-encoding", b"chunked")
_HTTP_1_0 = "1.0"
_LAST_CHUNK = b"0\r\n\r\n"
_FIELD_SYNTAX_BYTES = 3
"""Colon and line end of a header field; the blank between them is optional."""
_FIELD_MEMORY_BYTES = 160
"""Memory of a header field's objects beside its text."""
_REQUEST_MEMORY_BYTES = 1024
"""Memory of a request's objects beside its fields and its body."""
_FULL_RETRY_AFTER = (b"retry-after", b"1")
"""Seconds after which a caller may repeat a request that was refused for lack of memory."""
_MAX_WAITING_REQUESTS = 1
"""Complete requests that may wait behind the one being served before reading pauses."""
_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


@dataclass(frozen=True)
class Limits:
    """Limit the size of requests, the time to receive one, and how long a connection may idle.

    Changed sizes apply at once, changed times from the next request of a connection on.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True)
class CallerRequest:
    """Hold one complete request; header names are in lower case.

    `began_at_s` is the time of the first byte on the clock of the event loop, `memory_bytes` an
    estimate of the memory that the request takes.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    began_at_s: float
    http_version: str = "1.1"
    memory_bytes: int = 0

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)

    def list_values(self, name: bytes) -> list[bytes]:
        """Return all values of a header, including those of comma-separated lists."""
        return list_values(self.headers, name)


Handler = Callable[["CallerConnection", CallerRequest], Coroutine[Any, Any, None]]


class CallerConnection(asyncio.Protocol):
    """Serve one caller's connection; the handler is cancelled if the caller disconnects."""

    def __init__(
        self,
        handler: Handler,
        read_limits: Callable[[], Limits],
        connections: Connections[CallerConnection],
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create an unconnected protocol; it adds itself to `connections` while it is open.

        If there is no room for it, it is closed before anything is read. What it holds counts
        towards `memory`, if given.
        """
        self._handler = handler
        self._read_limits = read_limits
        self._connections = connections
        self._memory = memory or MemoryBudget()
        # Estimated memory of the request that is being served, and of those that wait for it.
        self._served_bytes = self._waiting_bytes = 0
        # Responses that the caller has not read, if they fill the write buffer.
        self._unsent_bytes = 0
        self._parser: Any = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._requests: deque[CallerRequest] = deque()
        self._arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._head_bytes = self._trailer_bytes = 0
        # Data that the parser has taken without reporting a part of the request.
        self._unreported_bytes = 0
        # Received data that waits until fewer requests do.
        self._unparsed = b""
        self._is_reading_head = False
        self._is_receiving = False
        self._began_at_s = 0.0
        self._error_status = 0
        self._head_sent = False
        self._is_http_1_0 = False
        self._framing = BodyFraming.NONE
        self.keep_alive = True
        self.is_busy = False
        self.is_disconnected = False

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves this connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._connections.add(self):
            transport.abort()
            return
        tune_socket(transport)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Feed the parser; ignore data after a rejected request, as the connection will close."""
        if self._error_status:
            return
        if not self._is_receiving:
            self._began_at_s = asyncio.get_running_loop().time()
        self._parse(self._unparsed + data if self._unparsed else data)

    def eof_received(self) -> bool:
        """Close the transport: a half-closed connection counts as a caller that disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the task that serves this connection."""
        self.is_disconnected = True
        self._connections.discard(self)
        self._memory.update(self, 0, 0)
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make send_piece and the next request wait until the write buffer drains."""
        self._writable.clear()
        if self._transport is not None:
            self._unsent_bytes = self._transport.get_write_buffer_size()
            self._count_memory()

    def resume_writing(self) -> None:
        """Let send_piece and the next request continue."""
        self._writable.set()
        self._unsent_bytes = 0
        self._count_memory()

    # httptools parser callbacks

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._clear_request()
        self._is_reading_head = self._is_receiving = True
        self._arrived.set()

    def on_url(self, url: bytes) -> None:
        """Append to the request target, undecoded."""
        if self._count_head(len(url)):
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are discarded, but their size is limited like a head's."""
        size_bytes = len(name) + len(value) + _FIELD_SYNTAX_BYTES
        if self._count_head(size_bytes) and self._is_reading_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Answer `Expect: 100-continue`."""
        self._is_reading_head = False
        self._unreported_bytes = 0
        if self._error_status:
            return
        names = dict(self._headers)
        if names.get(b"expect", b"").lower() == b"100-continue" and self._transport:
            self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Append to the body and check its size."""
        self._unreported_bytes = 0
        if self._error_status:
            return
        if len(self._body) + len(body) > self._read_limits().max_body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        self._body += body

    def on_message_complete(self) -> None:
        """Queue the complete request for the serving task."""
        if self._error_status:
            return
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=tuple(self._headers),
            body=bytes(self._body),
            began_at_s=self._began_at_s,
            http_version=self._parser.get_http_version(),
            memory_bytes=_REQUEST_MEMORY_BYTES + self._received_bytes(),
        )
        self._waiting_bytes += request.memory_bytes
        self._is_receiving = False
        self._clear_request()
        self.keep_alive = self.keep_alive and self._parser.should_keep_alive()
        self._requests.append(request)
        self._arrived.set()
        if self._must_wait() and self._transport is not None:
            self._transport.pause_reading()

    # Interface for handlers

    def send_response(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response."""
        length = (b"content-length", str(len(body)).encode())
        self._send_head(status, [*headers, length], body)

    def begin_stream(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Send the head of a response whose body follows in pieces.

        The body is in chunks or, for an HTTP/1.0 caller, ends with the connection.
        """
        self.begin_body(status, headers if self._is_http_1_0 else [*headers, _CHUNKED])

    def begin_body(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Send the head of a response whose body follows in pieces, framed as `headers` say.

        Without a content-length or transfer-encoding the body ends with the connection.
        """
        sent_headers = tuple(headers)
        self._framing = find_framing(status, {name for name, _ in sent_headers})
        if self._framing is BodyFraming.CONNECTION:
            self.keep_alive = False
            self._set_reset_on_close(is_on=True)
        self._send_head(status, sent_headers, b"")

    async def send_piece(self, piece: bytes) -> None:
        """Send a piece of the body; wait while the write buffer is full."""
        if not piece or self._transport is None:
            return
        if self._framing is BodyFraming.CHUNKED:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        self._transport.write(piece)
        if not self._writable.is_set():
            await self._writable.wait()

    def end_stream(self) -> None:
        """Mark the end of a body that was sent in pieces."""
        if self._framing is BodyFraming.CHUNKED and self._transport is not None:
            self._transport.write(_LAST_CHUNK)
        elif self._framing is BodyFraming.CONNECTION:
            self._set_reset_on_close(is_on=False)

    def abort(self) -> None:
        """Abort the connection, so that a partial response cannot look complete."""
        self.keep_alive = False
        if self._transport is not None:
            self._transport.abort()

    @property
    def has_sent_head(self) -> bool:
        """Return whether the response head for the current request was sent."""
        return self._head_sent

    def close_if_idle(self) -> bool:
        """Close the connection unless a request is in flight, queued or being received."""
        if self.is_busy or self._requests or self._is_receiving:
            return False
        if self._transport is not None:
            self._transport.close()
        return True

    # Serving task

    async def _serve(self) -> None:
        while not self.is_disconnected:
            request = await self._next_request()
            if request is None:
                break
            await self._serve_request(request)
            # Not held while the connection waits.
            del request
            self._count_memory()
            if not self.keep_alive:
                break
            await self._flush()
        if self._transport is not None:
            self._transport.close()

    async def _serve_request(self, request: CallerRequest) -> None:
        self._head_sent = False
        if not self._memory.may_serve(request.memory_bytes):
            self.send_response(HTTPStatus.SERVICE_UNAVAILABLE, [_FULL_RETRY_AFTER], b"")
            return
        self.is_busy, self._served_bytes = True, request.memory_bytes
        self._count_memory()
        self._connections.record_busy(self)
        self._is_http_1_0 = request.http_version == _HTTP_1_0
        try:
            await self._handler(self, request)
        except Exception as exc:
            # Abort, so that the caller sees an error instead of no response or a partial one.
            _LOG.error("event=handler_failed", exc_info=exc)
            self.abort()
        finally:
            self.is_busy, self._served_bytes = False, 0
            self._connections.record_idle(self)

    async def _flush(self) -> None:
        """Wait until the caller reads its responses; abort if it reads nothing for a time."""
        while not self._writable.is_set() and self._transport is not None:
            unsent_bytes = self._transport.get_write_buffer_size()
            try:
                async with asyncio.timeout(self._read_limits().idle_timeout_s):
                    await self._writable.wait()
            except TimeoutError:
                if self._transport.get_write_buffer_size() == unsent_bytes:
                    self.abort()
                    return

    async def _next_request(self) -> CallerRequest | None:
        """Wait for a complete request; return None after a time-out, with a 408 unless idle."""
        limits = self._read_limits()
        while not self._requests:
            if self._error_status:
                self._send_error()
                return None
            is_idle = not self._is_receiving
            timeout_s = limits.idle_timeout_s if is_idle else limits.header_timeout_s
            self._arrived.clear()
            try:
                async with asyncio.timeout(timeout_s):
                    await self._arrived.wait()
            except TimeoutError:
                if is_idle and not self._is_receiving:
                    return None
                self._error_status = HTTPStatus.REQUEST_TIMEOUT
        request = self._requests.popleft()
        self._waiting_bytes -= request.memory_bytes
        if self._unparsed:
            self._parse(self._unparsed)
        transport = self._transport
        if transport is not None and not transport.is_closing() and not self._must_wait():
            transport.resume_reading()
        return request

    def _must_wait(self) -> bool:
        return len(self._requests) > _MAX_WAITING_REQUESTS

    def _send_head(self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> None:
        if self._transport is None:
            return
        self._head_sent = True
        lines = [b"HTTP/1.1 %d %s" % (status, _REASON_PHRASES.get(status, "Unknown").encode())]
        lines += [k + b": " + v for k, v in headers]
        if not self.keep_alive:
            lines.append(b"connection: close")
        self._transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    def _set_reset_on_close(self, *, is_on: bool) -> None:
        if self._transport is not None and not self._transport.is_closing():
            set_reset_on_close(self._transport.get_extra_info("socket"), is_on=is_on)

    def _parse(self, data: bytes) -> None:
        """Feed the parser until requests must wait or a limit is exceeded."""
        position = 0
        while position < len(data) and not self._must_wait() and not self._error_status:
            part = data[position : position + PARSED_BYTES]
            position += len(part)
            self._unreported_bytes += len(part)
            try:
                self._parser.feed_data(part)
            except httptools.HttpParserUpgrade:
                self._reject(HTTPStatus.BAD_REQUEST)
            except httptools.HttpParserError:
                self._reject(self._error_status or HTTPStatus.BAD_REQUEST)
            # A field, a chunk size or empty lines that never end. The margin is for what comes
            # before the field in the same part; its exact size is checked once it is complete.
            if self._unreported_bytes > self._read_limits().max_header_bytes + PARSED_BYTES:
                self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        self._unparsed = b"" if self._error_status else data[position:]
        self._count_memory()

    def _received_bytes(self) -> int:
        """Estimate the memory of the request that is being received."""
        head_bytes = self._head_bytes + len(self._headers) * _FIELD_MEMORY_BYTES
        return head_bytes + len(self._body) * BODY_COPIES + self._unreported_bytes

    def _count_memory(self) -> None:
        if self.is_disconnected:
            return
        droppable_bytes = self._received_bytes() + len(self._unparsed) + self._waiting_bytes
        self._memory.update(self, self._served_bytes, droppable_bytes + self._unsent_bytes)

    def drop(self) -> None:
        """Refuse what is being received or waits, or abort if the caller does not read."""
        if self._unsent_bytes > self._waiting_bytes + self._received_bytes():
            self._unsent_bytes = 0
            self.abort()
            return
        self._requests.clear()
        self._waiting_bytes = 0
        self._unparsed = b""
        self._reject(HTTPStatus.SERVICE_UNAVAILABLE)

    def _count_head(self, size_bytes: int) -> bool:
        """Count a part of the head or of the trailers; return False if the request is rejected."""
        self._unreported_bytes = 0
        if self._is_reading_head:
            self._head_bytes += size_bytes
        else:
            self._trailer_bytes += size_bytes
        if max(self._head_bytes, self._trailer_bytes) > self._read_limits().max_header_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        return not self._error_status

    def _clear_request(self) -> None:
        self._target, self._headers, self._body = b"", [], bytearray()
        self._head_bytes = self._trailer_bytes = self._unreported_bytes = 0

    def _reject(self, status: int) -> None:
        """Refuse the request that is being received; its data is dropped at once."""
        self._error_status = self._error_status or int(status)
        self._clear_request()
        self._arrived.set()

    def _send_error(self) -> None:
        self.keep_alive = False
        is_full = self._error_status == HTTPStatus.SERVICE_UNAVAILABLE
        self.send_response(self._error_status, [_FULL_RETRY_AFTER] if is_full else [], b"")
