"""Keep all gateways together to the limits that upstreams in need name.

A limit is one sum over all gateways, and may be lower than their number. So one gateway, the
allocator of an upstream, grants a token for each request, and nobody sends without one: the sum
holds whatever gateways know of each other, and who hears no allocator sends nothing there. No
request waits for the allocator alone: who has no token goes to another upstream, or waits for a
place like any other, and tokens are asked for beside.

The allocator is of the upstream's own hall, where gateways hear each other best. A hall that is cut
off from the upstream grants nothing.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from dalehollow.gateway.tasks import wait_set
from dalehollow.protocol.reports import PeerMessage, TokenGrant, TokenRequest
from dalehollow.rendezvous import score
from dalehollow.telemetry.logs import log_event

TOKEN_LIFE_S = 1.0
"""A token that is not used within this is void: hoarded ones would come on top of the rate."""
BURST_S = 0.5
"""Tokens gather for so long, for askers that come in groups. With one more and the life of tokens,
5.5 times the rate and one are used in 4 s at most; 6 times and five may be."""
MIN_RATE_PER_S = 0.25
"""A lower limit counts as this: only an answer tells that the upstream needs it no more."""
GRANTS_AFTER_S = 1.5
"""A gateway that has just started grants nothing: it may not have heard yet of who does."""
ASKS_PER_S = 40.0
"""All askers of one upstream share this, so that an allocator's work does not grow with them."""
MIN_ASK_INTERVAL_S = 0.1
UNRESPONSIVE_S = 0.5
"""An allocator that answers no ask for so long is passed over for the next one."""
ASK_LIFE_S = 0.1
"""Some round trips to another hall, and as long as a request waits that lacks a token alone: one is
better kept than granted to who has left."""
MAX_WANTED = 4
"""One asker wants so many tokens at most: what it uses up within their life."""
TICK_S = 0.05
MIN_TICK_S = 0.01

_LOG = logging.getLogger(__name__)

Address = tuple[str, int]


@dataclass(frozen=True)
class Peer:
    """Hold another gateway as far as tokens go; `is_heard` where it was heard of late."""

    name: str
    hall: str
    address: Address
    is_heard: bool


@dataclass
class _Asker:
    wanted: int
    until_s: float


@dataclass
class _Allocation:
    """Hold what an allocator keeps for one upstream; it begins without tokens."""

    rate_per_s: float
    filled_at_s: float
    tokens: float = 0.0
    # By name, who got no token for longest first.
    askers: dict[str, _Asker] = field(default_factory=dict)

    def fill(self, rate_per_s: float, now_s: float) -> None:
        """Add what has gathered, and go on with a rate."""
        self.tokens += (now_s - self.filled_at_s) * self.rate_per_s
        self.rate_per_s, self.filled_at_s = rate_per_s, now_s
        self.tokens = min(self.tokens, 1.0 + BURST_S * rate_per_s)

    def grant(self, now_s: float) -> dict[str, int]:
        """Grant the tokens, one each in turn; return how many each asker gets."""
        granted: dict[str, int] = {}
        self.askers = {n: a for n, a in self.askers.items() if now_s <= a.until_s}
        while self.tokens >= 1.0 and self.askers:
            name = next(iter(self.askers))
            asker = self.askers.pop(name)
            self.tokens -= 1.0
            granted[name] = granted.get(name, 0) + 1
            asker.wanted -= 1
            if asker.wanted:
                self.askers[name] = asker
        return granted


@dataclass
class _Limited:
    """Hold one upstream's limit as a gateway uses it: its tokens, and what it wants."""

    hall: str
    rate_per_s: float
    # Until when each token may be used.
    tokens: list[float] = field(default_factory=list)
    wanted: int = 0
    wanted_at_s: float = float("-inf")
    asked_at_s: float = float("-inf")
    # Since when an allocator has not answered, and how many of those in order were passed over.
    unanswered_since_s: float | None = None
    passed_over: int = 0


