"""Stand in for servers of a plain service, and for the configuration that leads to them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from review.web import Connection, Request, serve

KEY = "key-of-ana"
HOST = "floor.example"
SLOTS = 6


@dataclass
class PlainServer:
    """Hold one server and the ids of the requests that it ran."""

    server_id: str
    record: Callable[[str], None]
    work_s: float = 0.0225
    address: str = ""
    runs: list[str] = field(default_factory=list)
    _active: int = 0

    async def start(self) -> None:
        """Serve on a free port."""
        _, self.address = await serve(self._handle)

    def entry(self) -> dict[str, Any]:
        """Return the entry that the server keeps in the store."""
        return {
            "service": "gate",
            "address": self.address,
            "zone": "a",
            "version": 1,
            "slots": SLOTS,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }

    async def _handle(self, connection: Connection, request: Request) -> None:
        request_id = request.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id}
        if request.headers.get("x-expect-instance", self.server_id) != self.server_id:
            return connection.send(421, headers, b"")
        if self._active >= SLOTS:
            return connection.send(503, {**headers, "X-Not-Executed": "1"}, b"")
        self._active += 1
        self.runs.append(request_id)
        self.record(f"request {request_id} runs at {self.server_id}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._active -= 1
        headers["X-Response-Seal"] = f"{self.server_id}.{request_id}"
        connection.send(200, headers, b"x" * 800)


def make_route(name: str, kind: str) -> dict[str, Any]:
    """Return a route to the plain service."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "service": "gate",
        "kind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 128,
        "maxAttempts": 2,
        "priority": 2,
    }


def make_config(version: int = 3) -> dict[str, Any]:
    """Return a configuration with a safe and an unsafe route to the plain service."""
    return {
        "version": version,
        "routes": [make_route("confirm", "unsafe"), make_route("status", "safe")],
        "services": [{"name": "gate", "healthPath": "/health", "maxConnections": 100}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "ana", "apiKeys": [KEY], "priority": 1}],
    }


def make_headers(request_id: str) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "1532", "X-Key": KEY}
