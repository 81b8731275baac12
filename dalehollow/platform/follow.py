"""Follow the operator's configuration and the list of upstreams in the users' store."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from dalehollow.errors import PlatformError
from dalehollow.gateway.contact import LAPSE_GRACE_S
from dalehollow.gateway.feed import HallFeed
from dalehollow.gateway.listed import ListedUpstream, Member
from dalehollow.gateway.table import RoutingTable
from dalehollow.groups.ranks import KeptPlan
from dalehollow.platform.names import (
    CONFIG_KEY,
    DUTY_PREFIX,
    MEMBER_PREFIX,
    PLAN_PREFIX,
    UPSTREAM_PREFIX,
)
from dalehollow.platform.operator import decode_config
from dalehollow.platform.servers import decode_upstream, read_incarnation
from dalehollow.platform.store import HistoryGoneError, Store, StoreEra
from dalehollow.protocol.reports import Change
from dalehollow.protocol.revisions import read_era, show_revision
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
RESTORED_GRACE_S = 5.0
"""An entry that was seen to go and stands again in a store that was restored is used once it is
written anew or has stood for so long: four heartbeats of upstreams, so that of one that is gone it
has lapsed again."""
LAPSE_LOOK_S = 0.1
"""While the store is away, it is looked so often whether it is back."""

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True)
class Listener:
    """Hold what is called with each change; all run in the event loop."""

    on_table: Callable[[RoutingTable], None]
    on_upstream: Callable[[ListedUpstream], None]
    on_gone: Callable[[str], None]
    # Name and entry of a gateway that is there, or None once it is gone.
    on_member: Callable[[str, Member | None], None]
    # A duty and the name of the gateway that holds it, or None once nobody does.
    on_duty: Callable[[str, str | None], None]
    # A service and what the map of its group was last planned for.
    on_plan: Callable[[str, KeptPlan], None]


@dataclass(frozen=True)
class _Gone:
    """Hold which start of an upstream is gone, and as of which revision."""

    revision: int
    started_at_ms: int


@dataclass(frozen=True)
class _Restored:
    """Hold an entry that stands again after a restore, and what will end the doubt about it."""

    change: Change
    timer: asyncio.TimerHandle


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
        feed.on_changes = self._take_changes
        feed.contact.on_refuted = self._drop_lapsed
        feed.on_all = self._take_all
        self._store = Store(address, era)
        self._prefix = prefix
        self._listener = listener
        self._known: set[str] = set()
        # When a later era of the store was read for the first time.
        self._era_noted_at_s = float("-inf")
        # When each upstream that is known started, and which are gone.
        self._started_at_ms: dict[str, int] = {}
        self._gone: dict[str, _Gone] = {}
        self._restored: dict[str, _Restored] = {}
        # Entries that may only have lapsed.
        self._lapsing: set[str] = set()
        self._lapse_timer: asyncio.TimerHandle | None = None
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
        self._take_all(reading.changes, reading.revision)
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
        self._take_changes(self._feed.select_fresh(reading.changes))
        self._feed.note_read(after, reading.changes, reading.revision)
        if reading.changes:
            await asyncio.sleep(BATCH_PAUSE_S)

    def _take_all(self, changes: tuple[Change, ...], revision: int) -> None:
        """Take all items in; what is known and not among them is gone, unless it came later."""
        self._note_era(revision)
        self._take_changes(self._feed.select_fresh(changes))
        present = {change.key for change in changes}
        for key in self._known - present:
            if self._feed.newest_revision(key) <= revision:
                self._feed.note_missing(key, revision)
                self._note_missing(key, revision)

    def _take_changes(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            if change.value is None:
                self._note_missing(change.key, change.revision)
            elif change.key == CONFIG_KEY:
                self._take_config(change, change.value)
            else:
                self._take_item(change, change.value)

    def _take_config(self, change: Change, value: bytes) -> None:
        try:
            table = decode_config(value)
        except ValueError as exc:
            _note_unusable(change.key, exc)
            return
        self._listener.on_table(table)

    def _take_item(self, change: Change, value: bytes) -> None:
        key = change.key
        try:
            if key.startswith(UPSTREAM_PREFIX):
                self._take_upstream(change, value)
            elif key.startswith(PLAN_PREFIX):
                plan = msgspec.json.decode(value, type=KeptPlan)
                self._listener.on_plan(key.removeprefix(PLAN_PREFIX), plan)
            elif self._tell_gateway_key(key, value):
                self._known.add(key)
        except ValueError as exc:
            _note_unusable(key, exc)
            # It names nothing now, whatever it named before.
            self._note_missing(key, change.revision)

    def _take_upstream(self, change: Change, value: bytes) -> None:
        listed = decode_upstream(change.key, value)
        self._known.add(change.key)
        if self._is_in_doubt(change, listed):
            return
        self._gone.pop(change.key, None)
        self._lapsing.discard(change.key)
        self._started_at_ms[change.key] = listed.started_at_ms
        self._listener.on_upstream(listed)

    def _is_in_doubt(self, change: Change, listed: ListedUpstream) -> bool:
        """Return whether an entry was seen to go and may stand again by a restore alone."""
        earlier = self._restored.pop(change.key, None)
        if earlier is not None:
            earlier.timer.cancel()
            return False
        gone = self._gone.get(change.key)
        if gone is None or gone.started_at_ms != listed.started_at_ms:
            return False
        if read_era(gone.revision) == read_era(change.revision):
            return False
        log_event(_LOG, "upstream_restored", key=change.key, waits_s=RESTORED_GRACE_S)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(RESTORED_GRACE_S, self._take_changes, (change,))
        self._restored[change.key] = _Restored(change, timer)
        return True

    def _note_missing(self, key: str, revision: int) -> None:
        """Drop an upstream, or wait a little for it where its entry may only have lapsed."""
        if key not in self._known:
            return
        if self._tell_gateway_key(key, None):
            self._known.discard(key)
            return
        if key not in self._restored and self._may_have_lapsed():
            self._lapsing.add(key)
            self._drop_lapsed_later()
        else:
            self._drop(key, revision)

    def _tell_gateway_key(self, key: str, value: bytes | None) -> bool:
        """Tell of a key that gateways write; return whether it is one."""
        if key.startswith(MEMBER_PREFIX):
            member = msgspec.json.decode(value, type=Member) if value is not None else None
            self._listener.on_member(key.removeprefix(MEMBER_PREFIX), member)
        elif key.startswith(DUTY_PREFIX):
            holder = value.decode() if value is not None else None
            self._listener.on_duty(key.removeprefix(DUTY_PREFIX), holder)
        else:
            return False
        return True

    def _may_have_lapsed(self) -> bool:
        """Return whether a missing entry may only have lapsed, or be lost by a restore."""
        return self._feed.contact.may_have_lapsed() or self._restored_grace_s() > 0.0

    def _restored_grace_s(self) -> float:
        """Return how much longer entries that a restore lost have time to be written again."""
        return self._era_noted_at_s + LAPSE_GRACE_S - asyncio.get_running_loop().time()

    def _note_era(self, revision: int) -> None:
        if self._feed.revision and read_era(revision) > read_era(self._feed.revision):
            self._era_noted_at_s = asyncio.get_running_loop().time()

    def _drop_lapsed_later(self) -> None:
        """Judge what may have lapsed again as soon as the store has been back for long enough."""
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()
        settles_in_s = max(self._feed.contact.settles_in_s(), self._restored_grace_s())
        pause_s = min(LAPSE_GRACE_S, max(LAPSE_LOOK_S, settles_in_s))
        loop = asyncio.get_running_loop()
        self._lapse_timer = loop.call_later(pause_s, self._drop_lapsed)

    def _drop_lapsed(self) -> None:
        """Drop what is still missing, unless it may still only have lapsed."""
        if self._lapsing and self._may_have_lapsed():
            self._drop_lapsed_later()
            return
        for key in sorted(self._lapsing):
            self._drop(key, self._feed.newest_revision(key))

    def _drop(self, key: str, revision: int) -> None:
        self._known.discard(key)
        self._lapsing.discard(key)
        restored = self._restored.pop(key, None)
        if restored is not None:
            restored.timer.cancel()
        if key in self._started_at_ms:
            self._gone[key] = _Gone(revision, self._started_at_ms.pop(key))
        self._listener.on_gone(read_incarnation(key))

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


def _note_unusable(key: str, exc: ValueError) -> None:
    log_event(_LOG, "store_item_unusable", logging.ERROR, key=key, error=exc)
