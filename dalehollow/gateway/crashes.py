"""Detect requests that crash upstreams, and refuse them.

A request is identified by its path, account and body. When an upstream crashes, at most one of the
requests in flight is the cause, but it is unknown which one. Each of them becomes a suspect, unless
a gateway has recently seen it answered successfully; the next successful answer clears it. A
request with three crashes and no successful answer is refused for a period that grows with each
further crash. After each period one probe is admitted to test whether it still crashes upstreams.

A broken connection alone does not count as a crash, because answers get lost, connections are reset
and halls are disconnected. A crash is detected when the upstream's port refuses connections or when
the upstream restarts, unless it had announced that it is leaving.
"""

from __future__ import annotations

import hashlib
import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from dalehollow.gateway.admit import Job
from dalehollow.gateway.listed import ListedUpstream
from dalehollow.gateway.upstream import Upstream
from dalehollow.protocol.reports import Suspicion
from dalehollow.telemetry.logs import log_event

MAX_CRASHES = 3
MAX_CRASHES_FOR_RETRY = 2
"""Number of crashes after which a gateway no longer retries a request; its caller still may."""
REFUSAL_S = 60.0
REFUSAL_FACTOR = 4.0
MAX_REFUSAL_S = 3600.0
"""The first refusal, after the third crash, lasts `REFUSAL_S`; each further crash multiplies the
duration. This allows three probes within an hour, while a request that was in flight at three
crashes by coincidence is refused for one minute."""
PROBE_TIMEOUT_S = 10.0
"""Longest duration of a probe; until then no gateway starts another one."""
RESTART_S = 15.0
"""Usual restart time of a crashed upstream; older broken connections are discarded."""
CONNECTION_BREAK_SPREAD_S = 1.0
"""Interval within which all connections of a crashed upstream break, also on slow links."""
SUSPICION_RETENTION_S = 300.0
"""Retention of a suspicion after the last crash or the end of the refusals."""
KNOWN_GOOD_S = 60.0
"""A request answered successfully within this period is not suspected. Many callers may send the
same request, so that it is in flight at many crashes."""
MAX_KNOWN_GOOD = 2_000
MAX_SUSPECTS = 500
MAX_REPORTED_SUSPECTS = 32
CLEARED_RETENTION_S = 30.0
MAX_REPORT_TRANSIT_S = 0.1
"""Upper bound of the usual transit time of a report, by which received ages are too low."""

_LOG = logging.getLogger(__name__)

Fingerprint = bytes


@dataclass(frozen=True)
class AttemptDetails:
    """Identify an attempt in logs; `events` were received from this upstream."""

    request_id: bytes = b""
    shared_parts: tuple[bytes, ...] = ()
    events: int = 0


_NO_DETAILS = AttemptDetails()


@dataclass
class _BrokenAttempt:
    """Describe an attempt whose connection broke before an answer was complete."""

    fingerprint: Fingerprint
    at_s: float
    listed: ListedUpstream
    details: AttemptDetails
    is_logged: bool = False


@dataclass
class _Suspect:
    """Track the crashes of a request, its last successful answer and its last probe."""

    crashes: dict[str, float] = field(default_factory=dict)
    cleared_at_s: float = float("-inf")
    probed_at_s: float = float("-inf")

    def refused_until_s(self) -> float:
        """Return until when the request is refused; a past time if it is not."""
        more = len(self.crashes) - MAX_CRASHES
        if more < 0:
            return float("-inf")
        refused_s = min(MAX_REFUSAL_S, REFUSAL_S * REFUSAL_FACTOR**more)
        return max(max(self.crashes.values()) + refused_s, self.probed_at_s + PROBE_TIMEOUT_S)

    def clear(self, at_s: float) -> None:
        """Discard the crashes before a successful answer at `at_s`."""
        self.cleared_at_s = max(self.cleared_at_s, at_s)
        self.crashes = {name: s for name, s in self.crashes.items() if s > self.cleared_at_s}

    def retained_until_s(self) -> float:
        """Return the time after which this suspect can be discarded."""
        last_s = max(self.crashes.values(), default=float("-inf"))
        return max(
            last_s + SUSPICION_RETENTION_S,
            self.refused_until_s() + SUSPICION_RETENTION_S,
            self.cleared_at_s + CLEARED_RETENTION_S,
        )


