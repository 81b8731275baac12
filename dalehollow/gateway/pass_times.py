"""Measure how long a group's passes last, from the pieces of the streams that it serves."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

RECENT_S = 0.4
"""Pieces within this time measure the current pass length: four passes or more."""
MIN_PIECES = 6
FEW_PIECES = 3
"""A long pass delays all streams; a single stream may be delayed for another reason."""
SLOWER_RATIO = 1.3
"""Ratio of pass length to the usual one, for the same batch, from which `on_slower` is called."""
STALE_S = 1.5
"""Pieces older than this do not reflect the current pass length."""
USUAL_WEIGHT = 0.05
_MS_PER_S = 1000
SETTLE_S = 0.8
"""Time after a switch before the usual length is measured again."""


@dataclass(frozen=True)
class _Piece:
    at_s: float
    pause_s: float
    relative: float


@dataclass
class PassTimes:
    """Track recent pauses between pieces, relative to those after the last switch.

    Passes last longer the more requests each rank runs, so lengths are compared for the same
    batch: `mean_batch` returns the requests per rank, `pass_ms` the published length for a batch.
    """

    clock: Callable[[], float]
    mean_batch: Callable[[], float]
    pass_ms: Callable[[float], float]
    on_slower: Callable[[], None] | None = None
    _pieces: deque[_Piece] = field(default_factory=deque)
    _settled_at_s: float = float("-inf")
    _usual_length: float | None = None

    def record_pause(self, pause_s: float) -> None:
        """Record the pause between two pieces of one stream."""
        now_s = self.clock()
        relative = pause_s * _MS_PER_S / self.pass_ms(self.mean_batch())
        self._pieces.append(_Piece(now_s, pause_s, relative))
        while self._pieces[0].at_s < now_s - RECENT_S:
            self._pieces.popleft()
        if len(self._pieces) >= MIN_PIECES and now_s >= self._settled_at_s:
            self._compare()

    def pass_s(self) -> float | None:
        """Return the current pass length, None if there are too few recent pieces."""
        while self._pieces and self._pieces[0].at_s < self.clock() - STALE_S:
            self._pieces.popleft()
        if len(self._pieces) < MIN_PIECES:
            return None
        return sum(piece.pause_s for piece in self._pieces) / len(self._pieces)

    def longest_s(self) -> float | None:
        """Return the pause that `FEW_PIECES` recent pieces reached, None if there are too few."""
        if self.pass_s() is None:
            return None
        pauses_s = sorted((piece.pause_s for piece in self._pieces), reverse=True)
        return pauses_s[FEW_PIECES - 1]

    def settle(self) -> None:
        """Measure the usual length again, since another map is active."""
        self._usual_length = None
        self._settled_at_s = self.clock() + SETTLE_S

    def _compare(self) -> None:
        length = sum(piece.relative for piece in self._pieces) / len(self._pieces)
        if self._usual_length is None:
            self._usual_length = length
        elif length < self._usual_length:
            # Adapt slowly: after the batch grows, pauses lengthen one pass later.
            self._usual_length += USUAL_WEIGHT * (length - self._usual_length)
        elif length > SLOWER_RATIO * self._usual_length and self.on_slower is not None:
            self.on_slower()
