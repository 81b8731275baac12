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

RESPONSE_MODES = (
    "plain",
    "chunked",
    "late",
    "twice",
    "twice_late",
    "longer",
    "cut_length",
    "cut_chunked",
)
COMPLETE_MODES = ("plain", "chunked", "late", "twice", "twice_late", "longer")
_DELAY_S = 0.004


def make_response(number: int) -> bytes:
    """Return the correct response body for a request."""
    return f"answer-{number}-{hashlib.sha256(str(number).encode()).hexdigest()}".encode()


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
                if not self._send_response(sock, request["mode"], make_response(request["number"])):
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
            case _:
                sock.sendall(chunked + piece[:15])
                return False
        return True
