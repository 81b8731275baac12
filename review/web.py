"""Serve HTTP/1.1 on loopback with the standard library, for the stand-ins of the review."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class Request:
    """Hold one request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(eq=False)
class Connection:
    """Hold one connection of a caller."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    has_left: asyncio.Event = field(default_factory=asyncio.Event)

    def send(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a complete answer."""
        self.send_head(status, {**headers, "Content-Length": str(len(body))})
        self.writer.write(body)

    def send_head(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of an answer."""
        lines = [f"HTTP/1.1 {status} Any", *(f"{k}: {v}" for k, v in headers.items()), "", ""]
        self.writer.write("\r\n".join(lines).encode())

    def send_chunk(self, data: bytes) -> None:
        """Send one chunk of a body; an empty one ends it."""
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))


Handler = Callable[[Connection, Request], Awaitable[None]]


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with a length or without a body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


async def serve(
    handler: Handler, host: str = "127.0.0.1", port: int = 0
) -> tuple[asyncio.Server, str]:
    """Serve on a port, by default a free one; return the server and its address."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        try:
            while True:
                await handler(connection, await read_request(reader))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            connection.has_left.set()
            writer.close()

    server = await asyncio.start_server(run, host, port, backlog=500)
    return server, f"{host}:{server.sockets[0].getsockname()[1]}"


@dataclass
class Answer:
    """Hold what a client saw of an answer; `end` tells how it ended."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    end: str = "no answer"


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float = 8.0,
    gap_s: float = 8.0,
) -> Answer:
    """Send one request on a new connection; give up after a gap or the time-out."""
    answer = Answer()
    writer = None
    host, _, port = address.rpartition(":")
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    lines += [f"Content-Length: {len(body)}", "", ""]
    try:
        async with asyncio.timeout(timeout_s):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + body)
            head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), gap_s)).decode("latin-1")
            first, *rest = head.rstrip("\r\n").split("\r\n")
            answer.status = int(first.split(" ")[1])
            pairs = (line.partition(":") for line in rest)
            answer.headers = {k.lower(): v.strip() for k, _, v in pairs}
            answer.end = "cut"
            if "chunked" not in answer.headers.get("transfer-encoding", ""):
                length = int(answer.headers.get("content-length", "0"))
                answer.body = await reader.readexactly(length)
                answer.end = "whole"
                return answer
            while size := int(await asyncio.wait_for(reader.readuntil(b"\r\n"), gap_s), 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
            answer.end = "whole"
    except TimeoutError:
        answer.end = "given up"
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer
