"""Read request bodies within limits of each body and of all that a server holds."""

from __future__ import annotations

import contextlib
import re
import socket
import threading
from typing import Any

from dalehollow.memory import BODY_COPIES, MemoryBudget, MemoryConsumer

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_TRAILER_BYTES = 32 * 1024
_MAX_CHUNK_SIZE_BYTES = 1024
"""Maximum size of the line before a chunk, with extensions."""
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}")
_READ_BYTES = 16 * 1024


class BodySizeError(ValueError):
    """Report a body that exceeds `MAX_BODY_BYTES`."""


class MemoryFullError(RuntimeError):
    """Report a body that was dropped because all bodies together exceed the limit."""


class BodyMemory:
    """Count the memory of the bodies that a server's threads hold."""

    def __init__(self, limit_bytes: int) -> None:
        """Create an empty count."""
        self._lock = threading.Lock()
        self._budget = MemoryBudget(limit_bytes)

    def update(self, consumer: MemoryConsumer, kept_bytes: int, droppable_bytes: int) -> None:
        """Set what a consumer holds, and make room if that is too much."""
        with self._lock:
            self._budget.update(consumer, kept_bytes, droppable_bytes)

    def may_serve(self, request_bytes: int) -> bool:
        """Return whether a request may be served beside those that are."""
        with self._lock:
            return self._budget.may_serve(request_bytes)


class RequestBody:
    """Read and hold the body of one of cheroot's requests."""

    def __init__(self, req: Any, memory: BodyMemory) -> None:
        """Create an empty body."""
        self._req = req
        self._memory = memory
        self._data = bytearray()
        self._is_dropped = False

    def read(self) -> bytes:
        """Return the whole body.

        Raises ValueError if it is malformed or truncated, BodySizeError if it is too large, and
        MemoryFullError if it was dropped.
        """
        try:
            if self._req.chunked_read:
                # cheroot's own reader takes a chunk's size and its data whole, and no trailers.
                self._read_chunks(self._req.rfile.rfile)
            else:
                self._read_data(self._req.rfile, self._req.rfile.remaining)
        except (OSError, ValueError):
            if self._is_dropped:
                raise MemoryFullError from None
            raise
        size_bytes = len(self._data) * BODY_COPIES
        if size_bytes and not self._memory.may_serve(size_bytes):
            raise MemoryFullError
        body, self._data = bytes(self._data), bytearray()
        if size_bytes:
            self._memory.update(self, size_bytes, 0)
        return body

    def release(self) -> None:
        """Stop counting the body."""
        self._memory.update(self, 0, 0)

    def drop(self) -> None:
        """End the read in another thread."""
        self._is_dropped = True
        with contextlib.suppress(OSError):
            self._req.conn.socket.shutdown(socket.SHUT_RD)

    def _read_data(self, source: Any, size_bytes: int) -> None:
        missing_bytes = size_bytes
        while missing_bytes:
            piece = source.read(min(_READ_BYTES, missing_bytes))
            if not piece:
                raise ValueError(f"request body truncated: {missing_bytes} bytes are missing")
            missing_bytes -= len(piece)
            self._data += piece
            self._memory.update(self, 0, len(self._data) * BODY_COPIES)

    def _read_chunks(self, source: Any) -> None:
        while size_bytes := _read_chunk_size(source):
            if len(self._data) + size_bytes > MAX_BODY_BYTES:
                raise BodySizeError
            self._read_data(source, size_bytes)
            if source.read(2) != b"\r\n":
                raise ValueError("chunk of the request body does not end with CRLF")
        self._discard_trailers(source)

    def _discard_trailers(self, source: Any) -> None:
        left_bytes = MAX_TRAILER_BYTES
        while (line := source.readline(left_bytes)) not in (b"\r\n", b"\n"):
            left_bytes -= len(line)
            if not line.endswith(b"\n") or left_bytes <= 0:
                raise ValueError("trailers of the request are truncated or too large")


def _read_chunk_size(source: Any) -> int:
    line = source.readline(_MAX_CHUNK_SIZE_BYTES)
    text = line.partition(b";")[0].strip()
    if not line.endswith(b"\n") or not _CHUNK_SIZE.fullmatch(text):
        raise ValueError(f"size of a chunk is {text[:20]!r}, not a hexadecimal number")
    return int(text, 16)
