"""Run gateways as processes, with a store, servers and proxies in the driver's event loop."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from dalehollow.aio import CallerConnection, CallerRequest
from soak.peers import PeerNetwork, SoakStore
from soak.promises import (
    TRAP_SERVER,
    Arrival,
    RunHistory,
    ServerSignal,
    find_crash_cause,
)
from soak.proxy import Proxy
from standins.platform import GatewayProcess, launch_gateway, listen
from standins.server import CrashPoint, ResponseMode, ServerStandIn

ROUTE_HOST = "floor.example"
API_KEY = "key-of-ana"
SERVER_SLOTS = 8
RESPONSE_DELAY_S = 0.02
LEASE_CHECK_INTERVAL_S = 0.1
SNAPSHOT_INTERVAL_S = 4.0
"""A restored store lacks all writes since the last snapshot."""
GATEWAY_HALLS = ("hall", "hall", "hall", "other")
"""Hall of each gateway: one hall with a relay and two followers, and a second hall."""
STORE_LINK_BYTES_PER_S = 2.5e6
"""Bandwidth of a gateway's link to the store: with configurations of PADDING_BYTES, reading one
second of history takes longer than the response timeout."""
PADDING_BYTES = 100_000
DESCRIPTOR_LIMIT = 200
"""File descriptors of each gateway."""
CRASHING_BODY = b"crashes whoever begins to run it"
CRASHING_PART = "bad0"
"""Beginning of each prompt part that crashes servers."""
CRASH_POINTS = tuple(CrashPoint)
SERVER_RESTART_S = 0.5
GATEWAY_PROGRAM = ("-m", "dalehollow", "run")


def make_configuration(version: int) -> bytes:
    """Return a configuration with a route that names its version."""
    route = {"host": ROUTE_HOST, "service": "desk", "timeoutMs": 4000, "targetLatencyMs": 400}
    retried = {**route, "maxAttempts": 2}
    stream = {"kind": "streaming", "resumable": True, "maxAttempts": 3}
    routes = [
        {**retried, "name": "read", "pathPrefix": "/read/", "kind": "safe"},
        {**retried, "name": "pay", "pathPrefix": "/pay/", "kind": "unsafe"},
        {**route, "name": "stream", "pathPrefix": "/stream/", **stream},
        {**route, "name": "version", "pathPrefix": f"/version-{version}/", "kind": "safe"},
    ]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 65536}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return msgspec.json.encode(
        {
            "version": version,
            "padding": random.Random(version).randbytes(PADDING_BYTES // 2).hex(),
            "routes": routes,
            "services": [{"name": "desk", "maxConnections": 50}],
            "limits": limits,
            "tenants": [{"name": "ana", "apiKeys": [API_KEY], "priority": 1}],
        }
    )


@dataclass
class SoakServer(ServerStandIn):
    """Server stand-in that records arrivals and fails half of the requests on command."""

    history: RunHistory = field(default_factory=RunHistory)
    rng: random.Random = field(default_factory=random.Random)
    failure_ways: Sequence[ResponseMode] = ()
    # Refuses all requests: gateways honor retry-after only in 503 responses.
    is_refusing: bool = False

    async def handle(self, caller: CallerConnection, request: CallerRequest) -> None:
        """Record a request and answer it, possibly with a failure."""
        now_s = asyncio.get_running_loop().time()
        request_id = (request.get(b"x-request-id") or b"").decode()
        self.history.arrivals[self.incarnation].append(Arrival(now_s, request_id))
        if self.failure_ways and self.rng.random() < 0.5:
            self.next_modes.append(self.rng.choice(self.failure_ways))
        if self.is_refusing:
            self.next_modes = [ResponseMode.REFUSE]
        run_count = len(self.runs)
        headers = () if self.failure_ways else tuple(self.extra_headers)
        try:
            await super().handle(caller, request)
            for name, value in headers:
                server_signal = ServerSignal(
                    self.incarnation, request_id, name.decode(), float(value), now_s
                )
                self.history.server_signals.append(server_signal)
        finally:
            self.history.executions.update(self.runs[run_count:][:1])


@dataclass
class Gateway:
    """A gateway process and its store proxy; `generation` counts the process starts."""

    name: str
    store: Proxy
    hall: str
    process: GatewayProcess | None = None
    generation: int = 0
    is_paused: bool = False


@dataclass
class Cluster:
    """Gateways, servers, store and proxies of one run."""

    rng: random.Random
    directory: Path
    program: Sequence[str] = GATEWAY_PROGRAM
    history: RunHistory = field(default_factory=RunHistory)
    network: PeerNetwork = field(init=False)
    store: SoakStore = field(init=False)
    store_address: str = ""
    # Last values written by the operator and the servers.
    written_values: dict[str, bytes] = field(default_factory=dict)
    # Server behind the invalid entries.
    trap_server: SoakServer = field(init=False)
    gateways: dict[str, Gateway] = field(default_factory=dict)
    servers: dict[str, SoakServer] = field(default_factory=dict)
    proxies: dict[str, Proxy] = field(default_factory=dict)
    born_ms: dict[str, int] = field(default_factory=dict)
    version: int = 0
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _server_count: int = 0

    def __post_init__(self) -> None:
        """Create the store, the peer network and the server behind invalid entries."""
        self.network = PeerNetwork(self.rng)
        self.store = SoakStore(self.network)
        self.trap_server = SoakServer(TRAP_SERVER, history=self.history, rng=self.rng)

    def now_s(self) -> float:
        """Return the time of the driver's monotonic clock."""
        return asyncio.get_running_loop().time()

    async def open(self, gateways: int, servers: int) -> None:
        """Start all components and wait until all gateways listen."""
        self.store_address = await listen(self.store.handle)
        self.apply_next()
        await self._write_invalid_entries()
        for _ in range(servers):
            await self.add_server()
        for number in range(gateways):
            name = f"gateway-{number + 1}"
            proxy = Proxy(self.store_address, bytes_per_s=STORE_LINK_BYTES_PER_S)
            await proxy.open()
            self.gateways[name] = Gateway(name, proxy, GATEWAY_HALLS[number % len(GATEWAY_HALLS)])
        await asyncio.gather(*(self.start(gateway) for gateway in self.gateways.values()))
        self._tasks.append(asyncio.ensure_future(self._expire_leases()))
        self._tasks.append(asyncio.ensure_future(self._take_snapshots()))

    async def close(self) -> None:
        """Stop all components through their own handles."""
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways.values():
            if gateway.process is not None and gateway.process.process.returncode is None:
                gateway.process.process.kill()
                await gateway.process.process.wait()
            await gateway.store.close()
        await self.network.close()
        for proxy in self.proxies.values():
            await proxy.close()

    async def start(self, gateway: Gateway) -> None:
        """Start a new process of a gateway."""
        gateway.generation += 1
        gateway.is_paused = False
        gateway.process = await launch_gateway(
            gateway.store.address,
            gateway.name,
            self.directory,
            self.program,
            hall=gateway.hall,
            gateways_expected=len(self.gateways),
            retry_window_ms=round(self.history.retry_limits.window_s * 1000),
            retry_share=self.history.retry_limits.share,
            retry_extra=self.history.retry_limits.extra,
            descriptor_limit=DESCRIPTOR_LIMIT,
        )

    def send_signal(self, gateway: Gateway, number: signal.Signals) -> None:
        """Send a signal to a gateway's process if it is running."""
        if gateway.process is not None and gateway.process.process.returncode is None:
            gateway.process.process.send_signal(number)

    async def add_server(self) -> SoakServer:
        """Start a server behind a proxy and write its entry."""
        self._server_count += 1
        name = f"server-{self._server_count}"
        server = SoakServer(
            name, response_delay_s=RESPONSE_DELAY_S, history=self.history, rng=self.rng
        )
        server.crash_body, server.crash_part = CRASHING_BODY, CRASHING_PART.encode()
        server.crash_point = CRASH_POINTS[self._server_count % len(CRASH_POINTS)]
        server.on_crash = lambda: self._crash_server(name)
        proxy = Proxy(await listen(server.handle))
        await proxy.open()
        self.servers[name], self.proxies[name] = server, proxy
        self.write_entry(name, "ready")
        return server

    def _crash_server(self, name: str) -> None:
        """Restart a crashed server under the same name after SERVER_RESTART_S."""
        now_s = self.now_s()
        cause = find_crash_cause(self.servers[name].crashed_by)
        self.history.crash_times_s[cause].append(now_s)
        self.history.fault_intervals[name].append((now_s, now_s + SERVER_RESTART_S))
        self.proxies[name].close_port()
        self._tasks.append(asyncio.ensure_future(self._restart_crashed_server(name)))

    async def _restart_crashed_server(self, name: str) -> None:
        await asyncio.sleep(SERVER_RESTART_S)
        await self.restart_server(name)

    async def restart_server(self, name: str, *, listed_after_s: float = 0.0) -> None:
        """Start a stopped server again under the same name, and list its start some time later."""
        await self.proxies[name].reopen_port()
        self.born_ms[name] += 1
        await asyncio.sleep(listed_after_s)
        if name not in self.history.leaving_at_s:
            self.write_entry(name, "ready")

    def write_entry(self, name: str, state: str) -> None:
        """Write a server's entry on its behalf."""
        entry = {"service": "desk", "address": self.proxies[name].address, "zone": "hall"}
        entry |= {"slots": SERVER_SLOTS, "state": state, "born": self.born_ms.setdefault(name, 1)}
        self._write(f"servers/{name}", msgspec.json.encode(entry))

    def delete_entry(self, name: str) -> None:
        """Delete a server's entry."""
        self.written_values.pop(f"servers/{name}", None)
        self.store.delete(f"servers/{name}")

    def restore_store(self) -> None:
        """Restore the store, then write the operator's and the servers' last values again."""
        self.store.restore()
        for key in [k for k in self.store.items if k.startswith("servers/")]:
            if key not in self.written_values:
                self.store.delete(key)
        for key, value in self.written_values.items():
            if key not in self.store.items or self.store.items[key].value != value:
                self.store.put(key, value)

    def apply_next(self) -> None:
        """Write the next configuration to the store."""
        self.version += self.rng.randint(1, 3)
        self._write("op/config", make_configuration(self.version))
        self.history.applied_at_s[self.version] = self.now_s()

    def _write(self, key: str, value: bytes) -> None:
        self.written_values[key] = value
        self.store.put(key, value)

    async def _write_invalid_entries(self) -> None:
        """Write invalid server entries, as a foreign writer might."""
        address = await listen(self.trap_server.handle)
        entry = {"service": "desk", "address": address, "zone": "hall", "slots": 99}
        invalid_fields = ({"state": "idle"}, {}, {"state": 1}, {"state": "ready", "slots": "many"})
        for number, change in enumerate(invalid_fields):
            self._write(f"servers/{TRAP_SERVER}-{number}", msgspec.json.encode(entry | change))
        self._write(f"servers/{TRAP_SERVER}-bytes", b"\xff\x00")

    async def _take_snapshots(self) -> None:
        while True:
            self.store.back_up()
            await asyncio.sleep(SNAPSHOT_INTERVAL_S)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            if self.store.fault == "none":
                self.store.end_expired_leases()
