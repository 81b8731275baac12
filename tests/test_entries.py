"""Test the handling of upstream entries in the store: restarts, foreign entries, old copies.

An upstream that restarts under the same id has lost all its state. An entry by another writer
may be malformed and then must not be accepted as an upstream. A store restored from a copy may
show an entry from before the upstream announced that it leaves, or from before it was deleted.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import msgspec
import pytest

from dalehollow.gateway.upstream import Move
from dalehollow.gateway.upstreams import UpstreamSet
from dalehollow.platform.servers import decode_upstream
from tests.hall_world import HallWorld, connect_through
from tests.late_chains import BOUND_S
from tests.virtual_time import run_virtual

BORN_MS = 1_764_000_000_000
VALID_ENTRY = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "hall",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
    "born": BORN_MS,
}
GROUP = {"name": "g", "epoch": 2, "rank": 1, "state": "open"}


def _encode(**changes: object) -> bytes:
    entry: dict[str, Any] = {**VALID_ENTRY, **changes}
    return msgspec.json.encode({k: v for k, v in entry.items() if v is not None})


MALFORMED_ENTRIES = {
    "empty value": b"",
    "invalid UTF-8": b"\xff\xfe\x00",
    "not an object": b'"servers"',
    "truncated": _encode()[:-5],
    "deeply nested": b"[" * 100_000,
    "no service": _encode(service=None),
    "an empty service": _encode(service=""),
    "a service of another type": _encode(service=7),
    "no address": _encode(address=None),
    "an address without a port": _encode(address="10.0.0.1"),
    "an address with a host name": _encode(address="desk.example:80"),
    "an address with port 0": _encode(address="10.0.0.1:0"),
    "an address with port 65536": _encode(address="10.0.0.1:65536"),
    "an address with trailing data": _encode(address="10.0.0.1:80\r\nx: y"),
    "no hall": _encode(zone=None),
    "no slots": _encode(slots=None),
    "zero slots": _encode(slots=0),
    "negative slots": _encode(slots=-1),
    "slots as text": _encode(slots="4"),
    "slots as a boolean": _encode(slots=True),
    "no state": _encode(state=None),
    "an unknown state": _encode(state="gone fishing"),
    "a state of another type": _encode(state=["ready"]),
    "a start time as text": _encode(born="soon"),
    "a negative start time": _encode(born=-1),
    "a group of another type": _encode(group="g", size=2),
    "a group with an unknown state": _encode(group={**GROUP, "state": "half"}, size=2),
    "a rank outside its group": _encode(group={**GROUP, "rank": 2}, size=2),
    "a negative rank": _encode(group={**GROUP, "rank": -1}, size=2),
}
INVALID_IDS = ("", "a b", "a/b", "a\r\nx: y", "\N{SNOWMAN}")


def test_malformed_entry_is_not_accepted() -> None:
    accepted = [what for what, value in MALFORMED_ENTRIES.items() if not _is_refused("i-1", value)]
    accepted += [name for name in INVALID_IDS if not _is_refused(name, _encode())]
    assert accepted == []


def _is_refused(name: str, value: bytes) -> bool:
    try:
        decode_upstream(f"servers/{name}", value)
    except ValueError:
        return True
    return False


def test_valid_entries_with_unknown_fields_are_accepted() -> None:
    grouped = _encode(group=GROUP, size=2, later="field")
    assert decode_upstream("servers/i-1", grouped).group_rank == 1
    assert decode_upstream("servers/i-1", _encode(state="draining")).is_leaving
    # `born` is optional: some upstreams do not report their start time.
    assert not decode_upstream("servers/i-1", _encode(born=None)).is_leaving


def _put(upstreams: UpstreamSet, **changes: object) -> None:
    upstreams.put(decode_upstream("servers/i-1", _encode(**changes)))


def test_restarted_upstream_is_treated_as_new() -> None:
    upstreams = UpstreamSet(random.Random(1), "hall")
    _put(upstreams)
    (before,) = upstreams
    move = Move()
    before.moves.add(move)
    before.in_flight, before.untracked, before.untracked_at_s = 3, 4, 10.0
    before.eject(10.0)
    _put(upstreams, state="draining")
    _put(upstreams, born=BORN_MS + 1)
    (after,) = upstreams
    assert not after.listed.is_leaving
    assert (after.in_flight, after.load(10.0), after.ejected_until_s) == (0, 0.0, 0.0)
    assert upstreams.choose("desk", (), 10.0) is after
    # Requests of the earlier start are moved, and no longer count as in flight.
    assert move.is_requested
    before.in_flight -= 3
    assert after.in_flight == 0
    # A stale read of the earlier start changes nothing.
    _put(upstreams, state="draining")
    assert [u.listed.is_leaving for u in upstreams] == [False]


def test_restored_store_does_not_bring_back_departed_upstream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The restored copy predates the upstream's departure and lists it as ready."""
    for announces_leaving in (True, False):
        _run_restored_store(monkeypatch, announces_leaving=announces_leaving)


def _run_restored_store(monkeypatch: pytest.MonkeyPatch, *, announces_leaving: bool) -> None:
    world = HallWorld()
    connect_through(world, monkeypatch)
    name = "upstream-1"

    async def main() -> None:
        world.apply()
        world.write_upstream(name, "ready")
        for gateway in "abc":
            world.start(gateway)
        await asyncio.sleep(3.0)
        world.store.back_up()
        if announces_leaving:
            world.write_upstream(name, "draining")
        else:
            world.delete_upstream(name)
        await asyncio.sleep(BOUND_S)
        world.store.restore()
        for _ in range(20):
            await asyncio.sleep(0.1)
            used = [g for g in "abc" if world.gateways[g].may_use(name)]
            assert used == [], announces_leaving
        await world.close()

    run_virtual(main())
