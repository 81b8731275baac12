"""Choose an upstream by the expected time to a request's first token."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

SAMPLE_SIZE = 3
UNKNOWN_SERVICE_MS = 50.0


@dataclass(frozen=True)
class LoadReport:
    """Hold an upstream's load as last reported by its sidecar."""

    running: int
    waiting: int
    slots: int
    service_ms: float


@dataclass(frozen=True)
class Candidate:
    """Describe one upstream as known to an entry.

    `sent_since_report` counts this entry's own requests that the load report does not include yet.
    """

    name: str
    report: LoadReport | None
    sent_since_report: int
    distance_ms: float
    prefill_ms: float = 0.0


def expected_wait_ms(candidate: Candidate) -> float:
    """Return the expected time to first token of a request sent now."""
    report = candidate.report or LoadReport(0, 0, 1, UNKNOWN_SERVICE_MS)
    service_ms = report.service_ms or UNKNOWN_SERVICE_MS
    backlog = report.running + report.waiting + candidate.sent_since_report
    queued_ahead = max(0, backlog + 1 - report.slots)
    # A fuller batch is slightly slower even with free slots; this term favours idle upstreams.
    batching_ms = service_ms * min(1.0, backlog / report.slots) * 0.1
    queue_ms = queued_ahead * service_ms / report.slots
    return candidate.distance_ms + candidate.prefill_ms + queue_ms + batching_ms


def choose(candidates: Sequence[Candidate], rng: random.Random) -> Candidate:
    """Choose the best of `SAMPLE_SIZE` random candidates, to avoid herding among entries."""
    sampled = candidates if len(candidates) <= SAMPLE_SIZE else rng.sample(candidates, SAMPLE_SIZE)
    return min(sampled, key=lambda c: (expected_wait_ms(c), rng.random()))
