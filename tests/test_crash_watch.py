"""Test which requests are suspected of crashing upstreams and how long they are refused."""

from __future__ import annotations

from dataclasses import replace

import pytest

from dalehollow.aio import CallerRequest
from dalehollow.gateway import crashes as crashes_module
from dalehollow.gateway.admit import Job
from dalehollow.gateway.crashes import CrashWatch, make_fingerprint
from dalehollow.gateway.listed import ListedUpstream
from dalehollow.gateway.table import RequestKind, Route
from dalehollow.gateway.upstream import ReportedState, Upstream
from tests.manual_clock import ManualClock

CRASHING, HARMLESS = b"crashing", b"harmless"
FIRST = ListedUpstream("s0", "desk", "127.0.0.1:9", "hall", 4, False, started_at_ms=1)


def _upstream(number: int = 0, **changes: object) -> Upstream:
    address = f"127.0.0.1:{number + 1}"
    listed = replace(FIRST, incarnation=f"s{number}", address=address, **changes)  # type: ignore[arg-type]
    return Upstream(listed, ReportedState(listed.started_at_ms))


def _restart(upstream: Upstream) -> ListedUpstream:
    listed = upstream.listed
    return replace(listed, started_at_ms=listed.started_at_ms + 1)


class _Desk:
    """Provide a `CrashWatch` with a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.reported = 0
        self.watch = CrashWatch(self.clock, self._note_change)

    def _note_change(self) -> None:
        self.reported += 1

    def crash(self, number: int, *names: bytes) -> None:
        """Crash an upstream while some requests are in flight."""
        upstream = _upstream(number)
        for name in names:
            self.watch.note_broken_attempt(lambda n=name: n, upstream)  # type: ignore[misc]
        self.watch.note_started(_restart(upstream))

    def count(self, name: bytes) -> int:
        suspicion = self.watch.tell().get(name)
        return len(suspicion.crashes) if suspicion is not None else 0

    def refused_s(self, name: bytes) -> float:
        return self.watch.check_request(lambda: name)


def _make_job(target: bytes, account: str, body: bytes) -> Job:
    kind = RequestKind.REPEATABLE
    route = Route("r", "h", "/", kind, (), 9_000, 400, 0, 2, 5, False, False)
    request = CallerRequest(b"POST", target, (), body, 0.0)
    return Job(request, b"r1", route, "desk", account, 5, 0.0, 9.0, 9.0, 1, 0)


def test_a_request_is_known_by_path_account_and_body() -> None:
    name = make_fingerprint(_make_job(b"/a?x=1", "ana", b"b"))
    assert name == make_fingerprint(_make_job(b"/a?x=2", "ana", b"b"))
    others = [(b"/c", "ana", b"b"), (b"/a", "bo", b"b"), (b"/a", "ana", b""), (b"/aa", "na", b"b")]
    assert name not in {make_fingerprint(_make_job(*other)) for other in others}


def test_a_broken_connection_alone_is_no_crash() -> None:
    desk = _Desk()
    for number in range(5):
        desk.watch.note_broken_attempt(lambda: CRASHING, _upstream(number))
    assert desk.count(CRASHING) == 0
    assert desk.refused_s(CRASHING) == 0.0


def test_the_end_of_an_upstream_that_leaves_is_no_crash() -> None:
    desk = _Desk()
    by_list, by_answer = _upstream(1, is_leaving=True), _upstream(2)
    by_answer.said.is_leaving = True
    for upstream in (by_list, by_answer):
        desk.watch.note_broken_attempt(lambda: CRASHING, upstream)
        desk.watch.note_port_closed(upstream.listed)
        desk.watch.note_started(_restart(upstream))
    assert desk.count(CRASHING) == 0


@pytest.mark.parametrize(
    ("changes", "crashes"),
    [
        ({"started_at_ms": 2}, 1),
        ({"incarnation": "new", "started_at_ms": 0}, 1),
        ({"incarnation": "new", "service": "other"}, 0),
        ({"incarnation": "new", "address": "127.0.0.1:99"}, 0),
        ({}, 0),
    ],
)
def test_a_next_start_at_its_place_tells_of_a_crash(
    changes: dict[str, object], crashes: int
) -> None:
    for is_known_before in (False, True):
        desk, upstream = _Desk(), _upstream()
        started = replace(upstream.listed, **changes)  # type: ignore[arg-type]
        if is_known_before:
            desk.watch.note_started(started)
        desk.watch.note_broken_attempt(lambda: CRASHING, upstream)
        if not is_known_before:
            desk.watch.note_started(started)
        assert desk.count(CRASHING) == crashes


def test_only_what_broke_off_with_it_is_suspected() -> None:
    desk, upstream = _Desk(), _upstream()
    desk.watch.note_broken_attempt(lambda: HARMLESS, upstream)
    desk.clock.now_s += 5.0
    desk.watch.note_broken_attempt(lambda: CRASHING, upstream)
    desk.watch.note_port_closed(upstream.listed)
    assert (desk.count(CRASHING), desk.count(HARMLESS)) == (1, 0)


def test_what_broke_off_long_before_is_forgotten() -> None:
    desk, upstream = _Desk(), _upstream()
    desk.watch.note_broken_attempt(lambda: CRASHING, upstream)
    desk.clock.now_s += crashes_module.RESTART_S + 1
    desk.watch.note_broken_attempt(lambda: HARMLESS, _upstream(1))
    desk.watch.note_started(_restart(upstream))
    assert desk.count(CRASHING) == 0


def test_one_crash_counts_once_however_it_shows() -> None:
    desk, other = _Desk(), _Desk()
    upstream = _upstream()
    for watch in (desk.watch, other.watch):
        watch.note_broken_attempt(lambda: CRASHING, upstream)
        watch.note_port_closed(upstream.listed)
        watch.note_started(_restart(upstream))
    for _ in range(3):
        desk.watch.take_told(other.watch.tell())
        other.watch.take_told(desk.watch.tell())
    assert desk.count(CRASHING) == other.count(CRASHING) == 1


def test_crashes_seen_by_several_gateways_add_up_everywhere() -> None:
    desks = [_Desk() for _ in range(4)]
    for number in range(3):
        desks[number].crash(number, CRASHING)
    for sender in desks[:3]:
        for desk in desks:
            desk.watch.take_told(sender.watch.tell())
    assert [desk.count(CRASHING) for desk in desks] == [3] * 4
    assert all(desk.refused_s(CRASHING) > 0 for desk in desks)


def test_an_answer_clears_at_every_gateway() -> None:
    desk, other = _Desk(), _Desk()
    for number in range(2):
        desk.crash(number, CRASHING, HARMLESS)
    other.watch.take_told(desk.watch.tell())
    before = desk.watch.tell()
    for gateway in (desk, other):
        gateway.clock.now_s += 1.0
    desk.watch.note_answered(HARMLESS)
    other.watch.take_told(desk.watch.tell())
    assert other.count(HARMLESS) == 0
    # An outdated report from a third gateway does not restore the cleared suspicion.
    late = {name: replace_ages(suspicion, 1.0) for name, suspicion in before.items()}
    other.watch.take_told(late)
    desk.watch.take_told(late)
    assert (desk.count(HARMLESS), other.count(HARMLESS)) == (0, 0)
    assert (desk.count(CRASHING), other.count(CRASHING)) == (2, 2)


def test_what_many_callers_send_is_not_suspected_for_being_there() -> None:
    """A common request is answered constantly, also between a crash and its detection."""
    desk, other = _Desk(), _Desk()
    for number in range(4):
        upstream = _upstream(number)
        for gateway in (desk, other):
            gateway.watch.note_broken_attempt(lambda: HARMLESS, upstream)
            gateway.watch.note_broken_attempt(lambda: CRASHING, upstream)
        # Only one of the gateways sees it answered.
        desk.watch.note_answered(HARMLESS)
        for gateway in (desk, other):
            gateway.clock.now_s += 1.0
            gateway.watch.note_started(_restart(upstream))
        desk.watch.take_told(other.watch.tell())
        other.watch.take_told(desk.watch.tell())
    assert (desk.count(CRASHING), other.count(CRASHING)) == (4, 4)
    assert (desk.count(HARMLESS), other.count(HARMLESS)) == (0, 0)


def replace_ages(suspicion: crashes_module.Suspicion, more_s: float) -> crashes_module.Suspicion:
    """Return a suspicion as it would be reported later."""
    ages = {name: age_s + more_s for name, age_s in suspicion.crashes.items()}
    return crashes_module.Suspicion(ages)


def test_two_crashes_end_the_tries_of_a_request_and_three_its_comings() -> None:
    desk = _Desk()
    desk.crash(0, CRASHING)
    assert desk.watch.may_try_again(lambda: CRASHING)
    desk.crash(1, CRASHING)
    assert not desk.watch.may_try_again(lambda: CRASHING)
    assert desk.refused_s(CRASHING) == 0.0
    desk.crash(2, CRASHING)
    assert desk.refused_s(CRASHING) == pytest.approx(crashes_module.REFUSAL_S)


def test_one_probe_at_a_time_follows_and_longer_refusals_follow_it() -> None:
    desk, other = _Desk(), _Desk()
    for number in range(3):
        desk.crash(number, CRASHING)
    waits_s = []
    for number in range(3, 6):
        refused_s = desk.refused_s(CRASHING)
        waits_s.append(refused_s)
        desk.clock.now_s += refused_s + 0.1
        other.clock.now_s = desk.clock.now_s
        other.watch.take_told(desk.watch.tell())
        assert desk.refused_s(CRASHING) == 0.0
        assert desk.refused_s(CRASHING) > 0.0
        other.watch.take_told(desk.watch.tell())
        assert other.refused_s(CRASHING) > 0.0
        desk.crash(number, CRASHING)
    assert waits_s == pytest.approx([60.0, 240.0, 960.0])


def test_a_probe_that_is_answered_ends_the_refusals() -> None:
    desk = _Desk()
    for number in range(3):
        desk.crash(number, HARMLESS)
    desk.clock.now_s += crashes_module.REFUSAL_S + 0.1
    assert desk.refused_s(HARMLESS) == 0.0
    desk.watch.note_answered(HARMLESS)
    assert desk.refused_s(HARMLESS) == 0.0
    assert desk.count(HARMLESS) == 0


def test_suspicions_are_bounded_and_forgotten() -> None:
    desk = _Desk()
    for number in range(crashes_module.MAX_SUSPECTS + 100):
        desk.crash(number, b"%d" % number)
    assert len(desk.watch._suspects) == crashes_module.MAX_SUSPECTS
    assert len(desk.watch.tell()) == crashes_module.MAX_REPORTED_SUSPECTS
    desk.clock.now_s += crashes_module.SUSPICION_RETENTION_S + 1
    assert desk.watch.tell() == {}
    assert desk.watch._suspects == {}
