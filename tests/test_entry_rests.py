"""Check that an entry gives upstreams the rest that their sidecars ask for.

Seen, by reading: a sidecar whose queue is full says when there will be room, and entries went on
sending it requests until its next beat.
How: the time went to the caller of that one request and nowhere else.
Cause: the same as at gateways, which send to upstreams by themselves: what an upstream says of
itself in a refusal ended with the try.
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


def _rest(views: list[UpstreamView], until_s: Mapping[int, float], priority: str) -> None:
    for idx, at_s in until_s.items():
        views[idx].note_rest(priority, at_s)


def _usable(views: list[UpstreamView], priority: str, now_s: float = 0.0) -> list[int]:
    return [views.index(v) for v in select_usable(views, now_s, priority)]


def test_a_resting_upstream_gets_nothing_as_urgent_or_less() -> None:
    views = make_views(3)
    _rest(views, {0: 5.0}, "normal")
    assert _usable(views, "urgent") == [0, 1, 2]
    assert _usable(views, "normal") == _usable(views, "background") == [1, 2]
    assert _usable(views, "normal", now_s=5.0) == [0, 1, 2]


def test_a_rest_binds_where_all_rest_or_the_others_are_out() -> None:
    views = make_views(3)
    _rest(views, {0: 5.0, 1: 3.0, 2: 4.0}, "urgent")
    assert _usable(views, "background") == []
    views = make_views(3)
    _rest(views, {0: 5.0}, "urgent")
    for view in views[1:]:
        view.note_silence()
    assert _usable(views, "normal") == [1, 2]


def test_a_new_incarnation_has_asked_for_no_rest() -> None:
    views = make_views(1)
    _rest(views, {0: 5.0}, "urgent")
    views[0].mark_leaving(False, 7)
    assert _usable(views, "normal") == [0]


def test_a_full_queue_asks_for_rest_and_a_short_deadline_does_not() -> None:
    gate = Gate(GateLimits(slots=1, urgent_extra=0, queue_limit=0), read_clock)
    gate.acquire("normal", read_clock() + 60.0).unwrap()
    full = gate.acquire("normal", read_clock() + 60.0).unwrap_err()
    assert full.rest_ms == full.retry_after_ms
    late = gate.acquire("normal", read_clock() - 1.0).unwrap_err()
    assert late.rest_ms is None


@pytest.mark.parametrize("rest_ms", [None, 0, 250])
def test_a_rest_goes_from_sidecar_to_entry(rest_ms: int | None) -> None:
    failure = Failure(
        Reason.QUEUE_FULL, NOT_RUN, "full", retry_after_ms=100, may_retry=True, rest_ms=rest_ms
    )
    response = make_refusal(failure, request_id="r")
    read = read_refusal(response.headers, response.body)
    assert read is not None and read.rest_ms == rest_ms


@pytest.mark.parametrize("value", ["-1", "nan", "", "soon", "1.5"])
def test_an_unusable_rest_is_none(value: str) -> None:
    failure = Failure(Reason.QUEUE_FULL, NOT_RUN, "full", rest_ms=1)
    headers = {**make_refusal(failure, request_id="r").headers, hdr.REST_MS: value}
    read = read_refusal(headers, b"")
    assert read is not None and read.rest_ms is None


def test_the_pool_names_the_first_rest_to_end() -> None:
    pool = Pool("e", "cmb-a", lambda: 10.0, subset_size=3, peer_limit=99)
    views = make_views(3)
    pool._views = {v.upstream.name: v for v in views}
    pool._subsets = {"desk": tuple(pool._views)}
    assert pool.rest_left_ms("desk", "normal") == 0
    _rest(views, {0: 12.0, 1: 11.5, 2: 13.0}, "normal")
    assert pool.rest_left_ms("desk", "normal") == 1500
    assert pool.rest_left_ms("desk", "urgent") == 0
