"""Count attempts per request when half or all of the upstreams fail after accepting requests.

Uses the production retry budget; only calls to upstreams are simulated.
"""

from __future__ import annotations

import random

from benchmarks.report import print_pairs
from dalehollow.limits import RetryBudget

REQUESTS = 20_000
UPSTREAMS = 10
MAX_ATTEMPTS = 3


def run() -> None:
    """Compare runs without and with a retry budget, for two numbers of failing upstreams."""
    for failing in (UPSTREAMS // 2, UPSTREAMS):
        without_budget = _simulate(None, failing)
        with_budget = _simulate(RetryBudget(), failing)
        print_pairs(
            failing_share=failing / UPSTREAMS,
            tries_without=without_budget[0],
            tries_with=with_budget[0],
            answered_without=without_budget[1],
            answered_with=with_budget[1],
            extra_load_ratio=(with_budget[0] - 1) / (without_budget[0] - 1),
        )


def _simulate(budget: RetryBudget | None, failing: int) -> tuple[float, float]:
    """Return the mean attempts per request and the share of requests that succeeded."""
    rng = random.Random(7)
    attempts = answered = 0
    for _ in range(REQUESTS):
        if budget is not None:
            budget.record_first_attempt()
        order = rng.sample(range(UPSTREAMS), MAX_ATTEMPTS)
        for attempt, upstream in enumerate(order):
            if attempt and budget is not None and not budget.take_retry():
                break
            attempts += 1
            if upstream >= failing:
                answered += 1
                break
    return attempts / REQUESTS, answered / REQUESTS
