"""Test that malformed and malicious HTTP is rejected and affects no other request."""

from __future__ import annotations

import fcntl
import json
import resource
import socket
from collections.abc import Iterator

import pytest

from dalehollow.web import HttpClient, HttpRequest, HttpResponse, HttpServer
from dalehollow.web.client import TruncatedResponseError
from dalehollow.web.server import _is_socket_open

MAX_BODY_BYTES = 8 * 1024 * 1024


class EchoHandler:
    """Count the requests that reach the handler and return their bodies."""

    def __init__(self) -> None:
        self.served = 0

    def handle(self, req: HttpRequest) -> HttpResponse:
        self.served += 1
        if req.path == "/cut":
            return HttpResponse(200, {}, _send_truncated())
        if req.path == "/stream":
            return HttpResponse(200, {}, iter((b"half", b" and half")))
        if req.path == "/cut-at-once":
            return HttpResponse(200, {}, _send_nothing())
        if req.path.startswith("/target"):
            return HttpResponse(200, {}, f"{req.path} {req.query}".encode())
        if req.path == "/fail":
            raise RuntimeError("handler failed")
        return HttpResponse(200, {}, req.body)


def _send_truncated() -> Iterator[bytes]:
    yield b"half"
    raise ConnectionError("cut")


def _send_nothing() -> Iterator[bytes]:
    raise ConnectionError("cut")
    yield b""


@pytest.fixture
def echo() -> Iterator[tuple[EchoHandler, str]]:
    handler = EchoHandler()
    server = HttpServer("127.0.0.1", 0, handler.handle, name="echo")
    server.start()
    yield handler, server.address
    server.stop()


def send_raw(address: str, data: bytes) -> bytes:
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := sock.recv(65536):
            received += chunk
    return received


REQUEST_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"
CHUNKED_HEAD = REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
MALFORMED_REQUESTS = [
    (
        "repeated header",
        REQUEST_HEAD + b"X-A: 1\r\nX-A: 2\r\nContent-Length: 0\r\n\r\n",
        b"given twice",
    ),
    (
        "repeated key",
        REQUEST_HEAD + b"Idempotency-Key: 1\r\nIdempotency-Key: 2\r\n\r\n",
        b"given twice",
    ),
    (
        "two lengths",
        REQUEST_HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        b"given twice",
    ),
    (
        "length and chunks",
        REQUEST_HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"conflicts with",
    ),
    ("odd length", REQUEST_HEAD + b"Content-Length: +3\r\n\r\nabc", b"not digits"),
    ("negative length", REQUEST_HEAD + b"Content-Length: -3\r\n\r\nabc", b"not digits"),
    ("unknown encoding", REQUEST_HEAD + b"Transfer-Encoding: xchunked\r\n\r\n", b"501"),
    ("no colon", REQUEST_HEAD + b"nonsense\r\n\r\n", b"Illegal header line"),
    ("bare line feed", b"POST /a HTTP/1.1\nHost: x\n\n", b"CRLF"),
    ("long header", REQUEST_HEAD + b"X-A: " + b"a" * 40_000 + b"\r\n\r\n", b"413"),
    ("long body", REQUEST_HEAD + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), b"413"),
    ("chunk size with a prefix", CHUNKED_HEAD + b"0x1\r\na\r\n0\r\n\r\n", b"hexadecimal"),
    ("chunk size without end", CHUNKED_HEAD + b"1;" + b"a" * 40_000, b"hexadecimal"),
    ("long chunk", CHUNKED_HEAD + b"%x\r\n" % (MAX_BODY_BYTES + 1), b"413"),
    ("chunk without line end", CHUNKED_HEAD + b"1\r\nabc\r\n0\r\n\r\n", b"CRLF"),
    ("long trailers", CHUNKED_HEAD + b"0\r\n" + b"a:\r\n" * 40_000, b"trailers"),
    ("not HTTP", b"\x16\x03\x01\x02\x00\r\n\r\n", b"400"),
]


@pytest.mark.parametrize(
    ("name", "data", "expected"), MALFORMED_REQUESTS, ids=[h[0] for h in MALFORMED_REQUESTS]
)
def test_malformed_request_is_rejected(
    echo: tuple[EchoHandler, str], name: str, data: bytes, expected: bytes
) -> None:
    handler, address = echo
    received = send_raw(address, data)
    assert expected in received
    assert b"Dalehollow-Verdict: NOT_RUN" in received
    assert json.loads(received.partition(b"\r\n\r\n")[2])["error"]["verdict"] == "NOT_RUN"
    assert handler.served == 0
    answer = HttpClient(connect_timeout_s=1).call("POST", address, "/", body=b"ok", timeout_s=5)
    assert answer.unwrap().read() == b"ok"


