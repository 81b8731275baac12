"""Distinguish an outage of the store from a broken connection of one gateway to it.

Entries of upstreams expire when they cannot be renewed, so for a short time after an outage of the
store a missing entry may merely have expired. If the store answered any gateway throughout, no
entry has expired, even if this gateway's own calls failed: a missing entry was then removed.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from dalehollow.telemetry.logs import log_event

EXPIRY_GRACE_S = 2.0
"""Entries that expired during an outage of the store are rewritten within about 2 s."""
EXPIRY_HEARTBEATS = 1.8
"""An entry expires after three heartbeats without renewal, so at least two must be missed in an
outage; less a tenth, for heartbeats that come early."""
DEFAULT_OUTAGE_S = 1.2 * EXPIRY_HEARTBEATS
"""For the default heartbeat of upstreams, 1.2 s."""

_LOG = logging.getLogger(__name__)


class StoreContact:
    """Track when the store last answered any gateway, and since when without an outage."""

    def __init__(self, clock: Callable[[], float], outage_s: float = DEFAULT_OUTAGE_S) -> None:
        """Create a tracker; entries may expire in an outage longer than `outage_s`."""
        self._clock = clock
        self._outage_s = outage_s
        self._answered_at_s = float("-inf")
        self._up_since_s = float("inf")
        # Start and end of the last outage. A gateway that has just started has read all items
        # since, so an entry missing later has not expired in an earlier outage.
        self._outage_began_at_s = float("-inf")
        self._outage_ended_at_s = float("-inf")
        # Newest known era of the store, when any gateway first heard of it, and from when the
        # grace after a restore counts. A gateway that has just started assumes no loss by a
        # restore.
        self._era = -1
        self._era_heard_at_s = self._restored_at_s = float("-inf")
        # Called when expired entries must be re-evaluated earlier than scheduled.
        self.on_expiry_update: Callable[[], None] = lambda: None

    def record_answered(self, at_s: float | None = None) -> None:
        """Record that the store answered this gateway now, or another one at `at_s`."""
        now_s = self._clock()
        at_s = now_s if at_s is None else min(at_s, now_s)
        if at_s <= self._answered_at_s:
            return
        silence_s = at_s - self._answered_at_s
        if silence_s > self._outage_s:
            self._up_since_s = at_s
            if math.isfinite(silence_s):
                self._outage_began_at_s, self._outage_ended_at_s = self._answered_at_s, at_s
                log_event(_LOG, "store_was_away", logging.WARNING, for_s=round(silence_s, 3))
        self._answered_at_s = at_s

    def record_era(self, era: int, heard_s: float = 0.0) -> None:
        """Record an era of the store, first heard of by another gateway `heard_s` ago."""
        at_s = self._clock() - heard_s
        if era > self._era:
            self._restored_at_s = at_s if self._era >= 0 else float("-inf")
            self._era, self._era_heard_at_s = era, at_s
        elif era == self._era and at_s < self._era_heard_at_s:
            self._era_heard_at_s = at_s
            if at_s < self._restored_at_s:
                self._restored_at_s = at_s
                self.on_expiry_update()

    def record_peer_contact(self, answer_age_s: float, unbroken_s: float) -> None:
        """Record how long ago the store answered a peer, and for how long without an outage."""
        if answer_age_s > self._outage_s:
            # The peer does not know whether the store is up now.
            return
        now_s = self._clock()
        self.record_answered(now_s - answer_age_s)
        since_s = now_s - unbroken_s
        self._up_since_s = min(self._up_since_s, since_s)
        if since_s >= self._outage_ended_at_s:
            return
        self._outage_ended_at_s = since_s
        if since_s - self._outage_began_at_s <= self._outage_s:
            self._outage_began_at_s = self._outage_ended_at_s = float("-inf")
            log_event(_LOG, "store_was_there", unbroken_s=round(unbroken_s, 3))
        self.on_expiry_update()

    def answer_age_s(self) -> float:
        """Return how long ago the store last answered this gateway or any peer heard."""
        return self._clock() - self._answered_at_s

    def unbroken_s(self) -> float:
        """Return for how long the store has answered without an outage."""
        return self._elapsed_s(self._up_since_s)

    def era_heard_s(self) -> float:
        """Return how long ago the newest era was first heard of."""
        return self._elapsed_s(self._era_heard_at_s)

    def may_have_expired(self) -> bool:
        """Return whether a missing entry may merely have expired, rather than been removed."""
        return self.answer_age_s() > self._outage_s or self.settles_in_s() > 0.0

    def settles_in_s(self) -> float:
        """Return the time until a missing entry counts as removed.

        It is counted from the end of the store's last outage, or from its last restore: entries
        missing from a restored backup are rewritten like those that expired.
        """
        since_s = max(self._outage_ended_at_s, self._restored_at_s)
        return since_s + EXPIRY_GRACE_S - self._clock()

    def _elapsed_s(self, since_s: float) -> float:
        """Return the time since `since_s`, rounded down, 0 if it is infinite.

        Rounding up would let the value grow as gateways report it to each other.
        """
        passed_s = self._clock() - since_s
        return math.floor(passed_s * 1000) / 1000 if math.isfinite(passed_s) else 0.0
