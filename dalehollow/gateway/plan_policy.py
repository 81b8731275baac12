"""Policy for planning a group's expert map: how often, for which gain, and within which bounds."""

from __future__ import annotations

from dataclasses import dataclass

from dalehollow.gateway.table import ExpertFigures
from dalehollow.groups.place import Bounds

MIN_LOAD = 0.3
"""Copies must gain more at low load, where fewer requests benefit; loads below this count as it."""


@dataclass(frozen=True)
class PlanTerms:
    """Interval between planning rounds, and the thresholds for a change.

    A change must reduce the load of the most loaded rank by the share `begin_gain`. `copy_price_mb`
    is the reduction that each copied megabyte must bring, as a share of the mean load, in a group
    of one layer and one rank. The price is scaled by layers / ranks: all ranks gain by a reduction,
    and the more layers there are, the smaller its part of a pass.
    """

    interval_s: float
    begin_gain: float
    copy_price_mb: float


@dataclass(frozen=True)
class PlanPolicy:
    """Terms for normal operation, and for passes close to the pause that callers tolerate.

    The pressed terms apply from `pressed_share` of the longest pause between pieces that callers
    tolerate: a slightly longer pass then makes streams late, so shorter passes are worth the
    orders of a change. `sampled_share` of the ranks is read; `memory` is the weight of the previous
    demand relative to the newest. In one change a rank copies for at most `copy_s`, or a single
    expert if that takes longer.
    """

    normal: PlanTerms
    pressed: PlanTerms
    pressed_share: float
    sampled_share: float
    memory: float
    copy_s: float

    def is_pressing(self, longest_s: float | None, objective_s: float) -> bool:
        """Return whether the longest recent pause calls for the pressed terms; False if unknown."""
        if longest_s is None or not objective_s:
            return False
        return longest_s >= self.pressed_share * objective_s


def choose_bounds(
    policy: PlanPolicy, terms: PlanTerms, figures: ExpertFigures, ranks: int, load: float
) -> Bounds:
    """Return the bounds of a change in a group; `load` is the share of its slots in use."""
    price = terms.copy_price_mb * figures.expert_mb * figures.layers / ranks
    copies = int(policy.copy_s / figures.copy_s) if figures.copy_s else figures.places
    return Bounds(
        places=figures.places,
        spare=figures.spare,
        price=price / max(MIN_LOAD, min(1.0, load)),
        rank_copies=max(1, copies),
    )
