"""Measure the propagation delay of confirmed store changes to gateways, on virtual time.

Prints the longest delays of each chain of failures in descending order, and the seeds of random
schedules that exceed the bound.
"""

from __future__ import annotations

import logging

import pytest

from benchmarks.report import print_pairs
from tests.late_chains import BOUND_S, CHAINS, PHASES_S, Chain, run_chain
from tests.late_schedules import run_schedule

SEEDS = 1_000


def run() -> None:
    """Print the delays of each chain and the schedules that exceed the bound."""
    logging.disable(logging.CRITICAL)
    with pytest.MonkeyPatch.context() as patch:
        rows = [(_measure_chain(chain, patch), chain.describe()) for chain in CHAINS]
        for (config_s, leaving_s, gone_s), chain in sorted(rows, reverse=True):
            print_pairs(config_s=config_s, leaving_s=leaving_s, gone_s=gone_s, chain=chain)
        missed = [s for s in range(1, SEEDS + 1) if run_schedule(s, BOUND_S, patch)]
    print_pairs(
        chains=len(CHAINS),
        over_bound=sum(max(lags_s) > BOUND_S for lags_s, _ in rows),
        schedules=SEEDS,
        missed=missed,
    )


def _measure_chain(chain: Chain, patch: pytest.MonkeyPatch) -> tuple[float, float, float]:
    """Return the longest delays of configurations, of departures and of lost upstreams in s."""
    lags = [run_chain(chain, phase_s, patch) for phase_s in PHASES_S]
    return (
        max(lag.config_s for lag in lags),
        max(lag.leaving_s for lag in lags),
        max(lag.gone_s for lag in lags),
    )
