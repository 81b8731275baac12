"""Decide how eagerly a group's expert map is planned, and plan one layer by that."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from dalehollow.gateway.table import ExpertFigures
from dalehollow.groups.expert_map import LayerMap
from dalehollow.groups.place import Bounds, Improved, improve_layer

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
    ranks is read; `memory` is what the last demand counts beside the newest.
    """

    calm: PlanTerms
    pressed: PlanTerms
    pressed_share: float
    copy_price_mb: float
    sampled_share: float
    memory: float

    def choose_terms(self, pass_s: float | None, objective_s: float) -> PlanTerms:
        """Return the terms for passes of this length; those for calm times if it is unknown."""
        if pass_s is None or not objective_s:
            return self.calm
        return self.pressed if pass_s >= self.pressed_share * objective_s else self.calm


def plan_layer(
    layer: LayerMap,
    demand: Sequence[float],
    figures: ExpertFigures,
    copy_price_mb: float,
    load: float,
    paces: Sequence[float],
) -> Improved:
    """Plan one layer of a group whose slots are taken to the share `load`."""
    ranks = len(layer)
    price = copy_price_mb * figures.expert_mb * figures.layers / ranks
    bounds = Bounds(
        places=figures.places,
        spare=figures.spare,
        price=price / max(MIN_LOAD, min(1.0, load)),
        max_copies=figures.spare * ranks,
    )
    return improve_layer(layer, demand, bounds, paces)
