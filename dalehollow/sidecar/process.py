"""Run a sidecar: its servers, configuration and graceful shutdown."""

from __future__ import annotations

import dataclasses
import json
import logging
import time

from result import Ok, Result

from dalehollow.clock import read_clock, read_wall_clock_ms
from dalehollow.config.holder import ActiveConfig, ConfigHolder
from dalehollow.config.spread import ConfigSync, compute_poll_limit_ms
from dalehollow.crashes import CrashDetector, SharedSuspects
from dalehollow.groups.host import HttpRankHost
from dalehollow.limits import Gate, GateLimits
from dalehollow.membership import PeerHeartbeats
from dalehollow.once.handover import Claim, claim_incarnation, store_snapshot
from dalehollow.platform.keyvalue import HttpKeyValue, KeyValue
from dalehollow.protocol import (
    Dump,
    DumpText,
    FetchManifest,
    FetchParts,
    Heartbeat,
    HeartbeatReply,
    Prepare,
    RankQuery,
    Refused,
    Reply,
    Request,
    ShareRequest,
    VoteQuery,
)
from dalehollow.protocol.link import ControlServer
from dalehollow.settings import Settings, split_address
from dalehollow.sidecar.call import read_call
from dalehollow.sidecar.forward import Forwarder
from dalehollow.sidecar.ownership import Ownership
from dalehollow.sidecar.rank_service import RankService
from dalehollow.telemetry.logs import log_event
from dalehollow.telemetry.metrics import Metrics
from dalehollow.web import HttpClient, HttpRequest, HttpResponse, HttpServer
from dalehollow.web.refusal import make_refusal

_MS_PER_S = 1000
_log = logging.getLogger(__name__)


