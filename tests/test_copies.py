"""Check that a configuration is fetched from another gateway, and only where it is lacked."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from dalehollow.aio import CallerConnection, CallerRequest, ClientConnection, ConnectError, connect
from dalehollow.gateway import copies as copies_module
from dalehollow.gateway.copies import ConfigCopies
from dalehollow.protocol.reports import Change
from standins.platform import listen
from tests.virtual_time import run_virtual

KEY = "op/config"
TIMEOUT_S = 20.0


def _make_change(revision: int, size: int = 10) -> Change:
    return Change(KEY, random.Random(revision).randbytes(size), revision)


def _make_copies(change: Change | None = None) -> ConfigCopies:
    copies = ConfigCopies(random.Random(1))
    copies.on_copy = copies.keep
    if change is not None:
        copies.keep(change)
    return copies


@dataclass
class _Dialled:
    """Stand in for the network: note who was asked, and give no connection."""

    addresses: list[str] = field(default_factory=list)

    async def __call__(self, address: str, timeout_s: float) -> ClientConnection:
        self.addresses.append(address)
        raise ConnectError("no connection")


@pytest.mark.parametrize("size", [10, 900_000, 1 << 20])
def test_a_newer_configuration_is_fetched_whole(monkeypatch: pytest.MonkeyPatch, size: int) -> None:
    monkeypatch.setattr(copies_module, "COPY_AFTER_S", 0.0)

    async def main() -> None:
        holder, lacking = _make_copies(_make_change(7, size)), _make_copies(_make_change(3))
        address = await listen(holder.answer)
        task = asyncio.ensure_future(lacking.run())
        async with asyncio.timeout(TIMEOUT_S):
            lacking.note_told(address, 7)
            while lacking.revision < 7:
                await asyncio.sleep(0.001)
        task.cancel()
        assert lacking._own == _make_change(7, size)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("own", "told", "asks"),
    [
        (3, 7, True),
        (7, 7, False),
        (8, 7, False),
        # Who knows no configuration knows no upstreams either.
        (0, 7, False),
    ],
)
def test_only_who_lacks_a_configuration_asks(own: int, told: int, asks: bool) -> None:
    async def main() -> None:
        dialled = _Dialled()
        copies = ConfigCopies(random.Random(1), dialled)
        if own:
            copies.keep(_make_change(own))
        task = asyncio.ensure_future(copies.run())
        copies.note_told("host:1", told)
        await asyncio.sleep(5.0)
        task.cancel()
        assert bool(dialled.addresses) is asks

    run_virtual(main())


def test_what_comes_by_the_usual_ways_is_not_fetched() -> None:
    async def main() -> None:
        dialled = _Dialled()
        copies = ConfigCopies(random.Random(1), dialled)
        copies.keep(_make_change(3))
        task = asyncio.ensure_future(copies.run())
        copies.note_told("host:1", 7)
        await asyncio.sleep(copies_module.COPY_AFTER_S / 2)
        copies.keep(_make_change(7))
        await asyncio.sleep(5.0)
        task.cancel()
        assert dialled.addresses == []

    run_virtual(main())


def test_who_is_heard_no_more_is_not_asked_and_the_others_are_tried() -> None:
    async def main() -> None:
        dialled = _Dialled()
        copies = ConfigCopies(random.Random(1), dialled)
        copies.keep(_make_change(3))
        task = asyncio.ensure_future(copies.run())
        copies.note_told("silent:1", 7)
        for _ in range(20):
            await asyncio.sleep(0.25)
            copies.note_told("heard:1", 7)
            copies.note_told("older:1", 2)
        asked = dialled.addresses[:]
        task.cancel()
        assert set(asked) == {"silent:1", "heard:1"}
        assert set(asked[len(asked) // 2 :]) == {"heard:1"}

    run_virtual(main())


@pytest.mark.parametrize("status", [404, 503])
def test_a_gateway_that_has_none_is_left_alone_for_a_moment(status: int) -> None:
    async def refuse(caller: CallerConnection, request: CallerRequest) -> None:
        caller.send_whole(status, [], b"")

    async def main() -> None:
        address = await listen(refuse)
        lacking = _make_copies(_make_change(3))
        assert not await lacking._fetch(address)
        assert lacking.revision == 3

    asyncio.run(main())


def test_an_answer_that_cannot_be_read_changes_nothing() -> None:
    async def garble(caller: CallerConnection, request: CallerRequest) -> None:
        caller.send_whole(200, [], b"no copy")

    async def main() -> None:
        lacking = _make_copies(_make_change(3))
        assert not await lacking._fetch(await listen(garble))
        assert lacking.revision == 3

    asyncio.run(main())


def test_a_gateway_without_a_configuration_says_so() -> None:
    async def main() -> int:
        connection = await connect(await listen(_make_copies().answer), TIMEOUT_S)
        connection.send([b"GET /configuration HTTP/1.1\r\nHost: x\r\n\r\n"])
        status = (await connection.read_head()).status
        connection.abort()
        return status

    assert asyncio.run(main()) == 404


def test_the_peers_are_told_when_a_newer_one_is_kept() -> None:
    told: list[int] = []
    copies = _make_copies()
    copies.on_kept = lambda: told.append(copies.revision)
    for revision in (3, 2, 3, 5):
        copies.keep(_make_change(revision))
    assert told == [3, 5]


def test_a_copy_is_packed_once_and_anew_for_a_newer_one(monkeypatch: pytest.MonkeyPatch) -> None:
    packed: list[int] = []
    pack = copies_module.pack_changes

    def note_pack(changes: tuple[Change, ...]) -> bytes:
        packed.append(changes[0].revision)
        return pack(changes)

    async def ask(address: str) -> bytes:
        connection = await connect(address, TIMEOUT_S)
        connection.send([b"GET /configuration HTTP/1.1\r\nHost: x\r\n\r\n"])
        await connection.read_head()
        body = await connection.read_body()
        connection.abort()
        return body

    async def main() -> None:
        copies = _make_copies(_make_change(3))
        address = await listen(copies.answer)
        assert await ask(address) == await ask(address) == pack((_make_change(3),))
        copies.keep(_make_change(5))
        assert await ask(address) == pack((_make_change(5),))

    monkeypatch.setattr(copies_module, "pack_changes", note_pack)
    asyncio.run(main())
    assert packed == [3, 5]
