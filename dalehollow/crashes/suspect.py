"""Track what is known of one fingerprint that is suspected of crashing upstreams."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from dalehollow.crashes.fingerprints import Fingerprint
from dalehollow.protocol.reports import Suspicion

MAX_CRASHES = 3
"""Crashes that requests with a fingerprint may cause before they are refused."""
MIN_WITHSTOOD = 3
"""Answers that began without a crash, after which a suspect is not a culprit."""
REFUSAL_S = 60.0
REFUSAL_FACTOR = 4.0
MAX_REFUSAL_S = 3600.0
"""The first refusal, after the third crash, lasts `REFUSAL_S`; each further crash multiplies the
duration. This allows three probes within an hour, while a request that was in flight at three
crashes by coincidence is refused for one minute."""
INCIDENT_SPREAD_S = 1.0
"""Crashes within this time of the first one may belong to one incident."""
INCIDENT_REFUSAL_S = 10.0
"""Duration of the refusal after a single incident. Its upstreams are usually back by then, so that
a probe tells whether a request was the cause."""
PROBE_TIMEOUT_S = 10.0
"""Longest duration of a probe; until then no gateway starts another one."""
SUSPICION_RETENTION_S = 300.0
"""Retention of a suspicion after the last crash or the end of the refusals."""
CLEARED_RETENTION_S = 30.0
"""Time for which an answer is reported: peers that hear of it later would discard no crash."""
NEVER_S = float("-inf")


@dataclass
class Suspect:
    """Track the crashes of a fingerprint, its last complete answer and its last probe.

    `companions` are the fingerprints without an answer that were in every request with this one,
    None before the first crash. `withstood` counts the answers that upstreams began since then
    without a crash, as seen by this process. `in_flight_s` holds, for each crash, how long a
    request had been in flight at that upstream.
    """

    crashes: dict[str, float] = field(default_factory=dict)
    in_flight_s: dict[str, float] = field(default_factory=dict)
    companions: frozenset[Fingerprint] | None = None
    answered_at_s: float = NEVER_S
    probed_at_s: float = NEVER_S
    withstood: int = 0

    def has_withstood(self) -> bool:
        """Return whether upstreams began enough answers without a crash."""
        return self.withstood >= MIN_WITHSTOOD

    def last_crash_s(self) -> float:
        """Return the time of the last crash."""
        return max(self.crashes.values(), default=NEVER_S)

    def refused_until_s(self) -> float:
        """Return until when a culprit is refused; a past time if it has too few crashes."""
        if len(self.crashes) < MAX_CRASHES:
            return NEVER_S
        refused_s = self._refusal_duration_s()
        return max(self.last_crash_s() + refused_s, self.probed_at_s + PROBE_TIMEOUT_S)

    def _refusal_duration_s(self) -> float:
        """Return the duration of a refusal; the first incident counts as `MAX_CRASHES` at most."""
        further_incidents = self.count_incidents() - 1
        if not further_incidents:
            return INCIDENT_REFUSAL_S
        more = min(len(self.crashes) - MAX_CRASHES, further_incidents)
        return min(MAX_REFUSAL_S, REFUSAL_S * REFUSAL_FACTOR**more)

    def count_incidents(self) -> int:
        """Return in how many incidents the upstreams crashed.

        Upstreams that crash together may have a cause of their own, such as a power failure. A
        crash belongs to an incident if the request was in flight there before it began; one after
        the request was sent again is an incident of its own.
        """
        count, began_s = 0, NEVER_S
        for crash, at_s in sorted(self.crashes.items(), key=lambda item: item[1]):
            is_sent_before = at_s - self.in_flight_s.get(crash, 0.0) < began_s
            if at_s - began_s > INCIDENT_SPREAD_S or not is_sent_before:
                count, began_s = count + 1, at_s
        return count

    def clear(self, at_s: float) -> None:
        """Discard the crashes before a complete answer at `at_s`."""
        self.answered_at_s = max(self.answered_at_s, at_s)
        self.crashes = {name: s for name, s in self.crashes.items() if s > self.answered_at_s}
        self.in_flight_s = {name: s for name, s in self.in_flight_s.items() if name in self.crashes}
        if not self.crashes:
            self.companions, self.withstood = None, 0

    def intersect_companions(self, others: Collection[Fingerprint]) -> None:
        """Keep only companions that are also in `others`."""
        known = self.companions
        self.companions = frozenset(others) if known is None else known & frozenset(others)

    def retained_until_s(self) -> float:
        """Return the time after which this suspect can be discarded."""
        return max(
            self.last_crash_s() + SUSPICION_RETENTION_S,
            self.refused_until_s() + SUSPICION_RETENTION_S,
            self.answered_at_s + CLEARED_RETENTION_S,
        )

    def encode(self, now_s: float) -> Suspicion:
        """Return the suspicion for a report to peers."""
        return Suspicion(
            {crash: round(now_s - at_s, 3) for crash, at_s in self.crashes.items()},
            _encode_age(self.answered_at_s, now_s),
            _encode_age(self.probed_at_s, now_s),
            sorted(self.companions or ()),
            [round(self.in_flight_s.get(crash, 0.0), 3) for crash in self.crashes],
        )


def _encode_age(at_s: float, now_s: float) -> float | None:
    return round(now_s - at_s, 3) if at_s > NEVER_S else None


def decode_age(age_s: float | None, now_s: float) -> float:
    """Return the time of a reported age, `NEVER_S` if there is none."""
    return now_s - age_s if age_s is not None else NEVER_S
