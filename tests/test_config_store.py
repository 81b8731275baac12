"""Test that a file is applied whole by one operator at a time, over lost answers and outages."""

from __future__ import annotations

import threading

import pytest

from dalehollow.config import Applied, Conflict, apply_text, read_manifest
from dalehollow.config.holder import ConfigHolder
from dalehollow.config.spread import Spreader
from dalehollow.errors import PlatformError
from dalehollow.platform import HttpKeyValue
from standins.keyvalue import KeyValueStandIn
from tests.config_text import make_text

Platform = tuple[KeyValueStandIn, HttpKeyValue]


def test_versions_rise(platform: Platform) -> None:
    _, kv = platform
    for version in (1, 2, 3):
        applied = apply_text(kv, make_text(), apply_id=f"a{version}").unwrap()
        assert applied.manifest.version == version
        assert applied.manifest.parent == version - 1


def test_bad_file_leaves_nothing(platform: Platform) -> None:
    standin, kv = platform
    assert apply_text(kv, make_text(deployment="BAD NAME"), apply_id="a").is_err()
    assert read_manifest(kv).unwrap().version == 0
    assert not any(call.startswith("PUT") for call in standin.calls)


def test_stale_parent_is_told_the_winner(platform: Platform) -> None:
    _, kv = platform
    apply_text(kv, make_text(), apply_id="first").unwrap()
    error = apply_text(kv, make_text(), apply_id="second", parent=0).unwrap_err()
    assert isinstance(error, Conflict) and error.winner.apply_id == "first"


@pytest.mark.parametrize("operators", [2, 8])
def test_operators_at_once(platform: Platform, operators: int) -> None:
    _, kv = platform
    barrier = threading.Barrier(operators)
    outcomes: dict[str, object] = {}

    def operate(name: str) -> None:
        barrier.wait()
        applied = apply_text(kv, make_text(deployment=name), apply_id=name, parent=0)
        outcomes[name] = applied.ok() or applied.err()

    threads = [threading.Thread(target=operate, args=(f"op-{i}",)) for i in range(operators)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    winners = [n for n, o in outcomes.items() if isinstance(o, Applied)]
    losers = [o for o in outcomes.values() if isinstance(o, Conflict)]
    assert len(winners) == 1 and len(losers) == operators - 1
    assert all(loser.winner.apply_id == winners[0] for loser in losers)
    assert read_manifest(kv).unwrap().version == 1


@pytest.mark.parametrize("lost_answers", [1, 2, 3])
def test_lost_answers_are_settled(platform: Platform, lost_answers: int) -> None:
    standin, kv = platform
    standin.set_fault("lose_answer", lost_answers)
    applied = apply_text(kv, make_text(), apply_id="a", parent=None)
    standin.set_fault("none")
    manifest = read_manifest(kv).unwrap()
    # Whatever the operator is told must be what is in force.
    assert applied.is_ok() == (manifest.apply_id == "a")
    assert applied.is_ok()


def test_platform_down_is_said_so(platform: Platform) -> None:
    standin, kv = platform
    standin.set_fault("down")
    assert isinstance(apply_text(kv, make_text(), apply_id="a").unwrap_err(), PlatformError)


def test_holder_never_reverts(platform: Platform) -> None:
    _, kv = platform
    manifests = [apply_text(kv, make_text(), apply_id=f"a{i}").unwrap().manifest for i in range(3)]
    holder = ConfigHolder()
    assert holder.offer(manifests[2], make_text())
    for manifest in manifests:
        assert not holder.offer(manifest, make_text())
    assert holder.version == 3


def test_holder_refuses_a_text_that_is_not_the_manifests(platform: Platform) -> None:
    _, kv = platform
    manifest = apply_text(kv, make_text(), apply_id="a").unwrap().manifest
    holder = ConfigHolder()
    assert not holder.offer(manifest, make_text(deployment="other"))
    assert holder.version == 0


def test_poll_keeps_the_configuration_in_an_outage(platform: Platform) -> None:
    standin, kv = platform
    apply_text(kv, make_text(), apply_id="a").unwrap()
    holder = ConfigHolder()
    spreader = Spreader(1_000, holder, kv)
    assert spreader.poll() and holder.version == 1
    confirmed_at_ms = holder.confirmed_at_ms
    standin.set_fault("down")
    assert not spreader.poll()
    assert (holder.version, holder.confirmed_at_ms) == (1, confirmed_at_ms)
