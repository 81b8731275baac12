"""Enforce request rate limits set by upstreams across all gateways.

A limit applies to the sum over all gateways and may be lower than their number. One gateway per
upstream, its allocator, therefore grants a token for each request, and no gateway sends a request
to a limited upstream without a token. The limit holds regardless of what gateways know of each
other, and a gateway that cannot reach the allocator sends nothing to the upstream. Requests do not
wait for the allocator alone: without a token they go to another upstream or wait in the ordinary
queue while tokens are requested in the background.

The allocator is in the upstream's own hall, where communication between gateways is most reliable.
A hall that is disconnected from the upstream grants nothing.
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

TOKEN_LIFETIME_S = 1.0
"""Lifetime of a token. Accumulated unused tokens would allow bursts above the rate."""
BURST_S = 0.5
"""Capacity of the token bucket, in seconds of its rate plus one token, for simultaneous requests
for tokens. Together with `TOKEN_LIFETIME_S`, at most 5.5 * rate + 1 tokens are used in 4 s; the
limit allows 6 * rate + 5."""
MIN_RATE_PER_S = 0.25
"""Lower bound of the enforced rate. The end of a limit is only learned from an answer, so requests
must not stop entirely."""
GRANT_DELAY_S = 1.5
"""Delay after startup before a gateway grants tokens; it may not yet know the current allocator."""
TOKEN_REQUESTS_PER_S = 40.0
"""Rate of token requests per upstream, shared by all gateways, so that the load of an allocator
does not grow with their number."""
MIN_REQUEST_INTERVAL_S = 0.1
UNRESPONSIVE_S = 0.5
"""Time without an answer after which the next allocator in order is used."""
TOKEN_REQUEST_LIFETIME_S = 0.1
"""Lifetime of a token request: a few round trips to another hall, and the longest wait of a request
that lacks only a token. A token granted later would go unused."""
MAX_REQUESTED_TOKENS = 4
"""Most tokens that a gateway requests at a time, as many as it can use within their lifetime."""
STEP_INTERVAL_S = 0.05
MIN_STEP_INTERVAL_S = 0.01

_LOG = logging.getLogger(__name__)

Address = tuple[str, int]


@dataclass(frozen=True)
class Peer:
    """Describe another gateway; `is_responsive` is set if it has sent a message recently."""

    name: str
    hall: str
    address: Address
    is_responsive: bool


@dataclass
class _PendingRequest:
    wanted: int
    expires_at_s: float


@dataclass
class _Allocation:
    """Hold the token bucket of one upstream at its allocator; it is empty at first."""

    rate_per_s: float
    filled_at_s: float
    tokens: float = 0.0
    # By gateway name; the gateway that has waited longest for a token is first.
    pending: dict[str, _PendingRequest] = field(default_factory=dict)

    def fill(self, rate_per_s: float, now_s: float) -> None:
        """Add the tokens accrued at the previous rate and set the rate."""
        self.tokens += (now_s - self.filled_at_s) * self.rate_per_s
        self.rate_per_s, self.filled_at_s = rate_per_s, now_s
        self.tokens = min(self.tokens, 1.0 + BURST_S * rate_per_s)

    def grant(self, now_s: float) -> dict[str, int]:
        """Grant tokens round-robin and return their number per gateway."""
        granted: dict[str, int] = {}
        self.pending = {n: a for n, a in self.pending.items() if now_s <= a.expires_at_s}
        while self.tokens >= 1.0 and self.pending:
            name = next(iter(self.pending))
            request = self.pending.pop(name)
            self.tokens -= 1.0
            granted[name] = granted.get(name, 0) + 1
            request.wanted -= 1
            if request.wanted:
                self.pending[name] = request
        return granted


@dataclass
class _LimitState:
    """Hold the limit of one upstream with the tokens that this gateway has and requests."""

    hall: str
    rate_per_s: float
    # Expiry time of each token.
    tokens: list[float] = field(default_factory=list)
    wanted: int = 0
    requested_at_s: float = float("-inf")
    sent_at_s: float = float("-inf")
    # Time of the first unanswered request to the current allocator, and the number of allocators
    # skipped for not answering.
    unanswered_since_s: float | None = None
    skipped_allocators: int = 0


class LimitTokens:
    """Request, use and grant the tokens of upstreams with a rate limit."""

    def __init__(
        self,
        name: str,
        hall: str,
        clock: Callable[[], float],
        list_peers: Callable[[], list[Peer]],
        send: Callable[[PeerMessage, Address], None],
        on_tokens: Callable[[], None],
        read_sent_at_s: Callable[[], float] | None = None,
    ) -> None:
        """Initialize; `on_tokens` is called soon after tokens have been received.

        `read_sent_at_s` returns the earliest time at which a message handled now may have been
        sent, by default the current time.
        """
        self._name = name
        self._hall = hall
        self._clock = clock
        self._list_peers = list_peers
        self._send = send
        self._on_tokens = on_tokens
        self._read_sent_at_s = read_sent_at_s or clock
        self._grants_from_s = clock() + GRANT_DELAY_S
        self._limits: dict[str, _LimitState] = {}
        self._allocations: dict[str, _Allocation] = {}
        self._addresses: dict[str, Address] = {}
        self._changed = asyncio.Event()

    def record_limit(self, incarnation: str, hall: str, rate_per_s: float | None) -> None:
        """Update the limit of an upstream; None removes it."""
        if rate_per_s is None:
            self._limits.pop(incarnation, None)
            self._allocations.pop(incarnation, None)
            return
        limit = self._limits.setdefault(incarnation, _LimitState(hall, rate_per_s))
        limit.rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._changed.set()

    def may_send(self, incarnation: str) -> bool:
        """Return whether an upstream has no limit or a token for it is available."""
        limit = self._limits.get(incarnation)
        if limit is None:
            return True
        now_s = self._clock()
        limit.tokens = [expires_at_s for expires_at_s in limit.tokens if expires_at_s > now_s]
        return bool(limit.tokens)

    def consume_token(self, incarnation: str) -> None:
        """Consume a token if the upstream has a limit."""
        limit = self._limits.get(incarnation)
        if limit is not None and limit.tokens:
            limit.tokens.pop(0)

    def request_token(self, incarnation: str) -> bool:
        """Request a token, perhaps granted at once; return whether the allocator responds."""
        limit, now_s = self._limits[incarnation], self._clock()
        if now_s - limit.requested_at_s > TOKEN_REQUEST_LIFETIME_S:
            # The requests that needed the earlier tokens have stopped waiting.
            limit.wanted = 0
        limit.requested_at_s = now_s
        limit.wanted = min(MAX_REQUESTED_TOKENS, limit.wanted + 1)
        self.step()
        return not self._is_unresponsive(limit)

    async def run(self) -> None:
        """Request and grant tokens periodically while any limit exists; never returns."""
        while True:
            if not self._limits:
                await self._changed.wait()
            await wait_set(self._changed, STEP_INTERVAL_S)
            self._changed.clear()
            self.step()
            await asyncio.sleep(MIN_STEP_INTERVAL_S)

    def step(self) -> None:
        """Send pending token requests and grant available tokens."""
        now_s = self._clock()
        peers = self._list_peers()
        interval_s = _request_interval_s(len(peers))
        requests: dict[str, dict[str, int]] = {}
        for incarnation, limit in self._limits.items():
            allocator = self._choose_allocator(incarnation, limit, peers)
            if allocator != self._name:
                self._allocations.pop(incarnation, None)
            if allocator == self._name:
                self._add_request(incarnation, self._name, limit.wanted)
                limit.wanted, limit.unanswered_since_s = 0, None
            elif limit.wanted and now_s - limit.sent_at_s >= interval_s:
                requests.setdefault(allocator, {})[incarnation] = limit.wanted
                limit.wanted, limit.sent_at_s = 0, now_s
                limit.unanswered_since_s = limit.unanswered_since_s or now_s
        addresses = {peer.name: peer.address for peer in peers}
        for allocator, wanted in requests.items():
            self._send(TokenRequest(self._name, wanted), addresses[allocator])
        self._grant({})

    def handle_token_request(self, request: TokenRequest, address: Address) -> None:
        """Handle a token request for the upstreams that this gateway allocates."""
        self._addresses[request.sender] = address
        peers = self._list_peers()
        acknowledged: dict[str, int] = {}
        for incarnation, wanted in request.wanted.items():
            limit = self._limits.get(incarnation)
            if limit is None or self._find_allocator(incarnation, limit, peers) != self._name:
                continue
            self._add_request(incarnation, request.sender, wanted)
            acknowledged[incarnation] = 0
        if acknowledged:
            self._grant({request.sender: acknowledged})

    def handle_token_grant(self, grant: TokenGrant) -> None:
        """Store granted tokens; a grant of 0 acknowledges a request while none is available."""
        self._store_tokens(grant, self._read_sent_at_s())

    def _store_tokens(self, grant: TokenGrant, granted_at_s: float) -> None:
        expires_at_s = granted_at_s + TOKEN_LIFETIME_S
        for incarnation, tokens in grant.tokens.items():
            limit = self._limits.get(incarnation)
            if limit is not None:
                limit.unanswered_since_s = None
                limit.tokens += [expires_at_s] * min(tokens, MAX_REQUESTED_TOKENS)
        asyncio.get_running_loop().call_soon(self._on_tokens)

    def _is_unresponsive(self, limit: _LimitState) -> bool:
        since_s = limit.unanswered_since_s
        return since_s is not None and self._clock() - since_s > UNRESPONSIVE_S

    def _choose_allocator(self, incarnation: str, limit: _LimitState, peers: list[Peer]) -> str:
        """Return the gateway to request tokens from.

        Gateways of other halls do not know which gateways of the hall can reach each other, so
        they skip allocators that do not answer.
        """
        order = self._rank_allocators(incarnation, limit.hall, peers)
        if self._name in order:
            return self._find_allocator(incarnation, limit, peers)
        if self._is_unresponsive(limit):
            limit.skipped_allocators += 1
            limit.unanswered_since_s = None
        return order[limit.skipped_allocators % len(order)]

    def _find_allocator(self, incarnation: str, limit: _LimitState, peers: list[Peer]) -> str:
        """Return the allocator as seen by the candidates: the first one heard from recently."""
        responsive = {peer.name for peer in peers if peer.is_responsive} | {self._name}
        order = self._rank_allocators(incarnation, limit.hall, peers)
        return next((name for name in order if name in responsive), "")

    def _rank_allocators(self, incarnation: str, hall: str, peers: list[Peer]) -> list[str]:
        """Return the candidate allocators of an upstream in order of preference.

        They are all in the same hall, also if the upstream's own hall has no gateway, because halls
        may be disconnected from each other.
        """
        halls = {self._name: self._hall, **{peer.name: peer.hall for peer in peers}}
        if hall not in halls.values():
            hall = max(halls.values(), key=lambda other: score(incarnation, other))
        names = [name for name, own_hall in halls.items() if own_hall == hall]
        return sorted(names, key=lambda name: score(incarnation, name), reverse=True)

    def _add_request(self, incarnation: str, requester: str, wanted: int) -> None:
        now_s = self._clock()
        allocation = self._allocations.get(incarnation)
        if allocation is None:
            rate_per_s = self._limits[incarnation].rate_per_s
            begins_at_s = max(now_s, self._grants_from_s)
            allocation = self._allocations[incarnation] = _Allocation(rate_per_s, begins_at_s)
            log_event(_LOG, "limit_allocated", incarnation=incarnation, rate_per_s=rate_per_s)
        if wanted > 0:
            pending_request = allocation.pending.setdefault(requester, _PendingRequest(0, now_s))
            pending_request.wanted = min(MAX_REQUESTED_TOKENS, wanted)
            pending_request.expires_at_s = now_s + TOKEN_REQUEST_LIFETIME_S

    def _grant(self, answers: dict[str, dict[str, int]]) -> None:
        """Grant available tokens and send them together with the pending `answers`."""
        now_s = self._clock()
        for incarnation, allocation in self._allocations.items():
            if now_s < self._grants_from_s:
                continue
            allocation.fill(self._limits[incarnation].rate_per_s, now_s)
            for name, tokens in allocation.grant(now_s).items():
                answers.setdefault(name, {})[incarnation] = tokens
        own = answers.pop(self._name, None)
        for name, tokens_of in answers.items():
            self._send(TokenGrant(tokens_of), self._addresses[name])
        if own:
            self._store_tokens(TokenGrant(own), now_s)


def _request_interval_s(peers: int) -> float:
    return max(MIN_REQUEST_INTERVAL_S, peers / TOKEN_REQUESTS_PER_S)
