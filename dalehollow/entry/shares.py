"""Distribute each account's rate limit over the entries according to demand.

While the VM list contains no entries, each limit is split evenly and nothing is exchanged. Once
the list contains this entry, each account's allocator (one of the listed entries) assigns shares
by demand. An entry that cannot reach an allocator keeps its current share.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from result import Ok, Result

from dalehollow.clock import read_clock
from dalehollow.config.model import Account, Config
from dalehollow.limits import (
    Allocator,
    EntryDemand,
    TokenBucket,
    choose_allocator,
    compute_floor,
)
from dalehollow.limits.shares import FLOOR_SHARE
from dalehollow.membership.vm_watch import list_entries
from dalehollow.platform.vms import Vm
from dalehollow.protocol import ShareGrant, ShareRequest

MAX_ENTRIES_FOR_GLOBAL_SHARES = 32
IDLE_ACCOUNTS_PER_ROUND = 64
DEMAND_HEADROOM = 1.25
_DEMAND_SMOOTHING = 0.5
_MIN_ACTIVE_DEMAND_PER_S = 0.01

AskPeer = Callable[[str, ShareRequest], Result[ShareGrant, str]]
"""Request shares from the entry at a control address."""


@dataclass
class _Usage:
    """Hold an account's token bucket, its share above the guaranteed floor, and its demand."""

    account: Account
    bucket: TokenBucket
    floor_per_s: float
    limit_per_s: float
    held_per_s: float
    attempts: int = 0
    demand_per_s: float = 0.0


