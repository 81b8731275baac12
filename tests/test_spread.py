"""Test that configurations reach every process despite partitions and versions never decrease."""

from __future__ import annotations

import json
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import pytest
from result import Err, Result

from dalehollow.config import apply_text
from dalehollow.config.holder import ConfigHolder
from dalehollow.config.spread import ConfigSync, compute_poll_limit_ms, is_poll_due
from dalehollow.entry import EntryProcess
from dalehollow.errors import PlatformError
from dalehollow.platform.keyvalue import Entry, HttpKeyValue
from dalehollow.settings import Settings
from dalehollow.sidecar import Sidecar
from dalehollow.web import HttpServer
from standins.hall import digest_key
from standins.keyvalue import KeyValueStandIn
from tests.config_text import make_text
from tests.fake_keyvalue import FakeKeyValue
from tests.payment_bench import wait_for
from tests.relay import TcpProxy

HALLS = ("cmb-a", "ngb")
FAST_SETTINGS = {"leave_ms": 0, "poll_min_ms": 50, "poll_max_ms": 150, "beat_interval_ms": 50}


@dataclass
class Hall:
    """Hold a hall's processes and the relays to the platform and to its sidecar."""

    name: str
    platform_relay: TcpProxy
    sidecar: Sidecar
    control_relay: TcpProxy
    entry: EntryProcess


@dataclass
class World:
    """Hold two halls and the versions that each process activated, in order."""

    platform: KeyValueStandIn = field(default_factory=KeyValueStandIn)
    halls: dict[str, Hall] = field(default_factory=dict)
    versions_seen: dict[str, list[int]] = field(default_factory=dict)
    extra: list[Sidecar] = field(default_factory=list)

    def start(self) -> None:
        self.server = HttpServer("127.0.0.1", 0, self.platform.handle, name="platform")
        self.server.start()
        self.kv = HttpKeyValue(self.server.address)
        for name in HALLS:
            self.halls[name] = self._start_hall(name)

    def _start_hall(self, name: str) -> Hall:
        relay = TcpProxy(self.server.address)
        sidecar = self.start_sidecar(f"up-{name}", name, relay.address, ())
        entry = EntryProcess(
            Settings(
                role="entry",
                name=f"entry-{name}",
                hall=name,
                platform=relay.address,
                peers=(sidecar.control.address,),
                **FAST_SETTINGS,  # type: ignore[arg-type]
            )
        )
        self._follow(entry.settings.name, entry)
        entry.start()
        return Hall(name, relay, sidecar, TcpProxy(sidecar.control.address), entry)

    def start_sidecar(
        self, upstream: str, hall: str, platform: str | None, peers: tuple[str, ...]
    ) -> Sidecar:
        sidecar = Sidecar(
            Settings(
                role="sidecar",
                name=f"sidecar-{upstream}",
                hall=hall,
                platform=platform,
                peers=peers,
                upstream=upstream,
                upstream_http="127.0.0.1:1",
                **FAST_SETTINGS,  # type: ignore[arg-type]
            )
        )
        self._follow(sidecar.settings.name, sidecar)
        sidecar.start()
        return sidecar

    def _follow(self, name: str, process: EntryProcess | Sidecar) -> None:
        versions = self.versions_seen.setdefault(name, [])
        process.holder.on_change(lambda active: versions.append(active.manifest.version))

    def apply(self, deployment: str) -> int:
        config = {
            "deployment": deployment,
            "halls": {name: {"region": "lk-west"} for name in HALLS},
            "client_accounts": {"a": {"key_sha256": digest_key("k"), "requests_per_s": 10}},
            "upstreams": {
                f"up-{name}": {
                    "hall": name,
                    "http": hall.sidecar.server.address,
                    "control": hall.control_relay.address,
                }
                for name, hall in self.halls.items()
            },
            "services": {
                "assist": {
                    "kind": "model",
                    "models": ["m"],
                    "upstreams": [f"up-{name}" for name in HALLS],
                }
            },
        }
        applied = apply_text(self.kv, json.dumps(config), apply_id=deployment).unwrap()
        return applied.manifest.version

    def wait_for_version(self, version: int, *halls: str) -> None:
        for name in halls:
            hall = self.halls[name]
            wait_for(lambda h=hall: h.entry.holder.version == version, f"{name} entry")  # type: ignore[misc]
            wait_for(lambda h=hall: h.sidecar.holder.version == version, f"{name} sidecar")  # type: ignore[misc]

    def cut(self, hall: str, *, platform: bool, other_hall: bool) -> None:
        if platform:
            self.halls[hall].platform_relay.set_mode("refuse")
        if other_hall:
            for each in self.halls.values():
                each.control_relay.set_mode("refuse")

    def heal(self) -> None:
        for hall in self.halls.values():
            hall.platform_relay.release()
            hall.control_relay.release()

    def stop(self) -> None:
        self.heal()
        for hall in self.halls.values():
            hall.entry.stop()
            hall.sidecar.stop()
            hall.platform_relay.close()
            hall.control_relay.close()
        for sidecar in self.extra:
            sidecar.stop()
        self.server.stop()


@pytest.fixture
def world() -> Iterator[World]:
    created = World()
    created.start()
    yield created
    created.stop()
    for name, versions in created.versions_seen.items():
        assert versions == sorted(set(versions)), (
            f"{name} activated versions out of order: {versions}"
        )


def test_every_version_reaches_all_processes(world: World) -> None:
    for version in (1, 2, 3):
        assert world.apply(f"v{version}") == version
        world.wait_for_version(version, *HALLS)


