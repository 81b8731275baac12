"""Keep what a gateway knows of each upstream, and choose one for a request."""

from __future__ import annotations

import logging
import random
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

from dalehollow.gateway.listed import ListedUpstream
from dalehollow.telemetry.logs import log_event

EJECT_BASE_S = 0.5
EJECT_MAX_S = 4.0
"""Ejections double from the base, which is a few round trips, to a bound after which a server
that came back is still found within the time that a caller waits."""
FAILURE_WEIGHT = 0.2
EJECT_FAILURE_SHARE = 0.5
MIN_SAMPLES = 4
"""An upstream is ejected when half of its last few answers failed; plain services fail up to a
seventh of their requests in ordinary operation, which stays far below."""
MAX_EJECTED_SHARE = 0.34
LOAD_REPORT_LIFE_S = 1.0
"""A load told with an answer says little about others' requests after this."""

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True)
class LoadReport:
    """Hold the load an upstream told with an answer, and what this gateway had there then."""

    running: int
    waiting: int
    slots: int
    own_in_hand: int
    at_s: float


@dataclass
class Upstream:
    """Hold the state of one upstream as this gateway sees it."""

    listed: ListedUpstream
    in_hand: int = 0
    load: LoadReport | None = None
    ejected_until_s: float = 0.0
    _ejections: int = 0
    _failure_share: float = 0.0
    _samples: int = 0

    def expected_load(self, now_s: float) -> float:
        """Return the requests expected there, own and others', for each slot."""
        others = 0.0
        if self.load is not None and now_s - self.load.at_s < LOAD_REPORT_LIFE_S:
            told = self.load.running + self.load.waiting
            others = max(0.0, told - self.load.own_in_hand)
        return (self.in_hand + others) / max(1, self.listed.slots)

    def note_answer(self, *, failed: bool) -> None:
        """Count an answer, or a request that got none."""
        self._samples += 1
        self._failure_share += FAILURE_WEIGHT * (failed - self._failure_share)
        if not failed:
            self._ejections = 0

    def is_failing(self) -> bool:
        """Return whether too many of the last requests failed."""
        return self._samples >= MIN_SAMPLES and self._failure_share > EJECT_FAILURE_SHARE

    def eject(self, now_s: float) -> None:
        """Keep requests away for a while, longer each time."""
        pause_s = min(EJECT_MAX_S, EJECT_BASE_S * 2**self._ejections)
        self._ejections += 1
        self.ejected_until_s = now_s + pause_s
        # Judge it anew by what it does after the pause.
        self._failure_share, self._samples = 0.0, 0


@dataclass
class UpstreamSet:
    """Hold all upstreams by incarnation; those that leave get no new request."""

    rng: random.Random
    _known: dict[str, Upstream] = field(default_factory=dict)
    _by_service: dict[str, dict[str, Upstream]] = field(default_factory=dict)

    def __iter__(self) -> Iterator[Upstream]:
        """Go through all upstreams."""
        return iter(self._known.values())

    def put(self, listed: ListedUpstream) -> None:
        """Add an upstream, or take what is newly said of it."""
        known = self._known.get(listed.incarnation)
        if known is None:
            known = Upstream(listed)
            self._known[listed.incarnation] = known
            log_event(_LOG, "upstream_up", incarnation=listed.incarnation, service=listed.service)
        elif listed.is_leaving and not known.listed.is_leaving:
            log_event(_LOG, "upstream_leaving", incarnation=listed.incarnation)
        if known.listed.service != listed.service:
            self._by_service.get(known.listed.service, {}).pop(listed.incarnation, None)
        known.listed = listed
        self._by_service.setdefault(listed.service, {})[listed.incarnation] = known

    def remove(self, incarnation: str) -> None:
        """Forget an upstream that is gone."""
        known = self._known.pop(incarnation, None)
        if known is not None:
            self._by_service[known.listed.service].pop(incarnation, None)
            log_event(_LOG, "upstream_gone", incarnation=incarnation)

    def of_service(self, service: str) -> list[Upstream]:
        """Return a service's upstreams that may get new requests."""
        return [u for u in self._by_service.get(service, {}).values() if not u.listed.is_leaving]

    def choose(self, service: str, tried: Collection[str], now_s: float) -> Upstream | None:
        """Choose the upstream that is expected to be least busy, or None where none is left."""
        staying = [u for u in self.of_service(service) if u.listed.incarnation not in tried]
        if not staying:
            return None
        sound = [u for u in staying if u.ejected_until_s <= now_s]
        candidates = sound or staying
        return min(candidates, key=lambda u: (u.expected_load(now_s), self.rng.random()))

    def note_failure(self, upstream: Upstream, now_s: float, *, is_unreachable: bool) -> None:
        """Count a failure, and eject the upstream where that is due and leaves most in."""
        upstream.note_answer(failed=True)
        if not (is_unreachable or upstream.is_failing()):
            return
        peers = self.of_service(upstream.listed.service)
        ejected = sum(1 for u in peers if u.ejected_until_s > now_s)
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
