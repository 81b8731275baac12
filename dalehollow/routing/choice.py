"""Choose an upstream by the expected time to a request's first token."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

SAMPLE_SIZE = 3
UNKNOWN_SERVICE_MS = 50.0


@dataclass(frozen=True)
class LoadReport:
    """Hold an upstream's load as its sidecar last told it."""

    running: int
    waiting: int
    slots: int
    service_ms: float


@dataclass(frozen=True)
class Candidate:
    """Hold what an entry knows of one upstream.

    `sent_since` counts this entry's own requests that the report cannot yet include.
    """

    name: str
    report: LoadReport | None
    sent_since: int
    distance_ms: float
    prefill_ms: float = 0.0


def expected_wait_ms(candidate: Candidate) -> float:
    """Return the expected time until a request sent now would begin to be answered."""
    report = candidate.report or LoadReport(0, 0, 1, UNKNOWN_SERVICE_MS)
    service_ms = report.service_ms or UNKNOWN_SERVICE_MS
    backlog = report.running + report.waiting + candidate.sent_since
    ahead = max(0, backlog + 1 - report.slots)
    # Below the slot bound a fuller batch still costs a little; it spreads work over idle ones.
    crowding_ms = service_ms * min(1.0, backlog / report.slots) * 0.1
    queue_ms = ahead * service_ms / report.slots
    return candidate.distance_ms + candidate.prefill_ms + queue_ms + crowding_ms


def choose(candidates: Sequence[Candidate], rng: random.Random) -> Candidate:
    """Choose the best of a few candidates drawn at random, so that entries do not herd."""
    drawn = candidates if len(candidates) <= SAMPLE_SIZE else rng.sample(candidates, SAMPLE_SIZE)
    return min(drawn, key=lambda c: (expected_wait_ms(c), rng.random()))
