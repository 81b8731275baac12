"""Test the transfer of keys between incarnations, with a platform fault at each call."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import pytest
from result import Ok

from dalehollow.once import COMPLETE_FROM_START_MS, KeyRecord, KeyState, StoredAnswer
from dalehollow.once.handover import (
    MAX_SNAPSHOT_BYTES,
    Claim,
    Snapshot,
    claim_incarnation,
    get_complete_from_ms,
    mark_running_unknown,
    store_snapshot,
)
from tests.fake_keyvalue import FakeKeyValue

MEMBER = "gate-1@127.0.0.1:1"
ANSWER = StoredAnswer(200, {}, b"paid")
SNAPSHOT = Snapshot(
    COMPLETE_FROM_START_MS, {"gate": 5}, {"gate": {"k": KeyRecord("f", KeyState.DONE, 9, ANSWER)}}
)
STARTED_MS, BOUND_MS = 1_000, 50


@dataclass
class FaultAtCall(FakeKeyValue):
    """Inject the fault `how` into the call with index `at`."""

    at: int = -1
    how: str = ""
    calls: int = 0

    def get(self, key: str, **kwargs: object):  # type: ignore[no-untyped-def,override]
        return self._with_fault(lambda: super(FaultAtCall, self).get(key))

    def swap(self, key: str, value: bytes, **kwargs: object):  # type: ignore[no-untyped-def,override]
        return self._with_fault(lambda: super(FaultAtCall, self).swap(key, value, **kwargs))  # type: ignore[arg-type]

    def _with_fault(self, call: Callable[[], object]) -> object:
        self.fault = self.how if self.calls == self.at else ""
        self.calls += 1
        answer = call()
        self.fault = ""
        return answer


def claim(kv: FakeKeyValue) -> Claim:
    return claim_incarnation(kv, MEMBER).unwrap()


def test_first_incarnation_has_no_earlier_keys() -> None:
    first = claim(FakeKeyValue())
    assert first.is_first and first.snapshot is None
    assert get_complete_from_ms(first, "gate", STARTED_MS, BOUND_MS) == COMPLETE_FROM_START_MS


def test_after_a_crash_earlier_keys_may_have_run() -> None:
    kv = FakeKeyValue()
    claim(kv)
    second = claim(kv)
    assert not second.is_first and second.snapshot is None
    assert get_complete_from_ms(second, "gate", STARTED_MS, BOUND_MS) == STARTED_MS + BOUND_MS


def test_after_a_graceful_shutdown_the_keys_are_known() -> None:
    kv = FakeKeyValue()
    store_snapshot(kv, MEMBER, claim(kv).mark, SNAPSHOT).unwrap()
    second = claim(kv)
    assert second.snapshot == SNAPSHOT
    assert get_complete_from_ms(second, "gate", STARTED_MS, BOUND_MS) == 5
    assert get_complete_from_ms(second, "other", STARTED_MS, BOUND_MS) == COMPLETE_FROM_START_MS


def test_a_crash_after_a_graceful_shutdown_invalidates_the_snapshot() -> None:
    kv = FakeKeyValue()
    store_snapshot(kv, MEMBER, claim(kv).mark, SNAPSHOT).unwrap()
    claim(kv)
    assert claim(kv).snapshot is None


def test_a_replaced_incarnation_cannot_store_a_snapshot() -> None:
    kv = FakeKeyValue()
    old = claim(kv)
    claim(kv)
    assert store_snapshot(kv, MEMBER, old.mark, SNAPSHOT).is_err()
    assert claim(kv).snapshot is None


def test_corrupt_snapshot_is_not_used() -> None:
    kv = FakeKeyValue()
    store_snapshot(kv, MEMBER, claim(kv).mark, SNAPSHOT).unwrap()
    entry = kv.items[f"keys/{MEMBER}"]
    kv.items[f"keys/{MEMBER}"] = type(entry)(entry.value[:-1] + b"x", entry.revision)
    assert claim(kv).snapshot is None


@pytest.mark.parametrize("how", ["down", "lose_answer", "lose_call"])
@pytest.mark.parametrize("at", range(6))
def test_platform_fault_at_each_call_of_a_shutdown_and_restart(at: int, how: str) -> None:
    """After any fault the successor has all keys or treats earlier ones as possibly run."""
    kv = FaultAtCall()
    first = claim(kv)
    kv.calls, kv.at, kv.how = 0, at, how
    store_snapshot(kv, MEMBER, first.mark, SNAPSHOT)
    second = claim_incarnation(kv, MEMBER)
    successor = second.ok_value if isinstance(second, Ok) else None
    if successor is not None and successor.snapshot is not None:
        assert successor.snapshot == SNAPSHOT
        return
    assert get_complete_from_ms(successor, "gate", STARTED_MS, BOUND_MS) == STARTED_MS + BOUND_MS


def test_large_snapshots_drop_answers_but_never_single_keys() -> None:
    kv = FakeKeyValue()
    answer = StoredAnswer(200, {}, b"x" * 2_000)
    many = {f"k{i}": KeyRecord("f" * 64, KeyState.DONE, 9, answer) for i in range(1_000)}
    left = store_snapshot(kv, MEMBER, claim(kv).mark, Snapshot(0, {"gate": 5}, {"gate": many}))
    assert left.unwrap() < MAX_SNAPSHOT_BYTES
    found = claim(kv).snapshot
    assert found is not None and set(found.records["gate"]) == set(many)
    assert all(record.answer is None for record in found.records["gate"].values())
    huge = {f"{i:0100d}": KeyRecord("f" * 64, KeyState.DONE, 9) for i in range(10_000)}
    mark = claim(kv).mark
    assert store_snapshot(kv, MEMBER, mark, Snapshot(0, {"gate": 5}, {"gate": huge})).is_err()
    assert claim(kv).snapshot is None


def test_running_keys_are_transferred_as_unknown() -> None:
    resolved = mark_running_unknown({"k": KeyRecord("f", KeyState.RUNNING, 9)})
    assert resolved["k"].state is KeyState.UNKNOWN
