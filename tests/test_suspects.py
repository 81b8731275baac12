"""Test what is blamed for crashes, given what the requests in flight had in common."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import replace

import pytest

from dalehollow.crashes import CrashEvidence, Suspects
from dalehollow.crashes import suspect as suspect_module
from dalehollow.crashes import suspects as suspects_module
from tests.manual_clock import ManualClock

CRASHING, SHARED_BY_ALL, RARE, COMPANION = b"crashing", b"all", b"rare", b"companion"


class _Bench:
    """Provide the suspects of one gateway, on a manual clock that gateways may share."""

    def __init__(
        self,
        clock: ManualClock | None = None,
        is_probe_turn: Callable[[bytes, float], bool] = lambda name, since_s: True,
    ) -> None:
        self.clock = clock or ManualClock()
        self.suspects = Suspects(self.clock, is_probe_turn=is_probe_turn)
        self._numbers = itertools.count()
        self._crashes = itertools.count()

    def crash_together(self, count: int, *requests: tuple[bytes, ...], in_flight_s: float) -> None:
        """Crash upstreams at one moment, each with requests that were sent some time before."""
        self.clock.now_s += 2.0
        for _ in range(count):
            evidence = [replace(self.make_evidence(r), in_flight_s=in_flight_s) for r in requests]
            self.suspects.record_crash(f"s{next(self._crashes)}", evidence)

    def crash(self, *requests: tuple[bytes, ...], name: str = "") -> None:
        """Crash an upstream while requests with these parts are in flight, none of them alike."""
        self.clock.now_s += 2.0
        attempts = [self.make_evidence(parts) for parts in requests]
        self.suspects.record_crash(name or f"s{next(self._crashes)}", attempts)

    def make_evidence(self, parts: tuple[bytes, ...]) -> CrashEvidence:
        return CrashEvidence((b"request-%d" % next(self._numbers), *parts), self.clock.now_s)

    def is_refused(self, *parts: bytes) -> bool:
        return self.suspects.check_request((b"new", *parts)).refused_s > 0


def test_crashes_are_explained_by_as_few_culprits_as_possible() -> None:
    """Guards against refusing a rare part that was in flight at crashes that another one caused."""
    bench = _Bench()
    for number in range(5):
        rare = ((RARE,),) if number in (1, 2, 4) else ()
        bench.crash((CRASHING,), *rare)
    assert bench.is_refused(CRASHING)
    assert not bench.is_refused(RARE)


def test_a_second_culprit_is_found_beside_the_first() -> None:
    bench = _Bench()
    for _ in range(4):
        bench.crash((CRASHING,))
    for _ in range(3):
        bench.crash((RARE,))
    assert bench.is_refused(CRASHING)
    assert bench.is_refused(RARE)


def test_a_part_that_withstood_answers_is_not_blamed_before_the_first_complete_one() -> None:
    """Guards against refusing a whole route after a start, when nothing was answered yet."""
    bench = _Bench()
    for _ in range(4):
        for _ in range(4):
            bench.suspects.record_begun((SHARED_BY_ALL,))
        bench.crash((SHARED_BY_ALL, CRASHING), (SHARED_BY_ALL,))
    assert bench.is_refused(SHARED_BY_ALL, CRASHING)
    assert not bench.is_refused(SHARED_BY_ALL)


def test_answers_that_began_before_their_upstream_crashed_do_not_count_as_withstood() -> None:
    bench = _Bench()
    for number in range(8):
        parts = (CRASHING,)
        begun = bench.suspects.record_begun(parts)
        bench.clock.now_s += 2.0
        evidence = CrashEvidence((b"request-%d" % number, *parts), bench.clock.now_s, begun)
        bench.suspects.record_crash(f"s{number}", [evidence])
    assert bench.is_refused(CRASHING)


@pytest.mark.parametrize("count", [3, 12])
def test_upstreams_that_crash_together_are_one_incident(count: int) -> None:
    """Guards against refusing a whole route for a minute after one incident."""
    bench = _Bench()
    bench.crash_together(count, (SHARED_BY_ALL,), in_flight_s=0.5)
    assert bench.suspects.refused_s((SHARED_BY_ALL,)) == suspect_module.INCIDENT_REFUSAL_S
    bench.clock.now_s += suspect_module.INCIDENT_REFUSAL_S + 0.1
    assert bench.suspects.check_request((SHARED_BY_ALL,)).is_probe
    bench.suspects.record_answered((SHARED_BY_ALL,))
    assert not bench.is_refused(SHARED_BY_ALL)


def test_a_probe_that_crashes_an_upstream_is_a_second_incident() -> None:
    """Guards against a second probe soon after one that showed what crashes upstreams."""
    bench = _Bench()
    bench.crash_together(12, (CRASHING,), in_flight_s=0.5)
    bench.clock.now_s += suspect_module.INCIDENT_REFUSAL_S
    bench.crash_together(1, (CRASHING,), in_flight_s=0.5)
    expected_s = suspect_module.REFUSAL_S * suspect_module.REFUSAL_FACTOR
    assert bench.suspects.refused_s((CRASHING,)) == expected_s


def test_crashes_after_a_request_was_sent_again_are_incidents_of_their_own() -> None:
    """Guards against a short refusal of what crashes upstreams within moments of each other."""
    bench = _Bench()
    for number in range(3):
        bench.clock.now_s += 0.2
        evidence = replace(bench.make_evidence((CRASHING,)), in_flight_s=0.1)
        bench.suspects.record_crash(f"s{number}", [evidence])
    refused_s = bench.suspects.refused_s((CRASHING,))
    assert refused_s == pytest.approx(suspect_module.REFUSAL_S)


def test_one_incident_is_recognized_from_reports_of_several_gateways() -> None:
    """Guards against refusals of different lengths where each gateway saw one of the crashes."""
    clock = ManualClock()
    benches = [_Bench(clock) for _ in range(3)]
    clock.now_s += 2.0
    for number, bench in enumerate(benches):
        fingerprints = (b"request-%d" % number, SHARED_BY_ALL)
        evidence = CrashEvidence(fingerprints, clock.now_s, in_flight_s=0.5)
        bench.suspects.record_crash(f"s{number}", [evidence])
    for bench, peer in itertools.permutations(benches, 2):
        bench.suspects.merge_reported(peer.suspects.export_suspicions())
    refused_s = {bench.suspects.refused_s((SHARED_BY_ALL,)) for bench in benches}
    assert refused_s == {suspect_module.INCIDENT_REFUSAL_S}


def test_a_process_that_never_probes_refuses_for_one_incident_until_its_upstreams_are_back() -> (
    None
):
    """Guards against entries that refuse a whole route for minutes after one incident."""
    clock = ManualClock()
    suspects = Suspects(clock, is_probe_turn=None)
    for number in range(3):
        evidence = CrashEvidence((SHARED_BY_ALL,), clock.now_s, in_flight_s=0.5)
        suspects.record_crash(f"s{number}", [evidence])
    assert suspects.refused_s((SHARED_BY_ALL,)) > 0
    clock.now_s += suspect_module.INCIDENT_REFUSAL_S + 0.1
    assert suspects.refused_s((SHARED_BY_ALL,)) == 0
    evidence = CrashEvidence((SHARED_BY_ALL,), clock.now_s, in_flight_s=0.5)
    suspects.record_crash("s3", [evidence])
    assert suspects.refused_s((SHARED_BY_ALL,)) > suspect_module.REFUSAL_S


def test_companions_are_told_apart_by_what_any_gateway_saw() -> None:
    """Guards against refusing one of two parts, or none, where gateways saw different requests."""
    clock = ManualClock()
    first, second = _Bench(clock), _Bench(clock)
    for number in range(3):
        first.crash((CRASHING, COMPANION), name=f"a{number}")
    assert first.is_refused(CRASHING, COMPANION)
    assert not first.is_refused(CRASHING)
    assert not first.is_refused(COMPANION)
    second.crash((CRASHING,), name="b0")
    for bench, peer in ((first, second), (second, first)):
        bench.suspects.merge_reported(peer.suspects.export_suspicions())
    for bench in (first, second):
        assert bench.is_refused(CRASHING)
        assert not bench.is_refused(COMPANION)


def test_requests_that_are_never_repeated_displace_no_repeated_suspect() -> None:
    """Guards against forgetting or not reporting a part among many suspects of one crash each."""
    clock = ManualClock()
    bench, peer = _Bench(clock), _Bench(clock)
    bench.crash((CRASHING,))
    bench.crash((CRASHING,))
    many = suspects_module.MAX_SUSPECTS + 100
    bench.crash(*[(b"part-%d" % number,) for number in range(many)])
    assert len(bench.suspects._suspects) == suspects_module.MAX_SUSPECTS
    peer.suspects.merge_reported(bench.suspects.export_suspicions(count=16))
    peer.crash((CRASHING,), name="at-peer")
    assert peer.is_refused(CRASHING)


def test_a_cleared_part_is_reported_beside_many_suspects() -> None:
    """Guards against blaming what all share at a gateway that saw none of its answers."""
    clock = ManualClock()
    bench, restarted = _Bench(clock), _Bench(clock)
    bench.suspects.record_answered((SHARED_BY_ALL,))
    for number in range(3):
        requests = [(SHARED_BY_ALL, b"part-%d-%d" % (number, n)) for n in range(100)]
        bench.crash(*requests, name=f"a{number}")
        restarted.crash((SHARED_BY_ALL,), name=f"b{number}")
        restarted.suspects.merge_reported(bench.suspects.export_suspicions(count=16))
    assert not restarted.is_refused(SHARED_BY_ALL)


def test_a_gateway_probes_a_culprit_only_in_its_turn() -> None:
    """Guards against a probe by every gateway before one of them hears of another's."""
    clock = ManualClock()
    bench = _Bench(clock, is_probe_turn=lambda name, since_s: since_s >= 5.0)
    for _ in range(3):
        bench.crash((CRASHING,))
    clock.now_s += suspect_module.REFUSAL_S + 0.1
    ruling = bench.suspects.check_request((CRASHING,))
    assert not ruling.is_probe
    assert ruling.refused_s > 0
    clock.now_s += 5.0
    assert bench.suspects.check_request((CRASHING,)).is_probe
    assert bench.suspects.check_request((CRASHING,)).refused_s > 0
