"""Find requests that crash the upstreams which run them, and keep them from more.

A request is known by its path, account and body. Of all that was in hand at an upstream when it
crashed one request is the cause at most, and nobody can tell which: each is suspected, but for
those that any gateway has seen answered with success of late, and cleared by the next such answer.
What has crashed three upstreams without one is refused for a while, longer each time; then one
probe shows whether that still holds.

A broken connection alone is no crash: answers get lost, links are reset, halls are cut off. A
crash shows by the upstream's port, which refuses, or by its next start; and not where the upstream
had said that it leaves.
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

MOST_CRASHES = 3
TRIES_AFTER_CRASHES = 2
"""A request that has crashed so many is not repeated here: its caller may come again."""
REFUSED_S = 60.0
REFUSED_FACTOR = 4.0
REFUSED_MAX_S = 3600.0
"""Refusals after the third crash and after each probe: three probes within an hour, while one that
was there at three crashes by chance waits a minute."""
PROBE_S = 10.0
"""A probe is over within this; until then no gateway begins another."""
RESTART_S = 15.0
"""A crashed upstream is back within this as a rule: what broke off longer ago is forgotten."""
SAME_MOMENT_S = 1.0
"""What is in hand at a crash breaks off within this, also where a link is slow."""
KEPT_S = 300.0
"""A suspicion is kept for so long after the last crash, or after the refusals that follow it."""
KNOWN_GOOD_S = 60.0
"""What was answered with success within this crashes nobody: many callers may send the same."""
MOST_KNOWN_GOOD = 2_000
MOST_SUSPECTS = 500
MOST_TOLD = 32
CLEARED_TOLD_S = 30.0
WAY_S = 0.1
"""Longer than a report is on its way as a rule: what is told grows younger by that."""

_LOG = logging.getLogger(__name__)

Fingerprint = bytes


@dataclass(frozen=True)
class _Cut:
    """Hold a try that broke off without an answer."""

    fingerprint: Fingerprint
    at_s: float
    listed: ListedUpstream


@dataclass
class _Suspect:
    """Hold when a request crashed which starts of upstreams, was cleared, and was tried again."""

    crashes: dict[str, float] = field(default_factory=dict)
    cleared_at_s: float = float("-inf")
    probed_at_s: float = float("-inf")

    def refused_until_s(self) -> float:
        """Return until when the request is refused; the past where it is not."""
        more = len(self.crashes) - MOST_CRASHES
        if more < 0:
            return float("-inf")
        refused_s = min(REFUSED_MAX_S, REFUSED_S * REFUSED_FACTOR**more)
        return max(max(self.crashes.values()) + refused_s, self.probed_at_s + PROBE_S)

    def clear(self, at_s: float) -> None:
        """Forget the crashes up to a moment at which the request was answered."""
        self.cleared_at_s = max(self.cleared_at_s, at_s)
        self.crashes = {name: s for name, s in self.crashes.items() if s > self.cleared_at_s}

    def kept_until_s(self) -> float:
        """Return until when it is of use to know this."""
        last_s = max(self.crashes.values(), default=float("-inf"))
        return max(
            last_s + KEPT_S, self.refused_until_s() + KEPT_S, self.cleared_at_s + CLEARED_TOLD_S
        )


def make_fingerprint(job: Job) -> Fingerprint:
    """Return what names a request over all its comings."""
    path = job.request.target.partition(b"?")[0]
    parts = (path, job.account.encode(), job.request.body)
    sizes = b"".join(len(part).to_bytes(8) for part in parts)
    return hashlib.blake2b(sizes + b"".join(parts), digest_size=8).digest()


class CrashWatch:
    """Hold what broke off of late, the requests that are suspected, and who is refused."""

    def __init__(self, clock: Callable[[], float], on_change: Callable[[], None]) -> None:
        """Prepare; `on_change` is called when there is something to tell other gateways."""
        self._clock = clock
        self._on_change = on_change
        self._cuts: deque[_Cut] = deque()
        # By address: the newest start that was seen there, and when.
        self._starts: dict[str, tuple[ListedUpstream, float]] = {}
        self._suspects: dict[Fingerprint, _Suspect] = {}
        # When requests were last answered with success, the newest last.
        self._known_good_at_s: dict[Fingerprint, float] = {}

    def note_cut(self, fingerprint: Callable[[], Fingerprint], upstream: Upstream) -> None:
        """Take in that a try ended without an answer; where an upstream leaves that is no crash."""
        if upstream.is_leaving():
            return
        now_s, listed = self._clock(), upstream.listed
        while self._cuts and now_s - self._cuts[0].at_s > RESTART_S:
            self._cuts.popleft()
        self._cuts.append(_Cut(fingerprint(), now_s, listed))
        newest = self._starts.get(listed.address)
        if newest is not None and now_s - newest[1] < RESTART_S and _is_restart(listed, newest[0]):
            self._note_crash(listed)

    def note_dead(self, listed: ListedUpstream) -> None:
        """Take in that the port of an upstream refuses connections."""
        self._note_crash(listed)

    def note_started(self, listed: ListedUpstream) -> None:
        """Take in a start of an upstream: whoever had its id or address before has crashed."""
        now_s = self._clock()
        self._starts[listed.address] = (listed, now_s)
        for address in [a for a, (_, at_s) in self._starts.items() if now_s - at_s > RESTART_S]:
            del self._starts[address]
        ended = {_name_start(c.listed): c.listed for c in self._cuts}
        for earlier in ended.values():
            if _is_restart(earlier, listed):
                self._note_crash(earlier)

    def note_answered(self, name: Fingerprint) -> None:
        """Take in that a request was answered with success."""
        now_s = self._clock()
        self._known_good_at_s.pop(name, None)
        self._known_good_at_s[name] = now_s
        if len(self._known_good_at_s) > MOST_KNOWN_GOOD:
            del self._known_good_at_s[next(iter(self._known_good_at_s))]
        if name in self._suspects:
            self._clear(name, now_s)

    def may_try_again(self, fingerprint: Callable[[], Fingerprint]) -> bool:
        """Return whether a request may go on to another upstream after a try that broke off."""
        suspect = self._suspects.get(fingerprint()) if self._suspects else None
        return suspect is None or len(suspect.crashes) < TRIES_AFTER_CRASHES

    def check_request(self, fingerprint: Callable[[], Fingerprint]) -> float:
        """Return for how long a request is refused, 0 where it is not; a probe begins with this."""
        if not self._suspects:
            return 0.0
        suspect = self._suspects.get(name := fingerprint())
        if suspect is None or len(suspect.crashes) < MOST_CRASHES:
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
        """Return which upstreams each suspected request crashed, by fingerprint."""
        return {name.hex(): list(s.crashes) for name, s in self._suspects.items() if s.crashes}

    def tell(self) -> dict[Fingerprint, Suspicion]:
        """Return the newest suspicions, for other gateways."""
        now_s = self._clock()
        self._forget(now_s)
        newest = list(self._suspects.items())[-MOST_TOLD:]
        return {
            name: Suspicion(
                {crash: round(now_s - at_s, 3) for crash, at_s in suspect.crashes.items()},
                _tell_age(suspect.cleared_at_s, now_s),
                _tell_age(suspect.probed_at_s, now_s),
            )
            for name, suspect in newest
        }

    def take_told(self, told: Mapping[Fingerprint, Suspicion]) -> None:
        """Take in what another gateway suspects."""
        now_s = self._clock()
        for name, suspicion in told.items():
            suspect = self._suspects.setdefault(name, _Suspect())
            cleared_at_s = _read_age(suspicion.cleared_age_s, now_s)
            if cleared_at_s > suspect.cleared_at_s + WAY_S:
                suspect.clear(cleared_at_s)
            probed_at_s = _read_age(suspicion.probe_age_s, now_s)
            if probed_at_s > suspect.probed_at_s + WAY_S:
                suspect.probed_at_s = probed_at_s
            for crash, age_s in suspicion.crashes.items():
                self._add_crash(name, crash, now_s - age_s)
        self._forget(now_s)

    def _note_crash(self, listed: ListedUpstream) -> None:
        """Suspect what broke off at an upstream as it crashed."""
        crash = _name_start(listed)
        cuts = [c for c in self._cuts if _name_start(c.listed) == crash]
        last_s = max((c.at_s for c in cuts), default=0.0)
        names = {c.fingerprint: c.at_s for c in cuts if last_s - c.at_s <= SAME_MOMENT_S}
        for name, at_s in names.items():
            self._add_crash(name, crash, at_s, in_hand=len(names))

    def _add_crash(
        self, name: Fingerprint, crash: str, at_s: float, in_hand: int | None = None
    ) -> None:
        suspect = self._suspects.setdefault(name, _Suspect())
        if crash in suspect.crashes or at_s <= suspect.cleared_at_s:
            return
        if at_s - self._known_good_at_s.get(name, float("-inf")) < KNOWN_GOOD_S:
            self._clear(name, self._clock())
            return
        suspect.crashes[crash] = at_s
        # The newest stands last.
        self._suspects[name] = self._suspects.pop(name)
        self._forget(self._clock())
        is_refused = len(suspect.crashes) >= MOST_CRASHES
        log_event(
            _LOG,
            "request_refused_for_crashes" if is_refused else "request_suspected",
            logging.WARNING if is_refused else logging.INFO,
            fingerprint=name.hex(),
            crashed=",".join(suspect.crashes),
            in_hand=in_hand,
            for_s=round(suspect.refused_until_s() - self._clock(), 1) if is_refused else None,
        )
        self._on_change()

    def _clear(self, name: Fingerprint, at_s: float) -> None:
        """Clear a request here, and have others told."""
        suspect = self._suspects[name]
        log_event(_LOG, "request_cleared", fingerprint=name.hex(), crashes=len(suspect.crashes))
        suspect.clear(at_s)
        self._on_change()

    def _forget(self, now_s: float) -> None:
        kept = [(n, s) for n, s in self._suspects.items() if s.kept_until_s() > now_s]
        self._suspects = dict(kept[-MOST_SUSPECTS:])


def _name_start(listed: ListedUpstream) -> str:
    """Return what names one start of an upstream."""
    if not listed.started_at_ms:
        return listed.incarnation
    return f"{listed.incarnation}@{listed.started_at_ms}"


def _is_restart(earlier: ListedUpstream, later: ListedUpstream) -> bool:
    """Return whether a start is the next one of what had been there."""
    if _name_start(earlier) == _name_start(later):
        return False
    if earlier.incarnation == later.incarnation:
        return later.started_at_ms > earlier.started_at_ms
    return (earlier.address, earlier.service) == (later.address, later.service)


def _tell_age(at_s: float, now_s: float) -> float | None:
    return round(now_s - at_s, 3) if at_s > float("-inf") else None


def _read_age(age_s: float | None, now_s: float) -> float:
    return now_s - age_s if age_s is not None else float("-inf")
