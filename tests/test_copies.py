"""Check that a gateway fetches missing store changes from a peer, and only those it misses."""

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
    """A feed with its copier, and the items that it applied."""

    feed: HallFeed
    copies: StoreCopies
    known: dict[str, bytes] = field(default_factory=dict)

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            if change.value is None:
                self.known.pop(change.key, None)
            else:
                self.known[change.key] = change.value

    def apply_snapshot(self, changes: tuple[Change, ...], revision: int) -> None:
        self.apply_changes(self.feed.select_fresh(changes))
        for key in set(self.known) - {change.key for change in changes}:
            if self.feed.newest_revision(key) <= revision:
                self.feed.record_missing(key, revision)
                del self.known[key]

    def read(self, after: int, changes: tuple[Change, ...], revision: int) -> None:
        """Apply a response of the store."""
        if after:
            self.apply_changes(self.feed.select_fresh(changes))
        else:
            self.apply_snapshot(changes, revision)
        self.feed.record_read(after, changes, revision)


def _make_gateway(revision: int = 0, dial: copies_module.Dial = connect) -> _Gateway:
    """Return a gateway that has read an empty store at `revision`, or nothing if it is 0."""
    feed = HallFeed("a", read_clock, random.Random(1), lambda changes: None)
    gateway = _Gateway(feed, StoreCopies(feed, random.Random(1), dial))
    feed.on_changes, feed.on_snapshot = gateway.apply_changes, gateway.apply_snapshot
    if revision:
        gateway.read(0, (), revision)
    return gateway


def _change(revision: int, key: str = "key", size: int = 10) -> Change:
    return Change(key, random.Random(revision).randbytes(size), revision)


@dataclass
class _RefusingDial:
    """Stand-in for the network that records dialled addresses and refuses each connection."""

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


def _copy(holder: _Gateway, receiver: _Gateway) -> None:
    """Let a gateway fetch what it misses from `holder`."""

    async def main() -> None:
        address = await listen(holder.copies.answer)
        task = asyncio.ensure_future(receiver.copies.run())
        async with asyncio.timeout(TIMEOUT_S):
            receiver.copies.record_peer_revision(address, holder.feed.revision)
            while receiver.feed.revision < holder.feed.revision:
                await asyncio.sleep(0.001)
        task.cancel()

    asyncio.run(main())


@pytest.fixture
def _no_copy_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(copies_module, "COPY_AFTER_S", 0.0)


@pytest.mark.usefixtures("_no_copy_delay")
@pytest.mark.parametrize("size", [10, 900_000, 1 << 20])
def test_newer_changes_are_fetched_in_full(size: int) -> None:
    holder, receiver = _make_gateway(3), _make_gateway(3)
    holder.read(3, (_change(7, size=size), _change(8, "other")), 8)
    _copy(holder, receiver)
    assert receiver.known == holder.known
    assert receiver.known["key"] == _change(7, size=size).value
    assert receiver.feed.revision == 8


@pytest.mark.usefixtures("_no_copy_delay")
def test_copy_includes_deletions() -> None:
    holder, receiver = _make_gateway(3), _make_gateway(3)
    for gateway in (holder, receiver):
        gateway.read(3, (_change(4), _change(5, "other")), 5)
    holder.read(5, (Change("key", None, 6),), 6)
    _copy(holder, receiver)
    assert set(receiver.known) == {"other"}


@pytest.mark.usefixtures("_no_copy_delay")
def test_gateway_that_started_later_sends_all_items() -> None:
    """A gateway does not know of keys deleted before its first read of the store.

    A copy of single changes from it would leave such keys in place, so it sends all items.
    """
    holder, receiver = _make_gateway(), _make_gateway(3)
    receiver.read(3, (_change(4, "gone before"), _change(5, "other")), 5)
    holder.read(0, (_change(5, "other"),), 9)
    holder.read(9, (_change(10),), 10)
    _copy(holder, receiver)
    assert set(receiver.known) == {"other", "key"}
    # For a later revision it sends only the newer changes.
    later = holder.feed.list_changes(9)
    assert [c.key for c in unpack_changes(later.packed)] == ["key"]


