"""Decide how eagerly a group's expert map is planned, and within which bounds."""

from __future__ import annotations

from dataclasses import dataclass

from dalehollow.gateway.table import ExpertFigures
from dalehollow.groups.place import Bounds

MIN_LOAD = 0.3
"""A copy must bring more the fewer requests gain by it; below this load no more than that."""


@dataclass(frozen=True)
class PlanTerms:
    """Hold how often to look, and what makes a change worth while.

    A change must take `begin_gain` off the longest rank, as a share of it. `copy_price_mb` is what
    each copied megabyte must take off it, as a share of the mean load, in a group of one layer
    and one rank: all ranks gain by what is taken off, and it is the smaller a part of a pass the
    more layers there are.
    """

    interval_s: float
    begin_gain: float
    copy_price_mb: float


@dataclass(frozen=True)
class PlanPolicy:
    """Hold the terms for calm times, and those for when passes press on what callers allow.

    Passes press from `pressed_share` of the longest pause between pieces that callers take well:
    then each one that is a little longer makes streams late, and a shorter one is worth its
    orders. `sampled_share` of the ranks is read; `memory` is what the last demand counts beside
    the newest. In one change no rank copies for longer than `copy_s`, or more than one expert
    where that takes longer.
    """

    calm: PlanTerms
    pressed: PlanTerms
    pressed_share: float
    sampled_share: float
    memory: float
    copy_s: float

    def is_pressing(self, longest_s: float | None, objective_s: float) -> bool:
        """Return whether the longest of recent pauses presses; an unknown one does not."""
        if longest_s is None or not objective_s:
            return False
        return longest_s >= self.pressed_share * objective_s


def choose_bounds(
    policy: PlanPolicy, terms: PlanTerms, figures: ExpertFigures, ranks: int, load: float
) -> Bounds:
    """Return the bounds of a change in a group whose slots are taken to the share `load`."""
    price = terms.copy_price_mb * figures.expert_mb * figures.layers / ranks
    copies = int(policy.copy_s / figures.copy_s) if figures.copy_s else figures.places
    return Bounds(
        places=figures.places,
        spare=figures.spare,
        price=price / max(MIN_LOAD, min(1.0, load)),
        rank_copies=max(1, copies),
    )
