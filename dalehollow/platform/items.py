"""Decode metadata store items for a listener and decide when a missing item is gone."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from dalehollow.crashes import StoredCulprit
from dalehollow.gateway.contact import EXPIRY_GRACE_S
from dalehollow.gateway.feed import HallFeed
from dalehollow.gateway.listed import ListedUpstream, Member
from dalehollow.gateway.table import RoutingTable
from dalehollow.groups.ranks import StoredPlan
from dalehollow.platform.entries import decode_entry, is_address
from dalehollow.platform.names import (
    CONFIG_KEY,
    CULPRIT_PREFIX,
    DUTY_PREFIX,
    MEMBER_PREFIX,
    PLAN_PREFIX,
    UPSTREAM_PREFIX,
)
from dalehollow.platform.operator import decode_config
from dalehollow.platform.servers import decode_upstream, read_incarnation
from dalehollow.protocol.reports import Change
from dalehollow.protocol.revisions import format_revision, read_era
from dalehollow.telemetry.logs import log_event

RESTORED_ENTRY_GRACE_S = 5.0
"""An entry that was removed and reappears after a store restore is used once it is rewritten or has
existed for this long. That is four upstream heartbeats, so the entry of an upstream that is gone
has expired again by then."""
EXPIRY_CHECK_INTERVAL_S = 0.1
"""Interval of checks whether an unreachable store is back."""

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True)
class Listener:
    """Hold the callbacks for changes; all run in the event loop."""

    on_table: Callable[[RoutingTable], None]
    on_upstream: Callable[[ListedUpstream], None]
    on_upstream_gone: Callable[[str], None]
    # Name and entry of a gateway, or None once it is gone.
    on_member: Callable[[str, Member | None], None]
    # A duty and the name of the gateway that holds it, or None if it is free.
    on_duty: Callable[[str, str | None], None]
    # A service and the inputs of the last plan for its group's map.
    on_plan: Callable[[str, StoredPlan], None]
    # What crashes upstreams, by fingerprint in hexadecimal, or None once its record is gone.
    on_culprit: Callable[[str, StoredCulprit | None], None] = lambda name, record: None


@dataclass(frozen=True)
class _RemovedUpstream:
    """Hold the start time of an upstream that is gone and the revision of its removal."""

    revision: int
    started_at_ms: int


@dataclass(frozen=True)
class _RestoredEntry:
    """Hold an entry that reappeared after a store restore until its timer accepts it."""

    change: Change
    timer: asyncio.TimerHandle


class StoreItems:
    """Track known keys and report their decoded values to a listener."""

    def __init__(self, listener: Listener, feed: HallFeed) -> None:
        """Create the tracker; `feed` supplies store changes relayed by other gateways."""
        self._listener = listener
        self._feed = feed
        feed.on_changes = self.apply_changes
        feed.on_snapshot = self.apply_snapshot
        feed.contact.on_expiry_update = self._drop_expired
        self._known: set[str] = set()
        # Start time of each known upstream, and the upstreams that are gone.
        self._started_at_ms: dict[str, int] = {}
        self._gone: dict[str, _RemovedUpstream] = {}
        self._restored: dict[str, _RestoredEntry] = {}
        # Missing entries that may have expired during a store outage only.
        self._maybe_expired: set[str] = set()
        self._expiry_timer: asyncio.TimerHandle | None = None

    def apply_snapshot(self, changes: tuple[Change, ...], revision: int) -> None:
        """Apply a full read; known keys missing from it are gone unless changed later."""
        self._feed.contact.record_era(read_era(revision))
        self.apply_changes(self._feed.select_fresh(changes))
        present = {change.key for change in changes}
        for key in self._known - present:
            if self._feed.newest_revision(key) <= revision:
                self._feed.record_missing(key, revision)
                self._handle_missing(key, revision)

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Apply single changes, each a complete value or a deletion."""
        for era in {read_era(change.revision) for change in changes}:
            self._feed.contact.record_era(era)
        for change in changes:
            if change.value is None:
                self._handle_missing(change.key, change.revision)
            elif change.key == CONFIG_KEY:
                self._apply_config(change, change.value)
            else:
                self._apply_item(change, change.value)

    def _apply_config(self, change: Change, value: bytes) -> None:
        try:
            table = decode_config(value)
        except ValueError as exc:
            _log_unusable(change.key, exc)
            return
        self._listener.on_table(table)

    def _apply_item(self, change: Change, value: bytes) -> None:
        key = change.key
        try:
            if key.startswith(UPSTREAM_PREFIX):
                self._apply_upstream(change, value)
            elif key.startswith(PLAN_PREFIX):
                plan = decode_entry(value, StoredPlan)
                self._listener.on_plan(key.removeprefix(PLAN_PREFIX), plan)
            elif self._report_gateway_key(key, value):
                self._known.add(key)
        except ValueError as exc:
            _log_unusable(key, exc)
            # An invalid entry describes nothing, whatever it described before.
            self._handle_missing(key, change.revision)

    def _apply_upstream(self, change: Change, value: bytes) -> None:
        listed = decode_upstream(change.key, value)
        self._known.add(change.key)
        if self._is_held_back(change, listed):
            return
        self._gone.pop(change.key, None)
        self._maybe_expired.discard(change.key)
        if listed.is_leaving:
            self._log_entry_event("entry_leaving", change.key, change.revision)
        self._started_at_ms[change.key] = listed.started_at_ms
        self._listener.on_upstream(listed)

    def _is_held_back(self, change: Change, listed: ListedUpstream) -> bool:
        """Return whether a store restore alone may have brought a removed entry back."""
        earlier = self._restored.pop(change.key, None)
        if earlier is not None:
            earlier.timer.cancel()
            return False
        gone = self._gone.get(change.key)
        if gone is None or gone.started_at_ms != listed.started_at_ms:
            return False
        if read_era(gone.revision) == read_era(change.revision):
            return False
        log_event(_LOG, "upstream_restored", key=change.key, waits_s=RESTORED_ENTRY_GRACE_S)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(RESTORED_ENTRY_GRACE_S, self.apply_changes, (change,))
        self._restored[change.key] = _RestoredEntry(change, timer)
        return True

    def _handle_missing(self, key: str, revision: int) -> None:
        """Drop a key, but wait first if an upstream entry may merely have expired in an outage."""
        if key not in self._known:
            return
        if self._report_gateway_key(key, None):
            self._known.discard(key)
            return
        if key not in self._restored and self._feed.contact.may_have_expired():
            self._maybe_expired.add(key)
            self._drop_expired_later()
        else:
            self._drop(key, revision)

    def _report_gateway_key(self, key: str, value: bytes | None) -> bool:
        """Report a key written by gateways; return whether it is such a key."""
        if key.startswith(MEMBER_PREFIX):
            member = _decode_member(value) if value is not None else None
            self._listener.on_member(key.removeprefix(MEMBER_PREFIX), member)
        elif key.startswith(DUTY_PREFIX):
            holder = value.decode() if value is not None else None
            self._listener.on_duty(key.removeprefix(DUTY_PREFIX), holder)
        elif key.startswith(CULPRIT_PREFIX):
            record = decode_entry(value, StoredCulprit) if value is not None else None
            self._listener.on_culprit(key.removeprefix(CULPRIT_PREFIX), record)
        else:
            return False
        return True

    def _log_entry_event(self, event: str, key: str, as_of: int) -> None:
        """Log a change with its revision and the current source of store data."""
        log_event(_LOG, event, key=key, as_of=format_revision(as_of), **self._feed.describe())

    def _drop_expired_later(self) -> None:
        """Schedule `_drop_expired` for when the store has been back for long enough."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        pause_s = min(
            EXPIRY_GRACE_S, max(EXPIRY_CHECK_INTERVAL_S, self._feed.contact.settles_in_s())
        )
        loop = asyncio.get_running_loop()
        self._expiry_timer = loop.call_later(pause_s, self._drop_expired)

    def _drop_expired(self) -> None:
        """Drop entries that are still missing, unless they may have expired in an outage only."""
        if self._maybe_expired and self._feed.contact.may_have_expired():
            self._drop_expired_later()
            return
        for key in sorted(self._maybe_expired):
            self._drop(key, self._feed.newest_revision(key))

    def _drop(self, key: str, revision: int) -> None:
        self._known.discard(key)
        self._maybe_expired.discard(key)
        self._log_entry_event("entry_gone", key, revision)
        restored = self._restored.pop(key, None)
        if restored is not None:
            restored.timer.cancel()
        if key in self._started_at_ms:
            self._gone[key] = _RemovedUpstream(revision, self._started_at_ms.pop(key))
        self._listener.on_upstream_gone(read_incarnation(key))


def _decode_member(value: bytes) -> Member:
    member = decode_entry(value, Member)
    if not is_address(member.address):
        raise ValueError(f"address {member.address!r} is not an IPv4 address and port")
    return member


def _log_unusable(key: str, exc: ValueError) -> None:
    log_event(_LOG, "store_item_unusable", logging.ERROR, key=key, error=exc)
