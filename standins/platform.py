"""Run gateway processes on loopback, in front of a simulated store and simulated servers.

python -m standins.platform run      send requests of every kind, print the responses, and stop
"""

from __future__ import annotations

import asyncio
import json
import resource
import sys
import tempfile
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import fire
import msgspec

from dalehollow.aio import CallerConnection, Connections, Handler, Limits, connect
from standins.metadata import MetadataStandIn
from standins.server import ServerStandIn

HOST = "floor.example"
KEY = "key-of-ana"
_TIMEOUT_S = 20.0
_LIMITS = Limits(65_536, 65_536, 10.0, 60.0)


@dataclass
class GatewayProcess:
    """Hold a started gateway process and the addresses it logged at its start."""

    process: asyncio.subprocess.Process
    settings_path: Path
    log_path: Path
    http: str
    ready: str
    metrics: str

    async def stop(self) -> int:
        """Stop the gateway gracefully and return its exit code."""
        if self.process.returncode is None:
            self.process.terminate()
        return await self.process.wait()


async def listen(handler: Handler) -> str:
    """Serve on a free loopback port and return the address."""
    open_connections = Connections[CallerConnection]()
    server = await asyncio.get_running_loop().create_server(
        lambda: CallerConnection(handler, lambda: _LIMITS, open_connections), "127.0.0.1", 0
    )
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def make_configuration(version: int = 1) -> bytes:
    """Return a configuration with a safe, an unsafe and a streaming route."""
    route = {"host": HOST, "service": "desk", "timeoutMs": 5000, "targetLatencyMs": 400}
    return msgspec.json.encode(
        {
            "version": version,
            "routes": [
                {**route, "name": "status", "pathPrefix": "/status/", "kind": "safe"},
                {**route, "name": "pay", "pathPrefix": "/pay/", "kind": "unsafe"},
                {
                    **route,
                    "name": "talk",
                    "pathPrefix": "/stream/",
                    "kind": "streaming",
                    "resumable": True,
                },
            ],
            "services": [{"name": "desk", "maxConnections": 50}],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 65536,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "ana", "apiKeys": [KEY], "priority": 1}],
        }
    )


async def start_servers(store: MetadataStandIn, incarnations: Sequence[str]) -> list[ServerStandIn]:
    """Start servers and register them in the store."""
    servers = []
    for incarnation in incarnations:
        server = ServerStandIn(incarnation)
        entry = {
            "service": "desk",
            "address": await listen(server.handle),
            "zone": "hall",
            "slots": 4,
            "state": "ready",
        }
        store.put(f"servers/{incarnation}", msgspec.json.encode(entry))
        servers.append(server)
    return servers


async def launch_gateway(
    store_address: str,
    name: str,
    directory: Path,
    program: Sequence[str] = ("-m", "dalehollow", "run"),
    *,
    descriptor_limit: int = 0,
    **changes: object,
) -> GatewayProcess:
    """Start a gateway and wait until it listens; its log is appended to an existing one."""
    settings = {
        "role": "gateway",
        "name": name,
        "hall": "hall",
        "http": "127.0.0.1:0",
        "ready": "127.0.0.1:0",
        "peer": "127.0.0.1:0",
        "store": store_address,
        **changes,
    }
    path, log_path = directory / f"{name}.json", directory / f"{name}.log"
    path.write_text(json.dumps(settings))
    with log_path.open("ab") as log:
        log_offset_bytes = log.tell()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *program,
            str(path),
            stdout=log,
            stderr=log,
            preexec_fn=_make_limiter(descriptor_limit) if descriptor_limit else None,
        )
    started = await _wait_for_log_line(log_path, log_offset_bytes, "event=started", process)
    pairs = dict(word.split("=", 1) for word in started.split() if "=" in word)
    return GatewayProcess(process, path, log_path, pairs["http"], pairs["ready"], pairs["metrics"])


def _make_limiter(descriptor_limit: int) -> Callable[[], None]:
    limits = (descriptor_limit, descriptor_limit)
    return lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits)


@asynccontextmanager
async def start_gateway(
    store_address: str, name: str, directory: Path, **changes: object
) -> AsyncIterator[GatewayProcess]:
    """Start a gateway and wait until it listens; kill it when the context exits."""
    gateway = await launch_gateway(store_address, name, directory, **changes)  # type: ignore[arg-type]
    try:
        yield gateway
    finally:
        if gateway.process.returncode is None:
            gateway.process.kill()
            await gateway.process.wait()


async def _wait_for_log_line(
    path: Path, log_offset_bytes: int, text: str, process: asyncio.subprocess.Process
) -> str:
    while True:
        for line in path.read_bytes()[log_offset_bytes:].decode().splitlines():
            if text in line:
                return line
        if process.returncode is not None:
            raise RuntimeError(f"gateway process exited before it listened: {path.read_text()}")
        await asyncio.sleep(0.01)


async def send_request(
    address: str, path: str, request_id: str, method: str = "POST"
) -> tuple[int, bytes]:
    """Send one request and return the status and body of the response."""
    connection = await connect(address, _TIMEOUT_S)
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: 5000\r\nX-Key: {KEY}\r\nContent-Length: 0\r\n\r\n"
    )
    try:
        connection.send([head.encode()])
        answer = await connection.read_head()
        return answer.status, await connection.read_body()
    finally:
        connection.abort()


async def wait_until_ready(gateway: GatewayProcess) -> None:
    """Wait until the readiness endpoint of a gateway returns 200."""
    while (await send_request(gateway.ready, "/ready", "r", "GET"))[0] != 200:
        await asyncio.sleep(0.01)


async def _run() -> None:
    store = MetadataStandIn()
    store.put("op/config", make_configuration())
    store_address = await listen(store.handle)
    servers = await start_servers(store, ["server-1", "server-2", "server-3"])
    with tempfile.TemporaryDirectory() as directory:
        async with (
            start_gateway(store_address, "gateway-1", Path(directory)) as first,
            start_gateway(store_address, "gateway-2", Path(directory)) as second,
        ):
            for gateway in (first, second):
                await wait_until_ready(gateway)
            for number, path in enumerate(("/status/a", "/pay/b", "/stream/c", "/nowhere") * 2):
                gateway = (first, second)[number % 2]
                status, body = await send_request(gateway.http, path, f"demo-{number}")
                print(f"gateway={gateway.http} path={path} status={status} bytes={len(body)}")
            codes = [await gateway.stop() for gateway in (first, second)]
            print(f"runs={sum(len(s.runs) for s in servers)} exit_codes={codes}")


def run() -> None:
    """Send requests of every kind through two gateways, print the responses, and stop."""
    asyncio.run(asyncio.wait_for(_run(), _TIMEOUT_S * 3))


if __name__ == "__main__":
    fire.Fire({"run": run})
