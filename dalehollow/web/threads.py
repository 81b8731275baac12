"""Provide a thread pool for cheroot with one thread per request in flight."""

from __future__ import annotations

import socket
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from cheroot.server import HTTPServer

from dalehollow.clock import read_clock
from dalehollow.sockets import resets_on_close

MAX_THREADS = 1024
_LINGER_S = 1.0
_LINGER_CHUNK_BYTES = 256 * 1024


class ThreadPerRequest:
    """Serve each readable connection on its own thread, reusing idle threads.

    Implements the thread pool interface that cheroot documents: min, get, put, start, stop.
    """

    min = 1

    def __init__(self, server: HTTPServer) -> None:
        self._server = server
        self._executor: ThreadPoolExecutor | None = None

    @property
    def idle(self) -> int:
        """Report that a thread is always available."""
        return 1

    @property
    def qsize(self) -> int:
        """Report that no connection is queued."""
        return 0

    def start(self) -> None:
        """Create the executor, which starts threads on demand."""
        self._executor = ThreadPoolExecutor(MAX_THREADS, thread_name_prefix="conn")

    def put(self, conn: Any) -> None:
        """Schedule a readable connection to be served."""
        if self._executor is not None:
            self._executor.submit(self._serve, conn)

    def stop(self, timeout: float = 5) -> None:
        """Accept no more connections; HttpServer.wait_idle waits for requests in flight."""
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
                _close_lingering(conn)


def _close_lingering(conn: Any) -> None:
    """Close after the peer has read the response, or reset at once if the response is truncated.

    Closing a socket with unread input would reset the connection and could lose the response.
    """
    deadline_s = read_clock() + _LINGER_S
    try:
        if resets_on_close(conn.socket):
            # Makes cheroot leave out its own close, which would send a FIN first.
            conn.linger = True
            conn.socket.close()
            return
        conn.socket.shutdown(socket.SHUT_WR)
        conn.socket.settimeout(_LINGER_S)
        while read_clock() < deadline_s and conn.socket.recv(_LINGER_CHUNK_BYTES):
            pass
    except OSError:
        pass
    finally:
        conn.close()
