"""Check start, commands, metrics, logs and exit of the gateway as a separate process."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from standins.metadata import MetadataStandIn
from standins.platform import (
    HOST,
    KEY,
    GatewayProcess,
    listen,
    make_configuration,
    send_request,
    start_gateway,
    start_servers,
    wait_until_ready,
)
from standins.server import ResponseMode, ServerStandIn, make_event, make_stream_body

_MODULES_OF_LIBRARIES = {
    "cheroot": ("cheroot",),
    "fire": ("fire",),
    "hdrhistogram": ("hdrh",),
    "httptools": ("httptools",),
    "msgspec": ("msgspec",),
    "pyjson5": ("pyjson5",),
    "pynng": ("pynng",),
    "result": ("result",),
    "urllib3": ("urllib3",),
}
"""The project's dependencies, and the modules that each of them provides."""

Scenario = Callable[[GatewayProcess, MetadataStandIn, list[ServerStandIn]], Awaitable[None]]


def _run(directory: Path, scenario: Scenario) -> None:
    async def run() -> None:
        store = MetadataStandIn()
        store.put("op/config", make_configuration())
        address = await listen(store.handle)
        servers = await start_servers(store, ["s1", "s2"])
        async with start_gateway(address, "gw", directory) as gateway:
            await wait_until_ready(gateway)
            await scenario(gateway, store, servers)

    asyncio.run(asyncio.wait_for(run(), 60))


async def _run_command(*args: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "dalehollow", *args]
    return await asyncio.to_thread(subprocess.run, command, capture_output=True, text=True)


async def _await_log(gateway: GatewayProcess, text: str) -> str:
    while text not in (log := gateway.log_path.read_text()):
        await asyncio.sleep(0.01)
    return next(line for line in log.splitlines() if text in line)


def test_requests_metrics_dump_and_explain(tmp_path: Path) -> None:
    async def scenario(
        gateway: GatewayProcess, store: MetadataStandIn, servers: list[ServerStandIn]
    ) -> None:
        assert await send_request(gateway.http, "/stream/1", "r-stream") == (
            200,
            make_stream_body(),
        )
        for server in servers:
            server.next_modes = [ResponseMode.CUT_UNANSWERED]
        assert (await send_request(gateway.http, "/pay/1", "r-lost"))[0] == 502
        metrics = (await send_request(gateway.metrics, "/metrics", "r", "GET"))[1].decode()
        assert 'dalehollow_requests_total{outcome="answered",reason="200"} 1' in metrics
        assert "dalehollow_first_piece_ms_count" in metrics
        assert "dalehollow_config_version 1" in metrics
        state = json.loads((await _run_command("dump", f"http://{gateway.metrics}")).stdout)
        assert state["retry_budgets"]["desk"]["first_tries"] >= 1
        assert state["config_version"] == 1 and len(state["upstreams"]) == 2
        await _await_log(gateway, "request=r-lost route=pay")
        explained = await _run_command("explain", "r-lost", str(gateway.log_path))
        assert explained.returncode == 0, explained.stderr
        assert "event=attempt_failed" in explained.stdout
        assert "status 502" in explained.stdout.splitlines()[-1]
        unknown = await _run_command("explain", "r-none", str(gateway.log_path))
        assert unknown.returncode == 1

    _run(tmp_path, scenario)


def test_reload_logs_changed_fields_and_planned_stop_exits_cleanly(tmp_path: Path) -> None:
    async def scenario(
        gateway: GatewayProcess, store: MetadataStandIn, servers: list[ServerStandIn]
    ) -> None:
        checked = await _run_command("check-settings", str(gateway.settings_path))
        assert json.loads(checked.stdout)["stop_grace_ms"] == 8000
        settings = json.loads(gateway.settings_path.read_text())
        gateway.settings_path.write_text(json.dumps({**settings, "log_level": "debug"}))
        gateway.process.send_signal(signal.SIGHUP)
        assert "changed=log_level" in await _await_log(gateway, "event=reload")
        gateway.settings_path.write_text("{")
        gateway.process.send_signal(signal.SIGHUP)
        await _await_log(gateway, "event=reload_failed")
        assert (await send_request(gateway.http, "/status/1", "r-after"))[0] == 200
        assert "dalehollow/members/gw" in store.items
        assert await gateway.stop() == 0
        assert "dalehollow/members/gw" not in store.items
        assert "event=stopped" in gateway.log_path.read_text()

    _run(tmp_path, scenario)


def test_reload_and_start_accept_figures_with_a_fraction(tmp_path: Path) -> None:
    """Guards against gateways that keep old settings, or do not start, for such a figure."""

    async def scenario(
        gateway: GatewayProcess, store: MetadataStandIn, servers: list[ServerStandIn]
    ) -> None:
        settings = json.loads(gateway.settings_path.read_text())
        figures = {"stop_grace_s": 7.5, "retry_window_s": 10.5, "heartbeat_ms": 1200.5}
        gateway.settings_path.write_text(json.dumps({**settings, **figures}))
        gateway.process.send_signal(signal.SIGHUP)
        line = await _await_log(gateway, "event=reload")
        assert 'changed="stop_grace_ms,retry_window_ms,heartbeat_ms"' in line
        checked = await _run_command("check-settings", str(gateway.settings_path))
        assert json.loads(checked.stdout)["stop_grace_ms"] == 7500
        async with start_gateway(settings["store"], "gw-2", tmp_path, **figures) as started:
            await wait_until_ready(started)

    _run(tmp_path, scenario)


def test_killed_gateway_resets_the_stream_of_an_http_1_0_caller(tmp_path: Path) -> None:
    """Guards against a stream that ends with its connection and looks complete after a crash."""

    async def scenario(
        gateway: GatewayProcess, store: MetadataStandIn, servers: list[ServerStandIn]
    ) -> None:
        for server in servers:
            # The stream cannot end within the timeout of its route.
            server.response_delay_s = 1.0
        host, _, port = gateway.http.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"GET /stream/1 HTTP/1.0\r\nHost: {HOST}\r\nX-Request-Id: r1\r\nX-Key: {KEY}\r\n\r\n"
        writer.write(head.encode())
        assert make_event(1) in await reader.readuntil(make_event(1))
        gateway.process.kill()
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()

    _run(tmp_path, scenario)


def test_invalid_settings_are_reported_without_traceback(tmp_path: Path) -> None:
    path = tmp_path / "bad.json"
    path.write_text('{"role": "gateway", "name": "gw", "http": "nowhere"}')
    finished = asyncio.run(_run_command("run", str(path)))
    assert finished.returncode == 2
    assert "'http' is 'nowhere'" in finished.stderr and "'store' is missing" in finished.stderr
    assert "Traceback" not in finished.stderr


def test_a_gateway_needs_only_the_libraries_that_are_deployed_with_it() -> None:
    """Guards against a gateway that ends at its start where only those are installed."""
    requirements = Path(__file__).parent.parent / "deploy" / "requirements.txt"
    names = {line.partition("==")[0] for line in requirements.read_text().split()}
    deployed = {module for name in names for module in _MODULES_OF_LIBRARIES[name]}
    others = {m for modules in _MODULES_OF_LIBRARIES.values() for m in modules} - deployed
    program = "import sys, dalehollow.gateway.__main__; print(*sys.modules)"
    imported = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True, text=True
    ).stdout.split()
    assert others.isdisjoint(imported), others & set(imported)
