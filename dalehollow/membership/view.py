"""Track the state of an upstream as seen by one entry."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field

from dalehollow.config.model import PRIORITIES, Upstream
from dalehollow.routing import Candidate, LoadReport

EJECT_AFTER_FAILURES = 3
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 30.0


@dataclass
class UpstreamView:
    """Hold the last load report, the requests sent since, and the availability of an upstream."""

    upstream: Upstream
    is_near: bool
    distance_ms: float
    report: LoadReport | None = None
    reported_at_s: float = 0.0
    is_leaving: bool = False
    is_listed_leaving: bool = False
    is_silent: bool = False
    in_flight: int = 0
    # Run of the sidecar and when this entry first heard from it, 0 if it has not.
    incarnation_ms: int = 0
    _run_heard_at_s: float = float("-inf")
    _sent_since_report: int = 0
    _failures: int = 0
    _ejections: int = 0
    _ejected_until_s: float = 0.0
    # End of the backoff that the upstream requested, by priority.
    _backoff_until_s: dict[str, float] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def follow_run(self, incarnation_ms: int, sent_at_s: float, now_s: float) -> bool:
        """Return whether a reply is from the sidecar's current run.

        The reply is to a message sent at `sent_at_s`. The first reply of a new run ends what the
        run before it had reported.
        """
        with self._lock:
            if incarnation_ms == self.incarnation_ms:
                return True
            # An earlier start is a late reply of an ended run, unless the VM's clock was set back.
            if incarnation_ms < self.incarnation_ms and sent_at_s < self._run_heard_at_s:
                return False
            self.incarnation_ms, self._run_heard_at_s = incarnation_ms, now_s
            self.is_leaving = False
            self._backoff_until_s.clear()
            self._clear_failures()
            return True

    def apply_report(self, report: LoadReport, now_s: float) -> None:
        """Replace the load report, which includes all requests sent before the upstream replied."""
        with self._lock:
            self.is_silent = False
            self.report = report
            self.reported_at_s = now_s
            self._sent_since_report = 0

    def record_silence(self) -> None:
        """Mark the upstream silent after a heartbeat timeout, until its next load report."""
        self.is_silent = True

    def mark_leaving(self, is_leaving: bool, incarnation_ms: int) -> None:
        """Record the sidecar's leaving flag, which is not reset within one run."""
        self.follow_run(incarnation_ms, sent_at_s=float("inf"), now_s=self.reported_at_s)
        with self._lock:
            self.is_leaving = self.is_leaving or is_leaving

    def start_backoff(self, priority: str, until_s: float) -> None:
        """Send no requests of this or a lower priority until the end of a requested backoff."""
        with self._lock:
            for lower in PRIORITIES[PRIORITIES.index(priority) :]:
                self._backoff_until_s[lower] = max(until_s, self._backoff_until_s.get(lower, 0.0))

    def backoff_left_s(self, priority: str, now_s: float) -> float:
        """Return the remaining backoff for a priority, 0 if there is none."""
        with self._lock:
            return max(0.0, self._backoff_until_s.get(priority, 0.0) - now_s)

    def record_sent(self) -> None:
        """Count a request that was sent."""
        with self._lock:
            self.in_flight += 1
            self._sent_since_report += 1

    def record_done(self) -> None:
        """Count a request that has finished."""
        with self._lock:
            self.in_flight -= 1
            self._sent_since_report = max(0, self._sent_since_report - 1)

    def record_success(self) -> None:
        """Reset the failure count and any ejection."""
        with self._lock:
            self._clear_failures()

    def record_failure(self, now_s: float, *, is_unreachable: bool) -> None:
        """Count a failure; a failed connection or repeated failures eject the upstream."""
        with self._lock:
            self._failures += 1
            if is_unreachable or self._failures >= EJECT_AFTER_FAILURES:
                pause_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**self._ejections)
                self._ejected_until_s = now_s + pause_s
                self._ejections += 1
                self._failures = 0

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the upstream is ejected because of failures."""
        return now_s < self._ejected_until_s

    def as_candidate(self) -> Candidate:
        """Return the upstream as a candidate for request routing."""
        with self._lock:
            return Candidate(
                self.upstream.name, self.report, self._sent_since_report, self.distance_ms
            )

    def _clear_failures(self) -> None:
        self._failures = 0
        self._ejections = 0
        self._ejected_until_s = 0.0


def select_usable(
    views: list[UpstreamView], now_s: float, priority: str = PRIORITIES[0]
) -> list[UpstreamView]:
    """Return the views that may receive requests.

    Upstreams that are leaving, by the sidecar or by the VM list, or in backoff for this priority
    are always excluded. Of the remaining ones, the silent and ejected are excluded only if they are
    less than half; otherwise the fault is more likely on this side or common to all of them.
    """
    staying = [
        view
        for view in views
        if not (view.is_leaving or view.is_listed_leaving or view.backoff_left_s(priority, now_s))
    ]
    healthy = [view for view in staying if not (view.is_silent or view.is_ejected(now_s))]
    return healthy if 2 * len(healthy) > len(staying) else staying
