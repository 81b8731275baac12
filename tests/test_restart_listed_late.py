"""Test what a gateway keeps of an upstream's new run that answers before its start is listed.

Guards against attributing what the new run reported, or has in flight, to the run before it: when
its start is listed, its backoff was dropped and its streams were aborted.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

import pytest

from dalehollow.crashes.suspect import MAX_CRASHES
from dalehollow.gateway import upstreams as upstreams_module
from dalehollow.gateway.listed import ListedUpstream
from dalehollow.gateway.upstream import Move, MoveReason
from dalehollow.gateway.upstreams import MAX_REPORT_TRANSIT_S, UpstreamSet
from standins.server import ResponseMode, make_stream_body
from tests.crash_world import CrashingUpstream
from tests.gateway_bench import GatewayBench, HeldServer, make_config, run_bench
from tests.manual_clock import ManualClock

SIGNALS = {
    "backoff": (b"retry-after", b"30"),
    "leaving": (b"server-leaving", b"1"),
    "limit": (b"server-limit", b"0.25"),
}


@dataclass
class _RestartedUpstream:
    """Hold the only upstream of a gateway, which restarts on its port under its id."""

    bench: GatewayBench
    server: HeldServer
    process: CrashingUpstream
    _sequence: Iterator[int] = field(default_factory=lambda: itertools.count(2))

    @classmethod
    async def start(cls, bench: GatewayBench) -> _RestartedUpstream:
        await bench.apply(make_config())
        server = HeldServer("s0")
        process = CrashingUpstream("s0", server)
        server.on_crash = process.close_port
        await process.listen()
        upstream = cls(bench, server, process)
        bench.list_server("s0", upstream.address, born=1)
        await bench.wait_until(lambda: bench.gateway.state.upstreams.find("s0") is not None)
        return upstream

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.process.port}"

    async def end_unnoticed(self) -> None:
        """End the run; the gateway notices it by its next connection."""
        self.process.close_port()
        assert (await self.bench.send_request("/pay/1")).status == 503

    async def crash(self) -> None:
        """Crash while a request is in flight."""
        cut = await self.server.hold(self.bench.send_request("/pay/1"))
        self.server.crash()
        assert (await cut).status == 502

    async def begin_next_run(self) -> None:
        """Listen again, as a run that has received nothing yet."""
        await self.process.listen()
        self.server.received.clear()
        for listed in self.bench.gateway.state.upstreams:
            listed.ejected_until_s = 0.0

    async def list_start(self) -> None:
        """List the start of the second run and wait until the gateway has read it."""
        self.bench.list_server("s0", self.address, born=2)

        def is_read() -> bool:
            listed = self.bench.gateway.state.upstreams.find("s0")
            return listed is not None and listed.started_at_ms == 2

        await self.bench.wait_until(is_read)

    async def rewrite_entry(self) -> None:
        """Write the entry of the first run once more."""
        number = next(self._sequence)
        self.bench.list_server("s0", self.address, born=1, slots=number)
        await self.bench.wait_until(lambda: self.bench.listed("s0").slots == number)

    async def expire_entry(self) -> None:
        """Delete the entry of the first run."""
        self.bench.store.delete("servers/s0")
        await self.bench.wait_until(lambda: self.bench.gateway.state.upstreams.find("s0") is None)

    async def keep_entry(self) -> None:
        """Leave the entry of the first run as it is."""


Step = Callable[[_RestartedUpstream], Awaitable[None]]
ENDS: dict[str, Step] = {
    "refused connection": _RestartedUpstream.end_unnoticed,
    "cut answer": _RestartedUpstream.crash,
}
ENTRY_CHANGES: dict[str, Step] = {
    "kept": _RestartedUpstream.keep_entry,
    "rewritten": _RestartedUpstream.rewrite_entry,
    "expired": _RestartedUpstream.expire_entry,
}


def _run(scenario: Callable[[_RestartedUpstream], Awaitable[None]]) -> None:
    async def run(bench: GatewayBench) -> None:
        await scenario(await _RestartedUpstream.start(bench))

    run_bench(run)


@pytest.mark.parametrize("change", ENTRY_CHANGES)
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("signal", SIGNALS)
def test_signals_of_a_new_run_are_kept_when_its_start_is_listed(
    signal: str, end: str, change: str
) -> None:
    """Guards against sending requests to an upstream whose new run had refused or limited them."""

    async def scenario(upstream: _RestartedUpstream) -> None:
        await ENDS[end](upstream)
        await upstream.begin_next_run()
        upstream.server.extra_headers = [SIGNALS[signal]]
        upstream.server.next_modes = [ResponseMode.REFUSE] if signal == "backoff" else []
        await upstream.bench.send_request("/read/1")
        upstream.server.extra_headers = []
        await ENTRY_CHANGES[change](upstream)
        await upstream.list_start()
        for _ in range(3):
            assert (await upstream.bench.send_request("/read/1")).status == 503
        assert len(upstream.server.received) == 1

    _run(scenario)


@pytest.mark.parametrize("change", ENTRY_CHANGES)
@pytest.mark.parametrize("end", ENDS)
def test_requests_at_a_new_run_continue_when_its_start_is_listed(end: str, change: str) -> None:
    """Guards against aborting streams of a live run, and against forgetting that it is busy."""

    async def scenario(upstream: _RestartedUpstream) -> None:
        bench = upstream.bench
        await ENDS[end](upstream)
        await upstream.begin_next_run()
        stream = await upstream.server.hold(bench.send_request("/stream/1"))
        await ENTRY_CHANGES[change](upstream)
        await upstream.list_start()
        (listed,) = bench.gateway.state.upstreams
        assert listed.own_in_flight() == 1
        upstream.server.release()
        answer = await stream
        assert answer.is_whole and answer.body == make_stream_body()
        assert len(upstream.server.received) == 1
        assert listed.own_in_flight() == 0

    _run(scenario)


def test_signals_of_the_ended_run_are_dropped_when_the_new_start_is_listed() -> None:
    """Guards against keeping what the run before said for a run that was detected early."""

    async def scenario(upstream: _RestartedUpstream) -> None:
        bench, server = upstream.bench, upstream.server
        payment = await server.hold(bench.send_request("/pay/1"))
        server.extra_headers = [SIGNALS["backoff"], SIGNALS["leaving"], SIGNALS["limit"]]
        server.next_modes = [ResponseMode.REFUSE]
        assert (await bench.send_request("/pay/1")).status == 503
        server.extra_headers = []
        server.crash()
        assert (await payment).status == 502
        await upstream.begin_next_run()
        # The port alone does not prove that the reported state is void.
        assert (await bench.send_request("/read/1")).status == 503
        await upstream.list_start()
        assert (await bench.send_request("/read/1")).status == 200

    _run(scenario)


def test_each_crash_counts_though_no_restart_is_listed() -> None:
    """Guards against a request that crashes an upstream repeatedly while the store is away."""

    async def scenario(upstream: _RestartedUpstream) -> None:
        upstream.server.crash_body = b"crashes"
        for _ in range(MAX_CRASHES):
            answer = await upstream.bench.send_request("/pay/1", body=b"crashes")
            assert answer.status == 502
            await upstream.begin_next_run()
        answer = await upstream.bench.send_request("/pay/1", body=b"crashes")
        assert answer.status == 503
        assert upstream.server.received == []

    _run(scenario)


def test_a_lost_answer_of_a_new_run_is_no_crash_when_its_start_is_listed() -> None:
    """Guards against suspecting a request because its upstream had restarted before it was sent."""

    async def scenario(upstream: _RestartedUpstream) -> None:
        await upstream.end_unnoticed()
        await upstream.begin_next_run()
        upstream.server.next_modes = [ResponseMode.CUT_UNANSWERED]
        assert (await upstream.bench.send_request("/pay/1")).status == 502
        await upstream.list_start()
        assert not upstream.bench.gateway.state.suspects.describe()

    _run(scenario)


def _make_upstreams(clock: ManualClock) -> UpstreamSet:
    return UpstreamSet(random.Random(1), "hall", clock=clock, read_list_age_s=lambda: clock.now_s)


def _list(upstreams: UpstreamSet, started_at_ms: int) -> None:
    upstreams.put(
        ListedUpstream("s0", "desk", "127.0.0.1:9", "hall", 4, False, started_at_ms=started_at_ms)
    )


def test_a_port_that_refused_once_is_no_restart_if_the_list_shows_none() -> None:
    """Guards against keeping what a busy upstream said, whose port refused, through a restart."""
    clock = ManualClock()
    upstreams = _make_upstreams(clock)
    _list(upstreams, 1)
    upstreams.record_port_closed("s0")
    (busy,) = upstreams
    busy.record_reached(clock.now_s)
    busy.reported_state.is_leaving = True
    move = Move()
    busy.moves.add(move)
    clock.now_s += upstreams_module.START_LISTED_WITHIN_S + 1.0
    _list(upstreams, 2)
    (restarted,) = upstreams
    assert not restarted.is_leaving()
    assert move.reason is MoveReason.RESTARTED


def test_each_detected_run_is_told_apart_until_one_is_listed() -> None:
    """Guards against signals and slots of a run that ended before any later start was listed."""
    clock = ManualClock()
    upstreams = _make_upstreams(clock)
    _list(upstreams, 1)
    moves = [Move() for _ in range(3)]
    for number, move in enumerate(moves):
        (run,) = upstreams
        assert run.run_name == ("s0@1", "s0@1+1", "s0@1+2")[number]
        run.record_reached(clock.now_s)
        run.moves.add(move)
        run.in_flight = 1
        assert run.own_in_flight() == number + 1
        if number < 2:
            # Each refused connection but the first tells nothing new.
            upstreams.record_port_closed("s0")
            upstreams.record_port_closed("s0")
    _list(upstreams, 3)
    (listed,) = upstreams
    assert listed is run and listed.run_name == "s0@3"
    assert listed.own_in_flight() == 1
    assert [m.is_requested for m in moves] == [True, True, False]


class _Gateways:
    """Hold what two gateways know of one upstream, of which they tell each other."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.first, self.second = _make_upstreams(self.clock), _make_upstreams(self.clock)
        for upstreams in (self.first, self.second):
            _list(upstreams, 1)

    def report(self, sender: UpstreamSet, receiver: UpstreamSet) -> None:
        """Send a report of ended runs and limits."""
        self.clock.now_s += MAX_REPORT_TRANSIT_S + 0.01
        for incarnation, (run, at_s) in sender.list_ended_runs().items():
            receiver.record_reported_end(incarnation, run, at_s)
        for upstream in sender:
            run = upstream.limit_run()
            state = run.reported_state
            if state.limit_reported_at_s > float("-inf"):
                receiver.record_reported_limit(
                    "s0", state.limit_per_s, state.limit_reported_at_s, run.run
                )

    def set_limit(self, upstreams: UpstreamSet, limit_per_s: float | None) -> None:
        """Record the limit of an answer."""
        (upstream,) = upstreams
        upstream.record_reached(self.clock.now_s)
        self.clock.now_s += MAX_REPORT_TRANSIT_S + 0.01
        upstreams.record_limit(upstream, limit_per_s, self.clock.now_s)

    def read_limits(self) -> list[float | None]:
        return [u.limit_per_s() for upstreams in (self.first, self.second) for u in upstreams]


