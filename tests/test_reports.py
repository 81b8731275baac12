"""Check what gateways tell each other of their load, within a hall and between halls."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec

from dalehollow.gateway import reports
from dalehollow.gateway.copies import StoreCopies
from dalehollow.gateway.crashes import CrashWatch
from dalehollow.gateway.feed import HallFeed
from dalehollow.gateway.health import GroupHealth
from dalehollow.gateway.listed import ListedUpstream, Member
from dalehollow.gateway.members import HEARD_LIFE_S, Members
from dalehollow.gateway.reports import PeerReports
from dalehollow.gateway.upstreams import UpstreamSet
from dalehollow.protocol.reports import (
    HallReport,
    HallSignals,
    Limit,
    LoadReport,
    PeerMessage,
    Suspicion,
)
from tests.gateway_bench import replaced
from tests.manual_clock import ManualClock

NEAR, NEAR_2, FAR, FAR_2 = (("127.0.0.1", port) for port in (1, 2, 3, 4))


@dataclass
class _Sent:
    """Stand in for the socket and keep what was sent."""

    sent: list[tuple[PeerMessage, tuple[str, int]]] = field(default_factory=list)

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append((msgspec.msgpack.decode(data, type=PeerMessage), address))


@dataclass
class _Bench:
    reports: PeerReports
    upstreams: UpstreamSet
    feed: HallFeed
    socket: _Sent
    clock: ManualClock
    members: Members
    crashes: CrashWatch

    def receive(self, message: PeerMessage, address: tuple[str, int] = NEAR) -> None:
        self.reports.datagram_received(msgspec.msgpack.encode(message), address)

    def become_relay(self) -> None:
        self.clock.now_s += 1.0
        self.feed.note_read(0, (), 5)


def _make_upstream(incarnation: str) -> ListedUpstream:
    return ListedUpstream(incarnation, "desk", "127.0.0.1:9", "hall-1", 4, False)


def _load(sender: str, **in_hand: int) -> LoadReport:
    return LoadReport(sender, in_hand, {}, {}, {})


def _run(scenario: Callable[[_Bench], Awaitable[None]]) -> None:
    async def run() -> None:
        upstreams = UpstreamSet(random.Random(1), "hall-1")
        clock = ManualClock()
        feed = HallFeed("gw", clock, random.Random(1), lambda c: peer_reports.send_near(c))
        members = Members(clock, lambda name, member: peer_reports.note_member(name, member))
        crashes = CrashWatch(clock, lambda: None)
        peer_reports = PeerReports(
            "gw",
            "hall-1",
            upstreams,
            GroupHealth(),
            lambda: None,
            far_bytes_per_s=1e9,
            feed=feed,
            copies=StoreCopies(feed, random.Random(1)),
            members=members,
            crashes=crashes,
        )
        socket = _Sent()
        peer_reports._transport = socket  # type: ignore[assignment]
        bench = _Bench(peer_reports, upstreams, feed, socket, clock, members, crashes)
        for name, address, hall in (
            ("near", NEAR, "hall-1"),
            ("near-2", NEAR_2, "hall-1"),
            ("far", FAR, "hall-2"),
            ("far-2", FAR_2, "hall-2"),
        ):
            members.note_listed(name, Member(f"{address[0]}:{address[1]}", hall))
        await scenario(bench)

    asyncio.run(run())


def test_a_report_that_comes_before_its_upstream_is_listed_counts_once_it_is() -> None:
    """It was dropped, and the next one then took away what had never been added."""

    async def scenario(bench: _Bench) -> None:
        bench.receive(_load("near", s1=2))
        bench.upstreams.put(_make_upstream("s1"))
        (upstream,) = bench.upstreams
        assert upstream.known_in_flight() == 2
        bench.receive(_load("near", s1=1))
        assert upstream.known_in_flight() == 1
        bench.receive(_load("near"))
        bench.receive(_load("near-2", s1=3))
        assert upstream.known_in_flight() == 3

    _run(scenario)


def test_only_the_relay_tells_other_halls_and_tells_the_sum() -> None:
    async def scenario(bench: _Bench) -> None:
        bench.upstreams.put(_make_upstream("s1"))
        bench.receive(_load("near", s1=2))
        bench.receive(_load("near-2", s1=1))
        bench.reports._report()
        assert {address for _, address in bench.socket.sent} == {NEAR, NEAR_2}
        bench.become_relay()
        bench.socket.sent.clear()
        bench.reports._report()
        told = [m for m, address in bench.socket.sent if address in (FAR, FAR_2)]
        report = HallReport("hall-1", {"s1": 3}, {}, {}, sender="gw", view=bench.feed.view())
        assert told == [report]

    _run(scenario)


def test_a_report_of_another_hall_is_counted_once_and_passed_on_once() -> None:
    async def scenario(bench: _Bench) -> None:
        bench.upstreams.put(_make_upstream("s1"))
        report = HallReport("hall-2", {"s1": 2}, {}, {})
        bench.receive(report, FAR)
        passed_on = msgspec.structs.replace(report, is_passed_on=True)
        assert bench.socket.sent == [(passed_on, NEAR), (passed_on, NEAR_2)]
        bench.receive(passed_on, NEAR)
        assert len(bench.socket.sent) == 2
        (upstream,) = bench.upstreams
        assert upstream.known_in_flight() == 2

    _run(scenario)


def test_reports_go_to_who_speaks_for_a_hall_and_else_to_each_in_turn() -> None:
    async def scenario(bench: _Bench) -> None:
        bench.become_relay()
        for _ in range(2):
            bench.reports._far_from_s = 0.0
            bench.reports._report()
        far = [address for m, address in bench.socket.sent if isinstance(m, HallReport)]
        assert sorted(far) == [FAR, FAR_2]
        bench.receive(HallReport("hall-2", {}, {}, {}), FAR_2)
        bench.socket.sent.clear()
        for _ in range(3):
            bench.reports._far_from_s = 0.0
            bench.reports._report()
        far = [address for m, address in bench.socket.sent if isinstance(m, HallReport)]
        assert far[-3:] == [FAR_2] * 3

    _run(scenario)


def test_who_falls_silent_is_forgotten() -> None:
    async def scenario(bench: _Bench) -> None:
        bench.upstreams.put(_make_upstream("s1"))
        bench.receive(_load("near", s1=2))
        bench.receive(HallReport("hall-2", {"s1": 1}, {}, {}), FAR)
        (upstream,) = bench.upstreams
        assert upstream.known_in_flight() == 3
        with replaced(reports.asyncio, "get_running_loop", lambda: _Later()):
            bench.reports._forget_silent(bench.reports._near_reports)
            bench.reports._forget_silent(bench.reports._hall_reports)
        assert upstream.known_in_flight() == 0

    _run(scenario)


class _Later:
    """Tell a time at which all that was heard is old."""

    def time(self) -> float:
        return float("inf")


def test_a_gateway_that_is_heard_is_told_though_the_store_lists_it_no_more() -> None:
    async def scenario(bench: _Bench) -> None:
        bench.receive(_load("near"), NEAR)
        bench.members.note_listed("near", None)
        bench.members.note_listed("near-2", None)
        bench.reports._report()
        assert [address for _, address in bench.socket.sent] == [NEAR]
        # Silence takes it out of those that are told.
        bench.socket.sent.clear()
        bench.clock.now_s += HEARD_LIFE_S + 0.1
        bench.members.forget_silent()
        bench.reports._report()
        assert {address for _, address in bench.socket.sent} <= {FAR, FAR_2}

    _run(scenario)


def test_a_gateway_that_the_store_never_listed_is_told_once_it_is_heard() -> None:
    async def scenario(bench: _Bench) -> None:
        newcomer, speaker = ("127.0.0.1", 8), ("127.0.0.1", 9)
        bench.receive(_load("newcomer"), newcomer)
        bench.receive(HallReport("hall-3", {}, {}, {}, sender="speaker"), speaker)
        bench.become_relay()
        bench.socket.sent.clear()
        bench.reports._report()
        told = {address for _, address in bench.socket.sent}
        assert {newcomer, speaker} <= told
        assert set(bench.members.there) >= {"newcomer", "speaker"}

    _run(scenario)


def test_a_hall_without_a_relay_is_spoken_for_by_its_first() -> None:
    async def scenario(bench: _Bench) -> None:
        bench.clock.now_s += 10.0
        bench.receive(_load("near"), NEAR)
        bench.reports._report()
        assert any(isinstance(m, HallReport) for m, _ in bench.socket.sent)
        # Another whose name comes earlier does it where one is heard.
        bench.socket.sent.clear()
        bench.receive(_load("a-first"), NEAR)
        bench.reports._far_from_s = 0.0
        bench.reports._report()
        assert not any(isinstance(m, HallReport) for m, _ in bench.socket.sent)

    _run(scenario)


def test_limits_and_suspicions_do_not_wait_for_the_sums_of_loads() -> None:
    """At the size in two years a sum goes to another hall once in 13 s; these have 3 s."""

    async def scenario(bench: _Bench) -> None:
        bench.upstreams.put(_make_upstream("s1"))
        (upstream,) = bench.upstreams
        bench.become_relay()
        bench.reports._far_from_s = float("inf")
        bench.reports._report()
        assert {address for _, address in bench.socket.sent} == {NEAR, NEAR_2}
        bench.socket.sent.clear()
        bench.upstreams.note_limit(upstream, 2.0, asyncio.get_running_loop().time())
        bench.reports._report()
        told = [m for m, address in bench.socket.sent if address in (FAR, FAR_2)]
        assert len(told) == 1 and isinstance(told[0], HallSignals)
        assert told[0].limits["s1"].rate_per_s == 2.0
        bench.reports._report()
        assert len([a for _, a in bench.socket.sent if a in (FAR, FAR_2)]) == 1

    _run(scenario)


def test_what_another_hall_tells_of_limits_goes_no_further_than_this_one() -> None:
    async def scenario(bench: _Bench) -> None:
        bench.upstreams.put(_make_upstream("s1"))
        suspicion = Suspicion({"s9": 0.1, "s8": 0.1, "s7": 0.1})
        message = HallSignals("hall-2", {"s1": Limit(2.0, 0.1)}, {b"f": suspicion})
        bench.receive(message, FAR)
        (upstream,) = bench.upstreams
        assert upstream.reported_state.limit_per_s == 2.0
        assert bench.crashes.check_request(lambda: b"f") > 0
        passed_on = msgspec.structs.replace(message, is_passed_on=True)
        assert bench.socket.sent == [(passed_on, NEAR), (passed_on, NEAR_2)]
        bench.socket.sent.clear()
        bench.receive(passed_on)
        bench.receive(msgspec.structs.replace(message, hall="hall-1"))
        assert bench.socket.sent == []

    _run(scenario)
