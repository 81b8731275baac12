"""Detect crashes of one upstream from threads, and share what is suspected between them."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Mapping, Sequence

from dalehollow.clock import read_clock
from dalehollow.crashes.fingerprints import Fingerprint
from dalehollow.crashes.suspects import CrashEvidence, Suspects
from dalehollow.protocol.reports import Suspicion

PORT_CHECK_TIMEOUT_S = 0.2
MAX_HEARTBEAT_SUSPECTS = 16


class SharedSuspects:
    """Give threads access to suspects one at a time.

    Processes that use it probe no culprits: a suspicion ends after `SUSPICION_RETENTION_S`.
    """

    def __init__(self, clock: Callable[[], float] = read_clock) -> None:
        """Initialize without suspects."""
        self._lock = threading.Lock()
        self._suspects = Suspects(clock, is_probe_turn=lambda name, since_s: False)

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

    def record_crash(self, crash: str, fingerprints: tuple[Fingerprint, ...]) -> None:
        """Record that a request was in flight when an upstream crashed."""
        with self._lock:
            self._suspects.record_crash(crash, [CrashEvidence(fingerprints, read_clock())])

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


class CrashDetector:
    """Tell crashes of an upstream from broken connections by its port."""

    def __init__(self, name: str, address: str, suspects: SharedSuspects) -> None:
        """Watch the upstream at `address`; `name` is unique to this process's run."""
        self._name = name
        self._address = address
        self._suspects = suspects
        self._lock = threading.Lock()
        self._crashes = 0
        self._crashed_at_s = float("-inf")

    def record_broken(self, fingerprints: tuple[Fingerprint, ...], sent_at_s: float) -> None:
        """Record a request whose connection broke before its answer was complete."""
        if self._is_port_closed():
            self._suspects.record_crash(self._name_crash(sent_at_s), fingerprints)

    def record_complete(
        self, fingerprints: tuple[Fingerprint, ...], sent_at_s: float, *, is_framed: bool
    ) -> None:
        """Record an answer that is complete by its framing; a crash may have ended others."""
        if not is_framed and self._is_port_closed():
            self._suspects.record_crash(self._name_crash(sent_at_s), fingerprints)
        else:
            self._suspects.record_answered(fingerprints)

    def _is_port_closed(self) -> bool:
        host, _, port = self._address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), timeout=PORT_CHECK_TIMEOUT_S).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            pass
        return False

    def _name_crash(self, sent_at_s: float) -> str:
        """Return the name of the last crash, or of another one if a request was sent after it."""
        with self._lock:
            if sent_at_s > self._crashed_at_s:
                self._crashes += 1
                self._crashed_at_s = read_clock()
            return f"{self._name}@{self._crashes}"
