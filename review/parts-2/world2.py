"""Small stand-ins for the scripts of the second review: store, gateways as processes, records."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

Headers = dict[str, str]
Answer = tuple[int, Any]


class Record:
    """Write what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        """Begin an empty record."""
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._began_s:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    """Return the first line and the headers of a message, None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return a body with a length or in chunks."""
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    return body


class Store:
    """Simulate the platform's store as PROTOCOL.md describes it."""

    def __init__(self) -> None:
        """Begin without items."""
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.address = ""
        self._events: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, value: Any, lease: int = 0) -> None:
        """Write an item on behalf of the operator, a server or a gateway."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision),
            "lease": lease,
        }
        self.items[key] = item
        self._notify(item)

    def delete(self, key: str) -> None:
        """Delete an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._notify({"key": key, "revision": self.revision, "deleted": True})

    async def serve(self) -> None:
        """Listen on a free port, and let leases run out."""
        self.address = await listen(self._handle)
        self._task = asyncio.create_task(self._expire())

    def _notify(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease in [n for n, (_, until_s) in self._leases.items() if until_s < now_s]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (head := await read_head(reader)) is not None:
            method, target, _ = head[0].split(" ")
            body = await read_body(reader, head[1])
            status, answer = await self._answer(method, target, json.loads(body or b"{}"))
            data = json.dumps(answer).encode()
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode()
                + data
            )

    async def _answer(self, method: str, target: str, body: dict[str, Any]) -> Answer:
        from urllib.parse import parse_qs, urlsplit

        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        path = parts.path
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "timestamp": self.revision}) if item else (404, {})
        if path == "/kv-range":
            after = query.get("afterRevision", "")
            keys = [k for k in self.items if k.startswith(query["pathPrefix"]) and k > after]
            items = [self.items[k] for k in sorted(keys)]
            return 200, {"items": items, "timestamp": self.revision, "hasMore": False}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._write(body)
        if path == "/kv-lease":
            lease = len(self._leases) + random.randrange(1, 1 << 30)
            ttl_s = body["ttlMs"] / 1000
            self._leases[lease] = ttl_s, time.monotonic() + ttl_s
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl_s = self._leases[lease][0]
            self._leases[lease] = ttl_s, time.monotonic() + ttl_s
        elif method == "DELETE":
            self._end_lease(lease)
        return 200, {}

    async def _watch(self, query: dict[str, str]) -> Answer:
        after, until_s = int(query["afterRevision"]), time.monotonic()
        until_s += int(query["waitMs"]) / 1000
        while True:
            changed = self._changed
            events = [
                e
                for e in self._events
                if e["revision"] > after and e["key"].startswith(query["pathPrefix"])
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "timestamp": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _write(self, body: dict[str, Any]) -> Answer:
        expected = body.get("expectedRevision", [])
        for row in expected:
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                rows = [self.items[r["key"]] for r in expected if r["key"] in self.items]
                return 412, {"items": rows}
        written = body.get("setKeys", [])
        if any(row["lease"] and row["lease"] not in self._leases for row in written):
            return 404, {}
        for row in written:
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        for key in body.get("delete", []):
            self.delete(key)
        return 200, {"revision": self.revision}


Handle = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def listen(handle: Handle, address: str = "127.0.0.1:0", **options: Any) -> str:
    """Serve connections on a loopback address; errors of a connection end only that one."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(run, host, int(port), **options)
    _SERVERS.append(server)
    return "{}:{}".format(*server.sockets[0].getsockname()[:2])


_SERVERS: list[asyncio.Server] = []


def find_ip(used: set[str]) -> str:
    """Return a loopback address of its own for a machine, on which the fixed port is free."""
    while True:
        ip = f"127.{random.randrange(16, 240)}.{random.randrange(250)}.{random.randrange(1, 250)}"
        if ip in used:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((ip, 9464))
            except OSError:
                continue
        used.add(ip)
        return ip


def find_port(ip: str) -> int:
    """Return a free port of an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


def fill_template(text: str, fields: dict[str, Any]) -> str:
    """Fill a settings template as DEPLOY.md describes it; sections are all given here."""

    def find(match: re.Match[str]) -> str:
        name, _, form = match[1].partition("|")
        value: Any = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)

    text = re.sub(r"\{\{[#/].*?\}\}", "", text)
    return re.sub(r"\{\{(.*?)\}\}", find, text)


class Gateway:
    """Run one process of the deploy file's role with settings of its own."""

    def __init__(self, name: str, zone: str, store: str, ip: str, folder: Path) -> None:
        """Write the settings file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        self._command = deploy["run"].split()
        self.name, self.ip = name, ip
        self.front, self.ready = f"{ip}:{find_port(ip)}", f"{ip}:{find_port(ip)}"
        fields = {
            "nodeName": name,
            "zone": zone,
            "ip": ip,
            "listen": {"front": self.front, "ready": self.ready},
            "internalPorts": [find_port(ip), 0],
            "platform": {"address": store},
            "limits": {"maxFds": 4200, "linkMbps": 1000.0},
            "heartbeatMs": 1200,
            "bounds": {
                "graceS": 8,
                "budgetWindowS": 10,
                "retryBudgetRatio": 0.2,
                "budgetExtra": 90,
            },
        }
        template = (ROOT / deploy["template"]).read_text()
        self._settings = folder / f"{name}.json5"
        self._settings.write_text(fill_template(template, fields))
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process as the platform does: at the root, with few variables."""
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["DALEHOLLOW_BOOT"] = str(self._settings)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Return whether the platform's check gets a 200."""
        try:
            status, _, _ = await call(self.ready, "GET", "/ready", {}, timeout_s=1.0)
        except (OSError, EOFError, TimeoutError):
            return False
        return status == 200

    async def wait_ready(self) -> None:
        """Wait until the process takes requests; at most 15 s."""
        for _ in range(300):
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} did not become ready: {self.log.read_text()[-2000:]}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def call(
    address: str,
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> tuple[int, Headers, bytes]:
    """Send one request on a new connection and return the whole answer."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(make_head(method, path, headers, len(body)) + body)
            head = await read_head(reader)
            if head is None:
                raise EOFError("closed before the head of an answer")
            return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
        finally:
            writer.close()


def make_head(method: str, path: str, headers: Headers, length: int) -> bytes:
    """Return the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    if length or method != "GET":
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode()


async def run_world(folder: Path, case: Callable[[Record, Path], Awaitable[int]]) -> int:
    """Run a case within 110 s; return its exit code, `NOT_RUN` if it could not run."""
    record = Record(folder)
    with tempfile.TemporaryDirectory() as directory:
        try:
            async with asyncio.timeout(110):
                return await case(record, Path(directory))
        except Exception as exc:
            record.add(f"the case could not run: {type(exc).__name__}: {exc}")
            return NOT_RUN


def main(folder: Path, case: Callable[[Record, Path], Awaitable[int]]) -> None:
    """Run a case and exit with its code."""
    sys.exit(asyncio.run(run_world(folder, case)))
