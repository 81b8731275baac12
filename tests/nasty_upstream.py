"""Answer HTTP in the ways that mix answers up, as each request's own body asks."""

from __future__ import annotations

import contextlib
import hashlib
import json
import socket
import threading
import time

MODES = ("plain", "chunked", "late", "twice", "twice_late", "longer", "cut_length", "cut_chunked")
CLEAN_MODES = ("plain", "chunked", "late", "twice", "twice_late", "longer")
_LATE_S = 0.004


def make_answer(number: int) -> bytes:
    """Return the one right answer to a request."""
    return f"answer-{number}-{hashlib.sha256(str(number).encode()).hexdigest()}".encode()


class NastyUpstream:
    """Serve kept connections, one thread each."""

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
        with contextlib.suppress(OSError, ValueError), sock, sock.makefile("rb") as reader:
            while True:
                length = 0
                if not reader.readline():
                    return
                while (line := reader.readline().strip()) != b"":
                    name, _, value = line.partition(b":")
                    if name.lower() == b"content-length":
                        length = int(value)
                request = json.loads(reader.read(length))
                if not self._answer(sock, request["mode"], make_answer(request["number"])):
                    return

    def _answer(self, sock: socket.socket, mode: str, answer: bytes) -> bool:
        """Answer and return whether the connection is kept."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer)
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        piece = b"%x\r\n%b\r\n" % (len(answer), answer)
        match mode:
            case "plain":
                sock.sendall(head + answer)
            case "chunked":
                sock.sendall(chunked + piece + b"0\r\n\r\n")
            case "late":
                time.sleep(_LATE_S)
                sock.sendall(head + answer)
            case "twice":
                sock.sendall((head + answer) * 2)
            case "twice_late":
                sock.sendall(head + answer)
                time.sleep(_LATE_S)
                sock.sendall(head + answer)
            case "longer":
                sock.sendall(head + answer + b"and more than was announced")
            case "cut_length":
                sock.sendall(head + answer[:10])
                return False
            case _:
                sock.sendall(chunked + piece[:15])
                return False
        return True
