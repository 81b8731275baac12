"""Smooth the token counts of each expert, and distinguish changes from sampling noise."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

FAST_WEIGHT = 0.5
SLOW_WEIGHT = 0.1
CHANGE_SIGMAS = 6.0

Counts = Sequence[Sequence[float]]


def _interpolate(previous: Counts, latest: Counts, weight: float) -> list[list[float]]:
    previous_weight = 1 - weight
    return [
        [previous_weight * old + weight * new for old, new in zip(a, b, strict=True)]
        for a, b in zip(previous, latest, strict=True)
    ]


@dataclass
class DemandAverage:
    """Keep a fast and a slow exponential moving average of the demand.

    A window without counts leaves both unchanged. `tokens_counted` is the effective sample size of
    the fast average, in tokens per layer. The variances are those of Poisson counts under the
    weights of the two averages, tracked exactly from the first window.
    """

    demand: list[list[float]] = field(default_factory=list)
    tokens_counted: float = 0.0
    _slow: list[list[float]] = field(default_factory=list)
    _fast_variance: float = 1.0
    _slow_variance: float = 1.0
    _covariance: float = 1.0

    def add(self, counts: Counts) -> None:
        """Add the counts of one window."""
        if not self.demand:
            self.demand = [list(layer) for layer in counts]
            self._slow = [list(layer) for layer in counts]
        else:
            self.demand = _interpolate(self.demand, counts, FAST_WEIGHT)
            self._slow = _interpolate(self._slow, counts, SLOW_WEIGHT)
            self._update_variances()
        mean_tokens = sum(map(sum, self.demand)) / len(self.demand)
        self.tokens_counted = mean_tokens / self._fast_variance

    def changed_layers(self) -> list[bool]:
        """Return for each layer whether its demand has changed beyond sampling noise."""
        factor = self._fast_variance + self._slow_variance - 2 * self._covariance
        return [
            _has_changed(fast, slow, factor)
            for fast, slow in zip(self.demand, self._slow, strict=True)
        ]

    def _update_variances(self) -> None:
        fast, slow = FAST_WEIGHT, SLOW_WEIGHT
        self._fast_variance = (1 - fast) ** 2 * self._fast_variance + fast**2
        self._slow_variance = (1 - slow) ** 2 * self._slow_variance + slow**2
        self._covariance = (1 - fast) * (1 - slow) * self._covariance + fast * slow


def _has_changed(fast: Sequence[float], slow: Sequence[float], factor: float) -> bool:
    """Compare the averages by a chi-square statistic, whose standard deviation is known."""
    if factor <= 0:
        return False
    terms = [(f - s) ** 2 / (s * factor) for f, s in zip(fast, slow, strict=True) if s > 0]
    if not terms:
        return False
    statistic = sum(terms) / len(terms)
    return statistic > 1 + CHANGE_SIGMAS * math.sqrt(2 / len(terms))
