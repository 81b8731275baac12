"""Select the subset of upstreams an entry connects to, which bounds its control traffic."""

from __future__ import annotations

from collections.abc import Sequence

from dalehollow.config.model import Upstream
from dalehollow.rendezvous import score

FAR_SHARE = 4


def choose_subset(
    entry: str, hall: str, upstreams: Sequence[Upstream], size: int
) -> tuple[Upstream, ...]:
    """Select by rendezvous hashing from the entry's hall, plus some of other halls as fallback."""
    ranked = sorted(upstreams, key=lambda u: score(entry, u.name), reverse=True)
    near = [u for u in ranked if u.hall == hall]
    far = [u for u in ranked if u.hall != hall]
    far_count = min(len(far), max(size // FAR_SHARE, size - len(near)))
    return tuple(near[: size - far_count] + far[:far_count])
