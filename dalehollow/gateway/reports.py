"""Exchange load reports between gateways by datagram.

Within a hall, each gateway sends a load report to every other one on a change, and a few times per
second without a change. One gateway of a hall, normally the relay, sends every other hall one
report of the hall's total requests in flight, and what it knows of upstream limits and of requests
that crash upstreams; the receiving gateway forwards it within its own hall. Reports are soft state:
the next one makes up for a lost datagram, and gateways that fall silent are dropped.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import cast

import msgspec

from dalehollow.crashes import Suspects
from dalehollow.gateway.copies import StoreCopies
from dalehollow.gateway.feed import HallFeed
from dalehollow.gateway.health import GroupHealth
from dalehollow.gateway.limit_tokens import LimitTokens, Peer
from dalehollow.gateway.listed import Member
from dalehollow.gateway.members import Members
from dalehollow.gateway.tasks import wait_set
from dalehollow.gateway.upstream import REPORTED_LOAD_LIFE_S
from dalehollow.gateway.upstreams import ENDED_RUN_REPORTED_S, UpstreamSet
from dalehollow.protocol.reports import (
    EndedRun,
    HallReport,
    HallSignals,
    Limit,
    LoadReport,
    PeerMessage,
    StoreView,
    TokenGrant,
    TokenRequest,
)
from dalehollow.protocol.revisions import read_era
from dalehollow.telemetry.logs import log_event

REPORT_INTERVAL_S = 0.05
"""Less than half an engine pass, so that a change within a pass is reported before the next."""
IDLE_INTERVAL_S = 0.25
"""Less than half of `RELAY_SILENT_S`, after which a relay counts as silent."""
DATAGRAM_HEADER_BYTES = 28
SILENT_AFTER_S = 1.5
"""Six idle intervals: the load of a gateway that is gone must not block slots for long."""
HALL_SILENT_AFTER_S = 3.0
"""Reports between halls stay within a byte budget, so they are less frequent."""
LIMIT_END_REPORTED_S = 10.0
"""The end of an upstream's limit is reported for this time, so that it reaches other halls."""
SIGNALS_SHARE = 0.5
"""Limits and suspicions may take this share of `remote_bytes_per_s`, on top of the load totals."""
MAX_SUSPECTS_TO_HALLS = 16
SUSPECTS_INTERVAL_S = 1.0
"""Interval at which unchanged suspicions are repeated within a hall."""
ENDED_RUNS_INTERVAL_S = 1.0
"""Interval at which runs that ended longer ago are reported again within a hall."""
REPRESENTATIVE_SILENT_S = 1.0
"""A gateway of another hall that is silent for this time is no longer its hall's representative."""

_LOG = logging.getLogger(__name__)

_Address = tuple[str, int]


@dataclass
class _PeerLoad:
    in_flight_counts: Mapping[str, int]
    heard_at_s: float
    silent_after_s: float


@dataclass
class _RemoteHall:
    """The gateways of another hall by name, and its representative: the one heard last."""

    members: dict[str, _Address]
    representative: _Address | None = None
    heard_at_s: float = float("-inf")
    _next_index: int = 0

    def select_address(self, now_s: float) -> _Address:
        """Return the address of the representative, or of each gateway in turn if it is silent."""
        if self.representative is not None and now_s - self.heard_at_s < REPRESENTATIVE_SILENT_S:
            return self.representative
        self._next_index += 1
        names = sorted(self.members)
        return self.members[names[self._next_index % len(names)]]


