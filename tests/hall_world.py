"""Simulate how several gateways learn of changes in one store, in virtual time.

Each gateway has a path to the store, and each pair of gateways a path for datagrams; tests can
break either. `Follower`, `Store`, `Session`, `HallFeed`, `StoreCopies` and `PeerReports` are the
actual ones. Sockets, the store (`standins.metadata`) and the use that a gateway makes of changes
are simulated. Gateways discover each other only through the store's list, where their entries
depend on leases that expire.
"""

from __future__ import annotations

import asyncio
import enum
import random
from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import msgspec
import pytest

from dalehollow.aio import CallerRequest, ConnectError, Handler, ResponseError, ResponseHead
from dalehollow.aio.client import ClientConnection
from dalehollow.aio.headers import Headers
from dalehollow.crashes import Suspects
from dalehollow.gateway.copies import StoreCopies
from dalehollow.gateway.feed import HallFeed
from dalehollow.gateway.health import GroupHealth
from dalehollow.gateway.listed import ListedUpstream, Member
from dalehollow.gateway.members import Members
from dalehollow.gateway.reports import PeerReports
from dalehollow.gateway.table import RoutingTable
from dalehollow.gateway.upstreams import UpstreamSet
from dalehollow.platform import store as store_module
from dalehollow.platform.follow import Follower
from dalehollow.platform.items import Listener
from dalehollow.platform.session import Session
from dalehollow.platform.store import StoreEra
from standins.metadata import MetadataStandIn
from tests.gateway_bench import make_config
from tests.virtual_time import run_virtual

CONFIG_KEY = "op/config"
SERVICE = "desk"
DELAY_S = 0.001
"""One-way delay to the store and between gateways."""
CHUNK_BYTES = 16_384
LEASE_CHECK_INTERVAL_S = 0.1
_FIRST_PORT = 7000


class Path(enum.Enum):
    """State of a gateway's path to the store."""

    PASS = "pass"
    # Calls are answered with 503 immediately.
    REFUSE = "refuse"
    # No answers and no new connections; connections that are open now never answer again.
    SILENT = "silent"
    # Connections that are open now never answer again; new ones work.
    OLD_SILENT = "old_silent"


