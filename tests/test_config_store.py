"""Test that configurations are applied atomically, despite races, lost responses and outages."""

from __future__ import annotations

import json
import threading
from typing import Any

import pytest

from dalehollow.config import (
    Applied,
    Conflict,
    Manifest,
    apply_text,
    check_text,
    read_manifest,
)
from dalehollow.config.holder import ConfigHolder
from dalehollow.config.spread import ConfigSync
from dalehollow.config.store import HEAD_KEY, part_key, read_head
from dalehollow.errors import PlatformError
from dalehollow.platform.keyvalue import HttpKeyValue
from standins.keyvalue import KeyValueStandIn
from tests.config_text import make_raw, make_text

Platform = tuple[KeyValueStandIn, HttpKeyValue]


def test_versions_rise(platform: Platform) -> None:
    _, kv = platform
    for version in (1, 2, 3):
        applied = apply_text(kv, make_text(), apply_id=f"a{version}").unwrap()
        assert applied.manifest.version == version
        assert applied.manifest.parent == version - 1


def test_invalid_file_writes_nothing(platform: Platform) -> None:
    standin, kv = platform
    assert apply_text(kv, make_text(deployment="BAD NAME"), apply_id="a").is_err()
    assert read_manifest(kv).unwrap().version == 0
    assert not any(call.startswith("PUT") for call in standin.calls)


def test_stale_parent_is_rejected_with_the_winner(platform: Platform) -> None:
    _, kv = platform
    apply_text(kv, make_text(), apply_id="first").unwrap()
    error = apply_text(kv, make_text(), apply_id="second", parent=0).unwrap_err()
    assert isinstance(error, Conflict) and error.winner.apply_id == "first"


@pytest.mark.parametrize("operators", [2, 8])
def test_concurrent_applies_have_one_winner(platform: Platform, operators: int) -> None:
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
def test_lost_responses_are_resolved(platform: Platform, lost_answers: int) -> None:
    standin, kv = platform
    standin.set_fault("lose_answer", lost_answers)
    applied = apply_text(kv, make_text(), apply_id="a", parent=None)
    standin.set_fault("none")
    manifest = read_manifest(kv).unwrap()
    # The result reported to the operator must match the active configuration.
    assert applied.is_ok() == (manifest.apply_id == "a")
    assert applied.is_ok()


def test_unreachable_platform_is_reported(platform: Platform) -> None:
    standin, kv = platform
    standin.set_fault("down")
    assert isinstance(apply_text(kv, make_text(), apply_id="a").unwrap_err(), PlatformError)


def read_parts(kv: HttpKeyValue, manifest: Manifest) -> dict[str, bytes]:
    return {i: kv.get(part_key(i)).unwrap().value for i in manifest.parts.values()}


def test_holder_rejects_older_versions(platform: Platform) -> None:
    _, kv = platform
    holder = ConfigHolder()
    offers = []
    for idx in range(3):
        text = make_text(deployment=f"d-{idx}")
        manifest = apply_text(kv, text, apply_id=f"a{idx}").unwrap().manifest
        offers.append((manifest, read_parts(kv, manifest)))
    assert holder.activate(*offers[2])
    for activate in offers:
        assert not holder.activate(*activate)
    assert holder.version == 3


def test_holder_rejects_missing_or_mismatched_parts(platform: Platform) -> None:
    _, kv = platform
    manifest = apply_text(kv, make_text(), apply_id="a").unwrap().manifest
    parts = read_parts(kv, manifest)
    first = next(iter(parts))
    holder = ConfigHolder()
    assert not holder.activate(manifest, {i: d for i, d in parts.items() if i != first})
    assert not holder.activate(manifest, {**parts, first: b"{}"})
    assert holder.version == 0
    assert holder.activate(manifest, parts)


def test_joined_parts_equal_the_validated_file(platform: Platform) -> None:
    _, kv = platform
    manifest = apply_text(kv, make_text(), apply_id="a").unwrap().manifest
    holder = ConfigHolder()
    assert holder.activate(manifest, read_parts(kv, manifest))
    assert holder.active.config == check_text(make_text()).unwrap()


def test_small_change_writes_one_part_and_deletes_the_replaced_ones(platform: Platform) -> None:
    standin, kv = platform
    raw = make_raw()
    for idx in range(500):
        account = {"key_sha256": f"{idx + 1:064x}", "requests_per_s": 1}
        raw["client_accounts"][f"account-{idx}"] = account
    before = apply_text(kv, json.dumps(raw), apply_id="a").unwrap().manifest
    raw["client_accounts"]["account-7"]["requests_per_s"] = 2
    after = apply_text(kv, json.dumps(raw), apply_id="b").unwrap().manifest
    changed = set(after.parts.values()) - set(before.parts.values())
    assert len(changed) == 1
    head = read_head(kv).unwrap()
    kept = {part_key(i) for i in [*after.parts.values(), after.source, head.manifest_id]}
    assert {k for k in standin.list_keys() if k.startswith("config/part/")} == kept


def test_losing_apply_deletes_only_its_own_parts(platform: Platform) -> None:
    standin, kv = platform
    apply_text(kv, make_text(), apply_id="first").unwrap()

    class Racing(HttpKeyValue):
        """Apply another configuration just before the swap of the head."""

        def swap(self, key: str, *args: Any, **kwargs: Any) -> Any:
            if key == HEAD_KEY:
                apply_text(kv, make_text(deployment="winner"), apply_id="winner").unwrap()
            return super().swap(key, *args, **kwargs)

    error = apply_text(
        Racing(kv._address), make_text(deployment="loser"), apply_id="loser"
    ).unwrap_err()
    assert isinstance(error, Conflict) and error.winner.apply_id == "winner"
    manifest, head = read_manifest(kv).unwrap(), read_head(kv).unwrap()
    kept = {part_key(i) for i in [*manifest.parts.values(), manifest.source, head.manifest_id]}
    assert {k for k in standin.list_keys() if k.startswith("config/part/")} == kept


def test_poll_keeps_the_configuration_in_an_outage(platform: Platform) -> None:
    standin, kv = platform
    apply_text(kv, make_text(), apply_id="a").unwrap()
    holder = ConfigHolder()
    config_sync = ConfigSync(1_000, holder, kv)
    assert config_sync.poll() and holder.version == 1
    confirmed_at_ms = holder.confirmed_at_ms
    standin.set_fault("down")
    assert not config_sync.poll()
    assert (holder.version, holder.confirmed_at_ms) == (1, confirmed_at_ms)
