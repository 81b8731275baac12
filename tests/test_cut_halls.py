"""Test that a hall partitioned from the platform, the other hall or both still serves requests.

A partition affects one hall: its processes cannot reach the platform, the other hall's sidecar, or
either.
"""

from __future__ import annotations

import json
import threading
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from dalehollow.config import apply_text
from dalehollow.entry import EntryProcess
from dalehollow.platform.keyvalue import HttpKeyValue
from dalehollow.settings import Settings
from dalehollow.sidecar import Sidecar
from dalehollow.web import Answer, HttpClient, HttpServer
from standins.hall import digest_key
from standins.keyvalue import KeyValueStandIn
from standins.plain import PlainStandIn
from tests.payment_bench import make_timestamped_key, wait_for
from tests.relay import TcpProxy

HALLS = ("cmb-a", "ngb")
SHORT_INTERVALS = {"leave_ms": 0, "poll_min_ms": 50, "poll_max_ms": 150, "beat_interval_ms": 100}
PAYMENT_COUNT = 12


@dataclass
class Hall:
    """One hall: its service, sidecar and entry, and TCP relays to its sidecar and the platform."""

    service: PlainStandIn
    to_platform: TcpProxy
    to_sidecar: TcpProxy
    to_control: TcpProxy
    sidecar: Sidecar
    entry: EntryProcess


@dataclass
class World:
    """Two halls that share a service named gate."""

    servers: list[HttpServer] = field(default_factory=list)
    halls: dict[str, Hall] = field(default_factory=dict)
    http: HttpClient = field(default_factory=lambda: HttpClient(connect_timeout_s=1))

    def start(self) -> None:
        platform = self._start_server(KeyValueStandIn().handle)
        for name in HALLS:
            self.halls[name] = self._start_hall(name, platform)
        apply_text(HttpKeyValue(platform), json.dumps(self._config()), apply_id="a").unwrap()
        for hall in self.halls.values():
            for process in (hall.entry, hall.sidecar):
                wait_for(lambda p=process: p.holder.version == 1, "configuration")  # type: ignore[misc]

    def _start_server(self, handler) -> str:  # type: ignore[no-untyped-def]
        server = HttpServer("127.0.0.1", 0, handler, name="standin")
        server.start()
        self.servers.append(server)
        return server.address

    def _start_hall(self, name: str, platform: str) -> Hall:
        service = PlainStandIn()
        to_platform, to_sidecar = TcpProxy(platform), TcpProxy("127.0.0.1:1")
        common = {"hall": name, "platform": to_platform.address, **SHORT_INTERVALS}
        sidecar = Sidecar(
            Settings(
                role="sidecar",
                name=f"s-{name}",
                upstream=f"gate-{name}",
                upstream_http=self._start_server(service.handle),
                advertise_http=to_sidecar.address,
                **common,  # type: ignore[arg-type]
            )
        )
        to_sidecar.target = sidecar.server.address
        entry = EntryProcess(Settings(role="entry", name=f"e-{name}", **common))  # type: ignore[arg-type]
        sidecar.start()
        entry.start()
        to_control = TcpProxy(sidecar.control.address)
        return Hall(service, to_platform, to_sidecar, to_control, sidecar, entry)

    def _config(self) -> dict[str, object]:
        names = [f"gate-{name}" for name in HALLS]
        return {
            "deployment": "d",
            "halls": {name: {"region": "lk-west"} for name in HALLS},
            "client_accounts": {
                "a": {"key_sha256": digest_key("k"), "requests_per_s": 1e6, "burst": 1_000_000}
            },
            "upstreams": {
                f"gate-{name}": {
                    "hall": name,
                    "http": hall.to_sidecar.address,
                    "control": hall.to_control.address,
                }
                for name, hall in self.halls.items()
            },
            "services": {"gate": {"kind": "plain", "path_prefix": "/gate", "upstreams": names}},
        }

    def cut(self, hall: str, cut_from: str) -> None:
        other = next(name for name in HALLS if name != hall)
        if cut_from in ("platform", "both"):
            self.halls[hall].to_platform.set_mode("refuse")
        if cut_from in ("other_hall", "both"):
            self.halls[other].to_sidecar.set_mode("refuse")
            self.halls[other].to_control.set_mode("refuse")

    def heal(self) -> None:
        for hall in self.halls.values():
            for relay in (hall.to_platform, hall.to_sidecar, hall.to_control):
                relay.release()

    def send(self, hall: str, method: str, body: str, key: str | None = None) -> Answer:
        headers = {"authorization": "Bearer k"}
        if key is not None:
            headers["idempotency-key"] = key
        address = self.halls[hall].entry.server.address
        return self.http.call(
            method, address, "/gate/x", headers=headers, body=body.encode(), timeout_s=10
        ).unwrap()

    def runs(self) -> Counter[str]:
        total: Counter[str] = Counter()
        for hall in self.halls.values():
            total.update(hall.service.runs)
        return total

    def stop(self) -> None:
        self.heal()
        for hall in self.halls.values():
            hall.entry.stop()
            hall.sidecar.stop()
            for relay in (hall.to_platform, hall.to_sidecar, hall.to_control):
                relay.close()
        for server in self.servers:
            server.stop()


@pytest.fixture
def world() -> Iterator[World]:
    started_world = World()
    started_world.start()
    yield started_world
    started_world.stop()


@pytest.mark.parametrize("hall", HALLS)
@pytest.mark.parametrize("cut_from", ["platform", "other_hall", "both"])
def test_isolated_hall_serves_and_runs_no_payment_twice(
    world: World, hall: str, cut_from: str
) -> None:
    other = next(name for name in HALLS if name != hall)
    world.cut(hall, cut_from)
    for number in range(20):
        answer = world.send(hall, "GET", f"read {number}")
        answer.read()
        assert answer.status == 200, (
            "repeatable requests are served by an upstream of the hall itself"
        )
    payments = [(make_timestamped_key(), f"pay {number}") for number in range(PAYMENT_COUNT)]
    first = {}
    for key, body in payments:
        answer = world.send(hall, "POST", body, key)
        first[key] = (answer.status, answer.headers["dalehollow-verdict"], answer.read())
    verdicts = {verdict for _, verdict, _ in first.values()}
    assert verdicts <= {"RAN", "NOT_RUN"}, "the hall can tell which requests did not run"
    assert "RAN" in verdicts, "keys whose owner is in this hall are served"
    if cut_from == "platform":
        assert verdicts == {"RAN"}
    not_run_bodies = [body for key, body in payments if first[key][1] == "NOT_RUN"]
    assert all(world.runs()[body] == 0 for body in not_run_bodies)
    world.heal()
    for key, body in payments:
        _retry_until_answered(world, other, body, key, first[key])
    assert all(world.runs()[body] == 1 for _, body in payments)


def _retry_until_answered(
    world: World, hall: str, body: str, key: str, first: tuple[int, str, bytes]
) -> None:
    def is_answered() -> bool:
        answer = world.send(hall, "POST", body, key)
        content = answer.read()
        if answer.status == 200 and first[0] == 200:
            assert content == first[2], "a retry returns the first answer"
        threading.Event().wait(0.01)
        return answer.status == 200

    wait_for(is_answered, f"{body} answered after the partition ended")
