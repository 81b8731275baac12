"""Run gateways before upstreams that crash on one part of a prompt."""

from __future__ import annotations

import asyncio
import functools
import itertools
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass, field

from dalehollow.aio import (
    CallerConnection,
    Connections,
    Limits,
    ResponseError,
    ResponseHead,
    connect,
)
from dalehollow.gateway.process import Gateway
from standins.server import CrashPoint, ServerStandIn, list_shared_parts, make_prompt_header
from tests.gateway_bench import (
    TIMEOUT_S,
    Answer,
    GatewayBench,
    make_config,
    make_request,
    read_answer,
    run_bench,
    start_gateway,
)

UPSTREAMS = 6
SHARED_BY_ALL, CRASHING = "5c1e07a2", "bad0bad0"
_LIMITS = Limits(65_536, 65_536, 10.0, 60.0)


@dataclass
class CrashingUpstream:
    """Hold an upstream that closes its port when it crashes, and is started again on it."""

    name: str
    server: ServerStandIn
    port: int = 0
    starts: int = 0
    listening: asyncio.Server | None = None

    @property
    def is_down(self) -> bool:
        return self.listening is None

    async def listen(self) -> None:
        connections = Connections[CallerConnection]()
        self.listening = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self.server.handle, lambda: _LIMITS, connections),
            "127.0.0.1",
            self.port,
        )
        self.port = self.listening.sockets[0].getsockname()[1]
        self.starts += 1

    def close_port(self) -> None:
        if self.listening is not None:
            self.listening.close()
            self.listening = None


@dataclass
class CrashWorld:
    """Hold the gateways and upstreams of one test, all in one event loop."""

    bench: GatewayBench
    gateways: list[Gateway]
    upstreams: list[CrashingUpstream] = field(default_factory=list)
    running: list[asyncio.Task[None]] = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    async def add_upstream(self, crash_point: CrashPoint) -> None:
        name = f"s{len(self.upstreams)}"
        server = ServerStandIn(name, crash_part=CRASHING.encode(), crash_point=crash_point)
        upstream = CrashingUpstream(name, server)
        server.on_crash = upstream.close_port
        self.upstreams.append(upstream)
        await upstream.listen()
        self._list(upstream)

    async def add_gateway(self, hall: str = "hall") -> Gateway:
        """Start a gateway and wait until it knows all upstreams."""
        name = f"gw-{len(self.running) + 2}"
        gateway = await start_gateway(self.bench.store_address, name, hall=hall)
        await self.run_gateway(gateway)
        return gateway

    async def run_gateway(self, gateway: Gateway) -> None:
        self.running.append(asyncio.get_running_loop().create_task(gateway.run(asyncio.Event())))
        await gateway.listening.wait()
        self.gateways.append(gateway)
        await self.bench.wait_until(lambda: gateway.state.table is not None)
        await self.wait_for_starts()

    async def restart_gateways(self) -> None:
        """Kill all gateways and start as many others, which know only what the store holds."""
        halls = [gateway._settings.hall for gateway in self.gateways]
        self.bench.running.cancel()
        for task in self.running:
            task.cancel()
        await asyncio.gather(self.bench.running, *self.running, return_exceptions=True)
        self.gateways.clear()
        for hall in halls:
            await self.add_gateway(hall)

    async def wait_for_record(self, fingerprint: str) -> None:
        """Wait until the store holds the record of a culprit."""
        key = f"dalehollow/culprits/{fingerprint}"
        await self.bench.wait_until(lambda: key in self.bench.store.items)

    async def restart_upstreams(self) -> None:
        """Start crashed upstreams again and wait until all gateways know their starts."""
        for upstream in self.upstreams:
            if upstream.is_down:
                await upstream.listen()
                self._list(upstream)
        await self.wait_for_starts()

    async def wait_for_starts(self) -> None:
        await self.bench.wait_until(lambda: all(map(self._knows_starts, self.gateways)))

    async def send(
        self, gateway: Gateway, parts: Sequence[str], path: str = "/stream/1", body: bytes = b""
    ) -> Answer:
        """Send a request with a part of its own behind `parts`."""
        number = next(self._numbers)
        connection = await connect(gateway.http, TIMEOUT_S)
        headers = {"X-Prompt-Prefix": make_prompt_header([*parts, f"{number:08x}"])}
        connection.send([make_request(path, number, headers, body=body or b"%d" % number)])
        try:
            return await read_answer(connection)
        except ResponseError:
            return Answer(0, ResponseHead(0, ()), b"", False)
        finally:
            connection.abort()

    def start_requests(
        self, parts: Sequence[str], path: str, count: int
    ) -> asyncio.Future[list[Answer]]:
        """Send requests that stay in flight while their upstreams delay their answers."""
        for upstream in self.upstreams:
            upstream.server.response_delay_s = 0.02
        sent = [self.send(self.gateways[0], parts, path) for _ in range(count)]
        return asyncio.gather(*sent)

    async def crash_upstream(self, number: int) -> None:
        """Crash an upstream while it works on a request, for a cause of its own."""
        server = self.upstreams[number].server
        runs = len(server.runs)
        await self.bench.wait_until(lambda: len(server.runs) > runs)
        server.crash()

    def restart_after_crashes(self, delay_s: float) -> list[float]:
        """Start each upstream again some time after a crash; return the times of later crashes."""
        loop = asyncio.get_running_loop()
        crashes_s: list[float] = []

        async def start_again(upstream: CrashingUpstream) -> None:
            await asyncio.sleep(delay_s)
            await upstream.listen()
            self._list(upstream)

        def record_crash(upstream: CrashingUpstream) -> None:
            if not upstream.is_down:
                crashes_s.append(loop.time())
                upstream.close_port()
                self.running.append(loop.create_task(start_again(upstream)))

        for upstream in self.upstreams:
            upstream.server.on_crash = functools.partial(record_crash, upstream)
        return crashes_s

    def count_arrivals(self, part: str = CRASHING, since_s: float = 0.0) -> int:
        """Return how many requests with a part reached upstreams."""
        return sum(
            request.began_at_s >= since_s and part.encode() in list_shared_parts(request)
            for upstream in self.upstreams
            for request in upstream.server.received
        )

    def _knows_starts(self, gateway: Gateway) -> bool:
        known = {u.name: gateway.state.upstreams.find(u.name) for u in self.upstreams}
        return all(
            (listed := known[u.name]) is not None and listed.started_at_ms == u.starts
            for u in self.upstreams
        )

    def _list(self, upstream: CrashingUpstream) -> None:
        address = f"127.0.0.1:{upstream.port}"
        self.bench.list_server(upstream.name, address, born=upstream.starts)


def run_crash_world(
    scenario: Callable[[CrashWorld], Awaitable[None]],
    gateways: int = 1,
    crash_point: CrashPoint = CrashPoint.BEFORE_HEAD,
    upstreams: int = UPSTREAMS,
) -> None:
    """Run a scenario with gateways of two halls before upstreams that crash on one part."""

    async def run(bench: GatewayBench) -> None:
        await bench.apply(make_config())
        world = CrashWorld(bench, [bench.gateway])
        for _ in range(upstreams):
            await world.add_upstream(crash_point)
        try:
            await world.wait_for_starts()
            for number in range(1, gateways):
                await world.add_gateway("other" if number % 2 else "hall")
            await scenario(world)
        finally:
            for task in world.running:
                task.cancel()
            for upstream in world.upstreams:
                upstream.close_port()

    run_bench(run)
