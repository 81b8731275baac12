"""Start gateways as processes, with a store, servers and proxies in the driver's event loop."""

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
    RETRY_EXTRA,
    RETRY_SHARE,
    RETRY_WINDOW_S,
    TRAP,
    Arrival,
    Ledger,
    Told,
)
from soak.proxy import Mode, Proxy
from standins.platform import GatewayProcess, launch_gateway, listen
from standins.server import ResponseMode, ServerStandIn

HOST = "floor.example"
KEY = "key-of-ana"
SLOTS = 8
PACE_S = 0.02
LEASE_CHECK_S = 0.1
COPY_EACH_S = 4.0
"""A store that is restored lacks what was written since the last copy."""
HALLS = ("hall", "hall", "hall", "other")
"""Of the gateways in turn: a hall with a relay and two that hear it, and one beside it."""
STORE_BYTES_PER_S = 2.5e6
"""A gateway's link; with configurations of this size a second of history takes longer on it than
a call may wait."""
PADDING_BYTES = 100_000
CRASHING_BODY = b"crashes whoever begins to run it"
RESTART_S = 0.5
PROGRAM = ("-m", "dalehollow", "run")


def make_configuration(version: int) -> bytes:
    """Return a configuration that shows its version by a route of its own."""
    route = {"host": HOST, "service": "desk", "timeoutMs": 4000, "targetLatencyMs": 400}
    again = {**route, "maxAttempts": 2}
    stream = {"kind": "streaming", "resumable": True, "maxAttempts": 3}
    routes = [
        {**again, "name": "read", "pathPrefix": "/read/", "kind": "safe"},
        {**again, "name": "pay", "pathPrefix": "/pay/", "kind": "unsafe"},
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
            "tenants": [{"name": "ana", "apiKeys": [KEY], "priority": 1}],
        }
    )


@dataclass
class SoakServer(ServerStandIn):
    """Answer as the stand-in does, note arrivals, and fail a share of requests while told to."""

    ledger: Ledger = field(default_factory=Ledger)
    rng: random.Random = field(default_factory=random.Random)
    bad_ways: Sequence[ResponseMode] = ()
    # Refuses everything, which alone makes a time of rest be heard.
    is_refusing: bool = False

    async def handle(self, caller: CallerConnection, request: CallerRequest) -> None:
        """Answer one request, well or badly, and note that it came."""
        now_s = asyncio.get_running_loop().time()
        request_id = (request.get(b"x-request-id") or b"").decode()
        self.ledger.arrivals[self.incarnation].append(Arrival(now_s, request_id))
        if self.bad_ways and self.rng.random() < 0.5:
            self.next_modes.append(self.rng.choice(self.bad_ways))
        if self.is_refusing:
            self.next_modes = [ResponseMode.REFUSE]
        before = len(self.runs)
        extra_headers = () if self.bad_ways else tuple(self.extra_headers)
        try:
            await super().handle(caller, request)
            for name, value in extra_headers:
                told = Told(self.incarnation, request_id, name.decode(), float(value), now_s)
                self.ledger.told.append(told)
        finally:
            self.ledger.runs.update(self.runs[before:][:1])


@dataclass
class Gateway:
    """Hold one gateway's process, its way to the store, and how many lives it has had."""

    name: str
    store: Proxy
    hall: str
    process: GatewayProcess | None = None
    life: int = 0
    is_paused: bool = False