@pytest.mark.usefixtures("_no_copy_delay")
def test_new_gateway_starts_from_a_copy() -> None:
    holder, receiver = _make_gateway(3), _make_gateway()
    holder.read(3, (_change(4), Change("gone", None, 5)), 5)
    _copy(holder, receiver)
    assert receiver.known == holder.known
    assert receiver.feed.revision == 5


@pytest.mark.parametrize(
    ("own", "known_revision", "asks"), [(3, 7, True), (7, 7, False), (8, 7, False)]
)
def test_gateway_asks_only_if_it_is_behind(own: int, known_revision: int, asks: bool) -> None:
    async def main() -> None:
        dialled = _RefusingDial()
        copies = _make_gateway(own, dialled).copies
        task = asyncio.ensure_future(copies.run())
        copies.record_peer_revision("host:1", known_revision)
        await asyncio.sleep(5.0)
        task.cancel()
        assert bool(dialled.addresses) is asks

    run_virtual(main())


def test_changes_that_arrive_in_time_are_not_fetched() -> None:
    async def main() -> None:
        dialled = _RefusingDial()
        gateway = _make_gateway(3, dialled)
        task = asyncio.ensure_future(gateway.copies.run())
        gateway.copies.record_peer_revision("host:1", 7)
        await asyncio.sleep(copies_module.COPY_AFTER_S / 2)
        gateway.read(3, (_change(7),), 7)
        await asyncio.sleep(5.0)
        task.cancel()
        assert dialled.addresses == []

    run_virtual(main())


def test_silent_gateways_are_not_asked_and_others_are_retried() -> None:
    async def main() -> None:
        dialled = _RefusingDial()
        copies = _make_gateway(3, dialled).copies
        task = asyncio.ensure_future(copies.run())
        copies.record_peer_revision("silent:1", 7)
        for _ in range(20):
            await asyncio.sleep(0.25)
            copies.record_peer_revision("heard:1", 7)
            copies.record_peer_revision("older:1", 2)
        asked = dialled.addresses[:]
        task.cancel()
        assert set(asked) == {"silent:1", "heard:1"}
        assert set(asked[len(asked) // 2 :]) == {"heard:1"}

    run_virtual(main())


@pytest.mark.parametrize("status", [404, 503])
def test_error_status_fails_the_fetch(status: int) -> None:
    async def refuse(caller: CallerConnection, request: CallerRequest) -> None:
        caller.send_response(status, [], b"")

    async def main() -> None:
        address = await listen(refuse)
        receiver = _make_gateway(3)
        assert not await receiver.copies._fetch(address)
        assert receiver.feed.revision == 3

    asyncio.run(main())


UNREADABLE = (
    b"no copy",
    msgspec.msgpack.encode(StoreChanges(3, 9, b"no changes")),
    msgspec.msgpack.encode(StoreChanges(0, 9, b"no changes")),
)


@pytest.mark.parametrize("sent", UNREADABLE)
def test_unreadable_response_is_ignored(sent: bytes) -> None:
    async def send_unreadable(caller: CallerConnection, request: CallerRequest) -> None:
        caller.send_response(200, [], sent)

    async def main() -> None:
        receiver = _make_gateway(3)
        assert not await receiver.copies._fetch(await listen(send_unreadable))
        assert receiver.feed.revision == 3 and not receiver.known

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
def test_invalid_request_is_refused(revision: int, path: str, status: int) -> None:
    async def main() -> int:
        return (await _ask(await listen(_make_gateway(revision).copies.answer), path))[0]

    assert asyncio.run(main()) == status


def test_response_is_cached_until_a_change() -> None:
    holder = _make_gateway(3)
    calls: list[int] = []
    list_changes = holder.feed.list_changes

    def record_call(after: int) -> StoreChanges:
        calls.append(after)
        return list_changes(after)

    holder.feed.list_changes = record_call  # type: ignore[method-assign]

    async def main() -> None:
        address = await listen(holder.copies.answer)
        path = "/changes?after=3"
        holder.read(3, (_change(4),), 4)
        assert await _ask(address, path) == await _ask(address, path)
        assert calls == [3]
        holder.read(4, (_change(5),), 5)
        _, body = await _ask(address, path)
        message = msgspec.msgpack.decode(body, type=StoreChanges)
        assert unpack_changes(message.packed) == (_change(5),)
        assert calls == [3, 3]

    asyncio.run(main())