class Sidecar:
    """Hold the state of one sidecar process."""

    def __init__(self, settings: Settings) -> None:
        """Bind the servers; no request is handled before `start`."""
        assert settings.upstream is not None and settings.upstream_http is not None
        self.settings = settings
        self.upstream = settings.upstream
        self.incarnation_ms = read_wall_clock_ms()
        self.is_leaving = False
        self.metrics = Metrics()
        self.holder = ConfigHolder()
        self.kv: KeyValue | None = HttpKeyValue(settings.platform) if settings.platform else None
        limit_ms = compute_poll_limit_ms(settings.name, settings.poll_min_ms, settings.poll_max_ms)
        self.config_sync = ConfigSync(limit_ms, self.holder, self.kv)
        # One request at a time until a configuration gives the upstream's capacity.
        self.gate = Gate(GateLimits(slots=1, urgent_extra=0, queue_limit=0), read_clock)
        host, port = split_address(settings.http)
        self.server = HttpServer(
            host, port, self.handle, name="dalehollow", memory_mb=settings.memory_mb
        )
        member = f"{self.upstream}@{settings.advertise_http or self.server.address}"
        self.ownership = Ownership(member, self.holder, self.incarnation_ms)
        self.suspects = SharedSuspects()
        self.forwarder = Forwarder(
            upstream=self.upstream,
            upstream_http=settings.upstream_http,
            client=HttpClient(
                connect_timeout_s=settings.connect_timeout_ms / _MS_PER_S, keep_alive=False
            ),
            gate=self.gate,
            ownership=self.ownership,
            answer_timeout_s=settings.answer_timeout_ms / _MS_PER_S,
            suspects=self.suspects,
            crashes=CrashDetector(
                f"{self.upstream}@{self.incarnation_ms}", settings.upstream_http, self.suspects
            ),
            read_wall_clock_ms=read_wall_clock_ms,
        )
        host, port = split_address(settings.control)
        self.control = ControlServer(host, port, self.handle_control)
        self.peers = PeerHeartbeats(
            self._make_heartbeat,
            self._handle_peer_reply,
            settings.beat_interval_ms,
            settings.control_bytes_per_s,
        )
        self.ranks = RankService(
            upstream=self.upstream,
            name=settings.name,
            host=HttpRankHost(settings.upstream_http),
            kv=self.kv,
            plan_interval_ms=settings.plan_interval_ms,
            plan_max_moves=settings.plan_max_moves,
        )
        self.holder.on_change(self._apply)
        self.holder.on_change(self.ranks.apply)
        self.metrics.watch_gauge("requests_running", lambda: self.gate.load().running)
        self.metrics.watch_gauge("requests_waiting", lambda: self.gate.load().waiting)
        self.metrics.watch_gauge("config_version", lambda: self.holder.version)

    def start(self) -> None:
        """Claim the incarnation, then start the servers and the background threads."""
        self.ownership.claim = self._claim_incarnation()
        self.peers.update_peers({address: address for address in self.settings.peers})
        self.config_sync.poll()
        self.config_sync.start()
        self.control.start()
        self.server.start()

    def stop(self) -> int:
        """Reject new requests, drain running ones and return how many were aborted."""
        self.is_leaving = True
        self.gate.close()
        log_event(_log, "leaving", running=self.gate.load().running)
        # Peers learn of the shutdown from the next heartbeat, and from every refusal until then.
        time.sleep(self.settings.leave_ms / _MS_PER_S)
        self.server.begin_closing()
        left = self.server.wait_idle(self.settings.drain_timeout_ms / _MS_PER_S)
        self.server.stop()
        self.control.stop()
        self.config_sync.stop()
        self.peers.stop()
        self.ranks.stop()
        if not left:
            self._store_snapshot()
        log_event(_log, "stopped", cut_off=left)
        return left

    def handle(self, req: HttpRequest) -> HttpResponse:
        """Handle one HTTP request from an entry."""
        if req.path == "/dalehollow/metrics":
            return HttpResponse(200, {"content-type": "text/plain"}, self.metrics.expose().encode())
        called = read_call(req, self.settings.inner_key, read_clock())
        if not isinstance(called, Ok):
            return make_refusal(called.err_value, request_id="-")
        response = self.forwarder.serve(req, called.ok_value)
        self.metrics.count("answers", status=str(response.status), service=called.ok_value.service)
        return response

    def handle_control(self, request: Request) -> Reply:
        """Handle one control message from a peer."""
        match request:
            case Heartbeat():
                self.config_sync.handle_peer_version(
                    request.version, request.confirmed_at_ms, request.address
                )
                self.suspects.merge_reported(request.suspects)
                return self._make_heartbeat_reply()
            case FetchManifest() | FetchParts():
                return self.config_sync.answer(request)
            case Dump():
                return DumpText(json.dumps(self.dump()).encode())
            case VoteQuery() | Prepare() | RankQuery():
                return self.ranks.answer(request)
            case ShareRequest():
                return Refused("a sidecar does not allocate shares of account limits")

    def dump(self) -> dict[str, object]:
        """Return the state of this process."""
        claim = self.ownership.claim
        return {
            "role": "sidecar",
            "name": self.settings.name,
            "hall": self.settings.hall,
            "upstream": self.upstream,
            "incarnation_ms": self.incarnation_ms,
            "is_first_incarnation": claim is not None and claim.is_first,
            "has_predecessors_keys": claim is not None and claim.snapshot is not None,
            "is_leaving": self.is_leaving,
            "config_version": self.holder.version,
            "config_confirmed_at_ms": self.holder.confirmed_at_ms,
            "config_polls": self.config_sync.polls,
            "gate": dataclasses.asdict(self.gate.load()),
            "groups": [ranks.dump() for ranks in self.ranks.groups.values()],
            "suspected_requests": self.suspects.describe(),
            "keys_held": self.ownership.counts(),
            "counts": self.metrics.counts(),
        }

    def _make_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self.settings.name,
            self.control.address,
            self.holder.version,
            self.holder.confirmed_at_ms,
            self.suspects.export_suspicions(),
        )

    def _handle_peer_reply(self, address: str, asked: Result[Reply, str]) -> None:
        if isinstance(asked, Ok) and isinstance(asked.ok_value, HeartbeatReply):
            reply = asked.ok_value
            self.suspects.merge_reported(reply.suspects)
            self.config_sync.handle_peer_version(reply.version, reply.confirmed_at_ms, address)

    def _make_heartbeat_reply(self) -> HeartbeatReply:
        load = self.gate.load()
        return HeartbeatReply(
            sender=self.settings.name,
            incarnation_ms=self.incarnation_ms,
            version=self.holder.version,
            confirmed_at_ms=self.holder.confirmed_at_ms,
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            service_ms=load.service_ms,
            is_leaving=self.is_leaving,
            suspects=self.suspects.export_suspicions(),
        )

    def _apply(self, active: ActiveConfig) -> None:
        cfg = active.config
        assert cfg is not None
        own_upstream = cfg.upstreams.get(self.upstream)
        services = cfg.services_of(self.upstream)
        if own_upstream is None or not services:
            return
        self.gate.resize(
            GateLimits(
                slots=own_upstream.slots,
                urgent_extra=max(s.urgent_extra_slots for s in services),
                queue_limit=max(s.queue_limit for s in services),
            )
        )

    def _claim_incarnation(self) -> Claim | None:
        """Claim to be the running incarnation and load the previous one's snapshot."""
        if self.kv is None:
            return None
        claimed = claim_incarnation(self.kv, self.ownership.member)
        if isinstance(claimed, Ok):
            return claimed.ok_value
        log_event(_log, "claim_failed", logging.WARNING, error=claimed.err_value)
        return None

    def _store_snapshot(self) -> None:
        """Store the accepted keys for the next incarnation, once no more can be added."""
        claim = self.ownership.claim
        if self.kv is None or claim is None:
            return
        snapshot = self.ownership.make_snapshot(read_wall_clock_ms())
        left = store_snapshot(self.kv, self.ownership.member, claim.mark, snapshot)
        if isinstance(left, Ok):
            log_event(_log, "snapshot_left", bytes=left.ok_value)
        else:
            log_event(_log, "snapshot_failed", logging.WARNING, error=left.err_value)
