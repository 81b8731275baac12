"""Hold this entry's share of each account's limit, and follow demand with the other entries.

As long as the VM list names no entries, each limit is split evenly and nothing is exchanged. Once
it names this one, each account's allocator (one of the listed entries) hands out shares by
demand. An entry that cannot reach an allocator keeps what it holds.
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
from dalehollow.protocol import AskShares, Shares

SMALL_DEPLOYMENT_ENTRIES = 32
IDLE_ACCOUNTS_PER_ROUND = 64
HEADROOM = 1.25
_DEMAND_WEIGHT = 0.5
_ACTIVE_PER_S = 0.01

AskPeer = Callable[[str, AskShares], Result[Shares, str]]
"""Ask the entry at a control address."""


@dataclass
class _Usage:
    """Hold one account's bucket, what this entry holds beyond the floor, and its demand."""

    account: Account
    bucket: TokenBucket
    floor_per_s: float
    limit_per_s: float
    held_per_s: float
    attempts: int = 0
    demand_per_s: float = 0.0


@dataclass
class ShareKeeper:
    """Hold the shares of one entry."""

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
        """Count a request; return 0 if it is within the account's share, else a wait in ms."""
        usage = self._usages.get(account)
        if usage is None:
            return 0
        usage.attempts += 1
        return usage.bucket.take(self.clock())

    def apply(self, cfg: Config) -> None:
        """Follow a configuration; shares are kept, and cut where a limit came down."""
        with self._lock:
            self._cfg = cfg
            known, self._usages = self._usages, {}
            for account in cfg.accounts.values():
                self._usages[account.name] = self._make_usage(account, cfg, known.get(account.name))
            self._allocators = {n: a for n, a in self._allocators.items() if n in self._usages}
            for name, allocator in self._allocators.items():
                allocator.resize(self._usages[name].limit_per_s * (1 - FLOOR_SHARE))

    def take_list(self, vms: tuple[Vm, ...]) -> None:
        """Take the VM list: who else is an entry, and whether entries are listed at all."""
        with self._lock:
            everywhere = list_entries(vms, None)
            is_small = len(everywhere) <= SMALL_DEPLOYMENT_ENTRIES
            self._entries = everywhere if is_small else list_entries(vms, self.hall)
            was_even = self._is_split_evenly
            self._is_split_evenly = not everywhere
            if self._is_split_evenly != was_even and self._cfg is not None:
                self._reset(self._cfg)

    def run_round(self, interval_s: float) -> None:
        """Measure demand and ask each account's allocator; what gets no answer stays."""
        with self._lock:
            self._measure(interval_s)
            if self.name not in self._entries:
                return
            asks = self._group_asks()
            addresses = dict(self._entries)
        for allocator, accounts in asks.items():
            ask = AskShares(self.name, accounts)
            if allocator == self.name:
                self._take_shares(self.answer(ask))
                continue
            asked = self.ask_peer(addresses[allocator], ask)
            if isinstance(asked, Ok):
                self._take_shares(asked.ok_value)

    def answer(self, ask: AskShares) -> Shares:
        """Answer as allocator; accounts that are not known here keep what they hold."""
        now_s = self.clock()
        with self._lock:
            granted = tuple(
                (name, self._answer_one(ask.sender, name, held, demand, now_s))
                for name, held, demand in ask.accounts
            )
        return Shares(granted)

    def dump(self) -> dict[str, object]:
        """Return the shares of accounts that are in use."""
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
                    if u.demand_per_s > _ACTIVE_PER_S
                },
            }

    def _make_usage(self, account: Account, cfg: Config, known: _Usage | None) -> _Usage:
        limit, floor = self._limit_and_floor(account, cfg)
        most = limit * (1 - FLOOR_SHARE)
        even = most / self._sharers(cfg)
        if known is None:
            held = even if self._is_split_evenly else 0.0
            usage = _Usage(account, TokenBucket(1.0, 1.0), floor, limit, held)
        else:
            held = even if self._is_split_evenly else min(known.held_per_s, most)
            usage = _Usage(
                account, known.bucket, floor, limit, held, known.attempts, known.demand_per_s
            )
        self._resize(usage)
        return usage

    def _limit_and_floor(self, account: Account, cfg: Config) -> tuple[float, float]:
        """Return the limit that this entry's allocators hand out, and the floor within it."""
        limit = account.requests_per_s
        if cfg.count_entries() > SMALL_DEPLOYMENT_ENTRIES and self.hall in cfg.halls:
            limit *= cfg.halls[self.hall].entries / cfg.count_entries()
        return limit, compute_floor(limit, self._sharers(cfg))

    def _sharers(self, cfg: Config) -> int:
        if cfg.count_entries() > SMALL_DEPLOYMENT_ENTRIES and self.hall in cfg.halls:
            return max(1, cfg.halls[self.hall].entries)
        return cfg.count_entries()

    def _reset(self, cfg: Config) -> None:
        """Begin anew with nothing but floors, or with even shares where entries are not listed."""
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
            usage.demand_per_s += _DEMAND_WEIGHT * (rate - usage.demand_per_s)

    def _group_asks(self) -> dict[str, tuple[tuple[str, float, float], ...]]:
        groups: dict[str, list[tuple[str, float, float]]] = {}
        for name in self._pick_accounts():
            usage = self._usages[name]
            wanted = max(0.0, usage.demand_per_s * HEADROOM - usage.floor_per_s)
            allocator = choose_allocator(name, self._entries)
            groups.setdefault(allocator, []).append((name, usage.held_per_s, wanted))
        return {allocator: tuple(accounts) for allocator, accounts in groups.items()}

    def _pick_accounts(self) -> Iterable[str]:
        """Return the accounts in use, and a few of the others in turn."""
        active = [n for n, u in self._usages.items() if u.demand_per_s > _ACTIVE_PER_S]
        idle = [n for n in self._usages if n not in set(active)]
        if not idle:
            return active
        start = self._idle_cursor % len(idle)
        self._idle_cursor += IDLE_ACCOUNTS_PER_ROUND
        return active + (idle[start:] + idle[:start])[:IDLE_ACCOUNTS_PER_ROUND]

    def _answer_one(
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

    def _take_shares(self, shares: Shares) -> None:
        with self._lock:
            for name, held_per_s in shares.accounts:
                usage = self._usages.get(name)
                if usage is not None:
                    usage.held_per_s = held_per_s
                    self._resize(usage)


def held_shares(keeper: ShareKeeper) -> Mapping[str, float]:
    """Return what an entry may use of each account's limit a second, for tests and measures."""
    return {name: u.floor_per_s + u.held_per_s for name, u in keeper._usages.items()}
