"""Stand in for a group of model servers that make each pass together, with orders for its maps."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from review.web import Connection, Request, serve

RANKS, SETS, EXPERTS, PLACES, SPARE = 18, 4, 64, 5, 2
SLOTS = 6
EXPERT_MB, LINK_MBPS = 880.0, 180_000.0
STRIDE, STEP_MS, PER_REQUEST_MS = 5, 5.85, 0.355
REPORT_LAG_S = 0.2
COUNTS_PER_PROMPT, COUNTS_PER_EVENT = 200, 8
_SKEW = 1.1

ENGINE = {
    "slots": SLOTS,
    "step_ms": STEP_MS,
    "per_seq_ms": PER_REQUEST_MS,
    "context_per_k": 0.036,
    "read_per_s": 61_200.0,
    "stride": STRIDE,
    "usual": {"prompt": 800, "answer": 140},
    "form_ms": 600.0,
    "linkMbps": LINK_MBPS,
    "sets": SETS,
    "experts": EXPERTS,
    "places": PLACES,
    "spare": SPARE,
    "expertMb": EXPERT_MB,
}

Map = list[list[list[int]]]
"""The experts by set and rank."""


@dataclass
class Rank:
    """Hold the state of one rank."""

    number: int
    server_id: str
    map: list[list[int]]
    address: str = ""
    version: int = 0
    prepared: int = 0
    prepared_map: list[list[int]] | None = None
    ready_at_s: float = 0.0
    highest: int = 0
    armed: tuple[int, int] | None = None
    held: int | None = None
    sequence: int = 0
    counts: list[list[int]] = field(default_factory=lambda: [[0] * EXPERTS for _ in range(SETS)])
    active: list[_Stream] = field(default_factory=list)
    reports: list[tuple[float, dict[str, Any]]] = field(default_factory=list)
    server: asyncio.Server | None = None
    open_connections: set[Connection] = field(default_factory=set)


@dataclass(eq=False)
class _Stream:
    rank: Rank
    connection: Connection
    request_id: str
    headers: dict[str, str]
    next_event: int
    last_event: int
    is_begun: bool = False
    is_done: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass
class Group:
    """Hold the ranks; `delay_order` returns how late an order is carried out, 0 for at once.

    `is_cut` tells whether nothing passes between a rank and the peer of a connection.
    """

    record: Callable[[str], None]
    rng: random.Random
    delay_order: Callable[[int, dict[str, Any]], float] = lambda rank, order: 0.0
    is_cut: Callable[[int, Connection], bool] = lambda rank, connection: False
    epoch: int = 1
    step: int = 0
    is_open: bool = True
    ranks: list[Rank] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    is_held_since_s: float | None = None
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _late: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Start a server for each rank."""
        for number in range(RANKS):
            held = [[e for e in range(EXPERTS) if e % RANKS == number] for _ in range(SETS)]
            rank = Rank(number, self._make_id(number), held)
            await self._listen(rank)
            self.ranks.append(rank)
        weights = [1 / (place + 1) ** _SKEW for place in range(EXPERTS)]
        self._demand = [self.rng.sample(weights, EXPERTS) for _ in range(SETS)]

    def _make_id(self, number: int) -> str:
        return f"i-{number:02d}{self.rng.randrange(16**6):06x}"

    async def _listen(self, rank: Rank, port: int = 0) -> None:
        rank.server, rank.address = await serve(lambda c, q: self._handle(rank, c, q), port=port)

    def crash(self, numbers: list[int]) -> None:
        """Crash some ranks: their connections are reset and their ports are closed."""
        self.is_open = False
        for rank in (self.ranks[number] for number in numbers):
            self.record(f"rank {rank.number} crashes with {len(rank.active)} requests")
            assert rank.server is not None
            rank.server.close()
            for connection in list(rank.open_connections):
                connection.writer.transport.abort()
            for stream in list(rank.active):
                self._end(stream)

    def cut_streams(self) -> None:
        """End what depends on a crashed rank, after it has stood still."""
        for stream in [s for rank in self.ranks for s in rank.active]:
            if not stream.is_begun:
                refusal = {**stream.headers, "X-Not-Executed": "1", "At-Server": "another"}
                stream.connection.send(503, refusal, b"")
            else:
                stream.connection.writer.transport.abort()
            self._end(stream)

    async def restart(self, numbers: list[int]) -> None:
        """Start crashed ranks again at their addresses, as new incarnations."""
        for rank in (self.ranks[number] for number in numbers):
            rank.server_id = self._make_id(rank.number)
            await self._listen(rank, int(rank.address.rpartition(":")[2]))

    def reopen(self) -> None:
        """Open the group in a new epoch, with map 0."""
        self.epoch, self.step, self.is_open = self.epoch + 1, 0, True
        for rank in self.ranks:
            rank.map = [[e for e in range(EXPERTS) if e % RANKS == rank.number]] * SETS
            rank.version = rank.prepared = rank.highest = 0
            rank.armed = rank.held = rank.prepared_map = None
            rank.reports = []
        self.record(f"the group is open in epoch {self.epoch}")
        self._changed.set()

    def entry(self, rank: Rank) -> dict[str, Any]:
        """Return the entry that a rank keeps in the store."""
        return {
            "service": "llm",
            "address": rank.address,
            "zone": "a",
            "version": 1,
            "slots": SLOTS,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "group": {
                "name": "g",
                "epoch": self.epoch,
                "rank": rank.number,
                "state": self._state(),
            },
            "size": RANKS,
        }

    def _state(self) -> str:
        return "open" if self.is_open else "broken"

    async def run(self) -> None:
        """Make passes while requests are active; never returns."""
        clock = asyncio.get_running_loop().time
        while True:
            streams = [s for rank in self.ranks for s in rank.active]
            following = self.step + 1
            is_held = any(rank.held == following for rank in self.ranks)
            if not streams or is_held or not self.is_open:
                if streams and is_held and self.is_held_since_s is None:
                    self.is_held_since_s = clock()
                    self.record(f"group stands still before pass {following}: it is held")
                self._changed.clear()
                await self._changed.wait()
                continue
            if self.is_held_since_s is not None:
                for_s = clock() - self.is_held_since_s
                self.record(f"group goes on with pass {following} after {for_s:.2f} s")
                self.is_held_since_s = None
            self._begin_pass()
            batch = len(streams) / RANKS
            await asyncio.sleep(STRIDE * (STEP_MS + PER_REQUEST_MS * batch) / 1000)
            for stream in streams if self.is_open else ():
                self._write_event(stream)

    def _begin_pass(self) -> None:
        self.step += 1
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == self.step:
                assert rank.prepared_map is not None
                rank.version, rank.map, rank.armed = rank.armed[0], rank.prepared_map, None
                self.record(f"rank {rank.number} takes map {rank.version} in pass {self.step}")
        versions = [rank.version for rank in self.ranks]
        if len(set(versions)) > 1:
            if not self.broken:
                self.record(f"MAP broken: pass {self.step} begins with maps {versions}")
            self.broken.append(f"pass {self.step}: {versions}")

    def _write_event(self, stream: _Stream) -> None:
        if stream.connection.has_left.is_set() or stream.next_event > stream.last_event:
            return self._end(stream)
        counts = COUNTS_PER_EVENT if stream.is_begun else COUNTS_PER_PROMPT
        if not stream.is_begun:
            stream.is_begun = True
            framing = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
            stream.connection.send_head(200, stream.headers | framing)
        for chosen, weights in zip(stream.rank.counts, self._demand, strict=True):
            for expert in self.rng.choices(range(EXPERTS), weights, k=counts):
                chosen[expert] += 1
        number = stream.next_event
        stream.next_event += 1
        try:
            stream.connection.send_chunk(b"id: %d\ndata: %s\n\n" % (number, b"x" * 70))
            if number == stream.last_event:
                stream.connection.send_chunk(b"")
                self.record(f"request {stream.request_id} done at rank {stream.rank.number}")
                self._end(stream)
        except OSError:
            self._end(stream)

    def _end(self, stream: _Stream) -> None:
        if stream in stream.rank.active:
            stream.rank.active.remove(stream)
        stream.is_done.set()

    async def _handle(self, rank: Rank, connection: Connection, request: Request) -> None:
        rank.open_connections.add(connection)
        try:
            await self._dispatch(rank, connection, request)
        finally:
            rank.open_connections.discard(connection)

    async def _dispatch(self, rank: Rank, connection: Connection, request: Request) -> None:
        while self.is_cut(rank.number, connection):
            await asyncio.sleep(0.05)
        if request.target == "/order":
            return await self._order(rank, connection, json.loads(request.body))
        if request.target.startswith("/report"):
            return self._answer(connection, 200, self._report(rank))
        if request.target.startswith("/picked"):
            picked: dict[str, Any] = {"step": self.step, "epoch": self.epoch}
            if "lists" in request.target:
                picked["map"] = {"version": rank.version, "experts": rank.map}
                picked["prepared"] = {"version": rank.prepared, "experts": rank.prepared_map or []}
            else:
                picked["counts"] = [n for chosen in rank.counts for n in chosen]
            return self._answer(connection, 200, picked)
        await self._serve(rank, connection, request)

    async def _serve(self, rank: Rank, connection: Connection, request: Request) -> None:
        request_id = request.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id, "X-Weight-Versions": "1"}
        if request.headers.get("x-expect-instance", rank.server_id) != rank.server_id:
            return connection.send(421, headers, b"")
        load = f"{len(rank.active)},0,{SLOTS}"
        headers["X-Server-Load"] = load
        if len(rank.active) >= SLOTS:
            return connection.send(503, {**headers, "X-Not-Executed": "1"}, b"")
        first = int(request.headers.get("last-event-id", "0")) + 1
        last = int(request.headers["x-token-counts"].split(",")[1]) // STRIDE
        headers["X-Response-Seal"] = f"{rank.server_id}.{request_id}"
        stream = _Stream(rank, connection, request_id, headers, first, max(first, last))
        self.record(f"request {request_id} reaches rank {rank.number}")
        rank.active.append(stream)
        self._changed.set()
        watch = asyncio.create_task(connection.reader.read(1))
        done = asyncio.create_task(stream.is_done.wait())
        await asyncio.wait({watch, done}, return_when=asyncio.FIRST_COMPLETED)
        has_left = not stream.is_done.is_set()
        watch.cancel()
        done.cancel()
        await asyncio.gather(watch, done, return_exceptions=True)
        if has_left:
            connection.has_left.set()
            self._end(stream)
            raise ConnectionResetError

    async def _order(self, rank: Rank, connection: Connection, order: dict[str, Any]) -> None:
        delay_s = self.delay_order(rank.number, order)
        short = {k: v for k, v in order.items() if k != "map"}
        if delay_s:
            self.record(f"rank {rank.number} leaves {short} unanswered")
            task = asyncio.create_task(self._carry_out_late(rank, order, short, delay_s))
            self._late.add(task)
            await asyncio.sleep(delay_s)
            raise ConnectionResetError
        status = self._carry_out(rank, order)
        self.record(f"rank {rank.number} answers {short} with {status}")
        self._answer(connection, status, {})

    async def _carry_out_late(
        self, rank: Rank, order: dict[str, Any], short: dict[str, Any], delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        status = self._carry_out(rank, order)
        self.record(f"rank {rank.number} carries out late {short}: {status}")

    def _carry_out(self, rank: Rank, order: dict[str, Any]) -> int:
        status = self._apply(rank, order)
        if status == 202:
            rank.sequence += 1
        self._changed.set()
        return status

    def _apply(self, rank: Rank, order: dict[str, Any]) -> int:
        if order.get("epoch", self.epoch) != self.epoch:
            return 409
        now_s = asyncio.get_running_loop().time()
        step, version = order.get("step", 0), order.get("version", 0)
        match order["operation"]:
            case "prepare":
                if version <= rank.highest or rank.armed is not None:
                    return 409
                planned: Map = order["map"]
                own = [by_rank[rank.number] for by_rank in planned]
                new = [len(set(b) - set(a)) for a, b in zip(rank.map, own, strict=True)]
                if max(new) > SPARE:
                    return 409
                rank.prepared = rank.highest = version
                rank.prepared_map = own
                rank.ready_at_s = now_s + sum(new) * EXPERT_MB * 8 / LINK_MBPS
            case "arm":
                if rank.armed == (version, step):
                    return 200
                is_ready = rank.prepared == version and now_s >= rank.ready_at_s
                if not is_ready or self.step >= step or rank.armed is not None:
                    return 409
                rank.armed = (version, step)
            case "disarm":
                if rank.version == version:
                    return 409
                if rank.armed is None or rank.armed[0] != version:
                    return 200
                rank.armed = None
            case "hold":
                if rank.held == step:
                    return 200
                if self.step >= step or rank.held is not None:
                    return 409
                rank.held = step
            case "go":
                if rank.held != step:
                    return 409
                rank.held = None
            case _:
                return 400
        return 202

    def _report(self, rank: Rank) -> dict[str, Any]:
        """Return the state of a rank as it stood some hundred ms ago."""
        now_s = asyncio.get_running_loop().time()
        known = [r for at_s, r in rank.reports if at_s <= now_s - REPORT_LAG_S]
        return known[-1] if known else self._describe(rank)

    async def keep_reports(self) -> None:
        """Note the state of each rank for its reports; never returns."""
        while True:
            now_s = asyncio.get_running_loop().time()
            for rank in self.ranks:
                rank.reports = [*rank.reports[-8:], (now_s, self._describe(rank))]
            await asyncio.sleep(0.05)

    def _describe(self, rank: Rank) -> dict[str, Any]:
        now_s = asyncio.get_running_loop().time()
        report: dict[str, Any] = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": rank.sequence,
            "queued": 0,
            "active": len(rank.active),
            "kvUsed": 0,
            "kvTotal": 186_000,
            "handleCount": 0,
            "pace": 1.0,
            "group": {
                "name": "g",
                "epoch": self.epoch,
                "rank": rank.number,
                "state": self._state(),
            },
            "size": RANKS,
            "step": self.step,
            "map": rank.version,
        }
        if rank.prepared and now_s >= rank.ready_at_s:
            report["prepared"] = rank.prepared
        if rank.armed is not None:
            report["armed"] = {"version": rank.armed[0], "step": rank.armed[1]}
        if rank.held is not None:
            report["held"] = rank.held
        return report

    def _answer(self, connection: Connection, status: int, body: dict[str, Any]) -> None:
        connection.send(status, {"Content-Type": "application/json"}, json.dumps(body).encode())
