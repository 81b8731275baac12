"""Run what several gateways learn by before one store, on virtual time.

Each gateway has a path to the store and each pair of gateways one for datagrams; both can be
broken. What is real: `Follower`, `Store`, `Session`, `HallFeed`, `PeerReports`. What stands in:
sockets, the store (`standins.metadata`) and what a gateway does with what it learned. Gateways hear
of each other from the store's list alone, and their entries stand under leases that run out.
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

from dalehollow.aio import AnswerHead, CallerRequest, ConnectError, CutError, Handler
from dalehollow.aio.client import ClientConnection
from dalehollow.aio.headers import Headers
from dalehollow.gateway.copies import StoreCopies
from dalehollow.gateway.crashes import CrashWatch
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
"""One way, to the store and between gateways."""
PIECE_BYTES = 16_384
LEASE_CHECK_S = 0.1
_PORT = 7000


class Path(enum.Enum):
    """Name what becomes of a gateway's calls to the store."""

    PASS = "pass"
    # Answered 503 at once.
    REFUSE = "refuse"
    # Nothing comes back, also on connections that are open; they stay silent for good.
    SILENT = "silent"
    # Connections that were open are silent for good, new ones work.
    OLD_SILENT = "old_silent"


@dataclass
class _Caller:
    """Stand in for the store's side of a connection."""

    connection: _Connection

    def send_whole(self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> None:
        self.connection.answer(int(status), tuple(headers), body)

    def cut(self) -> None:
        self.connection.fail(CutError("the server closed the connection"))


class _Connection(ClientConnection):
    """Stand in for a connection that a gateway opened, with the bandwidth of its VM's link."""

    def __init__(self, gateway: WorldGateway, handler: Handler, *, is_to_store: bool) -> None:
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
        self._run(self._ask(request))

    async def read_head(self) -> AnswerHead:
        item = await self._next()
        assert isinstance(item, AnswerHead)
        return item

    async def read_piece(self) -> bytes | None:
        item = await self._next()
        assert item is None or isinstance(item, bytes)
        return item

    def abort(self) -> None:
        self._gateway.connections.discard(self)
        for task in self._tasks:
            task.cancel()

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        self._run(self._deliver(status, headers, body))

    def fail(self, error: Exception) -> None:
        self._put(error)

    async def _ask(self, request: CallerRequest) -> None:
        await asyncio.sleep(DELAY_S)
        if self.is_silent:
            return
        if self._is_to_store and self._gateway.path is Path.REFUSE:
            self.answer(503, (), b"")
            return
        caller: Any = _Caller(self)
        await self._handler(caller, request)

    async def _deliver(self, status: int, headers: Headers, body: bytes) -> None:
        await asyncio.sleep(DELAY_S + (self._gateway.slowness_s if self._is_to_store else 0.0))
        if self.is_silent:
            return
        self._put(AnswerHead(status, headers))
        for start in range(0, len(body), PIECE_BYTES):
            piece = body[start : start + PIECE_BYTES]
            await asyncio.sleep(len(piece) / self._gateway.bytes_per_s)
            if self.is_silent:
                return
            self.received_bytes += len(piece)
            self._put(piece)
        self._put(None)

    def _run(self, work: Any) -> None:
        self._tasks.append(asyncio.ensure_future(work))

    def _put(self, item: AnswerHead | bytes | Exception | None) -> None:
        self._items.append(item)
        self._arrived.set()

    async def _next(self) -> AnswerHead | bytes | None:
        while not self._items:
            self._arrived.clear()
            await self._arrived.wait()
        item = self._items.popleft()
        if isinstance(item, Exception):
            raise item
        return item


@dataclass(eq=False)
class WorldGateway:
    """Hold one gateway: what runs, what it has in force, and how its paths are."""

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
    # Added to each answer of the store.
    slowness_s: float = 0.0
    path: Path = Path.PASS
    connections: set[_Connection] = field(default_factory=set)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    version: int = 0
    # When each version came into force.
    in_force_at_s: dict[int, float] = field(default_factory=dict)
    # When it learned that an upstream leaves.
    leaving_at_s: dict[str, float] = field(default_factory=dict)
    # When it took an upstream as gone.
    gone_at_s: dict[str, float] = field(default_factory=dict)
    # Gateways that no datagram reaches from here.
    deaf: set[str] = field(default_factory=set)
    loss: float = 0.0
    # Added to each datagram that it sends.
    send_delay_s: float = 0.0

    def may_use(self, incarnation: str) -> bool:
        """Return whether it may send requests to an upstream."""
        usable = self.upstreams.of_service(SERVICE)
        return incarnation in {u.listed.incarnation for u in usable}


@dataclass
class _Socket:
    """Stand in for a gateway's datagram socket."""

    world: HallWorld
    gateway: str

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.world.carry(self.gateway, data, address)


class HallWorld:
    """Hold the store, the gateways, and when each version was confirmed."""

    def __init__(self, seed: int = 1, padding_bytes: int = 0) -> None:
        """Prepare; `padding_bytes` are added to each configuration and do not compress."""
        self.rng = random.Random(seed)
        self.store = MetadataStandIn()
        self.gateways: dict[str, WorldGateway] = {}
        self.confirmed_at_s: dict[int, float] = {}
        self._padding_bytes = padding_bytes
        self._version = 0
        self._ports: dict[str, int] = {}
        # What the operator and the upstreams wrote last.
        self._written: dict[str, bytes] = {}
        # When each upstream said that it leaves, or its entry went; and of the latter alone.
        self.left_at_s: dict[str, float] = {}
        self.gone_at_s: dict[str, float] = {}
        # When the store was restored last.
        self.store_back_at_s = float("-inf")
        self._lease_watch: asyncio.Task[None] | None = None

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def start(self, name: str, hall: str = "hall") -> WorldGateway:
        """Start a gateway; the others know of it once the store lists it."""
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
            crashes=CrashWatch(lambda: 0.0, lambda: None),
        )
        reports._transport = _Socket(self, name)  # type: ignore[assignment]
        port = self._ports.setdefault(name, _PORT + len(self._ports))
        era = StoreEra()
        session = Session(name, name, Member(f"{name}:{port}", hall), clock=loop.time, era=era)
        gateway = WorldGateway(
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
        if self._lease_watch is None:
            self._lease_watch = asyncio.ensure_future(self._end_leases())
        gateway.tasks = [
            asyncio.ensure_future(gateway.follower.run()),
            asyncio.ensure_future(session.run()),
            asyncio.ensure_future(reports.run()),
            asyncio.ensure_future(copies.run()),
        ]
        return gateway

    def begin(self, halls: Mapping[str, str], upstreams: Iterable[str]) -> None:
        """Apply a configuration, list upstreams, and start gateways, each named by a letter."""
        self.apply()
        for incarnation in upstreams:
            self.write_upstream(incarnation, "ready")
        for hall, names in halls.items():
            for name in names:
                self.start(name, hall)

    async def end(self, name: str) -> None:
        """End a gateway at once, as a kill would."""
        gateway = self.gateways.pop(name)
        for task in gateway.tasks:
            task.cancel()
        await asyncio.gather(*gateway.tasks, return_exceptions=True)

    async def close(self) -> None:
        """End all gateways."""
        for name in list(self.gateways):
            await self.end(name)
        if self._lease_watch is not None:
            self._lease_watch.cancel()

    def apply(self) -> int:
        """Have the store confirm the next configuration and return its version."""
        self._version += 1
        padding = self.rng.randbytes(self._padding_bytes).hex()[: self._padding_bytes]
        config = make_config(self._version, padding=padding)
        self._write(CONFIG_KEY, msgspec.json.encode(config))
        self.confirmed_at_s[self._version] = self.now_s()
        return self._version

    def write_upstream(self, incarnation: str, state: str) -> None:
        """Have an upstream write its entry."""
        if state != "ready":
            self.left_at_s.setdefault(incarnation, self.now_s())
        entry = {"service": SERVICE, "address": "127.0.0.1:9", "zone": "hall", "slots": 2}
        self._write(f"servers/{incarnation}", msgspec.json.encode({**entry, "state": state}))

    def restore_store(self) -> None:
        """Restore the store; operator and upstreams write again what they had written."""
        self.store.restore()
        self.store_back_at_s = self.now_s()
        for key in list(self.store.items):
            if key.startswith("servers/") and key not in self._written:
                self.store.delete(key)
        for key, value in self._written.items():
            item = self.store.items.get(key)
            if item is None or item.value != value:
                self.store.put(key, value)

    def delete_upstream(self, incarnation: str) -> None:
        """Have the entry of an upstream go, without notice."""
        self.left_at_s.setdefault(incarnation, self.now_s())
        self.gone_at_s[incarnation] = self.now_s()
        key = f"servers/{incarnation}"
        self._written.pop(key, None)
        self.store.delete(key)

    def set_path(self, name: str, path: Path) -> None:
        """Change what becomes of a gateway's calls to the store."""
        gateway = self.gateways[name]
        gateway.path = Path.PASS if path is Path.OLD_SILENT else path
        if path in (Path.SILENT, Path.OLD_SILENT):
            for connection in gateway.connections:
                connection.is_silent = True

    def cut_off(self, name: str) -> None:
        """Cut a gateway off from the store and from all others."""
        self.set_path(name, Path.SILENT)
        others = set(self.gateways) - {name}
        self.gateways[name].deaf = others
        for other in others:
            self.gateways[other].deaf.add(name)

    def heal(self, name: str) -> None:
        """End what `cut_off` did."""
        self.set_path(name, Path.PASS)
        self.gateways[name].deaf = set()
        for other in self.gateways.values():
            other.deaf.discard(name)

    def carry(self, sender: str, data: bytes, address: tuple[str, int]) -> None:
        """Carry a datagram, or lose it."""
        source = self.gateways.get(sender)
        target = next((g for g in self.gateways.values() if g.port == address[1]), None)
        if source is None or target is None or target.name in source.deaf:
            return
        if self.rng.random() < max(source.loss, target.loss):
            return
        loop = asyncio.get_running_loop()
        from_address = (sender, source.port)
        delay_s = DELAY_S + source.send_delay_s
        loop.call_later(delay_s, target.reports.datagram_received, data, from_address)

    async def connect(self, name: str, timeout_s: float) -> _Connection:
        """Open a connection of a gateway to the store, as the store's client would."""
        gateway = self.gateways.get(name)
        await asyncio.sleep(2 * DELAY_S)
        if gateway is None or gateway.path is Path.SILENT:
            await asyncio.sleep(timeout_s)
            raise ConnectError(f"no connection to {name}: timed out")
        connection = _Connection(gateway, self.store.handle, is_to_store=True)
        gateway.connections.add(connection)
        return connection

    async def connect_peer(self, name: str, address: str) -> ClientConnection:
        """Open a connection of a gateway to another one."""
        host, port = address.split(":")
        target = next((g for g in self.gateways.values() if g.port == int(port)), None)
        await asyncio.sleep(2 * DELAY_S)
        if target is None or name in target.deaf or target.name in self.gateways[name].deaf:
            await asyncio.Event().wait()
        assert target is not None and host == target.name
        return _Connection(self.gateways[name], target.copies.answer, is_to_store=False)

    def lag_s(self, name: str) -> float:
        """Return how long the oldest version that a gateway lacks has been confirmed."""
        gateway = self.gateways[name]
        lacking = [at for version, at in self.confirmed_at_s.items() if version > gateway.version]
        return self.now_s() - min(lacking) if lacking else 0.0

    async def watch_lag(self, names: Iterable[str], for_s: float) -> dict[str, float]:
        """Return the longest lag of each gateway over a time."""
        longest = dict.fromkeys(names, 0.0)
        until_s = self.now_s() + for_s
        while self.now_s() < until_s:
            await asyncio.sleep(0.02)
            for name in longest:
                longest[name] = max(longest[name], self.lag_s(name))
        return longest

    async def keep_applying(self, gap_s: float) -> None:
        """Apply configurations one after the other, for ever."""
        while True:
            self.apply()
            await asyncio.sleep(gap_s)

    def _write(self, key: str, value: bytes) -> None:
        self._written[key] = value
        self.store.put(key, value)

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            if self.store.fault == "none":
                self.store.end_lapsed_leases()

    def _make_listener(self, gateway: WorldGateway) -> Listener:
        def take_table(table: RoutingTable) -> None:
            if table.version > gateway.version:
                gateway.version = table.version
                gateway.in_force_at_s[table.version] = self.now_s()

        def take_upstream(listed: ListedUpstream) -> None:
            gateway.upstreams.put(listed)
            gateway.gone_at_s.pop(listed.incarnation, None)
            if listed.is_leaving:
                gateway.leaving_at_s.setdefault(listed.incarnation, self.now_s())

        def take_gone(incarnation: str) -> None:
            gateway.upstreams.remove(incarnation)
            gateway.gone_at_s.setdefault(incarnation, self.now_s())

        def take_member(name: str, member: Member | None) -> None:
            gateway.members.record_listed(name, member)
            if name == gateway.name and member is None:
                gateway.session.record_unlisted()

        return Listener(
            on_table=take_table,
            on_upstream=take_upstream,
            on_upstream_gone=take_gone,
            on_member=take_member,
            on_duty=lambda duty, holder: None,
            on_plan=lambda duty, plan: None,
        )


def use_world(world: HallWorld, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have the store's clients connect through a world; addresses are gateways' names."""
    monkeypatch.setattr(store_module, "connect", world.connect)


SETTLE_S = 5.0
Scenario = Callable[[HallWorld], Awaitable[None]]


def play_halls(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Scenario,
    halls: Mapping[str, str],
    *,
    upstreams: Iterable[str] = (),
    padding_bytes: int = 0,
) -> None:
    """Start the gateways of halls, each named by a letter, let them settle, and play a scenario."""
    world = HallWorld(padding_bytes=padding_bytes)
    use_world(world, monkeypatch)

    async def main() -> None:
        world.begin(halls, upstreams)
        await asyncio.sleep(SETTLE_S)
        try:
            await scenario(world)
        finally:
            await world.close()

    run_virtual(main())


async def run_beside(work: Any, main: Any) -> Any:
    """Run a coroutine while another goes on, and end that one with it."""
    task = asyncio.ensure_future(work)
    try:
        return await main
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
