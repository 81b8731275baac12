"""Test which requests are suspected of crashing upstreams and how long they are refused."""

from __future__ import annotations

from dataclasses import replace

import pytest

from dalehollow.aio import CallerRequest
from dalehollow.crashes import Suspects
from dalehollow.crashes import suspect as suspect_module
from dalehollow.crashes import suspects as suspects_module
from dalehollow.gateway import crashes as crashes_module
from dalehollow.gateway.admit import Job
from dalehollow.gateway.crashes import CrashWatch
from dalehollow.gateway.listed import ListedUpstream
from dalehollow.gateway.table import RequestKind, Route
from dalehollow.gateway.upstream import ReportedState, Upstream
from tests.manual_clock import ManualClock

CRASHING, HARMLESS = b"crashing", b"harmless"
FIRST = ListedUpstream("s0", "desk", "127.0.0.1:9", "hall", 4, False, started_at_ms=1)


def _upstream(number: int = 0, **changes: object) -> Upstream:
    address = f"127.0.0.1:{number + 1}"
    listed = replace(FIRST, incarnation=f"s{number}", address=address, **changes)  # type: ignore[arg-type]
    return Upstream(listed, ReportedState())


def _restart(upstream: Upstream) -> ListedUpstream:
    listed = upstream.listed
    return replace(listed, started_at_ms=listed.started_at_ms + 1)


