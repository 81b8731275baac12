"""Send requests of every kind to the gateways and record the responses."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from dalehollow.aio import ClientConnection, ConnectError, ResponseError, connect
from soak.promises import OK, RequestRecord
from soak.world import API_KEY, ROUTE_HOST, Cluster, Gateway
from standins.server import make_prompt_header

REQUEST_KINDS = ("read", "pay", "stream", "version")
KEPT_KINDS = ("read", "pay", "stream")
REQUEST_TIMEOUT_S = 4.0
CONNECT_TIMEOUT_S = 1.0
REQUESTS_PER_CONNECTION = 6
REQUEST_PAUSE_S = 0.03
SHARED_PART = "5c1e07a2"
ACCOUNT_PARTS = ("a0", "a1", "a2")
REQUESTS_PER_CONVERSATION = 3


@dataclass
class LoadGenerator:
    """Concurrent clients that send a random mix of requests."""

    cluster: Cluster
    id_prefix: str = "r"
    body: bytes = b""
    # A prompt part of each request that crashes servers.
    crashing_part: str = ""
    _kept: list[asyncio.Task[None]] = field(default_factory=list)
    _ids: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    async def run(self, stop_event: asyncio.Event) -> None:
        """Send requests in sequence until `stop_event` is set."""
        while not stop_event.is_set():
            gateway = self.cluster.rng.choice(list(self.cluster.gateways.values()))
            if gateway.process is None:
                await asyncio.sleep(REQUEST_PAUSE_S)
                continue
            await self._use_connection(gateway, stop_event)

    async def _use_connection(self, gateway: Gateway, stop_event: asyncio.Event) -> None:
        assert gateway.process is not None
        generation = gateway.generation
        try:
            connection = await connect(gateway.process.http, CONNECT_TIMEOUT_S)
        except ConnectError:
            await asyncio.sleep(REQUEST_PAUSE_S)
            return
        try:
            for number in range(REQUESTS_PER_CONNECTION):
                record = await self._send_request(
                    connection, gateway.name, generation, is_reused=number > 0
                )
                self.cluster.history.requests.append(record)
                if not record.is_complete or stop_event.is_set():
                    return
                await asyncio.sleep(REQUEST_PAUSE_S)
        finally:
            connection.abort()

    async def send_once(self, gateway: Gateway, kind: str) -> RequestRecord:
        """Send one request on a new connection."""
        assert gateway.process is not None
        connection = await connect(gateway.process.http, CONNECT_TIMEOUT_S)
        try:
            return await self._send_request(connection, gateway.name, gateway.generation, kind=kind)
        finally:
            connection.abort()

    async def send_and_keep_open(
        self, gateway: Gateway, stop_event: asyncio.Event
    ) -> RequestRecord | None:
        """Send one request on a new connection, which stays open until `stop_event` is set."""
        if gateway.process is None:
            return None
        try:
            connection = await connect(gateway.process.http, CONNECT_TIMEOUT_S)
        except ConnectError:
            return None
        record = await self._send_request(
            connection, gateway.name, gateway.generation, kind=self.cluster.rng.choice(KEPT_KINDS)
        )
        self._kept.append(asyncio.ensure_future(_keep_open(connection, stop_event)))
        return record

    async def _send_request(
        self,
        connection: ClientConnection,
        gateway: str,
        generation: int,
        *,
        kind: str = "",
        is_reused: bool = False,
    ) -> RequestRecord:
        kind = kind or self.cluster.rng.choice(REQUEST_KINDS)
        request_id = f"{self.id_prefix}{next(self._ids)}"
        version = self._choose_version() if kind == "version" else 0
        path = f"/version-{version}/x" if kind == "version" else f"/{kind}/x"
        prompt = make_prompt_header(self._choose_parts(request_id))
        sent_at_s = self.cluster.now_s()
        status, body, response_id, is_complete = 0, [], b"", False
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S + 1):
                connection.send([_make_request(path, request_id, prompt, self.body)])
                head = await connection.read_head()
                status, response_id = head.status, head.get(b"x-request-id") or b""
                while (piece := await connection.read_piece()) is not None:
                    body.append(piece)
                is_complete = True
        except (ResponseError, TimeoutError):
            # The partial response is recorded and checked after the run.
            pass
        return RequestRecord(
            request_id=request_id,
            kind=kind,
            gateway=gateway,
            generation=generation,
            sent_at_s=sent_at_s,
            ended_at_s=self.cluster.now_s(),
            status=status,
            is_complete=is_complete,
            body=b"".join(body),
            response_id=response_id.decode(),
            version=version,
            is_reused_connection=is_reused,
        )

    def _choose_parts(self, request_id: str) -> list[str]:
        """Return the parts of a prompt: of all, of an account, of a conversation, and its own."""
        number = int(request_id.rpartition("r")[2].rpartition("-")[2])
        account = self.cluster.rng.choice(ACCOUNT_PARTS)
        conversation = f"c{number // REQUESTS_PER_CONVERSATION:06x}"
        crashing = [self.crashing_part] if self.crashing_part else [conversation]
        return [SHARED_PART, account, *crashing, f"{number:08x}"]

    def _choose_version(self) -> int:
        """Choose one of the three newest configuration versions."""
        versions = list(self.cluster.history.applied_at_s)
        return self.cluster.rng.choice(versions[-3:])


async def _keep_open(connection: ClientConnection, stop_event: asyncio.Event) -> None:
    await stop_event.wait()
    connection.abort()


def count_served(requests: list[RequestRecord]) -> int:
    """Return the number of requests with a complete successful response."""
    return sum(request.status == OK and request.is_complete for request in requests)


def _make_request(path: str, request_id: str, prompt: str, body: bytes) -> bytes:
    deadline_ms = round(REQUEST_TIMEOUT_S * 1000)
    return (
        f"POST {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\nX-Key: {API_KEY}\r\nX-Prompt-Prefix: {prompt}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body
