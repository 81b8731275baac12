"""Hand what the store told from gateway to gateway where the store does not.

Reports tell up to which revision their sender lacks nothing. Who hears of a later one than its own,
and does not get there by the usual ways within a moment, fetches what is newer from a gateway that
has it: configurations, upstreams that leave or are gone, members, duties, plans. So a gateway lacks
nothing for long that any gateway it hears knows, whether or not the store answers it.
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

from dalehollow.aio import CallerConnection, CallerRequest, ClientConnection, CutError, connect
from dalehollow.gateway.feed import HallFeed
from dalehollow.protocol.reports import StoreChanges
from dalehollow.protocol.revisions import format_revision
from dalehollow.telemetry.logs import log_event

COPY_AFTER_S = 0.3
"""Changes come within milliseconds, and who lacks one asks the store after 0.1 s: what is still
missing after this was refused or lost twice."""
RETRY_PAUSE_S = 0.1
"""Pause after a fetch that failed, before another gateway that has more is asked."""
SOURCE_LIFE_S = 1.0
"""A gateway that has not said for so long what it knows is not asked for it: four of its reports
are missing."""
FETCH_TIMEOUT_S = 0.3
"""Bound of the connection and of the wait for the answer to begin: both take milliseconds."""
_PATH = "/changes"

_LOG = logging.getLogger(__name__)

Dial = Callable[[str, float], Awaitable[ClientConnection]]


@dataclass(frozen=True)
class _Source:
    """Hold up to which revision a gateway lacks nothing, and when that was last heard."""

    revision: int
    heard_at_s: float


@dataclass(frozen=True)
class _Packed:
    """Hold an answer, and for which request and state of knowledge it was made."""

    after: int
    taken: int
    body: bytes


class StoreCopies:
    """Fetch from other gateways what this one lacks, and give them what they lack."""

    def __init__(self, feed: HallFeed, rng: random.Random, dial: Dial = connect) -> None:
        """Prepare; `dial` opens a connection to another gateway's address."""
        self._feed = feed
        self._rng = rng
        self._dial = dial
        # Kept, since many that lack the same may ask at once.
        self._packed = _Packed(0, -1, b"")
        self._sources: dict[str, _Source] = {}
        self._lacks = asyncio.Event()

    def note_told(self, address: str, revision: int) -> None:
        """Take in up to which revision the gateway at an address lacks nothing."""
        if revision <= self._feed.revision:
            self._sources.pop(address, None)
            return
        self._sources[address] = _Source(revision, asyncio.get_running_loop().time())
        self._lacks.set()

    async def run(self) -> None:
        """Fetch what is lacked for longer than a moment, for ever."""
        while True:
            await self._lacks.wait()
            self._lacks.clear()
            wanted = max((s.revision for s in self._sources.values()), default=0)
            if wanted <= self._feed.revision:
                continue
            await asyncio.sleep(COPY_AFTER_S)
            while self._feed.revision < wanted and (address := self._choose_source(wanted)):
                if await self._fetch(address):
                    break
                await asyncio.sleep(RETRY_PAUSE_S)

    async def answer(self, caller: CallerConnection, request: CallerRequest) -> None:
        """Tell another gateway all that is known here and newer than a revision."""
        after = _read_after(request.target)
        if after is None:
            caller.send_whole(HTTPStatus.BAD_REQUEST, [], b"")
            return
        if not self._feed.revision:
            caller.send_whole(HTTPStatus.NOT_FOUND, [], b"")
            return
        if (self._packed.after, self._packed.taken) != (after, self._feed.taken):
            body = msgspec.msgpack.encode(self._feed.list_changes(after))
            self._packed = _Packed(after, self._feed.taken, body)
        caller.send_whole(HTTPStatus.OK, [], self._packed.body)

    def _choose_source(self, wanted: int) -> str:
        """Return where a revision is to be had, or "" where nobody is heard that has it."""
        since_s = asyncio.get_running_loop().time() - SOURCE_LIFE_S
        self._sources = {a: s for a, s in self._sources.items() if s.heard_at_s > since_s}
        having = sorted(a for a, s in self._sources.items() if s.revision >= wanted)
        return self._rng.choice(having) if having else ""

    async def _fetch(self, address: str) -> bool:
        """Fetch from a gateway what is lacked; return whether it gave it."""
        before = self._feed.revision
        try:
            body = await self._call(address, before)
            self._feed.take_changes(msgspec.msgpack.decode(body, type=StoreChanges))
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
                    raise CutError(f"status {answer.status}")
                return await connection.read_body_while_it_comes(limit)
        finally:
            if connection is not None:
                connection.abort()


def _read_after(target: bytes) -> int | None:
    """Return the revision that a request names, or None if it names none."""
    values = parse_qs(target.partition(b"?")[2]).get(b"after", [b""])
    return int(values[0]) if values[0].isdigit() else None
