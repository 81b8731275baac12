"""Test bench with a gateway, a metadata store and servers in one event loop."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Coroutine, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field

import msgspec

from dalehollow.aio import (
    CallerConnection,
    CallerRequest,
    ClientConnection,
    ResponseError,
    ResponseHead,
    connect,
)
from dalehollow.clock import BootTimeEventLoop
from dalehollow.gateway.listed import ListedUpstream
from dalehollow.gateway.process import Gateway
from dalehollow.gateway.settings import GatewaySettings
from standins.metadata import MetadataStandIn
from standins.platform import listen
from standins.server import ServerStandIn

TIMEOUT_S = 20.0
"""Timeout of a whole test; no test is expected to come near it."""
KEY = "key-of-ana"
HOST = "floor.example"


@dataclass(frozen=True)
class Answer:
    """Answer as received by a caller; `is_whole` is False if it was cut off."""

    status: int
    head: ResponseHead
    body: bytes
    is_whole: bool


@dataclass
class HeldServer(ServerStandIn):
    """Hold requests back before they are answered, on command."""

    _release: asyncio.Event | None = None
    _is_holding: bool = False
    _request_held: asyncio.Event = field(default_factory=asyncio.Event)

    async def _answer(self, caller: CallerConnection, request: CallerRequest) -> None:
        if self._is_holding:
            self._is_holding, self._release = False, asyncio.Event()
            self._request_held.set()
            await self._release.wait()
        await super()._answer(caller, request)

    async def hold(self, request: Coroutine[None, None, Answer]) -> asyncio.Task[Answer]:
        """Send a request that stays unanswered until `release`; later requests are answered."""
        self._is_holding = True
        self._request_held.clear()
        held = asyncio.ensure_future(request)
        await self._request_held.wait()
        return held

    def release(self) -> None:
        """Answer the request held back."""
        assert self._release is not None
        self._release.set()


def make_config(version: int = 1, **changes: object) -> dict[str, object]:
    """Return a configuration with a safe, an unsafe, a streaming and a public route."""
    route = {"host": HOST, "service": "desk", "timeoutMs": 5000, "targetLatencyMs": 400}
    routes = [
        {**route, "name": "read", "pathPrefix": "/read/", "kind": "safe", "maxAttempts": 2},
        {**route, "name": "pay", "pathPrefix": "/pay/", "kind": "unsafe", "maxAttempts": 2},
        {
            **route,
            "name": "talk",
            "pathPrefix": "/stream/",
            "kind": "streaming",
            "maxAttempts": 3,
            "resumable": True,
        },
        {**route, "name": "open", "pathPrefix": "/open/", "kind": "safe", "public": True},
    ]
    config: dict[str, object] = {
        "version": version,
        "routes": routes,
        "services": [{"name": "desk", "maxConnections": 50, "healthPath": "/health"}],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 4096,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "ana", "apiKeys": [KEY], "priority": 1}],
    }
    return {**config, **changes}


@dataclass
class GatewayBench:
    """Running gateway, store and servers; created by `run_bench`."""

    store: MetadataStandIn
    store_address: str
    gateway: Gateway
    stopping: asyncio.Event
    running: asyncio.Task[None]
    servers: dict[str, ServerStandIn] = field(default_factory=dict)
    _ids: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    async def add_server(self, incarnation: str, *ways: object, slots: int = 4) -> ServerStandIn:
        """Start a server, list it in the store and wait until the gateway knows it."""
        server = ServerStandIn(incarnation, list(ways))  # type: ignore[arg-type]
        await self.start_server(server, slots=slots)
        return server

    async def start_server(self, server: ServerStandIn, *, slots: int = 4) -> None:
        """Start a given server, list it in the store and wait until the gateway knows it."""
        incarnation = server.incarnation
        address = await listen(server.handle)
        self.servers[incarnation] = server
        self.list_server(incarnation, address, slots=slots)
        await self.wait_until(lambda: self.gateway.state.upstreams.find(incarnation) is not None)

    def list_server(self, incarnation: str, address: str, **changes: object) -> None:
        """Write a server's entry to the store."""
        entry = {
            "service": "desk",
            "address": address,
            "zone": "hall",
            "slots": 4,
            "state": "ready",
            "sequence": 1,
            **changes,
        }
        self.store.put(f"servers/{incarnation}", msgspec.json.encode(entry))

    def read_entry(self, incarnation: str) -> dict[str, object]:
        """Return a server's entry as stored."""
        value = self.store.items[f"servers/{incarnation}"].value
        entry: dict[str, object] = msgspec.json.decode(value)
        return entry

    def listed(self, incarnation: str) -> ListedUpstream:
        """Return the entry of a server that the gateway has read."""
        listed = self.gateway.state.upstreams.find(incarnation)
        assert listed is not None
        return listed

    async def apply(self, config: Mapping[str, object]) -> None:
        """Store a configuration and wait until it is active at the gateway."""
        self.store.put("op/config", msgspec.json.encode(config))
        await self.wait_until(lambda: self.version() == config["version"])

    def version(self) -> int | None:
        """Return the configuration version active at the gateway."""
        table = self.gateway.state.table
        return table.version if table is not None else None

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        while not condition():
            await asyncio.sleep(0.001)

    async def connect(self) -> ClientConnection:
        """Open a connection to the gateway."""
        return await connect(self.gateway.http, TIMEOUT_S)

    async def send_request(
        self,
        path: str,
        *,
        connection: ClientConnection | None = None,
        headers: Mapping[str, str] | None = None,
        deadline_ms: int = 5000,
        key: str | None = KEY,
        body: bytes = b"",
    ) -> Answer:
        """Send a request and return its answer."""
        connection = connection or await self.connect()
        connection.send([make_request(path, next(self._ids), headers, deadline_ms, key, body)])
        return await read_answer(connection)

    async def is_ready(self) -> bool:
        """Return the readiness that the gateway reports to its load balancer."""
        connection = await connect(self.gateway.ready, TIMEOUT_S)
        connection.send([b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"])
        head = await connection.read_head()
        connection.abort()
        return head.status == 200


async def rewrite_entry(bench: GatewayBench) -> None:
    """Rewrite the entry of s0 as ready and wait until the gateway has read it."""
    bench.list_server("s0", str(bench.read_entry("s0")["address"]), sequence=2, slots=3)
    await bench.wait_until(lambda: bench.listed("s0").slots == 3)


async def delete_and_rewrite_entry(bench: GatewayBench) -> None:
    """Delete the entry of s0 and write it again, waiting for the gateway each time."""
    address = str(bench.read_entry("s0")["address"])
    bench.store.delete("servers/s0")
    await bench.wait_until(lambda: bench.gateway.state.upstreams.find("s0") is None)
    bench.list_server("s0", address)
    await bench.wait_until(lambda: bench.gateway.state.upstreams.find("s0") is not None)


def make_request(
    path: str,
    number: int,
    headers: Mapping[str, str] | None = None,
    deadline_ms: int = 5000,
    key: str | None = KEY,
    body: bytes = b"",
) -> bytes:
    """Return the bytes of a caller's request."""
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: r{number}"]
    lines += [f"X-Deadline-Ms: {deadline_ms}", f"Content-Length: {len(body)}"]
    lines += [f"X-Key: {key}"] if key is not None else []
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(connection: ClientConnection) -> Answer:
    """Read an answer to its end or to where it is cut off."""
    head = await connection.read_head()
    pieces: list[bytes] = []
    try:
        while (piece := await connection.read_piece()) is not None:
            pieces.append(piece)
    except ResponseError:
        return Answer(head.status, head, b"".join(pieces), False)
    return Answer(head.status, head, b"".join(pieces), True)


CONNECT_TIMEOUT_MS = 5_000
"""All components share one process, which may get no CPU for longer than connecting takes."""


async def start_gateway(
    store_address: str, name: str = "gw-1", *, uptime_s: float = 3600.0, **changes: object
) -> Gateway:
    """Create a gateway in this event loop, without running it.

    Its retry budgets are those of a process that started `uptime_s` ago.
    """
    defaults = {"hall": "hall", "connect_timeout_ms": CONNECT_TIMEOUT_MS}
    settings = GatewaySettings(
        role="gateway",
        name=name,
        http="127.0.0.1:0",
        ready="127.0.0.1:0",
        store=store_address,
        peer="127.0.0.1:0",
        **{**defaults, **changes},  # type: ignore[arg-type]
    )
    gateway = Gateway(settings)
    gateway.state.started_at_s -= uptime_s
    return gateway


def run_bench(scenario: Callable[[GatewayBench], Awaitable[None]], **changes: object) -> None:
    """Run a scenario against a gateway and its store, at first without servers."""

    async def run() -> None:
        store = MetadataStandIn()
        store_address = await listen(store.handle)
        gateway = await start_gateway(store_address, **changes)
        stopping = asyncio.Event()
        running = asyncio.get_running_loop().create_task(gateway.run(stopping))
        await gateway.listening.wait()
        bench = GatewayBench(store, store_address, gateway, stopping, running)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(bench)
        finally:
            running.cancel()

    with asyncio.Runner(loop_factory=BootTimeEventLoop) as runner:
        runner.run(run())


@contextmanager
def override_attribute(owner: object, name: str, value: object) -> Iterator[None]:
    """Set an attribute temporarily, such as a constant that would make a test slow."""
    before = getattr(owner, name)
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, before)
