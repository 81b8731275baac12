"""Keep the upstreams that are listed, and choose one for a request."""

from __future__ import annotations

import logging
import random
from collections import Counter
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

from dalehollow.gateway.limit_tokens import LimitTokens
from dalehollow.gateway.listed import ListedUpstream
from dalehollow.gateway.upstream import Move, MoveReason, Said, Upstream
from dalehollow.telemetry.logs import log_event

MAX_EJECTED_SHARE = 0.34
FAR_SLOTS = 2.0
"""An upstream of another hall must have so many more slots free: what is known of its load is older
than that of the own hall, and of every four requests sent there one found no slot."""
LIMIT_WAY_S = 0.1
"""Longer than a report is on its way as a rule."""
MAX_SAID_GONE = 1_000
"""What so many upstreams said is kept once they are listed no more: an entry that lapsed comes
again, and takes nothing of it back."""

_LOG = logging.getLogger(__name__)


@dataclass
class UpstreamSet:
    """Hold all upstreams by incarnation; those that leave get no new request."""

    rng: random.Random
    hall: str = ""
    # Set where other gateways may be there: what holds all of them to an upstream's limit.
    tokens: LimitTokens | None = None
    _known: dict[str, Upstream] = field(default_factory=dict)
    _by_service: dict[str, dict[str, Upstream]] = field(default_factory=dict)
    # By the key of the rank group, or by service for upstreams that stand alone.
    _by_group: dict[str, dict[str, Upstream]] = field(default_factory=dict)
    _slow_ranks: dict[str, frozenset[int]] = field(default_factory=dict)
    # Kept also of upstreams that are not known yet: reports and lists come on different ways.
    _others_in_hand: Counter[str] = field(default_factory=Counter)
    _said: dict[str, Said] = field(default_factory=dict)

    def __iter__(self) -> Iterator[Upstream]:
        """Go through all upstreams."""
        return iter(self._known.values())

    def put(self, listed: ListedUpstream) -> None:
        """Add an upstream, or take what is newly said of it."""
        known = self._known.get(listed.incarnation)
        if known is not None and listed.started_at_ms == known.listed.started_at_ms:
            listed = known.listed.replace_with(listed)
        if known is not None and listed.started_at_ms < known.listed.started_at_ms:
            return
        if known is not None and listed.started_at_ms > known.listed.started_at_ms:
            self._end_earlier_start(known)
            known = None
        if known is None:
            others_in_hand = self._others_in_hand[listed.incarnation]
            known = Upstream(listed, self._recall(listed), others_in_hand=others_in_hand)
            self._tell_limit(known)
            self._known[listed.incarnation] = known
            log_event(_LOG, "upstream_up", incarnation=listed.incarnation, service=listed.service)
        elif listed.is_leaving and not known.listed.is_leaving:
            log_event(_LOG, "upstream_leaving", incarnation=listed.incarnation, by="list")
        if (known.listed.group_epoch, known.listed.group_is_open) != (
            listed.group_epoch,
            listed.group_is_open,
        ):
            log_event(
                _LOG,
                "group_state",
                incarnation=listed.incarnation,
                rank=listed.group_rank,
                epoch=listed.group_epoch,
                is_open=listed.group_is_open,
            )
        self._drop_indexes(known.listed)
        known.listed = listed
        self._by_service.setdefault(listed.service, {})[listed.incarnation] = known
        self._by_group.setdefault(listed.group_key, {})[listed.incarnation] = known

    def _recall(self, listed: ListedUpstream) -> Said:
        """Return what an upstream said since it started, also before its entry lapsed."""
        said = self._said.get(listed.incarnation)
        if said is None or said.started_at_ms != listed.started_at_ms:
            said = self._said[listed.incarnation] = Said(listed.started_at_ms)
        return said

    def note_limit(self, upstream: Upstream, limit_per_s: float | None, at_s: float) -> None:
        """Take in the limit that an answer of an upstream named, None where it named none."""
        said = upstream.said
        if limit_per_s != said.limit_per_s:
            incarnation = upstream.listed.incarnation
            log_event(_LOG, "upstream_limit", incarnation=incarnation, limit_per_s=limit_per_s)
            said.limit_per_s = limit_per_s
            self._tell_limit(upstream)
        said.limit_told_at_s = at_s

    def note_limit_told(self, incarnation: str, limit_per_s: float | None, at_s: float) -> None:
        """Take in what another gateway knows of an upstream's limit, if that is newer.

        What is told grows younger by its way, so that it must be newer by more than that.
        """
        known = self._known.get(incarnation)
        if known is not None and at_s > known.said.limit_told_at_s + LIMIT_WAY_S:
            self.note_limit(known, limit_per_s, at_s)

    def _tell_limit(self, upstream: Upstream) -> None:
        if self.tokens is not None:
            listed = upstream.listed
            self.tokens.note_limit(listed.incarnation, listed.hall, upstream.said.limit_per_s)

    def _end_earlier_start(self, upstream: Upstream) -> None:
        """Forget all of an upstream that has started again; what ran there can be no answer."""
        log_event(
            _LOG,
            "upstream_restarted",
            incarnation=upstream.listed.incarnation,
            in_hand=upstream.in_hand,
            moved=len(upstream.moves),
        )
        self.remove(upstream.listed.incarnation)
        for move in upstream.moves:
            move.ask(MoveReason.RESTARTED)

    def find(self, incarnation: str) -> ListedUpstream | None:
        """Return what the list last said of an upstream."""
        known = self._known.get(incarnation)
        return known.listed if known is not None else None

    def remove(self, incarnation: str) -> None:
        """Forget an upstream that is gone."""
        known = self._known.pop(incarnation, None)
        if known is not None:
            self._drop_indexes(known.listed)
            log_event(_LOG, "upstream_gone", incarnation=incarnation)
            if self.tokens is not None:
                self.tokens.note_limit(incarnation, known.listed.hall, None)
            if len(self._said) > len(self._known) + MAX_SAID_GONE:
                del self._said[next(name for name in self._said if name not in self._known)]

    def of_service(self, service: str) -> list[Upstream]:
        """Return a service's upstreams that stay."""
        return [u for u in self._by_service.get(service, {}).values() if not u.is_leaving()]

    def of_group(self, group_key: str) -> list[Upstream]:
        """Return a rank group's upstreams that stay."""
        return [u for u in self._by_group.get(group_key, {}).values() if not u.is_leaving()]

    def home_hall(self, group_key: str) -> str:
        """Return the hall with the most of a group's upstreams, the first by name of several."""
        halls = Counter(u.listed.hall for u in self.of_group(group_key))
        return max(sorted(halls), key=halls.__getitem__, default="")

    def groups_of(self, service: str) -> set[str]:
        """Return the keys of the groups that a service's upstreams form."""
        return {u.listed.group_key for u in self.of_service(service)}

    def note_unknown(self, incarnation: str, unknown: int, at_s: float) -> None:
        """Take what another gateway found that nobody has in hand at an upstream."""
        known = self._known.get(incarnation)
        if known is not None:
            known.note_unknown(unknown, at_s)

    def note_slow_ranks(self, group_key: str, ranks: Collection[int]) -> None:
        """Take which ranks of a group are slow for their own reasons."""
        if frozenset(ranks) != self._slow_ranks.get(group_key, frozenset()):
            log_event(_LOG, "slow_ranks", group=group_key, ranks=",".join(map(str, ranks)))
        self._slow_ranks[group_key] = frozenset(ranks)

    def list_moves(self, group_key: str) -> list[Move]:
        """Return the tries in hand at slow ranks of a group."""
        slow = self._slow_ranks.get(group_key, frozenset())
        upstreams = self._by_group.get(group_key, {}).values()
        return [m for u in upstreams if u.listed.group_rank in slow for m in u.moves]

    def add_others(self, incarnation: str, change: int) -> None:
        """Change how many requests other gateways have at an upstream."""
        self._others_in_hand[incarnation] += change
        if not self._others_in_hand[incarnation]:
            del self._others_in_hand[incarnation]
        known = self._known.get(incarnation)
        if known is not None:
            known.others_in_hand += change

    def rest_left_s(self, service: str, now_s: float) -> float:
        """Return how soon a service's first upstream takes requests, 0 where one does now."""
        return min((u.rest_left_s(now_s) for u in self.of_service(service)), default=0.0)

    def load_of(self, service: str, now_s: float) -> float:
        """Return the share that is taken of the slots that a service's requests may get."""
        return _share_taken([u for u in self.of_service(service) if u.takes_requests(now_s)])

    def load_of_group(self, group_key: str) -> float:
        """Return the share of a group's slots that is taken."""
        return _share_taken(self.of_group(group_key))

    def mean_batch(self, group_key: str) -> float:
        """Return the requests that a group's ranks have in hand on average."""
        upstreams = self.of_group(group_key)
        return sum(u.known_in_hand() for u in upstreams) / max(1, len(upstreams))

    def list_candidates(
        self,
        service: str,
        tried: Collection[str],
        now_s: float,
        closed_groups: Collection[str] = (),
    ) -> list[Upstream]:
        """Return the upstreams that may get a request now or once they have a free slot.

        Upstreams of `closed_groups` are left aside.
        """
        return [
            u
            for u in self.of_service(service)
            if u.takes_requests(now_s)
            and u.listed.incarnation not in tried
            and u.listed.group_key not in closed_groups
        ]

    def choose(
        self,
        service: str,
        tried: Collection[str],
        now_s: float,
        closed_groups: Collection[str] = (),
        *,
        requests_tokens: bool = False,
    ) -> Upstream | None:
        """Choose the least busy candidate with a free slot, or None where none has one.

        With `requests_tokens` a token is requested if an upstream lacks nothing else.
        """
        staying = self.list_candidates(service, tried, now_s, closed_groups)
        # A slow rank holds its whole group up by each request that it gets: rather wait.
        staying = [u for u in staying if not self._is_slow_rank(u)] or staying
        # Unlike a rest an ejection is a guess: where all are ejected, all are tried.
        sound = [u for u in staying if u.ejected_until_s <= now_s]
        free = [u for u in sound or staying if u.load(now_s) < 1.0]
        while free:
            best = min(free, key=lambda u: (self._rank_by_load(u, now_s), self.rng.random()))
            if self._may_send(best):
                return best
            if requests_tokens and self.tokens is not None:
                # Where the allocator may not answer, the next best is wanted too.
                requests_tokens = not self.tokens.request_token(best.listed.incarnation)
                if self._may_send(best):
                    return best
            free.remove(best)
        return None

    def take(self, upstream: Upstream) -> None:
        """Count a request that goes to an upstream."""
        upstream.in_hand += 1
        if self.tokens is not None:
            self.tokens.spend(upstream.listed.incarnation)

    def lacks_tokens(self, candidates: Collection[Upstream], now_s: float) -> bool:
        """Return whether some candidate has free slots and only lacks a token."""
        return any(u.load(now_s) < 1.0 and not self._may_send(u) for u in candidates)

    def _may_send(self, upstream: Upstream) -> bool:
        return self.tokens is None or self.tokens.may_send(upstream.listed.incarnation)

    def _is_slow_rank(self, upstream: Upstream) -> bool:
        slow = self._slow_ranks.get(upstream.listed.group_key)
        return slow is not None and upstream.listed.group_rank in slow

    def _drop_indexes(self, listed: ListedUpstream) -> None:
        self._by_service.get(listed.service, {}).pop(listed.incarnation, None)
        self._by_group.get(listed.group_key, {}).pop(listed.incarnation, None)

    def _rank_by_load(self, upstream: Upstream, now_s: float) -> float:
        """Return the load, with `FAR_SLOTS` on top for another hall."""
        distance = 0.0 if upstream.listed.hall == self.hall else FAR_SLOTS
        return upstream.load(now_s) + distance / max(1, upstream.listed.slots)

    def note_failure(self, upstream: Upstream, now_s: float, *, is_unreachable: bool) -> None:
        """Count a failure, and eject the upstream where that is due and leaves most in."""
        upstream.note_answer(failed=True)
        if not (is_unreachable or upstream.is_failing()):
            return
        peers = self.of_service(upstream.listed.service)
        ejected = sum(1 for u in peers if u.ejected_until_s > now_s or u.rest_left_s(now_s))
        if not is_unreachable and ejected + 1 > MAX_EJECTED_SHARE * len(peers):
            return
        upstream.eject(now_s)
        log_event(
            _LOG,
            "upstream_ejected",
            incarnation=upstream.listed.incarnation,
            unreachable=is_unreachable,
            for_s=round(upstream.ejected_until_s - now_s, 2),
            ejected=ejected + 1,
            of=len(peers),
        )


def _share_taken(upstreams: Collection[Upstream]) -> float:
    slots = sum(u.listed.slots for u in upstreams)
    return sum(u.known_in_hand() for u in upstreams) / max(1, slots)
