"""Send requests of every kind to the gateways and keep what came back."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from dalehollow.aio import ClientConnection, ConnectError, ResponseError, connect
from soak.promises import OK, Asked
from soak.world import HOST, KEY, Gateway, World

KINDS = ("read", "pay", "stream", "version")
CALLER_WAITS_S = 4.0
CONNECT_TIMEOUT_S = 1.0
KEPT_REQUESTS = 6
"""A caller sends so many requests on a connection before it opens another."""
PAUSE_S = 0.03


@dataclass
class Callers:
    """Hold the running callers."""

    world: World
    prefix: str = "r"
    body: bytes = b""
    _ids: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    async def run(self, stopping: asyncio.Event) -> None:
        """Send requests one after the other until told to stop."""
        while not stopping.is_set():
            gateway = self.world.rng.choice(list(self.world.gateways.values()))
            if gateway.process is None:
                await asyncio.sleep(PAUSE_S)
                continue
            await self._use_connection(gateway, stopping)

    async def _use_connection(self, gateway: Gateway, stopping: asyncio.Event) -> None:
        assert gateway.process is not None
        life = gateway.life
        try:
            connection = await connect(gateway.process.http, CONNECT_TIMEOUT_S)
        except ConnectError:
            await asyncio.sleep(PAUSE_S)
            return
        try:
            for number in range(KEPT_REQUESTS):
                asked = await self._ask(connection, gateway.name, life, is_kept=number > 0)
                self.world.ledger.asked.append(asked)
                if not asked.is_whole or stopping.is_set():
                    return
                await asyncio.sleep(PAUSE_S)
        finally:
            connection.abort()

    async def ask_once(self, gateway: Gateway, kind: str) -> Asked:
        """Send one request on a connection of its own."""
        assert gateway.process is not None
        connection = await connect(gateway.process.http, CONNECT_TIMEOUT_S)
        try:
            return await self._ask(connection, gateway.name, gateway.life, kind=kind)
        finally:
            connection.abort()

    async def _ask(
        self,
        connection: ClientConnection,
        gateway: str,
        life: int,
        *,
        kind: str = "",
        is_kept: bool = False,
    ) -> Asked:
        kind = kind or self.world.rng.choice(KINDS)
        request_id = f"{self.prefix}{next(self._ids)}"
        version = self._choose_version() if kind == "version" else 0
        path = f"/version-{version}/x" if kind == "version" else f"/{kind}/x"
        sent_at_s = self.world.now_s()
        status, body, answered_id, is_whole = 0, [], b"", False
        try:
            async with asyncio.timeout(CALLER_WAITS_S + 1):
                connection.send([_make_request(path, request_id, self.body)])
                head = await connection.read_head()
                status, answered_id = head.status, head.get(b"x-request-id") or b""
                while (piece := await connection.read_piece()) is not None:
                    body.append(piece)
                is_whole = True
        except (ResponseError, TimeoutError):
            # What came so far says how it ended; the ledger judges it.
            pass
        return Asked(
            request_id=request_id,
            kind=kind,
            gateway=gateway,
            life=life,
            sent_at_s=sent_at_s,
            ended_at_s=self.world.now_s(),
            status=status,
            is_whole=is_whole,
            body=b"".join(body),
            answered_id=answered_id.decode(),
            version=version,
            is_kept_connection=is_kept,
        )

    def _choose_version(self) -> int:
        """Ask for the newest version or one of the last few before it."""
        versions = list(self.world.ledger.applied_at_s)
        return self.world.rng.choice(versions[-3:])


def count_served(asked: list[Asked]) -> int:
    """Return how many requests had a whole answer of a server."""
    return sum(a.status == OK and a.is_whole for a in asked)


def _make_request(path: str, request_id: str, body: bytes) -> bytes:
    left_ms = round(CALLER_WAITS_S * 1000)
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {left_ms}\r\nX-Key: {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body