@dataclass
class _StoreSideCaller:
    """Simulated server side of a connection."""

    connection: _Connection

    def send_response(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        self.connection.answer(int(status), tuple(headers), body)

    def abort(self) -> None:
        self.connection.fail(ResponseError("the server closed the connection"))


class _Connection(ClientConnection):
    """Simulated connection opened by a gateway, with the bandwidth of its VM's link."""

    def __init__(self, gateway: SimulatedGateway, handler: Handler, *, is_to_store: bool) -> None:
        self._gateway = gateway
        self._handler = handler
        self._is_to_store = is_to_store
        self._items: deque[Any] = deque()
        self._arrived = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self.is_silent = False
        self.received_bytes = 0

    def send(self, parts: Iterable[bytes]) -> None:
        head, _, body = b"".join(parts).partition(b"\r\n\r\n")
        method, target = head.split(b" ", 2)[:2]
        request = CallerRequest(method, target, (), body, asyncio.get_running_loop().time())
        self._start_task(self._send_to_handler(request))

    async def read_head(self) -> ResponseHead:
        item = await self._next_item()
        assert isinstance(item, ResponseHead)
        return item

    async def read_piece(self) -> bytes | None:
        item = await self._next_item()
        assert item is None or isinstance(item, bytes)
        return item

    def abort(self) -> None:
        self._gateway.connections.discard(self)
        for task in self._tasks:
            task.cancel()

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        self._start_task(self._deliver(status, headers, body))

    def fail(self, error: Exception) -> None:
        self._enqueue(error)

    async def _send_to_handler(self, request: CallerRequest) -> None:
        await asyncio.sleep(DELAY_S)
        if self.is_silent:
            return
        if self._is_to_store and self._gateway.path is Path.REFUSE:
            self.answer(503, (), b"")
            return
        caller: Any = _StoreSideCaller(self)
        await self._handler(caller, request)

    async def _deliver(self, status: int, headers: Headers, body: bytes) -> None:
        await asyncio.sleep(DELAY_S + (self._gateway.store_delay_s if self._is_to_store else 0.0))
        if self.is_silent:
            return
        self._enqueue(ResponseHead(status, headers))
        for start in range(0, len(body), CHUNK_BYTES):
            piece = body[start : start + CHUNK_BYTES]
            await asyncio.sleep(len(piece) / self._gateway.bytes_per_s)
            if self.is_silent:
                return
            self.received_bytes += len(piece)
            self._enqueue(piece)
        self._enqueue(None)

    def _start_task(self, work: Any) -> None:
        self._tasks.append(asyncio.ensure_future(work))

    def _enqueue(self, item: ResponseHead | bytes | Exception | None) -> None:
        self._items.append(item)
        self._arrived.set()

    async def _next_item(self) -> ResponseHead | bytes | None:
        while not self._items:
            self._arrived.clear()
            await self._arrived.wait()
        item = self._items.popleft()
        if isinstance(item, Exception):
            raise item
        return item


@dataclass(eq=False)
class SimulatedGateway:
    """One gateway: its components, what it has learned when, and the state of its paths."""

    name: str
    hall: str
    port: int
    feed: HallFeed
    reports: PeerReports
    copies: StoreCopies
    members: Members
    upstreams: UpstreamSet
    follower: Follower
    session: Session
    bytes_per_s: float = 2.5e6
    # Delay added to each answer of the store.
    store_delay_s: float = 0.0
    path: Path = Path.PASS
    connections: set[_Connection] = field(default_factory=set)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    version: int = 0
    # Time at which each configuration version came into force.
    in_force_at_s: dict[int, float] = field(default_factory=dict)
    # Time at which it learned that an upstream is leaving.
    leaving_at_s: dict[str, float] = field(default_factory=dict)
    # Time at which it removed an upstream.
    gone_at_s: dict[str, float] = field(default_factory=dict)
    # Gateways that receive no datagrams from this one.
    unreachable: set[str] = field(default_factory=set)
    loss: float = 0.0
    # Delay added to each datagram that it sends.
    send_delay_s: float = 0.0

    def may_use(self, incarnation: str) -> bool:
        """Return whether the gateway may send requests to an upstream."""
        usable = self.upstreams.of_service(SERVICE)
        return incarnation in {u.listed.incarnation for u in usable}


@dataclass
class _Socket:
    """Simulated datagram socket of a gateway."""

    world: HallWorld
    gateway: str

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.world.deliver_datagram(self.gateway, data, address)


class HallWorld:
    """A store, its gateways, and the time at which the store confirmed each version."""

    def __init__(self, seed: int = 1, padding_bytes: int = 0) -> None:
        """Create a world; each configuration has `padding_bytes` that do not compress."""
        self.rng = random.Random(seed)
        self.store = MetadataStandIn()
        self.gateways: dict[str, SimulatedGateway] = {}
        self.confirmed_at_s: dict[int, float] = {}
        self._config_padding_bytes = padding_bytes
        self._version = 0
        self._ports: dict[str, int] = {}
        # Latest values written by the operator and the upstreams.
        self._written_items: dict[str, bytes] = {}
        # Time at which each upstream announced that it is leaving, or lost its entry.
        self.left_at_s: dict[str, float] = {}
        # Time at which each upstream lost its entry.
        self.gone_at_s: dict[str, float] = {}
        # Time of the last restore of the store, or of the end of its last outage.
        self.store_recovered_at_s = float("-inf")
        self._lease_task: asyncio.Task[None] | None = None

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def start(self, name: str, hall: str = "hall") -> SimulatedGateway:
        """Start a gateway; the others discover it once the store lists it."""
        loop = asyncio.get_running_loop()
        rng = random.Random(f"{name}{self.rng.random()}")
        feed = HallFeed(name, loop.time, rng, lambda changes: reports.send_to_hall(changes))
        copies = StoreCopies(feed, rng, lambda address, _: self.connect_peer(name, address))
        upstreams = UpstreamSet(rng, hall)
        members = Members(loop.time, lambda name, member: reports.record_member(name, member))
        reports = PeerReports(
            name,
            hall,
            upstreams,
            GroupHealth(),
            lambda: None,
            remote_bytes_per_s=16e3,
            feed=feed,
            copies=copies,
            members=members,
            suspects=Suspects(lambda: 0.0),
        )
        reports._transport = _Socket(self, name)  # type: ignore[assignment]
        port = self._ports.setdefault(name, _FIRST_PORT + len(self._ports))
        era = StoreEra()
        session = Session(
            name, name, Member(f"{_host_at(port)}:{port}", hall), clock=loop.time, era=era
        )
        gateway = SimulatedGateway(
            name,
            hall,
            port,
            feed,
            reports,
            copies,
            members,
            upstreams,
            None,  # type: ignore[arg-type]
            session,
        )
        gateway.follower = Follower(name, "", self._make_listener(gateway), feed, era)
        self.gateways[name] = gateway
        if self._lease_task is None:
            self._lease_task = asyncio.ensure_future(self._run_lease_expiry())
        gateway.tasks = [
            asyncio.ensure_future(gateway.follower.run()),
            asyncio.ensure_future(session.run()),
            asyncio.ensure_future(reports.run()),
            asyncio.ensure_future(copies.run()),
        ]
        return gateway

    def start_all(self, halls: Mapping[str, str], upstreams: Iterable[str]) -> None:
        """Apply a configuration, list upstreams and start gateways, each named by a letter."""
        self.apply()
        for incarnation in upstreams:
            self.write_upstream(incarnation, "ready")
        for hall, names in halls.items():
            for name in names:
                self.start(name, hall)

    async def kill(self, name: str) -> None:
        """Stop a gateway without cleanup, as a kill would."""
        gateway = self.gateways.pop(name)
        for task in gateway.tasks:
            task.cancel()
        await asyncio.gather(*gateway.tasks, return_exceptions=True)

    async def close(self) -> None:
        """Stop all gateways."""
        for name in list(self.gateways):
            await self.kill(name)
        if self._lease_task is not None:
            self._lease_task.cancel()

    def apply(self) -> int:
        """Write the next configuration version to the store and return it."""
        self._version += 1
        padding = self.rng.randbytes(self._config_padding_bytes).hex()[: self._config_padding_bytes]
        config = make_config(self._version, padding=padding)
        self._write_item(CONFIG_KEY, msgspec.json.encode(config))
        self.confirmed_at_s[self._version] = self.now_s()
        return self._version

    def write_upstream(self, incarnation: str, state: str) -> None:
        """Write the entry of an upstream to the store."""
        if state != "ready":
            self.left_at_s.setdefault(incarnation, self.now_s())
        entry = {"service": SERVICE, "address": "127.0.0.1:9", "zone": "hall", "slots": 2}
        self._write_item(f"servers/{incarnation}", msgspec.json.encode({**entry, "state": state}))

    def restore_store(self) -> None:
        """Restore the store from its copy, then write the operator's and upstreams' items again."""
        self.store.restore()
        self.store_recovered_at_s = self.now_s()
        for key in list(self.store.items):
            if key.startswith("servers/") and key not in self._written_items:
                self.store.delete(key)
        for key, value in self._written_items.items():
            item = self.store.items.get(key)
            if item is None or item.value != value:
                self.store.put(key, value)

    def delete_upstream(self, incarnation: str) -> None:
        """Delete the entry of an upstream without notice."""
        self.left_at_s.setdefault(incarnation, self.now_s())
        self.gone_at_s[incarnation] = self.now_s()
        key = f"servers/{incarnation}"
        self._written_items.pop(key, None)
        self.store.delete(key)

    def set_path(self, name: str, path: Path) -> None:
        """Set the state of a gateway's path to the store."""
        gateway = self.gateways[name]
        gateway.path = Path.PASS if path is Path.OLD_SILENT else path
        if path in (Path.SILENT, Path.OLD_SILENT):
            for connection in gateway.connections:
                connection.is_silent = True

    def cut_off(self, name: str) -> None:
        """Disconnect a gateway from the store and from all other gateways."""
        self.set_path(name, Path.SILENT)
        others = set(self.gateways) - {name}
        self.gateways[name].unreachable = others
        for other in others:
            self.gateways[other].unreachable.add(name)

    def heal(self, name: str) -> None:
        """Restore the connections that `cut_off` broke."""
        self.set_path(name, Path.PASS)
        self.gateways[name].unreachable = set()
        for other in self.gateways.values():
            other.unreachable.discard(name)

    def deliver_datagram(self, sender: str, data: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram after its delay, or drop it."""
        source = self.gateways.get(sender)
        target = next((g for g in self.gateways.values() if g.port == address[1]), None)
        if source is None or target is None or target.name in source.unreachable:
            return
        if self.rng.random() < max(source.loss, target.loss):
            return
        loop = asyncio.get_running_loop()
        from_address = (_host_at(source.port), source.port)
        delay_s = DELAY_S + source.send_delay_s
        loop.call_later(delay_s, target.reports.datagram_received, data, from_address)

    async def connect(self, name: str, timeout_s: float) -> _Connection:
        """Open a connection from a gateway to the store; replaces `connect` of the client."""
        gateway = self.gateways.get(name)
        await asyncio.sleep(2 * DELAY_S)
        if gateway is None or gateway.path is Path.SILENT:
            await asyncio.sleep(timeout_s)
            raise ConnectError(f"no connection to {name}: timed out")
        connection = _Connection(gateway, self.store.handle, is_to_store=True)
        gateway.connections.add(connection)
        return connection

    async def connect_peer(self, name: str, address: str) -> ClientConnection:
        """Open a connection from a gateway to another one."""
        host, port = address.split(":")
        target = next((g for g in self.gateways.values() if g.port == int(port)), None)
        await asyncio.sleep(2 * DELAY_S)
        if (
            target is None
            or name in target.unreachable
            or target.name in self.gateways[name].unreachable
        ):
            await asyncio.Event().wait()
        assert target is not None and host == _host_at(target.port)
        return _Connection(self.gateways[name], target.copies.answer, is_to_store=False)

    def lag_s(self, name: str) -> float:
        """Return the time since the store confirmed the oldest version that a gateway lacks."""
        gateway = self.gateways[name]
        missing_since_s = [
            at for version, at in self.confirmed_at_s.items() if version > gateway.version
        ]
        return self.now_s() - min(missing_since_s) if missing_since_s else 0.0

    async def watch_lag(self, names: Iterable[str], for_s: float) -> dict[str, float]:
        """Return the longest lag of each gateway during a period."""
        longest = dict.fromkeys(names, 0.0)
        until_s = self.now_s() + for_s
        while self.now_s() < until_s:
            await asyncio.sleep(0.02)
            for name in longest:
                longest[name] = max(longest[name], self.lag_s(name))
        return longest

    async def keep_applying(self, gap_s: float) -> None:
        """Apply configurations at an interval until cancelled."""
        while True:
            self.apply()
            await asyncio.sleep(gap_s)

    def _write_item(self, key: str, value: bytes) -> None:
        self._written_items[key] = value
        self.store.put(key, value)

    async def _run_lease_expiry(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            if self.store.fault == "none":
                self.store.end_expired_leases()

    def _make_listener(self, gateway: SimulatedGateway) -> Listener:
        def on_table_read(table: RoutingTable) -> None:
            if table.version > gateway.version:
                gateway.version = table.version
                gateway.in_force_at_s[table.version] = self.now_s()

        def on_upstream_read(listed: ListedUpstream) -> None:
            gateway.upstreams.put(listed)
            gateway.gone_at_s.pop(listed.incarnation, None)
            if listed.is_leaving:
                gateway.leaving_at_s.setdefault(listed.incarnation, self.now_s())

        def on_upstream_removed(incarnation: str) -> None:
            gateway.upstreams.remove(incarnation)
            gateway.gone_at_s.setdefault(incarnation, self.now_s())

        def on_member_read(name: str, member: Member | None) -> None:
            gateway.members.record_listed(name, member)
            if name == gateway.name and member is None:
                gateway.session.record_unlisted()

        return Listener(
            on_table=on_table_read,
            on_upstream=on_upstream_read,
            on_upstream_gone=on_upstream_removed,
            on_member=on_member_read,
            on_duty=lambda duty, holder: None,
            on_plan=lambda duty, plan: None,
        )


def _host_at(port: int) -> str:
    """Return the address of a gateway's VM: members are listed by IPv4 address."""
    return f"10.0.{port // 256}.{port % 256}"


def connect_through(world: HallWorld, monkeypatch: pytest.MonkeyPatch) -> None:
    """Make store clients connect through a world; their addresses are the names of gateways."""
    monkeypatch.setattr(store_module, "connect", world.connect)


SETTLE_S = 5.0
Scenario = Callable[[HallWorld], Awaitable[None]]


def run_halls(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Scenario,
    halls: Mapping[str, str],
    *,
    upstreams: Iterable[str] = (),
    padding_bytes: int = 0,
) -> None:
    """Start the gateways of each hall, named by letters, wait until they settle, run a scenario."""
    world = HallWorld(padding_bytes=padding_bytes)
    connect_through(world, monkeypatch)

    async def main() -> None:
        world.start_all(halls, upstreams)
        await asyncio.sleep(SETTLE_S)
        try:
            await scenario(world)
        finally:
            await world.close()

    run_virtual(main())


async def run_with_background(work: Any, main: Any) -> Any:
    """Run `main` with `work` in the background, and cancel `work` when `main` ends."""
    task = asyncio.ensure_future(work)
    try:
        return await main
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
