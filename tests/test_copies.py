"""Check that what a gateway lacks is fetched from another one, and only where it is lacked."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import msgspec
import pytest

from dalehollow.aio import CallerConnection, CallerRequest, ClientConnection, ConnectError, connect
from dalehollow.clock import read_clock
from dalehollow.gateway import copies as copies_module
from dalehollow.gateway.copies import StoreCopies
from dalehollow.gateway.feed import HallFeed
from dalehollow.protocol.reports import Change, StoreChanges, unpack_changes
from standins.platform import listen
from tests.virtual_time import run_virtual

TIMEOUT_S = 20.0


@dataclass
class _Gateway:
    """Hold a feed with its copies, and what it took in."""

    feed: HallFeed
    copies: StoreCopies
    known: dict[str, bytes] = field(default_factory=dict)

    def take(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            if change.value is None:
                self.known.pop(change.key, None)
            else:
                self.known[change.key] = change.value

    def take_all(self, changes: tuple[Change, ...], revision: int) -> None:
        self.take(self.feed.select_fresh(changes))
        for key in set(self.known) - {change.key for change in changes}:
            if self.feed.newest_revision(key) <= revision:
                self.feed.note_missing(key, revision)
                del self.known[key]

    def read(self, after: int, changes: tuple[Change, ...], revision: int) -> None:
        """Take in what the store answered."""
        if after:
            self.take(self.feed.select_fresh(changes))
        else:
            self.take_all(changes, revision)
        self.feed.note_read(after, changes, revision)


def _make_gateway(revision: int = 0, dial: copies_module.Dial = connect) -> _Gateway:
    """Return one that has read an empty store at a revision, or nothing at all."""
    feed = HallFeed("a", read_clock, random.Random(1), lambda changes: None)
    gateway = _Gateway(feed, StoreCopies(feed, random.Random(1), dial))
    feed.on_changes, feed.on_all = gateway.take, gateway.take_all
    if revision:
        gateway.read(0, (), revision)
    return gateway


def _change(revision: int, key: str = "key", size: int = 10) -> Change:
    return Change(key, random.Random(revision).randbytes(size), revision)


@dataclass
class _Dialled:
    """Stand in for the network: note who was asked, and give no connection."""

    addresses: list[str] = field(default_factory=list)

    async def __call__(self, address: str, timeout_s: float) -> ClientConnection:
        self.addresses.append(address)
        raise ConnectError("no connection")


async def _ask(address: str, path: str) -> tuple[int, bytes]:
    connection = await connect(address, TIMEOUT_S)
    connection.send([f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()])
    status = (await connection.read_head()).status
    body = await connection.read_body()
    connection.abort()
    return status, body


def _copy(holder: _Gateway, lacking: _Gateway) -> None:
    """Have a gateway fetch what it lacks."""

    async def main() -> None:
        address = await listen(holder.copies.answer)
        task = asyncio.ensure_future(lacking.copies.run())
        async with asyncio.timeout(TIMEOUT_S):
            lacking.copies.note_told(address, holder.feed.revision)
            while lacking.feed.revision < holder.feed.revision:
                await asyncio.sleep(0.001)
        task.cancel()

    asyncio.run(main())


@pytest.fixture
def _no_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(copies_module, "COPY_AFTER_S", 0.0)


@pytest.mark.usefixtures("_no_wait")
@pytest.mark.parametrize("size", [10, 900_000, 1 << 20])
def test_what_is_newer_is_fetched_whole(size: int) -> None:
    holder, lacking = _make_gateway(3), _make_gateway(3)
    holder.read(3, (_change(7, size=size), _change(8, "other")), 8)
    _copy(holder, lacking)
    assert lacking.known == holder.known
    assert lacking.known["key"] == _change(7, size=size).value
    assert lacking.feed.revision == 8


@pytest.mark.usefixtures("_no_wait")
def test_a_key_that_is_gone_goes_with_the_copy() -> None:
    holder, lacking = _make_gateway(3), _make_gateway(3)
    for gateway in (holder, lacking):
        gateway.read(3, (_change(4), _change(5, "other")), 5)
    holder.read(5, (Change("key", None, 6),), 6)
    _copy(holder, lacking)
    assert set(lacking.known) == {"other"}


@pytest.mark.usefixtures("_no_wait")
def test_a_gateway_that_was_not_there_yet_gives_everything() -> None:
    """It knows nothing of keys that were gone before it read the store for the first time."""
    holder, lacking = _make_gateway(), _make_gateway(3)
    lacking.read(3, (_change(4, "gone before"), _change(5, "other")), 5)
    holder.read(0, (_change(5, "other"),), 9)
    holder.read(9, (_change(10),), 10)
    _copy(holder, lacking)
    assert set(lacking.known) == {"other", "key"}
    # Who has been there since then gets no more than it lacks.
    later = holder.feed.list_changes(9)
    assert [c.key for c in unpack_changes(later.packed)] == ["key"]


@pytest.mark.usefixtures("_no_wait")
def test_a_gateway_that_knows_nothing_begins_with_a_copy() -> None:
    holder, lacking = _make_gateway(3), _make_gateway()
    holder.read(3, (_change(4), Change("gone", None, 5)), 5)
    _copy(holder, lacking)
    assert lacking.known == holder.known
    assert lacking.feed.revision == 5


@pytest.mark.parametrize(("own", "told", "asks"), [(3, 7, True), (7, 7, False), (8, 7, False)])
def test_only_who_lacks_something_asks(own: int, told: int, asks: bool) -> None:
    async def main() -> None:
        dialled = _Dialled()
        copies = _make_gateway(own, dialled).copies
        task = asyncio.ensure_future(copies.run())
        copies.note_told("host:1", told)
        await asyncio.sleep(5.0)
        task.cancel()
        assert bool(dialled.addresses) is asks

    run_virtual(main())


def test_what_comes_by_the_usual_ways_is_not_fetched() -> None:
    async def main() -> None:
        dialled = _Dialled()
        gateway = _make_gateway(3, dialled)
        task = asyncio.ensure_future(gateway.copies.run())
        gateway.copies.note_told("host:1", 7)
        await asyncio.sleep(copies_module.COPY_AFTER_S / 2)
        gateway.read(3, (_change(7),), 7)
        await asyncio.sleep(5.0)
        task.cancel()
        assert dialled.addresses == []

    run_virtual(main())


def test_who_is_heard_no_more_is_not_asked_and_the_others_are_tried() -> None:
    async def main() -> None:
        dialled = _Dialled()
        copies = _make_gateway(3, dialled).copies
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
        lacking = _make_gateway(3)
        assert not await lacking.copies._fetch(address)
        assert lacking.feed.revision == 3

    asyncio.run(main())


GARBLED = (
    b"no copy",
    msgspec.msgpack.encode(StoreChanges(3, 9, b"no changes")),
    msgspec.msgpack.encode(StoreChanges(0, 9, b"no changes")),
)


@pytest.mark.parametrize("garbled", GARBLED)
def test_an_answer_that_cannot_be_read_changes_nothing(garbled: bytes) -> None:
    async def garble(caller: CallerConnection, request: CallerRequest) -> None:
        caller.send_whole(200, [], garbled)

    async def main() -> None:
        lacking = _make_gateway(3)
        assert not await lacking.copies._fetch(await listen(garble))
        assert lacking.feed.revision == 3 and not lacking.known

    asyncio.run(main())


@pytest.mark.parametrize(
    ("revision", "path", "status"),
    [
        (0, "/changes?after=3", 404),
        (5, "/changes?after=3", 200),
        (5, "/changes", 400),
        (5, "/changes?after=-1", 400),
        (5, "/changes?after=x", 400),
    ],
)
def test_a_request_that_cannot_be_answered_is_refused(
    revision: int, path: str, status: int
) -> None:
    async def main() -> int:
        return (await _ask(await listen(_make_gateway(revision).copies.answer), path))[0]

    assert asyncio.run(main()) == status


def test_an_answer_is_packed_once_and_anew_for_what_is_newer() -> None:
    holder = _make_gateway(3)
    made: list[int] = []
    list_changes = holder.feed.list_changes

    def note_list(after: int) -> StoreChanges:
        made.append(after)
        return list_changes(after)

    holder.feed.list_changes = note_list  # type: ignore[method-assign]

    async def main() -> None:
        address = await listen(holder.copies.answer)
        path = "/changes?after=3"
        holder.read(3, (_change(4),), 4)
        assert await _ask(address, path) == await _ask(address, path)
        assert made == [3]
        holder.read(4, (_change(5),), 5)
        _, body = await _ask(address, path)
        message = msgspec.msgpack.decode(body, type=StoreChanges)
        assert unpack_changes(message.packed) == (_change(5),)
        assert made == [3, 3]

    asyncio.run(main())
