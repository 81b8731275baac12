"""Select the subset of upstreams an entry connects to, which bounds its control traffic."""

from __future__ import annotations

from collections.abc import Sequence

from dalehollow.config.model import Upstream
from dalehollow.rendezvous import score

REMOTE_DIVISOR = 4


def choose_subset(
    entry: str, hall: str, upstreams: Sequence[Upstream], size: int
) -> tuple[Upstream, ...]:
    """Select by rendezvous hashing from the entry's hall, plus some of other halls as fallback."""
    ranked = sorted(upstreams, key=lambda u: score(entry, u.name), reverse=True)
    local = [u for u in ranked if u.hall == hall]
    remote = [u for u in ranked if u.hall != hall]
    remote_count = min(len(remote), max(size // REMOTE_DIVISOR, size - len(local)))
    return tuple(local[: size - remote_count] + remote[:remote_count])
