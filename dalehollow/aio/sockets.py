"""Set the options that make a silent peer show as a broken connection."""

from __future__ import annotations

import asyncio
import socket

UNACKNOWLEDGED_TIMEOUT_MS = 3_000
"""Bytes unacknowledged for so long break a connection: above three retransmissions at the round
trip between halls, below the shortest pause after which callers give a stream up."""


def tune_socket(transport: asyncio.BaseTransport) -> None:
    """Send small writes at once and bound how long sent bytes may stay unacknowledged."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
