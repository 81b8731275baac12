"""Read the users' metadata store: items, ranges and watches."""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from dalehollow.aio import ClientConnection, ConnectError, CutError, connect
from dalehollow.errors import PlatformError

CONNECT_TIMEOUT_S = 1.0
"""One lost opening packet is sent again after a second; a store that is near answers in ms."""
_HISTORY_GONE_STATUS = 410
_OK_STATUS = 200


class HistoryGoneError(LookupError):
    """Report that the store has dropped the changes a watch asked for: read everything again."""


@dataclass(frozen=True)
class Change:
    """Hold an item as it was written, or None as value where it was deleted."""

    key: str
    value: bytes | None
    revision: int


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


class Store:
    """Call the store over one kept connection; one call at a time."""

    def __init__(self, address: str) -> None:
        """Prepare; `address` is host:port."""
        self._address = address
        self._connection: ClientConnection | None = None
        self.calls = 0

    async def read_range(self, prefix: str, timeout_s: float) -> Reading:
        """Return all items under a prefix; raise PlatformError if the store fails.

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

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> Reading:
        """Wait for changes under a prefix; raise HistoryGoneError or PlatformError."""
        path = (
            f"/kv-watch?pathPrefix={quote(prefix, safe='')}"
            f"&afterRevision={after_revision}&waitMs={round(wait_s * 1000)}"
        )
        events = msgspec.json.decode(
            await self._call(path, wait_s + CONNECT_TIMEOUT_S), type=_Events
        )
        return Reading(tuple(map(_convert_item, events.events)), events.revision)

    def close(self) -> None:
        """Drop the connection."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _call(self, path: str, timeout_s: float) -> bytes:
        self.calls += 1
        try:
            async with asyncio.timeout(timeout_s):
                if self._connection is None:
                    self._connection = await connect(self._address, CONNECT_TIMEOUT_S)
                self._connection.send(
                    [f"GET {path} HTTP/1.1\r\nHost: {self._address}\r\n\r\n".encode()]
                )
                head = await self._connection.read_head()
                body = await self._connection.read_body()
        except (ConnectError, CutError, TimeoutError) as exc:
            self.close()
            raise PlatformError(
                f"{path}: {str(exc) or 'timed out'}", may_have_written=False
            ) from exc
        except asyncio.CancelledError:
            self.close()
            raise
        if head.status == _HISTORY_GONE_STATUS:
            raise HistoryGoneError(path)
        if head.status != _OK_STATUS:
            self.close()
            raise PlatformError(f"{path}: status {head.status}", may_have_written=False)
        return body


def _convert_item(item: _Item) -> Change:
    value = None if item.deleted else base64.b64decode(item.value)
    return Change(item.key, value, item.revision)
