"""Start and stop the processes of a hall on loopback, for examples, tests and benchmarks."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

STOP_TIMEOUT_S = 20


@dataclass
class RunningProcess:
    """Hold a started process and the addresses it printed at its start."""

    name: str
    popen: subprocess.Popen[str]
    addresses: Mapping[str, str]

    @property
    def http(self) -> str:
        return self.addresses["http"]

    @property
    def control(self) -> str:
        return self.addresses["control"]

    def send_signal(self, number: int) -> None:
        self.popen.send_signal(number)

    def kill(self) -> None:
        self.popen.kill()
        self.popen.wait()

    def stop(self) -> int:
        """Stop the process gracefully and return its exit code."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


@dataclass
class Launcher:
    """Start processes, and stop all of them when the context exits."""

    log_path: str | None = None
    running: list[RunningProcess] = field(default_factory=list)
    _directory: tempfile.TemporaryDirectory[str] = field(
        default_factory=tempfile.TemporaryDirectory
    )

    def __enter__(self) -> Launcher:
        return self

    def __exit__(self, *exc: object) -> None:
        for process in self.running:
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.terminate()
        for process in self.running:
            process.stop()
        self._directory.cleanup()

    def start_standin(self, name: str, module: str, **flags: object) -> RunningProcess:
        args = [f"--{k}={v}" for k, v in flags.items()]
        return self._start(name, [sys.executable, "-m", f"standins.{module}", *args])

    def start_process(self, **settings: Any) -> RunningProcess:
        path = Path(self._directory.name) / f"{settings['name']}.json"
        path.write_text(json.dumps(settings))
        return self._start(settings["name"], [sys.executable, "-m", "dalehollow", "run", str(path)])

    def _start(self, name: str, command: list[str]) -> RunningProcess:
        with open(self.log_path or "/dev/null", "a") as log:
            popen = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log, text=True)
        assert popen.stdout is not None
        # Other log lines can precede the ready event on standard output.
        line = next((line for line in popen.stdout if line.startswith("event=ready")), "")
        if not line:
            popen.wait()
            raise RuntimeError(f"process {name!r} exited before it was ready")
        pairs = dict(pair.split("=", 1) for pair in line.split())
        running = RunningProcess(name, popen, pairs)
        self.running.append(running)
        return running