class PeerReports(asyncio.DatagramProtocol):
    """Own the peer socket, and the last reports of the peers."""

    def __init__(
        self,
        name: str,
        hall: str,
        upstreams: UpstreamSet,
        health: GroupHealth,
        on_change: Callable[[], None],
        remote_bytes_per_s: float,
        feed: HallFeed,
        copies: StoreCopies,
        members: Members,
        suspects: Suspects,
    ) -> None:
        """Create the exchange; `on_change` is called after each report received.

        Load totals to other halls stay within `remote_bytes_per_s`. Of a received report, the store
        state goes to `feed`, the revision to `copies`, the sender to `members`, and the suspected
        fingerprints to `suspects`.
        """
        self._name = name
        self._hall = hall
        self._remote_bytes_per_s = remote_bytes_per_s
        self._next_total_at_s = self._next_signals_at_s = 0.0
        self._upstreams = upstreams
        self._health = health
        self._on_change = on_change
        self._feed = feed
        feed.on_revision_advanced = self.schedule_report
        self._copies = copies
        self._members = members
        self._suspects = suspects
        self._suspects_sent_at_s, self._suspects_changes_sent = float("-inf"), 0
        self._ended_runs_sent_at_s = float("-inf")
        # Set by the owner if limits of upstreams are shared among gateways.
        self.tokens: LimitTokens | None = None
        # Returns the earliest time at which a message handled now may have been sent, which is long
        # ago after a standstill of this process. Set by the owner.
        self.read_sent_at_s: Callable[[], float] = lambda: asyncio.get_running_loop().time()
        self._transport: asyncio.DatagramTransport | None = None
        self._hall_peers: dict[str, _Address] = {}
        self._remote_halls: dict[str, _RemoteHall] = {}
        self._peer_loads: dict[str, _PeerLoad] = {}
        self._hall_loads: dict[str, _PeerLoad] = {}
        self._changed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # The event loop's transport class does not derive from the abstract one, so an isinstance
        # check would fail.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: _Address) -> None:
        """Decode and dispatch a message of a peer."""
        try:
            message = msgspec.msgpack.decode(data, type=PeerMessage)
        except msgspec.MsgspecError as exc:
            log_event(_LOG, "report_unreadable", logging.WARNING, sender=addr[0], error=exc)
            return
        if isinstance(message, LoadReport):
            self._handle_load(message, addr)
        elif isinstance(message, HallReport):
            self._handle_hall(message, addr)
        elif isinstance(message, HallSignals):
            self._handle_hall_signals(message)
        elif isinstance(message, TokenRequest):
            if self.tokens is not None:
                self.tokens.handle_token_request(message, addr[:2])
        elif isinstance(message, TokenGrant):
            if self.tokens is not None:
                self.tokens.handle_token_grant(message)
        else:
            # A relay forwards responses of the store at once, so the store answered then.
            self._feed.contact.record_answered(self.read_sent_at_s())
            self._feed.apply_changes(message)

    def error_received(self, exc: Exception) -> None:
        """Log an undelivered datagram; a peer that is gone is detected by its silence."""
        log_event(_LOG, "report_undelivered", logging.DEBUG, error=exc)

    def record_member(self, name: str, member: Member | None) -> None:
        """Add or update a gateway, or remove it if `member` is None."""
        self._hall_peers.pop(name, None)
        for hall in self._remote_halls.values():
            hall.members.pop(name, None)
        self._remote_halls = {
            name: hall for name, hall in self._remote_halls.items() if hall.members
        }
        if member is None:
            self._drop(self._peer_loads, name)
        elif name != self._name:
            host, _, port = member.address.rpartition(":")
            address = (host, int(port))
            if member.hall == self._hall:
                self._hall_peers[name] = address
            else:
                self._remote_halls.setdefault(member.hall, _RemoteHall({})).members[name] = address
        self._changed.set()

    def schedule_report(self) -> None:
        """Schedule a report."""
        self._changed.set()

    def list_peers(self) -> list[Peer]:
        """Return the other gateways."""
        heard = self._peer_loads
        same_hall = [
            Peer(n, self._hall, address, n in heard) for n, address in self._hall_peers.items()
        ]
        other_halls = [
            Peer(name, hall, address, False)
            for hall, known in self._remote_halls.items()
            for name, address in known.members.items()
        ]
        return same_hall + other_halls

    def send(self, message: PeerMessage, address: _Address) -> None:
        """Send a message to one gateway."""
        self._send(msgspec.msgpack.encode(message), address)

    def send_to_hall(self, message: PeerMessage) -> None:
        """Send a message to each other gateway of the hall."""
        data = msgspec.msgpack.encode(message)
        for address in self._hall_peers.values():
            self._send(data, address)

    async def run(self) -> None:
        """Send reports; never returns."""
        while True:
            await wait_set(self._changed, IDLE_INTERVAL_S)
            self._changed.clear()
            self._drop_silent(self._peer_loads)
            self._drop_silent(self._hall_loads)
            self._members.forget_silent()
            self._send_reports()
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _handle_load(self, report: LoadReport, addr: _Address) -> None:
        if report.sender == self._name:
            return
        self._record_sender(report.sender, self._hall, addr)
        self._update_load(self._peer_loads, report.sender, report.in_flight_counts, SILENT_AFTER_S)
        self._update_health(report.served_age_s, report.refused_age_s)
        sent_at_s = self.read_sent_at_s()
        for incarnation, (unknown, age_s) in report.unknown.items():
            self._upstreams.record_untracked(incarnation, unknown, sent_at_s - age_s)
        self._update_ended_runs(report.ended_runs)
        self._update_limits(report.limits)
        self._suspects.merge_reported(report.suspects)
        self._feed.record_peer(report.sender)
        self._record_view(report.view, self._hall_peers.get(report.sender))
        if report.relay is not None:
            self._feed.record_relay(report.sender, report.relay)
        if self._feed.relay_state() is not None:
            # The hall's total, which this relay reports to other halls, has changed too.
            self._changed.set()
        self._on_change()

    def _handle_hall(self, report: HallReport, addr: _Address) -> None:
        if report.hall == self._hall:
            return
        self._update_load(
            self._hall_loads, report.hall, report.in_flight_counts, HALL_SILENT_AFTER_S
        )
        self._update_health(report.served_age_s, report.refused_age_s)
        self._record_view(report.view, None if report.is_passed_on else addr)
        if not report.is_passed_on:
            self._record_sender(report.sender, report.hall, addr)
            hall = self._remote_halls.get(report.hall)
            if hall is not None:
                hall.representative, hall.heard_at_s = addr[:2], asyncio.get_running_loop().time()
            self.send_to_hall(msgspec.structs.replace(report, is_passed_on=True))
        self._on_change()

    def _handle_hall_signals(self, signals: HallSignals) -> None:
        if signals.hall == self._hall:
            return
        self._update_ended_runs(signals.ended_runs)
        self._update_limits(signals.limits)
        self._suspects.merge_reported(signals.suspects)
        if not signals.is_passed_on:
            self.send_to_hall(msgspec.structs.replace(signals, is_passed_on=True))

    def _record_sender(self, name: str, hall: str, address: _Address) -> None:
        """Record the sender: a gateway listens at the port that it sends from."""
        if name:
            self._members.record_heard(name, Member(f"{address[0]}:{address[1]}", hall))

    def _record_view(self, view: StoreView | None, address: _Address | None) -> None:
        """Record a peer's store state; it serves copies at the port of its datagrams."""
        if view is None:
            return
        if view.revision:
            self._feed.contact.record_era(read_era(view.revision), view.era_heard_s)
        delay_s = asyncio.get_running_loop().time() - self.read_sent_at_s()
        self._feed.contact.record_peer_contact(view.answer_age_s + delay_s, view.unbroken_s)
        if address is not None:
            self._copies.record_peer_revision(f"{address[0]}:{address[1]}", view.revision)

    def _update_health(
        self, served_age_s: Mapping[str, float], refused_age_s: Mapping[str, float]
    ) -> None:
        sent_at_s = self.read_sent_at_s()
        for service, age_s in served_age_s.items():
            self._health.record_served(service, sent_at_s - age_s)
        for service, age_s in refused_age_s.items():
            self._health.record_refused(service, sent_at_s - age_s)

    def _update_limits(self, limits: Mapping[str, Limit]) -> None:
        sent_at_s = self.read_sent_at_s()
        for incarnation, limit in limits.items():
            self._upstreams.record_reported_limit(
                incarnation, limit.rate_per_s, sent_at_s - limit.age_s, limit.run
            )

    def _update_ended_runs(self, ended_runs: Mapping[str, EndedRun]) -> None:
        sent_at_s = self.read_sent_at_s()
        for incarnation, ended in ended_runs.items():
            self._upstreams.record_reported_end(incarnation, ended.run, sent_at_s - ended.age_s)

    def _list_ended_runs(self, now_s: float) -> dict[str, EndedRun]:
        return {
            incarnation: EndedRun(run, round(now_s - at_s, 3))
            for incarnation, (run, at_s) in self._upstreams.list_ended_runs().items()
        }

    def _list_limits(self, now_s: float) -> dict[str, Limit]:
        """Return the limits of upstreams, and None for those whose limit ended recently."""
        limits = {}
        for upstream in self._upstreams:
            run = upstream.limit_run()
            rate_per_s = run.reported_state.limit_per_s
            age_s = now_s - run.reported_state.limit_reported_at_s
            if rate_per_s is not None or age_s < LIMIT_END_REPORTED_S:
                limits[run.listed.incarnation] = Limit(rate_per_s, round(age_s, 3), run.run)
        return limits

    def _send_reports(self) -> None:
        if self._transport is None or not (self._hall_peers or self._remote_halls):
            return
        now_s = asyncio.get_running_loop().time()
        in_flight_counts = {
            u.listed.incarnation: count for u in self._upstreams if (count := u.own_in_flight())
        }
        served = _list_ages(self._health.served_at_s, now_s)
        refused = _list_ages(self._health.refused_at_s, now_s)
        relay = self._feed.relay_state()
        unknown = {
            u.listed.incarnation: (u.untracked, round(now_s - u.untracked_at_s, 3))
            for u in self._upstreams
            if now_s - u.untracked_at_s < REPORTED_LOAD_LIFE_S
        }
        view = self._feed.view()
        limits, ended_runs = self._list_limits(now_s), self._list_ended_runs(now_s)
        suspects = self._suspects.export_suspicions() if self._must_send_suspects(now_s) else {}
        report = LoadReport(
            self._name,
            in_flight_counts,
            served,
            refused,
            unknown,
            relay,
            view,
            limits,
            suspects,
            self._select_ended_runs(ended_runs, now_s),
        )
        self.send_to_hall(report)
        if not self._feed.reports_to_other_halls():
            return
        if now_s >= self._next_total_at_s:
            total = HallReport(
                self._hall,
                self._sum_hall_load(in_flight_counts),
                served,
                refused,
                sender=self._name,
                view=view,
            )
            self._next_total_at_s = (
                now_s + self._send_to_halls(total, now_s) / self._remote_bytes_per_s
            )
        if now_s < self._next_signals_at_s:
            return
        suspects = self._suspects.export_suspicions(MAX_SUSPECTS_TO_HALLS)
        if limits or suspects or ended_runs:
            signals = HallSignals(self._hall, limits, suspects, ended_runs=ended_runs)
            size = self._send_to_halls(signals, now_s)
            pause_s = size / (SIGNALS_SHARE * self._remote_bytes_per_s)
            self._next_signals_at_s = now_s + max(IDLE_INTERVAL_S, pause_s)

    def _must_send_suspects(self, now_s: float) -> bool:
        """Return whether suspicions have changed, or may have been lost with a datagram."""
        changes = self._suspects.changes
        is_repetition = now_s - self._suspects_sent_at_s >= SUSPECTS_INTERVAL_S
        if changes == self._suspects_changes_sent and not is_repetition:
            return False
        self._suspects_sent_at_s, self._suspects_changes_sent = now_s, changes
        return True

    def _select_ended_runs(
        self, ended_runs: Mapping[str, EndedRun], now_s: float
    ) -> dict[str, EndedRun]:
        """Return the recently ended runs, and all of them once per `ENDED_RUNS_INTERVAL_S`."""
        if now_s - self._ended_runs_sent_at_s >= ENDED_RUNS_INTERVAL_S:
            self._ended_runs_sent_at_s = now_s
            return dict(ended_runs)
        return {n: run for n, run in ended_runs.items() if run.age_s < ENDED_RUN_REPORTED_S}

    def _sum_hall_load(self, in_flight_counts: Mapping[str, int]) -> dict[str, int]:
        """Return the requests in flight of all gateways of the hall, this one included."""
        total = Counter(in_flight_counts)
        for load in self._peer_loads.values():
            total.update(load.in_flight_counts)
        return dict(total)

    def _send_to_halls(self, message: HallReport | HallSignals, now_s: float) -> int:
        """Send a message to each other hall; return the bytes sent, datagram headers included."""
        data = msgspec.msgpack.encode(message)
        for hall in self._remote_halls.values():
            self._send(data, hall.select_address(now_s))
        return (len(data) + DATAGRAM_HEADER_BYTES) * len(self._remote_halls)

    def _send(self, data: bytes, address: _Address) -> None:
        if self._transport is not None:
            self._transport.sendto(data, address)

    def _update_load(
        self,
        reports: dict[str, _PeerLoad],
        name: str,
        in_flight_counts: Mapping[str, int],
        silent_after_s: float,
    ) -> None:
        before = reports.get(name)
        now_s = asyncio.get_running_loop().time()
        reports[name] = _PeerLoad(in_flight_counts, now_s, silent_after_s)
        for incarnation in {*in_flight_counts, *(before.in_flight_counts if before else ())}:
            change = in_flight_counts.get(incarnation, 0)
            if before is not None:
                change -= before.in_flight_counts.get(incarnation, 0)
            self._upstreams.adjust_others(incarnation, change)

    def _drop(self, reports: dict[str, _PeerLoad], name: str) -> None:
        if name in reports:
            self._update_load(reports, name, {}, 0.0)
            del reports[name]

    def _drop_silent(self, reports: dict[str, _PeerLoad]) -> None:
        now_s = asyncio.get_running_loop().time()
        for name, load in list(reports.items()):
            if now_s - load.heard_at_s > load.silent_after_s:
                self._drop(reports, name)
                log_event(_LOG, "peer_silent", name=name)


def _list_ages(times: Mapping[str, float], now_s: float) -> dict[str, float]:
    return {service: round(now_s - at_s, 3) for service, at_s in times.items()}
