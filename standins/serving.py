"""Run a simulated service as a process."""

from __future__ import annotations

import signal
import threading

from dalehollow.web import HttpServer


def serve_until_signal(server: HttpServer) -> None:
    """Print the address of the server, and serve until SIGTERM or SIGINT."""
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    server.start()
    print(f"event=ready http={server.address}", flush=True)
    stopping.wait()
    server.stop()
