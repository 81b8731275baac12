"""Hold what a gateway knows of one upstream."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from dalehollow.aio import ClientConnection
from dalehollow.gateway.listed import ListedUpstream

EJECT_BASE_S = 0.5
EJECT_MAX_S = 4.0
"""Ejections double from the base, which is a few round trips, to a bound after which a server
that came back is still found within the time that a caller waits."""
FAILURE_WEIGHT = 0.2
EJECT_FAILURE_SHARE = 0.5
MIN_SAMPLES = 4
"""An upstream is ejected when half of its last few answers failed; plain services fail up to a
seventh of their requests in ordinary operation, which stays far below."""
TOLD_LIFE_S = 2.0
"""A load told with an answer counts so long: about the time that a stream runs."""


class MoveReason(enum.StrEnum):
    """Name why a try goes on at another upstream."""

    SLOW_RANK = "slow_rank"
    RESTARTED = "upstream_restarted"


@dataclass(eq=False)
class Move:
    """Hold a try that can go on at another upstream, and why it was asked to."""

    connection: ClientConnection | None = None
    why: MoveReason | None = None

    @property
    def is_asked(self) -> bool:
        """Return whether it was asked to go on."""
        return self.why is not None

    def ask(self, why: MoveReason) -> None:
        """Break the try off; the request goes on elsewhere from where it is."""
        self.why = why
        if self.connection is not None:
            self.connection.abort()


@dataclass
class Said:
    """Hold what an upstream said of itself in its answers, of one start of it."""

    started_at_ms: int
    # It wants no request from this gateway until then.
    rests_until_s: float = float("-inf")
    is_leaving: bool = False
    # Requests a second that it takes from all gateways together, None for any number, and when an
    # answer of it last said so to any gateway.
    limit_per_s: float | None = None
    limit_told_at_s: float = float("-inf")


@dataclass
class Upstream:
    """Hold the state of one upstream as this gateway sees it."""

    listed: ListedUpstream
    said: Said
    in_hand: int = 0
    others_in_hand: int = 0
    unknown: int = 0
    unknown_at_s: float = float("-inf")
    ejected_until_s: float = 0.0
    # Tries in hand that may go on elsewhere.
    moves: set[Move] = field(default_factory=set)
    _ejections: int = 0
    _failure_share: float = 0.0
    _samples: int = 0

    def takes_requests(self, now_s: float) -> bool:
        """Return whether it may get a new request, once it has a free slot.

        Nothing else decides this: what an upstream asks for binds also where no other is left.
        """
        return not self.is_leaving() and not self.rest_left_s(now_s)

    def is_leaving(self) -> bool:
        """Return whether the list or an answer of its own said that it leaves.

        Neither takes back what the other said: an answer is often sooner than the list.
        """
        return self.listed.is_leaving or self.said.is_leaving

    def load(self, now_s: float) -> float:
        """Return the requests that are known or told to be there, for each slot."""
        unknown = self.unknown if now_s - self.unknown_at_s < TOLD_LIFE_S else 0
        return (self.known_in_hand() + unknown) / max(1, self.listed.slots)

    def known_in_hand(self) -> int:
        """Return the requests that this and the other gateways have there."""
        return self.in_hand + max(0, self.others_in_hand)

    def note_told(self, told: int, now_s: float) -> None:
        """Take the load that an answer told; what no gateway knows of is left by a lost one."""
        self.note_unknown(max(0, told - self.known_in_hand()), now_s)

    def note_unknown(self, unknown: int, at_s: float) -> None:
        """Take how many requests nobody knows of, if that is newer than what is known."""
        if at_s > self.unknown_at_s:
            self.unknown, self.unknown_at_s = unknown, at_s

    def note_rest(self, rest_s: float, now_s: float) -> None:
        """Take in that it wants no request from this gateway for a while."""
        self.said.rests_until_s = max(self.said.rests_until_s, now_s + rest_s)

    def rest_left_s(self, now_s: float) -> float:
        """Return for how long it still wants no request, 0 if it takes them."""
        return max(0.0, self.said.rests_until_s - now_s)

    def note_answer(self, *, failed: bool) -> None:
        """Count an answer, or a request that got none."""
        self._samples += 1
        self._failure_share += FAILURE_WEIGHT * (failed - self._failure_share)
        if not failed:
            self._ejections = 0

    def is_failing(self) -> bool:
        """Return whether too many of the last requests failed."""
        return self._samples >= MIN_SAMPLES and self._failure_share > EJECT_FAILURE_SHARE

    def eject(self, now_s: float) -> None:
        """Keep requests away for a while, longer each time."""
        pause_s = min(EJECT_MAX_S, EJECT_BASE_S * 2**self._ejections)
        self._ejections += 1
        self.ejected_until_s = now_s + pause_s
        # Judge it anew by what it does after the pause.
        self._failure_share, self._samples = 0.0, 0
