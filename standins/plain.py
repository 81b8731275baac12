"""Stand in for a plain service: it counts each run, and fails on command.

PUT /_fault with {"mode": MODE, "count": N}, MODE one of `none`, `refuse` (status 503),
`cut_before` (run, then close without an answer), `cut_answer` (run, then half an answer) and
`hold` (run, then wait for PUT /_release). GET /_runs returns the runs of each request body.
"""

from __future__ import annotations

import json
import threading
from collections import Counter
from collections.abc import Iterator

import fire

from dalehollow.web import HttpRequest, HttpResponse, HttpServer
from standins.serving import serve_until_signal


class CutError(ConnectionError):
    """End a connection without a whole answer."""


class PlainStandIn:
    """Hold the counts of runs and the fault in force."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.mode = "none"
        self.mode_count = 0
        self.holding = threading.Semaphore(0)
        self.released = threading.Event()
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
            self.released.set()
            return HttpResponse(200, {}, b"")
        return self._run(req)

    def set_fault(self, mode: str, count: int = 1) -> None:
        with self._lock:
            self.released.clear()
            self.mode, self.mode_count = mode, count

    def _run(self, req: HttpRequest) -> HttpResponse:
        body = req.body.decode()
        with self._lock:
            mode = self.mode if self.mode_count > 0 else "none"
            self.mode_count -= 1
            if mode == "refuse":
                return HttpResponse(503, {}, b"busy")
            self.runs[body] += 1
            run = self.runs[body]
        answer = {"method": req.method, "path": req.path, "request": body, "run": run}
        whole = json.dumps(answer).encode()
        if mode == "hold":
            self.holding.release()
            self.released.wait(60)
        if mode == "cut_before":
            req.disconnect()
        if mode == "cut_answer":
            return HttpResponse(200, {}, _cut_after(whole[: len(whole) // 2]))
        return HttpResponse(200, {"content-type": "application/json"}, whole)


def _cut_after(sent: bytes) -> Iterator[bytes]:
    yield sent
    raise CutError("cut on command")


def main(host: str = "127.0.0.1", port: int = 0) -> None:
    """Serve the stand-in."""
    serve_until_signal(HttpServer(host, port, PlainStandIn().handle, name="plain"))


if __name__ == "__main__":
    fire.Fire(main)
