"""Maintain a view of every upstream that one entry connects to."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Iterable
from dataclasses import asdict

from dalehollow.config.holder import ActiveConfig
from dalehollow.config.model import PRIORITIES, Service, Upstream
from dalehollow.membership import UpstreamView, choose_subset
from dalehollow.membership.view import select_usable
from dalehollow.protocol import HeartbeatReply
from dalehollow.routing import LoadReport, choose

FAR_DISTANCE_MS = 3.0
NEAR_DISTANCE_MS = 0.2
MIN_SUBSET_SIZE = 3
_MS_PER_S = 1000


class Pool:
    """Hold a view for each upstream in this entry's subsets."""

    def __init__(
        self,
        entry: str,
        hall: str,
        clock: Callable[[], float],
        *,
        subset_size: int,
        peer_limit: int,
        heartbeat_timeout_s: float = 0.5,
    ) -> None:
        """Create an empty pool; `clock` returns monotonic seconds.

        Each service gets a subset of `subset_size` upstreams, or fewer where all services
        together would exceed `peer_limit`, but never fewer than `MIN_SUBSET_SIZE`. A heartbeat
        reply is to one sent at most `heartbeat_timeout_s` before.
        """
        self._entry = entry
        self._hall = hall
        self._subset_size = subset_size
        self._peer_limit = peer_limit
        self._clock = clock
        self._heartbeat_timeout_s = heartbeat_timeout_s
        self._rng = random.Random(entry)
        self._views: dict[str, UpstreamView] = {}
        self._subsets: dict[str, tuple[str, ...]] = {}
        self._lock = threading.Lock()

    def apply(self, active: ActiveConfig) -> dict[str, str]:
        """Apply a configuration; return the control addresses of the sidecars to connect to."""
        cfg = active.config
        assert cfg is not None
        share = self._peer_limit // max(1, len(cfg.services))
        size = max(MIN_SUBSET_SIZE, min(self._subset_size, share))
        subsets = {
            service.name: choose_subset(
                self._entry,
                self._hall,
                [cfg.upstreams[name] for name in service.upstreams],
                size,
            )
            for service in cfg.services.values()
        }
        wanted = {u.name: u for subset in subsets.values() for u in subset}
        with self._lock:
            self._views = {name: self._reuse_or_make_view(u) for name, u in wanted.items()}
            self._subsets = {s: tuple(u.name for u in subset) for s, subset in subsets.items()}
        return {u.name: u.control for u in wanted.values() if u.control is not None}

    def pick(
        self, service: Service, tried: Iterable[str], priority: str = PRIORITIES[0]
    ) -> UpstreamView | None:
        """Select a usable upstream that has not been tried, or None if there is none."""
        excluded = set(tried)
        usable = select_usable(self._list_views(service.name), self._clock(), priority)
        open_views = {v.upstream.name: v for v in usable if v.upstream.name not in excluded}
        if not open_views:
            return None
        chosen = choose([v.as_candidate() for v in open_views.values()], self._rng)
        return open_views[chosen.name]

    def backoff_left_ms(self, service: str, priority: str) -> int:
        """Return the shortest remaining backoff of a service's upstreams, 0 if one has none."""
        now_s = self._clock()
        remaining_s = [view.backoff_left_s(priority, now_s) for view in self._list_views(service)]
        return round(min(remaining_s, default=0.0) * _MS_PER_S)

    def _list_views(self, service: str) -> list[UpstreamView]:
        with self._lock:
            return [self._views[name] for name in self._subsets.get(service, ())]

    def find(self, name: str) -> UpstreamView | None:
        """Return the view of an upstream, or None if it is in none of the subsets."""
        with self._lock:
            return self._views.get(name)

    def record_heartbeat(self, name: str, reply: HeartbeatReply) -> None:
        """Update an upstream's load and state from its sidecar's heartbeat reply."""
        view = self.find(name)
        if view is None:
            return
        now_s = self._clock()
        if not view.follow_run(reply.incarnation_ms, now_s - self._heartbeat_timeout_s, now_s):
            return
        report = LoadReport(reply.running, reply.waiting, reply.slots, reply.service_ms)
        view.apply_report(report, now_s)
        view.mark_leaving(reply.is_leaving, reply.incarnation_ms)

    def set_listed_leaving(self, leaving: frozenset[str]) -> None:
        """Set which upstreams the VM list reports as leaving."""
        with self._lock:
            for name, view in self._views.items():
                view.is_listed_leaving = name in leaving

    def dump(self) -> list[dict[str, object]]:
        """Return the state of each upstream view."""
        now_s = self._clock()
        with self._lock:
            views = list(self._views.values())
        return [
            {
                "upstream": view.upstream.name,
                "hall": view.upstream.hall,
                "report": asdict(view.report) if view.report else None,
                "report_age_ms": round((now_s - view.reported_at_s) * 1000)
                if view.report
                else None,
                "in_flight": view.in_flight,
                "is_leaving": view.is_leaving,
                "is_listed_leaving": view.is_listed_leaving,
                "is_silent": view.is_silent,
                "is_ejected": view.is_ejected(now_s),
            }
            for view in views
        ]

    def _reuse_or_make_view(self, upstream: Upstream) -> UpstreamView:
        known = self._views.get(upstream.name)
        if known is not None and known.upstream == upstream:
            return known
        is_near = upstream.hall == self._hall
        return UpstreamView(upstream, is_near, NEAR_DISTANCE_MS if is_near else FAR_DISTANCE_MS)
