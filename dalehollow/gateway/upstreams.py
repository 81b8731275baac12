"""Keep the listed upstreams and select one for each request."""

from __future__ import annotations

import logging
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field

from dalehollow.clock import read_clock
from dalehollow.gateway.limit_tokens import LimitTokens
from dalehollow.gateway.listed import ListedUpstream
from dalehollow.gateway.upstream import Move, MoveReason, ReportedState, Upstream
from dalehollow.protocol.reports import Run
from dalehollow.telemetry.logs import log_event

MAX_EJECTED_SHARE = 0.34
REMOTE_HALL_SLOTS = 2.0
"""Number of additional free slots required to choose an upstream of another hall. Its reported load
is older than that of the local hall; without this, one in four such requests found no slot."""
MAX_REPORT_TRANSIT_S = 0.1
"""Upper bound of the usual transit time of a report."""
MAX_UNLISTED_UPSTREAMS = 1_000
"""Number of unlisted upstreams whose state is kept, because an expired list entry may reappear and
does not reset that state."""
ENDED_RUN_REPORTED_S = 1.0
"""The end of a run is reported for this time at least, a few reports long, since one may be lost.
It is reported for longer while the next run is not listed, to gateways that start meanwhile."""
MAX_REPORTED_RUNS = 64
START_LISTED_WITHIN_S = 6.0
"""Longest time from the start of an upstream until it is listed, while the store is available:
three heartbeats, without which its entry expires, and the delay until all gateways read it."""

_LOG = logging.getLogger(__name__)


