"""Simulate fleets of gateways and measure how much of the retry budget they use.

Prints, for each fleet size and disturbance, the largest share of the budget used in any window and
the number of retries sent, followed by the worst result of the random schedules.
"""

from __future__ import annotations

import logging
import random

from benchmarks.report import print_pairs
from tests.retry_fleet import SIZES, Fleet, draw_schedule, make_schedules

SEED = 1
RANDOM_SIZES = ("small", "medium")
RANDOM_SEEDS = range(1, 401)


def run() -> None:
    """Print one line per size and disturbance, then one per size for the random schedules."""
    logging.disable(logging.CRITICAL)
    for name, size in SIZES.items():
        for disturbance, schedule in make_schedules(size.gateways).items():
            result = Fleet(size, schedule, SEED).run()
            print_pairs(
                size=name,
                gateways=size.gateways,
                disturbance=disturbance.replace(" ", "_"),
                worst_share=round(result.worst_share(), 3),
                worst_excess=round(result.worst_excess(), 1),
                retries=len(result.retries_s),
                requests=len(result.requests_s),
            )
    for name in RANDOM_SIZES:
        _print_random(name)


def _print_random(name: str) -> None:
    size = SIZES[name]
    results: list[tuple[float, int]] = []
    for seed in RANDOM_SEEDS:
        schedule = draw_schedule(random.Random(seed), size.gateways)
        results.append((Fleet(size, schedule, seed).run().worst_share(), seed))
    share, seed = max(results)
    over = sum(used > 1.0 for used, _ in results)
    print_pairs(size=name, seeds=len(results), over=over, worst_share=round(share, 3), seed=seed)
