"""Generate traces of drifting expert demand: tokens per expert and layer in each window."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

Demand = list[list[float]]


@dataclass(frozen=True)
class Shape:
    """Hold the size of a trace; each layer routes `tokens` tokens per window."""

    layers: int
    experts: int
    tokens: int
    windows: int
    seed: int = 5
    warm_up: int = 10


def _make_mix(rng: random.Random, experts: int, hot: int) -> list[float]:
    """Return popularity shares with a few hot experts, as for one kind of request."""
    weights = [rng.gammavariate(2.0, 1.0) for _ in range(experts)]
    for expert in rng.sample(range(experts), hot):
        weights[expert] *= rng.uniform(4, 10)
    total = sum(weights)
    return [w / total for w in weights]


def _sample(rng: random.Random, shares: list[float], tokens: int) -> list[float]:
    """Return counts drawn from the normal approximation of the Poisson distribution."""
    return [max(0.0, rng.gauss(s * tokens, math.sqrt(s * tokens))) for s in shares]


def _blend(a: list[float], b: list[float], weight: float) -> list[float]:
    return [(1 - weight) * x + weight * y for x, y in zip(a, b, strict=True)]


def _rush_hour(x: float) -> float:
    return math.exp(-(((x - 0.5) / 0.12) ** 2))


def _final_rounds(x: float) -> float:
    return 0.0 if x < 0.6 else min(1.0, (x - 0.6) / 0.1)


def _smooth_drift(x: float) -> float:
    return x


def _sudden_turn(x: float) -> float:
    return 0.0 if x < 0.4 else 1.0


def _noise_only(x: float) -> float:
    return 0.0


TRACES: dict[str, Callable[[float], float]] = {
    "rush_hour": _rush_hour,
    "final_rounds": _final_rounds,
    "smooth_drift": _smooth_drift,
    "sudden_turn": _sudden_turn,
    "noise_only": _noise_only,
}


def make_trace(name: str, shape: Shape) -> Iterator[Demand]:
    """Yield the demand of each window: `warm_up` windows of the first mix, then the trace."""
    rng = random.Random(shape.seed)
    hot = max(1, shape.experts // 16)
    first = [_make_mix(rng, shape.experts, hot) for _ in range(shape.layers)]
    other = [_make_mix(rng, shape.experts, hot) for _ in range(shape.layers)]
    weight_at = TRACES[name]
    for window in range(shape.windows):
        share = max(0, window - shape.warm_up) / max(1, shape.windows - 1 - shape.warm_up)
        weight = weight_at(share)
        yield [
            _sample(rng, _blend(a, b, weight), shape.tokens)
            for a, b in zip(first, other, strict=True)
        ]
