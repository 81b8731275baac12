"""Simulate the users' metadata store: items, ranges, watches, transactions and leases.

Implements the published HTTP protocol on the running event loop, with fault injection.
"""

from __future__ import annotations

import asyncio
import base64
import copy
import itertools
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import msgspec

from dalehollow.aio import CallerConnection, CallerRequest

_PAGE_ITEMS = 500


@dataclass
class _Lease:
    """Hold the duration of a lease and its expiry on the event loop's clock."""

    ttl_s: float
    expires_at_s: float


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(frozen=True)
class _Backup:
    """Hold a backup from which the store can be restored."""

    items: dict[str, _Item]
    leases: dict[int, _Lease]
    revision: int


class MetadataStandIn:
    """Hold the items, the history of changes, the leases and the active fault.

    `fault` is `none`, `busy` (respond 503), `silent` (never respond) or `lost` (execute the call,
    then close the connection without a response).
    """

    def __init__(self) -> None:
        self.fault = "none"
        self.calls: list[str] = []
        self.watch_waits_ms: list[int] = []
        self.unanswered_targets: list[str] = []
        self.items: dict[str, _Item] = {}
        self.revision = 1
        self.oldest_watchable_revision = 0
        # Incremented by each restore and sent with each response.
        self.era = 1
        self._events: list[tuple[int, str, bytes | None]] = []
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()
        self._backup = _Backup({}, {}, self.revision)

    async def handle(self, caller: CallerConnection, request: CallerRequest) -> None:
        path, _, query_text = request.target.decode().partition("?")
        self.calls.append(path)
        if self.fault == "silent":
            self.unanswered_targets.append(request.target.decode())
            await asyncio.Event().wait()
        if self.fault == "busy":
            caller.send_response(503, self._make_headers(), b"")
            return
        query = {k: v[0] for k, v in parse_qs(query_text, keep_blank_values=True).items()}
        body = msgspec.json.decode(request.body) if request.body else {}
        status, answer = await self._answer(request.method, path, query, body)
        if self.fault == "lost":
            caller.abort()
            return
        caller.send_response(status, self._make_headers(), msgspec.json.encode(answer))

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item on behalf of an operator or a server."""
        self.revision += 1
        before = self.items.get(key)
        created = before.created if before is not None else self.revision
        self.items[key] = _Item(value, self.revision, created, lease)
        self._record_event(key, value)

    def delete(self, key: str) -> None:
        """Delete an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_event(key, None)

    def discard_history(self) -> None:
        """Make watches from earlier revisions fail with 410, as if the history were discarded."""
        self.oldest_watchable_revision = self.revision
        self._notify_watchers()

    def back_up(self) -> None:
        """Back up the current items, leases and revision for `restore`."""
        items, leases = copy.deepcopy(self.items), copy.deepcopy(self._leases)
        self._backup = _Backup(items, leases, self.revision)

    def restore(self) -> None:
        """Restore the backup; later writes are lost and their revision numbers are reused."""
        self.items = copy.deepcopy(self._backup.items)
        self._leases = copy.deepcopy(self._backup.leases)
        self.revision = self._backup.revision
        self._events = [event for event in self._events if event[0] <= self.revision]
        self.era += 1
        self._notify_watchers()

    def end_lease(self, lease: int) -> None:
        """End a lease and delete the items attached to it."""
        self._leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.delete(key)

    def end_expired_leases(self) -> None:
        """End expired leases; leases do not expire unless this is called."""
        now_s = asyncio.get_running_loop().time()
        for lease, state in list(self._leases.items()):
            if now_s > state.expires_at_s:
                self.end_lease(lease)

    def end_all_leases(self) -> None:
        """End every lease, as a long outage does."""
        for lease in list(self._leases):
            self.end_lease(lease)

    def _record_event(self, key: str, value: bytes | None) -> None:
        self._events.append((self.revision, key, value))
        self._notify_watchers()

    def _make_headers(self) -> list[tuple[bytes, bytes]]:
        return [(b"store-era", str(self.era).encode())]

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(
        self, method: bytes, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, Any]:
        if path == "/kv-range":
            return 200, self._range(query["pathPrefix"])
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-lease":
            lease = next(self._lease_ids)
            ttl_s = body["ttlMs"] / 1000
            self._leases[lease] = _Lease(ttl_s, asyncio.get_running_loop().time() + ttl_s)
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        if method == b"DELETE":
            self.end_lease(lease)
        else:
            state = self._leases[lease]
            state.expires_at_s = asyncio.get_running_loop().time() + state.ttl_s
        return 200, {}

    def _range(self, prefix: str) -> dict[str, Any]:
        found = sorted(k for k in self.items if k.startswith(prefix))[:_PAGE_ITEMS]
        items = [self._encode(k, self.items[k]) for k in found]
        return {"items": items, "hasMore": False, "timestamp": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after, prefix = int(query["afterRevision"]), query["pathPrefix"]
        self.watch_waits_ms.append(int(query["waitMs"]))
        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000):
                while True:
                    if not self.oldest_watchable_revision <= after <= self.revision:
                        return 410, {}
                    found = [e for e in self._events if e[0] > after and e[1].startswith(prefix)]
                    if found:
                        break
                    await self._changed.wait()
        except TimeoutError:
            found = []
        events = [
            {"key": key, "revision": revision, "deleted": True}
            if value is None
            else {"key": key, "revision": revision, "value": base64.b64encode(value).decode()}
            for revision, key, value in found
        ]
        return 200, {"events": events, "timestamp": self.revision}

    def _transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        rows = body.get("expectedRevision", [])
        found = {row["key"]: self.items.get(row["key"]) for row in rows}
        if any((i.revision if (i := found[r["key"]]) else 0) != r["revision"] for r in rows):
            current = [self._encode(k, item) for k, item in found.items() if item is not None]
            return 412, {"items": current}
        puts = body.get("setKeys", [])
        if any(put["lease"] and put["lease"] not in self._leases for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body.get("delete", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    def _encode(self, key: str, item: _Item) -> dict[str, Any]:
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }
