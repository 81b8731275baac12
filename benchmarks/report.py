"""Print results and compute percentiles."""

from __future__ import annotations

import math
from collections.abc import Sequence


def percentile(values: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile for a share from 0 to 1, or NaN without values."""
    if not values:
        return math.nan
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, math.ceil(share * len(ranked)) - 1)]


def print_pairs(**pairs: object) -> None:
    """Print one line of key=value pairs."""
    print(
        " ".join(f"{k}={round(v, 4) if isinstance(v, float) else v}" for k, v in pairs.items()),
        flush=True,
    )
