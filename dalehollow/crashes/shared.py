"""Share suspects between the threads of a process."""

from __future__ import annotations

import threading
from collections.abc import Mapping, Sequence

from dalehollow.clock import read_clock
from dalehollow.crashes.fingerprints import Fingerprint
from dalehollow.crashes.suspects import CrashEvidence, Suspects
from dalehollow.protocol.reports import Suspicion

MAX_HEARTBEAT_SUSPECTS = 16


class SharedSuspects:
    """Give threads access to suspects one at a time.

    Processes that use it probe no culprits: a suspicion ends after `SUSPICION_RETENTION_S`, or with
    its first refusal if there was a single incident.
    """

    def __init__(self) -> None:
        """Initialize without suspects."""
        self._lock = threading.Lock()
        self._suspects = Suspects(read_clock, is_probe_turn=None)

    def refused_s(self, fingerprints: Sequence[Fingerprint]) -> float:
        """Return how long a request is refused, 0 if it is not."""
        with self._lock:
            return self._suspects.refused_s(fingerprints)

    def may_be_retried(self, fingerprints: Sequence[Fingerprint]) -> bool:
        """Return whether a request may be retried after its connection broke."""
        with self._lock:
            return self._suspects.may_be_retried(fingerprints)

    def record_answered(self, fingerprints: Sequence[Fingerprint]) -> None:
        """Record a complete answer of an upstream to a request."""
        with self._lock:
            self._suspects.record_answered(fingerprints)

    def record_crash(
        self, crash: str, fingerprints: tuple[Fingerprint, ...], sent_at_s: float
    ) -> None:
        """Record that a request was in flight when an upstream crashed."""
        now_s = read_clock()
        evidence = CrashEvidence(fingerprints, now_s, in_flight_s=now_s - sent_at_s)
        with self._lock:
            self._suspects.record_crash(crash, [evidence])

    def merge_reported(self, reported: Mapping[Fingerprint, Suspicion]) -> None:
        """Merge the suspicions reported by a peer."""
        if reported:
            with self._lock:
                self._suspects.merge_reported(reported)

    def export_suspicions(self) -> dict[Fingerprint, Suspicion]:
        """Return the most important suspicions for a heartbeat."""
        with self._lock:
            return self._suspects.export_suspicions(MAX_HEARTBEAT_SUSPECTS)

    def describe(self) -> dict[str, dict[str, object]]:
        """Return the suspects with crashes by fingerprint, for state dumps."""
        with self._lock:
            return self._suspects.describe()