def test_hall_without_platform_access_is_updated_by_the_other_hall(world: World) -> None:
    world.apply("v1")
    world.wait_for_version(1, *HALLS)
    world.cut("ngb", platform=True, other_hall=False)
    world.apply("v2")
    world.wait_for_version(2, *HALLS)


def test_isolated_hall_keeps_its_version_and_catches_up(world: World) -> None:
    world.apply("v1")
    world.wait_for_version(1, *HALLS)
    world.cut("ngb", platform=True, other_hall=True)
    world.apply("v2")
    world.wait_for_version(2, "cmb-a")
    assert world.halls["ngb"].entry.holder.version == 1
    new_sidecar = world.start_sidecar(
        "up-new", "ngb", None, (world.halls["ngb"].entry.control.address,)
    )
    world.extra.append(new_sidecar)
    wait_for(
        lambda: new_sidecar.holder.version == 1, "new sidecar fetches version 1 from its peers"
    )
    world.heal()
    world.wait_for_version(2, "ngb")
    wait_for(lambda: new_sidecar.holder.version == 2, "new sidecar catches up")


@pytest.mark.parametrize("mode", ["down", "lose_answer"])
def test_long_platform_fault_keeps_the_version(world: World, mode: str) -> None:
    world.apply("v1")
    world.wait_for_version(1, *HALLS)
    world.platform.set_fault(mode)
    polls = world.halls["ngb"].entry.config_sync.polls
    wait_for(
        lambda: world.halls["ngb"].entry.config_sync.polls > polls + 2, "polls during the fault"
    )
    world.wait_for_version(1, *HALLS)
    world.platform.set_fault("none")
    world.apply("v2")
    world.wait_for_version(2, *HALLS)


def test_late_and_duplicate_reports_of_an_old_version_are_ignored(world: World) -> None:
    world.apply("v1")
    world.wait_for_version(1, *HALLS)
    old = world.halls["ngb"].sidecar.holder.active
    world.apply("v2")
    world.wait_for_version(2, *HALLS)
    for hall in world.halls.values():
        for process in (hall.entry, hall.sidecar):
            for _ in range(2):
                process.config_sync.handle_peer_version(1, 2**60, hall.sidecar.control.address)
                assert not process.holder.activate(old.manifest, old.parts)
    world.wait_for_version(2, *HALLS)


def test_confirmation_in_the_future_is_capped(world: World) -> None:
    world.apply("v1")
    world.wait_for_version(1, *HALLS)
    entry = world.halls["ngb"].entry
    entry.config_sync.handle_peer_version(1, 2**60, "")
    assert entry.holder.confirmed_at_ms < 2**59


def test_versions_stay_ordered_under_concurrent_applies(world: World) -> None:
    threads = [threading.Thread(target=_apply_quietly, args=(world, idx)) for idx in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    version = world.apply("last")
    world.wait_for_version(version, *HALLS)


def _apply_quietly(world: World, idx: int) -> None:
    try:
        world.apply(f"race-{idx}")
    except Exception as exc:
        assert "Conflict" in repr(exc)


@pytest.mark.parametrize(
    ("age_ms", "since_ms", "failures", "due"),
    [
        (999, 5_000, 0, False),
        (1_000, 1_000, 0, True),
        (1_000, 999, 0, False),
        (60_000, 1_999, 1, False),
        (60_000, 2_000, 1, True),
        (60_000, 9_999, 9, False),
        (60_000, 10_000, 9, True),
    ],
)
def test_poll_due(age_ms: int, since_ms: int, failures: int, due: bool) -> None:
    assert is_poll_due(age_ms, since_ms, 1_000, failures) is due


def test_poll_limits_are_spread() -> None:
    limits = {compute_poll_limit_ms(f"p{idx}", 1_000, 3_000) for idx in range(200)}
    assert min(limits) < 1_100 and max(limits) > 2_900


def test_seeded_fault_a_holder_that_accepts_any_version(world: World) -> None:
    """The version check must detect a holder that accepts an older version."""
    world.apply("v1")
    world.wait_for_version(1, *HALLS)
    old = world.halls["ngb"].sidecar.holder.active
    world.apply("v2")
    world.wait_for_version(2, *HALLS)
    holder = world.halls["ngb"].sidecar.holder
    holder._active = replace(holder.active, manifest=replace(old.manifest, version=0))
    assert holder.activate(old.manifest, old.parts)
    versions = world.versions_seen["sidecar-up-ngb"]
    assert versions != sorted(set(versions))
    versions.clear()


@dataclass
class _LimitedKeyValue(FakeKeyValue):
    """Answer `left` calls, then fail until `left` is set again."""

    left: int = 0

    def get(self, key: str, *, timeout_s: float = 2.0) -> Result[Entry, PlatformError]:
        if not self.left:
            return Err(PlatformError("timed out", may_have_written=False))
        self.left -= 1
        return super().get(key, timeout_s=timeout_s)


def test_parts_that_were_read_are_not_read_again_when_a_later_one_fails() -> None:
    """Polls that fail part-way and discard the parts they read never reach the last part."""
    kv = _LimitedKeyValue(left=1000)
    apply_text(kv, make_text(), apply_id="one").unwrap()
    holder = ConfigHolder()
    config_sync = ConfigSync(1_000, holder, kv)
    for _ in range(20):
        # Enough for the head, its manifest and one part.
        kv.left = 3
        config_sync.poll()
    assert holder.version == 1