class _CrashWatchBench:
    """Provide a `CrashWatch` with a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.suspects = Suspects(self.clock)
        self.watch = CrashWatch(self.clock, self.suspects)

    def crash(self, number: int, *bodies: bytes) -> None:
        """Crash an upstream while some requests are in flight."""
        upstream = _upstream(number)
        for body in bodies:
            self.watch.record_broken_attempt(_job_of(body), upstream)
        self.watch.record_started(_restart(upstream))

    def count(self, body: bytes) -> int:
        suspicion = self.suspects.export_suspicions().get(_job_of(body).fingerprints[0])
        return len(suspicion.crashes) if suspicion is not None else 0

    def refused_s(self, body: bytes) -> float:
        return self.suspects.check_request(_job_of(body).fingerprints).refused_s


def _job_of(body: bytes) -> Job:
    return _make_job(b"/a", "ana", body)


def _make_job(target: bytes, account: str, body: bytes) -> Job:
    kind = RequestKind.REPEATABLE
    route = Route("r", "h", "/", kind, (), 9_000, 400, 0, 2, 5, False, False)
    request = CallerRequest(b"POST", target, (), body, 0.0)
    return Job(request, b"r1", route, "desk", account, 5, 0.0, 9.0, 9.0, 1, 0)


def test_a_request_is_identified_by_path_account_and_body() -> None:
    name = _make_job(b"/a?x=1", "ana", b"b").fingerprints
    assert name == _make_job(b"/a?x=2", "ana", b"b").fingerprints
    others = [(b"/c", "ana", b"b"), (b"/a", "bo", b"b"), (b"/a", "ana", b""), (b"/aa", "na", b"b")]
    assert name not in {_make_job(*other).fingerprints for other in others}


def test_a_broken_connection_alone_is_no_crash() -> None:
    bench = _CrashWatchBench()
    for number in range(5):
        bench.watch.record_broken_attempt(_job_of(CRASHING), _upstream(number))
    assert bench.count(CRASHING) == 0
    assert bench.refused_s(CRASHING) == 0.0


def test_the_end_of_an_upstream_that_leaves_is_no_crash() -> None:
    bench = _CrashWatchBench()
    by_list, by_answer = _upstream(1, is_leaving=True), _upstream(2)
    by_answer.reported_state.is_leaving = True
    for upstream in (by_list, by_answer):
        bench.watch.record_broken_attempt(_job_of(CRASHING), upstream)
        bench.watch.record_port_closed(upstream.listed)
        bench.watch.record_started(_restart(upstream))
    assert bench.count(CRASHING) == 0


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
def test_a_restart_or_replacement_counts_as_a_crash(
    changes: dict[str, object], crashes: int
) -> None:
    for is_known_before in (False, True):
        bench, upstream = _CrashWatchBench(), _upstream()
        started = replace(upstream.listed, **changes)  # type: ignore[arg-type]
        if is_known_before:
            bench.watch.record_started(started)
        bench.watch.record_broken_attempt(_job_of(CRASHING), upstream)
        if not is_known_before:
            bench.watch.record_started(started)
        assert bench.count(CRASHING) == crashes


def test_only_requests_broken_off_at_the_crash_are_suspected() -> None:
    bench, upstream = _CrashWatchBench(), _upstream()
    bench.watch.record_broken_attempt(_job_of(HARMLESS), upstream)
    bench.clock.now_s += 5.0
    bench.watch.record_broken_attempt(_job_of(CRASHING), upstream)
    bench.watch.record_port_closed(upstream.listed)
    assert (bench.count(CRASHING), bench.count(HARMLESS)) == (1, 0)


def test_old_broken_attempts_are_discarded() -> None:
    bench, upstream = _CrashWatchBench(), _upstream()
    bench.watch.record_broken_attempt(_job_of(CRASHING), upstream)
    bench.clock.now_s += crashes_module.RESTART_S + 1
    bench.watch.record_broken_attempt(_job_of(HARMLESS), _upstream(1))
    bench.watch.record_started(_restart(upstream))
    assert bench.count(CRASHING) == 0


def test_a_crash_detected_several_times_counts_once() -> None:
    bench, other = _CrashWatchBench(), _CrashWatchBench()
    upstream = _upstream()
    for watch in (bench.watch, other.watch):
        watch.record_broken_attempt(_job_of(CRASHING), upstream)
        watch.record_port_closed(upstream.listed)
        watch.record_started(_restart(upstream))
    for _ in range(3):
        bench.suspects.merge_reported(other.suspects.export_suspicions())
        other.suspects.merge_reported(bench.suspects.export_suspicions())
    assert bench.count(CRASHING) == other.count(CRASHING) == 1


def test_a_second_crash_before_the_restart_is_listed_counts() -> None:
    """Guards against taking crashes of unlisted runs for the crash of the listed one."""
    bench, upstream = _CrashWatchBench(), _upstream()
    for _ in range(3):
        bench.watch.record_broken_attempt(_job_of(CRASHING), upstream)
        bench.watch.record_port_closed(upstream.listed, upstream.unlisted_runs)
        bench.clock.now_s += 1.0
        upstream = upstream.begin_run(bench.clock.now_s)
    assert bench.count(CRASHING) == 3
    assert bench.refused_s(CRASHING) > 0


def test_a_crash_that_gateways_name_differently_counts_once() -> None:
    """Guards against counting a crash twice because one gateway missed the restart before it."""
    bench, other = _CrashWatchBench(), _CrashWatchBench()
    listed = _upstream()
    detected = listed.begin_run(bench.clock.now_s)
    for gateway, upstream in ((bench, detected), (other, listed)):
        gateway.watch.record_broken_attempt(_job_of(CRASHING), upstream)
        gateway.watch.record_port_closed(upstream.listed, upstream.unlisted_runs)
    bench.suspects.merge_reported(other.suspects.export_suspicions())
    assert bench.count(CRASHING) == 1


def test_crashes_seen_by_several_gateways_add_up() -> None:
    benches = [_CrashWatchBench() for _ in range(4)]
    for number in range(3):
        benches[number].crash(number, CRASHING)
    for sender in benches[:3]:
        for bench in benches:
            bench.suspects.merge_reported(sender.suspects.export_suspicions())
    assert [bench.count(CRASHING) for bench in benches] == [3] * 4
    assert all(bench.refused_s(CRASHING) > 0 for bench in benches)


def test_an_answer_clears_a_request_at_every_gateway() -> None:
    bench, other = _CrashWatchBench(), _CrashWatchBench()
    for number in range(2):
        bench.crash(number, CRASHING, HARMLESS)
    other.suspects.merge_reported(bench.suspects.export_suspicions())
    before = bench.suspects.export_suspicions()
    for gateway in (bench, other):
        gateway.clock.now_s += 1.0
    bench.suspects.record_answered(_job_of(HARMLESS).fingerprints)
    other.suspects.merge_reported(bench.suspects.export_suspicions())
    assert other.count(HARMLESS) == 0
    # An outdated report from a third gateway does not restore the cleared suspicion.
    late = {name: replace_ages(suspicion, 1.0) for name, suspicion in before.items()}
    other.suspects.merge_reported(late)
    bench.suspects.merge_reported(late)
    assert (bench.count(HARMLESS), other.count(HARMLESS)) == (0, 0)
    assert (bench.count(CRASHING), other.count(CRASHING)) == (2, 2)


def test_a_request_sent_by_many_callers_is_not_suspected() -> None:
    """A common request is answered constantly, also between a crash and its detection."""
    bench, other = _CrashWatchBench(), _CrashWatchBench()
    for number in range(4):
        upstream = _upstream(number)
        for gateway in (bench, other):
            gateway.watch.record_broken_attempt(_job_of(HARMLESS), upstream)
            gateway.watch.record_broken_attempt(_job_of(CRASHING), upstream)
        # Only one of the gateways sees it answered.
        bench.suspects.record_answered(_job_of(HARMLESS).fingerprints)
        for gateway in (bench, other):
            gateway.clock.now_s += 1.0
            gateway.watch.record_started(_restart(upstream))
        bench.suspects.merge_reported(other.suspects.export_suspicions())
        other.suspects.merge_reported(bench.suspects.export_suspicions())
    assert (bench.count(CRASHING), other.count(CRASHING)) == (4, 4)
    assert (bench.count(HARMLESS), other.count(HARMLESS)) == (0, 0)


def replace_ages(suspicion: suspects_module.Suspicion, more_s: float) -> suspects_module.Suspicion:
    """Return a suspicion as it would be reported later."""
    ages = {name: age_s + more_s for name, age_s in suspicion.crashes.items()}
    return suspects_module.Suspicion(ages)


def test_a_request_is_not_retried_after_two_crashes_and_refused_after_three() -> None:
    bench = _CrashWatchBench()
    bench.crash(0, CRASHING)
    assert bench.suspects.may_be_retried(_job_of(CRASHING).fingerprints)
    bench.crash(1, CRASHING)
    assert not bench.suspects.may_be_retried(_job_of(CRASHING).fingerprints)
    assert bench.refused_s(CRASHING) == 0.0
    bench.crash(2, CRASHING)
    assert bench.refused_s(CRASHING) == pytest.approx(suspect_module.REFUSAL_S)


def test_refusals_grow_after_each_probe_and_probes_do_not_overlap() -> None:
    bench, other = _CrashWatchBench(), _CrashWatchBench()
    for number in range(3):
        bench.crash(number, CRASHING)
    waits_s = []
    for number in range(3, 6):
        refused_s = bench.refused_s(CRASHING)
        waits_s.append(refused_s)
        bench.clock.now_s += refused_s + 0.1
        other.clock.now_s = bench.clock.now_s
        other.suspects.merge_reported(bench.suspects.export_suspicions())
        assert bench.refused_s(CRASHING) == 0.0
        assert bench.refused_s(CRASHING) > 0.0
        other.suspects.merge_reported(bench.suspects.export_suspicions())
        assert other.refused_s(CRASHING) > 0.0
        bench.crash(number, CRASHING)
    assert waits_s == pytest.approx([60.0, 240.0, 960.0])


def test_an_answered_probe_ends_the_refusals() -> None:
    bench = _CrashWatchBench()
    for number in range(3):
        bench.crash(number, HARMLESS)
    bench.clock.now_s += suspect_module.REFUSAL_S + 0.1
    assert bench.refused_s(HARMLESS) == 0.0
    bench.suspects.record_answered(_job_of(HARMLESS).fingerprints)
    assert bench.refused_s(HARMLESS) == 0.0
    assert bench.count(HARMLESS) == 0


def test_suspicions_are_limited_in_number_and_expire() -> None:
    bench = _CrashWatchBench()
    for number in range(suspects_module.MAX_SUSPECTS + 100):
        bench.crash(number, b"%d" % number)
    assert len(bench.suspects._suspects) == suspects_module.MAX_SUSPECTS
    assert len(bench.suspects.export_suspicions()) == suspects_module.MAX_REPORTED_SUSPECTS
    bench.clock.now_s += suspect_module.SUSPICION_RETENTION_S + 1
    assert bench.suspects.export_suspicions() == {}
    assert bench.suspects._suspects == {}
