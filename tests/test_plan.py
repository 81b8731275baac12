"""Test the planner of expert maps against naive computations."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dalehollow.config import model
from dalehollow.groups import POLICIES, ExpertMap, layer_skew, plan_map, rank_loads, step_skew
from dalehollow.groups.demand import DemandAverage
from dalehollow.groups.expert_map import count_moves, count_replicas, make_layer, match_ranks

SKEW = POLICIES["skew"]
MANY_TOKENS = 1e9


def make_demand(seed: int, experts: int, layers: int = 1) -> list[list[float]]:
    rng = random.Random(seed)
    return [[rng.expovariate(1.0) * 10_000 for _ in range(experts)] for _ in range(layers)]


@settings(max_examples=80, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    ranks=st.integers(2, 8),
    slots=st.integers(2, 5),
    policy=st.sampled_from(sorted(POLICIES)),
)
def test_plan_is_valid_and_never_worse(seed: int, ranks: int, slots: int, policy: str) -> None:
    experts = ranks * slots - random.Random(seed).randint(0, ranks)
    before, now = make_demand(seed, experts, 2), make_demand(seed + 1, experts, 2)
    current = ExpertMap(tuple(make_layer(d, ranks, slots) for d in before))
    plan = plan_map(current, now, POLICIES[policy], tokens_counted=MANY_TOKENS)
    for layer in plan.expert_map.layers:
        assert set(count_replicas(layer)) == set(range(experts)), "an expert was lost"
        assert all(len(held) == len(set(held)) <= slots for held in layer)
    assert plan.moves == count_moves(current, plan.expert_map)
    assert plan.skew_after <= plan.skew_before + 1e-9
    assert plan.skew_after == pytest.approx(step_skew(plan.expert_map, now))


def test_changed_loads_match_the_naive_count() -> None:
    demand = make_demand(3, 16)
    current = ExpertMap((make_layer(make_demand(4, 16)[0], 4, 5),))
    plan = plan_map(current, demand, SKEW, tokens_counted=MANY_TOKENS)
    replicas = count_replicas(plan.expert_map.layers[0])
    naive = [sum(demand[0][e] / replicas[e] for e in held) for held in plan.expert_map.layers[0]]
    assert layer_skew(naive) == pytest.approx(plan.skew_after)
    assert plan.skew_after < 0.1 < plan.skew_before


def test_policies_match_those_allowed_in_a_configuration() -> None:
    assert sorted(POLICIES) == sorted(model.POLICIES)


def test_move_limit_holds() -> None:
    current = ExpertMap(tuple(make_layer(d, 8, 5) for d in make_demand(1, 32, 3)))
    plan = plan_map(current, make_demand(2, 32, 3), SKEW, tokens_counted=MANY_TOKENS, max_moves=7)
    assert 0 < plan.moves <= 7


def test_slow_rank_gets_less() -> None:
    demand = [[1_000.0] * 16]
    current = ExpertMap((make_layer(demand[0], 4, 5),))
    speeds = [1.0, 1.0, 1.0, 0.5]
    plan = plan_map(current, demand, SKEW, speeds=speeds, tokens_counted=MANY_TOKENS)
    work = rank_loads(plan.expert_map.layers[0], demand[0])
    assert work[3] == min(work)
    assert plan.skew_after < plan.skew_before


@pytest.mark.parametrize("policy", sorted(POLICIES))
def test_noise_alone_moves_nothing(policy: str) -> None:
    rng = random.Random(9)
    shares = make_demand(5, 64, 2)
    average = DemandAverage()
    current = None
    for window in range(60):
        average.add([[max(0.0, rng.gauss(x, x**0.5)) for x in layer] for layer in shares])
        if window < 10:
            continue
        if current is None:
            current = ExpertMap(tuple(make_layer(d, 16, 5) for d in average.demand))
        plan = plan_map(
            current,
            average.demand,
            POLICIES[policy],
            tokens_counted=average.tokens_counted,
            changed=average.changed_layers(),
        )
        assert plan.moves == 0, plan.reason


def test_demand_change_is_detected() -> None:
    average = DemandAverage()
    for _ in range(5):
        average.add([[10_000.0] * 8, [10_000.0] * 8])
    average.add([[20_000.0] + [10_000.0] * 7, [10_000.0] * 8])
    assert average.changed_layers() == [True, False]


def test_too_many_experts() -> None:
    with pytest.raises(ValueError, match="9 experts do not fit 2 ranks of 4 slots"):
        make_layer([1.0] * 9, 2, 4)


def test_matching_keeps_experts_on_their_ranks() -> None:
    before = ((0, 1), (2, 3), (4, 5))
    assert match_ranks(before, ((4, 5), (0, 1), (2, 6))) == ((0, 1), (2, 6), (4, 5))
