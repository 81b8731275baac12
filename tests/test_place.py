"""Test that expert placement improves and respects the limits on slots and copies."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from dalehollow.groups.expert_map import LayerMap
from dalehollow.groups.place import (
    Bounds,
    ImprovedLayer,
    improve_layers,
    layer_loads,
    place_round_robin,
)

_DEMANDS = st.lists(st.floats(0.0, 1000.0), min_size=24, max_size=24)


def _improve_layer(layer: LayerMap, demand: list[float], bounds: Bounds) -> ImprovedLayer:
    *_, (improved,) = improve_layers([layer], [demand], bounds)
    return improved


@given(demand=_DEMANDS, places=st.integers(4, 6), spare=st.integers(0, 3))
@settings(max_examples=200, derandomize=True, deadline=None)
def test_bounds_hold_for_any_demand(demand: list[float], places: int, spare: int) -> None:
    layer = place_round_robin(6, 24)
    bounds = Bounds(places=places, spare=spare, price=0.01, rank_copies=spare)
    improved = _improve_layer(layer, demand, bounds)
    assert {e for held in improved.layer for e in held} == set(range(24))
    assert all(len(set(held)) == len(held) <= places for held in improved.layer)
    copied = [len(set(new) - set(old)) for old, new in zip(layer, improved.layer, strict=True)]
    assert max(copied) <= spare
    assert sum(copied) == improved.copies
    assert improved.max_load_after <= improved.max_load_before + 1e-9


def test_hot_expert_is_replicated() -> None:
    demand = [100.0] + [1.0] * 23
    improved = _improve_layer(place_round_robin(6, 24), demand, Bounds(5, 2, 0.01, 2))
    assert improved.max_load_after < improved.max_load_before / 3
    assert sum(0 in held for held in improved.layer) > 2


def test_even_demand_moves_nothing() -> None:
    layer = place_round_robin(6, 24)
    improved = _improve_layer(layer, [5.0] * 24, Bounds(5, 2, 0.01, 2))
    assert improved.copies == 0
    assert improved.layer == layer


def test_higher_copy_price_reduces_copies() -> None:
    demand = [float(1 + (e * 7) % 13) ** 2 for e in range(24)]
    copies = [
        _improve_layer(place_round_robin(6, 24), demand, Bounds(5, 2, price, 2)).copies
        for price in (0.0, 0.05, 0.5)
    ]
    assert copies == sorted(copies, reverse=True)
    assert copies[-1] == 0


def test_loads_are_relative_to_the_mean() -> None:
    loads = layer_loads(((0,), (1, 2), (1,)), [3.0, 4.0, 2.0])
    assert loads == [1.0, 4 / 3, 2 / 3]


def test_rank_copies_are_limited_over_all_layers_and_spent_on_the_largest_gain() -> None:
    """Limit a rank's copies over all layers, and spend them on the layer that gains most.

    Without a limit over all layers, a rank with two copies delayed the better map twice as long.
    """
    hot, mild = [100.0] + [1.0] * 23, [4.0] + [1.0] * 23
    layers = [place_round_robin(6, 24)] * 3
    *_, improved = improve_layers(layers, [mild, hot, mild], Bounds(5, 2, 0.0, 1))
    copied = [
        sum(len(set(new.layer[r]) - set(old[r])) for old, new in zip(layers, improved, strict=True))
        for r in range(6)
    ]
    assert max(copied) == 1
    assert sum(copied) == sum(i.copies for i in improved)
    assert improved[1].copies > max(improved[0].copies, improved[2].copies)
