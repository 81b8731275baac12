"""The gateway process: an entry that sends requests directly to upstreams without a sidecar."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from http import HTTPStatus

from dalehollow.aio import (
    CallerConnection,
    CallerRequest,
    Connections,
    Handler,
    Limits,
    MemoryBudget,
)
from dalehollow.clock import read_clock, read_wall_clock_ms
from dalehollow.crashes import PROBE_TIMEOUT_S, CulpritRecords, Fingerprint, Suspects
from dalehollow.gateway.contact import EXPIRY_HEARTBEATS, StoreContact
from dalehollow.gateway.copies import StoreCopies
from dalehollow.gateway.crashes import CrashWatch
from dalehollow.gateway.descriptors import count_caller_connections, read_descriptor_limit
from dalehollow.gateway.exchange import STOPPING, serve_request
from dalehollow.gateway.feed import HallFeed
from dalehollow.gateway.limit_tokens import LimitTokens
from dalehollow.gateway.listed import ListedUpstream, Member
from dalehollow.gateway.members import Members
from dalehollow.gateway.outcome import refuse
from dalehollow.gateway.planners import GroupPlanners
from dalehollow.gateway.reports import PeerReports
from dalehollow.gateway.settings import GatewaySettings
from dalehollow.gateway.state import GatewayState, RetryLimits
from dalehollow.gateway.status import StatusSources, make_status_handler, watch_gauges
from dalehollow.gateway.table import CallerLimits, RoutingTable
from dalehollow.gateway.tasks import keep_running
from dalehollow.gateway.upstreams import UpstreamSet
from dalehollow.memory import limit_request_memory
from dalehollow.platform.follow import Follower
from dalehollow.platform.items import Listener
from dalehollow.platform.names import ALL_KEYS_PREFIX, HEADERS
from dalehollow.platform.session import Session
from dalehollow.platform.store import StoreEra
from dalehollow.rendezvous import count_before
from dalehollow.telemetry.logs import log_event

_MS_PER_S = 1000
_BACKLOG = 512
MIN_STOP_S = 3.0
"""A gateway that shuts down listens for this time, in which the balancer checks readiness twice,
once per second."""
ACCEPTING_SHARE = 1 / 2
"""Share of a short grace period for which a gateway that shuts down accepts requests. Later ones
are refused: they may not end within the grace period."""
FULL_LOG_INTERVAL_S = 1.0
MAX_PROBE_TURNS = 30
"""More gateways than these share turns, so that each has one within five minutes."""
PROBE_TURN_MARGIN_S = 1.0
"""Longer than a report takes to any gateway, by which their turns differ."""
STOP_MARGIN_S = 0.6
"""Time reserved at the end of the grace period to close connections."""

_LOG = logging.getLogger(__name__)


class Gateway:
    """Serve callers until stopped."""

    def __init__(self, settings: GatewaySettings) -> None:
        """Create the parts; no socket is opened before `run`."""
        self._settings = settings
        rng = random.Random(f"{settings.name}{time.time_ns()}")
        suspects = Suspects(
            read_clock,
            on_change=lambda: self._reports.schedule_report(),
            on_culprit=lambda: self.state.refuse_crashing(),
            is_probe_turn=self._is_probe_turn,
        )
        self.state = GatewayState(
            names=HEADERS,
            rng=rng,
            upstreams=UpstreamSet(rng, settings.hall),
            retry_limits=RetryLimits(
                window_s=settings.retry_window_ms / _MS_PER_S,
                share=settings.retry_share,
                extra=settings.retry_extra,
                gateways=settings.gateways_expected,
            ),
            connect_timeout_s=settings.connect_timeout_ms / _MS_PER_S,
            crashes=CrashWatch(read_clock, suspects),
            memory=MemoryBudget(limit_request_memory(settings.memory_mb), self._log_memory),
            started_at_s=read_clock(),
        )
        # Bound addresses, valid once `listening` is set; port 0 in the settings picks a free port.
        self.http = self.ready = self.metrics = ""
        # Set by the owner of the log writer: the number of log lines dropped.
        self.lines_left_out: Callable[[], int] = lambda: 0
        self.listening = asyncio.Event()
        self._is_stopping = False
        self.refuses_new = False
        descriptor_limit = read_descriptor_limit(settings.max_descriptors)
        self._callers = Connections[CallerConnection](
            count_caller_connections(descriptor_limit), self._log_full
        )
        self._auxiliary_connections = Connections[CallerConnection]()
        self._full_logged_at_s = self._memory_logged_at_s = float("-inf")
        self._tasks: list[asyncio.Task[None]] = []
        self._members = Members(read_clock, self._record_member)
        outage_s = settings.heartbeat_ms / _MS_PER_S * EXPIRY_HEARTBEATS
        self._feed = HallFeed(
            settings.name,
            read_clock,
            rng,
            lambda changes: self._reports.send_to_hall(changes),
            StoreContact(read_clock, outage_s),
        )
        self.state.upstreams.read_list_age_s = self._read_list_age_s
        self._copies = StoreCopies(self._feed, rng)
        self._era = StoreEra()
        self._reports = PeerReports(
            settings.name,
            settings.hall,
            self.state.upstreams,
            self.state.health,
            self.state.grant_all,
            settings.report_bytes_per_s,
            self._feed,
            self._copies,
            self._members,
            suspects,
        )
        tokens = LimitTokens(
            settings.name,
            settings.hall,
            read_clock,
            self._reports.list_peers,
            self._reports.send,
            self.state.grant_all,
            self.state.standstills.waiting_since_s,
        )
        self._reports.read_sent_at_s = self.state.standstills.waiting_since_s
        self._tokens = self._reports.tokens = self.state.upstreams.tokens = tokens
        self.state.describe_store = self._feed.describe
        self.state.on_change = self._reports.schedule_report

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until `stopping` is set, then finish requests in flight."""
        await self._open_peers()
        self._tasks.append(keep_running("standstills", self.state.standstills.run))
        self._tasks += self._start_store_tasks()
        ready = await self._listen(
            self._settings.ready, self._answer_ready, self._auxiliary_connections
        )
        server = await self._listen(self._settings.http, self._serve, self._callers)
        status = await self._listen_status()
        self.http, self.ready = _read_address(server), _read_address(ready)
        self.listening.set()
        log_event(
            _LOG,
            "started",
            name=self._settings.name,
            hall=self._settings.hall,
            http=self.http,
            ready=self.ready,
            metrics=self.metrics,
        )
        await stopping.wait()
        await self._stop(server)
        ready.close()
        status.close()
        self._peer_server.close()
        for task in (*self._tasks, *self._planners.tasks):
            task.cancel()

    async def _listen_status(self) -> asyncio.Server:
        sources = StatusSources(
            name=self._settings.name,
            hall=self._settings.hall,
            state=self.state,
            planners=self._planners.by_group,
            members=self._members.current,
            holders=self._planners.holders,
            is_ready=self.is_ready,
            store_age_s=self._feed.age_s,
            store_calls=lambda: self._follower.calls,
            lines_left_out=self.lines_left_out,
            callers=self._callers,
        )
        watch_gauges(sources)
        handler = make_status_handler(sources)
        server = await self._listen(self._settings.metrics, handler, self._auxiliary_connections)
        self.metrics = _read_address(server)
        return server

    def is_ready(self) -> bool:
        """Return whether the balancer should send new connections to this gateway."""
        return self.state.table is not None and not self._is_stopping

    def _start_store_tasks(self) -> list[asyncio.Task[None]]:
        state = self.state
        listener = Listener(
            self._apply_table,
            self._apply_upstream,
            state.upstreams.remove,
            self._apply_listed,
            self._planners.record_holder,
            self._planners.record_plan,
            self._culprits.record_stored,
        )
        self._follower = Follower(
            self._settings.store, ALL_KEYS_PREFIX, listener, self._feed, self._era
        )
        return [
            keep_running("follower", self._follower.run),
            keep_running("copies", self._copies.run),
            keep_running("session", self._session.run),
        ]

    async def _open_peers(self) -> None:
        address = await self._bind_peer_port()
        member = Member(address, self._settings.hall)
        self._session = Session(self._settings.store, self._settings.name, member, era=self._era)
        self._planners = GroupPlanners(
            self._settings, self.state, self._session, self._members.current
        )
        self._culprits = CulpritRecords(
            self.state.suspects,
            read_clock,
            read_wall_clock_ms,
            self._session.store_culprit,
            self._count_before,
        )
        self._tasks.append(keep_running("culprits", self._culprits.run))
        self._tasks.append(keep_running("reports", self._reports.run))
        self._tasks.append(keep_running("tokens", self._tokens.run))

    async def _bind_peer_port(self) -> str:
        """Bind one port for datagrams and connections of other gateways; return the address.

        If the settings give port 0, a port that is free for datagrams only is released, and another
        one is tried.
        """
        loop = asyncio.get_running_loop()
        host, _, wanted = self._settings.peer.rpartition(":")
        while True:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: self._reports, local_addr=(host, int(wanted))
            )
            address = "{}:{}".format(*transport.get_extra_info("sockname")[:2])
            try:
                self._peer_server = await self._listen(
                    address, self._copies.answer, self._auxiliary_connections
                )
                return address
            except OSError as exc:
                transport.close()
                if int(wanted):
                    raise
                log_event(_LOG, "peer_port_taken", address=address, error=exc)

    def _apply_table(self, table: RoutingTable) -> None:
        self.state.apply_table(table)
        if self.state.table is None:
            return
        for upstream in self.state.upstreams:
            self._planners.plan_group_of(upstream.listed)

    def _read_list_age_s(self) -> float:
        """Return for how long this process has read the list without an outage of the store."""
        return min(self._feed.contact.unbroken_s(), self.state.standstills.running_for_s())

    def _apply_upstream(self, listed: ListedUpstream) -> None:
        before = self.state.upstreams.find(listed.incarnation)
        self.state.upstreams.put(listed)
        if before is None or listed.started_at_ms > before.started_at_ms:
            self.state.crashes.record_started(listed)
        self._planners.plan_group_of(listed)
        if not listed.group or before is None or before == listed:
            return
        now_s = asyncio.get_running_loop().time()
        is_new_epoch = listed.group_epoch > before.group_epoch
        if listed.group_is_open and is_new_epoch:
            self.state.health.record_served(listed.group_key, now_s)
            self.state.grant_all()
            self._planners.record_epoch(listed)
        elif not listed.group_is_open and before.group_is_open:
            self.state.health.record_refused(listed.group_key, now_s)

    def _apply_listed(self, name: str, member: Member | None) -> None:
        self._members.record_listed(name, member)
        if name == self._settings.name and member is None:
            self._session.record_unlisted()

    def _record_member(self, name: str, member: Member | None) -> None:
        self._reports.record_member(name, member)
        self.state.record_gateways(len(self._members.current))
        log_event(
            _LOG,
            "member_gone" if member is None else "member_up",
            name=name,
            count=len(self._members.current),
        )

    def _is_probe_turn(self, fingerprint: Fingerprint, since_s: float) -> bool:
        """Return whether this gateway may probe a culprit, as each may in turn.

        A turn is as long as a probe, so that the others hear of it before theirs begins.
        """
        turns = min(max(1, len(self._members.current)), MAX_PROBE_TURNS)
        own_turn = self._count_before(fingerprint) % turns
        turn, elapsed_s = divmod(since_s, PROBE_TIMEOUT_S)
        return turn % turns == own_turn and elapsed_s < PROBE_TIMEOUT_S - PROBE_TURN_MARGIN_S

    def _count_before(self, fingerprint: Fingerprint) -> int:
        """Return how many gateways come before this one in what one does for all."""
        return count_before(self._members.current, self._settings.name, fingerprint.hex())

    async def _listen(
        self, address: str, handler: Handler, connections: Connections[CallerConnection]
    ) -> asyncio.Server:
        host, _, port = address.rpartition(":")
        return await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(handler, self._read_limits, connections, self.state.memory),
            host,
            int(port),
            backlog=_BACKLOG,
            reuse_address=True,
        )

    def _log_full(self) -> None:
        """Log that a caller's connection has no room, at most once per second."""
        now_s = read_clock()
        if now_s - self._full_logged_at_s < FULL_LOG_INTERVAL_S:
            return
        self._full_logged_at_s = now_s
        log_event(
            _LOG,
            "callers_at_limit",
            logging.WARNING,
            open=len(self._callers),
            limit=self._callers.max_count,
            closed_idle=self._callers.closed_idle,
            turned_away=self._callers.turned_away,
        )

    def _log_memory(self) -> None:
        """Log that requests or answers hold too much memory, at most once per second."""
        now_s = read_clock()
        if now_s - self._memory_logged_at_s < FULL_LOG_INTERVAL_S:
            return
        self._memory_logged_at_s = now_s
        memory = self.state.memory
        log_event(
            _LOG,
            "memory_at_limit",
            logging.WARNING,
            held_bytes=memory.used_bytes,
            served_bytes=memory.kept_bytes,
            limit_bytes=memory.limit_bytes,
            dropped=memory.dropped,
        )

    def _read_limits(self) -> Limits:
        limits = self.state.table.limits if self.state.table is not None else CallerLimits()
        return Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / _MS_PER_S,
            limits.idle_timeout_ms / _MS_PER_S,
        )

    async def _serve(self, caller: CallerConnection, request: CallerRequest) -> None:
        if self._is_stopping:
            caller.keep_alive = False
        if self.refuses_new:
            refuse(self.state, caller, request, STOPPING)
            return
        await serve_request(self.state, caller, request)

    async def _answer_ready(self, connection: CallerConnection, request: CallerRequest) -> None:
        status = HTTPStatus.OK if self.is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        connection.send_response(status, [], b"")

    async def _stop(self, server: asyncio.Server) -> None:
        """Serve until the balancer has noticed and no request is in flight, within the grace."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self._is_stopping = True
        self._planners.stop()
        serving_s = max(0.0, self._settings.stop_grace_ms / _MS_PER_S - STOP_MARGIN_S)
        listening_s = min(MIN_STOP_S, serving_s)
        accepting_s = min(listening_s, serving_s * ACCEPTING_SHARE)
        last_s = began_s + serving_s
        log_event(_LOG, "stopping", in_hand=self._count_in_flight())
        self.state.end_requests_at(last_s)
        self._close_idle()
        await asyncio.sleep(accepting_s)
        self.refuses_new = True
        await asyncio.sleep(listening_s - accepting_s)
        while self._count_in_flight() and loop.time() < last_s:
            await asyncio.sleep(0.02)
        server.close()
        self._close_idle()
        await self._session.end()
        while self._count_in_flight() and loop.time() < last_s:
            await asyncio.sleep(0.02)
        log_event(_LOG, "stopped", in_hand=self._count_in_flight())

    def _close_idle(self) -> None:
        for caller in list(self._callers):
            caller.close_if_idle()

    def _count_in_flight(self) -> int:
        return sum(1 for caller in self._callers if caller.is_busy)


def _read_address(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"
