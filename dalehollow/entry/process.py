"""Run an entry: its servers, peer connections, configuration and graceful shutdown."""

from __future__ import annotations

import json
import logging
import threading
import time
from collections import deque
from collections.abc import Mapping

from result import Err, Ok, Result

from dalehollow.clock import read_clock, read_wall_clock_ms
from dalehollow.config.holder import ActiveConfig, ConfigHolder
from dalehollow.config.model import Account
from dalehollow.config.spread import ConfigSync, compute_poll_limit_ms
from dalehollow.crashes import SharedSuspects
from dalehollow.entry.admit import Job, admit, index_accounts_by_key_digest, read_request_id
from dalehollow.entry.attempt import UpstreamClient
from dalehollow.entry.pool import Pool
from dalehollow.entry.serve import JobDispatcher
from dalehollow.entry.shares import ShareManager
from dalehollow.errors import Failure, Reason
from dalehollow.membership import PeerHeartbeats, VmListPoller
from dalehollow.membership.vm_watch import list_leaving
from dalehollow.platform.keyvalue import HttpKeyValue
from dalehollow.platform.vms import Vm
from dalehollow.protocol import (
    Dump,
    DumpText,
    FetchManifest,
    FetchParts,
    Heartbeat,
    HeartbeatReply,
    Refused,
    Reply,
    Request,
    ShareGrant,
    ShareRequest,
)
from dalehollow.protocol import headers as hdr
from dalehollow.protocol.link import ControlServer, PeerLink
from dalehollow.settings import Settings, split_address
from dalehollow.telemetry.logs import log_event
from dalehollow.telemetry.metrics import Metrics
from dalehollow.verdict import Verdict
from dalehollow.web import HttpClient, HttpRequest, HttpResponse, HttpServer
from dalehollow.web.refusal import make_refusal

MAX_RECENT_DECISIONS = 500
SHARE_TIMEOUT_MS = 300
_MS_PER_S = 1000
_RETRY_NO_CONFIG_MS = 1_000
_log = logging.getLogger(__name__)


