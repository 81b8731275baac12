"""Serve HTTP with cheroot, with one thread per connection that has a request in flight."""

from __future__ import annotations

import select
import socket
import threading
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any

from cheroot.server import Gateway, HTTPServer

from dalehollow.errors import Reason
from dalehollow.memory import limit_request_memory
from dalehollow.sockets import set_reset_on_close
from dalehollow.web.bodies import (
    MAX_BODY_BYTES,
    BodyMemory,
    BodySizeError,
    MemoryFullError,
    RequestBody,
)
from dalehollow.web.messages import Handler, HttpRequest
from dalehollow.web.strict import StrictConnection
from dalehollow.web.threads import MAX_THREADS, ThreadPerRequest

MAX_HEADER_BYTES = 32 * 1024
IDLE_CONNECTION_TIMEOUT_S = 60
_ACCEPT_BACKLOG = 1024
_EXPIRY_INTERVAL_S = 0.25


def _is_socket_open(sock: socket.socket) -> bool:
    """Return False once the peer has closed or reset the connection."""
    try:
        # poll, because select.select does not support file descriptors of 1,024 and above.
        poller = select.poll()
        poller.register(sock, select.POLLIN)
        return not poller.poll(0) or bool(sock.recv(1, socket.MSG_PEEK))
    except (OSError, ValueError):
        return False


class _RequestTracker:
    """Count requests in flight; `is_closing` closes connections after their next response."""

    def __init__(self) -> None:
        self.is_closing = False
        self._count = 0
        self._changed = threading.Condition()

    def enter(self) -> None:
        with self._changed:
            self._count += 1

    def leave(self) -> None:
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def wait_idle(self, timeout_s: float) -> int:
        with self._changed:
            self._changed.wait_for(lambda: self._count == 0, timeout_s)
            return self._count


def _make_gateway(handler: Handler, tracker: _RequestTracker, memory: BodyMemory) -> type:
    class _HandlerGateway(Gateway):
        def respond(self) -> None:
            tracker.enter()
            try:
                _respond(self.req, handler, tracker, memory)
            finally:
                tracker.leave()

    return _HandlerGateway


def _respond(req: Any, handler: Handler, tracker: _RequestTracker, memory: BodyMemory) -> None:
    request_body = RequestBody(req, memory)
    try:
        body = _read_body(req, request_body)
        if body is not None:
            _answer(req, body, handler, tracker)
    finally:
        request_body.release()


def _answer(req: Any, body: bytes, handler: Handler, tracker: _RequestTracker) -> None:
    req.is_dispatched = True
    response = handler(_convert_request(req, body))
    req.status = f"{response.status} {_reason_phrase(response.status)}".encode()
    headers = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in response.headers.items()]
    if isinstance(response.body, bytes):
        headers.append((b"Content-Length", str(len(response.body)).encode()))
    req.outheaders = headers
    if tracker.is_closing:
        req.close_connection = True
    if isinstance(response.body, bytes):
        req.ensure_headers_sent()
        req.write(response.body)
        return
    _stream_body(req, response.body)


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _read_body(req: Any, request_body: RequestBody) -> bytes | None:
    """Read the whole body of a request; if that fails, send an error and return None."""
    try:
        return request_body.read()
    except BodySizeError:
        message = f"request body exceeds {MAX_BODY_BYTES} bytes"
        req.simple_response("413 Request Entity Too Large", message)
    except ValueError as exc:
        req.simple_response("400 Bad Request", str(exc))
    except MemoryFullError:
        message = "the request bodies that this process holds use up its memory"
        req.simple_response("503 Service Unavailable", message, Reason.MEMORY_FULL)
    return None


def _write_chunk(req: Any, chunk: bytes) -> None:
    """Write one chunk of a streamed body directly to the socket.

    cheroot's writer would cost as much as all other work of relaying a token. It is flushed after
    every write, so bypassing it keeps the bytes in order.
    """
    if req.chunked_write:
        chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
    req.conn.socket.sendall(chunk)


def _stream_body(req: Any, chunks: Iterable[bytes]) -> None:
    """Write chunks as they arrive; leave the body unterminated if the source fails."""
    try:
        for chunk in chunks:
            if not chunk:
                continue
            _send_stream_head(req)
            _write_chunk(req, chunk)
        _send_stream_head(req)
        set_reset_on_close(req.conn.socket, is_on=False)
    finally:
        # A source that fails before its first chunk gives a truncated response, not an error one.
        _send_stream_head(req)
        close = getattr(chunks, "close", None)
        if close is not None:
            close()


def _send_stream_head(req: Any) -> None:
    """Send the head once; until the body is complete, a close resets an HTTP/1.0 connection."""
    if req.sent_headers:
        return
    req.ensure_headers_sent()
    if not req.chunked_write:
        set_reset_on_close(req.conn.socket, is_on=True)


def _convert_request(req: Any, body: bytes) -> HttpRequest:
    sock = req.conn.socket
    # Forward the target undecoded: a decoded '?' or '/' would change its meaning upstream.
    target = req.uri if req.uri.startswith(b"/") else req.path + b"?" + (req.qs or b"")
    path, _, query = target.decode("latin-1").partition("?")
    return HttpRequest(
        method=req.method.decode("latin-1"),
        path=path,
        query=query,
        headers={
            k.decode("latin-1").lower(): v.decode("latin-1") for k, v in req.inheaders.items()
        },
        body=body,
        is_connected=lambda: _is_socket_open(sock),
        disconnect=lambda: sock.shutdown(socket.SHUT_RDWR),
    )


class HttpServer:
    """Run a cheroot server in its own thread; port 0 selects a free port."""

    def __init__(
        self, host: str, port: int, handler: Handler, *, name: str, memory_mb: int = 0
    ) -> None:
        """Bind the socket, so that the address is known before the first request.

        `memory_mb` is the memory of the VM, 0 if it is not known.
        """
        self._tracker = _RequestTracker()
        memory = BodyMemory(limit_request_memory(memory_mb))
        self._server = HTTPServer((host, port), _make_gateway(handler, self._tracker, memory))
        self._server.ConnectionClass = StrictConnection
        self._server.requests = ThreadPerRequest(self._server)
        self._server.request_queue_size = _ACCEPT_BACKLOG
        self._server.timeout = IDLE_CONNECTION_TIMEOUT_S
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.keep_alive_conn_limit = MAX_THREADS
        self._server.server_name = name
        self._server.expiration_interval = _EXPIRY_INTERVAL_S
        self._server.error_log = _ignore_log  # type: ignore[method-assign]
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="accept", daemon=True)

    @property
    def address(self) -> str:
        """Return the bound address as host:port."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Start to accept connections."""
        self._thread.start()

    def begin_closing(self) -> None:
        """Close each persistent connection after its next response."""
        self._tracker.is_closing = True

    def wait_idle(self, timeout_s: float) -> int:
        """Wait at most `timeout_s` for all requests to end; return how many are in flight."""
        return self._tracker.wait_idle(timeout_s)

    def stop(self) -> None:
        """Close the listener and idle connections without waiting for requests in flight."""
        self._server.stop()


def _ignore_log(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    """Discard cheroot's log messages; failures are logged where they are handled."""
