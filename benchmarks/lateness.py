"""Measure how late a configuration can come into force at a gateway, on virtual time.

Prints the longest lag of each chain of failures, worst first, and what random schedules miss.
"""

from __future__ import annotations

import logging

import pytest

from benchmarks.report import print_pairs
from tests.late_chains import CHAINS, PHASES_S, play_chain
from tests.late_schedules import play_schedule

BOUND_S = 1.8
SEEDS = 1_000


def run() -> None:
    """Print the lag of each chain and the schedules that miss the bound."""
    logging.disable(logging.CRITICAL)
    with pytest.MonkeyPatch.context() as patch:
        lags = [(max(play_chain(c, p, patch) for p in PHASES_S), c.describe()) for c in CHAINS]
        for lag_s, chain in sorted(lags, reverse=True):
            print_pairs(lag_s=lag_s, chain=chain)
        missed = [s for s in range(1, SEEDS + 1) if play_schedule(s, BOUND_S, patch)]
    print_pairs(
        chains=len(CHAINS),
        over_bound=sum(lag_s > BOUND_S for lag_s, _ in lags),
        schedules=SEEDS,
        missed=missed,
    )
