"""Tell the other gateways what this one has in hand, and keep what they tell.

Within a hall a load report goes to each gateway when something has changed, and a few times a
second without a change. To every other hall one gateway, as a rule the relay, sends one report of
all that its hall has in hand, and what it knows of limits and of requests that crash upstreams;
the gateway that gets it passes it on within its own. It is soft
state: a lost datagram is made up for by the next, and who falls silent is forgotten.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import cast

import msgspec

from dalehollow.gateway.copies import StoreCopies
from dalehollow.gateway.crashes import CrashWatch
from dalehollow.gateway.feed import HallFeed
from dalehollow.gateway.health import GroupHealth
from dalehollow.gateway.limit_tokens import LimitTokens, Peer
from dalehollow.gateway.listed import Member
from dalehollow.gateway.members import Members
from dalehollow.gateway.tasks import wait_set
from dalehollow.gateway.upstream import TOLD_LIFE_S
from dalehollow.gateway.upstreams import UpstreamSet
from dalehollow.protocol.reports import (
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
"""Less than half of a pass of an engine: what changes within a pass is told before the next."""
IDLE_INTERVAL_S = 0.25
"""Less than half of the time after which a relay counts as silent."""
DATAGRAM_HEAD_BYTES = 28
SILENT_AFTER_S = 1.5
"""Six idle intervals: the load of a gateway that is gone must not bind others for long."""
HALL_SILENT_AFTER_S = 3.0
"""Reports of halls are kept within a budget of bytes, so they come more seldom."""
LIMIT_END_TOLD_S = 10.0
"""That an upstream has no limit any more is told for so long: other halls hear of it in time."""
SIGNALS_SHARE = 0.5
"""Of the bytes to other halls so much may go to limits and suspicions beside the sums of loads."""
SPEAKER_SILENT_S = 1.0
"""A gateway of another hall that was not heard for so long is no more the one to send to."""

_LOG = logging.getLogger(__name__)

_Address = tuple[str, int]


@dataclass
class _Reported:
    in_hand: Mapping[str, int]
    heard_at_s: float
    silent_after_s: float


@dataclass
class _FarHall:
    """Hold the gateways of another hall by name, and the one that was heard last."""

    members: dict[str, _Address]
    speaker: _Address | None = None
    heard_at_s: float = float("-inf")
    _turn: int = 0

    def choose_address(self, now_s: float) -> _Address:
        """Return where to send: to the one that speaks for its hall, else to each in turn."""
        if self.speaker is not None and now_s - self.heard_at_s < SPEAKER_SILENT_S:
            return self.speaker
        self._turn += 1
        names = sorted(self.members)
        return self.members[names[self._turn % len(names)]]


class PeerReports(asyncio.DatagramProtocol):
    """Hold the socket and what the peers told last."""

    def __init__(
        self,
        name: str,
        hall: str,
        upstreams: UpstreamSet,
        health: GroupHealth,
        on_change: Callable[[], None],
        far_bytes_per_s: float,
        feed: HallFeed,
        copies: StoreCopies,
        members: Members,
        crashes: CrashWatch,
    ) -> None:
        """Prepare; `on_change` is called after each report that was taken in.

        Reports to other halls stay within `far_bytes_per_s`. What they tell of the store goes to
        `feed`, how much of it they know to `copies`, who was heard to `members`, and which requests
        they suspect to `crashes`.
        """
        self._name = name
        self._hall = hall
        self._far_bytes_per_s = far_bytes_per_s
        self._far_from_s = self._signals_from_s = 0.0
        self._upstreams = upstreams
        self._health = health
        self._on_change = on_change
        self._feed = feed
        feed.on_moved = self.note_change
        self._copies = copies
        self._members = members
        self._crashes = crashes
        # Set by whoever shares limits of upstreams.
        self.tokens: LimitTokens | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._near: dict[str, _Address] = {}
        self._far: dict[str, _FarHall] = {}
        self._near_reports: dict[str, _Reported] = {}
        self._hall_reports: dict[str, _Reported] = {}
        self._changed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        # The event loop's own class does not derive from the abstract one: nothing to check.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: _Address) -> None:
        """Take a peer's message in."""
        try:
            message = msgspec.msgpack.decode(data, type=PeerMessage)
        except msgspec.MsgspecError as exc:
            log_event(_LOG, "report_unreadable", logging.WARNING, sender=addr[0], error=exc)
            return
        if isinstance(message, LoadReport):
            self._take_load(message, addr)
        elif isinstance(message, HallReport):
            self._take_hall(message, addr)
        elif isinstance(message, HallSignals):
            self._take_hall_signals(message)
        elif isinstance(message, TokenRequest):
            if self.tokens is not None:
                self.tokens.take_ask(message, addr[:2])
        elif isinstance(message, TokenGrant):
            if self.tokens is not None:
                self.tokens.take_grant(message)
        else:
            # A relay passes on at once what the store answered.
            self._feed.contact.note_answered()
            self._feed.take_changes(message)

    def error_received(self, exc: Exception) -> None:
        """Note a datagram that could not be delivered; the peer's silence tells the rest."""
        log_event(_LOG, "report_undelivered", logging.DEBUG, error=exc)

    def note_member(self, name: str, member: Member | None) -> None:
        """Add or forget a gateway."""
        self._near.pop(name, None)
        for hall in self._far.values():
            hall.members.pop(name, None)
        self._far = {name: hall for name, hall in self._far.items() if hall.members}
        if member is None:
            self._forget(self._near_reports, name)
        elif name != self._name:
            host, _, port = member.address.rpartition(":")
            address = (host, int(port))
            if member.hall == self._hall:
                self._near[name] = address
            else:
                self._far.setdefault(member.hall, _FarHall({})).members[name] = address
        self._changed.set()

    def note_change(self) -> None:
        """Ask for a report to go out soon."""
        self._changed.set()

    def list_peers(self) -> list[Peer]:
        """Return the other gateways that are there."""
        heard = self._near_reports
        near = [Peer(n, self._hall, address, n in heard) for n, address in self._near.items()]
        far = [
            Peer(name, hall, address, False)
            for hall, known in self._far.items()
            for name, address in known.members.items()
        ]
        return near + far

    def send(self, message: PeerMessage, address: _Address) -> None:
        """Send a message to one gateway."""
        self._send(msgspec.msgpack.encode(message), address)

    def send_near(self, message: PeerMessage) -> None:
        """Send a message to each other gateway of the hall."""
        data = msgspec.msgpack.encode(message)
        for address in self._near.values():
            self._send(data, address)

    async def run(self) -> None:
        """Report, for ever."""
        while True:
            await wait_set(self._changed, IDLE_INTERVAL_S)
            self._changed.clear()
            self._forget_silent(self._near_reports)
            self._forget_silent(self._hall_reports)
            self._members.forget_silent()
            self._report()
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _take_load(self, report: LoadReport, addr: _Address) -> None:
        if report.sender == self._name:
            return
        self._note_heard(report.sender, self._hall, addr)
        self._replace(self._near_reports, report.sender, report.in_hand, SILENT_AFTER_S)
        self._take_health(report.served_age_s, report.refused_age_s)
        now_s = asyncio.get_running_loop().time()
        for incarnation, (unknown, age_s) in report.unknown.items():
            self._upstreams.note_unknown(incarnation, unknown, now_s - age_s)
        self._take_limits(report.limits)
        self._crashes.take_told(report.suspects)
        self._feed.note_peer(report.sender)
        self._note_view(report.view, self._near.get(report.sender))
        if report.relay is not None:
            self._feed.note_relay(report.sender, report.relay)
        if self._feed.relay_state() is not None:
            # What this relay tells other halls has changed too.
            self._changed.set()
        self._on_change()

    def _take_hall(self, report: HallReport, addr: _Address) -> None:
        if report.hall == self._hall:
            return
        self._replace(self._hall_reports, report.hall, report.in_hand, HALL_SILENT_AFTER_S)
        self._take_health(report.served_age_s, report.refused_age_s)
        self._note_view(report.view, None if report.is_passed_on else addr)
        if not report.is_passed_on:
            self._note_heard(report.sender, report.hall, addr)
            hall = self._far.get(report.hall)
            if hall is not None:
                hall.speaker, hall.heard_at_s = addr[:2], asyncio.get_running_loop().time()
            self.send_near(msgspec.structs.replace(report, is_passed_on=True))
        self._on_change()

    def _take_hall_signals(self, signals: HallSignals) -> None:
        if signals.hall == self._hall:
            return
        self._take_limits(signals.limits)
        self._crashes.take_told(signals.suspects)
        if not signals.is_passed_on:
            self.send_near(msgspec.structs.replace(signals, is_passed_on=True))

    def _note_heard(self, name: str, hall: str, address: _Address) -> None:
        """Note who speaks: it listens at the port that it sends from."""
        if name:
            self._members.note_heard(name, Member(f"{address[0]}:{address[1]}", hall))

    def _note_view(self, view: StoreView | None, address: _Address | None) -> None:
        """Note what a gateway knows; it gives copies at the port of its datagrams."""
        if view is None:
            return
        if view.revision:
            self._feed.contact.note_era(read_era(view.revision), view.era_heard_s)
        self._feed.contact.note_told(view.answer_age_s, view.unbroken_s)
        if address is not None:
            self._copies.note_told(f"{address[0]}:{address[1]}", view.revision)

    def _take_health(
        self, served_age_s: Mapping[str, float], refused_age_s: Mapping[str, float]
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        for service, age_s in served_age_s.items():
            self._health.note_served(service, now_s - age_s)
        for service, age_s in refused_age_s.items():
            self._health.note_refused(service, now_s - age_s)

    def _take_limits(self, limits: Mapping[str, Limit]) -> None:
        now_s = asyncio.get_running_loop().time()
        for incarnation, limit in limits.items():
            self._upstreams.note_limit_told(incarnation, limit.rate_per_s, now_s - limit.age_s)

    def _list_limits(self, now_s: float) -> dict[str, Limit]:
        """Return the limits of upstreams, and for a while that there is none any more."""
        limits = {}
        for upstream in self._upstreams:
            rate_per_s, age_s = upstream.said.limit_per_s, now_s - upstream.said.limit_told_at_s
            if rate_per_s is not None or age_s < LIMIT_END_TOLD_S:
                limits[upstream.listed.incarnation] = Limit(rate_per_s, round(age_s, 3))
        return limits

    def _report(self) -> None:
        if self._transport is None or not (self._near or self._far):
            return
        now_s = asyncio.get_running_loop().time()
        in_hand = {u.listed.incarnation: u.in_hand for u in self._upstreams if u.in_hand}
        served = _list_ages(self._health.served_at_s, now_s)
        refused = _list_ages(self._health.refused_at_s, now_s)
        relay = self._feed.relay_state()
        unknown = {
            u.listed.incarnation: (u.unknown, round(now_s - u.unknown_at_s, 3))
            for u in self._upstreams
            if now_s - u.unknown_at_s < TOLD_LIFE_S
        }
        view = self._feed.view()
        limits = self._list_limits(now_s)
        suspects = self._crashes.tell()
        report = LoadReport(
            self._name, in_hand, served, refused, unknown, relay, view, limits, suspects
        )
        self.send_near(report)
        if not self._feed.speaks_for_hall():
            return
        if now_s >= self._far_from_s:
            total = HallReport(
                self._hall, self._sum_hall(in_hand), served, refused, sender=self._name, view=view
            )
            self._far_from_s = now_s + self._send_halls(total, now_s) / self._far_bytes_per_s
        if (limits or suspects) and now_s >= self._signals_from_s:
            size = self._send_halls(HallSignals(self._hall, limits, suspects), now_s)
            pause_s = size / (SIGNALS_SHARE * self._far_bytes_per_s)
            self._signals_from_s = now_s + max(IDLE_INTERVAL_S, pause_s)

    def _sum_hall(self, in_hand: Mapping[str, int]) -> dict[str, int]:
        """Return what all gateways of the hall have in hand, with this one's own."""
        total = Counter(in_hand)
        for reported in self._near_reports.values():
            total.update(reported.in_hand)
        return dict(total)

    def _send_halls(self, message: HallReport | HallSignals, now_s: float) -> int:
        """Send a message to each other hall; return the bytes that this takes."""
        data = msgspec.msgpack.encode(message)
        for hall in self._far.values():
            self._send(data, hall.choose_address(now_s))
        return (len(data) + DATAGRAM_HEAD_BYTES) * len(self._far)

    def _send(self, data: bytes, address: _Address) -> None:
        if self._transport is not None:
            self._transport.sendto(data, address)

    def _replace(
        self,
        reports: dict[str, _Reported],
        name: str,
        in_hand: Mapping[str, int],
        silent_after_s: float,
    ) -> None:
        before = reports.get(name)
        now_s = asyncio.get_running_loop().time()
        reports[name] = _Reported(in_hand, now_s, silent_after_s)
        for incarnation in {*in_hand, *(before.in_hand if before else ())}:
            change = in_hand.get(incarnation, 0)
            if before is not None:
                change -= before.in_hand.get(incarnation, 0)
            self._upstreams.add_others(incarnation, change)

    def _forget(self, reports: dict[str, _Reported], name: str) -> None:
        if name in reports:
            self._replace(reports, name, {}, 0.0)
            del reports[name]

    def _forget_silent(self, reports: dict[str, _Reported]) -> None:
        now_s = asyncio.get_running_loop().time()
        for name, reported in list(reports.items()):
            if now_s - reported.heard_at_s > reported.silent_after_s:
                self._forget(reports, name)
                log_event(_LOG, "peer_silent", name=name)


def _list_ages(times: Mapping[str, float], now_s: float) -> dict[str, float]:
    return {service: round(now_s - at_s, 3) for service, at_s in times.items()}
