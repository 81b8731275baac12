"""Set socket options: a bounded wait for acknowledgements, and a reset instead of a close."""

from __future__ import annotations

import asyncio
import socket
import struct

UNACKNOWLEDGED_TIMEOUT_MS = 3_000
"""Time after which unacknowledged bytes break a connection. Longer than three retransmissions at
the round-trip time between halls, shorter than the shortest pause after which callers abandon a
stream."""
# `struct linger` of SO_LINGER: whether a close waits, and for how many seconds; 0 s resets.
_LINGER_FORMAT = "ii"


def set_reset_on_close(sock: socket.socket, *, is_on: bool) -> None:
    """Choose whether a close, also at the end of the process, resets the connection.

    A peer cannot take a reset for the end of a body.
    """
    linger = struct.pack(_LINGER_FORMAT, int(is_on), 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def resets_on_close(sock: socket.socket) -> bool:
    """Return whether a close resets the connection."""
    size_bytes = struct.calcsize(_LINGER_FORMAT)
    is_on, _ = struct.unpack(
        _LINGER_FORMAT, sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, size_bytes)
    )
    return bool(is_on)


def tune_socket(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm and bound how long sent bytes may stay unacknowledged."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
