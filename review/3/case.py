"""Change a figure of the settings to a fraction, and restart the gateways in turn."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

from review.plain import PlainServer, make_config, make_headers
from review.platform import Machine, make_ips, make_machine
from review.store import Store
from review.web import call, serve

GATEWAYS = 3
GRACE_S: float = 8
CHANGED_GRACE_S: float = json.loads(os.environ.get("GRACE_S", "7.5"))
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SIGNALLED = 1
RESTART_PAUSE_S = 1.0
STARTS_WATCHED = 3


class Case:
    """Hold the stand-ins, the gateways and the record."""

    def __init__(self) -> None:
        """Create the stand-ins."""
        self.began_s = time.monotonic()
        self.lines: list[str] = []
        self.store = Store()
        self.servers = [PlainServer(f"i-{n:08x}", self.record) for n in range(1, 4)]
        self.machines: list[Machine] = []
        # Machines that the platform stops for good at the end of the case.
        self.is_over = False
        self.failed_starts: dict[str, int] = {}

    def record(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.began_s:8.3f} s  {text}")

    async def run(self) -> int:
        """Play the case; return the exit code."""
        _, store_address = await serve(self.store.handle)
        self.store.put("op/config", make_config())
        for server in self.servers:
            await server.start()
            self.store.put(f"servers/{server.server_id}", server.entry())
        leases = asyncio.create_task(self.store.run())
        with tempfile.TemporaryDirectory() as folder:
            ips = make_ips()
            for number in range(1, GATEWAYS + 1):
                machine = make_machine(
                    number, next(ips), "a", store_address, Path(folder), graceS=GRACE_S
                )
                self.machines.append(machine)
            try:
                await asyncio.gather(*(m.start() for m in self.machines))
                watches = [asyncio.create_task(self._keep_started(m)) for m in self.machines]
                code = await self._play()
                self.is_over = True
                for watch in watches:
                    watch.cancel()
                return code
            finally:
                await asyncio.gather(*(m.end() for m in self.machines))
                leases.cancel()

    async def _play(self) -> int:
        for _ in range(100):
            if all([await self._is_ready(m) for m in self.machines]):
                break
            await asyncio.sleep(0.1)
        else:
            self.record("the gateways don't get ready")
            return 2
        before = await self._ask(20)
        if HAS_TROUBLE:
            for number, machine in enumerate(self.machines):
                machine.fields["bounds"]["graceS"] = CHANGED_GRACE_S
                machine.write_settings()
                if number < SIGNALLED:
                    machine.send_signal(signal.SIGHUP)
            self.record(f"the settings change: graceS = {CHANGED_GRACE_S:g}; SIGHUP to some")
        await asyncio.sleep(2.0)
        between = await self._ask(20)
        for machine in self.machines:
            self.record(f"{machine.name} gets SIGTERM")
            process = machine.process
            assert process is not None
            machine.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), GRACE_S)
            except TimeoutError:
                machine.send_signal(signal.SIGKILL)
            await asyncio.sleep(RESTART_PAUSE_S + 2.0)
        await asyncio.sleep(STARTS_WATCHED * RESTART_PAUSE_S)
        after = await self._ask(20)
        self.record(f"served of 20: {before} at first, {between} after the change, {after} at last")
        self.record(f"starts that failed: {self.failed_starts}")
        if before < 20:
            return 2
        failing = [n for n, count in self.failed_starts.items() if count >= STARTS_WATCHED]
        return 1 if len(failing) >= 2 else 0

    async def _keep_started(self, machine: Machine) -> None:
        """Start a process again after a short delay whenever it has ended, as the platform does."""
        while not self.is_over:
            assert machine.process is not None
            code = await machine.process.wait()
            is_ready = await self._is_ready(machine)
            self.record(f"the process of {machine.name} has ended with {code}")
            if code and not is_ready:
                self.failed_starts[machine.name] = self.failed_starts.get(machine.name, 0) + 1
                log = (machine.folder / f"{machine.name}.log").read_text().splitlines()
                self.record(f"its last line: {log[-1] if log else ''}")
            await asyncio.sleep(RESTART_PAUSE_S)
            await machine.start()
            self.record(f"{machine.name} is started")

    async def _is_ready(self, machine: Machine) -> bool:
        return (await call(machine.ready, "GET", "/ready", {}, timeout_s=1.0)).status == 200

    async def _ask(self, count: int) -> int:
        """Send safe requests to the gateways in turn; return how many are served at last."""
        served = 0
        for number in range(count):
            for attempt in range(GATEWAYS):
                machine = self.machines[(number + attempt) % GATEWAYS]
                request_id = f"{len(self.lines):08x}{number:04x}{attempt:04x}"
                headers = make_headers(request_id)
                answer = await call(machine.front, "GET", "/status/1", headers, timeout_s=1.5)
                self.record(f"request {request_id} to {machine.name}: {answer.status} {answer.end}")
                if answer.status == 200 and answer.end == "whole":
                    served += 1
                    break
            await asyncio.sleep(0.05)
        return served


async def _main() -> int:
    case = Case()
    code = 2
    try:
        async with asyncio.timeout(100):
            code = await case.run()
    except Exception as exc:
        case.record(f"the case could not run: {exc!r}")
    finally:
        case.record(f"exit {code}")
        record_path = os.environ.get("RECORD") or Path(__file__).parent / "record.txt"
        Path(record_path).write_text("\n".join(case.lines) + "\n")
    return code


if __name__ == "__main__":
    sys.exit(asyncio.run(_main()))
