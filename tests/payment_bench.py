"""Run a hall in which a payment can be blocked at any step and faults can be injected."""

from __future__ import annotations

import itertools
import json
import os
import signal
import socket
import threading
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from result import Err

from dalehollow.clock import read_clock
from dalehollow.config import Manifest, apply_text
from dalehollow.platform.keyvalue import HttpKeyValue
from dalehollow.web import HttpClient
from standins.hall import digest_key, wait_for_version
from standins.processes import Launcher, RunningProcess
from tests.relay import TcpProxy

KEY = "demo-key-colombo"
DEADLINE_MS = 1_500
LONG_DEADLINE_MS = 15_000
"""Deadline of a payment that must be answered, even on a heavily loaded machine."""
MAX_RETRIES = 12
FAST_SETTINGS = {"leave_ms": 50, "poll_min_ms": 50, "poll_max_ms": 100, "beat_interval_ms": 100}
_POLL_INTERVAL_S = 0.01
_WAIT_TIMEOUT_S = 20.0


def wait_for(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds; fail after the timeout."""
    deadline_s = read_clock() + _WAIT_TIMEOUT_S
    while not condition():
        if read_clock() > deadline_s:
            raise AssertionError(f"timed out waiting for: {what}")
        threading.Event().wait(_POLL_INTERVAL_S)


def pick_free_address() -> str:
    """Return a free address that a process and its restarts can bind."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return f"127.0.0.1:{sock.getsockname()[1]}"


def make_timestamped_key() -> str:
    """Return a UUIDv7 with the current time."""
    return str(
        uuid.UUID(int=(int(time.time() * 1000) << 80) | (7 << 76) | (2 << 62) | next(_KEY_TAILS))
    )


_KEY_TAILS = itertools.count(int.from_bytes(os.urandom(4), "big"))


@dataclass(frozen=True)
class Outcome:
    """Hold the outcome a caller received; all None if the connection broke first."""

    status: int | None
    verdict: str | None
    reason: str | None
    body: bytes


@dataclass
class PaymentBench:
    """Hold a hall with two entries, an owner and a spare upstream, and relays at the owner."""

    launcher: Launcher
    platform: RunningProcess = field(init=False)
    plain: dict[str, RunningProcess] = field(default_factory=dict)
    sidecars: dict[str, RunningProcess] = field(default_factory=dict)
    entries: list[RunningProcess] = field(default_factory=list)
    to_sidecar: TcpProxy = field(init=False)
    to_upstream: TcpProxy = field(init=False)
    # Long enough that no ownership change takes effect while the fault matrix runs.
    horizon_ms: int = 3_600_000

    def start(self) -> None:
        self.platform = self.launcher.start_standin("platform", "keyvalue")
        for name in ("gate-1", "gate-2"):
            self.plain[name] = self.launcher.start_standin(name, "plain")
        self.to_upstream = TcpProxy(self.plain["gate-1"].http)
        self._start_first_sidecar()
        self.sidecars["gate-2"] = self._start_sidecar("gate-2", self.plain["gate-2"].http)
        self.entries = [self._start_entry(idx) for idx in range(2)]
        self.apply(("gate-1",))

    def _start_first_sidecar(self) -> None:
        # The configuration lists the relay's address, so the relay is created first.
        self.to_sidecar = TcpProxy("127.0.0.1:1")
        self.sidecars["gate-1"] = self._start_sidecar(
            "gate-1",
            self.to_upstream.address,
            advertise_http=self.to_sidecar.address,
            http=pick_free_address(),
            control=pick_free_address(),
        )
        self.to_sidecar.target = self.sidecars["gate-1"].http

    def _start_sidecar(self, name: str, upstream_http: str, **more: Any) -> RunningProcess:
        return self.launcher.start_process(
            role="sidecar",
            name=f"sidecar-{name}",
            hall="cmb-a",
            platform=self.platform.http,
            upstream=name,
            upstream_http=upstream_http,
            **FAST_SETTINGS,
            **more,
        )

    def _start_entry(self, idx: int) -> RunningProcess:
        return self.launcher.start_process(
            role="entry",
            name=f"entry-{idx}",
            hall="cmb-a",
            platform=self.platform.http,
            leave_ms=50,
        )

    def restart_owner(self) -> None:
        """Restart the owner's sidecar at its previous addresses."""
        old = self.sidecars["gate-1"]
        self.sidecars["gate-1"] = self._start_sidecar(
            "gate-1",
            self.to_upstream.address,
            advertise_http=self.to_sidecar.address,
            http=old.http,
            control=old.control,
        )

    def restore(self) -> None:
        """Restore all processes and relays between two scenarios."""
        self.to_sidecar.release()
        self.to_upstream.release()
        self.set_platform("none")
        self._put(self.plain["gate-1"].http, "/_release", {})
        for process in [*self.entries, *self.sidecars.values()]:
            if process.popen.poll() is None:
                process.send_signal(signal.SIGCONT)
        for idx, entry in enumerate(self.entries):
            if entry.popen.poll() is not None:
                self.entries[idx] = self._start_entry(idx)
        if self.sidecars["gate-1"].popen.poll() is not None:
            self.restart_owner()
        self.apply(("gate-1",))
        wait_for(lambda: self.gate_load()["running"] == 0, "owner idle")

    def apply(self, members: tuple[str, ...]) -> Manifest:
        """Apply a configuration with these upstreams and wait until every process has it."""
        kv = HttpKeyValue(self.platform.http)
        applied = apply_text(kv, json.dumps(self._make_config(members)), apply_id=uuid.uuid4().hex)
        if isinstance(applied, Err):
            raise AssertionError(f"configuration rejected: {applied.err_value}")
        manifest = applied.ok_value.manifest
        for process in [*self.entries, *self.sidecars.values()]:
            wait_for_version(process, manifest.version)
        return manifest

    def _make_config(self, members: tuple[str, ...]) -> dict[str, Any]:
        upstreams = {
            "gate-1": {
                "hall": "cmb-a",
                "http": self.to_sidecar.address,
                "control": self.sidecars["gate-1"].control,
                "slots": 1,
            },
            "gate-2": {
                "hall": "cmb-a",
                "http": self.sidecars["gate-2"].http,
                "control": self.sidecars["gate-2"].control,
                "slots": 1,
            },
        }
        return {
            "deployment": "kelanisoft",
            "clock_bound_ms": 20,
            "halls": {"cmb-a": {"region": "lk-west", "entries": 2}},
            "client_accounts": {
                "colombo-city": {
                    "key_sha256": digest_key(KEY),
                    "requests_per_s": 100_000,
                    "burst": 100_000,
                    "max_priority": "urgent",
                }
            },
            "upstreams": upstreams,
            "services": {
                "gate": {
                    "kind": "plain",
                    "path_prefix": "/gate",
                    "upstreams": list(members),
                    "deadline_ms": 30_000,
                    "key_window_ms": 60_000,
                    "ownership_horizon_ms": self.horizon_ms,
                    "operations": [
                        {"method": "POST", "path": "/gate/confirm", "repeatable": False}
                    ],
                }
            },
        }

    def pay(self, entry: int, body: bytes, key: str | None, deadline_ms: int) -> Outcome:
        """Send one payment as a caller does."""
        headers = {"authorization": f"Bearer {KEY}", "dalehollow-deadline-ms": str(deadline_ms)}
        if key is not None:
            headers["idempotency-key"] = key
        connect_timeout_s = 0.5 if deadline_ms <= DEADLINE_MS else deadline_ms / 1000
        call = HttpClient(connect_timeout_s=connect_timeout_s).call(
            "POST",
            self.entries[entry].http,
            "/gate/confirm",
            headers=headers,
            body=body,
            timeout_s=deadline_ms / 1000 + 1,
        )
        if isinstance(call, Err):
            return Outcome(None, None, None, b"")
        answer = call.ok_value
        try:
            content = answer.read()
        except ConnectionError:
            return Outcome(None, None, None, b"")
        headers_in = answer.headers
        return Outcome(
            answer.status,
            headers_in.get("dalehollow-verdict"),
            headers_in.get("dalehollow-reason"),
            content,
        )

    def count_runs(self, body: bytes) -> int:
        """Return how often the upstreams ran a request with this body."""
        return sum(
            json.loads(self._get(plain.http, "/_runs")).get(body.decode(), 0)
            for plain in self.plain.values()
        )

    def gate_load(self) -> dict[str, float]:
        """Return the owner's load as reported in its metrics."""
        text = self._get(self.sidecars["gate-1"].http, "/dalehollow/metrics").decode()
        values = dict(line.rsplit(" ", 1) for line in text.splitlines())
        return {
            "running": float(values["dalehollow_requests_running"]),
            "waiting": float(values["dalehollow_requests_waiting"]),
        }

    def set_platform(self, mode: str) -> None:
        self._put(self.platform.http, "/fault", {"mode": mode})

    def set_upstream_fault(self, mode: str, count: int) -> None:
        self._put(self.plain["gate-1"].http, "/_fault", {"mode": mode, "count": count})

    def release_upstream(self) -> None:
        self._put(self.plain["gate-1"].http, "/_release", {})

    def _get(self, address: str, path: str) -> bytes:
        call = HttpClient(connect_timeout_s=1).call("GET", address, path, timeout_s=5)
        return call.unwrap().read()

    def _put(self, address: str, path: str, value: dict[str, Any]) -> None:
        call = HttpClient(connect_timeout_s=1).call(
            "PUT", address, path, body=json.dumps(value).encode(), timeout_s=5
        )
        call.unwrap().read()
