"""Change feed of the store: one gateway per hall watches it and relays changes to the others.

Each watch is a call that the store counts, so the number of calls must not grow with the number of
gateways. One gateway per hall, the relay, keeps a watch open and forwards changes in datagrams. The
others rely on it only while its reports confirm that they miss no change older than
`STALE_S`; otherwise, and after a gap, each gateway reads the store itself. A gateway that reads the
store successfully and hears no relay becomes the relay; of two relays, the one whose name sorts
first remains.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable, Iterable, Iterator
from itertools import groupby

from dalehollow.gateway.contact import StoreContact
from dalehollow.protocol.reports import (
    Change,
    RelayState,
    StoreChanges,
    StoreView,
    pack_changes,
    unpack_changes,
)
from dalehollow.protocol.revisions import format_revision
from dalehollow.telemetry.logs import log_event

STALE_S = 1.0
"""Maximum age of the confirmed store state. A relay confirms its state within 0.9 s or detects that
it cannot; the fallback, reading the store or copying from a peer, takes at most 0.8 s. The sum is
below the 2 s within which a configuration must be active."""
RELAY_SILENT_S = 0.6
"""A relay reports at least four times a second, so two lost reports do not count as silence."""
SILENCE_SPREAD_S = 0.2
"""Jitter on the relay timeout, so that most gateways hear the next relay before they time out."""
CATCH_UP_S = 0.1
"""Wait for the datagram with a change that the relay already has, before reading the store."""
CHUNK_BYTES = 4_000
"""Changes of several revisions share a message up to this size, before compression."""
MAX_PACKED_BYTES = 8_000
"""A datagram of this size takes six frames; a larger one would often lose one of them."""

_LOG = logging.getLogger(__name__)


class HallFeed:
    """Track which store changes this gateway has applied, and which gateway relays them."""

    def __init__(
        self,
        name: str,
        clock: Callable[[], float],
        rng: random.Random,
        send: Callable[[StoreChanges], None],
        contact: StoreContact | None = None,
    ) -> None:
        """Create a feed; `send` delivers changes to the other gateways of the hall."""
        self._name = name
        self._clock = clock
        self._rng = rng
        self._send = send
        self.contact = contact or StoreContact(clock)
        # Set by the consumer: `on_changes` receives single changes, `on_snapshot` the complete set
        # of items as of a revision.
        self.on_changes: Callable[[tuple[Change, ...]], None] = lambda changes: None
        self.on_snapshot: Callable[[tuple[Change, ...], int], None] = lambda changes, revision: None
        # Called when `revision` advances, so that peers can be notified.
        self.on_revision_advanced: Callable[[], None] = lambda: None
        # No change up to this revision is missing; some newer ones may be known too.
        self.revision = 0
        # Newest known change of each key, deletions included.
        self._newest_by_key: dict[str, Change] = {}
        # Counts each update of the feed; caches of `list_changes` are keyed by it.
        self.update_count = 0
        # Deletions before this revision are unknown.
        self._complete_from = 0
        self._confirmed_at_s = float("-inf")
        self._read_at_s = float("-inf")
        self._is_relay = False
        self._relay = ""
        self._relay_heard_until_s = float("-inf")
        # A gateway that has just started listens first: its hall most likely has a relay.
        self._may_relay_from_s = clock() + RELAY_SILENT_S
        self._behind_since_s: float | None = None
        self._predecessor_heard_at_s = float("-inf")
        self._logged_older_relay = ("", 0)

    def is_passive(self) -> bool:
        """Return whether the relay's reports suffice, so that the store need not be read."""
        now_s = self._clock()
        if not self.revision or self._is_relay or now_s > self._relay_heard_until_s:
            return False
        is_behind = self._behind_since_s is not None and now_s - self._behind_since_s >= CATCH_UP_S
        return not is_behind and now_s - self._confirmed_at_s < STALE_S

    def is_first(self) -> bool:
        """Return whether no gateway of the hall with a smaller name was heard recently."""
        return self._clock() - self._predecessor_heard_at_s > RELAY_SILENT_S

    def record_peer(self, name: str) -> None:
        """Record that another gateway of the hall was heard."""
        if name < self._name:
            self._predecessor_heard_at_s = self._clock()

    def age_s(self) -> float:
        """Return the age of the confirmed store state; infinite if there never was any."""
        return self._clock() - self._confirmed_at_s

    def view(self) -> StoreView:
        """Return the store state that this gateway reports to its peers."""
        age_s = round(self.contact.answer_age_s(), 3)
        contact = self.contact
        return StoreView(self.revision, age_s, contact.unbroken_s(), contact.era_heard_s())

    def reports_to_other_halls(self) -> bool:
        """Return whether this gateway sends the hall's reports to other halls.

        The relay does. A hall whose gateways all get no answer from the store has no relay; then
        the first gateway by name does, since other halls need an address to send their state to.
        """
        if self.relay_state() is not None:
            return True
        listens_until_s = max(self._may_relay_from_s, self._relay_heard_until_s)
        return self._clock() > listens_until_s and self.is_first()

    def relay_state(self) -> RelayState | None:
        """Return the state to report as the relay, or None if this gateway is not the relay."""
        age_s = self._clock() - self._read_at_s
        if not self._is_relay or not self.revision or age_s >= STALE_S:
            return None
        return RelayState(self.revision, round(age_s, 3))

    def record_read(self, after: int, changes: tuple[Change, ...], revision: int) -> None:
        """Record that the store returned all changes after `after` up to `revision`."""
        now_s = self._clock()
        self._read_at_s = self._confirmed_at_s = now_s
        self._advance(revision)
        self._record_caught_up()
        if not self._is_relay and now_s > max(self._may_relay_from_s, self._relay_heard_until_s):
            self._is_relay = True
            log_event(_LOG, "relay_begun", revision=format_revision(self.revision))
        if self._is_relay and after:
            for message in _split_changes(after, changes, revision):
                self._send(message)

    def record_unreachable(self) -> None:
        """Stop relaying, so that a gateway that reaches the store takes over."""
        self._stop_relaying("store_lost")

    def record_relay(self, sender: str, state: RelayState) -> None:
        """Apply the state that another gateway reports as the relay."""
        if self._is_relay and self.relay_state() is not None:
            if sender > self._name:
                return
            self._stop_relaying(f"relay is {sender}")
        now_s = self._clock()
        if sender != self._relay:
            log_event(_LOG, "relay_heard", relay=sender, revision=format_revision(state.revision))
        self._relay = sender
        silence_s = RELAY_SILENT_S + self._rng.uniform(0, SILENCE_SPREAD_S)
        self._relay_heard_until_s = now_s + silence_s
        if state.revision < self.revision:
            self._log_older_relay(sender, state)
        if state.revision <= self.revision:
            self._confirmed_at_s = max(self._confirmed_at_s, now_s - state.age_s)
            self._record_caught_up()
        else:
            self._record_behind(state.revision)

    def apply_changes(self, message: StoreChanges) -> None:
        """Apply changes that a relay forwarded, even if earlier ones are missing.

        Each change holds the full value of its key and does not depend on earlier ones. Only
        `revision` does not advance past a gap.
        """
        if message.after and not self.revision:
            return
        if message.revision <= self.revision:
            log_event(
                _LOG,
                "changes_passed_over",
                logging.DEBUG,
                after=format_revision(message.after),
                until=format_revision(message.revision),
                revision=format_revision(self.revision),
            )
            return
        try:
            changes = unpack_changes(message.packed)
        except ValueError as exc:
            log_event(_LOG, "changes_unreadable", logging.WARNING, error=exc)
            return
        if not message.after:
            self.on_snapshot(changes, message.revision)
            self._advance(message.revision)
            return
        fresh = self.select_fresh(changes)
        if message.after > self.revision:
            log_event(
                _LOG,
                "changes_after_gap",
                after=format_revision(message.after),
                until=format_revision(message.revision),
                revision=format_revision(self.revision),
            )
            self._record_behind(message.revision)
        else:
            self._advance(message.revision)
        self.on_changes(fresh)

    def list_changes(self, after: int) -> StoreChanges:
        """Return the known changes after a revision, for a gateway that lacks them.

        If keys may have been deleted after that revision without this gateway having seen it, the
        result holds all items, as changes after revision 0.
        """
        after = after if after >= self._complete_from else 0
        known = sorted(self._newest_by_key.values(), key=_read_revision)
        newer = (c for c in known if c.revision > after and (after or c.value is not None))
        return StoreChanges(after, self.revision, pack_changes(tuple(newer)))

    def record_missing(self, key: str, revision: int) -> None:
        """Record that a key is absent from the complete set of items as of a revision."""
        self._newest_by_key[key] = Change(key, None, revision)
        self.update_count += 1

    def select_fresh(self, changes: Iterable[Change]) -> tuple[Change, ...]:
        """Record and return the changes that are newer than the known change of their key.

        Revisions are compared per key, so a stale read that completes late overwrites nothing.
        """
        fresh = []
        for change in changes:
            if change.revision > self.newest_revision(change.key):
                self._newest_by_key[change.key] = change
                self.update_count += 1
                fresh.append(change)
            elif change.revision < self.newest_revision(change.key):
                known = format_revision(self.newest_revision(change.key))
                received = format_revision(change.revision)
                log_event(
                    _LOG, "change_passed_over", key=change.key, revision=received, known=known
                )
        return tuple(fresh)

    def newest_revision(self, key: str) -> int:
        """Return the revision of the newest known change of a key, 0 if there is none."""
        known = self._newest_by_key.get(key)
        return known.revision if known is not None else 0

    def describe(self) -> dict[str, object]:
        """Return the state of the feed as fields for log lines."""
        relied_on = self._relay if self.is_passive() else "store"
        return {
            "relies_on": relied_on,
            "revision": format_revision(self.revision),
            "store_age_s": _round_age(self.age_s()),
            "answer_age_s": _round_age(self.contact.answer_age_s()),
        }

    def _advance(self, revision: int) -> None:
        """Record that no change up to a revision is missing."""
        if not self.revision:
            self._complete_from = revision
        if revision > self.revision:
            self.revision = revision
            self.update_count += 1
            self.on_revision_advanced()

    def _log_older_relay(self, sender: str, state: RelayState) -> None:
        """Log once per revision that a relay is behind this gateway."""
        if self._logged_older_relay != (sender, self.revision):
            self._logged_older_relay = (sender, self.revision)
            log_event(
                _LOG,
                "relay_is_older",
                relay=sender,
                known=format_revision(state.revision),
                revision=format_revision(self.revision),
            )

    def _record_behind(self, revision: int) -> None:
        if self._behind_since_s is None:
            self._behind_since_s = self._clock()
            log_event(
                _LOG,
                "fell_behind",
                revision=format_revision(self.revision),
                heard_of=format_revision(revision),
            )

    def _record_caught_up(self) -> None:
        if self._behind_since_s is not None:
            behind_s = round(self._clock() - self._behind_since_s, 3)
            log_event(_LOG, "caught_up", revision=format_revision(self.revision), behind_s=behind_s)
            self._behind_since_s = None

    def _stop_relaying(self, why: str) -> None:
        if self._is_relay:
            self._is_relay = False
            log_event(_LOG, "relay_ended", why=why, revision=format_revision(self.revision))