def make_fingerprint(job: Job) -> Fingerprint:
    """Return a hash that is the same for all repetitions of a request."""
    path = job.request.target.partition(b"?")[0]
    parts = (path, job.account.encode(), job.request.body)
    sizes = b"".join(len(part).to_bytes(8) for part in parts)
    return hashlib.blake2b(sizes + b"".join(parts), digest_size=8).digest()


class CrashWatch:
    """Track broken attempts and the requests suspected of crashing upstreams."""

    def __init__(self, clock: Callable[[], float], on_change: Callable[[], None]) -> None:
        """Initialize; `on_change` is called when suspicions to be reported to peers change."""
        self._clock = clock
        self._on_change = on_change
        self._broken_attempts: deque[_BrokenAttempt] = deque()
        # By address: the newest instance seen there, and when.
        self._starts: dict[str, tuple[ListedUpstream, float]] = {}
        self._suspects: dict[Fingerprint, _Suspect] = {}
        # Time of the last successful answer to each request, the most recent last.
        self._known_good_at_s: dict[Fingerprint, float] = {}

    def record_broken_attempt(
        self,
        fingerprint: Callable[[], Fingerprint],
        upstream: Upstream,
        details: AttemptDetails = _NO_DETAILS,
    ) -> None:
        """Record an attempt that ended without an answer, unless the upstream is leaving."""
        if upstream.is_leaving():
            return
        now_s, listed = self._clock(), upstream.listed
        while self._broken_attempts and now_s - self._broken_attempts[0].at_s > RESTART_S:
            self._broken_attempts.popleft()
        self._broken_attempts.append(_BrokenAttempt(fingerprint(), now_s, listed, details))
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
        ended = {_name_run(c.listed): c.listed for c in self._broken_attempts}
        for earlier in ended.values():
            if _is_restart(earlier, listed):
                self._record_crash(earlier, "start")

    def record_answered(self, name: Fingerprint) -> None:
        """Record a successful answer to a request."""
        now_s = self._clock()
        self._known_good_at_s.pop(name, None)
        self._known_good_at_s[name] = now_s
        if len(self._known_good_at_s) > MAX_KNOWN_GOOD:
            del self._known_good_at_s[next(iter(self._known_good_at_s))]
        if name in self._suspects:
            self._clear(name, now_s, "answer")

    def may_be_retried(self, fingerprint: Callable[[], Fingerprint]) -> bool:
        """Return whether a request may be retried after its connection broke."""
        suspect = self._suspects.get(fingerprint()) if self._suspects else None
        return suspect is None or len(suspect.crashes) < MAX_CRASHES_FOR_RETRY

    def check_request(self, fingerprint: Callable[[], Fingerprint]) -> float:
        """Return how long a request is refused, or 0 if it is not; may start a probe."""
        if not self._suspects:
            return 0.0
        suspect = self._suspects.get(name := fingerprint())
        if suspect is None or len(suspect.crashes) < MAX_CRASHES:
            return 0.0
        now_s = self._clock()
        left_s = suspect.refused_until_s() - now_s
        if left_s > 0:
            return left_s
        suspect.probed_at_s = now_s
        log_event(_LOG, "request_probed", fingerprint=name.hex(), crashes=len(suspect.crashes))
        self._on_change()
        return 0.0

    def describe(self) -> dict[str, list[str]]:
        """Return the upstreams that each suspected request crashed, by fingerprint."""
        return {name.hex(): list(s.crashes) for name, s in self._suspects.items() if s.crashes}

    def export_suspicions(self) -> dict[Fingerprint, Suspicion]:
        """Return the most recent suspicions for a report to other gateways."""
        now_s = self._clock()
        self._discard_expired(now_s)
        newest = list(self._suspects.items())[-MAX_REPORTED_SUSPECTS:]
        return {
            name: Suspicion(
                {crash: round(now_s - at_s, 3) for crash, at_s in suspect.crashes.items()},
                _encode_age(suspect.cleared_at_s, now_s),
                _encode_age(suspect.probed_at_s, now_s),
            )
            for name, suspect in newest
        }

    def merge_reported(self, reported: Mapping[Fingerprint, Suspicion]) -> None:
        """Merge the suspicions reported by another gateway."""
        now_s = self._clock()
        for name, suspicion in reported.items():
            suspect = self._suspects.setdefault(name, _Suspect())
            cleared_at_s = _decode_age(suspicion.cleared_age_s, now_s)
            if cleared_at_s > suspect.cleared_at_s + MAX_REPORT_TRANSIT_S:
                suspect.clear(cleared_at_s)
            probed_at_s = _decode_age(suspicion.probe_age_s, now_s)
            if probed_at_s > suspect.probed_at_s + MAX_REPORT_TRANSIT_S:
                suspect.probed_at_s = probed_at_s
            for crash, age_s in suspicion.crashes.items():
                self._add_crash(name, crash, now_s - age_s)
        self._discard_expired(now_s)

    def _record_crash(self, listed: ListedUpstream, detected_by: str) -> None:
        """Suspect the requests whose connections broke when an upstream crashed."""
        crash = _name_run(listed)
        broken_attempts = [c for c in self._broken_attempts if _name_run(c.listed) == crash]
        last_s = max((c.at_s for c in broken_attempts), default=0.0)
        names = {
            c.fingerprint: c.at_s
            for c in broken_attempts
            if last_s - c.at_s <= CONNECTION_BREAK_SPREAD_S
        }
        self._log_crash(crash, detected_by, [c for c in broken_attempts if not c.is_logged])
        for name, at_s in names.items():
            self._add_crash(name, crash, at_s, in_flight=len(names))

    def _log_crash(
        self, crash: str, detected_by: str, broken_attempts: list[_BrokenAttempt]
    ) -> None:
        """Log the attempts that broke at a crash, each of them once."""
        for attempt in broken_attempts:
            attempt.is_logged = True
            details = attempt.details
            log_event(
                _LOG,
                "broke_at_crash",
                request=details.request_id.decode("latin-1"),
                crashed=crash,
                detected_by=detected_by,
                fingerprint=attempt.fingerprint.hex(),
                shared_parts=b",".join(details.shared_parts).decode("latin-1"),
                events=details.events,
            )

    def _add_crash(
        self, name: Fingerprint, crash: str, at_s: float, in_flight: int | None = None
    ) -> None:
        suspect = self._suspects.setdefault(name, _Suspect())
        if crash in suspect.crashes or at_s <= suspect.cleared_at_s:
            return
        if at_s - self._known_good_at_s.get(name, float("-inf")) < KNOWN_GOOD_S:
            self._clear(name, self._clock(), "earlier_answer")
            return
        suspect.crashes[crash] = at_s
        # Move the suspect to the end: suspects are ordered by their most recent crash.
        self._suspects[name] = self._suspects.pop(name)
        self._discard_expired(self._clock())
        is_refused = len(suspect.crashes) >= MAX_CRASHES
        log_event(
            _LOG,
            "request_refused_for_crashes" if is_refused else "request_suspected",
            logging.WARNING if is_refused else logging.INFO,
            fingerprint=name.hex(),
            crashed=",".join(suspect.crashes),
            in_hand=in_flight,
            for_s=round(suspect.refused_until_s() - self._clock(), 1) if is_refused else None,
        )
        self._on_change()

    def _clear(self, name: Fingerprint, at_s: float, cleared_by: str) -> None:
        """Clear a request and report that to other gateways."""
        suspect = self._suspects[name]
        log_event(
            _LOG,
            "request_cleared",
            fingerprint=name.hex(),
            crashes=len(suspect.crashes),
            cleared_by=cleared_by,
        )
        suspect.clear(at_s)
        self._on_change()

    def _discard_expired(self, now_s: float) -> None:
        kept = [(n, s) for n, s in self._suspects.items() if s.retained_until_s() > now_s]
        self._suspects = dict(kept[-MAX_SUSPECTS:])


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


def _encode_age(at_s: float, now_s: float) -> float | None:
    return round(now_s - at_s, 3) if at_s > float("-inf") else None


def _decode_age(age_s: float | None, now_s: float) -> float:
    return now_s - age_s if age_s is not None else float("-inf")