class EntryProcess:
    """Hold the state of one entry process."""

    def __init__(self, settings: Settings) -> None:
        """Bind the servers; no request is handled before `start`."""
        self.settings = settings
        self.is_leaving = False
        self.metrics = Metrics()
        self.holder = ConfigHolder()
        kv = HttpKeyValue(settings.platform) if settings.platform else None
        limit_ms = compute_poll_limit_ms(settings.name, settings.poll_min_ms, settings.poll_max_ms)
        self.config_sync = ConfigSync(limit_ms, self.holder, kv)
        self.pool = Pool(
            settings.name,
            settings.hall,
            read_clock,
            subset_size=settings.subset_size,
            peer_limit=settings.peer_limit,
            heartbeat_timeout_s=settings.beat_interval_ms / _MS_PER_S,
        )
        connect_timeout_s = settings.connect_timeout_ms / _MS_PER_S
        self.suspects = SharedSuspects()
        upstream_client = UpstreamClient(
            client=HttpClient(connect_timeout_s=connect_timeout_s),
            direct_client=HttpClient(connect_timeout_s=connect_timeout_s, keep_alive=False),
            inner_key=settings.inner_key,
            answer_timeout_s=settings.answer_timeout_ms / _MS_PER_S,
        )
        self.jobs = JobDispatcher(
            settings.name,
            self.holder,
            self.pool,
            upstream_client,
            read_wall_clock_ms,
            self.suspects,
        )
        host, port = split_address(settings.http)
        self.server = HttpServer(
            host, port, self.handle, name="dalehollow", memory_mb=settings.memory_mb
        )
        host, port = split_address(settings.control)
        self.control = ControlServer(host, port, self.handle_control)
        self.peers = PeerHeartbeats(
            self._make_heartbeat,
            self._handle_peer_reply,
            settings.beat_interval_ms,
            settings.control_bytes_per_s,
        )
        self.vm_watch = VmListPoller(
            settings.platform, self._handle_vm_list, settings.vm_list_interval_ms
        )
        self.shares = ShareManager(settings.name, settings.hall, self._request_shares)
        if settings.platform is None:
            # Without a platform there is no VM list, so limits are split evenly.
            self.shares.update_vm_list(())
        self._keys: Mapping[str, Account] = {}
        self._recent: deque[dict[str, object]] = deque(maxlen=MAX_RECENT_DECISIONS)
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._entry_links: dict[str, PeerLink] = {}
        self.holder.on_change(self._apply)
        self.metrics.watch_gauge("config_version", lambda: self.holder.version)

    def start(self) -> None:
        """Start the servers and the background threads."""
        self.peers.update_peers(self._seed_peers())
        self.config_sync.poll()
        self.config_sync.start()
        self.vm_watch.start()
        threading.Thread(target=self._run_share_rounds, name="shares", daemon=True).start()
        self.control.start()
        self.server.start()

    def stop(self) -> int:
        """Drain requests in flight and return how many were aborted."""
        self.is_leaving = True
        self._stopping.set()
        log_event(_log, "leaving")
        # The balancer stops sending once the health check fails; requests until then are served.
        self.server.begin_closing()
        time.sleep(self.settings.leave_ms / _MS_PER_S)
        left = self.server.wait_idle(self.settings.drain_timeout_ms / _MS_PER_S)
        self.server.stop()
        self.control.stop()
        self.peers.stop()
        self.config_sync.stop()
        self.vm_watch.stop()
        log_event(_log, "stopped", cut_off=left)
        return left

    def handle(self, req: HttpRequest) -> HttpResponse:
        """Handle one HTTP request from a caller."""
        if req.path == "/dalehollow/health":
            return self._answer_health()
        if req.path == "/dalehollow/metrics":
            return HttpResponse(200, {"content-type": "text/plain"}, self.metrics.expose().encode())
        started_s = read_clock()
        request_id = read_request_id(req)
        served = self._admit(req, request_id, started_s).and_then(self.jobs.serve)
        if isinstance(served, Ok):
            response = served.ok_value
        else:
            response = make_refusal(served.err_value, request_id=request_id)
        self._record(req, request_id, response, served, started_s)
        return response

    def handle_control(self, request: Request) -> Reply:
        """Handle one control message from a peer."""
        match request:
            case FetchManifest() | FetchParts():
                return self.config_sync.answer(request)
            case Heartbeat():
                self.config_sync.handle_peer_version(
                    request.version, request.confirmed_at_ms, request.address
                )
                self.suspects.merge_reported(request.suspects)
                return self._make_heartbeat_reply()
            case ShareRequest():
                return self.shares.answer(request)
            case Dump():
                return DumpText(json.dumps(self.dump(request.section)).encode())
            case _:
                return Refused(f"{type(request).__name__} is not handled by an entry")

    def dump(self, section: str = "") -> dict[str, object]:
        """Return the state of this process; section `recent` adds the latest decisions."""
        state: dict[str, object] = {
            "role": "entry",
            "name": self.settings.name,
            "hall": self.settings.hall,
            "is_leaving": self.is_leaving,
            "config_version": self.holder.version,
            "config_confirmed_at_ms": self.holder.confirmed_at_ms,
            "config_polls": self.config_sync.polls,
            "upstreams": self.pool.dump(),
            "shares": self.shares.dump(),
            "suspected_requests": self.suspects.describe(),
            "counts": self.metrics.counts(),
        }
        if section == "recent":
            with self._lock:
                state["recent"] = list(self._recent)
        return state

    def _admit(self, req: HttpRequest, request_id: str, now_s: float) -> Result[Job, Failure]:
        cfg = self.holder.active.config
        if cfg is None:
            return Err(
                Failure(
                    Reason.NO_CONFIGURATION,
                    Verdict.NOT_RUN,
                    "this entry has not loaded a configuration yet",
                    retry_after_ms=_RETRY_NO_CONFIG_MS,
                )
            )
        admitted = admit(req, request_id, cfg, self._keys, now_s)
        return admitted.and_then(self._check_limit)

    def _check_limit(self, job: Job) -> Result[Job, Failure]:
        wait_ms = self.shares.take(job.account.name)
        if not wait_ms:
            return Ok(job)
        message = f"account {job.account.name!r} has reached its request rate limit"
        return Err(Failure(Reason.ACCOUNT_LIMIT, Verdict.NOT_RUN, message, retry_after_ms=wait_ms))

    def _apply(self, active: ActiveConfig) -> None:
        cfg = active.config
        assert cfg is not None
        self.shares.apply(cfg)
        self._keys = index_accounts_by_key_digest(cfg)
        self.peers.update_peers({**self._seed_peers(), **self.pool.apply(active)})

    def _seed_peers(self) -> dict[str, str]:
        return {address: address for address in self.settings.peers}

    def _make_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self.settings.name,
            self.control.address,
            self.holder.version,
            self.holder.confirmed_at_ms,
            self.suspects.export_suspicions(),
        )

    def _make_heartbeat_reply(self) -> HeartbeatReply:
        return HeartbeatReply(
            sender=self.settings.name,
            incarnation_ms=0,
            version=self.holder.version,
            confirmed_at_ms=self.holder.confirmed_at_ms,
            running=0,
            waiting=0,
            slots=1,
            service_ms=0.0,
            is_leaving=self.is_leaving,
            suspects=self.suspects.export_suspicions(),
        )

    def _handle_peer_reply(self, name: str, asked: Result[Reply, str]) -> None:
        if isinstance(asked, Err):
            view = self.pool.find(name)
            if view is not None:
                view.record_silence()
            return
        reply = asked.ok_value
        if isinstance(reply, HeartbeatReply):
            self.pool.record_heartbeat(name, reply)
            self.suspects.merge_reported(reply.suspects)
            view = self.pool.find(name)
            address = view.upstream.control if view is not None else name
            self.config_sync.handle_peer_version(
                reply.version, reply.confirmed_at_ms, address or ""
            )

    def _handle_vm_list(self, vms: tuple[Vm, ...]) -> None:
        self.pool.set_listed_leaving(list_leaving(vms))
        self.shares.update_vm_list(vms)

    def _run_share_rounds(self) -> None:
        interval_s = self.settings.share_interval_ms / _MS_PER_S
        while not self._stopping.wait(interval_s):
            self.shares.run_round(interval_s)

    def _request_shares(self, address: str, ask: ShareRequest) -> Result[ShareGrant, str]:
        link = self._entry_links.get(address)
        if link is None:
            link = self._entry_links[address] = PeerLink(address)
        asked = link.ask(ask, timeout_ms=SHARE_TIMEOUT_MS)
        if isinstance(asked, Ok) and isinstance(asked.ok_value, ShareGrant):
            return Ok(asked.ok_value)
        return Err(f"entry at {address!r} did not respond with shares")

    def _answer_health(self) -> HttpResponse:
        status = 503 if self.is_leaving or self.holder.version == 0 else 200
        body = {"is_leaving": self.is_leaving, "config_version": self.holder.version}
        return HttpResponse(status, {"content-type": "application/json"}, json.dumps(body).encode())

    def _record(
        self,
        req: HttpRequest,
        request_id: str,
        response: HttpResponse,
        served: Result[HttpResponse, Failure],
        started_s: float,
    ) -> None:
        took_ms = (read_clock() - started_s) * _MS_PER_S
        reason = served.err_value.reason if isinstance(served, Err) else "answered"
        self.metrics.count("answers", status=str(response.status), reason=str(reason))
        self.metrics.record_ms("head", took_ms)
        decision = {
            "request_id": request_id,
            "path": req.path,
            "status": response.status,
            "reason": reason,
            "verdict": response.headers.get(hdr.VERDICT),
            "upstream": response.headers.get(hdr.UPSTREAM),
            "tries": response.headers.get(hdr.TRIES),
            "head_ms": round(took_ms, 3),
        }
        with self._lock:
            self._recent.append(decision)
        log_event(_log, "answered", **decision)
