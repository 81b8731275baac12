"""Simulate many gateways with rate-limited upstreams in virtual time.

`GatewayState` with its admission control, `PeerReports`, `LimitTokens` and `Members` are the real
implementations; sockets, callers and upstreams are simulated.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from dalehollow.crashes import Suspects
from dalehollow.gateway.admission import AdmissionRefusal, AdmissionRequest
from dalehollow.gateway.copies import StoreCopies
from dalehollow.gateway.crashes import CrashWatch
from dalehollow.gateway.feed import HallFeed
from dalehollow.gateway.limit_tokens import LimitTokens
from dalehollow.gateway.listed import ListedUpstream, Member
from dalehollow.gateway.members import Members
from dalehollow.gateway.reports import PeerReports
from dalehollow.gateway.signals import Signals
from dalehollow.gateway.state import GatewayState, RetryLimits
from dalehollow.gateway.upstreams import UpstreamSet
from dalehollow.platform.names import HEADERS

SERVICE = "desk"
TRANSIT_S = 0.002
ANSWER_TIME_S = 0.02
SLOTS = 4
_PORT = 7000


@dataclass(frozen=True)
class Arrival:
    """Hold the arrival of a request and the time at which its gateway learned of the limit."""

    at_s: float
    gateway: str
    learned_at_s: float


@dataclass
class Server:
    """Simulate an upstream with a rate limit, None for no limit, and record its requests."""

    hall: str
    limit_per_s: float | None = None
    limit_sent_at_s: float | None = None
    arrivals: list[Arrival] = field(default_factory=list)


@dataclass
class _Socket:
    world: LimitWorld
    sender: str

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.world.deliver(self.sender, data, address)


class WorldGateway:
    """Run one gateway and its tasks."""

    def __init__(self, world: LimitWorld, name: str, hall: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(f"{name}{world.rng.random()}")
        self.world, self.name, self.hall, self.port = world, name, hall, port
        self.upstreams = UpstreamSet(rng, hall)
        limits = RetryLimits(10.0, 0.2, 90.0, 8)
        crashes = CrashWatch(loop.time, Suspects(loop.time))
        self.state = GatewayState(HEADERS, rng, self.upstreams, limits, 1.0, crashes)
        feed = HallFeed(name, loop.time, rng, lambda changes: self.reports.send_to_hall(changes))
        self.members = Members(loop.time, lambda n, m: self.reports.record_member(n, m))
        self.reports = PeerReports(
            name,
            hall,
            self.upstreams,
            self.state.health,
            self.state.grant_all,
            remote_bytes_per_s=16e3,
            feed=feed,
            copies=StoreCopies(feed, rng),
            members=self.members,
            suspects=crashes.suspects,
        )
        self.state.on_change = self.reports.schedule_report
        self.tokens = LimitTokens(
            name,
            hall,
            loop.time,
            self.reports.list_peers,
            self.reports.send,
            self.state.grant_all,
        )
        self.reports.tokens = self.upstreams.tokens = self.tokens
        self.reports._transport = _Socket(world, name)  # type: ignore[assignment]
        # Time of the first relayed answer with a limit, by upstream.
        self.learned_at_s: dict[str, float] = {}
        self.refused = self.served = 0
        self.tasks = [
            asyncio.ensure_future(self.reports.run()),
            asyncio.ensure_future(self.tokens.run()),
        ]

    async def send_requests(self, rate_per_s: float) -> None:
        """Send requests at random times; never returns."""
        while True:
            await asyncio.sleep(self.world.rng.expovariate(rate_per_s))
            self.tasks.append(asyncio.ensure_future(self.send_request()))

    async def send_request(self) -> None:
        """Process one request of a caller."""
        admission = self.state.admission(SERVICE)
        granted = await admission.acquire(AdmissionRequest("read", 5, 0.4, 8.0, 8.0), ())
        if isinstance(granted, AdmissionRefusal):
            self.refused += 1
            return
        loop = asyncio.get_running_loop()
        incarnation = granted.listed.incarnation
        server = self.world.servers[incarnation]
        await asyncio.sleep(TRANSIT_S)
        never_s = float("inf")
        learned_at_s = self.learned_at_s.get(incarnation, never_s)
        server.arrivals.append(Arrival(loop.time(), self.name, learned_at_s))
        await asyncio.sleep(ANSWER_TIME_S)
        limit_per_s = server.limit_per_s
        if limit_per_s is not None and server.limit_sent_at_s is None:
            server.limit_sent_at_s = loop.time()
        await asyncio.sleep(TRANSIT_S)
        if limit_per_s is not None:
            self.learned_at_s.setdefault(incarnation, loop.time())
        self.state.apply_signals(granted, Signals(limit_per_s=limit_per_s))
        admission.release(granted)
        self.served += 1


class LimitWorld:
    """Simulate gateways in several halls and their upstreams."""

    def __init__(self, seed: int, halls: Mapping[str, int], servers: Mapping[str, Server]) -> None:
        """Start gateways; `halls` gives their number per hall."""
        self.rng = random.Random(seed)
        self.servers = dict(servers)
        self.gateways: dict[str, WorldGateway] = {}
        self.loss = 0.0
        self.are_halls_connected = True
        self.datagrams = self.bytes = 0
        for hall, count in halls.items():
            for number in range(count):
                name = f"{hall}-{number}"
                port = _PORT + len(self.gateways)
                self.gateways[name] = WorldGateway(self, name, hall, port)
        for gateway in self.gateways.values():
            for name, server in servers.items():
                listed = ListedUpstream(name, SERVICE, name, server.hall, SLOTS, False)
                gateway.upstreams.put(listed)
            for other in self.gateways.values():
                gateway.members.record_listed(
                    other.name, Member(f"{other.name}:{other.port}", other.hall)
                )

    def send_requests(self, rate_per_s: float, names: Sequence[str] = ()) -> None:
        """Send requests to the given gateways, or to all of them."""
        for name in names or list(self.gateways):
            gateway = self.gateways[name]
            gateway.tasks.append(asyncio.ensure_future(gateway.send_requests(rate_per_s)))

    def deliver(self, sender: str, data: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram from one gateway to another."""
        self.datagrams += 1
        self.bytes += len(data)
        target, source = self.gateways.get(address[0]), self.gateways.get(sender)
        if target is None or source is None or self.rng.random() < self.loss:
            return
        if target.hall != source.hall and not self.are_halls_connected:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(TRANSIT_S, target.reports.datagram_received, data, (sender, source.port))

    def stop(self, name: str) -> None:
        """Stop a gateway without notice."""
        for task in self.gateways.pop(name).tasks:
            task.cancel()

    def close(self) -> None:
        """Stop all gateways."""
        for name in list(self.gateways):
            self.stop(name)
