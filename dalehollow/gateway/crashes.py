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
from dalehollow.gateway.listed import ListedUpstream, name_run
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
    upstream: Upstream
    at_s: float
    events: int
    begun: frozenset[Fingerprint] | None
    in_flight_s: float
    is_reported: bool = False


class CrashWatch:
    """Track broken attempts and report those that broke at a crash to `suspects`."""

    def __init__(self, clock: Callable[[], float], suspects: Suspects) -> None:
        """Initialize without attempts."""
        self._clock = clock
        self.suspects = suspects
        self._broken_attempts: deque[_BrokenAttempt] = deque()
        # By address: the newest listed run there, and when it was listed.
        self._starts: dict[str, tuple[ListedUpstream, float]] = {}

    def record_broken_attempt(
        self,
        job: Job,
        upstream: Upstream,
        *,
        events: int = 0,
        begun: frozenset[Fingerprint] | None = None,
        in_flight_s: float = 0.0,
    ) -> None:
        """Record an attempt that ended without a complete answer, unless the upstream is leaving.

        `events` were received from this upstream; the rest is described in `CrashEvidence`.
        """
        if upstream.is_leaving():
            return
        now_s = self._clock()
        while self._broken_attempts and now_s - self._broken_attempts[0].at_s > RESTART_S:
            self._broken_attempts.popleft()
        broken = _BrokenAttempt(job, upstream, now_s, events, begun, in_flight_s)
        self._broken_attempts.append(broken)
        newest = self._starts.get(upstream.listed.address)
        if (
            newest is not None
            and now_s - newest[1] < RESTART_S
            and _is_restart(upstream, newest[0])
        ):
            self._record_crash(upstream.run_name, "start")

    def record_port_closed(self, listed: ListedUpstream, unlisted_runs: int = 0) -> None:
        """Record a crash of a run whose port refuses connections."""
        self._record_crash(name_run(listed, unlisted_runs), "port")

    def record_started(self, listed: ListedUpstream) -> None:
        """Record the start of an upstream and the crash of any instance that it replaces."""
        now_s = self._clock()
        self._starts[listed.address] = (listed, now_s)
        for address in [a for a, (_, at_s) in self._starts.items() if now_s - at_s > RESTART_S]:
            del self._starts[address]
        ended = {
            a.upstream.run_name for a in self._broken_attempts if _is_restart(a.upstream, listed)
        }
        for run_name in ended:
            self._record_crash(run_name, "start")

    def _record_crash(self, crash: str, detected_by: str) -> None:
        """Report the attempts whose connections broke when a run crashed, each once."""
        broken = [a for a in self._broken_attempts if a.upstream.run_name == crash]
        last_s = max((a.at_s for a in broken), default=0.0)
        at_crash = [
            a for a in broken if not a.is_reported and last_s - a.at_s <= CONNECTION_BREAK_SPREAD_S
        ]
        for attempt in at_crash:
            attempt.is_reported = True
            _log_broken_at_crash(attempt, crash, detected_by)
        evidence = [
            CrashEvidence(a.job.fingerprints, a.at_s, a.begun, a.in_flight_s) for a in at_crash
        ]
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


def _is_restart(earlier: Upstream, later: ListedUpstream) -> bool:
    """Return whether `later` replaces `earlier` after a restart."""
    listed = earlier.listed
    if listed.incarnation == later.incarnation:
        return later.started_at_ms > listed.started_at_ms
    return (listed.address, listed.service) == (later.address, later.service)
