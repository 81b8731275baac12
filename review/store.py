"""Stand in for the platform's metadata store: items, ranges, watches, transactions, leases."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from review.web import Connection, Request

_PAGE_ITEMS = 500


@dataclass
class Item:
    """Hold one item."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass
class Store:
    """Hold the items, the history and the leases, which expire on time."""

    revision: int = 1
    items: dict[str, Item] = field(default_factory=dict)
    _events: list[dict[str, Any]] = field(default_factory=list)
    # Time to live and end of each lease.
    _leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    _ids: Any = field(default_factory=lambda: itertools.count(1))
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write an item; anything but bytes is encoded as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key].created if key in self.items else self.revision
        self.items[key] = Item(data, self.revision, created, lease)
        self._record(self._encode(key))

    def delete(self, key: str) -> None:
        """Delete an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "deleted": True})

    async def run(self) -> None:
        """End leases on time; never returns."""
        while True:
            await asyncio.sleep(0.02)
            now_s = asyncio.get_running_loop().time()
            for lease, (_, end_s) in list(self._leases.items()):
                if now_s > end_s:
                    self._end_lease(lease)

    async def handle(self, connection: Connection, request: Request) -> None:
        """Answer one call."""
        path, _, text = request.target.partition("?")
        query = {k: v[0] for k, v in parse_qs(text, keep_blank_values=True).items()}
        body = json.loads(request.body) if request.body else {}
        status, answer = await self._answer(request.method, path, query, body)
        connection.send(status, {"Content-Type": "application/json"}, json.dumps(answer).encode())

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if path == "/kv-range":
            return 200, self._range(query["pathPrefix"], query.get("afterRevision", ""))
        if path == "/kv-watch":
            return 200, await self._watch(query)
        if path == "/kv-txn":
            return self._transact(body)
        now_s = asyncio.get_running_loop().time()
        if path == "/kv-lease":
            lease, ttl_s = next(self._ids), max(1.0, body["ttlMs"] / 1000)
            self._leases[lease] = (ttl_s, now_s + ttl_s)
            return 200, {"lease": lease, "ttlMs": round(ttl_s * 1000)}
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
        else:
            ttl_s = self._leases[lease][0]
            self._leases[lease] = (ttl_s, now_s + ttl_s)
        return 200, {}

    def _range(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self._encode(k) for k in keys[:_PAGE_ITEMS]],
            "hasMore": len(keys) > _PAGE_ITEMS,
            "timestamp": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        after, prefix = int(query["afterRevision"]), query["pathPrefix"]
        events: list[dict[str, Any]] = []
        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000):
                while not events:
                    changed = self._changed
                    events = [
                        e
                        for e in self._events
                        if e["revision"] > after and e["key"].startswith(prefix)
                    ]
                    if not events:
                        await changed.wait()
        except TimeoutError:
            pass
        return {"events": events, "timestamp": self.revision}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected, puts = body.get("expectedRevision", []), body.get("setKeys", [])
        found = {r["key"]: self.items.get(r["key"]) for r in expected}
        if any((i.revision if (i := found[r["key"]]) else 0) != r["revision"] for r in expected):
            return 412, {"items": [self._encode(k) for k, item in found.items() if item]}
        if any(p.get("lease") and p["lease"] not in self._leases for p in puts):
            return 404, {}
        for p in puts:
            self.put(p["key"], base64.b64decode(p["value"]), p.get("lease", 0))
        for key in body.get("delete", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.delete(key)

    def _encode(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def _record(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()