@dataclass
class UpstreamSet:
    """Hold all upstreams by incarnation; upstreams that are leaving get no new requests."""

    rng: random.Random
    hall: str = ""
    # Enforces rate limits across gateways; None if there are no other gateways.
    tokens: LimitTokens | None = None
    clock: Callable[[], float] = read_clock
    # Returns for how long the list has been read without an outage of the store.
    read_list_age_s: Callable[[], float] = lambda: 0.0
    _known: dict[str, Upstream] = field(default_factory=dict)
    _by_service: dict[str, dict[str, Upstream]] = field(default_factory=dict)
    # By key of the rank group, or by service for upstreams without a group.
    _by_group: dict[str, dict[str, Upstream]] = field(default_factory=dict)
    _slow_ranks: dict[str, frozenset[int]] = field(default_factory=dict)
    # Includes upstreams that are not listed yet, because reports may arrive before the list.
    _others_in_flight: Counter[str] = field(default_factory=Counter)
    # Upstreams whose current run was detected before it was listed, the latest last.
    _detected: dict[str, None] = field(default_factory=dict)
    # Upstreams whose entry has expired or was removed, by incarnation.
    _unlisted: dict[str, Upstream] = field(default_factory=dict)

    def __iter__(self) -> Iterator[Upstream]:
        """Iterate over all upstreams."""
        return iter(self._known.values())

    def put(self, listed: ListedUpstream) -> None:
        """Add an upstream or update its list entry."""
        known = self._known.get(listed.incarnation)
        if known is None:
            known = self._add(listed)
        elif listed.started_at_ms < known.listed.started_at_ms:
            return
        elif listed.started_at_ms > known.listed.started_at_ms:
            known = self._follow_restart(known, listed)
        else:
            listed = known.listed.replace_with(listed)
            if listed.is_leaving and not known.listed.is_leaving:
                _log_leaving(known)
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
        self._index(known)

    def _add(self, listed: ListedUpstream) -> Upstream:
        """Add an upstream with the state from before its entry expired, if it has not restarted."""
        known = self._unlisted.pop(listed.incarnation, None)
        if known is not None and listed.started_at_ms > known.listed.started_at_ms:
            known = self._follow_restart(known, listed)
        elif known is None or listed.started_at_ms < known.listed.started_at_ms:
            known = _make_run(listed)
        known.others_in_flight = self._others_in_flight[listed.incarnation]
        self._known[listed.incarnation] = known
        self._forward_limit(known)
        log_event(_LOG, "upstream_up", incarnation=listed.incarnation, service=listed.service)
        return known

    def _follow_restart(self, known: Upstream, listed: ListedUpstream) -> Upstream:
        """Return the run with a newly listed start; move the requests of the runs before it.

        A run that was detected before its start was listed keeps its state and its requests.
        """
        is_detected = bool(known.unlisted_runs) and not self._has_outlasted_list(known)
        ended = known.earlier_runs if is_detected else known.list_runs()
        run = known if is_detected else _make_run(listed)
        if not is_detected:
            # Loads observed before are those of the runs before it.
            run.untracked_at_s = self.clock()
        log_event(
            _LOG,
            "upstream_restarted",
            incarnation=listed.incarnation,
            run=known.run_name,
            started_at_ms=listed.started_at_ms,
            was_detected=is_detected,
            in_hand=sum(r.in_flight for r in ended),
            moved=sum(len(r.moves) for r in ended),
            kept=run.in_flight,
        )
        run.others_in_flight = self._others_in_flight[listed.incarnation]
        if known.listed.incarnation in self._known:
            self._drop_indexes(known.listed)
            self._known[listed.incarnation] = run
        run.confirm_run(listed)
        self._forward_limit(run)
        for ended_run in ended:
            for move in list(ended_run.moves):
                move.request(MoveReason.RESTARTED)
        return run

    def _has_outlasted_list(self, run: Upstream) -> bool:
        """Return whether the list would contain the start of a run if it had just begun.

        The port of a busy upstream may refuse a connection too: the run is then the listed one.
        """
        if run.reached_at_s is None:
            return False
        listed_for_s = min(self.clock() - run.reached_at_s, self.read_list_age_s())
        return listed_for_s > START_LISTED_WITHIN_S

    def record_port_closed(self, incarnation: str) -> None:
        """Record that nothing listens on an upstream's port: its current run has ended.

        Connections opened from now on are to another run, whether or not it is listed.
        """
        known = self._known.get(incarnation) or self._unlisted.get(incarnation)
        if known is None or (known.unlisted_runs and known.reached_at_s is None):
            # Unknown, or the next run has not begun yet.
            return
        self._begin_run(known, detected_by="port")

    def record_reported_end(self, incarnation: str, ended: Run, at_s: float) -> None:
        """Record the end of a run that another gateway detected."""
        known = self._known.get(incarnation) or self._unlisted.get(incarnation)
        if known is None or known.run > ended:
            return
        is_listed_elsewhere = ended.started_at_ms > known.listed.started_at_ms
        if is_listed_elsewhere and known.unlisted_runs:
            # The ended run may be the one detected here, whose start is not listed here yet.
            return
        unlisted_runs = 0 if is_listed_elsewhere else ended.unlisted_runs + 1
        if known.reached_at_s is not None and known.reached_at_s > at_s:
            # This gateway reached only the next run, and mistook it for the one that ended.
            self._record_run_end(known, "peer")
            known.renumber_run(unlisted_runs, at_s)
        else:
            self._begin_run(known, detected_by="peer", unlisted_runs=unlisted_runs, ended_at_s=at_s)

    def list_ended_runs(self) -> dict[str, tuple[Run, float]]:
        """Return the ended runs that other gateways may not know of, and when, by incarnation."""
        ended_runs: dict[str, tuple[Run, float]] = {}
        for incarnation in list(self._detected):
            run = self._known.get(incarnation) or self._unlisted.get(incarnation)
            if run is None or run.ended_run is None or not self._is_end_reported(run):
                del self._detected[incarnation]
            else:
                ended_runs[incarnation] = run.ended_run, run.ended_at_s
        return dict(list(ended_runs.items())[-MAX_REPORTED_RUNS:])

    def _is_end_reported(self, run: Upstream) -> bool:
        """Return whether to report the end of the run before this one.

        If the list shows no later start for long enough, the upstream has not restarted.
        """
        ended_for_s = self.clock() - run.ended_at_s
        if ended_for_s < ENDED_RUN_REPORTED_S:
            return True
        listed_for_s = min(ended_for_s, self.read_list_age_s())
        return bool(run.unlisted_runs) and listed_for_s <= START_LISTED_WITHIN_S

    def _begin_run(
        self,
        known: Upstream,
        *,
        detected_by: str,
        unlisted_runs: int = 0,
        ended_at_s: float | None = None,
    ) -> Upstream:
        """Replace a run by the next one, which is not listed yet."""
        self._record_run_end(known, detected_by)
        run = known.begin_run(self.clock(), unlisted_runs, ended_at_s)
        incarnation = known.listed.incarnation
        if incarnation in self._known:
            self._known[incarnation] = run
            self._index(run)
        else:
            self._unlisted[incarnation] = run
        return run

    def _record_run_end(self, known: Upstream, detected_by: str) -> None:
        incarnation = known.listed.incarnation
        self._detected.pop(incarnation, None)
        self._detected[incarnation] = None
        log_event(
            _LOG,
            "upstream_run_ended",
            incarnation=incarnation,
            run=known.run_name,
            detected_by=detected_by,
            in_hand=known.own_in_flight(),
        )

    def record_limit(self, upstream: Upstream, limit_per_s: float | None, at_s: float) -> None:
        """Record the rate limit set by an answer, None if the answer sets none."""
        state, incarnation = upstream.reported_state, upstream.listed.incarnation
        is_changed = limit_per_s != upstream.limit_per_s()
        state.limit_per_s, state.limit_reported_at_s = limit_per_s, at_s
        if not is_changed:
            return
        log_event(
            _LOG,
            "upstream_limit",
            incarnation=incarnation,
            run=upstream.run_name,
            limit_per_s=limit_per_s,
        )
        known = self._known.get(incarnation)
        if known is not None:
            self._forward_limit(known)

    def record_reported_limit(
        self, incarnation: str, limit_per_s: float | None, at_s: float, run: Run | None = None
    ) -> None:
        """Record a rate limit reported by another gateway if it is newer than the known one.

        The reported age does not include the transit time, so the limit must be newer by more
        than that.
        """
        known = self._known.get(incarnation)
        if known is not None and run is not None:
            known = self._find_run(known, run)
        if (
            known is not None
            and at_s > known.reported_state.limit_reported_at_s + MAX_REPORT_TRANSIT_S
        ):
            self.record_limit(known, limit_per_s, at_s)

    def _find_run(self, known: Upstream, reported: Run) -> Upstream | None:
        """Return the run that another gateway reports on, None if it has ended."""
        is_listed_elsewhere = reported.started_at_ms > known.listed.started_at_ms
        if reported > known.run and not (is_listed_elsewhere and known.unlisted_runs):
            unlisted_runs = 0 if is_listed_elsewhere else reported.unlisted_runs
            return self._begin_run(known, detected_by="peer", unlisted_runs=unlisted_runs)
        return next((run for run in reversed(known.list_runs()) if run.run <= reported), None)

    def _forward_limit(self, upstream: Upstream) -> None:
        if self.tokens is not None:
            listed = upstream.listed
            self.tokens.record_limit(listed.incarnation, listed.hall, upstream.limit_per_s())

    def find(self, incarnation: str) -> ListedUpstream | None:
        """Return the latest list entry of an upstream."""
        known = self._known.get(incarnation)
        return known.listed if known is not None else None

    def remove(self, incarnation: str) -> None:
        """Remove an upstream that is no longer listed."""
        known = self._known.pop(incarnation, None)
        if known is None:
            return
        self._drop_indexes(known.listed)
        log_event(_LOG, "upstream_gone", incarnation=incarnation)
        if self.tokens is not None:
            self.tokens.record_limit(incarnation, known.listed.hall, None)
        self._unlisted[incarnation] = known
        if len(self._unlisted) > MAX_UNLISTED_UPSTREAMS:
            del self._unlisted[next(iter(self._unlisted))]

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

    def _index(self, upstream: Upstream) -> None:
        listed = upstream.listed
        self._by_service.setdefault(listed.service, {})[listed.incarnation] = upstream
        self._by_group.setdefault(listed.group_key, {})[listed.incarnation] = upstream

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


def _make_run(listed: ListedUpstream) -> Upstream:
    return Upstream(listed, ReportedState())


def _log_leaving(upstream: Upstream) -> None:
    log_event(
        _LOG,
        "upstream_leaving",
        incarnation=upstream.listed.incarnation,
        run=upstream.run_name,
        by="list",
    )


def _occupied_share(upstreams: Collection[Upstream]) -> float:
    slots = sum(u.listed.slots for u in upstreams)
    return sum(u.known_in_flight() for u in upstreams) / max(1, slots)
