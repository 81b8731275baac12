"""Divide an account's rate limit among entries by demand, never granting more than the limit.

A fixed part of each limit (`FLOOR_SHARE`) is split evenly among all entries, so that a new or
partitioned entry can always serve some requests. The rest is granted by one entry per account, its
allocator. A grant is valid until its holder returns it, is replaced by a new incarnation, or is
removed from the VM list. A partitioned entry therefore keeps its share, which is not granted to
any other entry.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from dalehollow.once.owners import choose_member

FLOOR_SHARE = 0.2
REMOVAL_DELAY_S = 60.0


def choose_allocator(account: str, entries: Iterable[str]) -> str:
    """Choose the entry that grants an account's shares, by rendezvous hashing."""
    return choose_member(entries, f"shares\0{account}")


def compute_floor(limit_per_s: float, entries: int) -> float:
    """Return the rate that each entry may use without a grant."""
    return limit_per_s * FLOOR_SHARE / max(1, entries)


def fair_shares(limit_per_s: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Divide a limit max-min fairly: small demands are met, and large ones share the rest evenly.

    The rate that no demand needs is split evenly, as headroom for rising demands.
    """
    shares: dict[str, float] = {}
    remaining = limit_per_s
    by_demand = sorted(demands, key=lambda entry: (demands[entry], entry))
    for idx, entry in enumerate(by_demand):
        even_share = remaining / (len(by_demand) - idx)
        shares[entry] = min(demands[entry], even_share)
        remaining -= shares[entry]
    headroom = max(0.0, remaining) / max(1, len(shares))
    return {entry: share + headroom for entry, share in shares.items()}


@dataclass(frozen=True)
class EntryDemand:
    """Report an entry's current grant and its demand to the allocator of an account."""

    entry: str
    held_per_s: float
    demand_per_s: float


@dataclass
class _Holder:
    held_per_s: float
    demand_per_s: float
    missing_since_s: float | None = None


@dataclass
class Allocator:
    """Track the grants of one account's limit, which excludes the floors of the entries."""

    limit_per_s: float
    _holders: dict[str, _Holder] = field(default_factory=dict)

    def answer(self, request: EntryDemand, listed: Iterable[str], now_s: float) -> float:
        """Return the entry's new grant, which is not raised until all listed entries have asked.

        A listed entry that has not asked yet may hold any grant from a previous allocator, so
        nothing can be granted until it reports what it holds.
        """
        names = set(listed) | {request.entry}
        self._remove_departed(names, now_s)
        self._record_grant(request)
        all_reported = names <= set(self._holders)
        granted = self._compute_grant(request.entry) if all_reported else request.held_per_s
        # The answer can be lost, so the entry may use the larger of both rates until it asks again.
        self._holders[request.entry].held_per_s = max(request.held_per_s, granted)
        return granted

    def resize(self, limit_per_s: float) -> None:
        """Change the limit; grants are reduced as their holders ask again."""
        self.limit_per_s = limit_per_s

    def _record_grant(self, request: EntryDemand) -> None:
        """Record the grant that an entry reports; a new incarnation reports 0."""
        self._holders[request.entry] = _Holder(request.held_per_s, request.demand_per_s)

    def _compute_grant(self, entry: str) -> float:
        demands = {name: holder.demand_per_s for name, holder in self._holders.items()}
        target = fair_shares(self.limit_per_s, demands)[entry]
        others = sum(h.held_per_s for name, h in self._holders.items() if name != entry)
        return max(0.0, min(target, self.limit_per_s - others))

    def _remove_departed(self, listed: set[str], now_s: float) -> None:
        for name, holder in list(self._holders.items()):
            if name in listed:
                holder.missing_since_s = None
            elif holder.missing_since_s is None:
                holder.missing_since_s = now_s
            elif now_s - holder.missing_since_s >= REMOVAL_DELAY_S:
                del self._holders[name]
