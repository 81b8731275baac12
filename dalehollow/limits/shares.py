"""Share an account's limit among entries by demand, never handing out more than the limit.

A fixed part of each limit (`FLOOR_SHARE`) belongs to all entries alike, so that a new or cut-off
entry can always serve something. The rest is handed out by one entry for each account, its
allocator. A grant stands until the entry that holds it gives it back, is replaced by a new
incarnation, or is gone from the VM list; so an entry that is cut off keeps its share, and what
it may use is never given to another.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from dalehollow.once.owners import choose_member

FLOOR_SHARE = 0.2
GONE_AFTER_S = 60.0


def choose_allocator(account: str, entries: Iterable[str]) -> str:
    """Choose the entry that hands out an account's shares, by rendezvous."""
    return choose_member(entries, f"shares\0{account}")


def floor_of(limit_per_s: float, entries: int) -> float:
    """Return what each entry may use without a grant."""
    return limit_per_s * FLOOR_SHARE / max(1, entries)


def fair_shares(limit_per_s: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Split a limit max-min fairly: small demands are met, the rest is even among the large.

    What no demand asks for is split evenly, so that a rising demand finds room.
    """
    shares: dict[str, float] = {}
    left = limit_per_s
    waiting = sorted(demands, key=lambda entry: (demands[entry], entry))
    for idx, entry in enumerate(waiting):
        even = left / (len(waiting) - idx)
        shares[entry] = min(demands[entry], even)
        left -= shares[entry]
    spare = max(0.0, left) / max(1, len(shares))
    return {entry: share + spare for entry, share in shares.items()}


@dataclass(frozen=True)
class ShareAsk:
    """Tell an allocator what an entry holds of an account's limit and what it could use."""

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
    """Hold the grants of one account's limit, less the floors."""

    limit_per_s: float
    _holders: dict[str, _Holder] = field(default_factory=dict)

    def answer(self, ask: ShareAsk, listed: Iterable[str], now_s: float) -> float:
        """Return what the entry may hold from now on; never more while others are unheard.

        An entry that is listed but has not asked yet may hold anything (another allocator may
        have granted it), so nothing can be handed out until it has.
        """
        names = set(listed) | {ask.entry}
        self._forget_gone(names, now_s)
        self._take(ask)
        all_heard = names <= set(self._holders)
        granted = self._grant(ask.entry) if all_heard else ask.held_per_s
        # Until the entry asks again it may not know of a smaller share: the answer can be lost.
        self._holders[ask.entry].held_per_s = max(ask.held_per_s, granted)
        return granted

    def resize(self, limit_per_s: float) -> None:
        """Change the limit; grants come down as their holders ask again."""
        self.limit_per_s = limit_per_s

    def _take(self, ask: ShareAsk) -> None:
        """Believe what an entry says it holds: a new incarnation says 0."""
        self._holders[ask.entry] = _Holder(ask.held_per_s, ask.demand_per_s)

    def _grant(self, entry: str) -> float:
        demands = {name: holder.demand_per_s for name, holder in self._holders.items()}
        target = fair_shares(self.limit_per_s, demands)[entry]
        others = sum(h.held_per_s for name, h in self._holders.items() if name != entry)
        return max(0.0, min(target, self.limit_per_s - others))

    def _forget_gone(self, listed: set[str], now_s: float) -> None:
        for name, holder in list(self._holders.items()):
            if name in listed:
                holder.missing_since_s = None
            elif holder.missing_since_s is None:
                holder.missing_since_s = now_s
            elif now_s - holder.missing_since_s >= GONE_AFTER_S:
                del self._holders[name]
