"""Keep what one entry knows of one upstream."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field

from dalehollow.config.model import PRIORITIES, Upstream
from dalehollow.routing import Candidate, LoadReport

EJECT_AFTER_FAILURES = 3
EJECT_BASE_S = 0.5
EJECT_MAX_S = 30.0


@dataclass
class UpstreamView:
    """Hold the last report, the requests sent since, and whether the upstream can be used."""

    upstream: Upstream
    is_near: bool
    distance_ms: float
    report: LoadReport | None = None
    reported_at_s: float = 0.0
    is_leaving: bool = False
    is_listed_leaving: bool = False
    is_silent: bool = False
    in_flight: int = 0
    incarnation_ms: int = 0
    _sent_since: int = 0
    _failures: int = 0
    _ejections: int = 0
    _ejected_until_s: float = 0.0
    # By priority: until when it wants no request as urgent as that or less.
    _rests_until_s: dict[str, float] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def take_report(self, report: LoadReport, now_s: float) -> None:
        """Replace the load; the upstream counts what was sent before it answered."""
        with self._lock:
            self.is_silent = False
            self.report = report
            self.reported_at_s = now_s
            self._sent_since = 0

    def note_silence(self) -> None:
        """Note that a beat was not answered in time; the next answer of any kind ends it."""
        self.is_silent = True

    def mark_leaving(self, is_leaving: bool, incarnation_ms: int) -> None:
        """Note the sidecar's own word; a new incarnation is not leaving any more."""
        with self._lock:
            self.is_leaving = is_leaving
            if incarnation_ms != self.incarnation_ms:
                self.incarnation_ms = incarnation_ms
                self._rests_until_s.clear()
                self._clear_failures()

    def note_rest(self, priority: str, until_s: float) -> None:
        """Note that it wants no request as urgent as this or less for a while."""
        with self._lock:
            for lower in PRIORITIES[PRIORITIES.index(priority) :]:
                self._rests_until_s[lower] = max(until_s, self._rests_until_s.get(lower, 0.0))

    def rest_left_s(self, priority: str, now_s: float) -> float:
        """Return for how long it still wants no such request, 0 if it takes them."""
        with self._lock:
            return max(0.0, self._rests_until_s.get(priority, 0.0) - now_s)

    def note_sent(self) -> None:
        """Count a request that is on its way."""
        with self._lock:
            self.in_flight += 1
            self._sent_since += 1

    def note_done(self) -> None:
        """Count a request that is over."""
        with self._lock:
            self.in_flight -= 1
            self._sent_since = max(0, self._sent_since - 1)

    def note_success(self) -> None:
        """Forget earlier failures."""
        with self._lock:
            self._clear_failures()

    def note_failure(self, now_s: float, *, is_unreachable: bool) -> None:
        """Count a failure; too many in a row, or no connection at all, eject for a while."""
        with self._lock:
            self._failures += 1
            if is_unreachable or self._failures >= EJECT_AFTER_FAILURES:
                pause_s = min(EJECT_MAX_S, EJECT_BASE_S * 2**self._ejections)
                self._ejected_until_s = now_s + pause_s
                self._ejections += 1
                self._failures = 0

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the upstream is out for its failures."""
        return now_s < self._ejected_until_s

    def as_candidate(self) -> Candidate:
        """Return what a choice needs to know."""
        with self._lock:
            return Candidate(self.upstream.name, self.report, self._sent_since, self.distance_ms)

    def _clear_failures(self) -> None:
        self._failures = 0
        self._ejections = 0
        self._ejected_until_s = 0.0


def select_usable(
    views: list[UpstreamView], now_s: float, priority: str = PRIORITIES[0]
) -> list[UpstreamView]:
    """Return the views that may get work; where most are out, that is not believed.

    Leaving upstreams never get work, whoever says so, nor do those that asked for rest; silent and
    ejected ones do when half of the pool or more is out, since then the fault is more likely this
    side or all of it.
    """
    staying = [
        view
        for view in views
        if not (view.is_leaving or view.is_listed_leaving or view.rest_left_s(priority, now_s))
    ]
    healthy = [view for view in staying if not (view.is_silent or view.is_ejected(now_s))]
    return healthy if 2 * len(healthy) > len(staying) else staying