def test_a_limit_of_the_ended_run_is_not_taken_for_the_next_one() -> None:
    """Guards against limiting a restarted upstream because a gateway has not read its start."""
    gateways = _Gateways()
    gateways.set_limit(gateways.first, 2.0)
    _list(gateways.second, 2)
    gateways.report(gateways.first, gateways.second)
    assert gateways.read_limits() == [2.0, None]


@pytest.mark.parametrize("is_listed_at_sender", [False, True])
def test_a_reported_limit_of_a_new_run_is_kept_when_its_start_is_listed(
    is_listed_at_sender: bool,
) -> None:
    """Guards against dropping a limit that another gateway learned from the new run."""
    gateways = _Gateways()
    gateways.first.record_port_closed("s0")
    gateways.set_limit(gateways.first, 2.0)
    if is_listed_at_sender:
        _list(gateways.first, 2)
        gateways.clock.now_s += 1.0
    gateways.report(gateways.first, gateways.second)
    _list(gateways.second, 2)
    assert gateways.read_limits()[1] == 2.0


def test_a_run_that_ended_is_told_to_other_gateways() -> None:
    """Guards against dropping a backoff because only another gateway found the port closed."""
    gateways = _Gateways()
    gateways.first.record_port_closed("s0")
    for _ in range(2):
        gateways.report(gateways.first, gateways.second)
        gateways.report(gateways.second, gateways.first)
    (upstream,) = gateways.second
    assert upstream.run_name == "s0@1+1"
    upstream.record_reached(gateways.clock.now_s)
    upstream.start_backoff(30.0, gateways.clock.now_s)
    _list(gateways.second, 2)
    (listed,) = gateways.second
    assert listed.backoff_left_s(gateways.clock.now_s) > 0
    assert [u.run_name for u in gateways.first] == ["s0@1+1"]


