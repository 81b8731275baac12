"""Simulate a plain HTTP service that counts executions, with fault injection.

PUT /_fault with {"mode": MODE, "count": N} injects a fault into the next N requests. MODE is one of
`none`, `refuse` (respond 503 without executing), `cut_before` (execute, then close the connection
without a response), `cut_answer` (execute, then send half of the response) and `hold` (execute,
then wait for PUT /_release). GET /_runs returns the number of executions of each request body.
"""

from __future__ import annotations

import json
import threading
from collections import Counter
from collections.abc import Iterator

import fire

from dalehollow.web import HttpRequest, HttpResponse, HttpServer
from standins.serving import serve_until_signal


class TruncatedResponseError(ConnectionError):
    """Report a response that fault injection truncated."""


class PlainStandIn:
    """Hold execution counts by request body and the active fault."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.mode = "none"
        self.remaining_faults = 0
        self.held_requests = threading.Semaphore(0)
        self.release_requested = threading.Event()
        self._lock = threading.Lock()

    def handle(self, req: HttpRequest) -> HttpResponse:
        if req.path == "/_runs":
            with self._lock:
                return HttpResponse(200, {}, json.dumps(self.runs).encode())
        if req.path == "/_fault":
            fault = json.loads(req.body)
            self.set_fault(fault["mode"], fault.get("count", 1))
            return HttpResponse(200, {}, b"")
        if req.path == "/_release":
            self.release_requested.set()
            return HttpResponse(200, {}, b"")
        return self._run(req)

    def set_fault(self, mode: str, count: int = 1) -> None:
        with self._lock:
            self.release_requested.clear()
            self.mode, self.remaining_faults = mode, count

    def _run(self, req: HttpRequest) -> HttpResponse:
        body = req.body.decode()
        with self._lock:
            mode = self.mode if self.remaining_faults > 0 else "none"
            self.remaining_faults -= 1
            if mode == "refuse":
                return HttpResponse(503, {}, b"busy")
            self.runs[body] += 1
            run = self.runs[body]
        answer = {"method": req.method, "path": req.path, "request": body, "run": run}
        payload = json.dumps(answer).encode()
        if mode == "hold":
            self.held_requests.release()
            self.release_requested.wait(60)
        if mode == "cut_before":
            req.disconnect()
        if mode == "cut_answer":
            return HttpResponse(200, {}, _send_truncated(payload[: len(payload) // 2]))
        return HttpResponse(200, {"content-type": "application/json"}, payload)


def _send_truncated(prefix: bytes) -> Iterator[bytes]:
    yield prefix
    raise TruncatedResponseError("response truncated by fault injection")


def main(host: str = "127.0.0.1", port: int = 0) -> None:
    """Serve the simulated service."""
    serve_until_signal(HttpServer(host, port, PlainStandIn().handle, name="plain"))


if __name__ == "__main__":
    fire.Fire(main)
