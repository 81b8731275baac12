"""Hand the newest configuration from gateway to gateway where the store does not.

Reports tell which revision of the configuration their sender has. Who hears of a newer one than
its own, and does not get it by the usual ways within a moment, fetches the whole value from a
gateway that has it. So a gateway lacks no configuration for long that any gateway it hears of
knows, whether or not the store answers it.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

from dalehollow.aio import CallerConnection, CallerRequest, ClientConnection, CutError, connect
from dalehollow.protocol.reports import Change, pack_changes, unpack_changes
from dalehollow.telemetry.logs import log_event

COPY_AFTER_S = 0.3
"""Changes come within milliseconds, and who lacks one asks the store after 0.1 s: what is still
missing after this was refused or lost twice."""
RETRY_PAUSE_S = 0.1
"""Pause after a fetch that failed, before another gateway that has the value is asked."""
SOURCE_LIFE_S = 1.0
"""A gateway that has not said for so long that it has the value is not asked for it: four of its
reports are missing."""
FETCH_TIMEOUT_S = 0.3
"""Bound of the connection and of the wait for the answer to begin: both take milliseconds."""
_PATH = "/configuration"

_LOG = logging.getLogger(__name__)

Dial = Callable[[str, float], Awaitable[ClientConnection]]


@dataclass(frozen=True)
class _Source:
    """Hold where a newer configuration is to be had, and when that was last heard."""

    revision: int
    heard_at_s: float


class ConfigCopies:
    """Hold the newest configuration as the store gave it, and who has a newer one."""

    def __init__(self, rng: random.Random, dial: Dial = connect) -> None:
        """Prepare; `dial` opens a connection to another gateway's address."""
        self._rng = rng
        self._dial = dial
        self._own: Change | None = None
        # Of `_own`, made when it is first asked for: many may ask at once.
        self._packed = b""
        self._sources: dict[str, _Source] = {}
        self._lacks = asyncio.Event()
        # Both are set by whoever makes use of them.
        self.on_copy: Callable[[Change], None] = lambda change: None
        self.on_kept: Callable[[], None] = lambda: None

    @property
    def revision(self) -> int:
        """Return the revision of the newest configuration that is known, 0 for none."""
        return self._own.revision if self._own is not None else 0

    def keep(self, change: Change) -> None:
        """Keep a configuration that was taken in, for the others."""
        if change.revision > self.revision:
            self._own, self._packed = change, b""
            self.on_kept()

    def note_told(self, address: str, revision: int) -> None:
        """Take in which revision the gateway at an address has.

        A gateway that knows no configuration at all knows no upstreams either: it reads the store.
        """
        if not self.revision or revision <= self.revision:
            self._sources.pop(address, None)
            return
        self._sources[address] = _Source(revision, asyncio.get_running_loop().time())
        self._lacks.set()

    async def run(self) -> None:
        """Fetch what is lacked for longer than a moment, for ever."""
        while True:
            await self._lacks.wait()
            self._lacks.clear()
            wanted = max((h.revision for h in self._sources.values()), default=0)
            if wanted <= self.revision:
                continue
            await asyncio.sleep(COPY_AFTER_S)
            while self.revision < wanted and (address := self._choose_source(wanted)):
                if await self._fetch(address):
                    break
                await asyncio.sleep(RETRY_PAUSE_S)

    async def answer(self, caller: CallerConnection, request: CallerRequest) -> None:
        """Serve the newest configuration to another gateway."""
        if self._own is None:
            caller.send_whole(HTTPStatus.NOT_FOUND, [], b"")
            return
        self._packed = self._packed or pack_changes((self._own,))
        caller.send_whole(HTTPStatus.OK, [], self._packed)

    def _choose_source(self, wanted: int) -> str:
        """Return where a revision is to be had, or "" where nobody is heard that has it."""
        since_s = asyncio.get_running_loop().time() - SOURCE_LIFE_S
        self._sources = {a: h for a, h in self._sources.items() if h.heard_at_s > since_s}
        having = sorted(a for a, h in self._sources.items() if h.revision >= wanted)
        return self._rng.choice(having) if having else ""

    async def _fetch(self, address: str) -> bool:
        """Fetch the configuration from a gateway; return whether it gave one."""
        before = self.revision
        try:
            for change in unpack_changes(await self._call(address)):
                self.on_copy(change)
        except (OSError, TimeoutError, ValueError) as exc:
            error = str(exc) or "timed out"
            log_event(_LOG, "copy_failed", logging.WARNING, source=address, error=error)
            return False
        log_event(_LOG, "copy_taken", source=address, before=before, revision=self.revision)
        return True

    async def _call(self, address: str) -> bytes:
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S) as limit:
                connection = await self._dial(address, FETCH_TIMEOUT_S)
                connection.send([f"GET {_PATH} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()])
                head = await connection.read_head()
                if head.status != HTTPStatus.OK:
                    raise CutError(f"status {head.status}")
                return await connection.read_body_while_it_comes(limit)
        finally:
            if connection is not None:
                connection.abort()
