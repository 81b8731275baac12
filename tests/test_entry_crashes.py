"""Test that entries and sidecars refuse requests whose shared messages crash upstreams.

Guards against crashing one upstream after the other through entries, which recorded no crashes.
"""

from __future__ import annotations

import itertools
import json
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import pytest

from dalehollow.config import apply_text
from dalehollow.crashes import list_shared_messages
from dalehollow.entry import EntryProcess
from dalehollow.platform.keyvalue import HttpKeyValue
from dalehollow.settings import Settings
from dalehollow.sidecar import Sidecar
from dalehollow.web import Answer, HttpClient, HttpServer
from standins.hall import digest_key
from standins.keyvalue import KeyValueStandIn
from tests.payment_bench import wait_for

UPSTREAMS, ENTRIES = 4, 2
SHORT_INTERVALS = {"leave_ms": 0, "poll_min_ms": 50, "poll_max_ms": 150, "beat_interval_ms": 50}
CRASHING = {"role": "user", "content": "crash"}
SYSTEM = {"role": "system", "content": "judge"}
MAX_ARRIVALS = 5 + 3
REQUESTS = 16
_HEADER_END = b"\r\n\r\n"


class _Engine:
    """Serve one request per connection; close the port on a request with a crashing message."""

    def __init__(self) -> None:
        self.crashing_requests = 0
        self._port = 0
        self._listener: socket.socket | None = None
        self.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._port}"

    def start(self) -> None:
        if self._listener is None:
            self._listener = socket.create_server(("127.0.0.1", self._port), reuse_port=False)
            self._port = self._listener.getsockname()[1]
            threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def stop(self) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            with suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def _accept(self, listener: socket.socket) -> None:
        with suppress(OSError):
            while True:
                connection, _ = listener.accept()
                with connection:
                    self._answer(connection)

    def _answer(self, connection: socket.socket) -> None:
        data = b""
        while _HEADER_END not in data:
            if not (chunk := connection.recv(65_536)):
                return
            data += chunk
        head, _, body = data.partition(_HEADER_END)
        lines = head.lower().split(b"\r\n")
        length = next((int(x[15:]) for x in lines if x.startswith(b"content-length:")), 0)
        while len(body) < length:
            body += connection.recv(65_536)
        if CRASHING in json.loads(body or b"{}").get("messages", [])[:-1]:
            self.crashing_requests += 1
            self.stop()
            return
        answer = b"whole answer"
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)


