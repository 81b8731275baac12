"""Measure how late a gateway can learn what the store has confirmed, on virtual time.

Prints the longest lag of each chain of failures, worst first, and what random schedules miss.
"""

from __future__ import annotations

import logging

import pytest

from benchmarks.report import print_pairs
from tests.late_chains import BOUND_S, CHAINS, PHASES_S, Chain, run_chain
from tests.late_schedules import run_schedule

SEEDS = 1_000


def run() -> None:
    """Print the lag of each chain and the schedules that miss the bound."""
    logging.disable(logging.CRITICAL)
    with pytest.MonkeyPatch.context() as patch:
        rows = [(_play_phases(chain, patch), chain.describe()) for chain in CHAINS]
        for (config_s, leaving_s, gone_s), chain in sorted(rows, reverse=True):
            print_pairs(config_s=config_s, leaving_s=leaving_s, gone_s=gone_s, chain=chain)
        missed = [s for s in range(1, SEEDS + 1) if run_schedule(s, BOUND_S, patch)]
    print_pairs(
        chains=len(CHAINS),
        over_bound=sum(max(lags_s) > BOUND_S for lags_s, _ in rows),
        schedules=SEEDS,
        missed=missed,
    )


def _play_phases(chain: Chain, patch: pytest.MonkeyPatch) -> tuple[float, float, float]:
    """Return the longest lags of a configuration, of a leaving and of a lost upstream."""
    lags = [run_chain(chain, phase_s, patch) for phase_s in PHASES_S]
    return (
        max(lag.config_s for lag in lags),
        max(lag.leaving_s for lag in lags),
        max(lag.gone_s for lag in lags),
    )
