"""Decide which requests are refused because what they have in common crashes upstreams.

When an upstream crashes, it is unknown which of the requests in flight was the cause, and what of
it: the request as a whole, which its caller may repeat, or a part of its prompt that others share.
Each of their fingerprints becomes a suspect. A complete answer clears all fingerprints of its
request; one that was answered shortly before a crash is not suspected.

A suspect with three crashes is a culprit unless other culprits explain its crashes: crashes are
explained by as few culprits as possible, because a sound part may be in flight at several crashes
that another one caused. Fingerprints that only occurred together cannot be told apart, so requests
are refused if they contain the culprit and all of its companions. A refusal grows with each further
crash. After each period one probe is admitted to test whether it still crashes upstreams. Upstreams
that crash together may have a cause of their own, so the first refusal is short if there was a
single incident.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from dalehollow.crashes.fingerprints import Fingerprint
from dalehollow.crashes.suspect import (
    MAX_CRASHES,
    NEVER_S,
    PROBE_TIMEOUT_S,
    Suspect,
    decode_age,
)
from dalehollow.protocol.reports import Suspicion
from dalehollow.telemetry.logs import log_event

MAX_CRASHES_FOR_RETRY = 2
"""Number of crashes after which a gateway no longer retries a request; its caller still may."""
KNOWN_GOOD_S = 60.0
"""What was answered within this period is not suspected. Many requests may share it, so that it is
in flight at many crashes."""
MAX_KNOWN_GOOD = 8_000
MAX_SUSPECTS = 1_000
MAX_REPORTED_SUSPECTS = 64
MAX_COMPANIONS = 8
UNLISTED_RUN_MARK = "+"
"""Contained in the names of crashes of runs that were detected before they were listed."""
MIN_RESTART_S = 0.5
"""An upstream does not crash twice within this time."""
MAX_REPORT_TRANSIT_S = 0.1
"""Upper bound of the usual transit time of a report, by which received ages are too low."""

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True)
class CrashEvidence:
    """Describe an attempt that broke when its upstream crashed.

    `begun` is what `Suspects.record_begun` returned, None if the upstream had not begun to answer.
    `in_flight_s` is the time since the attempt was sent, 0 if unknown.
    """

    fingerprints: tuple[Fingerprint, ...]
    at_s: float
    begun: frozenset[Fingerprint] | None = None
    in_flight_s: float = 0.0


@dataclass(frozen=True)
class Ruling:
    """State how long a request is refused, 0 if it is not, and whether it is used as a probe."""

    refused_s: float = 0.0
    is_probe: bool = False


def _is_renamed_crash(crash: str, at_s: float, other: str, other_at_s: float) -> bool:
    """Return whether a peer reports a known crash under another name.

    Gateways name a run that is not listed yet by the number of runs that each detected before it.
    """
    is_same_upstream = crash.rpartition("@")[0] == other.rpartition("@")[0]
    is_unlisted = UNLISTED_RUN_MARK in crash or UNLISTED_RUN_MARK in other
    return (
        crash != other
        and is_unlisted
        and is_same_upstream
        and abs(at_s - other_at_s) < MIN_RESTART_S
    )


def _do_nothing() -> None:
    pass


def _probe_at_once(fingerprint: Fingerprint, since_s: float) -> bool:
    return True


class Suspects:
    """Track suspected fingerprints and rule on requests that contain them."""

    def __init__(
        self,
        clock: Callable[[], float],
        on_change: Callable[[], None] = _do_nothing,
        on_culprit: Callable[[], None] = _do_nothing,
        is_probe_turn: Callable[[Fingerprint, float], bool] | None = _probe_at_once,
    ) -> None:
        """Initialize without suspects.

        `on_change` is called when what peers should know changes, and `on_culprit` when more
        requests are refused. `is_probe_turn` returns whether this process may probe a culprit,
        given the time since its refusal ended; None for a process that never does.
        """
        self._clock = clock
        # Number of changes that peers should know.
        self.changes = 0
        self._on_change = on_change
        self._on_culprit = on_culprit
        self._is_probe_turn = is_probe_turn
        # Ordered by the most recent change.
        self._suspects: dict[Fingerprint, Suspect] = {}
        # Time of the last complete answer, the most recent last.
        self._known_good_at_s: dict[Fingerprint, float] = {}
        self._culprits: dict[Fingerprint, Suspect] = {}
        self._refused: frozenset[frozenset[Fingerprint]] = frozenset()
        # Companions of all suspects.
        self._companions: frozenset[Fingerprint] = frozenset()

    def record_crash(self, crash: str, attempts: Collection[CrashEvidence]) -> None:
        """Suspect what the attempts contain that broke when an upstream crashed.

        Peers are told first what was answered, then the prompt parts of requests that were not.
        """
        for attempt in sorted(attempts, key=lambda attempt: attempt.begun is None):
            unanswered = [f for f in attempt.fingerprints if not self._is_known_good(f)]
            for name in attempt.fingerprints:
                companions = [f for f in unanswered if f != name][:MAX_COMPANIONS]
                self._add_crash(name, crash, attempt.at_s, companions, attempt.in_flight_s)
            for name in attempt.begun or ():
                if name in self._suspects:
                    self._suspects[name].withstood -= 1
        for name in {f for a in attempts for f in a.fingerprints if self._is_known_good(f)}:
            self._move_to_end(name)
        self._update()

    def record_begun(self, fingerprints: Collection[Fingerprint]) -> frozenset[Fingerprint]:
        """Record that an upstream began to answer a request; return the suspects in it."""
        begun = frozenset(name for name in fingerprints if name in self._suspects)
        for name in begun:
            self._suspects[name].withstood += 1
        if any(self._culprits[name].has_withstood() for name in begun & self._culprits.keys()):
            self._update()
        return begun

    def record_answered(self, fingerprints: Collection[Fingerprint]) -> None:
        """Record a complete answer of an upstream to a request."""
        now_s = self._clock()
        for name in fingerprints:
            self._known_good_at_s.pop(name, None)
            self._known_good_at_s[name] = now_s
            if len(self._known_good_at_s) > MAX_KNOWN_GOOD:
                del self._known_good_at_s[next(iter(self._known_good_at_s))]
        cleared = [name for name in fingerprints if name in self._suspects]
        for name in cleared:
            self._clear(name, now_s, "answer")
        is_companion = not self._companions.isdisjoint(fingerprints)
        if is_companion:
            self._discard_companions(fingerprints)
        if cleared or is_companion:
            self._update()

    def needs_answer(self, fingerprints: Sequence[Fingerprint]) -> bool:
        """Return whether a complete answer to a request would change what is known.

        It would if something of it is suspected, or if a part of its prompt has no recent answer.
        """
        is_suspected = any(f in self._suspects and self._suspects[f].crashes for f in fingerprints)
        return is_suspected or not all(map(self._is_known_good, fingerprints[1:]))

    def may_be_retried(self, fingerprints: Collection[Fingerprint]) -> bool:
        """Return whether a request may be retried after its connection broke."""
        suspects = [self._suspects[name] for name in fingerprints if name in self._suspects]
        return all(len(s.crashes) < MAX_CRASHES_FOR_RETRY or s.has_withstood() for s in suspects)

    def refused_s(self, fingerprints: Collection[Fingerprint]) -> float:
        """Return how long a request is refused, 0 if it is not."""
        culprits = self._list_culprits_of(fingerprints)
        if not culprits:
            return 0.0
        left_s = max(map(self._refusal_left_s, culprits))
        if left_s > 0:
            return left_s
        if self._is_probe_turn is None and not any(map(self._is_repeated, culprits)):
            return 0.0
        # Once the refusal has ended, requests are only admitted as probes.
        return PROBE_TIMEOUT_S

    def check_request(self, fingerprints: Collection[Fingerprint]) -> Ruling:
        """Rule on a new request, which may be used as a probe."""
        culprits = self._list_culprits_of(fingerprints)
        if not culprits:
            return Ruling()
        left_s = max(map(self._refusal_left_s, culprits))
        if left_s > 0:
            return Ruling(left_s)
        if not all(map(self._may_probe, culprits)):
            return Ruling(PROBE_TIMEOUT_S)
        now_s = self._clock()
        for name in culprits:
            self._culprits[name].probed_at_s = now_s
            crashes = len(self._culprits[name].crashes)
            log_event(_LOG, "request_probed", fingerprint=name.hex(), crashes=crashes)
        self._record_change()
        return Ruling(is_probe=True)

    def describe(self) -> dict[str, dict[str, object]]:
        """Return the suspects with crashes by fingerprint, for state dumps."""
        return {
            name.hex(): {
                "crashed": list(s.crashes),
                "companions": sorted(c.hex() for c in s.companions or ()),
                "is_culprit": name in self._culprits,
            }
            for name, s in self._suspects.items()
            if s.crashes
        }

    def count_culprits(self) -> int:
        """Return the number of fingerprints that requests are refused for."""
        return len(self._culprits)

    def export_culprits(self) -> dict[Fingerprint, Suspicion]:
        """Return the suspicions that requests are refused for."""
        now_s = self._clock()
        return {name: s.encode(now_s) for name, s in self._culprits.items()}

    def is_cleared(self, name: Fingerprint) -> bool:
        """Return whether a request with a suspect was answered after its last crash."""
        suspect = self._suspects.get(name)
        return suspect is not None and not suspect.crashes and suspect.answered_at_s > NEVER_S

    def export_suspicions(self, count: int = MAX_REPORTED_SUSPECTS) -> dict[Fingerprint, Suspicion]:
        """Return the most important suspicions for a report to peers."""
        now_s = self._clock()
        self._discard_expired(now_s)
        ranked = self._rank_by_importance()[:count]
        return {name: self._suspects[name].encode(now_s) for name in ranked}

    def merge_reported(self, reported: Mapping[Fingerprint, Suspicion]) -> None:
        """Merge the suspicions reported by a peer."""
        now_s = self._clock()
        for name, suspicion in reported.items():
            suspect = self._suspects.setdefault(name, Suspect())
            answered_at_s = decode_age(suspicion.cleared_age_s, now_s)
            if answered_at_s > suspect.answered_at_s + MAX_REPORT_TRANSIT_S:
                suspect.clear(answered_at_s)
            probed_at_s = decode_age(suspicion.probe_age_s, now_s)
            if probed_at_s > suspect.probed_at_s + MAX_REPORT_TRANSIT_S:
                suspect.probed_at_s = probed_at_s
            in_flight_s = dict(zip(suspicion.crashes, suspicion.in_flight_s, strict=False))
            for crash, age_s in suspicion.crashes.items():
                at_s, known = now_s - age_s, suspect.crashes.items()
                if not any(_is_renamed_crash(crash, at_s, *other) for other in known):
                    companions = suspicion.companions
                    self._add_crash(name, crash, at_s, companions, in_flight_s.get(crash, 0.0))
        if reported:
            self._discard_expired(now_s)
            self._update()

    def _add_crash(
        self,
        name: Fingerprint,
        crash: str,
        at_s: float,
        companions: Collection[Fingerprint],
        in_flight_s: float,
    ) -> None:
        """Add a crash to a suspect, unless it is known or an answer excludes it."""
        suspect = self._suspects.setdefault(name, Suspect())
        if at_s <= suspect.answered_at_s:
            return
        if at_s - self._known_good_at_s.get(name, NEVER_S) < KNOWN_GOOD_S:
            self._clear(name, self._clock(), "earlier_answer")
            return
        suspect.intersect_companions(companions)
        suspect.in_flight_s[crash] = max(in_flight_s, suspect.in_flight_s.get(crash, 0.0))
        if crash in suspect.crashes:
            return
        suspect.crashes[crash] = at_s
        self._move_to_end(name)
        if len(suspect.crashes) >= MAX_CRASHES_FOR_RETRY:
            crashed = ",".join(suspect.crashes)
            log_event(_LOG, "request_suspected", fingerprint=name.hex(), crashed=crashed)
        self._record_change()

    def _clear(self, name: Fingerprint, at_s: float, cleared_by: str) -> None:
        """Clear a suspect and report that to peers."""
        suspect = self._suspects[name]
        if len(suspect.crashes) >= MAX_CRASHES_FOR_RETRY:
            log_event(
                _LOG,
                "request_cleared",
                fingerprint=name.hex(),
                crashes=len(suspect.crashes),
                cleared_by=cleared_by,
            )
        suspect.clear(at_s)
        self._move_to_end(name)
        self._record_change()

    def _record_change(self) -> None:
        self.changes += 1
        self._on_change()

    def _move_to_end(self, name: Fingerprint) -> None:
        if name in self._suspects:
            self._suspects[name] = self._suspects.pop(name)

    def _discard_companions(self, answered: Collection[Fingerprint]) -> None:
        names = frozenset(answered)
        for suspect in self._suspects.values():
            if suspect.companions and not names.isdisjoint(suspect.companions):
                suspect.companions -= names

    def _update(self) -> None:
        """Select the culprits again, after the suspects have changed."""
        self._discard_expired(self._clock())
        before, self._culprits = self._culprits, self._select_culprits()
        refused_before, self._refused = self._refused, self._list_refused()
        companions = (s.companions for s in self._suspects.values() if s.companions)
        self._companions = frozenset().union(*companions)
        for name in before.keys() - self._culprits.keys():
            log_event(_LOG, "request_no_longer_refused", fingerprint=name.hex())
        for name in self._culprits.keys() - before.keys():
            self._log_culprit(name, self._culprits[name])
        if self._refused - refused_before:
            self._on_culprit()

    def _list_refused(self) -> frozenset[frozenset[Fingerprint]]:
        """Return the sets of fingerprints that a refused request contains one of."""
        return frozenset(
            frozenset({name}) | (s.companions or frozenset()) for name, s in self._culprits.items()
        )

    def _select_culprits(self) -> dict[Fingerprint, Suspect]:
        """Return few suspects that explain the crashes of all suspects with enough of them.

        Those in most crashes come first, among equals those least likely to be sound: they
        withstood fewer answers, and their last complete answer, if there ever was one, is older.
        """
        candidates = [
            (name, s)
            for name, s in self._suspects.items()
            if len(s.crashes) >= MAX_CRASHES and not s.has_withstood()
        ]
        candidates.sort(
            key=lambda c: (
                -len(c[1].crashes),
                c[1].withstood,
                self._last_answered_s(c[0]),
                c[0],
            )
        )
        culprits: dict[Fingerprint, Suspect] = {}
        explained: set[str] = set()
        for name, suspect in candidates:
            if len(suspect.crashes.keys() - explained) >= MAX_CRASHES:
                culprits[name] = suspect
                explained |= suspect.crashes.keys()
        return culprits

    def _log_culprit(self, name: Fingerprint, suspect: Suspect) -> None:
        log_event(
            _LOG,
            "request_refused_for_crashes",
            logging.WARNING,
            fingerprint=name.hex(),
            companions=",".join(sorted(c.hex() for c in suspect.companions or ())),
            crashed=",".join(suspect.crashes),
            for_s=round(suspect.refused_until_s() - self._clock(), 1),
        )

    def _list_culprits_of(self, fingerprints: Collection[Fingerprint]) -> list[Fingerprint]:
        """Return the culprits that a request contains together with all of their companions."""
        if not self._culprits:
            return []
        contained = frozenset(fingerprints)
        return [
            name
            for name in fingerprints
            if name in self._culprits and (self._culprits[name].companions or set()) <= contained
        ]

    def _refusal_left_s(self, name: Fingerprint) -> float:
        """Return for how long this process refuses requests with a culprit."""
        return self._culprits[name].refused_until_s() - self._clock()

    def _may_probe(self, name: Fingerprint) -> bool:
        since_s = -self._refusal_left_s(name)
        return self._is_probe_turn is not None and self._is_probe_turn(name, since_s)

    def _is_repeated(self, name: Fingerprint) -> bool:
        """Return whether upstreams crashed in more than one incident."""
        return self._culprits[name].count_incidents() > 1

    def _is_known_good(self, name: Fingerprint) -> bool:
        return self._clock() - self._last_answered_s(name) < KNOWN_GOOD_S

    def _last_answered_s(self, name: Fingerprint) -> float:
        suspect = self._suspects.get(name)
        reported_s = suspect.answered_at_s if suspect is not None else NEVER_S
        return max(reported_s, self._known_good_at_s.get(name, NEVER_S))

    def _rank_by_importance(self) -> list[Fingerprint]:
        """Return the suspects with culprits first, then repeated suspects, then the most recent.

        Most suspects are requests that are never repeated; they must not displace the others.
        """

        def rank(name: Fingerprint) -> tuple[bool, bool]:
            is_repeated = len(self._suspects[name].crashes) >= MAX_CRASHES_FOR_RETRY
            return name not in self._culprits, not is_repeated

        return sorted(reversed(self._suspects), key=rank)

    def _discard_expired(self, now_s: float) -> None:
        kept = {n: s for n, s in self._suspects.items() if s.retained_until_s() > now_s}
        if len(kept) > MAX_SUSPECTS:
            self._suspects = kept
            important = set(self._rank_by_importance()[:MAX_SUSPECTS])
            kept = {n: s for n, s in kept.items() if n in important}
        self._suspects = kept
        self._culprits = {n: s for n, s in self._culprits.items() if n in kept}