class _World:
    """Hold engines with their sidecars, and entries before them."""

    def __init__(self) -> None:
        self.http = HttpClient(connect_timeout_s=1)
        self.platform = HttpServer("127.0.0.1", 0, KeyValueStandIn().handle, name="platform")
        self.platform.start()
        self.engines = [_Engine() for _ in range(UPSTREAMS)]
        common = {"hall": "h", "platform": self.platform.address, **SHORT_INTERVALS}
        self.sidecars = [
            Sidecar(
                Settings(
                    role="sidecar",
                    name=f"s{number}",
                    upstream=f"u{number}",
                    upstream_http=engine.address,
                    **common,  # type: ignore[arg-type]
                )
            )
            for number, engine in enumerate(self.engines)
        ]
        self.entries = [
            EntryProcess(Settings(role="entry", name=f"e{number}", **common))  # type: ignore[arg-type]
            for number in range(ENTRIES)
        ]
        self._numbers = itertools.count()
        for process in (*self.sidecars, *self.entries):
            process.start()
        config = json.dumps(self._make_config())
        apply_text(HttpKeyValue(self.platform.address), config, apply_id="a").unwrap()
        for process in (*self.sidecars, *self.entries):
            wait_for(lambda p=process: p.holder.version == 1, "configuration")  # type: ignore[misc]

    def _make_config(self) -> dict[str, object]:
        names = [f"u{number}" for number in range(UPSTREAMS)]
        return {
            "deployment": "d",
            "halls": {"h": {"region": "r"}},
            "client_accounts": {
                "a": {"key_sha256": digest_key("k"), "requests_per_s": 1e6, "burst": 1_000_000}
            },
            "upstreams": {
                name: {
                    "hall": "h",
                    "http": sidecar.server.address,
                    "control": sidecar.control.address,
                }
                for name, sidecar in zip(names, self.sidecars, strict=True)
            },
            "services": {"desk": {"kind": "model", "models": ["m"], "upstreams": names}},
        }

    def send(self, entry: EntryProcess, *shared: dict[str, str], key: str = "") -> Answer:
        """Send a chat request with a last message of its own."""
        own = {"role": "user", "content": str(next(self._numbers))}
        body = json.dumps({"model": "m", "messages": [*shared, own]}).encode()
        headers = {"authorization": "Bearer k", "content-length": str(len(body))}
        headers |= {"idempotency-key": key} if key else {}
        return self.http.call(
            "POST",
            entry.server.address,
            "/v1/chat/completions",
            headers=headers,
            body=body,
            timeout_s=5,
        ).unwrap()

    def wait_for_heartbeats(self) -> None:
        """Wait until each process knows the crashes that any of them knows."""
        processes = (*self.sidecars, *self.entries)

        def is_known() -> bool:
            known = [
                {
                    crash
                    for suspect in process.suspects.describe().values()
                    for crash in suspect["crashed"]  # type: ignore[attr-defined]
                }
                for process in processes
            ]
            return all(crashes == known[0] for crashes in known)

        wait_for(is_known, "heartbeats")

    def start_engines(self) -> None:
        for engine in self.engines:
            engine.start()

    def count_arrivals(self) -> int:
        return sum(engine.crashing_requests for engine in self.engines)

    def close(self) -> None:
        for process in (*self.entries, *self.sidecars):
            process.stop()
        for engine in self.engines:
            engine.stop()
        self.platform.stop()


@contextmanager
def _run_world() -> Iterator[_World]:
    world = _World()
    try:
        yield world
    finally:
        world.close()


def _send_crashing(world: _World, key: str = "") -> Answer:
    for number in range(REQUESTS):
        entry = world.entries[number % ENTRIES]
        answer = world.send(entry, SYSTEM, CRASHING, key=f"{key}{number}" if key else "")
        answer.read()
        world.wait_for_heartbeats()
        world.start_engines()
    return answer


@pytest.mark.parametrize("key", ["", "key-"])
def test_requests_that_share_a_crashing_message_stop_reaching_upstreams(key: str) -> None:
    with _run_world() as world:
        for entry in world.entries:
            assert world.send(entry, SYSTEM).read() == b"whole answer"
        answer = _send_crashing(world, key)
        assert world.count_arrivals() <= MAX_ARRIVALS
        assert answer.status == 503
        assert answer.headers["dalehollow-reason"] == "crashes_upstreams"
        assert answer.headers["dalehollow-verdict"] == "NOT_RUN"
        assert int(answer.headers["retry-after"]) > 10
        for entry in world.entries:
            wait_for(lambda e=entry: _is_served(world, e), "upstreams")  # type: ignore[misc]


def _is_served(world: _World, entry: EntryProcess) -> bool:
    answer = world.send(entry, SYSTEM, {"role": "assistant", "content": "sound"})
    return answer.status == 200 and answer.read() == b"whole answer"


@pytest.mark.parametrize(
    ("body", "count"),
    [
        (b'{"messages": [{"a": 1}, {"c": 1}, {"b": 2}]}', 2),
        (b'{"messages": [{"b": 2, "a": 1}, {}]}', 1),
        (b'{"messages": [{"a": 1}]}', 0),
        (b'{"messages": "text"}', 0),
        (b'{"messages": 7}', 0),
        (b'{"messages": null}', 0),
        (b"[]", 0),
        (b"no JSON", 0),
    ],
)
def test_all_messages_but_the_last_are_shared_parts(body: bytes, count: int) -> None:
    assert len(list_shared_messages("/v1/chat/completions", body)) == count
    assert list_shared_messages("/pay", body) == ()