def test_the_end_of_a_limit_of_a_new_run_ends_that_of_the_run_before() -> None:
    """Guards against a limit that stays for good after a port that refused without a restart."""
    gateways = _Gateways()
    gateways.set_limit(gateways.first, 2.0)
    gateways.first.record_port_closed("s0")
    assert gateways.read_limits()[0] == 2.0
    gateways.set_limit(gateways.first, None)
    assert gateways.read_limits()[0] is None


def test_a_load_observed_before_a_restart_does_not_occupy_the_new_run() -> None:
    """Guards against a restarted upstream that gets no requests for what it ran before."""
    gateways = _Gateways()
    seen_at_s = gateways.clock.now_s
    gateways.clock.now_s += 0.5
    _list(gateways.first, 2)
    gateways.first.record_untracked("s0", 4, seen_at_s)
    (upstream,) = gateways.first
    assert upstream.load(gateways.clock.now_s) == 0.0


def test_a_gateway_that_starts_after_a_run_ended_is_told_of_it() -> None:
    """Guards against dropping what a new run says at a gateway that never found its port closed."""
    gateways = _Gateways()
    gateways.first.record_port_closed("s0")
    gateways.clock.now_s += upstreams_module.ENDED_RUN_REPORTED_S + 1.0
    gateways.second = _make_upstreams(gateways.clock)
    _list(gateways.second, 1)
    gateways.report(gateways.first, gateways.second)
    assert [u.run_name for u in gateways.second] == ["s0@1+1"]


