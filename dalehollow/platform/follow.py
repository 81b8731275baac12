"""Follow the metadata store: read all items, watch for changes and retry after failures."""

from __future__ import annotations

import asyncio
import logging

from dalehollow.errors import PlatformError
from dalehollow.gateway.feed import HallFeed
from dalehollow.platform.items import Listener, StoreItems
from dalehollow.platform.store import HistoryGoneError, Store, StoreEra
from dalehollow.protocol.revisions import format_revision
from dalehollow.telemetry.logs import log_event

WATCH_WAIT_S = 0.6
"""Length of a watch without changes. It adds to the delay of a configuration when the relay's
connection to the store goes silent; each halving costs a hall some 100 more calls per minute."""
RESPONSE_TIMEOUT_S = 0.3
"""A response that has not begun this long after it is due counts as lost: seventy times the usual
response time of the store. Together with the length of a watch this stays below `feed.STALE_S`, so
a relay confirms its state before other gateways stop relying on it."""
RETRY_RESPONSE_TIMEOUT_S = 0.6
"""Response timeout after a failure: longer, so that a slow store still gets through."""
PASSIVE_CHECK_INTERVAL_S = 0.1
"""Interval at which a gateway checks whether its hall's relay can still be heard."""
RECOVERY_WAIT_S = 0.1
"""Length of watches after a failure or a passive period, until one is answered: a long watch sent
to a silent store blocks for its whole length even if the store comes back meanwhile."""
RETRY_DELAY_S = 0.2
"""Retry delay after a first failure. The first gateway of a hall and a gateway without any data
also use it for later failures."""
BACKUP_RETRY_DELAY_S = 0.8
"""Retry delay of the other gateways after repeated failures. They learn from the first gateway
that the store is back, and still try themselves in case the store rejects only the first one."""
BATCH_WINDOW_S = 0.2
"""Changes come in bursts (servers starting, ranks opening): those within this window are fetched by
one call. It is also the longest added delay, a tenth of the time allowed for a configuration."""
HISTORY_MAX_AGE_S = 0.7
"""If the data is older than this, all current items are read instead of the history. A lost
datagram is detected sooner than this, a lost relay or store later. The history holds every version
of every item, so it grows with the outage and while it is read; a full read fetches each item once.
After a 12 s outage, with three 500 KB configurations per second and a 20 Mbit/s link, a gateway
caught up in 1.9 s by a full read but not within 30 s from the history (simulated time, with the
actual follower and store client, without copies from other gateways)."""
SLOW_RESPONSE_S = 0.5
"""If a watch response takes longer than this to arrive, or fails after that long, all items are
read next: the history may be growing faster than it can be read."""

_LOG = logging.getLogger(__name__)


class Follower:
    """Keep a watch open on one key prefix and report changes to a listener."""

    def __init__(
        self,
        address: str,
        prefix: str,
        listener: Listener,
        feed: HallFeed,
        era: StoreEra | None = None,
    ) -> None:
        """Create a follower; `run` does not call the store while `feed` is passive."""
        self._feed = feed
        self._items = StoreItems(listener, feed)
        self._store = Store(address, era)
        self._prefix = prefix
        self._must_read_items = False
        self._is_reachable = True
        # Whether the last call was answered, with no passive period since.
        self._is_connection_confirmed = True
        self._was_watch_slow = False
        # Failed calls since the last answered one.
        self._failures = 0

    @property
    def calls(self) -> int:
        """Return the number of calls made to the store."""
        return self._store.calls

    async def run(self) -> None:
        """Read all items, then watch until cancelled; store failures are retried."""
        while True:
            if self._feed.is_passive():
                self._disconnect()
                await asyncio.sleep(PASSIVE_CHECK_INTERVAL_S)
                continue
            try:
                if self._should_watch():
                    await self._watch()
                else:
                    await self._read_items()
                self._record_reachable()
            except HistoryGoneError as exc:
                revision = format_revision(self._feed.revision)
                log_event(_LOG, "store_history_gone", revision=revision, why=exc)
                self._must_read_items = True
            except PlatformError as exc:
                self._record_failure(exc)
                await asyncio.sleep(self._retry_delay_s())

    def _disconnect(self) -> None:
        """Close the connection, since an idle one may be dead by the next call."""
        self._store.close()
        self._is_connection_confirmed = False

    def _retry_delay_s(self) -> float:
        is_first = self._feed.is_first() or not self._feed.revision
        return RETRY_DELAY_S if is_first or self._failures == 1 else BACKUP_RETRY_DELAY_S

    def _response_timeout_s(self) -> float:
        return RETRY_RESPONSE_TIMEOUT_S if self._failures else RESPONSE_TIMEOUT_S

    def _should_watch(self) -> bool:
        """Return whether the changes since the last read are likely smaller than a full read."""
        is_recent = bool(self._feed.revision) and self._feed.age_s() < HISTORY_MAX_AGE_S
        return is_recent and not self._was_watch_slow and not self._must_read_items

    async def _read_items(self) -> None:
        result = await self._store.read_range(self._prefix, self._response_timeout_s())
        log_event(
            _LOG,
            "items_read",
            items=len(result.changes),
            as_of=format_revision(result.revision),
            revision=format_revision(self._feed.revision),
        )
        self._was_watch_slow = self._must_read_items = False
        self._feed.contact.record_answered()
        self._items.apply_snapshot(result.changes, result.revision)
        self._feed.record_read(0, result.changes, result.revision)

    async def _watch(self) -> None:
        after = self._feed.revision
        wait_s = WATCH_WAIT_S if self._is_connection_confirmed else RECOVERY_WAIT_S
        timeout_s = wait_s + self._response_timeout_s()
        try:
            result = await self._store.watch(self._prefix, after, wait_s, timeout_s)
        finally:
            self._was_watch_slow = self._store.transfer_s > SLOW_RESPONSE_S
        self._feed.contact.record_answered()
        self._items.apply_changes(self._feed.select_fresh(result.changes))
        self._feed.record_read(after, result.changes, result.revision)
        if result.changes:
            await asyncio.sleep(BATCH_WINDOW_S)

    def _record_reachable(self) -> None:
        if not self._is_reachable:
            self._is_reachable = True
            log_event(
                _LOG,
                "store_regained",
                prefix=self._prefix,
                failures=self._failures,
                revision=format_revision(self._feed.revision),
            )
        self._failures = 0
        self._is_connection_confirmed = True

    def _record_failure(self, exc: PlatformError) -> None:
        self._failures += 1
        self._feed.record_unreachable()
        log_event(
            _LOG,
            "store_lost" if self._is_reachable else "store_still_lost",
            logging.WARNING,
            prefix=self._prefix,
            failures=self._failures,
            age_s=round(self._feed.age_s(), 3),
            error=exc,
        )
        self._is_reachable = self._is_connection_confirmed = False