class LimitTokens:
    """Hold the limits that are known, this gateway's tokens, and what it grants."""

    def __init__(
        self,
        name: str,
        hall: str,
        clock: Callable[[], float],
        list_peers: Callable[[], list[Peer]],
        send: Callable[[PeerMessage, Address], None],
        on_tokens: Callable[[], None],
    ) -> None:
        """Prepare; `on_tokens` is called soon after tokens have come."""
        self._name = name
        self._hall = hall
        self._clock = clock
        self._list_peers = list_peers
        self._send = send
        self._on_tokens = on_tokens
        self._grants_from_s = clock() + GRANTS_AFTER_S
        self._limited: dict[str, _Limited] = {}
        self._allocations: dict[str, _Allocation] = {}
        self._addresses: dict[str, Address] = {}
        self._changed = asyncio.Event()

    def note_limit(self, incarnation: str, hall: str, rate_per_s: float | None) -> None:
        """Take in an upstream's limit, None where it has none any more."""
        if rate_per_s is None:
            self._limited.pop(incarnation, None)
            self._allocations.pop(incarnation, None)
            return
        limited = self._limited.setdefault(incarnation, _Limited(hall, rate_per_s))
        limited.rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._changed.set()

    def may_send(self, incarnation: str) -> bool:
        """Return whether a request may go to an upstream: it has no limit, or there is a token."""
        limited = self._limited.get(incarnation)
        if limited is None:
            return True
        now_s = self._clock()
        limited.tokens = [until_s for until_s in limited.tokens if until_s > now_s]
        return bool(limited.tokens)

    def spend(self, incarnation: str) -> None:
        """Use a token up, where one is needed."""
        limited = self._limited.get(incarnation)
        if limited is not None and limited.tokens:
            limited.tokens.pop(0)

    def want(self, incarnation: str) -> bool:
        """Ask for a token, which may come at once; return whether the allocator answers."""
        limited, now_s = self._limited[incarnation], self._clock()
        if now_s - limited.wanted_at_s > ASK_LIFE_S:
            # Who wanted some before has left.
            limited.wanted = 0
        limited.wanted_at_s = now_s
        limited.wanted = min(MAX_WANTED, limited.wanted + 1)
        self.step()
        return not self._is_unresponsive(limited)

    async def run(self) -> None:
        """Ask and grant for as long as there are limits, for ever."""
        while True:
            if not self._limited:
                await self._changed.wait()
            await wait_set(self._changed, TICK_S)
            self._changed.clear()
            self.step()
            await asyncio.sleep(MIN_TICK_S)

    def step(self) -> None:
        """Ask for what is wanted, and grant what there is."""
        now_s = self._clock()
        peers = self._list_peers()
        interval_s = _ask_interval_s(len(peers))
        asks: dict[str, dict[str, int]] = {}
        for incarnation, limited in self._limited.items():
            allocator = self._choose_allocator(incarnation, limited, peers)
            if allocator != self._name:
                self._allocations.pop(incarnation, None)
            if allocator == self._name:
                self._take_wanted(incarnation, self._name, limited.wanted)
                limited.wanted, limited.unanswered_since_s = 0, None
            elif limited.wanted and now_s - limited.asked_at_s >= interval_s:
                asks.setdefault(allocator, {})[incarnation] = limited.wanted
                limited.wanted, limited.asked_at_s = 0, now_s
                limited.unanswered_since_s = limited.unanswered_since_s or now_s
        addresses = {peer.name: peer.address for peer in peers}
        for allocator, wanted in asks.items():
            self._send(TokenRequest(self._name, wanted), addresses[allocator])
        self._grant({})

    def take_ask(self, ask: TokenRequest, address: Address) -> None:
        """Take in what another gateway wants, where this one is the allocator, and answer."""
        self._addresses[ask.sender] = address
        peers = self._list_peers()
        heard: dict[str, int] = {}
        for incarnation, wanted in ask.wanted.items():
            limited = self._limited.get(incarnation)
            if limited is None or self._find_allocator(incarnation, limited, peers) != self._name:
                continue
            self._take_wanted(incarnation, ask.sender, wanted)
            heard[incarnation] = 0
        if heard:
            self._grant({ask.sender: heard})

    def take_grant(self, grant: TokenGrant) -> None:
        """Take in tokens of an allocator, or that it has heard and has none now."""
        until_s = self._clock() + TOKEN_LIFE_S
        for incarnation, tokens in grant.tokens.items():
            limited = self._limited.get(incarnation)
            if limited is not None:
                limited.unanswered_since_s = None
                limited.tokens += [until_s] * min(tokens, MAX_WANTED)
        asyncio.get_running_loop().call_soon(self._on_tokens)

    def _is_unresponsive(self, limited: _Limited) -> bool:
        since_s = limited.unanswered_since_s
        return since_s is not None and self._clock() - since_s > UNRESPONSIVE_S

    def _choose_allocator(self, incarnation: str, limited: _Limited, peers: list[Peer]) -> str:
        """Return the gateway to ask; who is of another hall cannot know who hears whom there."""
        order = self._order_allocators(incarnation, limited.hall, peers)
        if self._name in order:
            return self._find_allocator(incarnation, limited, peers)
        if self._is_unresponsive(limited):
            limited.passed_over += 1
            limited.unanswered_since_s = None
        return order[limited.passed_over % len(order)]

    def _find_allocator(self, incarnation: str, limited: _Limited, peers: list[Peer]) -> str:
        """Return the allocator as those who may grant know it: the first that is heard."""
        heard = {peer.name for peer in peers if peer.is_heard} | {self._name}
        order = self._order_allocators(incarnation, limited.hall, peers)
        return next((name for name in order if name in heard), "")

    def _order_allocators(self, incarnation: str, hall: str, peers: list[Peer]) -> list[str]:
        """Return who may grant for an upstream: the gateways of its hall, or of the next in order.

        They are of one hall also where its own has none: halls may not hear each other.
        """
        halls = {self._name: self._hall, **{peer.name: peer.hall for peer in peers}}
        if hall not in halls.values():
            hall = max(halls.values(), key=lambda other: score(incarnation, other))
        names = [name for name, own_hall in halls.items() if own_hall == hall]
        return sorted(names, key=lambda name: score(incarnation, name), reverse=True)

    def _take_wanted(self, incarnation: str, asker: str, wanted: int) -> None:
        now_s = self._clock()
        allocation = self._allocations.get(incarnation)
        if allocation is None:
            rate_per_s = self._limited[incarnation].rate_per_s
            begins_at_s = max(now_s, self._grants_from_s)
            allocation = self._allocations[incarnation] = _Allocation(rate_per_s, begins_at_s)
            log_event(_LOG, "limit_allocated", incarnation=incarnation, rate_per_s=rate_per_s)
        if wanted > 0:
            known = allocation.askers.setdefault(asker, _Asker(0, now_s))
            known.wanted = min(MAX_WANTED, wanted)
            known.until_s = now_s + ASK_LIFE_S

    def _grant(self, answers: dict[str, dict[str, int]]) -> None:
        """Grant what there is, and send it with the answers that are due anyway."""
        now_s = self._clock()
        for incarnation, allocation in self._allocations.items():
            if now_s < self._grants_from_s:
                continue
            allocation.fill(self._limited[incarnation].rate_per_s, now_s)
            for name, tokens in allocation.grant(now_s).items():
                answers.setdefault(name, {})[incarnation] = tokens
        own = answers.pop(self._name, None)
        for name, tokens_of in answers.items():
            self._send(TokenGrant(tokens_of), self._addresses[name])
        if own:
            self.take_grant(TokenGrant(own))


def _ask_interval_s(peers: int) -> float:
    return max(MIN_ASK_INTERVAL_S, peers / ASKS_PER_S)
