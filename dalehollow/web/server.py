"""Serve HTTP with cheroot, one thread for each connection that has a request in hand."""

from __future__ import annotations

import json
import select
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any

from cheroot.errors import MaxSizeExceeded
from cheroot.server import Gateway, HeaderReader, HTTPConnection, HTTPRequest, HTTPServer

from dalehollow.verdict import Verdict

MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_THREADS = 1024
IDLE_CONNECTION_TIMEOUT_S = 60
_ACCEPT_BACKLOG = 1024
_EXPIRY_INTERVAL_S = 0.25
_LINGER_S = 1.0
_LINGER_CHUNK_BYTES = 256 * 1024
_REASON_PHRASES = {200: "OK", 400: "Bad Request", 404: "Not Found", 503: "Service Unavailable"}


def _always_connected() -> bool:
    return True


def _do_nothing() -> None:
    pass


@dataclass(frozen=True)
class HttpRequest:
    """Hold one request, its body read whole; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    is_connected: Callable[[], bool] = _always_connected
    disconnect: Callable[[], None] = _do_nothing


@dataclass(frozen=True)
class HttpResponse:
    """Hold one response; an iterator as body is streamed and closed when the caller is gone."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes | Iterator[bytes] = b""


Handler = Callable[[HttpRequest], HttpResponse]


class _StrictHeaderReader(HeaderReader):
    """Refuse repeated headers and conflicting lengths, which smuggling relies on."""

    def __call__(self, rfile: Any, hdict: dict[bytes, bytes] | None = None) -> dict[bytes, bytes]:
        headers: dict[bytes, bytes] = _UniqueHeaders() if hdict is None or not hdict else hdict
        super().__call__(rfile, headers)
        if b"Content-Length" in headers and b"Transfer-Encoding" in headers:
            raise ValueError("header 'Content-Length' conflicts with 'Transfer-Encoding'")
        length = headers.get(b"Content-Length")
        if length is not None and not length.isdigit():
            raise ValueError(f"header 'Content-Length' is {length.decode('latin-1')!r}, not digits")
        if hdict is not None:
            hdict.update(headers)
        return headers


class _UniqueHeaders(dict[bytes, bytes]):
    """Refuse a second value for a header name."""

    def __setitem__(self, key: bytes, value: bytes) -> None:
        if key in self:
            raise ValueError(f"header {key.decode('latin-1')!r} is given twice; give it once")
        super().__setitem__(key, value)


class _JsonErrorRequest(HTTPRequest):
    """Answer malformed requests with the same JSON body as every other refusal."""

    header_reader = _StrictHeaderReader()
    is_handed_over = False

    def simple_response(self, status: object, msg: str = "") -> None:
        """Write a refusal that no handler made, and close."""
        text = str(status)
        if text.startswith("100"):
            super().simple_response(text, msg)
            return
        verdict = Verdict.MAY_HAVE_RUN if self.is_handed_over else Verdict.NOT_RUN
        reason = "internal_error" if self.is_handed_over else "bad_request"
        body = refusal_body(reason, verdict, msg or text)
        head = (
            f"HTTP/1.1 {text}\r\nContent-Type: application/json\r\n"
            f"Dalehollow-Verdict: {verdict}\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.close_connection = True
        self.conn.wfile.write(head.encode("latin-1") + body)


class _JsonErrorConnection(HTTPConnection):
    RequestHandlerClass = _JsonErrorRequest


def refusal_body(reason: str, verdict: Verdict, message: str) -> bytes:
    """Return the JSON body that every refusal carries."""
    return json.dumps(
        {"error": {"reason": reason, "verdict": verdict, "message": message}}
    ).encode()


class _ThreadPerRequest:
    """Serve each readable connection on a thread of its own, reusing idle threads.

    Implements the pool interface that cheroot documents: min, get, put, start, stop.
    """

    min = 1

    def __init__(self, server: HTTPServer) -> None:
        self._server = server
        self._executor: ThreadPoolExecutor | None = None

    @property
    def idle(self) -> int:
        return 1

    @property
    def qsize(self) -> int:
        return 0

    def start(self) -> None:
        self._executor = ThreadPoolExecutor(MAX_THREADS, thread_name_prefix="conn")

    def put(self, conn: Any) -> None:
        if self._executor is not None:
            self._executor.submit(self._serve, conn)

    def stop(self, timeout: float = 5) -> None:
        if self._executor is not None:
            self._executor.shutdown(wait=False, cancel_futures=True)

    def _serve(self, conn: Any) -> None:
        keep = False
        try:
            keep = conn.communicate()
        except OSError:
            keep = False
        finally:
            if keep:
                self._server.put_conn(conn)
            else:
                _close_gently(conn)


def _close_gently(conn: Any) -> None:
    """Close after the peer has read what was sent: unread bytes would reset the connection."""
    deadline_s = time.monotonic() + _LINGER_S
    try:
        conn.socket.shutdown(socket.SHUT_WR)
        conn.socket.settimeout(_LINGER_S)
        while time.monotonic() < deadline_s and conn.socket.recv(_LINGER_CHUNK_BYTES):
            pass
    except OSError:
        pass
    finally:
        conn.close()


def _is_socket_open(sock: socket.socket) -> bool:
    """Return False once the peer has closed or reset the connection."""
    try:
        readable, _, _ = select.select([sock], [], [], 0)
        if not readable:
            return True
        return bool(sock.recv(1, socket.MSG_PEEK))
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
    phrase = _REASON_PHRASES.get(response.status, "Status")
    req.status = f"{response.status} {phrase}".encode()
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
    return HttpRequest(
        method=req.method.decode("latin-1"),
        path=req.path.decode("latin-1"),
        query=(req.qs or b"").decode("latin-1"),
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
        self._server.ConnectionClass = _JsonErrorConnection
        self._server.requests = _ThreadPerRequest(self._server)
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
