"""Count tries for each request when half of the upstreams fail after taking the request.

The decision parts are the product's own; only the call itself is replaced by one that fails.
"""

from __future__ import annotations

import random

from benchmarks.report import print_pairs
from dalehollow.limits import RetryBudget

REQUESTS = 20_000
UPSTREAMS = 10
MAX_TRIES = 3


def run() -> None:
    """Compare no budget with the account's budget, at two shares of failing upstreams."""
    for failing in (UPSTREAMS // 2, UPSTREAMS):
        without = _count_tries(None, failing)
        with_budget = _count_tries(RetryBudget(), failing)
        print_pairs(
            failing_share=failing / UPSTREAMS,
            tries_without=without[0],
            tries_with=with_budget[0],
            answered_without=without[1],
            answered_with=with_budget[1],
            extra_load_ratio=(with_budget[0] - 1) / (without[0] - 1),
        )


def _count_tries(budget: RetryBudget | None, failing: int) -> tuple[float, float]:
    """Return the tries for each request and the share that was answered."""
    rng = random.Random(7)
    tries = answered = 0
    for _ in range(REQUESTS):
        if budget is not None:
            budget.record_first_try()
        order = rng.sample(range(UPSTREAMS), MAX_TRIES)
        for attempt, upstream in enumerate(order):
            if attempt and budget is not None and not budget.take_retry():
                break
            tries += 1
            if upstream >= failing:
                answered += 1
                break
    return tries / REQUESTS, answered / REQUESTS
