"""Read and write the users' metadata store: items, ranges, watches, leases.

Revisions of this module hold the era in front (`protocol/revisions.py`).
"""

from __future__ import annotations

import asyncio
import base64
import logging
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec

from dalehollow.aio import ClientConnection, ConnectError, CutError, connect
from dalehollow.errors import PlatformError
from dalehollow.protocol.reports import Change
from dalehollow.protocol.revisions import MAX_ERA, join_revision, read_era, read_number
from dalehollow.telemetry.logs import log_event

CONNECT_TIMEOUT_S = 1.0
"""One lost opening packet is sent again after a second; a store that is near answers in ms."""
_HISTORY_GONE_STATUS = 410
_CONFLICT_STATUS = 412
_LEASE_GONE_STATUS = 404
_OK_STATUS = 200
_ERA_HEADER = b"store-era"

_LOG = logging.getLogger(__name__)

_T = TypeVar("_T")


class ConflictError(Exception):
    """Report that a condition of a write did not hold; nothing of it was done."""


class LeaseGoneError(LookupError):
    """Report that a lease is over, and what was kept under it is gone."""


class HistoryGoneError(LookupError):
    """Report that the store has dropped the changes a watch asked for: read everything again."""


class StoreEra:
    """Hold how often the store was restored, as all connections of a process heard it."""

    def __init__(self) -> None:
        """Begin with none: a store that names no era is in era 0."""
        self.newest = 0
        self._unusable = b""

    def take(self, told: bytes | None) -> int:
        """Return the era of an answer; raise PlatformError for an answer of an earlier one.

        Such an answer was made before the store was restored: its revisions would hide those that
        are given out again. An era that is missing or no number says nothing: the newest holds.
        """
        era = self._parse(told)
        if era is None:
            return self.newest
        if era < self.newest:
            log_event(_LOG, "store_era_lower", logging.WARNING, era=era, newest=self.newest)
            message = f"an answer of era {era} after {self.newest}"
            raise PlatformError(message, may_have_written=True)
        if era > self.newest:
            log_event(_LOG, "store_era", era=era, before=self.newest)
            self.newest = era
        return era

    def _parse(self, told: bytes | None) -> int | None:
        if told is not None and told.isdigit() and len(told) < 20 and int(told) <= MAX_ERA:
            return int(told)
        if told is not None and told != self._unusable:
            self._unusable = told
            log_event(_LOG, "store_era_unusable", logging.ERROR, era=told.decode("latin-1"))
        return None


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

    def __init__(self, address: str, era: StoreEra | None = None) -> None:
        """Prepare; `address` is host:port, `era` is shared by all connections of a process."""
        self._address = address
        self.era = era or StoreEra()
        self._connection: ClientConnection | None = None
        self.calls = 0
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
        first: tuple[int, int] | None = None
        after = ""
        while True:
            path = f"/kv-range?pathPrefix={quote(prefix, safe='')}"
            if after:
                path += f"&afterRevision={quote(after, safe='')}"
            page = _decode(await self._call(path, timeout_s), _Page)
            era = self.era.newest
            first = first or (era, page.revision)
            if era != first[0]:
                message = f"{path}: the store was restored between two pages"
                raise PlatformError(message, may_have_written=False)
            changes += (_convert_item(item, era) for item in page.items)
            if not page.has_more or not page.items:
                return Reading(tuple(changes), join_revision(*first))
            after = page.items[-1].key

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float, timeout_s: float
    ) -> Reading:
        """Wait for changes under a prefix; raise HistoryGoneError or PlatformError.

        `timeout_s` bounds the wait for the answer to begin. Changes between two eras are told by
        no watch: a restored store may have given the revision out again.
        """
        path = (
            f"/kv-watch?pathPrefix={quote(prefix, safe='')}"
            f"&afterRevision={read_number(after_revision)}&waitMs={round(wait_s * 1000)}"
        )
        self._check_same_era(after_revision)
        events = _decode(await self._call(path, timeout_s), _Events)
        self._check_same_era(after_revision)
        era = self.era.newest
        changes = tuple(_convert_item(item, era) for item in events.events)
        return Reading(changes, join_revision(era, events.revision))

    async def create(self, key: str, value: bytes, lease: int, timeout_s: float) -> int:
        """Create a key that must not be there; return the revision, or raise ConflictError."""
        item = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        # A condition of revision 0 says that the key is not there.
        body = {"expectedRevision": [{"key": key, "revision": 0}], "setKeys": [item]}
        answer = await self._call("/kv-txn", timeout_s, method="POST", body=body)
        return join_revision(self.era.newest, _decode(answer, _Written).revision)

    async def put(self, key: str, value: bytes, timeout_s: float, *, lease: int = 0) -> int:
        """Write a key whatever it holds, for values of which any recent one will do.

        Return the revision; raise LeaseGoneError if the lease is over.
        """
        item = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        body = {"expectedRevision": [], "setKeys": [item]}
        answer = await self._call("/kv-txn", timeout_s, method="POST", body=body)
        return join_revision(self.era.newest, _decode(answer, _Written).revision)

    async def delete(self, key: str, revision: int, timeout_s: float) -> None:
        """Delete a key if it is still of this revision, or raise ConflictError."""
        if read_era(revision) != self.era.newest:
            raise ConflictError(key)
        expected = {"key": key, "revision": read_number(revision)}
        body = {"expectedRevision": [expected], "delete": [key]}
        await self._call("/kv-txn", timeout_s, method="POST", body=body)

    async def grant_lease(self, ttl_s: float, timeout_s: float) -> tuple[int, float]:
        """Return a new lease and the seconds that it holds."""
        body = {"ttlMs": round(ttl_s * 1000)}
        answer = await self._call("/kv-lease", timeout_s, method="POST", body=body)
        lease = _decode(answer, _Lease)
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
                self.era.take(answer.get(_ERA_HEADER))
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
        except (PlatformError, asyncio.CancelledError):
            self.close()
            raise
        return self._check_status(path, answer.status, answer_body)

    def _count_received(self) -> int:
        return self._connection.received_bytes if self._connection is not None else 0

    def _check_same_era(self, revision: int) -> None:
        if read_era(revision) != self.era.newest:
            raise HistoryGoneError(f"the store was restored, its era is {self.era.newest}")

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


def _decode(body: bytes, kind: type[_T]) -> _T:
    """Return an answer; raise PlatformError if it is none."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, RecursionError) as exc:
        message = f"an answer that cannot be read: {exc}"
        raise PlatformError(message, may_have_written=True) from exc


def _convert_item(item: _Item, era: int) -> Change:
    """Return an item; one whose bytes cannot be read holds none, so that it names nothing."""
    revision = join_revision(era, item.revision)
    if item.deleted:
        return Change(item.key, None, revision)
    try:
        return Change(item.key, base64.b64decode(item.value, validate=True), revision)
    except ValueError as exc:
        log_event(_LOG, "store_value_unreadable", logging.ERROR, key=item.key, error=exc)
        return Change(item.key, b"", revision)
