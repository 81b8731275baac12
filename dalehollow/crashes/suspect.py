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
    without a crash, as seen by this process.
    """

    crashes: dict[str, float] = field(default_factory=dict)
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
        more = len(self.crashes) - MAX_CRASHES
        if more < 0:
            return NEVER_S
        refused_s = min(MAX_REFUSAL_S, REFUSAL_S * REFUSAL_FACTOR**more)
        return max(self.last_crash_s() + refused_s, self.probed_at_s + PROBE_TIMEOUT_S)

    def clear(self, at_s: float) -> None:
        """Discard the crashes before a complete answer at `at_s`."""
        self.answered_at_s = max(self.answered_at_s, at_s)
        self.crashes = {name: s for name, s in self.crashes.items() if s > self.answered_at_s}
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
        )


def _encode_age(at_s: float, now_s: float) -> float | None:
    return round(now_s - at_s, 3) if at_s > NEVER_S else None


def decode_age(age_s: float | None, now_s: float) -> float:
    """Return the time of a reported age, `NEVER_S` if there is none."""
    return now_s - age_s if age_s is not None else NEVER_S
