"""Test the store follower, leases and duties, including during store outages."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import pytest

from dalehollow.clock import read_clock
from dalehollow.errors import PlatformError
from dalehollow.gateway import contact
from dalehollow.gateway import feed as feed_module
from dalehollow.gateway.contact import StoreContact
from dalehollow.gateway.feed import HallFeed
from dalehollow.gateway.listed import ListedUpstream, Member
from dalehollow.gateway.table import RoutingTable
from dalehollow.groups.holds import HoldLedger
from dalehollow.platform import follow, session
from dalehollow.platform.follow import Follower
from dalehollow.platform.items import Listener
from dalehollow.platform.session import Lease, Session
from dalehollow.platform.store import LeaseGoneError, StoreEra
from standins.metadata import MetadataStandIn
from standins.platform import listen
from tests.gateway_bench import TIMEOUT_S, make_config


@dataclass
class _Recorded:
    tables: list[RoutingTable] = field(default_factory=list)
    upstreams: dict[str, ListedUpstream] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    holders: dict[str, str] = field(default_factory=dict)
    # Short threshold, so that the brief outages in tests count as store outages.
    contact: StoreContact = field(default_factory=lambda: StoreContact(read_clock, 0.5))

    def listener(self) -> Listener:
        return Listener(
            on_table=self.tables.append,
            on_upstream=lambda u: self.upstreams.__setitem__(u.incarnation, u),
            on_upstream_gone=lambda incarnation: self.upstreams.pop(incarnation, None),
            on_member=lambda name, address: _set(self.members, name, address),
            on_duty=lambda duty, holder: _set(self.holders, duty, holder),
            on_plan=lambda service, plan: None,
        )


def _set(table: dict[str, Any], key: str, value: object) -> None:
    if value is None:
        table.pop(key, None)
    else:
        table[key] = value


MEMBER = Member("127.0.0.1:1", "h")


def _make_entry(**changes: object) -> bytes:
    entry = {"service": "desk", "address": "127.0.0.1:9", "zone": "h", "slots": 2, "state": "ready"}
    return msgspec.json.encode({**entry, **changes})


async def _wait_until(is_done: Callable[[], bool]) -> None:
    while not is_done():
        await asyncio.sleep(0.001)


def _run(
    scenario: Callable[[MetadataStandIn, str, _Recorded], Awaitable[None]], *, is_first: bool = True
) -> None:
    async def run() -> None:
        store = MetadataStandIn()
        address = await listen(store.handle)
        recorded = _Recorded()
        feed = HallFeed("a", read_clock, random.Random(1), lambda changes: None, recorded.contact)
        feed.is_first = lambda: is_first  # type: ignore[method-assign]
        follower = Follower(address, "", recorded.listener(), feed)
        task = asyncio.ensure_future(follower.run())
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(store, address, recorded)
        finally:
            task.cancel()

    asyncio.run(run())


@pytest.fixture(autouse=True)
def _short_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follow, "RETRY_DELAY_S", 0.005)
    monkeypatch.setattr(follow, "WATCH_WAIT_S", 0.05)
    monkeypatch.setattr(follow, "BATCH_WINDOW_S", 0.001)


def test_existing_and_changed_items_are_reported() -> None:
    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        store.put("op/config", msgspec.json.encode(make_config(3)))
        store.put("servers/a", _make_entry())
        await _wait_until(lambda: "a" in recorded.upstreams)
        assert recorded.tables[-1].version == 3
        store.put("servers/a", _make_entry(state="draining"))
        await _wait_until(lambda: recorded.upstreams["a"].is_leaving)
        store.delete("servers/a")
        await _wait_until(lambda: not recorded.upstreams)

    _run(scenario)


@pytest.mark.parametrize("fault", ["busy", "lost"])
def test_follower_recovers_after_an_outage(fault: str) -> None:
    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        store.put("servers/a", _make_entry())
        await _wait_until(lambda: "a" in recorded.upstreams)
        store.fault = fault
        calls = len(store.calls)
        await _wait_until(lambda: len(store.calls) > calls + 3)
        assert "a" in recorded.upstreams
        store.put("servers/b", _make_entry())
        store.fault = "none"
        await _wait_until(lambda: set(recorded.upstreams) == {"a", "b"})

    _run(scenario)


@pytest.mark.parametrize("is_first", [True, False])
def test_first_gateway_of_a_hall_retries_more_often(
    monkeypatch: pytest.MonkeyPatch, is_first: bool
) -> None:
    """With all gateways retrying five times a second, the enlarged site made 3,174 calls a day."""
    pauses = []
    sleep = asyncio.sleep

    async def record_pause(pause_s: float) -> None:
        pauses.append(pause_s)
        await sleep(0.001)

    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        store.put("servers/a", _make_entry())
        await _wait_until(lambda: "a" in recorded.upstreams)
        pauses.clear()
        monkeypatch.setattr(follow.asyncio, "sleep", record_pause)
        store.fault = "busy"
        retries = (follow.RETRY_DELAY_S, follow.BACKUP_RETRY_DELAY_S)
        await _wait_until(lambda: sum(pause in retries for pause in pauses) > 3)
        first, *later = [pause for pause in pauses if pause in retries]
        # A single failure may be a broken connection, so the first retry is quick.
        assert first == follow.RETRY_DELAY_S
        assert set(later) == {follow.RETRY_DELAY_S if is_first else follow.BACKUP_RETRY_DELAY_S}
        store.fault = "none"

    _run(scenario, is_first=is_first)


def test_watches_are_short_while_the_store_is_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    """A long watch sent just before a silent store recovers would block for its whole length."""
    monkeypatch.setattr(follow, "WATCH_WAIT_S", 0.2)
    monkeypatch.setattr(follow, "RESPONSE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(follow, "RETRY_RESPONSE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(follow, "RECOVERY_WAIT_S", 0.01)

    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        store.put("servers/a", _make_entry())
        await _wait_until(lambda: "a" in recorded.upstreams)
        store.fault = "silent"
        await _wait_until(lambda: len(store.unanswered_targets) >= 3)
        assert all("waitMs=10" in target for target in store.unanswered_targets[1:])
        store.put("servers/b", _make_entry())
        store.fault = "none"
        await _wait_until(lambda: "b" in recorded.upstreams)
        await _wait_until(lambda: store.watch_waits_ms[-1] == 200)

    _run(scenario)


def test_watch_and_timeout_stay_below_the_stale_limit() -> None:
    assert follow.WATCH_WAIT_S + follow.RESPONSE_TIMEOUT_S < feed_module.STALE_S < 2.75
    assert follow.RECOVERY_WAIT_S + follow.RETRY_RESPONSE_TIMEOUT_S + follow.RETRY_DELAY_S < 1.0


def test_failures_and_recovery_are_logged_with_age(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        store.put("servers/a", _make_entry())
        await _wait_until(lambda: "a" in recorded.upstreams)
        store.fault = "lost"
        await _wait_until(lambda: "failures=2 age_s=" in caplog.text)
        store.fault = "none"
        await _wait_until(lambda: "event=store_regained" in caplog.text)

    with caplog.at_level("INFO"):
        _run(scenario)
    assert "event=store_lost" in caplog.text and "event=store_still_lost" in caplog.text
    assert "after 0 bytes" in caplog.text


def test_lost_history_leads_to_a_full_read() -> None:
    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        store.put("servers/a", _make_entry())
        await _wait_until(lambda: "a" in recorded.upstreams)
        store.fault = "busy"
        store.delete("servers/a")
        store.put("servers/b", _make_entry())
        store.discard_history()
        store.fault = "none"
        await _wait_until(lambda: set(recorded.upstreams) == {"b"})

    _run(scenario)


def test_entries_that_expire_in_an_outage_may_come_back(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        store.put("servers/a", _make_entry())
        store.put("servers/b", _make_entry())
        await _wait_until(lambda: len(recorded.upstreams) == 2)
        store.fault = "busy"
        await _wait_until(lambda: recorded.contact.answer_age_s() > 0.5)
        store.delete("servers/a")
        store.delete("servers/b")
        store.fault = "none"
        calls = len(store.calls)
        await _wait_until(lambda: len(store.calls) > calls + 1)
        assert len(recorded.upstreams) == 2
        store.put("servers/a", _make_entry())
        await _wait_until(lambda: set(recorded.upstreams) == {"a"})

    monkeypatch.setattr(contact, "EXPIRY_GRACE_S", 0.3)
    _run(scenario)


def test_invalid_items_are_ignored() -> None:
    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        store.put("op/config", msgspec.json.encode(make_config(3)))
        await _wait_until(lambda: bool(recorded.tables))
        store.put("op/config", b"{}")
        store.put("servers/a", b"no json")
        store.put("servers/b", _make_entry())
        await _wait_until(lambda: "b" in recorded.upstreams)
        assert [t.version for t in recorded.tables] == [3]
        assert set(recorded.upstreams) == {"b"}

    _run(scenario)


def test_a_duty_has_one_holder_and_a_rising_fence() -> None:
    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        first, second = (Session(address, name, MEMBER) for name in ("a", "b"))
        assert await first.acquire_duty("desk")
        assert not await second.acquire_duty("desk")
        fence = first.fence("desk")
        assert fence is not None and second.fence("desk") is None
        await _wait_until(lambda: recorded.holders == {"desk": "a"})
        await first.release_duty("desk", "test")
        assert first.fence("desk") is None
        await _wait_until(lambda: not recorded.holders)
        assert await second.acquire_duty("desk")
        later = second.fence("desk")
        assert later is not None and later > fence
        await second.end()

    _run(scenario)


def _open_holds(holder: Session) -> HoldLedger:
    return HoldLedger(1, lambda change: holder.update_holds("desk", change))


def test_holders_of_a_duty_never_take_the_same_hold() -> None:
    """Guards against a late release that ends the hold of another planner."""

    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        taken: list[int] = []
        for name in ("a", "b", "a"):
            holder = Session(address, name, MEMBER)
            assert await holder.acquire_duty("desk")
            rank = await _open_holds(holder).take(range(4), 20)
            assert rank is not None
            taken.append(rank)
            await holder.release_duty("desk", "test")
        assert len(set(taken)) == 3
        # An entry that cannot be decoded counts as empty.
        store.put("dalehollow/holds/desk", b"no json")
        assert await holder.acquire_duty("desk")
        assert await _open_holds(holder).take(range(4), 20) is not None
        await holder.release_duty("desk", "test")

    _run(scenario)


def test_replaced_holder_takes_no_hold() -> None:
    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        first, second = (Session(address, n, MEMBER, clock=lambda: 100.0) for n in ("a", "b"))
        assert await first.acquire_duty("desk")
        store.end_all_leases()
        assert await second.acquire_duty("desk")
        assert first.fence("desk") is not None
        assert await _open_holds(first).take(range(4), 20) is None
        assert await _open_holds(second).take(range(4), 20) == 0
        await second.release_duty("desk", "test")

    _run(scenario)


def test_a_paused_holder_sees_that_its_lease_expired() -> None:
    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        now_s = 100.0
        holder = Session(address, "a", MEMBER, clock=lambda: now_s)
        assert await holder.acquire_duty("desk")
        assert holder.fence("desk") is not None
        now_s += session.DUTY_TIMES.ttl_s
        assert holder.fence("desk") is None

    _run(scenario)


def test_a_duty_whose_lease_expired_is_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    times = session.LeaseTimes(ttl_s=5.0, renew_s=0.01, margin_s=0.1)
    monkeypatch.setattr(session, "DUTY_TIMES", times)

    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        holder = Session(address, "a", MEMBER)
        assert await holder.acquire_duty("desk")
        store.end_all_leases()
        await _wait_until(lambda: holder.fence("desk") is None)

    _run(scenario)


def test_a_process_is_listed_again_after_its_lease_expired(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    times = session.LeaseTimes(ttl_s=5.0, renew_s=0.01, margin_s=0.1)
    monkeypatch.setattr(session, "MEMBER_TIMES", times)

    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        member = Session(address, "a", MEMBER)
        task = asyncio.ensure_future(member.run())
        await _wait_until(lambda: recorded.members == {"a": MEMBER})
        store.end_all_leases()
        await _wait_until(lambda: not recorded.members)
        await _wait_until(lambda: recorded.members == {"a": MEMBER})
        task.cancel()

    _run(scenario)


def test_a_process_that_stops_does_not_register_again() -> None:
    """Guards against gateways that stay listed after their end, because their entry vanished."""

    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        member = Session(address, "a", MEMBER)
        task = asyncio.ensure_future(member.run())
        await _wait_until(lambda: recorded.members == {"a": MEMBER})
        await member.end()
        await _wait_until(lambda: not recorded.members)
        member.record_unlisted()
        await _wait_until(lambda: task.done() or "dalehollow/members/a" in store.items)
        assert "dalehollow/members/a" not in store.items

    _run(scenario)


@pytest.mark.parametrize("path", ["/kv-lease", "/kv-txn"])
def test_a_process_that_stops_while_it_registers_is_not_listed_after_it(path: str) -> None:
    """Guards against an entry that stays for the time of its lease after the process has ended."""

    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        held, released = asyncio.Event(), asyncio.Event()
        answer = store._answer

        async def hold_answer(
            method: bytes, called: str, query: dict[str, str], body: dict[str, Any]
        ) -> tuple[int, Any]:
            if called == path and not held.is_set():
                held.set()
                await released.wait()
            return await answer(method, called, query, body)

        store._answer = hold_answer  # type: ignore[method-assign]
        member = Session(address, "a", MEMBER)
        task = asyncio.ensure_future(member.run())
        await held.wait()
        ending = asyncio.ensure_future(member.end())
        await asyncio.sleep(0)
        released.set()
        await ending
        await _wait_until(lambda: task.done() or "dalehollow/members/a" in store.items)
        assert "dalehollow/members/a" not in store.items

    _run(scenario)


def test_a_duty_is_held_despite_slow_responses(monkeypatch: pytest.MonkeyPatch) -> None:
    """If each slow response delays the next renewal, the duty repeatedly expires at its holder."""
    now_s = 100.0
    valid_at_answers = []

    class _SlowStore:
        era = StoreEra()

        async def renew_lease(self, lease: int, timeout_s: float) -> None:
            nonlocal now_s
            now_s += 0.3
            valid_at_answers.append(held.is_valid())
            if len(valid_at_answers) == 10:
                raise LeaseGoneError("end of test")

        def close(self) -> None:
            pass

    async def sleep(pause_s: float) -> None:
        nonlocal now_s
        now_s += pause_s

    async def scenario() -> None:
        holder = Session("127.0.0.1:1", "a", MEMBER, clock=lambda: now_s)
        with monkeypatch.context() as patch:
            patch.setattr(session.asyncio, "sleep", sleep)
            await holder._keep_duty("desk", held)

    held = Lease(_SlowStore(), "k", b"a", session.DUTY_TIMES, lambda: now_s)  # type: ignore[arg-type]
    held._id, held._valid_until_s = 1, now_s + 0.8
    asyncio.run(scenario())
    assert valid_at_answers == [True] * 10


def test_changes_missed_in_an_outage_are_read_as_current_items(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The history holds every version of each item and may grow while it is read."""
    monkeypatch.setattr(follow, "HISTORY_MAX_AGE_S", 0.1)

    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        store.put("op/config", msgspec.json.encode(make_config(1)))
        store.put("servers/a", _make_entry())
        await _wait_until(lambda: "a" in recorded.upstreams)
        store.fault = "busy"
        # The first failed call is the watch already in flight.
        calls = len(store.calls)
        await _wait_until(lambda: len(store.calls) > calls + 1)
        for version in range(2, 9):
            store.put("op/config", msgspec.json.encode(make_config(version)))
        store.delete("servers/a")
        store.put("servers/b", _make_entry())
        await asyncio.sleep(0.1)
        # A call that was chosen before the data counted as old must have failed too.
        calls = len(store.calls)
        await _wait_until(lambda: len(store.calls) > calls + 1)
        store.fault = "none"
        monkeypatch.setattr(contact, "EXPIRY_GRACE_S", 0.0)
        await _wait_until(lambda: set(recorded.upstreams) == {"b"})
        assert [t.version for t in recorded.tables] == [1, 8]

    _run(scenario)