@dataclass
class World:
    """Hold everything that runs."""

    rng: random.Random
    directory: Path
    program: Sequence[str] = PROGRAM
    ledger: Ledger = field(default_factory=Ledger)
    network: PeerNetwork = field(init=False)
    store: SoakStore = field(init=False)
    store_address: str = ""
    # What the operator and the servers wrote last, and who stands behind entries of others.
    written: dict[str, bytes] = field(default_factory=dict)
    trap: SoakServer = field(init=False)
    gateways: dict[str, Gateway] = field(default_factory=dict)
    servers: dict[str, SoakServer] = field(default_factory=dict)
    proxies: dict[str, Proxy] = field(default_factory=dict)
    born_ms: dict[str, int] = field(default_factory=dict)
    version: int = 0
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _server_count: int = 0

    def __post_init__(self) -> None:
        """Make the store and what stands between the gateways."""
        self.network = PeerNetwork(self.rng)
        self.store = SoakStore(self.network)
        self.trap = SoakServer(TRAP, ledger=self.ledger, rng=self.rng)

    def now_s(self) -> float:
        """Return the time on the driver's steady clock."""
        return asyncio.get_running_loop().time()

    async def open(self, gateways: int, servers: int) -> None:
        """Start everything and wait until all gateways listen."""
        self.store_address = await listen(self.store.handle)
        self.apply_next()
        await self._write_foreign_entries()
        for _ in range(servers):
            await self.add_server()
        for number in range(gateways):
            name = f"gateway-{number + 1}"
            proxy = Proxy(self.store_address, bytes_per_s=STORE_BYTES_PER_S)
            await proxy.open()
            self.gateways[name] = Gateway(name, proxy, HALLS[number % len(HALLS)])
        await asyncio.gather(*(self.start(gateway) for gateway in self.gateways.values()))
        self._tasks.append(asyncio.ensure_future(self._end_leases()))
        self._tasks.append(asyncio.ensure_future(self._take_copies()))

    async def close(self) -> None:
        """End what was started, by its own handles."""
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
        """Start a gateway's next life."""
        gateway.life += 1
        gateway.is_paused = False
        gateway.process = await launch_gateway(
            gateway.store.address,
            gateway.name,
            self.directory,
            self.program,
            hall=gateway.hall,
            gateways_expected=len(self.gateways),
            retry_window_ms=round(RETRY_WINDOW_S * 1000),
            retry_share=RETRY_SHARE,
            retry_extra=RETRY_EXTRA,
        )

    def send_signal(self, gateway: Gateway, number: signal.Signals) -> None:
        """Signal a gateway's process, unless it has ended."""
        if gateway.process is not None and gateway.process.process.returncode is None:
            gateway.process.process.send_signal(number)

    async def add_server(self) -> SoakServer:
        """Start a server behind a proxy, and list it."""
        self._server_count += 1
        name = f"server-{self._server_count}"
        server = SoakServer(name, response_delay_s=PACE_S, ledger=self.ledger, rng=self.rng)
        server.crash_body, server.on_crash = CRASHING_BODY, lambda: self._crash_server(name)
        proxy = Proxy(await listen(server.handle))
        await proxy.open()
        self.servers[name], self.proxies[name] = server, proxy
        self.write_entry(name, "ready")
        return server

    def _crash_server(self, name: str) -> None:
        """Have a server that has just crashed start again after a moment, under its name."""
        now_s = self.now_s()
        self.ledger.crashes_at_s.append(now_s)
        self.ledger.disturbed[name].append((now_s, now_s + RESTART_S))
        self.proxies[name].set_mode(Mode.RESET)
        asyncio.get_running_loop().call_later(RESTART_S, self.restart_server, name)

    def restart_server(self, name: str) -> None:
        """Have a server that was down start again under the name that it had."""
        self.proxies[name].set_mode(Mode.PASS)
        self.born_ms[name] += 1
        if name not in self.ledger.leaving_at_s:
            self.write_entry(name, "ready")

    def write_entry(self, name: str, state: str) -> None:
        """Write a server's entry as the server would."""
        entry = {"service": "desk", "address": self.proxies[name].address, "zone": "hall"}
        entry |= {"slots": SLOTS, "state": state, "born": self.born_ms.setdefault(name, 1)}
        self._write(f"servers/{name}", msgspec.json.encode(entry))

    def delete_entry(self, name: str) -> None:
        """Take a server's entry away."""
        self.written.pop(f"servers/{name}", None)
        self.store.delete(f"servers/{name}")

    def restore_store(self) -> None:
        """Restore the store; what the operator and the servers wrote is written again."""
        self.store.restore()
        for key in [k for k in self.store.items if k.startswith("servers/")]:
            if key not in self.written:
                self.store.delete(key)
        for key, value in self.written.items():
            if key not in self.store.items or self.store.items[key].value != value:
                self.store.put(key, value)

    def apply_next(self) -> None:
        """Put the next configuration into the store."""
        self.version += self.rng.randint(1, 3)
        self._write("op/config", make_configuration(self.version))
        self.ledger.applied_at_s[self.version] = self.now_s()

    def _write(self, key: str, value: bytes) -> None:
        self.written[key] = value
        self.store.put(key, value)

    async def _write_foreign_entries(self) -> None:
        """Write entries of another writer, which name no server to use."""
        address = await listen(self.trap.handle)
        entry = {"service": "desk", "address": address, "zone": "hall", "slots": 99}
        bad = ({"state": "idle"}, {}, {"state": 1}, {"state": "ready", "slots": "many"})
        for number, change in enumerate(bad):
            self._write(f"servers/{TRAP}-{number}", msgspec.json.encode(entry | change))
        self._write(f"servers/{TRAP}-bytes", b"\xff\x00")

    async def _take_copies(self) -> None:
        while True:
            self.store.back_up()
            await asyncio.sleep(COPY_EACH_S)

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            if self.store.fault == "none":
                self.store.end_expired_leases()
