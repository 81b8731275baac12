"""Copy store changes from gateway to gateway when neither the store nor the relay delivers them.

Reports carry the revision up to which their sender misses no change. A gateway that hears of a
later revision than its own, and does not reach it through the relay or the store within
`COPY_AFTER_S`, fetches the newer changes from a peer that has them: configurations, upstreams that
leave or are gone, members, duties, plans. So a gateway catches up with every peer it hears, even
if the store does not answer it.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec

from dalehollow.aio import CallerConnection, CallerRequest, ClientConnection, ResponseError, connect
from dalehollow.gateway.feed import HallFeed
from dalehollow.protocol.reports import StoreChanges
from dalehollow.protocol.revisions import format_revision
from dalehollow.telemetry.logs import log_event

COPY_AFTER_S = 0.3
"""Changes arrive within milliseconds, and a gateway that misses one reads the store after 0.1 s; a
change still missing after this time was lost or refused on both ways."""
RETRY_PAUSE_S = 0.1
"""Pause after a failed fetch, before the next gateway is tried."""
SOURCE_LIFE_S = 1.0
"""A gateway not heard for this time is not asked for changes: four of its reports are missing."""
FETCH_TIMEOUT_S = 0.3
"""Limit for connecting, and for the response to begin: both take milliseconds."""
_PATH = "/changes"

_LOG = logging.getLogger(__name__)

Dial = Callable[[str, float], Awaitable[ClientConnection]]


@dataclass(frozen=True)
class _Source:
    """The revision up to which a peer misses no change, and when the peer last reported it."""

    revision: int
    heard_at_s: float


@dataclass(frozen=True)
class _CachedResponse:
    """A cached response body, with the request and the state of the feed it was built for."""

    after: int
    update_count: int
    body: bytes


class StoreCopies:
    """Fetch missing store changes from other gateways, and serve such requests of theirs."""

    def __init__(self, feed: HallFeed, rng: random.Random, dial: Dial = connect) -> None:
        """Create the copier; `dial` opens a connection to another gateway's address."""
        self._feed = feed
        self._rng = rng
        self._dial = dial
        # Cached, since many gateways that miss the same changes may ask at once.
        self._cached = _CachedResponse(0, -1, b"")
        self._sources: dict[str, _Source] = {}
        self._is_behind = asyncio.Event()

    def record_peer_revision(self, address: str, revision: int) -> None:
        """Record the revision up to which the gateway at an address misses no change."""
        if revision <= self._feed.revision:
            self._sources.pop(address, None)
            return
        self._sources[address] = _Source(revision, asyncio.get_running_loop().time())
        self._is_behind.set()

    async def run(self) -> None:
        """Fetch changes that stay missing for `COPY_AFTER_S`; never returns."""
        while True:
            await self._is_behind.wait()
            self._is_behind.clear()
            wanted = max((s.revision for s in self._sources.values()), default=0)
            if wanted <= self._feed.revision:
                continue
            await asyncio.sleep(COPY_AFTER_S)
            while self._feed.revision < wanted and (address := self._choose_source(wanted)):
                if await self._fetch(address):
                    break
                await asyncio.sleep(RETRY_PAUSE_S)

    async def answer(self, caller: CallerConnection, request: CallerRequest) -> None:
        """Answer another gateway's request with all known changes after a revision."""
        after = _parse_after(request.target)
        if after is None:
            caller.send_response(HTTPStatus.BAD_REQUEST, [], b"")
            return
        if not self._feed.revision:
            caller.send_response(HTTPStatus.NOT_FOUND, [], b"")
            return
        if (self._cached.after, self._cached.update_count) != (after, self._feed.update_count):
            body = msgspec.msgpack.encode(self._feed.list_changes(after))
            self._cached = _CachedResponse(after, self._feed.update_count, body)
        caller.send_response(HTTPStatus.OK, [], self._cached.body)

    def _choose_source(self, wanted: int) -> str:
        """Return the address of a gateway that has a revision, "" if none was heard recently."""
        since_s = asyncio.get_running_loop().time() - SOURCE_LIFE_S
        self._sources = {a: s for a, s in self._sources.items() if s.heard_at_s > since_s}
        candidates = sorted(a for a, s in self._sources.items() if s.revision >= wanted)
        return self._rng.choice(candidates) if candidates else ""

    async def _fetch(self, address: str) -> bool:
        """Fetch missing changes from a gateway; return whether the revision advanced."""
        before = self._feed.revision
        try:
            body = await self._call(address, before)
            self._feed.apply_changes(msgspec.msgpack.decode(body, type=StoreChanges))
        except (OSError, TimeoutError, ValueError) as exc:
            error = str(exc) or "timed out"
            log_event(_LOG, "copy_failed", logging.WARNING, source=address, error=error)
            return False
        log_event(
            _LOG,
            "copy_taken",
            source=address,
            before=format_revision(before),
            revision=format_revision(self._feed.revision),
            bytes=len(body),
        )
        return self._feed.revision > before

    async def _call(self, address: str, after: int) -> bytes:
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S) as limit:
                connection = await self._dial(address, FETCH_TIMEOUT_S)
                head = f"GET {_PATH}?after={after} HTTP/1.1\r\nHost: {address}\r\n\r\n"
                connection.send([head.encode()])
                answer = await connection.read_head()
                if answer.status != HTTPStatus.OK:
                    raise ResponseError(f"status {answer.status}")
                return await connection.read_body_with_timeout(limit)
        finally:
            if connection is not None:
                connection.abort()


def _parse_after(target: bytes) -> int | None:
    """Return the `after` revision of a request target, None if missing or not a number."""
    values = parse_qs(target.partition(b"?")[2]).get(b"after", [b""])
    return int(values[0]) if values[0].isdigit() else None
