"""Follow how long a group's passes last, from the pieces of the streams that it serves."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

RECENT_S = 0.4
"""Pieces of this time tell the present length of passes: four passes or more."""
MIN_PIECES = 6
FEW_PIECES = 3
"""A pass that is long makes all streams wait; one stream alone may wait for another reason."""
SLOWER = 1.3
"""Passes that last so much longer than after the last switch, batch for batch, call for a look."""
STALE_S = 1.5
"""Pieces that are older tell nothing of the present pace."""
USUAL_WEIGHT = 0.05
_MS_PER_S = 1000
SETTLE_S = 0.8
"""After a switch the length is learned anew for so long."""


@dataclass(frozen=True)
class _Piece:
    at_s: float
    pause_s: float
    relative: float


@dataclass
class PassTimes:
    """Hold the recent pauses between pieces, and what they were after the last switch.

    Passes last longer the more requests each rank runs, so lengths are compared for the same
    batch: `mean_batch` gives the requests a rank, `pass_ms` the published length for a batch.
    """

    clock: Callable[[], float]
    mean_batch: Callable[[], float]
    pass_ms: Callable[[float], float]
    on_slower: Callable[[], None] | None = None
    _pieces: deque[_Piece] = field(default_factory=deque)
    _settled_at_s: float = float("-inf")
    _usual: float | None = None

    def note_pause(self, pause_s: float) -> None:
        """Take the pause between two pieces of one stream."""
        now_s = self.clock()
        relative = pause_s * _MS_PER_S / self.pass_ms(self.mean_batch())
        self._pieces.append(_Piece(now_s, pause_s, relative))
        while self._pieces[0].at_s < now_s - RECENT_S:
            self._pieces.popleft()
        if len(self._pieces) >= MIN_PIECES and now_s >= self._settled_at_s:
            self._compare()

    def pass_s(self) -> float | None:
        """Return how long passes last at present, if pieces tell."""
        while self._pieces and self._pieces[0].at_s < self.clock() - STALE_S:
            self._pieces.popleft()
        if len(self._pieces) < MIN_PIECES:
            return None
        return sum(piece.pause_s for piece in self._pieces) / len(self._pieces)

    def longest_s(self) -> float | None:
        """Return the pause that a few of the recent pieces reached, if there are pieces."""
        if self.pass_s() is None:
            return None
        pauses_s = sorted((piece.pause_s for piece in self._pieces), reverse=True)
        return pauses_s[FEW_PIECES - 1]

    def settle(self) -> None:
        """Learn the usual length anew: another map is in force."""
        self._usual = None
        self._settled_at_s = self.clock() + SETTLE_S

    def _compare(self) -> None:
        length = sum(piece.relative for piece in self._pieces) / len(self._pieces)
        if self._usual is None:
            self._usual = length
        elif length < self._usual:
            # Slowly: pauses follow a batch that has just grown a pass later.
            self._usual += USUAL_WEIGHT * (length - self._usual)
        elif length > SLOWER * self._usual and self.on_slower is not None:
            self.on_slower()
