"""Start gateways with the command and the template of the deploy file, as the platform does."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shlex
import signal
import socket
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
_DEPLOY = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
_GAP = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def fill_template(text: str, fields: dict[str, Any]) -> str:
    """Fill the gaps `{{a.b}}` and `{{a.b|json}}` of a template."""

    def fill(match: re.Match[str]) -> str:
        value: Any = fields
        for name in match[1].split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return json.dumps(value) if match[2] else str(value)

    return _GAP.sub(fill, text)


def find_free_ports(ip: str, count: int) -> list[int]:
    """Return free TCP ports of an address."""
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def make_ips() -> Iterator[str]:
    """Yield loopback addresses, one for each machine; the network is drawn anew for each run."""
    network = f"127.{random.randint(16, 240)}.{random.randint(1, 250)}"
    return (f"{network}.{host}" for host in range(11, 250))


@dataclass
class Machine:
    """Hold an edge machine: its settings and its process."""

    fields: dict[str, Any]
    folder: Path
    process: asyncio.subprocess.Process | None = None
    exits: list[int] = field(default_factory=list)

    @property
    def name(self) -> str:
        """Return the name of the machine."""
        return str(self.fields["nodeName"])

    @property
    def front(self) -> str:
        """Return the address for clients."""
        return str(self.fields["listen"]["front"])

    @property
    def ready(self) -> str:
        """Return the address for the balancer's checks."""
        return str(self.fields["listen"]["ready"])

    def write_settings(self) -> Path:
        """Place the filled template where the settings file lies."""
        path = self.folder / f"{self.name}.json5"
        path.write_text(fill_template((ROOT / _DEPLOY["template"]).read_text(), self.fields))
        return path

    async def start(self) -> None:
        """Start the process with the settings then current."""
        path = self.write_settings()
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(_DEPLOY["run"]),
                cwd=ROOT,
                env={**kept, "DALEHOLLOW_BOOT": str(path), "PYTHONPATH": "target/deps"},
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: int = signal.SIGKILL) -> None:
        """End the process with a signal, with SIGKILL after ten seconds."""
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), 10)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


def make_machine(
    number: int, ip: str, zone: str, store: str, folder: Path, **bounds: object
) -> Machine:
    """Return an edge machine with settings like those of a small deployment."""
    front, ready, control, inner = find_free_ports(ip, 4)
    fields = {
        "nodeName": f"edge-{zone}-{number}",
        "role": "gateway",
        "machineClass": "edge",
        "serves": ["edge"],
        "ip": ip,
        "zone": zone,
        "region": "lk-west",
        "internalPorts": [inner, inner + 15],
        "seeds": [],
        "bootstrap": True,
        "heartbeatMs": 1200,
        "listen": {
            "front": f"{ip}:{front}",
            "ready": f"{ip}:{ready}",
            "control": f"{ip}:{control}",
        },
        "limits": {"maxFds": 4200, "linkMbps": 1000.0, "memoryMb": 300, "cores": 2},
        "bounds": {
            "drainMs": 2000,
            "graceS": 8,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "budgetExtra": 90,
            **bounds,
        },
        "platform": {"address": store, "form": "kv", "ttlMinMs": 1000},
    }
    return Machine(fields, folder)
