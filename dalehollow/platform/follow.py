"""Follow the users' store: read all items, watch for changes, and live through its failures."""

from __future__ import annotations

import asyncio
import logging

from dalehollow.errors import PlatformError
from dalehollow.gateway.feed import HallFeed
from dalehollow.platform.items import Listener, StoreItems
from dalehollow.platform.store import HistoryGoneError, Store, StoreEra
from dalehollow.protocol.revisions import show_revision
from dalehollow.telemetry.logs import log_event

WATCH_WAIT_S = 0.6
"""A watch without changes ends after this. It is a part of how late a configuration can be where
a relay's way to the store falls silent; each halving costs a hall some 100 calls a minute."""
ANSWER_WAIT_S = 0.3
"""An answer is taken as unheard when it has not begun this long after it should have: seventy
times what the store takes. With the wait of a watch it stays below `feed.STALE_S`: what a relay
knows is confirmed before the others rely on it no more."""
LATER_ANSWER_WAIT_S = 0.6
"""After a failure the next answer has this long, so that a store that is slow is heard too."""
PASSIVE_INTERVAL_S = 0.1
"""While the hall's relay is heard, it is looked so often whether that still holds."""
RECOVERY_WAIT_S = 0.1
"""Wait of the watches after a failure or a rest, until one is answered: a long one that is sent
into a silence would not be heard for its whole length."""
RETRY_PAUSE_S = 0.2
"""Pause after a first failed call, and after each of the first gateway of a hall and of one that
knows nothing yet."""
OTHERS_RETRY_PAUSE_S = 0.8
"""Pause of the others after more failures: they hear from the first that the store is back, and
ask for themselves in case it is only the first that the store turns away."""
BATCH_PAUSE_S = 0.2
"""Changes come in groups (servers that start, ranks that open): those of this time are told by one
call, and none waits longer, a tenth of the time a configuration may take."""
HISTORY_MAX_AGE_S = 0.7
"""Knowledge that is older is made good by reading all items as they are now; a lost datagram is
noticed sooner, a lost relay or store later. History holds every version of every item, so what must
be read grows with the outage and while it is read; items are read once each. After 12 s of outage,
with three configurations of 500 KB a second and a link of 20 Mbit/s, a gateway caught up in 1.9 s
by items and not within 30 s by history (real follower and store client on virtual time, without
copies of others)."""
SLOW_ANSWER_S = 0.5
"""After a watch whose answer was longer on its way, or broke off after so long, items are read too:
history may be written faster than it is read."""
_LOG = logging.getLogger(__name__)


class Follower:
    """Keep one watch open on one prefix and tell of what changes."""

    def __init__(
        self,
        address: str,
        prefix: str,
        listener: Listener,
        feed: HallFeed,
        era: StoreEra | None = None,
    ) -> None:
        """Prepare; nothing is read before `run`, which leaves the store alone while `feed` can."""
        self._feed = feed
        self._items = StoreItems(listener, feed)
        self._store = Store(address, era)
        self._prefix = prefix
        self._must_read_items = False
        self._is_reachable = True
        # Whether the last call was answered, and no rest came after it.
        self._is_sure = True
        self._was_watch_slow = False
        # Calls that failed since the last that was answered.
        self._failures = 0

    @property
    def calls(self) -> int:
        """Return how many calls were made to the store."""
        return self._store.calls

    async def run(self) -> None:
        """Read everything, then watch, for ever; the store's failures are lived through."""
        while True:
            if self._feed.is_passive():
                self._rest()
                await asyncio.sleep(PASSIVE_INTERVAL_S)
                continue
            try:
                if self._is_history_short():
                    await self._watch()
                else:
                    await self._read_items()
                self._note_reachable()
            except HistoryGoneError as exc:
                revision = show_revision(self._feed.revision)
                log_event(_LOG, "store_history_gone", revision=revision, why=exc)
                self._must_read_items = True
            except PlatformError as exc:
                self._note_failure(exc)
                await asyncio.sleep(self._retry_pause_s())

    def _rest(self) -> None:
        """Leave the store alone; the next call opens a connection, for an old one may be dead."""
        self._store.close()
        self._is_sure = False

    def _retry_pause_s(self) -> float:
        is_first = self._feed.is_first() or not self._feed.revision
        return RETRY_PAUSE_S if is_first or self._failures == 1 else OTHERS_RETRY_PAUSE_S

    def _answer_wait_s(self) -> float:
        return LATER_ANSWER_WAIT_S if self._failures else ANSWER_WAIT_S

    def _is_history_short(self) -> bool:
        """Return whether the changes since the last reading are less to read than all items."""
        is_young = bool(self._feed.revision) and self._feed.age_s() < HISTORY_MAX_AGE_S
        return is_young and not self._was_watch_slow and not self._must_read_items

    async def _read_items(self) -> None:
        reading = await self._store.read_range(self._prefix, self._answer_wait_s())
        log_event(
            _LOG,
            "items_read",
            items=len(reading.changes),
            as_of=show_revision(reading.revision),
            revision=show_revision(self._feed.revision),
        )
        self._was_watch_slow = self._must_read_items = False
        self._feed.contact.note_answered()
        self._items.take_all(reading.changes, reading.revision)
        self._feed.note_read(0, reading.changes, reading.revision)

    async def _watch(self) -> None:
        after = self._feed.revision
        wait_s = WATCH_WAIT_S if self._is_sure else RECOVERY_WAIT_S
        timeout_s = wait_s + self._answer_wait_s()
        try:
            reading = await self._store.watch(self._prefix, after, wait_s, timeout_s)
        finally:
            self._was_watch_slow = self._store.transfer_s > SLOW_ANSWER_S
        self._feed.contact.note_answered()
        self._items.take_changes(self._feed.select_fresh(reading.changes))
        self._feed.note_read(after, reading.changes, reading.revision)
        if reading.changes:
            await asyncio.sleep(BATCH_PAUSE_S)

    def _note_reachable(self) -> None:
        if not self._is_reachable:
            self._is_reachable = True
            log_event(
                _LOG,
                "store_regained",
                prefix=self._prefix,
                failures=self._failures,
                revision=show_revision(self._feed.revision),
            )
        self._failures = 0
        self._is_sure = True

    def _note_failure(self, exc: PlatformError) -> None:
        self._failures += 1
        self._feed.note_unreachable()
        log_event(
            _LOG,
            "store_lost" if self._is_reachable else "store_still_lost",
            logging.WARNING,
            prefix=self._prefix,
            failures=self._failures,
            age_s=round(self._feed.age_s(), 3),
            error=exc,
        )
        self._is_reachable = self._is_sure = False
