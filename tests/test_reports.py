"""Check the load reports between gateways, within a hall and between halls."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec

from dalehollow.crashes import Suspects
from dalehollow.gateway import reports
from dalehollow.gateway.copies import StoreCopies
from dalehollow.gateway.feed import HallFeed
from dalehollow.gateway.health import GroupHealth
from dalehollow.gateway.listed import ListedUpstream, Member
from dalehollow.gateway.members import HEARD_LIFE_S, Members
from dalehollow.gateway.reports import PeerReports
from dalehollow.gateway.upstreams import ENDED_RUN_REPORTED_S, UpstreamSet
from dalehollow.protocol.reports import (
    HallReport,
    HallSignals,
    Limit,
    LoadReport,
    PeerMessage,
    Suspicion,
)
from tests.gateway_bench import override_attribute
from tests.manual_clock import ManualClock

NEAR, NEAR_2, FAR, FAR_2 = (("127.0.0.1", port) for port in (1, 2, 3, 4))


@dataclass
class _RecordingSocket:
    """Stand-in for the socket that records the messages sent."""

    sent: list[tuple[PeerMessage, tuple[str, int]]] = field(default_factory=list)

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append((msgspec.msgpack.decode(data, type=PeerMessage), address))


@dataclass
class _Bench:
    reports: PeerReports
    upstreams: UpstreamSet
    feed: HallFeed
    socket: _RecordingSocket
    clock: ManualClock
    members: Members
    suspects: Suspects

    def receive(self, message: PeerMessage, address: tuple[str, int] = NEAR) -> None:
        self.reports.datagram_received(msgspec.msgpack.encode(message), address)

    def become_relay(self) -> None:
        self.clock.now_s += 1.0
        self.feed.record_read(0, (), 5)


def _make_upstream(incarnation: str) -> ListedUpstream:
    return ListedUpstream(incarnation, "desk", "127.0.0.1:9", "hall-1", 4, False)


def _load(sender: str, **in_flight_counts: int) -> LoadReport:
    return LoadReport(sender, in_flight_counts, {}, {}, {})


def _run(scenario: Callable[[_Bench], Awaitable[None]]) -> None:
    async def run() -> None:
        upstreams = UpstreamSet(random.Random(1), "hall-1")
        clock = ManualClock()
        feed = HallFeed("gw", clock, random.Random(1), lambda c: peer_reports.send_to_hall(c))
        members = Members(clock, lambda name, member: peer_reports.record_member(name, member))
        suspects = Suspects(clock)
        peer_reports = PeerReports(
            "gw",
            "hall-1",
            upstreams,
            GroupHealth(),
            lambda: None,
            remote_bytes_per_s=1e9,
            feed=feed,
            copies=StoreCopies(feed, random.Random(1)),
            members=members,
            suspects=suspects,
        )
        socket = _RecordingSocket()
        peer_reports._transport = socket  # type: ignore[assignment]
        bench = _Bench(peer_reports, upstreams, feed, socket, clock, members, suspects)
        for name, address, hall in (
            ("near", NEAR, "hall-1"),
            ("near-2", NEAR_2, "hall-1"),
            ("far", FAR, "hall-2"),
            ("far-2", FAR_2, "hall-2"),
        ):
            members.record_listed(name, Member(f"{address[0]}:{address[1]}", hall))
        await scenario(bench)

    asyncio.run(run())


def test_report_before_upstream_is_listed_counts_once_listed() -> None:
    """A report that was dropped here made the next one subtract a load that was never added."""

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


def test_only_the_relay_reports_the_hall_total_to_other_halls() -> None:
    async def scenario(bench: _Bench) -> None:
        bench.upstreams.put(_make_upstream("s1"))
        bench.receive(_load("near", s1=2))
        bench.receive(_load("near-2", s1=1))
        bench.reports._send_reports()
        assert {address for _, address in bench.socket.sent} == {NEAR, NEAR_2}
        bench.become_relay()
        bench.socket.sent.clear()
        bench.reports._send_reports()
        reports_sent = [m for m, address in bench.socket.sent if address in (FAR, FAR_2)]
        report = HallReport("hall-1", {"s1": 3}, {}, {}, sender="gw", view=bench.feed.view())
        assert reports_sent == [report]

    _run(scenario)


def test_report_of_another_hall_is_counted_and_forwarded_once() -> None:
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


def test_reports_go_to_hall_representative_or_each_gateway_in_turn() -> None:
    async def scenario(bench: _Bench) -> None:
        bench.become_relay()
        for _ in range(2):
            bench.reports._next_total_at_s = 0.0
            bench.reports._send_reports()
        far = [address for m, address in bench.socket.sent if isinstance(m, HallReport)]
        assert sorted(far) == [FAR, FAR_2]
        bench.receive(HallReport("hall-2", {}, {}, {}), FAR_2)
        bench.socket.sent.clear()
        for _ in range(3):
            bench.reports._next_total_at_s = 0.0
            bench.reports._send_reports()
        far = [address for m, address in bench.socket.sent if isinstance(m, HallReport)]
        assert far[-3:] == [FAR_2] * 3

    _run(scenario)


def test_load_of_silent_gateways_is_dropped() -> None:
    async def scenario(bench: _Bench) -> None:
        bench.upstreams.put(_make_upstream("s1"))
        bench.receive(_load("near", s1=2))
        bench.receive(HallReport("hall-2", {"s1": 1}, {}, {}), FAR)
        (upstream,) = bench.upstreams
        assert upstream.known_in_flight() == 3
        with override_attribute(reports.asyncio, "get_running_loop", lambda: _Later()):
            bench.reports._drop_silent(bench.reports._peer_loads)
            bench.reports._drop_silent(bench.reports._hall_loads)
        assert upstream.known_in_flight() == 0

    _run(scenario)


class _Later:
    """Stand-in for the event loop whose time makes every report expired."""

    def time(self) -> float:
        return float("inf")


def test_unlisted_gateway_gets_reports_while_it_is_heard() -> None:
    async def scenario(bench: _Bench) -> None:
        bench.receive(_load("near"), NEAR)
        bench.members.record_listed("near", None)
        bench.members.record_listed("near-2", None)
        bench.reports._send_reports()
        assert [address for _, address in bench.socket.sent] == [NEAR]
        # Once silent, it is no longer sent reports.
        bench.socket.sent.clear()
        bench.clock.now_s += HEARD_LIFE_S + 0.1
        bench.members.forget_silent()
        bench.reports._send_reports()
        assert {address for _, address in bench.socket.sent} <= {FAR, FAR_2}

    _run(scenario)


def test_never_listed_gateway_gets_reports_once_it_is_heard() -> None:
    async def scenario(bench: _Bench) -> None:
        newcomer, representative = ("127.0.0.1", 8), ("127.0.0.1", 9)
        bench.receive(_load("newcomer"), newcomer)
        bench.receive(HallReport("hall-3", {}, {}, {}, sender="representative"), representative)
        bench.become_relay()
        bench.socket.sent.clear()
        bench.reports._send_reports()
        recipients = {address for _, address in bench.socket.sent}
        assert {newcomer, representative} <= recipients
        assert set(bench.members.current) >= {"newcomer", "representative"}

    _run(scenario)


def test_first_gateway_by_name_reports_for_a_hall_without_relay() -> None:
    async def scenario(bench: _Bench) -> None:
        bench.clock.now_s += 10.0
        bench.receive(_load("near"), NEAR)
        bench.reports._send_reports()
        assert any(isinstance(m, HallReport) for m, _ in bench.socket.sent)
        # A gateway with a smaller name takes over once it is heard.
        bench.socket.sent.clear()
        bench.receive(_load("a-first"), NEAR)
        bench.reports._next_total_at_s = 0.0
        bench.reports._send_reports()
        assert not any(isinstance(m, HallReport) for m, _ in bench.socket.sent)

    _run(scenario)


def test_limits_and_suspicions_do_not_wait_for_load_totals() -> None:
    """At the size planned for in two years a hall's load total goes out once in 13 s.

    Limits and suspicions must reach other halls within 3 s, so they are sent separately.
    """

    async def scenario(bench: _Bench) -> None:
        bench.upstreams.put(_make_upstream("s1"))
        (upstream,) = bench.upstreams
        bench.become_relay()
        bench.reports._next_total_at_s = float("inf")
        bench.reports._send_reports()
        assert {address for _, address in bench.socket.sent} == {NEAR, NEAR_2}
        bench.socket.sent.clear()
        bench.upstreams.record_limit(upstream, 2.0, asyncio.get_running_loop().time())
        bench.reports._send_reports()
        reports_sent = [m for m, address in bench.socket.sent if address in (FAR, FAR_2)]
        assert len(reports_sent) == 1 and isinstance(reports_sent[0], HallSignals)
        assert reports_sent[0].limits["s1"].rate_per_s == 2.0
        bench.reports._send_reports()
        assert len([a for _, a in bench.socket.sent if a in (FAR, FAR_2)]) == 1

    _run(scenario)


def test_ends_of_runs_are_repeated_once_a_second_within_a_hall() -> None:
    """Guards against reports that grow with each upstream that ended in an outage of the store."""

    async def scenario(bench: _Bench) -> None:
        clock = asyncio.get_running_loop().time
        now_s = clock()
        bench.upstreams.clock = lambda: now_s
        bench.upstreams.put(_make_upstream("s1"))
        bench.upstreams.record_port_closed("s1")
        now_s -= 2 * ENDED_RUN_REPORTED_S
        bench.upstreams.put(_make_upstream("s2"))
        bench.upstreams.record_port_closed("s2")
        now_s = clock()
        for _ in range(3):
            bench.reports._send_reports()
        told = [
            set(message.ended_runs)
            for message, address in bench.socket.sent
            if isinstance(message, LoadReport) and address == NEAR
        ]
        assert told == [{"s1", "s2"}, {"s1"}, {"s1"}]

    _run(scenario)


def test_signals_of_another_hall_are_not_forwarded_to_third_halls() -> None:
    async def scenario(bench: _Bench) -> None:
        bench.upstreams.put(_make_upstream("s1"))
        suspicion = Suspicion({"s9": 0.1, "s8": 0.1, "s7": 0.1})
        message = HallSignals("hall-2", {"s1": Limit(2.0, 0.1)}, {b"f": suspicion})
        bench.receive(message, FAR)
        (upstream,) = bench.upstreams
        assert upstream.reported_state.limit_per_s == 2.0
        assert bench.suspects.check_request([b"f"]).refused_s > 0
        passed_on = msgspec.structs.replace(message, is_passed_on=True)
        assert bench.socket.sent == [(passed_on, NEAR), (passed_on, NEAR_2)]
        bench.socket.sent.clear()
        bench.receive(passed_on)
        bench.receive(msgspec.structs.replace(message, hall="hall-1"))
        assert bench.socket.sent == []

    _run(scenario)
