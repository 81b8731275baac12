"""Access the metadata store: range reads, watches, conditional writes and leases.

Revisions returned here carry the store era in their high bits (`protocol/revisions.py`).
"""

from __future__ import annotations

import asyncio
import base64
import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec

from dalehollow.aio import ClientConnection, ConnectError, ResponseError, connect
from dalehollow.errors import PlatformError
from dalehollow.protocol.reports import Change
from dalehollow.protocol.revisions import MAX_ERA, join_revision, read_era, read_number
from dalehollow.telemetry.logs import log_event

CONNECT_TIMEOUT_S = 1.0
"""TCP retransmits a lost SYN after 1 s; a nearby store accepts within milliseconds."""
_HISTORY_GONE_STATUS = 410
_CONFLICT_STATUS = 412
_LEASE_GONE_STATUS = 404
_OK_STATUS = 200
_ERA_HEADER = b"store-era"

_LOG = logging.getLogger(__name__)

_T = TypeVar("_T")


class ConflictError(Exception):
    """Signal that a write precondition failed; nothing was written.

    `changes` holds the conditional keys that exist, as they are now, if the call reads them.
    """

    def __init__(self, message: str, body: bytes = b"") -> None:
        """Create the error for a response with this body."""
        super().__init__(message)
        self.body = body
        self.changes: tuple[Change, ...] = ()


class LeaseGoneError(LookupError):
    """Signal that a lease has expired or was revoked; the keys attached to it are deleted."""


class HistoryGoneError(LookupError):
    """Signal that the store dropped the changes a watch requested; a full read is required."""


class StoreEra:
    """Count store restores, as seen by all connections of a process."""

    def __init__(self) -> None:
        """Start in era 0, which also stands for a store that reports no era."""
        self.newest = 0
        self._last_invalid = b""

    def observe(self, header: bytes | None) -> int:
        """Record and return the era of a response.

        Raises PlatformError if the era is lower than one already seen: the response predates the
        restore, and its revisions would mask those that the restored store assigns again. A
        missing or invalid era is ignored and the newest known one is returned.
        """
        era = self._parse(header)
        if era is None:
            return self.newest
        if era < self.newest:
            log_event(_LOG, "store_era_lower", logging.WARNING, era=era, newest=self.newest)
            message = f"response has era {era} after {self.newest} was seen"
            raise PlatformError(message, may_have_written=True)
        if era > self.newest:
            log_event(_LOG, "store_era", era=era, before=self.newest)
            self.newest = era
        return era

    def _parse(self, header: bytes | None) -> int | None:
        if header is not None and header.isdigit() and len(header) < 20 and int(header) <= MAX_ERA:
            return int(header)
        if header is not None and header != self._last_invalid:
            self._last_invalid = header
            log_event(_LOG, "store_era_unusable", logging.ERROR, era=header.decode("latin-1"))
        return None


@dataclass(frozen=True)
class ReadResult:
    """Hold the changes returned by a read or watch and the revision they are complete up to."""

    changes: tuple[Change, ...]
    revision: int


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class _Page(msgspec.Struct):
    items: list[_Item]
    # The store calls this field a timestamp, but it is the revision counter.
    revision: int = msgspec.field(name="timestamp")
    has_more: bool = msgspec.field(name="hasMore", default=False)


class _Events(msgspec.Struct):
    revision: int = msgspec.field(name="timestamp")
    events: list[_Item] = msgspec.field(default_factory=list)


class _Written(msgspec.Struct):
    revision: int


class _Conflict(msgspec.Struct):
    items: list[_Item] = msgspec.field(default_factory=list)


class _Lease(msgspec.Struct):
    lease: int
    ttl_ms: float = msgspec.field(name="ttlMs")


