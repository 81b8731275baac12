"""Read the users' metadata store: items, ranges and watches."""

from __future__ import annotations

import asyncio
import base64
import logging
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from dalehollow.aio import ClientConnection, ConnectError, CutError, connect
from dalehollow.errors import PlatformError
from dalehollow.protocol.reports import Change
from dalehollow.telemetry.logs import log_event

CONNECT_TIMEOUT_S = 1.0
"""One lost opening packet is sent again after a second; a store that is near answers in ms."""
_HISTORY_GONE_STATUS = 410
_CONFLICT_STATUS = 412
_LEASE_GONE_STATUS = 404
_OK_STATUS = 200
_ERA_HEADER = b"store-era"

_LOG = logging.getLogger(__name__)


class ConflictError(Exception):
    """Report that a condition of a write did not hold; nothing of it was done."""


class LeaseGoneError(LookupError):
    """Report that a lease is over, and what was kept under it is gone."""


class HistoryGoneError(LookupError):
    """Report that the store has dropped the changes a watch asked for: read everything again."""


@dataclass(frozen=True)
class Reading:
    """Hold what a call told and the store's revision it is as of."""

    changes: tuple[Change, ...]
    revision: int


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class _Page(msgspec.Struct):
    items: list[_Item]
    # Called a time stamp, but it is the store's revision counter.
    revision: int = msgspec.field(name="timestamp")
    has_more: bool = msgspec.field(name="hasMore", default=False)


class _Events(msgspec.Struct):
    revision: int = msgspec.field(name="timestamp")
    events: list[_Item] = msgspec.field(default_factory=list)


class _Written(msgspec.Struct):
    revision: int


class _Lease(msgspec.Struct):
    lease: int
    ttl_ms: int = msgspec.field(name="ttlMs")


