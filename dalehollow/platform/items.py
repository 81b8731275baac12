"""Tell what the items of the users' store say, and when one that is missing is gone."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from dalehollow.gateway.contact import LAPSE_GRACE_S
from dalehollow.gateway.feed import HallFeed
from dalehollow.gateway.listed import ListedUpstream, Member
from dalehollow.gateway.table import RoutingTable
from dalehollow.groups.ranks import StoredPlan
from dalehollow.platform.names import (
    CONFIG_KEY,
    DUTY_PREFIX,
    MEMBER_PREFIX,
    PLAN_PREFIX,
    UPSTREAM_PREFIX,
)
from dalehollow.platform.operator import decode_config
from dalehollow.platform.servers import decode_upstream, read_incarnation
from dalehollow.protocol.reports import Change
from dalehollow.protocol.revisions import read_era, show_revision
from dalehollow.telemetry.logs import log_event

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
    on_plan: Callable[[str, StoredPlan], None]


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


class StoreItems:
    """Hold which keys are known, and tell a listener of what they say."""

    def __init__(self, listener: Listener, feed: HallFeed) -> None:
        """Prepare; what other gateways tell of the store comes by `feed`."""
        self._listener = listener
        self._feed = feed
        feed.on_changes = self.take_changes
        feed.on_all = self.take_all
        feed.contact.on_news = self._drop_lapsed
        self._known: set[str] = set()
        # When each upstream that is known started, and which are gone.
        self._started_at_ms: dict[str, int] = {}
        self._gone: dict[str, _Gone] = {}
        self._restored: dict[str, _Restored] = {}
        # Entries that may only have lapsed.
        self._lapsing: set[str] = set()
        self._lapse_timer: asyncio.TimerHandle | None = None

    def take_all(self, changes: tuple[Change, ...], revision: int) -> None:
        """Take all items in; what is known and not among them is gone, unless it came later."""
        self._feed.contact.note_era(read_era(revision))
        self.take_changes(self._feed.select_fresh(changes))
        present = {change.key for change in changes}
        for key in self._known - present:
            if self._feed.newest_revision(key) <= revision:
                self._feed.note_missing(key, revision)
                self._note_missing(key, revision)

    def take_changes(self, changes: tuple[Change, ...]) -> None:
        """Take single changes in, each a whole value or the end of its key."""
        for era in {read_era(change.revision) for change in changes}:
            self._feed.contact.note_era(era)
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
                plan = msgspec.json.decode(value, type=StoredPlan)
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
        if listed.is_leaving:
            self._log_learned("entry_leaving", change.key, change.revision)
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
        timer = loop.call_later(RESTORED_GRACE_S, self.take_changes, (change,))
        self._restored[change.key] = _Restored(change, timer)
        return True

    def _note_missing(self, key: str, revision: int) -> None:
        """Drop an upstream, or wait a little for it where its entry may only have lapsed."""
        if key not in self._known:
            return
        if self._tell_gateway_key(key, None):
            self._known.discard(key)
            return
        if key not in self._restored and self._feed.contact.may_have_lapsed():
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

    def _log_learned(self, event: str, key: str, as_of: int) -> None:
        """Log what was learned, as of which revision, and whom this gateway relies on just now."""
        log_event(_LOG, event, key=key, as_of=show_revision(as_of), **self._feed.describe())

    def _drop_lapsed_later(self) -> None:
        """Judge what may have lapsed again as soon as the store has been back for long enough."""
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()
        pause_s = min(LAPSE_GRACE_S, max(LAPSE_LOOK_S, self._feed.contact.settles_in_s()))
        loop = asyncio.get_running_loop()
        self._lapse_timer = loop.call_later(pause_s, self._drop_lapsed)

    def _drop_lapsed(self) -> None:
        """Drop what is still missing, unless it may still only have lapsed."""
        if self._lapsing and self._feed.contact.may_have_lapsed():
            self._drop_lapsed_later()
            return
        for key in sorted(self._lapsing):
            self._drop(key, self._feed.newest_revision(key))

    def _drop(self, key: str, revision: int) -> None:
        self._known.discard(key)
        self._lapsing.discard(key)
        self._log_learned("entry_gone", key, revision)
        restored = self._restored.pop(key, None)
        if restored is not None:
            restored.timer.cancel()
        if key in self._started_at_ms:
            self._gone[key] = _Gone(revision, self._started_at_ms.pop(key))
        self._listener.on_gone(read_incarnation(key))


def _note_unusable(key: str, exc: ValueError) -> None:
    log_event(_LOG, "store_item_unusable", logging.ERROR, key=key, error=exc)
