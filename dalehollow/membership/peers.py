"""Send heartbeats to each peer from a thread of its own."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from result import Ok, Result

from dalehollow.protocol import Heartbeat, Reply
from dalehollow.protocol.link import PeerLink

HEARTBEAT_EXCHANGE_BYTES = 275
"""Size of a heartbeat and its reply with all headers, per `python -m benchmarks slopes`."""
_MS_PER_S = 1000


def compute_heartbeat_interval_ms(peers: int, wanted_ms: int, bytes_per_s: int) -> int:
    """Return the heartbeat interval that keeps all peers within a bandwidth budget."""
    return max(wanted_ms, round(peers * HEARTBEAT_EXCHANGE_BYTES / bytes_per_s * _MS_PER_S))


@dataclass
class _Task:
    address: str
    stopping: threading.Event
    thread: threading.Thread


class PeerHeartbeats:
    """Run one heartbeat thread per peer, keyed by upstream name or address."""

    def __init__(
        self,
        make_heartbeat: Callable[[], Heartbeat],
        on_reply: Callable[[str, Result[Reply, str]], None],
        interval_ms: int,
        bytes_per_s: int,
    ) -> None:
        """Start without peers; `on_reply` receives the peer's name and the reply or error.

        Heartbeats are sent every `interval_ms`, or less often if they would exceed `bytes_per_s`.
        """
        self._make_beat = make_heartbeat
        self._on_reply = on_reply
        self._timeout_ms = interval_ms
        self._interval_ms = interval_ms
        self._bytes_per_s = bytes_per_s
        self._tasks: dict[str, _Task] = {}
        self._lock = threading.Lock()

    def update_peers(self, wanted: Mapping[str, str]) -> None:
        """Start and stop tasks to match the wanted peers, addresses by name."""
        with self._lock:
            for name, task in list(self._tasks.items()):
                if wanted.get(name) != task.address:
                    task.stopping.set()
                    del self._tasks[name]
            self._interval_ms = compute_heartbeat_interval_ms(
                len(wanted), self._timeout_ms, self._bytes_per_s
            )
            for name, address in wanted.items():
                if name not in self._tasks:
                    self._tasks[name] = self._start(name, address)

    def stop(self) -> None:
        """Signal all tasks to stop."""
        self.update_peers({})

    def _start(self, name: str, address: str) -> _Task:
        stopping = threading.Event()
        thread = threading.Thread(
            target=self._run, args=(name, address, stopping), name=f"peer-{name}", daemon=True
        )
        thread.start()
        return _Task(address, stopping, thread)

    def _run(self, name: str, address: str, stopping: threading.Event) -> None:
        link = PeerLink(address)
        while not stopping.is_set():
            asked = link.ask(self._make_beat(), timeout_ms=self._timeout_ms)
            if not stopping.is_set():
                self._on_reply(name, asked)
            stopping.wait(self._interval_ms / _MS_PER_S if isinstance(asked, Ok) else 0.05)
        link.close()
