"""Serve HTTP with cheroot, one thread for each connection that has a request in hand."""

from __future__ import annotations

import select
import socket
import threading
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any

from cheroot.errors import MaxSizeExceeded
from cheroot.server import Gateway, HTTPServer

from dalehollow.web.messages import Handler, HttpRequest
from dalehollow.web.strict import StrictConnection
from dalehollow.web.threads import MAX_THREADS, ThreadPerRequest

MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
IDLE_CONNECTION_TIMEOUT_S = 60
_ACCEPT_BACKLOG = 1024
_EXPIRY_INTERVAL_S = 0.25


def _is_socket_open(sock: socket.socket) -> bool:
    """Return False once the peer has closed or reset the connection."""
    try:
        # Not select.select: it cannot look at descriptors from 1,024 on.
        poller = select.poll()
        poller.register(sock, select.POLLIN)
        return not poller.poll(0) or bool(sock.recv(1, socket.MSG_PEEK))
    except (OSError, ValueError):
        return False


class _Activity:
    """Count the requests in hand; `is_closing` ends kept connections with their next answer."""

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


def _make_gateway(handler: Handler, activity: _Activity) -> type:
    class _HandlerGateway(Gateway):
        def respond(self) -> None:
            activity.enter()
            try:
                _respond(self.req, handler, activity)
            finally:
                activity.leave()

    return _HandlerGateway


def _respond(req: Any, handler: Handler, activity: _Activity) -> None:
    body = _read_body(req)
    if body is None:
        return
    req.is_handed_over = True
    response = handler(_convert_request(req, body))
    req.status = f"{response.status} {_find_phrase(response.status)}".encode()
    headers = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in response.headers.items()]
    if isinstance(response.body, bytes):
        headers.append((b"Content-Length", str(len(response.body)).encode()))
    req.outheaders = headers
    if activity.is_closing:
        req.close_connection = True
    if isinstance(response.body, bytes):
        req.ensure_headers_sent()
        req.write(response.body)
        return
    _stream_body(req, response.body)


def _find_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _read_body(req: Any) -> bytes | None:
    """Read a request's body whole, or refuse it and return None."""
    try:
        body: bytes = req.rfile.read()
    except OSError as exc:
        if not _is_too_large(exc):
            raise
        message = f"the body is over {MAX_BODY_BYTES} bytes"
        req.simple_response("413 Request Entity Too Large", message)
        return None
    except ValueError as exc:
        req.simple_response("400 Bad Request", str(exc))
        return None
    missing = getattr(req.rfile, "remaining", 0)
    if missing:
        req.simple_response("400 Bad Request", f"the body ended {missing} bytes early")
        return None
    return body


def _is_too_large(exc: OSError) -> bool:
    """Return whether the chunk reader gave up for size; it says so in two ways."""
    return isinstance(exc, MaxSizeExceeded) or exc.args[:1] == ("Request Entity Too Large",)


def _write_chunk(req: Any, chunk: bytes) -> None:
    """Write one piece of a streamed body.

    The server's own writer is flushed after every write, so writing past it keeps the order; it
    would cost as much as all the rest of relaying a token.
    """
    if req.chunked_write:
        chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
    req.conn.socket.sendall(chunk)


def _stream_body(req: Any, chunks: Iterable[bytes]) -> None:
    """Write chunks as they come; leave the framing open when the source fails."""
    try:
        for chunk in chunks:
            if not chunk:
                continue
            req.ensure_headers_sent()
            _write_chunk(req, chunk)
    finally:
        # A source that failed before its first chunk is shown as a cut answer, not as a refusal.
        req.ensure_headers_sent()
        close = getattr(chunks, "close", None)
        if close is not None:
            close()


def _convert_request(req: Any, body: bytes) -> HttpRequest:
    sock = req.conn.socket
    # The target as it was sent: decoded, an escaped '?' or '/' would mean another one upstream.
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
    """Run a cheroot server in a thread of its own; port 0 picks a free port."""

    def __init__(self, host: str, port: int, handler: Handler, *, name: str) -> None:
        """Bind and prepare, so that the address is known before the first request."""
        self._activity = _Activity()
        self._server = HTTPServer((host, port), _make_gateway(handler, self._activity))
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
        """Begin to accept."""
        self._thread.start()

    def begin_closing(self) -> None:
        """End each kept connection with its next answer."""
        self._activity.is_closing = True

    def wait_idle(self, timeout_s: float) -> int:
        """Wait until no request is in hand and return how many still are."""
        return self._activity.wait_idle(timeout_s)

    def stop(self) -> None:
        """Close the listener and idle connections; requests in hand are not waited for."""
        self._server.stop()


def _ignore_log(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    """Drop cheroot's own log lines; failures are logged where they are judged."""