@dataclass
class ShareManager:
    """Manage the rate-limit shares of one entry."""

    name: str
    hall: str
    ask_peer: AskPeer
    clock: Callable[[], float] = read_clock
    _usages: dict[str, _Usage] = field(default_factory=dict)
    _allocators: dict[str, Allocator] = field(default_factory=dict)
    _entries: dict[str, str] = field(default_factory=dict)
    _is_split_evenly: bool = False
    _cfg: Config | None = None
    _idle_cursor: int = 0
    _lock: threading.RLock = field(default_factory=threading.RLock)

    def take(self, account: str) -> int:
        """Count a request; return 0 if it is within the share, else the wait in milliseconds."""
        usage = self._usages.get(account)
        if usage is None:
            return 0
        usage.attempts += 1
        return usage.bucket.take(self.clock())

    def apply(self, cfg: Config) -> None:
        """Apply a configuration; shares are kept, and reduced where a limit was lowered."""
        with self._lock:
            self._cfg = cfg
            known, self._usages = self._usages, {}
            for account in cfg.accounts.values():
                self._usages[account.name] = self._make_usage(account, cfg, known.get(account.name))
            self._allocators = {n: a for n, a in self._allocators.items() if n in self._usages}
            for name, allocator in self._allocators.items():
                allocator.resize(self._usages[name].limit_per_s * (1 - FLOOR_SHARE))

    def update_vm_list(self, vms: tuple[Vm, ...]) -> None:
        """Update the known entries, and whether the VM list contains any."""
        with self._lock:
            all_entries = list_entries(vms, None)
            is_small = len(all_entries) <= MAX_ENTRIES_FOR_GLOBAL_SHARES
            self._entries = all_entries if is_small else list_entries(vms, self.hall)
            was_even = self._is_split_evenly
            self._is_split_evenly = not all_entries
            if self._is_split_evenly != was_even and self._cfg is not None:
                self._reset(self._cfg)

    def run_round(self, interval_s: float) -> None:
        """Measure demand and request shares; shares without a reply stay unchanged."""
        with self._lock:
            self._measure(interval_s)
            if self.name not in self._entries:
                return
            asks = self._group_requests_by_allocator()
            addresses = dict(self._entries)
        for allocator, accounts in asks.items():
            ask = ShareRequest(self.name, accounts)
            if allocator == self.name:
                self._apply_shares(self.answer(ask))
                continue
            asked = self.ask_peer(addresses[allocator], ask)
            if isinstance(asked, Ok):
                self._apply_shares(asked.ok_value)

    def answer(self, ask: ShareRequest) -> ShareGrant:
        """Assign shares as allocator; accounts unknown here keep their current shares."""
        now_s = self.clock()
        with self._lock:
            granted = tuple(
                (name, self._allocate_one(ask.sender, name, held, demand, now_s))
                for name, held, demand in ask.accounts
            )
        return ShareGrant(granted)

    def dump(self) -> dict[str, object]:
        """Return the shares of active accounts."""
        with self._lock:
            return {
                "mode": "even" if self._is_split_evenly else "by_demand",
                "entries_known": sorted(self._entries),
                "accounts": {
                    name: {
                        "limit_per_s": u.account.requests_per_s,
                        "share_per_s": round(u.floor_per_s + u.held_per_s, 3),
                        "demand_per_s": round(u.demand_per_s, 3),
                    }
                    for name, u in self._usages.items()
                    if u.demand_per_s > _MIN_ACTIVE_DEMAND_PER_S
                },
            }

    def _make_usage(self, account: Account, cfg: Config, known: _Usage | None) -> _Usage:
        limit, floor = self._limit_and_floor(account, cfg)
        max_held_per_s = limit * (1 - FLOOR_SHARE)
        even_share_per_s = max_held_per_s / self._count_sharing_entries(cfg)
        if known is None:
            held = even_share_per_s if self._is_split_evenly else 0.0
            usage = _Usage(account, TokenBucket(1.0, 1.0), floor, limit, held)
        else:
            held = (
                even_share_per_s if self._is_split_evenly else min(known.held_per_s, max_held_per_s)
            )
            usage = _Usage(
                account, known.bucket, floor, limit, held, known.attempts, known.demand_per_s
            )
        self._resize(usage)
        return usage

    def _limit_and_floor(self, account: Account, cfg: Config) -> tuple[float, float]:
        """Return the limit that this entry's allocators assign, and the floor within it."""
        limit = account.requests_per_s
        if cfg.count_entries() > MAX_ENTRIES_FOR_GLOBAL_SHARES and self.hall in cfg.halls:
            limit *= cfg.halls[self.hall].entries / cfg.count_entries()
        return limit, compute_floor(limit, self._count_sharing_entries(cfg))

    def _count_sharing_entries(self, cfg: Config) -> int:
        if cfg.count_entries() > MAX_ENTRIES_FOR_GLOBAL_SHARES and self.hall in cfg.halls:
            return max(1, cfg.halls[self.hall].entries)
        return cfg.count_entries()

    def _reset(self, cfg: Config) -> None:
        """Reset to the floors, or to even shares if no entries are listed."""
        self._allocators = {}
        for usage in self._usages.values():
            usage.held_per_s = 0.0
        self.apply(cfg)

    def _resize(self, usage: _Usage) -> None:
        rate = max(usage.floor_per_s + usage.held_per_s, 1e-6)
        burst = max(1.0, usage.account.burst * rate / usage.account.requests_per_s)
        usage.bucket.resize(rate, burst, self.clock())

    def _measure(self, interval_s: float) -> None:
        for usage in self._usages.values():
            rate = usage.attempts / interval_s
            usage.attempts = 0
            usage.demand_per_s += _DEMAND_SMOOTHING * (rate - usage.demand_per_s)

    def _group_requests_by_allocator(self) -> dict[str, tuple[tuple[str, float, float], ...]]:
        groups: dict[str, list[tuple[str, float, float]]] = {}
        for name in self._select_accounts():
            usage = self._usages[name]
            wanted = max(0.0, usage.demand_per_s * DEMAND_HEADROOM - usage.floor_per_s)
            allocator = choose_allocator(name, self._entries)
            groups.setdefault(allocator, []).append((name, usage.held_per_s, wanted))
        return {allocator: tuple(accounts) for allocator, accounts in groups.items()}

    def _select_accounts(self) -> Iterable[str]:
        """Return the active accounts and the next batch of idle ones, round robin."""
        active = [n for n, u in self._usages.items() if u.demand_per_s > _MIN_ACTIVE_DEMAND_PER_S]
        idle = [n for n in self._usages if n not in set(active)]
        if not idle:
            return active
        start = self._idle_cursor % len(idle)
        self._idle_cursor += IDLE_ACCOUNTS_PER_ROUND
        return active + (idle[start:] + idle[:start])[:IDLE_ACCOUNTS_PER_ROUND]

    def _allocate_one(
        self, sender: str, name: str, held: float, demand: float, now_s: float
    ) -> float:
        usage = self._usages.get(name)
        if usage is None:
            return held
        allocator = self._allocators.get(name)
        if allocator is None:
            allocator = Allocator(usage.limit_per_s * (1 - FLOOR_SHARE))
            self._allocators[name] = allocator
        return allocator.answer(EntryDemand(sender, held, demand), self._entries, now_s)

    def _apply_shares(self, shares: ShareGrant) -> None:
        with self._lock:
            for name, held_per_s in shares.accounts:
                usage = self._usages.get(name)
                if usage is not None:
                    usage.held_per_s = held_per_s
                    self._resize(usage)


def held_shares(manager: ShareManager) -> Mapping[str, float]:
    """Return each account's share in requests/s, for tests and benchmarks."""
    return {name: u.floor_per_s + u.held_per_s for name, u in manager._usages.items()}
