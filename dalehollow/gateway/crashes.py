"""Detect crashes of upstreams, and the attempts that broke with them.

A broken connection alone does not count as a crash, because answers get lost, connections are reset
and halls are disconnected. A crash is detected when the upstream's port refuses connections or when
the upstream restarts, unless it had announced that it is leaving.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from dalehollow.crashes import CrashEvidence, Fingerprint, Suspects
from dalehollow.gateway.admit import Job
from dalehollow.gateway.listed import ListedUpstream
from dalehollow.gateway.upstream import Upstream
from dalehollow.telemetry.logs import log_event

RESTART_S = 15.0
"""Usual restart time of a crashed upstream; older broken connections are discarded."""
CONNECTION_BREAK_SPREAD_S = 1.0
"""Interval within which all connections of a crashed upstream break, also on slow links."""

_LOG = logging.getLogger(__name__)


@dataclass
class _BrokenAttempt:
    """Describe an attempt whose connection broke before an answer was complete."""

    job: Job
    listed: ListedUpstream
    at_s: float
    events: int
    begun: frozenset[Fingerprint] | None
    is_reported: bool = False


class CrashWatch:
    """Track broken attempts and report those that broke at a crash to `suspects`."""

    def __init__(self, clock: Callable[[], float], suspects: Suspects) -> None:
        """Initialize without attempts."""
        self._clock = clock
        self.suspects = suspects
        self._broken_attempts: deque[_BrokenAttempt] = deque()
        # By address: the newest instance seen there, and when.
        self._starts: dict[str, tuple[ListedUpstream, float]] = {}

    def record_broken_attempt(
        self,
        job: Job,
        upstream: Upstream,
        *,
        events: int = 0,
        begun: frozenset[Fingerprint] | None = None,
    ) -> None:
        """Record an attempt that ended without a complete answer, unless the upstream is leaving.

        `events` were received from this upstream; `begun` is described in `CrashEvidence`.
        """
        if upstream.is_leaving():
            return
        now_s, listed = self._clock(), upstream.listed
        while self._broken_attempts and now_s - self._broken_attempts[0].at_s > RESTART_S:
            self._broken_attempts.popleft()
        self._broken_attempts.append(_BrokenAttempt(job, listed, now_s, events, begun))
        newest = self._starts.get(listed.address)
        if newest is not None and now_s - newest[1] < RESTART_S and _is_restart(listed, newest[0]):
            self._record_crash(listed, "start")

    def record_port_closed(self, listed: ListedUpstream) -> None:
        """Record a crash of an upstream whose port refuses connections."""
        self._record_crash(listed, "port")

    def record_started(self, listed: ListedUpstream) -> None:
        """Record the start of an upstream and the crash of any instance that it replaces."""
        now_s = self._clock()
        self._starts[listed.address] = (listed, now_s)
        for address in [a for a, (_, at_s) in self._starts.items() if now_s - at_s > RESTART_S]:
            del self._starts[address]
        ended = {_name_run(a.listed): a.listed for a in self._broken_attempts}
        for earlier in ended.values():
            if _is_restart(earlier, listed):
                self._record_crash(earlier, "start")

    def _record_crash(self, listed: ListedUpstream, detected_by: str) -> None:
        """Report the attempts whose connections broke when an upstream crashed, each once."""
        crash = _name_run(listed)
        broken = [a for a in self._broken_attempts if _name_run(a.listed) == crash]
        last_s = max((a.at_s for a in broken), default=0.0)
        at_crash = [
            a for a in broken if not a.is_reported and last_s - a.at_s <= CONNECTION_BREAK_SPREAD_S
        ]
        for attempt in at_crash:
            attempt.is_reported = True
            _log_broken_at_crash(attempt, crash, detected_by)
        evidence = [CrashEvidence(a.job.fingerprints, a.at_s, a.begun) for a in at_crash]
        self.suspects.record_crash(crash, evidence)


def _log_broken_at_crash(attempt: _BrokenAttempt, crash: str, detected_by: str) -> None:
    job = attempt.job
    log_event(
        _LOG,
        "broke_at_crash",
        request=job.request_id.decode("latin-1"),
        crashed=crash,
        detected_by=detected_by,
        fingerprint=job.fingerprints[0].hex(),
        shared_parts=b",".join(job.shared_parts).decode("latin-1"),
        events=attempt.events,
    )


def _name_run(listed: ListedUpstream) -> str:
    """Return a name that is unique to one run of an upstream."""
    if not listed.started_at_ms:
        return listed.incarnation
    return f"{listed.incarnation}@{listed.started_at_ms}"


def _is_restart(earlier: ListedUpstream, later: ListedUpstream) -> bool:
    """Return whether `later` replaces `earlier` after a restart."""
    if _name_run(earlier) == _name_run(later):
        return False
    if earlier.incarnation == later.incarnation:
        return later.started_at_ms > earlier.started_at_ms
    return (earlier.address, earlier.service) == (later.address, later.service)
