"""Have one gateway of a hall follow the store, and the others hear of changes from it.

Each watch is a call that the store counts, so the calls must not grow with the gateways. One
gateway of a hall, the relay, keeps a watch open and passes changes on in datagrams. The others
rely on it only while they know from it that they miss nothing that is older than `STALE_S`; else,
and after a gap, each asks the store itself. Whoever asked the store successfully and hears of no
relay becomes the relay; of two, the one whose name comes first stays.
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
"""Knowledge of the store that is older is not relied on. A relay confirms its own within 0.9 s or
notices that it cannot; what follows, a reading of one's own or a copy of another's, takes 0.8 s at
most: together below the two seconds within which a configuration must be in force."""
RELAY_SILENT_S = 0.6
"""A relay reports four times a second or more: two lost reports are no silence."""
SILENCE_SPREAD_S = 0.2
"""Gateways notice a silent relay spread over this, so that most hear of the next one first."""
CATCH_UP_S = 0.1
"""Who lacks a change that the relay has taken in waits so long for the datagram, then asks."""
CHUNK_BYTES = 4_000
"""Changes of several revisions share a message up to this size before they are compressed."""
MAX_PACKED_BYTES = 8_000
"""A datagram of this size goes in six frames; a larger one would often lose one of them."""

_LOG = logging.getLogger(__name__)


class HallFeed:
    """Hold how far this gateway has taken the store's changes in, and who relays them."""

    def __init__(
        self,
        name: str,
        clock: Callable[[], float],
        rng: random.Random,
        send: Callable[[StoreChanges], None],
        contact: StoreContact | None = None,
    ) -> None:
        """Prepare; `send` takes changes to the other gateways of the hall."""
        self._name = name
        self._clock = clock
        self._rng = rng
        self._send = send
        self.contact = contact or StoreContact(clock)
        # Set by whoever makes use of what comes: single changes, or all items that there are as of
        # a revision.
        self.on_changes: Callable[[tuple[Change, ...]], None] = lambda changes: None
        self.on_all: Callable[[tuple[Change, ...], int], None] = lambda changes, revision: None
        # Called when this gateway can give others more than before.
        self.on_moved: Callable[[], None] = lambda: None
        # Nothing up to here is missing; single newer changes may be known too.
        self.revision = 0
        # The newest change of each key that was ever told of, also of those that are gone.
        self._newest: dict[str, Change] = {}
        # How many changes were taken in.
        self.taken = 0
        # Of keys that were gone before this revision nothing is known.
        self._complete_from = 0
        self._fresh_at_s = float("-inf")
        self._read_at_s = float("-inf")
        self._is_relay = False
        self._relay = ""
        self._relay_heard_until_s = float("-inf")
        # A gateway that has just started listens first: most likely its hall has a relay.
        self._relays_from_s = clock() + RELAY_SILENT_S
        self._behind_since_s: float | None = None
        self._earlier_heard_at_s = float("-inf")
        self._older_relay = ("", 0)

    def is_passive(self) -> bool:
        """Return whether it is enough to hear the relay, so that the store need not be asked."""
        now_s = self._clock()
        if not self.revision or self._is_relay or now_s > self._relay_heard_until_s:
            return False
        is_behind = self._behind_since_s is not None and now_s - self._behind_since_s >= CATCH_UP_S
        return not is_behind and now_s - self._fresh_at_s < STALE_S

    def is_first(self) -> bool:
        """Return whether no gateway of the hall whose name comes earlier was heard of late."""
        return self._clock() - self._earlier_heard_at_s > RELAY_SILENT_S

    def note_peer(self, name: str) -> None:
        """Take in that another gateway of the hall was heard."""
        if name < self._name:
            self._earlier_heard_at_s = self._clock()

    def age_s(self) -> float:
        """Return how old the knowledge of the store is; infinite if there never was any."""
        return self._clock() - self._fresh_at_s

    def view(self) -> StoreView:
        """Return what this gateway tells others of the store."""
        age_s = round(self.contact.answer_age_s(), 3)
        contact = self.contact
        return StoreView(self.revision, age_s, contact.unbroken_s(), contact.era_heard_s())

    def speaks_for_hall(self) -> bool:
        """Return whether this gateway tells other halls of its own.

        The relay does. A hall of which the store answers no gateway has none, and then the first
        by name does: else other halls would not know whom to tell what they know.
        """
        if self.relay_state() is not None:
            return True
        listens_until_s = max(self._relays_from_s, self._relay_heard_until_s)
        return self._clock() > listens_until_s and self.is_first()

    def relay_state(self) -> RelayState | None:
        """Return what the relay tells of itself, or None for any other gateway."""
        age_s = self._clock() - self._read_at_s
        if not self._is_relay or not self.revision or age_s >= STALE_S:
            return None
        return RelayState(self.revision, round(age_s, 3))

    def note_read(self, after: int, changes: tuple[Change, ...], revision: int) -> None:
        """Take in that the store answered with all changes after one revision up to another."""
        now_s = self._clock()
        self._read_at_s = self._fresh_at_s = now_s
        self._move_on(revision)
        self._note_caught_up()
        if not self._is_relay and now_s > max(self._relays_from_s, self._relay_heard_until_s):
            self._is_relay = True
            log_event(_LOG, "relay_begun", revision=format_revision(self.revision))
        if self._is_relay and after:
            for message in _split_changes(after, changes, revision):
                self._send(message)

    def note_unreachable(self) -> None:
        """Leave the relaying to a gateway that reaches the store."""
        self._end_relaying("store_lost")

    def note_relay(self, sender: str, state: RelayState) -> None:
        """Take in what another gateway tells as the relay."""
        if self._is_relay and self.relay_state() is not None:
            if sender > self._name:
                return
            self._end_relaying(f"relay is {sender}")
        now_s = self._clock()
        if sender != self._relay:
            log_event(_LOG, "relay_heard", relay=sender, revision=format_revision(state.revision))
        self._relay = sender
        silence_s = RELAY_SILENT_S + self._rng.uniform(0, SILENCE_SPREAD_S)
        self._relay_heard_until_s = now_s + silence_s
        if state.revision < self.revision:
            self._note_older_relay(sender, state)
        if state.revision <= self.revision:
            self._fresh_at_s = max(self._fresh_at_s, now_s - state.age_s)
            self._note_caught_up()
        else:
            self._note_behind(state.revision)

    def take_changes(self, message: StoreChanges) -> None:
        """Take in changes that a relay passed on, also where some before them are missing.

        Each is a whole value of its key, so none needs what came before it; only `revision`, up to
        which nothing is missing, does not pass a gap.
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
            self.on_all(changes, message.revision)
            self._move_on(message.revision)
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
            self._note_behind(message.revision)
        else:
            self._move_on(message.revision)
        self.on_changes(fresh)

    def list_changes(self, after: int) -> StoreChanges:
        """Return what is known that is newer than a revision, for a gateway that lacks it.

        Where keys may have gone since then of which nothing is known here, that is everything, told
        as what comes after revision 0.
        """
        after = after if after >= self._complete_from else 0
        known = sorted(self._newest.values(), key=_read_revision)
        newer = (c for c in known if c.revision > after and (after or c.value is not None))
        return StoreChanges(after, self.revision, pack_changes(tuple(newer)))

    def note_missing(self, key: str, revision: int) -> None:
        """Take in that a key is not among all items as of a revision."""
        self._newest[key] = Change(key, None, revision)
        self.taken += 1

    def select_fresh(self, changes: Iterable[Change]) -> tuple[Change, ...]:
        """Return the changes that are newer than what is known of their keys, and note them.

        Each key stands for itself, so an older reading that ends late takes nothing back.
        """
        fresh = []
        for change in changes:
            if change.revision > self.newest_revision(change.key):
                self._newest[change.key] = change
                self.taken += 1
                fresh.append(change)
            elif change.revision < self.newest_revision(change.key):
                known = format_revision(self.newest_revision(change.key))
                told = format_revision(change.revision)
                log_event(_LOG, "change_passed_over", key=change.key, revision=told, known=known)
        return tuple(fresh)

    def newest_revision(self, key: str) -> int:
        """Return the revision of the newest change of a key that was taken in, 0 for none."""
        known = self._newest.get(key)
        return known.revision if known is not None else 0

    def describe(self) -> dict[str, object]:
        """Return what is known of the store, for log lines of what depends on it."""
        relied_on = self._relay if self.is_passive() else "store"
        return {
            "relies_on": relied_on,
            "revision": format_revision(self.revision),
            "store_age_s": _round_age(self.age_s()),
            "answer_age_s": _round_age(self.contact.answer_age_s()),
        }

    def _move_on(self, revision: int) -> None:
        """Take in that nothing up to a revision is missing."""
        if not self.revision:
            self._complete_from = revision
        if revision > self.revision:
            self.revision = revision
            self.taken += 1
            self.on_moved()

    def _note_older_relay(self, sender: str, state: RelayState) -> None:
        """Log once that a relay knows less than this gateway does."""
        if self._older_relay != (sender, self.revision):
            self._older_relay = (sender, self.revision)
            log_event(
                _LOG,
                "relay_is_older",
                relay=sender,
                known=format_revision(state.revision),
                revision=format_revision(self.revision),
            )

    def _note_behind(self, revision: int) -> None:
        if self._behind_since_s is None:
            self._behind_since_s = self._clock()
            log_event(
                _LOG,
                "fell_behind",
                revision=format_revision(self.revision),
                heard_of=format_revision(revision),
            )

    def _note_caught_up(self) -> None:
        if self._behind_since_s is not None:
            behind_s = round(self._clock() - self._behind_since_s, 3)
            log_event(_LOG, "caught_up", revision=format_revision(self.revision), behind_s=behind_s)
            self._behind_since_s = None

    def _end_relaying(self, why: str) -> None:
        if self._is_relay:
            self._is_relay = False
            log_event(_LOG, "relay_ended", why=why, revision=format_revision(self.revision))


def _split_changes(
    after: int, changes: tuple[Change, ...], revision: int
) -> Iterator[StoreChanges]:
    """Split changes into messages between revisions.

    From the first revision on that does not fit a datagram nothing is sent: the others see by the
    relay's revision that they are behind and ask the store.
    """
    for chunk in _list_chunks(changes):
        last = chunk[-1].revision
        packed = pack_changes(tuple(chunk))
        if len(packed) > MAX_PACKED_BYTES:
            return
        yield StoreChanges(after, last, packed)
        after = last
    if revision > after:
        yield StoreChanges(after, revision, pack_changes(()))


def _list_chunks(changes: tuple[Change, ...]) -> Iterator[list[Change]]:
    """Put the changes of whole revisions together up to the size of a message."""
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
    """Return an age for a log line, None for what never was."""
    return round(age_s, 3) if math.isfinite(age_s) else None


def _read_revision(change: Change) -> int:
    return change.revision