@pytest.mark.parametrize("started_at_ms", [1, 2])
@pytest.mark.parametrize("is_reached_after_end", [True, False])
def test_what_a_run_said_before_the_end_of_its_predecessor_is_told_is_kept(
    is_reached_after_end: bool, started_at_ms: int
) -> None:
    """Guards against dropping what a new run said to a gateway that was told too late of it."""
    gateways = _Gateways()
    (upstream,) = gateways.second
    move = Move()
    if not is_reached_after_end:
        upstream.record_reached(gateways.clock.now_s)
    _list(gateways.first, started_at_ms)
    gateways.clock.now_s += 1.0
    gateways.first.record_port_closed("s0")
    gateways.clock.now_s += 1.0
    if is_reached_after_end:
        upstream.record_reached(gateways.clock.now_s)
    upstream.reported_state.is_leaving = True
    upstream.moves.add(move)
    for listed_ms in range(1, started_at_ms + 2):
        _list(gateways.second, listed_ms)
        gateways.report(gateways.first, gateways.second)
    (restarted,) = gateways.second
    assert restarted.run_name == f"s0@{started_at_ms + 1}"
    assert restarted.is_leaving() is is_reached_after_end
    assert move.is_requested is not is_reached_after_end


def test_the_end_of_a_run_is_told_while_the_store_is_away() -> None:
    """Guards against a gateway that starts late in an outage of the store and hears of no end."""
    gateways = _Gateways()
    gateways.first.read_list_age_s = lambda: 0.0
    gateways.first.record_port_closed("s0")
    gateways.clock.now_s += 60.0
    gateways.report(gateways.first, gateways.second)
    assert [u.run_name for u in gateways.second] == ["s0@1+1"]
    _list(gateways.first, 2)
    assert gateways.first.list_ended_runs() == {}


def test_the_end_of_a_run_is_told_for_a_moment_after_the_next_start_is_listed() -> None:
    """Guards against dropping signals where the sender reads the start before its next report."""
    gateways = _Gateways()
    gateways.first.record_port_closed("s0")
    _list(gateways.first, 2)
    gateways.report(gateways.first, gateways.second)
    assert [u.run_name for u in gateways.second] == ["s0@1+1"]


def test_a_port_that_refused_once_is_not_told_for_good() -> None:
    """Guards against gateways that keep telling each other of a restart that never was."""
    gateways = _Gateways()
    gateways.first.record_port_closed("s0")
    gateways.report(gateways.first, gateways.second)
    gateways.clock.now_s += upstreams_module.START_LISTED_WITHIN_S
    for upstreams in (gateways.first, gateways.second):
        assert upstreams.list_ended_runs() == {}


def test_repeated_reports_of_one_ended_run_end_it_once() -> None:
    """Guards against ending live runs while others report a start that is not listed here yet."""
    gateways = _Gateways()
    _list(gateways.first, 2)
    gateways.first.record_port_closed("s0")
    for _ in range(3):
        gateways.report(gateways.first, gateways.second)
    assert [u.run_name for u in gateways.second] == ["s0@1+1"]
