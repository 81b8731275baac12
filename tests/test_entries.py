"""Check what an upstream's entry says: of a start under the same id, and by other writers.

An upstream may start again under the id that it had; it then holds nothing of before. An entry may
come from another writer; it then names no upstream. And a store that was restored may show an entry
as it was before the upstream said that it leaves, or before it was gone.
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
from tests.hall_world import HallWorld, use_world
from tests.late_chains import BOUND_S
from tests.virtual_time import run_virtual

BORN_MS = 1_764_000_000_000
SOUND = {
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
    entry: dict[str, Any] = {**SOUND, **changes}
    return msgspec.json.encode({k: v for k, v in entry.items() if v is not None})


FOREIGN = {
    "no bytes": b"",
    "no text": b"\xff\xfe\x00",
    "no object": b'"servers"',
    "cut off": _encode()[:-5],
    "nested deeply": b"[" * 100_000,
    "no service": _encode(service=None),
    "an empty service": _encode(service=""),
    "a service of another type": _encode(service=7),
    "no address": _encode(address=None),
    "an address without a port": _encode(address="10.0.0.1"),
    "an address with a name": _encode(address="desk.example:80"),
    "an address with port 0": _encode(address="10.0.0.1:0"),
    "an address with a port above all": _encode(address="10.0.0.1:65536"),
    "an address with more": _encode(address="10.0.0.1:80\r\nx: y"),
    "no hall": _encode(zone=None),
    "no slots": _encode(slots=None),
    "no slot": _encode(slots=0),
    "fewer slots than none": _encode(slots=-1),
    "slots as text": _encode(slots="4"),
    "slots as a truth value": _encode(slots=True),
    "no state": _encode(state=None),
    "an unknown state": _encode(state="gone fishing"),
    "a state of another type": _encode(state=["ready"]),
    "a start as text": _encode(born="soon"),
    "a start before all": _encode(born=-1),
    "a group of another type": _encode(group="g", size=2),
    "a group with an unknown state": _encode(group={**GROUP, "state": "half"}, size=2),
    "a rank outside its group": _encode(group={**GROUP, "rank": 2}, size=2),
    "a rank below all": _encode(group={**GROUP, "rank": -1}, size=2),
}
FOREIGN_IDS = ("", "a b", "a/b", "a\r\nx: y", "\N{SNOWMAN}")


def test_an_entry_of_another_writer_names_no_upstream() -> None:
    taken = [what for what, value in FOREIGN.items() if not _is_refused("i-1", value)]
    taken += [name for name in FOREIGN_IDS if not _is_refused(name, _encode())]
    assert taken == []


def _is_refused(name: str, value: bytes) -> bool:
    try:
        decode_upstream(f"servers/{name}", value)
    except ValueError:
        return True
    return False


def test_sound_entries_are_taken_whatever_else_they_hold() -> None:
    grouped = _encode(group=GROUP, size=2, later="field")
    assert decode_upstream("servers/i-1", grouped).group_rank == 1
    assert decode_upstream("servers/i-1", _encode(state="draining")).is_leaving
    # Entries of upstreams that do not tell when they started.
    assert not decode_upstream("servers/i-1", _encode(born=None)).is_leaving


def _put(upstreams: UpstreamSet, **changes: object) -> None:
    upstreams.put(decode_upstream("servers/i-1", _encode(**changes)))


def test_an_upstream_that_starts_again_is_known_as_new() -> None:
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
    # What ran there goes on elsewhere, and counts no more.
    assert move.is_requested
    before.in_flight -= 3
    assert after.in_flight == 0
    # What an older reading says of the earlier start changes nothing.
    _put(upstreams, state="draining")
    assert [u.listed.is_leaving for u in upstreams] == [False]


def test_a_restored_store_brings_no_upstream_back_that_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The copy is from before it left, and it serves on."""
    for gives_notice in (True, False):
        _play_restored(monkeypatch, gives_notice=gives_notice)


def _play_restored(monkeypatch: pytest.MonkeyPatch, *, gives_notice: bool) -> None:
    world = HallWorld()
    use_world(world, monkeypatch)
    name = "upstream-1"

    async def main() -> None:
        world.apply()
        world.write_upstream(name, "ready")
        for gateway in "abc":
            world.start(gateway)
        await asyncio.sleep(3.0)
        world.store.take_copy()
        if gives_notice:
            world.write_upstream(name, "draining")
        else:
            world.delete_upstream(name)
        await asyncio.sleep(BOUND_S)
        world.store.restore()
        for _ in range(20):
            await asyncio.sleep(0.1)
            used = [g for g in "abc" if world.gateways[g].may_use(name)]
            assert used == [], gives_notice
        await world.close()

    run_virtual(main())