def test_trailers_are_no_part_of_the_next_request(echo: tuple[EchoHandler, str]) -> None:
    """Guards against trailers that are read as the request after theirs."""
    request = CHUNKED_HEAD + b"2\r\nok\r\n0\r\nX-A: a\r\n\r\n"
    received = send_raw(echo[1], request + REQUEST_HEAD + b"Connection: close\r\n\r\n")
    assert received.count(b"HTTP/1.1 200") == 2


@pytest.mark.parametrize(
    ("path", "is_whole"), [("/stream", True), ("/cut", False), ("/cut-at-once", False)]
)
def test_truncated_stream_of_an_http_1_0_caller_ends_with_a_reset(
    echo: tuple[EchoHandler, str], path: str, is_whole: bool
) -> None:
    """Guards against a close that an HTTP/1.0 caller takes for the end of its stream."""
    host, port = echo[1].split(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(f"GET {path} HTTP/1.0\r\nHost: x\r\n\r\n".encode())
        received = b""
        try:
            while data := sock.recv(65536):
                received += data
            is_reset = False
        except ConnectionResetError:
            is_reset = True
    assert is_reset != is_whole
    if is_whole:
        assert received.endswith(b"\r\n\r\nhalf and half")


def test_chunked_body_over_the_limit_is_rejected(echo: tuple[EchoHandler, str]) -> None:
    handler, address = echo
    chunk = b"%x\r\n" % (1024 * 1024) + b"a" * (1024 * 1024) + b"\r\n"
    received = send_raw(address, REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 10)
    assert b"413" in received
    assert handler.served == 0


def test_truncated_body_is_not_served(echo: tuple[EchoHandler, str]) -> None:
    handler, address = echo
    received = send_raw(address, REQUEST_HEAD + b"Content-Length: 10\r\n\r\nabc")
    assert b" 200 " not in received
    assert handler.served == 0


@pytest.mark.parametrize("path", ["/cut", "/cut-at-once"])
def test_truncated_response_raises(echo: tuple[EchoHandler, str], path: str) -> None:
    _, address = echo
    answer = HttpClient(connect_timeout_s=1).call("GET", address, path, timeout_s=5).unwrap()
    assert answer.status == 200
    with pytest.raises(TruncatedResponseError):
        list(answer.stream())


@pytest.mark.parametrize("is_listening", [True, False])
def test_error_states_whether_the_request_was_sent(is_listening: bool) -> None:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        if is_listening:
            sock.listen()
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        call = HttpClient(connect_timeout_s=1).call("POST", address, "/", body=b"x", timeout_s=0.2)
    assert call.unwrap_err().sent is is_listening


def test_failed_handler_may_have_run(echo: tuple[EchoHandler, str]) -> None:
    _, address = echo
    answer = HttpClient(connect_timeout_s=1).call("GET", address, "/fail", timeout_s=5).unwrap()
    assert (answer.status, answer.headers["dalehollow-verdict"]) == (500, "MAY_HAVE_RUN")


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        (b"/target%3Fa=1", b"/target%3Fa=1 "),
        (b"/target%2Fb?c=%41", b"/target%2Fb c=%41"),
        (b"/target%0d%0aX-A:%201", b"/target%0d%0aX-A:%201 "),
    ],
)
def test_target_is_forwarded_undecoded(
    echo: tuple[EchoHandler, str], target: bytes, expected: bytes
) -> None:
    received = send_raw(echo[1], b"GET " + target + b" HTTP/1.1\r\nHost: x\r\n\r\n")
    assert received.partition(b"\r\n\r\n")[2] == expected


def test_open_connection_with_a_high_descriptor() -> None:
    """select.select fails for file descriptors of 1,024 and above.

    With it, a process with more descriptors treated every caller as disconnected.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 2_048)), hard))
    left, right = socket.socketpair()
    high = fcntl.fcntl(left.fileno(), fcntl.F_DUPFD, 1_500)
    with left, right, socket.socket(fileno=high) as sock:
        assert _is_socket_open(sock)
        right.close()
        assert not _is_socket_open(sock)