def _split_changes(
    after: int, changes: tuple[Change, ...], revision: int
) -> Iterator[StoreChanges]:
    """Split changes into messages at revision boundaries.

    Stops at the first revision that does not fit a datagram: the other gateways see from the
    relay's revision that they are behind, and read the store.
    """
    for chunk in _group_changes(changes):
        last = chunk[-1].revision
        packed = pack_changes(tuple(chunk))
        if len(packed) > MAX_PACKED_BYTES:
            return
        yield StoreChanges(after, last, packed)
        after = last
    if revision > after:
        yield StoreChanges(after, revision, pack_changes(()))


def _group_changes(changes: tuple[Change, ...]) -> Iterator[list[Change]]:
    """Group the changes of whole revisions into chunks of up to `CHUNK_BYTES`."""
    chunk: list[Change] = []
    size = 0
    for _, group in groupby(sorted(changes, key=_read_revision), key=_read_revision):
        same = list(group)
        same_size = sum(len(c.key) + len(c.value or b"") for c in same)
        if chunk and size + same_size > CHUNK_BYTES:
            yield chunk
            chunk, size = [], 0
        chunk += same
        size += same_size
    if chunk:
        yield chunk


def _round_age(age_s: float) -> float | None:
    """Return an age for a log line, None if it is infinite."""
    return round(age_s, 3) if math.isfinite(age_s) else None


def _read_revision(change: Change) -> int:
    return change.revision
