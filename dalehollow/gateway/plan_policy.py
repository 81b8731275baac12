"""Decide how eagerly a group's expert map is planned, and within which bounds."""

from __future__ import annotations

from dataclasses import dataclass

from dalehollow.gateway.table import ExpertFigures
from dalehollow.groups.place import Bounds

MIN_LOAD = 0.3
"""A copy must bring more the fewer requests gain by it; below this load no more than that."""


@dataclass(frozen=True)
class PlanTerms:
    """Hold how often to look, and the share that a change must take off the longest rank."""

    interval_s: float
    begin_gain: float


@dataclass(frozen=True)
class PlanPolicy:
    """Hold the terms for calm times, and those for when passes press on what callers allow.

    Passes press from `pressed_share` of the longest pause between pieces that callers take well:
    then each one that is a little longer makes streams late, and a shorter one is worth its
    orders. `copy_price_mb` is what each copied megabyte must take off the longest rank, as a
    share of the mean load, in a group of one layer and one rank: all ranks gain by what is taken
    off, and it is the smaller a part of a pass the more layers there are. `sampled_share` of the
    ranks is read; `memory` is what the last demand counts beside the newest. In one change no
    rank copies for longer than `copy_s`, or more than one expert where that takes longer.
    """

    calm: PlanTerms
    pressed: PlanTerms
    pressed_share: float
    copy_price_mb: float
    sampled_share: float
    memory: float
    copy_s: float

    def choose_terms(self, pass_s: float | None, objective_s: float) -> PlanTerms:
        """Return the terms for passes of this length; those for calm times if it is unknown."""
        if pass_s is None or not objective_s:
            return self.calm
        return self.pressed if pass_s >= self.pressed_share * objective_s else self.calm


def choose_bounds(policy: PlanPolicy, figures: ExpertFigures, ranks: int, load: float) -> Bounds:
    """Return the bounds of a change in a group whose slots are taken to the share `load`."""
    price = policy.copy_price_mb * figures.expert_mb * figures.layers / ranks
    copies = int(policy.copy_s / figures.copy_s) if figures.copy_s else figures.places
    return Bounds(
        places=figures.places,
        spare=figures.spare,
        price=price / max(MIN_LOAD, min(1.0, load)),
        rank_copies=max(1, copies),
    )
