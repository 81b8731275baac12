"""Keep the listed upstreams and select one for each request."""

from __future__ import annotations

import logging
import random
from collections import Counter
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

from dalehollow.gateway.limit_tokens import LimitTokens
from dalehollow.gateway.listed import ListedUpstream
from dalehollow.gateway.upstream import Move, MoveReason, ReportedState, Upstream
from dalehollow.telemetry.logs import log_event

MAX_EJECTED_SHARE = 0.34
REMOTE_HALL_SLOTS = 2.0
"""Number of additional free slots required to choose an upstream of another hall. Its reported load
is older than that of the local hall; without this, one in four such requests found no slot."""
MAX_REPORT_TRANSIT_S = 0.1
"""Upper bound of the usual transit time of a report."""
MAX_UNLISTED_STATES = 1_000
"""Number of unlisted upstreams whose reported state is kept, because an expired list entry may
reappear and does not reset that state."""

_LOG = logging.getLogger(__name__)


@dataclass
class UpstreamSet:
    """Hold all upstreams by incarnation; upstreams that are leaving get no new requests."""

    rng: random.Random
    hall: str = ""
    # Enforces rate limits across gateways; None if there are no other gateways.
    tokens: LimitTokens | None = None
    _known: dict[str, Upstream] = field(default_factory=dict)
    _by_service: dict[str, dict[str, Upstream]] = field(default_factory=dict)
    # By key of the rank group, or by service for upstreams without a group.
    _by_group: dict[str, dict[str, Upstream]] = field(default_factory=dict)
    _slow_ranks: dict[str, frozenset[int]] = field(default_factory=dict)
    # Includes upstreams that are not listed yet, because reports may arrive before the list.
    _others_in_flight: Counter[str] = field(default_factory=Counter)
    _reported_states: dict[str, ReportedState] = field(default_factory=dict)

    def __iter__(self) -> Iterator[Upstream]:
        """Iterate over all upstreams."""
        return iter(self._known.values())

    def put(self, listed: ListedUpstream) -> None:
        """Add an upstream or update its list entry."""
        known = self._known.get(listed.incarnation)
        if known is not None and listed.started_at_ms == known.listed.started_at_ms:
            listed = known.listed.replace_with(listed)
        if known is not None and listed.started_at_ms < known.listed.started_at_ms:
            return
        if known is not None and listed.started_at_ms > known.listed.started_at_ms:
            self._remove_previous_run(known)
            known = None
        if known is None:
            others_in_flight = self._others_in_flight[listed.incarnation]
            known = Upstream(
                listed, self._find_reported_state(listed), others_in_flight=others_in_flight
            )
            self._forward_limit(known)
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

    def _find_reported_state(self, listed: ListedUpstream) -> ReportedState:
        """Return the state that this run of an upstream reported, also before its entry expired."""
        state = self._reported_states.get(listed.incarnation)
        if state is None or state.started_at_ms != listed.started_at_ms:
            state = self._reported_states[listed.incarnation] = ReportedState(listed.started_at_ms)
        return state

    def record_limit(self, upstream: Upstream, limit_per_s: float | None, at_s: float) -> None:
        """Record the rate limit set by an answer, None if the answer sets none."""
        state = upstream.reported_state
        if limit_per_s != state.limit_per_s:
            incarnation = upstream.listed.incarnation
            log_event(_LOG, "upstream_limit", incarnation=incarnation, limit_per_s=limit_per_s)
            state.limit_per_s = limit_per_s
            self._forward_limit(upstream)
        state.limit_reported_at_s = at_s

    def record_reported_limit(
        self, incarnation: str, limit_per_s: float | None, at_s: float
    ) -> None:
        """Record a rate limit reported by another gateway if it is newer than the known one.

        The reported age does not include the transit time, so the limit must be newer by more
        than that.
        """
        known = self._known.get(incarnation)
        if (
            known is not None
            and at_s > known.reported_state.limit_reported_at_s + MAX_REPORT_TRANSIT_S
        ):
            self.record_limit(known, limit_per_s, at_s)

    def _forward_limit(self, upstream: Upstream) -> None:
        if self.tokens is not None:
            listed = upstream.listed
            self.tokens.record_limit(
                listed.incarnation, listed.hall, upstream.reported_state.limit_per_s
            )

    def _remove_previous_run(self, upstream: Upstream) -> None:
        """Remove the previous run of a restarted upstream, whose requests will get no answer."""
        log_event(
            _LOG,
            "upstream_restarted",
            incarnation=upstream.listed.incarnation,
            in_hand=upstream.in_flight,
            moved=len(upstream.moves),
        )
        self.remove(upstream.listed.incarnation)
        for move in upstream.moves:
            move.request(MoveReason.RESTARTED)

    def find(self, incarnation: str) -> ListedUpstream | None:
        """Return the latest list entry of an upstream."""
        known = self._known.get(incarnation)
        return known.listed if known is not None else None

    def remove(self, incarnation: str) -> None:
        """Remove an upstream that is no longer listed."""
        known = self._known.pop(incarnation, None)
        if known is not None:
            self._drop_indexes(known.listed)
            log_event(_LOG, "upstream_gone", incarnation=incarnation)
            if self.tokens is not None:
                self.tokens.record_limit(incarnation, known.listed.hall, None)
            if len(self._reported_states) > len(self._known) + MAX_UNLISTED_STATES:
                del self._reported_states[
                    next(name for name in self._reported_states if name not in self._known)
                ]

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that are not leaving."""
        return [u for u in self._by_service.get(service, {}).values() if not u.is_leaving()]

    def of_group(self, group_key: str) -> list[Upstream]:
        """Return the upstreams of a rank group that are not leaving."""
        return [u for u in self._by_group.get(group_key, {}).values() if not u.is_leaving()]

    def home_hall(self, group_key: str) -> str:
        """Return the hall with most upstreams of a group; ties are resolved by name."""
        halls = Counter(u.listed.hall for u in self.of_group(group_key))
        return max(sorted(halls), key=halls.__getitem__, default="")

    def groups_of(self, service: str) -> set[str]:
        """Return the keys of the rank groups of a service."""
        return {u.listed.group_key for u in self.of_service(service)}

    def record_untracked(self, incarnation: str, untracked: int, at_s: float) -> None:
        """Record the number of requests that no gateway tracks, as reported by another gateway."""
        known = self._known.get(incarnation)
        if known is not None:
            known.record_untracked(untracked, at_s)

    def record_slow_ranks(self, group_key: str, ranks: Collection[int]) -> None:
        """Record which ranks of a group are slow for reasons other than their load."""
        if frozenset(ranks) != self._slow_ranks.get(group_key, frozenset()):
            log_event(_LOG, "slow_ranks", group=group_key, ranks=",".join(map(str, ranks)))
        self._slow_ranks[group_key] = frozenset(ranks)

    def list_moves(self, group_key: str) -> list[Move]:
        """Return the attempts in flight at the slow ranks of a group."""
        slow = self._slow_ranks.get(group_key, frozenset())
        upstreams = self._by_group.get(group_key, {}).values()
        return [m for u in upstreams if u.listed.group_rank in slow for m in u.moves]

    def adjust_others(self, incarnation: str, change: int) -> None:
        """Adjust the number of requests that other gateways have in flight at an upstream."""
        self._others_in_flight[incarnation] += change
        if not self._others_in_flight[incarnation]:
            del self._others_in_flight[incarnation]
        known = self._known.get(incarnation)
        if known is not None:
            known.others_in_flight += change

    def backoff_left_s(self, service: str, now_s: float) -> float:
        """Return the shortest remaining backoff of a service's upstreams, 0 if one has none."""
        return min((u.backoff_left_s(now_s) for u in self.of_service(service)), default=0.0)

    def service_load(self, service: str, now_s: float) -> float:
        """Return the share of occupied slots at upstreams that accept requests."""
        return _occupied_share([u for u in self.of_service(service) if u.takes_requests(now_s)])

    def group_load(self, group_key: str) -> float:
        """Return the share of occupied slots of a group."""
        return _occupied_share(self.of_group(group_key))

    def mean_batch(self, group_key: str) -> float:
        """Return the mean number of requests in flight per rank of a group."""
        upstreams = self.of_group(group_key)
        return sum(u.known_in_flight() for u in upstreams) / max(1, len(upstreams))

    def list_candidates(
        self,
        service: str,
        tried: Collection[str],
        now_s: float,
        excluded_groups: Collection[str] = (),
    ) -> list[Upstream]:
        """Return the upstreams that may get a request now or once they have a free slot.

        Upstreams of `excluded_groups` are excluded.
        """
        return [
            u
            for u in self.of_service(service)
            if u.takes_requests(now_s)
            and u.listed.incarnation not in tried
            and u.listed.group_key not in excluded_groups
        ]

    def choose(
        self,
        service: str,
        tried: Collection[str],
        now_s: float,
        excluded_groups: Collection[str] = (),
        *,
        requests_tokens: bool = False,
    ) -> Upstream | None:
        """Choose the least loaded candidate with a free slot, or None if there is none.

        With `requests_tokens` a token is requested if an upstream lacks nothing else.
        """
        eligible = self.list_candidates(service, tried, now_s, excluded_groups)
        # Each request to a slow rank slows down its whole group: prefer waiting for another rank.
        eligible = [u for u in eligible if not self._is_slow_rank(u)] or eligible
        # Unlike a backoff, an ejection is based on a guess: if all are ejected, all are eligible.
        not_ejected = [u for u in eligible if u.ejected_until_s <= now_s]
        free = [u for u in not_ejected or eligible if u.load(now_s) < 1.0]
        while free:
            best = min(free, key=lambda u: (self._rank_by_load(u, now_s), self.rng.random()))
            if self._may_send(best):
                return best
            if requests_tokens and self.tokens is not None:
                # If the allocator may not respond, also request a token for the next candidate.
                requests_tokens = not self.tokens.request_token(best.listed.incarnation)
                if self._may_send(best):
                    return best
            free.remove(best)
        return None

    def acquire(self, upstream: Upstream) -> None:
        """Count a request to an upstream as in flight and consume a token."""
        upstream.in_flight += 1
        if self.tokens is not None:
            self.tokens.consume_token(upstream.listed.incarnation)

    def lacks_tokens(self, candidates: Collection[Upstream], now_s: float) -> bool:
        """Return whether a candidate has free slots and lacks only a token."""
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
        """Return the load, increased by `REMOTE_HALL_SLOTS` for upstreams of another hall."""
        distance = 0.0 if upstream.listed.hall == self.hall else REMOTE_HALL_SLOTS
        return upstream.load(now_s) + distance / max(1, upstream.listed.slots)

    def record_failure(self, upstream: Upstream, now_s: float, *, is_unreachable: bool) -> None:
        """Record a failure and eject the upstream if necessary.

        Unless it is unreachable, an upstream is only ejected while most others are eligible.
        """
        upstream.record_answer(failed=True)
        if not (is_unreachable or upstream.is_failing()):
            return
        peers = self.of_service(upstream.listed.service)
        ejected = sum(1 for u in peers if u.ejected_until_s > now_s or u.backoff_left_s(now_s))
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


def _occupied_share(upstreams: Collection[Upstream]) -> float:
    slots = sum(u.listed.slots for u in upstreams)
    return sum(u.known_in_flight() for u in upstreams) / max(1, slots)