class Store:
    """Call the store over one persistent connection; calls must not overlap."""

    def __init__(self, address: str, era: StoreEra | None = None) -> None:
        """Create a client; `address` is host:port, `era` is shared by all clients of a process."""
        self._address = address
        self.era = era or StoreEra()
        self._connection: ClientConnection | None = None
        self.calls = 0
        # Time from the head of the last response to its end or to the failure that cut it off;
        # 0 if no response began.
        self.transfer_s = 0.0

    async def read_range(self, prefix: str, timeout_s: float) -> ReadResult:
        """Return all items under a prefix.

        `timeout_s` limits the wait for the start of each response. Raises PlatformError if the
        store fails.

        The pages do not form a snapshot, so the result carries the revision of the first page: a
        watch from there reports again whatever changed while later pages were read.
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
                message = f"{path}: store was restored between two pages"
                raise PlatformError(message, may_have_written=False)
            changes += (_convert_item(item, era) for item in page.items)
            if not page.has_more or not page.items:
                return ReadResult(tuple(changes), join_revision(*first))
            after = page.items[-1].key

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float, timeout_s: float
    ) -> ReadResult:
        """Wait up to `wait_s` for changes under a prefix.

        `timeout_s` limits the wait for the start of the response. Raises PlatformError if the
        store fails, and HistoryGoneError if the changes are not available. That includes any
        revision of an earlier era, since a restored store may have assigned it again.
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
        return ReadResult(changes, join_revision(era, events.revision))

    async def create(self, key: str, value: bytes, lease: int, timeout_s: float) -> int:
        """Create a key and return its revision; raise ConflictError if it exists."""
        item = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        # An expected revision of 0 requires that the key does not exist.
        body = {"expectedRevision": [{"key": key, "revision": 0}], "setKeys": [item]}
        answer = await self._call("/kv-txn", timeout_s, method="POST", body=body)
        return join_revision(self.era.newest, _decode(answer, _Written).revision)

    async def put(self, key: str, value: bytes, timeout_s: float, *, lease: int = 0) -> int:
        """Write a key unconditionally and return its revision.

        For values where the last write may win.

        Raises LeaseGoneError if the lease has expired.
        """
        item = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        body = {"expectedRevision": [], "setKeys": [item]}
        answer = await self._call("/kv-txn", timeout_s, method="POST", body=body)
        return join_revision(self.era.newest, _decode(answer, _Written).revision)

    async def replace(
        self, key: str, value: bytes, expected: Mapping[str, int], timeout_s: float
    ) -> int:
        """Write a key if the expected keys have these revisions, and return its revision.

        A revision of 0 means that the key does not exist. Raises ConflictError with the expected
        keys otherwise.
        """
        rows = [{"key": k, "revision": read_number(r)} for k, r in expected.items()]
        item = {"key": key, "value": base64.b64encode(value).decode(), "lease": 0}
        body = {"expectedRevision": rows, "setKeys": [item]}
        try:
            answer = await self._call("/kv-txn", timeout_s, method="POST", body=body)
        except ConflictError as exc:
            items = _decode(exc.body, _Conflict).items
            exc.changes = tuple(_convert_item(item, self.era.newest) for item in items)
            raise
        return join_revision(self.era.newest, _decode(answer, _Written).revision)

    async def delete(self, key: str, revision: int, timeout_s: float) -> None:
        """Delete a key; raise ConflictError if its revision has changed."""
        if read_era(revision) != self.era.newest:
            raise ConflictError(key)
        expected = {"key": key, "revision": read_number(revision)}
        body = {"expectedRevision": [expected], "delete": [key]}
        await self._call("/kv-txn", timeout_s, method="POST", body=body)

    async def grant_lease(self, ttl_s: float, timeout_s: float) -> tuple[int, float]:
        """Create a lease and return its id and its time to live in seconds."""
        body = {"ttlMs": round(ttl_s * 1000)}
        answer = await self._call("/kv-lease", timeout_s, method="POST", body=body)
        lease = _decode(answer, _Lease)
        return lease.lease, lease.ttl_ms / 1000

    async def renew_lease(self, lease: int, timeout_s: float) -> None:
        """Renew a lease; raise LeaseGoneError if it has expired."""
        await self._call(f"/kv-keep/{lease}", timeout_s, method="POST", body={})

    async def revoke_lease(self, lease: int, timeout_s: float) -> None:
        """Revoke a lease and delete the keys attached to it."""
        await self._call(f"/kv-lease-end/{lease}", timeout_s, method="DELETE")

    def close(self) -> None:
        """Close the connection."""
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
                response_start_s = clock()
                self.era.observe(answer.get(_ERA_HEADER))
                try:
                    answer_body = await self._connection.read_body_with_timeout(limit)
                finally:
                    self.transfer_s = clock() - response_start_s
        except (ConnectError, ResponseError, TimeoutError) as exc:
            received_bytes = self._count_received() - received_before
            self.close()
            message = f"{path}: {str(exc) or 'timed out'} after {received_bytes} bytes"
            may_have_written = is_write and not isinstance(exc, ConnectError)
            raise PlatformError(message, may_have_written=may_have_written) from exc
        except (PlatformError, asyncio.CancelledError):
            self.close()
            raise
        return self._check_status(path, answer.status, answer_body)

    def _count_received(self) -> int:
        return self._connection.received_bytes if self._connection is not None else 0

    def _check_same_era(self, revision: int) -> None:
        if read_era(revision) != self.era.newest:
            raise HistoryGoneError(f"store was restored, its era is now {self.era.newest}")

    def _check_status(self, path: str, status: int, body: bytes) -> bytes:
        if status == _OK_STATUS:
            return body
        if status == _HISTORY_GONE_STATUS:
            raise HistoryGoneError(path)
        if status == _CONFLICT_STATUS:
            raise ConflictError(path, body)
        if status == _LEASE_GONE_STATUS:
            raise LeaseGoneError(path)
        # A new connection may reach a store replica that accepts requests from this process.
        self.close()
        raise PlatformError(f"{path}: status {status}", may_have_written=False)


def _decode(body: bytes, kind: type[_T]) -> _T:
    """Decode a response body; raise PlatformError if it is invalid."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, RecursionError) as exc:
        message = f"cannot decode store response: {exc}"
        raise PlatformError(message, may_have_written=True) from exc


def _convert_item(item: _Item, era: int) -> Change:
    """Convert an item to a change; invalid base64 yields an empty value, which names nothing."""
    revision = join_revision(era, item.revision)
    if item.deleted:
        return Change(item.key, None, revision)
    try:
        return Change(item.key, base64.b64decode(item.value, validate=True), revision)
    except ValueError as exc:
        log_event(_LOG, "store_value_unreadable", logging.ERROR, key=item.key, error=exc)
        return Change(item.key, b"", revision)
