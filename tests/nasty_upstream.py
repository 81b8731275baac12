"""Provide an upstream that sends malformed or unexpected responses.

Each request selects a response mode in its body. The modes are those that could make a proxy mix
up responses, such as a second response to one request.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import socket
import threading
import time

from dalehollow.sockets import set_reset_on_close

PLAIN_MODES = ("plain", "chunked", "late", "twice", "twice_late", "longer", "unframed")
STREAM_MODES = ("events_chunked", "events_length", "events_unframed")
COMPLETE_MODES = (*PLAIN_MODES, *STREAM_MODES)
TRUNCATED_PLAIN_MODES = ("cut_length", "cut_chunked", "cut_between_chunks", "reset_unframed")
# The framing of these streams does not show that they are truncated.
TRUNCATED_STREAM_MODES = (
    "events_cut_chunked",
    "events_cut_length",
    "events_cut_unframed",
    "no_events_unframed",
)
RESPONSE_MODES = (*COMPLETE_MODES, *TRUNCATED_PLAIN_MODES, *TRUNCATED_STREAM_MODES)
_DELAY_S = 0.004
_UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"


def make_response(number: int, mode: str = "plain") -> bytes:
    """Return the correct response body for a request."""
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    if mode in STREAM_MODES:
        return f"id: 1\ndata: {number}\n\nid: 2\ndata: {digest}\n\n".encode()
    return f"answer-{number}-{digest}".encode()


class MisbehavingUpstream:
    """Serve persistent connections, with one thread each."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), sock, sock.makefile("rb") as stream:
            while True:
                length = 0
                if not stream.readline():
                    return
                while (line := stream.readline().strip()) != b"":
                    name, _, value = line.partition(b":")
                    if name.lower() == b"content-length":
                        length = int(value)
                request = json.loads(stream.read(length))
                number, mode = request["number"], request["mode"]
                if "events" in mode:
                    _send_stream(sock, mode, make_response(number, "events_chunked"))
                    return
                if not self._send_response(sock, mode, make_response(number)):
                    return

    def _send_response(self, sock: socket.socket, mode: str, response: bytes) -> bool:
        """Send a response and return whether the connection stays open."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(response)
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        piece = b"%x\r\n%b\r\n" % (len(response), response)
        match mode:
            case "plain":
                sock.sendall(head + response)
            case "chunked":
                sock.sendall(chunked + piece + b"0\r\n\r\n")
            case "late":
                time.sleep(_DELAY_S)
                sock.sendall(head + response)
            case "twice":
                sock.sendall((head + response) * 2)
            case "twice_late":
                sock.sendall(head + response)
                time.sleep(_DELAY_S)
                sock.sendall(head + response)
            case "longer":
                sock.sendall(head + response + b"and more than was announced")
            case "cut_length":
                sock.sendall(head + response[:10])
                return False
            case "cut_chunked":
                sock.sendall(chunked + piece[:15])
                return False
            case "cut_between_chunks":
                sock.sendall(chunked + piece)
                return False
            case "unframed":
                sock.sendall(_UNFRAMED + response)
                return False
            case "reset_unframed":
                sock.sendall(_UNFRAMED + response[:10])
                set_reset_on_close(sock, is_on=True)
                return False
            case _:
                raise ValueError(f"unknown response mode {mode!r}")
        return True


def _send_stream(sock: socket.socket, mode: str, stream: bytes) -> None:
    """Send an event stream, after which the connection is closed; it may end inside an event."""
    body = stream[:-5] if "cut" in mode else b"" if "no_events" in mode else stream
    head = _UNFRAMED[:-2] + b"Content-Type: text/event-stream\r\n"
    if mode.endswith("length"):
        sock.sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
    elif mode.endswith("chunked"):
        chunk = b"%x\r\n%b\r\n" % (len(body), body)
        sock.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n")
    else:
        sock.sendall(head + b"\r\n" + body)
