"""Test the hand-over of keys between incarnations, with the platform failing at each call."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import pytest
from result import Ok

from dalehollow.once import NEVER_MS, KeptAnswer, KeyRecord, KeyState
from dalehollow.once.handover import (
    MAX_SNAPSHOT_BYTES,
    Claim,
    Snapshot,
    claim_incarnation,
    complete_from,
    leave_snapshot,
    settle_running,
)
from tests.fake_keyvalue import FakeKeyValue

MEMBER = "gate-1@127.0.0.1:1"
ANSWER = KeptAnswer(200, {}, b"paid")
SNAPSHOT = Snapshot(
    NEVER_MS, {"gate": 5}, {"gate": {"k": KeyRecord("f", KeyState.DONE, 9, ANSWER)}}
)
STARTED_MS, BOUND_MS = 1_000, 50


@dataclass
class FailingAt(FakeKeyValue):
    """Fail just the call with this number, in this way."""

    at: int = -1
    how: str = ""
    calls: int = 0

    def get(self, key: str, **kwargs: object):  # type: ignore[no-untyped-def,override]
        return self._with_fault(lambda: super(FailingAt, self).get(key))

    def swap(self, key: str, value: bytes, **kwargs: object):  # type: ignore[no-untyped-def,override]
        return self._with_fault(lambda: super(FailingAt, self).swap(key, value, **kwargs))  # type: ignore[arg-type]

    def _with_fault(self, call: Callable[[], object]) -> object:
        self.fault = self.how if self.calls == self.at else ""
        self.calls += 1
        answer = call()
        self.fault = ""
        return answer


def claim(kv: FakeKeyValue) -> Claim:
    return claim_incarnation(kv, MEMBER).unwrap()


def test_first_incarnation_knows_that_nothing_ran() -> None:
    first = claim(FakeKeyValue())
    assert first.is_first and first.snapshot is None
    assert complete_from(first, "gate", STARTED_MS, BOUND_MS) == NEVER_MS


def test_after_a_crash_earlier_keys_are_doubted() -> None:
    kv = FakeKeyValue()
    claim(kv)
    second = claim(kv)
    assert not second.is_first and second.snapshot is None
    assert complete_from(second, "gate", STARTED_MS, BOUND_MS) == STARTED_MS + BOUND_MS


def test_after_a_planned_stop_the_keys_are_known() -> None:
    kv = FakeKeyValue()
    leave_snapshot(kv, MEMBER, claim(kv).mark, SNAPSHOT).unwrap()
    second = claim(kv)
    assert second.snapshot == SNAPSHOT
    assert complete_from(second, "gate", STARTED_MS, BOUND_MS) == 5
    assert complete_from(second, "other", STARTED_MS, BOUND_MS) == NEVER_MS


def test_a_crash_after_a_planned_stop_makes_the_snapshot_worthless() -> None:
    kv = FakeKeyValue()
    leave_snapshot(kv, MEMBER, claim(kv).mark, SNAPSHOT).unwrap()
    claim(kv)
    assert claim(kv).snapshot is None


def test_a_replaced_incarnation_leaves_nothing() -> None:
    kv = FakeKeyValue()
    old = claim(kv)
    claim(kv)
    assert leave_snapshot(kv, MEMBER, old.mark, SNAPSHOT).is_err()
    assert claim(kv).snapshot is None


def test_spoilt_snapshot_is_not_used() -> None:
    kv = FakeKeyValue()
    leave_snapshot(kv, MEMBER, claim(kv).mark, SNAPSHOT).unwrap()
    entry = kv.items[f"keys/{MEMBER}"]
    kv.items[f"keys/{MEMBER}"] = type(entry)(entry.value[:-1] + b"x", entry.revision)
    assert claim(kv).snapshot is None


@pytest.mark.parametrize("how", ["down", "lose_answer", "lose_call"])
@pytest.mark.parametrize("at", range(6))
def test_platform_fails_at_one_call_of_a_stop_and_a_start(at: int, how: str) -> None:
    """Whatever fails, the successor knows all keys or doubts them; it never believes in none."""
    kv = FailingAt()
    first = claim(kv)
    kv.calls, kv.at, kv.how = 0, at, how
    leave_snapshot(kv, MEMBER, first.mark, SNAPSHOT)
    second = claim_incarnation(kv, MEMBER)
    successor = second.ok_value if isinstance(second, Ok) else None
    if successor is not None and successor.snapshot is not None:
        assert successor.snapshot == SNAPSHOT
        return
    assert complete_from(successor, "gate", STARTED_MS, BOUND_MS) == STARTED_MS + BOUND_MS


def test_large_tables_drop_answers_first_and_keys_never_in_part() -> None:
    kv = FakeKeyValue()
    answer = KeptAnswer(200, {}, b"x" * 2_000)
    many = {f"k{i}": KeyRecord("f" * 64, KeyState.DONE, 9, answer) for i in range(1_000)}
    left = leave_snapshot(kv, MEMBER, claim(kv).mark, Snapshot(0, {"gate": 5}, {"gate": many}))
    assert left.unwrap() < MAX_SNAPSHOT_BYTES
    found = claim(kv).snapshot
    assert found is not None and set(found.records["gate"]) == set(many)
    assert all(record.answer is None for record in found.records["gate"].values())
    huge = {f"{i:0100d}": KeyRecord("f" * 64, KeyState.DONE, 9) for i in range(10_000)}
    mark = claim(kv).mark
    assert leave_snapshot(kv, MEMBER, mark, Snapshot(0, {"gate": 5}, {"gate": huge})).is_err()
    assert claim(kv).snapshot is None


def test_running_keys_are_handed_over_as_unknown() -> None:
    settled = settle_running({"k": KeyRecord("f", KeyState.RUNNING, 9)})
    assert settled["k"].state is KeyState.UNKNOWN