def test_an_invalid_era_is_ignored(caplog: pytest.LogCaptureFixture) -> None:
    era = StoreEra()
    assert era.observe(None) == 0
    assert era.observe(b"3") == 3
    for header in (None, b"", b"no number", b"-4", b"3.5", b"9" * 30, b"\xb2", b"99999999999"):
        assert era.observe(header) == 3
    # Each invalid era is logged once; an empty one counts as missing.
    assert caplog.text.count("event=store_era_unusable") == 6


def test_a_response_of_an_earlier_era_is_rejected() -> None:
    """Its revisions would mask those that the restored store assigns again."""
    era = StoreEra()
    era.observe(b"3")
    with pytest.raises(PlatformError, match="era 2 after 3"):
        era.observe(b"2")
    assert era.observe(b"3") == 3


def test_a_lease_expires_when_the_store_is_restored() -> None:
    """A restored store may assign its revision, the fence, again to another holder."""

    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        first = Session(address, "a", MEMBER)
        store.back_up()
        assert await first.acquire_duty("desk")
        fence = first.fence("desk")
        store.restore()
        await _wait_until(lambda: first.fence("desk") is None)
        second = Session(address, "b", MEMBER)
        assert await second.acquire_duty("desk")
        later = second.fence("desk")
        assert fence is not None and later is not None and later > fence

    _run(scenario)


def test_items_lost_in_a_restore_are_gone_and_reused_revisions_are_accepted() -> None:
    async def scenario(store: MetadataStandIn, address: str, recorded: _Recorded) -> None:
        store.put("op/config", msgspec.json.encode(make_config(3)))
        await _wait_until(lambda: bool(recorded.tables))
        store.back_up()
        store.put("op/config", msgspec.json.encode(make_config(4)))
        for number in range(5):
            store.put(f"dalehollow/plans/{number}", b"{}")
        store.put("servers/lost", _make_entry())
        await _wait_until(lambda: "lost" in recorded.upstreams)
        store.restore()
        # All revisions from here on are below those already seen.
        store.put("op/config", msgspec.json.encode(make_config(5)))
        store.put("servers/new", _make_entry())
        await _wait_until(lambda: "new" in recorded.upstreams)
        assert [t.version for t in recorded.tables] == [3, 4, 5]
        await _wait_until(lambda: set(recorded.upstreams) == {"new"})

    _run(scenario)
