"""Detect crashes of one upstream by its port."""

from __future__ import annotations

import socket
import threading

from dalehollow.clock import read_clock
from dalehollow.crashes.fingerprints import Fingerprint
from dalehollow.crashes.shared import SharedSuspects

PORT_CHECK_TIMEOUT_S = 0.2


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
            self._suspects.record_crash(self._name_crash(sent_at_s), fingerprints, sent_at_s)

    def record_complete(
        self, fingerprints: tuple[Fingerprint, ...], sent_at_s: float, *, is_framed: bool
    ) -> None:
        """Record an answer that is complete by its framing; a crash may have ended others."""
        if not is_framed and self._is_port_closed():
            self._suspects.record_crash(self._name_crash(sent_at_s), fingerprints, sent_at_s)
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