class Store:
    """Call the store over one kept connection; one call at a time."""

    def __init__(self, address: str) -> None:
        """Prepare; `address` is host:port."""
        self._address = address
        self._connection: ClientConnection | None = None
        self.calls = 0
        self._era = b""
        # How long the last answer was on its way, from its head to its end or to where it broke
        # off; 0 where none began.
        self.transfer_s = 0.0

    async def read_range(self, prefix: str, timeout_s: float) -> Reading:
        """Return all items under a prefix; raise PlatformError if the store fails.

        `timeout_s` bounds the wait for each answer to begin.

        Pages are no snapshot, so the revision is that of the first page: what changes while the
        rest is read is told again by a watch from there.
        """
        changes: list[Change] = []
        first_revision = 0
        after = ""
        while True:
            path = f"/kv-range?pathPrefix={quote(prefix, safe='')}"
            if after:
                path += f"&afterRevision={quote(after, safe='')}"
            page = msgspec.json.decode(await self._call(path, timeout_s), type=_Page)
            first_revision = first_revision or page.revision
            changes += map(_convert_item, page.items)
            if not page.has_more or not page.items:
                return Reading(tuple(changes), first_revision)
            after = page.items[-1].key

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float, timeout_s: float
    ) -> Reading:
        """Wait for changes under a prefix; raise HistoryGoneError or PlatformError.

        `timeout_s` bounds the wait for the answer to begin.
        """
        path = (
            f"/kv-watch?pathPrefix={quote(prefix, safe='')}"
            f"&afterRevision={after_revision}&waitMs={round(wait_s * 1000)}"
        )
        events = msgspec.json.decode(await self._call(path, timeout_s), type=_Events)
        return Reading(tuple(map(_convert_item, events.events)), events.revision)

    async def create(self, key: str, value: bytes, lease: int, timeout_s: float) -> int:
        """Create a key that must not be there; return the revision, or raise ConflictError."""
        item = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        # A condition of revision 0 says that the key is not there.
        body = {"expectedRevision": [{"key": key, "revision": 0}], "setKeys": [item]}
        answer = await self._call("/kv-txn", timeout_s, method="POST", body=body)
        return msgspec.json.decode(answer, type=_Written).revision

    async def put(self, key: str, value: bytes, timeout_s: float, *, lease: int = 0) -> int:
        """Write a key whatever it holds, for values of which any recent one will do.

        Return the revision; raise LeaseGoneError if the lease is over.
        """
        item = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        body = {"expectedRevision": [], "setKeys": [item]}
        answer = await self._call("/kv-txn", timeout_s, method="POST", body=body)
        return msgspec.json.decode(answer, type=_Written).revision

    async def delete(self, key: str, revision: int, timeout_s: float) -> None:
        """Delete a key if it is still of this revision, or raise ConflictError."""
        body = {"expectedRevision": [{"key": key, "revision": revision}], "delete": [key]}
        await self._call("/kv-txn", timeout_s, method="POST", body=body)

    async def grant_lease(self, ttl_s: float, timeout_s: float) -> tuple[int, float]:
        """Return a new lease and the seconds that it holds."""
        body = {"ttlMs": round(ttl_s * 1000)}
        answer = await self._call("/kv-lease", timeout_s, method="POST", body=body)
        lease = msgspec.json.decode(answer, type=_Lease)
        return lease.lease, lease.ttl_ms / 1000

    async def keep_lease(self, lease: int, timeout_s: float) -> None:
        """Renew a lease, or raise LeaseGoneError."""
        await self._call(f"/kv-keep/{lease}", timeout_s, method="POST", body={})

    async def end_lease(self, lease: int, timeout_s: float) -> None:
        """End a lease, and with it what is kept under it."""
        await self._call(f"/kv-lease-end/{lease}", timeout_s, method="DELETE")

    def close(self) -> None:
        """Drop the connection."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _call(
        self, path: str, timeout_s: float, *, method: str = "GET", body: object = None
    ) -> bytes:
        self.calls += 1
        data = msgspec.json.encode(body) if body is not None else b""
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n"
        if body is not None:
            head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
        is_write = method != "GET"
        self.transfer_s = 0.0
        received_before = self._count_received()
        clock = asyncio.get_running_loop().time
        try:
            async with asyncio.timeout(timeout_s) as limit:
                if self._connection is None:
                    self._connection = await connect(self._address, CONNECT_TIMEOUT_S)
                self._connection.send([head.encode(), b"\r\n", data])
                answer = await self._connection.read_head()
                begun_s = clock()
                self._note_era(answer.get(_ERA_HEADER) or b"")
                try:
                    answer_body = await self._connection.read_body_while_it_comes(limit)
                finally:
                    self.transfer_s = clock() - begun_s
        except (ConnectError, CutError, TimeoutError) as exc:
            received_bytes = self._count_received() - received_before
            self.close()
            message = f"{path}: {str(exc) or 'timed out'} after {received_bytes} bytes"
            sent = is_write and not isinstance(exc, ConnectError)
            raise PlatformError(message, may_have_written=sent) from exc
        except asyncio.CancelledError:
            self.close()
            raise
        return self._check_status(path, answer.status, answer_body)

    def _count_received(self) -> int:
        return self._connection.received_bytes if self._connection is not None else 0

    def _note_era(self, era: bytes) -> None:
        """Log when the store says for the first time, or anew, how often it was restored."""
        if era != self._era:
            log_event(
                _LOG, "store_era", era=era.decode("latin-1"), before=self._era.decode("latin-1")
            )
            self._era = era

    def _check_status(self, path: str, status: int, body: bytes) -> bytes:
        if status == _OK_STATUS:
            return body
        if status == _HISTORY_GONE_STATUS:
            raise HistoryGoneError(path)
        if status == _CONFLICT_STATUS:
            raise ConflictError(path)
        if status == _LEASE_GONE_STATUS:
            raise LeaseGoneError(path)
        # Another connection may reach a part of the store that serves this process.
        self.close()
        raise PlatformError(f"{path}: status {status}", may_have_written=False)


def _convert_item(item: _Item) -> Change:
    value = None if item.deleted else base64.b64decode(item.value)
    return Change(item.key, value, item.revision)
