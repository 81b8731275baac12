"""Let requests of one service through to its upstreams, or have them wait or come back.

An upstream takes as many requests at once as it has slots; what all gateways have in hand there
is known from their reports. Beyond that a request waits a short time at its gateway, where urgent
ones and callers that come back go first, and is then refused with the time after which a place
is expected. It waits as long as it can still be served in time, judging by how long upstreams took
of late until their answers began; where the wait ahead is longer, it is refused at once.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from dalehollow.gateway.health import GroupHealth
from dalehollow.gateway.limit_tokens import ASK_LIFE_S, MAX_WANTED
from dalehollow.gateway.upstream import Upstream
from dalehollow.gateway.upstreams import UpstreamSet

BEGIN_WEIGHT = 0.1
"""Weight of the newest of the times until answers began: the last ten of them count most."""
RETURN_PATIENCE_S = 1.0
"""A caller that was refused once waits so long: callers of streams leave after two seconds, and a
first piece under full load takes up to one."""
RETURN_LEFT_SHARE = 0.96
"""A request with less than this share of the longest time left seen on its route has come back."""
PRIORITY_HEAD_START_S = 0.025
"""A level of priority counts as much as having come so much earlier: urgent requests go first,
yet under steady overload none starves."""
RETURN_HEAD_START_S = 0.5
RETRY_AFTER_MIN_S = 0.25
RETRY_AFTER_MAX_S = 5.0
LEFT_SHARE = 0.33
"""Callers honour a time to come back up to a third of what they have left."""
RETURN_RATE_SHARE = 0.5
"""Of the places that become free, this share is promised to callers told to come back."""
REST_SPREAD_S = 0.5
"""Returns after a rest are spread over this, so that they do not bring on the next one."""
PROBE_INTERVAL_S = 0.25
"""A broken group is offered one request so often from each gateway, to learn that it opened."""
ASK_AGAIN_S = 2.0
"""While other groups of a service serve, a broken one that nobody was refused by for so long gets
one request from a gateway: the list tells its opening, and this makes up for a lost report."""
RATE_WEIGHT = 0.1


@dataclass(frozen=True)
class Turn:
    """Hold what decides a request's turn.

    `run_s` is how long its answer is expected to take at the present pace, 0 if unknown.
    """

    route: str
    priority: int
    objective_s: float
    left_s: float
    caller_left_s: float
    run_s: float = 0.0


@dataclass(frozen=True)
class NoPlace:
    """Hold why no place was found and when to come back."""

    reason: str
    retry_after_s: float


@dataclass
class _Waiter:
    order_s: float
    turn: Turn
    tried: Collection[str]
    granted: asyncio.Future[Upstream | NoPlace]


@dataclass
class Admission:
    """Hold what waits for one service."""

    service: str
    upstreams: UpstreamSet
    health: GroupHealth
    rng: random.Random
    clock: Callable[[], float]
    waiting: list[_Waiter] = field(default_factory=list)
    _longest_left_s: dict[str, float] = field(default_factory=dict)
    _probed_at_s: float = float("-inf")
    # By group: when a request was last sent there though it was taken to be broken.
    _asked_at_s: dict[str, float] = field(default_factory=dict)
    _promised_until_s: float = 0.0
    _done_interval_s: float = 0.1
    _done_at_s: float = 0.0
    # How long upstreams took of late until their answers began, or were whole where not streamed.
    _begin_s: float = 0.0

    async def take(self, turn: Turn, tried: Collection[str]) -> Upstream | NoPlace:
        """Return an upstream, counted as in hand there, or when to come back."""
        is_return = self._note_left(turn)
        if not self.upstreams.of_service(self.service):
            return NoPlace("no_upstream", self._retry_after_s(turn))
        if turn.run_s > turn.left_s:
            # It would take a place from one that can be served in its time.
            return NoPlace("too_long_now", self._longest_retry_after_s(turn))
        is_broken = self.is_broken()
        if is_broken and not self._may_probe():
            # When it opens cannot be told before it does: a wait would mostly be for nothing.
            return NoPlace("group_broken", self._longest_retry_after_s(turn))
        if not self.waiting or is_broken:
            upstream = self._find(tried, wants_tokens=True)
            if upstream is not None:
                return self._count(upstream)
        candidates = self._list_candidates(tried)
        if not candidates:
            return self._refuse_hopeless(turn)
        patience_s = self._patience_s(turn, is_return)
        if self._expected_wait_s() > patience_s:
            lacks_tokens = self.upstreams.lacks_tokens(candidates, self.clock())
            if not lacks_tokens or len(self.waiting) >= MAX_WANTED:
                return NoPlace("no_place_in_time", self._retry_after_s(turn))
            patience_s = min(patience_s, ASK_LIFE_S)
        return await self._wait(turn, tried, is_return, patience_s)

    def give_back(self, upstream: Upstream) -> None:
        """Count a request as over."""
        upstream.in_hand -= 1
        now_s = self.clock()
        if self._done_at_s:
            interval_s = min(1.0, now_s - self._done_at_s)
            self._done_interval_s += RATE_WEIGHT * (interval_s - self._done_interval_s)
        self._done_at_s = now_s
        self.grant()

    def note_begun(self, begin_s: float) -> None:
        """Take how long an upstream took until its answer began."""
        if not self._begin_s:
            self._begin_s = begin_s
        self._begin_s += BEGIN_WEIGHT * (begin_s - self._begin_s)

    def is_broken(self) -> bool:
        """Return whether no group of the service serves, as far as is known."""
        groups = self.upstreams.groups_of(self.service)
        return bool(groups) and all(map(self.health.is_broken, groups))

    def suggest_return_s(self, turn: Turn) -> float:
        """Return when a refused caller should come back."""
        if self.is_broken():
            return self._longest_retry_after_s(turn)
        return self._retry_after_s(turn)

    def grant(self) -> None:
        """Give places that have become free to those whose turn it is."""
        if not self.waiting or self.is_broken():
            return
        for waiter in sorted(self.waiting, key=lambda w: w.order_s):
            if waiter.granted.done():
                # Its caller has left, and the task that waits will notice.
                continue
            upstream = self._find(waiter.tried)
            if upstream is not None:
                self._end_wait(waiter, self._count(upstream))
            elif not self._list_candidates(waiter.tried):
                self._end_wait(waiter, self._refuse_hopeless(waiter.turn))
            elif not waiter.tried:
                # Where nothing is free for a first try, nothing is for the others.
                return

    def _end_wait(self, waiter: _Waiter, outcome: Upstream | NoPlace) -> None:
        self.waiting.remove(waiter)
        waiter.granted.set_result(outcome)

    def _list_candidates(self, tried: Collection[str]) -> list[Upstream]:
        """Return the upstreams that are left for a request, however long it waits."""
        closed = self._list_closed()
        return self.upstreams.list_candidates(self.service, tried, self.clock(), closed)

    def _refuse_hopeless(self, turn: Turn) -> NoPlace:
        is_resting = self.upstreams.rest_left_s(self.service, self.clock()) > 0
        return NoPlace("all_resting" if is_resting else "all_tried", self._retry_after_s(turn))

    async def _wait(
        self, turn: Turn, tried: Collection[str], is_return: bool, patience_s: float
    ) -> Upstream | NoPlace:
        order_s = self.clock() + turn.priority * PRIORITY_HEAD_START_S
        if is_return:
            order_s -= RETURN_HEAD_START_S
        waiter = _Waiter(order_s, turn, tried, asyncio.get_running_loop().create_future())
        self.waiting.append(waiter)
        try:
            async with asyncio.timeout(patience_s):
                return await waiter.granted
        except TimeoutError:
            return NoPlace("no_place", self._retry_after_s(turn))
        except asyncio.CancelledError:
            if waiter.granted.done() and not waiter.granted.cancelled():
                granted = waiter.granted.result()
                if isinstance(granted, Upstream):
                    self.give_back(granted)
            raise
        finally:
            if waiter in self.waiting:
                self.waiting.remove(waiter)

    def _patience_s(self, turn: Turn, is_return: bool) -> float:
        patience_s = max(0.0, turn.objective_s - self._begin_s)
        if is_return:
            patience_s = RETURN_PATIENCE_S
        return min(patience_s, turn.left_s)

    def _expected_wait_s(self) -> float:
        """Return how long a request that comes now would wait behind the others here."""
        since_done_s = self.clock() - self._done_at_s if self._done_at_s else 0.0
        return (len(self.waiting) + 1) * max(self._done_interval_s, since_done_s)

    def _find(self, tried: Collection[str], *, wants_tokens: bool = False) -> Upstream | None:
        return self.upstreams.choose(
            self.service, tried, self.clock(), self._list_closed(), wants_tokens=wants_tokens
        )

    def _list_closed(self) -> list[str]:
        """Return the broken groups that are not due to be asked again; none if none serves."""
        groups = self.upstreams.groups_of(self.service)
        broken = [g for g in groups if self.health.is_broken(g)]
        if len(broken) == len(groups):
            return []
        now_s = self.clock()
        return [g for g in broken if now_s < self._ask_again_at_s(g)]

    def _ask_again_at_s(self, group_key: str) -> float:
        asked_at_s = self._asked_at_s.get(group_key, float("-inf"))
        pause_s = self.rng.uniform(ASK_AGAIN_S, 2 * ASK_AGAIN_S)
        return max(self.health.refused_at_s[group_key], asked_at_s) + pause_s

    def _count(self, upstream: Upstream) -> Upstream:
        self.upstreams.take(upstream)
        if self.health.is_broken(upstream.listed.group_key):
            self._asked_at_s[upstream.listed.group_key] = self.clock()
        return upstream

    def _note_left(self, turn: Turn) -> bool:
        """Note the time a caller has left, and return whether it has been here before."""
        longest_s = max(turn.caller_left_s, self._longest_left_s.get(turn.route, 0.0))
        self._longest_left_s[turn.route] = longest_s
        return turn.caller_left_s < RETURN_LEFT_SHARE * longest_s

    def _may_probe(self) -> bool:
        now_s = self.clock()
        if now_s - self._probed_at_s < PROBE_INTERVAL_S:
            return False
        self._probed_at_s = now_s
        return True

    def _longest_retry_after_s(self, turn: Turn) -> float:
        return min(RETRY_AFTER_MAX_S, LEFT_SHARE * turn.left_s)

    def _retry_after_s(self, turn: Turn) -> float:
        """Return when a place is expected: after those that were promised one before.

        While all upstreams rest that is when the first rest ends, whether callers wait so long or
        not: what comes sooner is refused for sure.
        """
        now_s = self.clock()
        rest_s = self.upstreams.rest_left_s(self.service, now_s)
        longest_s = max(self._longest_retry_after_s(turn), rest_s and rest_s + REST_SPREAD_S)
        interval_s = self._done_interval_s / RETURN_RATE_SHARE
        self._promised_until_s = max(self._promised_until_s, now_s + rest_s) + interval_s
        wait_s = RETRY_AFTER_MIN_S + self._promised_until_s - now_s
        if wait_s <= longest_s:
            return wait_s
        self._promised_until_s = now_s + longest_s
        return self.rng.uniform(max(rest_s, min(RETRY_AFTER_MIN_S, longest_s)), longest_s)
