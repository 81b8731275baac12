"""Test that an entry stops sending to an upstream for the backoff that its sidecar requests.

Guards against an entry that keeps sending to a sidecar with a full queue until the next heartbeat.
The refusal says when there will be room, but that time was only returned to the caller of the one
request and not recorded for the upstream. Gateways, which send to upstreams themselves, had the
same fault.
"""

from __future__ import annotations

from collections.abc import Mapping

import pytest

from dalehollow.clock import read_clock
from dalehollow.entry.pool import Pool
from dalehollow.errors import Failure, Reason
from dalehollow.limits.gate import Gate, GateLimits
from dalehollow.membership.view import UpstreamView, select_usable
from dalehollow.protocol import headers as hdr
from dalehollow.verdict import Verdict
from dalehollow.web.refusal import make_refusal, read_refusal
from tests.test_membership import make_views

NOT_RUN = Verdict.NOT_RUN


def _set_backoffs(views: list[UpstreamView], until_s: Mapping[int, float], priority: str) -> None:
    for idx, at_s in until_s.items():
        views[idx].start_backoff(priority, at_s)


def _usable_indices(views: list[UpstreamView], priority: str, now_s: float = 0.0) -> list[int]:
    return [views.index(v) for v in select_usable(views, now_s, priority)]


def test_backoff_applies_to_its_priority_and_lower() -> None:
    views = make_views(3)
    _set_backoffs(views, {0: 5.0}, "normal")
    assert _usable_indices(views, "urgent") == [0, 1, 2]
    assert _usable_indices(views, "normal") == _usable_indices(views, "background") == [1, 2]
    assert _usable_indices(views, "normal", now_s=5.0) == [0, 1, 2]


def test_backoff_applies_even_if_no_other_upstream_is_healthy() -> None:
    views = make_views(3)
    _set_backoffs(views, {0: 5.0, 1: 3.0, 2: 4.0}, "urgent")
    assert _usable_indices(views, "background") == []
    views = make_views(3)
    _set_backoffs(views, {0: 5.0}, "urgent")
    for view in views[1:]:
        view.record_silence()
    assert _usable_indices(views, "normal") == [1, 2]


def test_new_incarnation_has_no_backoff() -> None:
    views = make_views(1)
    _set_backoffs(views, {0: 5.0}, "urgent")
    views[0].mark_leaving(False, 7)
    assert _usable_indices(views, "normal") == [0]


def test_full_queue_requests_backoff_and_expired_deadline_does_not() -> None:
    gate = Gate(GateLimits(slots=1, urgent_extra=0, queue_limit=0), read_clock)
    gate.acquire("normal", read_clock() + 60.0).unwrap()
    full = gate.acquire("normal", read_clock() + 60.0).unwrap_err()
    assert full.backoff_ms == full.retry_after_ms
    late = gate.acquire("normal", read_clock() - 1.0).unwrap_err()
    assert late.backoff_ms is None


@pytest.mark.parametrize("backoff_ms", [None, 0, 250])
def test_backoff_is_transferred_from_sidecar_to_entry(backoff_ms: int | None) -> None:
    failure = Failure(
        Reason.QUEUE_FULL,
        NOT_RUN,
        "full",
        retry_after_ms=100,
        may_retry=True,
        backoff_ms=backoff_ms,
    )
    response = make_refusal(failure, request_id="r")
    read = read_refusal(response.headers, response.body)
    assert read is not None and read.backoff_ms == backoff_ms


@pytest.mark.parametrize("value", ["-1", "nan", "", "soon", "1.5"])
def test_invalid_backoff_header_is_ignored(value: str) -> None:
    failure = Failure(Reason.QUEUE_FULL, NOT_RUN, "full", backoff_ms=1)
    headers = {**make_refusal(failure, request_id="r").headers, hdr.REST_MS: value}
    read = read_refusal(headers, b"")
    assert read is not None and read.backoff_ms is None


def test_pool_returns_the_shortest_remaining_backoff() -> None:
    pool = Pool("e", "cmb-a", lambda: 10.0, subset_size=3, peer_limit=99)
    views = make_views(3)
    pool._views = {v.upstream.name: v for v in views}
    pool._subsets = {"desk": tuple(pool._views)}
    assert pool.backoff_left_ms("desk", "normal") == 0
    _set_backoffs(views, {0: 12.0, 1: 11.5, 2: 13.0}, "normal")
    assert pool.backoff_left_ms("desk", "normal") == 1500
    assert pool.backoff_left_ms("desk", "urgent") == 0
