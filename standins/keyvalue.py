"""Simulate the platform's key-value service and VM list, with fault injection.

GET /kv/KEY[?after=REVISION&wait_ms=N], PUT /kv/KEY?expect=REVISION[&ttl_ms=N],
DELETE /kv/KEY.
GET /vms lists VMs as [{"name": NAME, "state": "live" | "leaving"}]; PUT /vms replaces the list.
PUT /fault with {"mode": "none" | "down" | "lose_answer" | "late_write", "count": N} injects a
fault into the next N calls. Mode `late_write` has no effect.
"""

from __future__ import annotations

import json
import threading
from collections import Counter
from dataclasses import dataclass
from urllib.parse import parse_qs

import fire

from dalehollow.clock import read_clock
from dalehollow.web import HttpRequest, HttpResponse, HttpServer
from standins.serving import serve_until_signal


@dataclass
class _Item:
    value: bytes
    revision: int
    expires_at_s: float | None


class KeyValueStandIn:
    """Hold the keys, the VM list, the active fault and call counts by operation."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.vms: list[dict[str, str]] = []
        self.mode = "none"
        self.remaining_faults = 0
        self._items: dict[str, _Item] = {}
        self._revision = 0
        self._changed = threading.Condition()

    def handle(self, req: HttpRequest) -> HttpResponse:
        if req.path == "/fault":
            return self._set_fault(json.loads(req.body))
        if req.path == "/calls":
            return HttpResponse(200, {}, json.dumps(self.calls).encode())
        fault = self._consume_fault()
        if req.path == "/vms":
            return self._list_vms(req, fault)
        self.calls[f"{req.method} {req.path.split('/')[2]}"] += 1
        if fault == "down":
            return HttpResponse(503, {}, b"")
        query = {k: v[0] for k, v in parse_qs(req.query).items()}
        key = req.path.removeprefix("/kv/")
        if req.method == "GET":
            return self._get(key, int(query.get("after", -1)), int(query.get("wait_ms", 0)))
        if req.method == "DELETE":
            with self._changed:
                self._items.pop(key, None)
            return HttpResponse(200, {}, b"")
        response = self._put(key, req.body, int(query["expect"]), query.get("ttl_ms"))
        return HttpResponse(500, {}, b"") if fault == "lose_answer" else response

    def _list_vms(self, req: HttpRequest, fault: str) -> HttpResponse:
        """Return the VM list, or replace it on PUT."""
        if req.method == "PUT":
            self.vms = json.loads(req.body)
            return HttpResponse(200, {}, b"")
        self.calls["GET vms"] += 1
        if fault == "down":
            return HttpResponse(503, {}, b"")
        return HttpResponse(200, {}, json.dumps(self.vms).encode())

    def list_keys(self) -> set[str]:
        with self._changed:
            return set(self._items)

    def set_fault(self, mode: str, count: int = 1_000_000) -> None:
        with self._changed:
            self.mode, self.remaining_faults = mode, count

    def _set_fault(self, fault: dict[str, object]) -> HttpResponse:
        self.set_fault(str(fault["mode"]), int(str(fault.get("count", 1_000_000))))
        return HttpResponse(200, {}, b"")

    def _consume_fault(self) -> str:
        with self._changed:
            if self.remaining_faults <= 0:
                return "none"
            self.remaining_faults -= 1
            return self.mode

    def _get(self, key: str, after: int, wait_ms: int) -> HttpResponse:
        deadline_s = read_clock() + wait_ms / 1000
        with self._changed:
            while True:
                item = self._find(key)
                remaining_s = deadline_s - read_clock()
                if (item is not None and item.revision > after) or remaining_s <= 0:
                    break
                self._changed.wait(remaining_s)
        if item is None:
            return HttpResponse(404, {}, b"")
        return HttpResponse(200, {"kv-revision": str(item.revision)}, item.value)

    def _put(self, key: str, value: bytes, expect: int, ttl_ms: str | None) -> HttpResponse:
        with self._changed:
            item = self._find(key)
            current_revision = item.revision if item is not None else 0
            if current_revision != expect:
                return HttpResponse(409, {"kv-revision": str(current_revision)}, b"")
            self._revision += 1
            expires_at_s = read_clock() + int(ttl_ms) / 1000 if ttl_ms else None
            self._items[key] = _Item(value, self._revision, expires_at_s)
            self._changed.notify_all()
            return HttpResponse(200, {"kv-revision": str(self._revision)}, b"")

    def _find(self, key: str) -> _Item | None:
        item = self._items.get(key)
        if item is not None and item.expires_at_s is not None:
            return item if read_clock() < item.expires_at_s else None
        return item


def main(host: str = "127.0.0.1", port: int = 0) -> None:
    """Serve the simulated key-value service."""
    serve_until_signal(HttpServer(host, port, KeyValueStandIn().handle, name="keyvalue"))


if __name__ == "__main__":
    fire.Fire(main)
