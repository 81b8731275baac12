"""Test owners and key tables against a reference model that counts every run of every key."""

from __future__ import annotations

import uuid

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from dalehollow.errors import Reason
from dalehollow.once import (
    COMPLETE_FROM_START_MS,
    Generation,
    KeyTable,
    KeyTableLimits,
    StoredAnswer,
    extend_generations,
    find_owner,
    read_key_created_at_ms,
)
from dalehollow.verdict import Verdict

LIMITS = KeyTableLimits(capacity=4, answer_bytes=10_000, window_ms=1_000, clock_bound_ms=50)
ANSWER = StoredAnswer(200, {"content-type": "text/plain"}, b"paid")


def make_uuid7(key_created_at_ms: int, tail: int = 1) -> str:
    return str(uuid.UUID(int=(key_created_at_ms << 80) | (7 << 76) | (2 << 62) | tail))


@pytest.mark.parametrize(
    ("key", "key_created_at_ms"),
    [
        (make_uuid7(1_700_000_000_123), 1_700_000_000_123),
        (make_uuid7(5).upper(), 5),
        (str(uuid.UUID(int=4, version=4)), None),
        ("pay-8841", None),
        (make_uuid7(5).replace("-", ""), None),
        ("", None),
    ],
)
def test_key_creation_time(key: str, key_created_at_ms: int | None) -> None:
    assert read_key_created_at_ms(key) == key_created_at_ms


def test_finished_key_returns_its_first_answer() -> None:
    table = KeyTable(LIMITS, COMPLETE_FROM_START_MS)
    assert table.begin("k", "f", None, 10).unwrap() is None
    table.finish("k", ANSWER)
    assert table.begin("k", "f", None, 20).unwrap() == ANSWER


def test_key_for_another_request_is_refused() -> None:
    table = KeyTable(LIMITS, COMPLETE_FROM_START_MS)
    table.begin("k", "f", None, 10).unwrap()
    failure = table.begin("k", "other", None, 20).unwrap_err()
    assert (failure.reason, failure.verdict) == (Reason.KEY_REUSED, Verdict.NOT_RUN)


def test_full_table_refuses_and_evicts_nothing() -> None:
    table = KeyTable(LIMITS, COMPLETE_FROM_START_MS)
    for idx in range(4):
        table.begin(f"k{idx}", "f", None, 10).unwrap()
        table.finish(f"k{idx}", ANSWER)
    failure = table.begin("new", "f", None, 20).unwrap_err()
    assert (failure.reason, failure.verdict) == (Reason.KEY_TABLE_FULL, Verdict.NOT_RUN)
    assert table.begin("k0", "f", None, 30).unwrap() == ANSWER


@pytest.mark.parametrize(
    ("key_created_at_ms", "now_ms", "reason"),
    [
        (900, 1_100, Reason.KEY_OUTCOME_UNKNOWN),
        (1_040, 1_100, Reason.KEY_OUTCOME_UNKNOWN),
        (1_051, 1_100, None),
        (None, 1_100, Reason.KEY_OUTCOME_UNKNOWN),
        (None, 2_051, None),
        (1_200, 1_100, Reason.KEY_FROM_FUTURE),
        (1_060, 2_100, Reason.KEY_EXPIRED),
    ],
)
def test_new_incarnation(key_created_at_ms: int | None, now_ms: int, reason: Reason | None) -> None:
    table = KeyTable(LIMITS, complete_from_ms=1_050)
    begun = table.begin("k", "f", key_created_at_ms, now_ms)
    assert (begun.unwrap_err().reason if begun.is_err() else None) is reason


def test_generations_split_keys_by_creation_time() -> None:
    first = extend_generations(
        (), ("a", "b"), applied_at_ms=0, horizon_ms=100, clock_bound_ms=5, window_ms=50
    )
    both = extend_generations(
        first, ("c",), applied_at_ms=1_000, horizon_ms=100, clock_bound_ms=5, window_ms=50
    )
    assert both[1] == Generation(1_110, ("c",))
    old = find_owner(both, "k", 1_109, now_ms=2_000, retention_ms=60)
    new = find_owner(both, "k", 1_110, now_ms=2_000, retention_ms=60)
    assert old is not None and old.member in ("a", "b")
    assert new is not None and new.member == "c"


def test_owner_of_key_without_timestamp_is_ambiguous_while_the_old_owner_keeps_it() -> None:
    generations = (Generation(0, ("a",)), Generation(1_000, ("c",)))
    during = find_owner(generations, "k", None, now_ms=1_030, retention_ms=60)
    after = find_owner(generations, "k", None, now_ms=1_060, retention_ms=60)
    assert during is not None and not during.is_unambiguous
    assert after is not None and after.is_unambiguous


class AtMostOnce(RuleBasedStateMachine):
    """Drive owners through restarts and configuration changes, counting the runs of each key.

    Old owners keep admitting under their last confirmed configuration, as partitioned ones do.
    """

    HORIZON_MS = 300
    BOUND_MS = 50
    WINDOW_MS = 1_000
    seeded_fault = ""

    @initialize()
    def begin(self) -> None:
        self.now_ms = 10_000
        self.generations = self.extend((), ("a", "b", "c"))
        self.known = {m: (self.generations, self.now_ms) for m in "abcd"}
        self.tables = {m: KeyTable(self.limits(), COMPLETE_FROM_START_MS) for m in "abcd"}
        self.runs: dict[str, int] = {}
        self.last_run_ms: dict[str, int] = {}
        self.sent: list[str] = []

    def limits(self) -> KeyTableLimits:
        return KeyTableLimits(1_000, 100_000, self.WINDOW_MS, self.BOUND_MS)

    def extend(
        self, generations: tuple[Generation, ...], members: tuple[str, ...]
    ) -> tuple[Generation, ...]:
        horizon_ms = -2 * self.BOUND_MS if self.seeded_fault == "no_horizon" else self.HORIZON_MS
        return extend_generations(
            generations,
            members,
            applied_at_ms=self.now_ms,
            horizon_ms=horizon_ms,
            clock_bound_ms=self.BOUND_MS,
            window_ms=self.WINDOW_MS,
        )

    @rule(step_ms=st.integers(1, 600))
    def pass_time(self, step_ms: int) -> None:
        self.now_ms += step_ms

    @rule(members=st.sampled_from([("a",), ("b", "c"), ("a", "d"), ("a", "b", "c")]))
    def change(self, members: tuple[str, ...]) -> None:
        self.generations = self.extend(self.generations, members)

    @rule(member=st.sampled_from("abcd"))
    def confirm_configuration(self, member: str) -> None:
        self.known[member] = (self.generations, self.now_ms)

    @rule(member=st.sampled_from("abcd"))
    def restart(self, member: str) -> None:
        complete_from_ms = self.now_ms + self.BOUND_MS
        if self.seeded_fault == "forget_incarnation":
            complete_from_ms = COMPLETE_FROM_START_MS
        self.tables[member] = KeyTable(self.limits(), complete_from_ms)

    @rule(member=st.sampled_from("abcd"))
    def restart_as_planned(self, member: str) -> None:
        """Pass the complete table to the next incarnation."""
        table = self.tables[member]
        successor = KeyTable(self.limits(), table.complete_from_ms)
        if self.seeded_fault != "empty_handover":
            successor.load(table.records())
        self.tables[member] = successor

    @rule(
        age_ms=st.integers(-40, 900),
        has_timestamp=st.booleans(),
        outcome=st.sampled_from(["done", "lost", "not_run"]),
    )
    def request(self, age_ms: int, has_timestamp: bool, outcome: str) -> None:
        number = len(self.sent)
        key = make_uuid7(self.now_ms - age_ms, number + 1) if has_timestamp else f"undated-{number}"
        self.sent.append(key)
        self.send_everywhere(key, outcome)

    @rule(pick=st.integers(0, 10), outcome=st.sampled_from(["done", "lost", "not_run"]))
    def retry(self, pick: int, outcome: str) -> None:
        if self.sent:
            self.send_everywhere(self.sent[-1 - pick % len(self.sent)], outcome)

    def send_everywhere(self, key: str, outcome: str) -> None:
        """Send to each member, like retries through entries with different configurations."""
        for member in "abcd":
            self.send(member, key, outcome)

    def send(self, member: str, key: str, outcome: str) -> None:
        """Send like an entry with this member's configuration, which may be outdated."""
        generations, confirmed_ms = self.known[member]
        key_created_at_ms = read_key_created_at_ms(key)
        owner = find_owner(
            generations,
            key,
            key_created_at_ms,
            now_ms=self.now_ms,
            retention_ms=self.WINDOW_MS + 2 * self.BOUND_MS,
        )
        if owner is None or owner.member != member or not owner.is_unambiguous:
            return
        effective_ms = self.now_ms if key_created_at_ms is None else key_created_at_ms
        if self.seeded_fault != "no_confirmation" and effective_ms > confirmed_ms + self.HORIZON_MS:
            return
        table = self.tables[member]
        begun = table.begin(key, "f", key_created_at_ms, self.now_ms)
        if begun.is_err() or begun.unwrap() is not None:
            return
        if outcome == "not_run":
            table.discard(key)
            return
        self.runs.setdefault(key, 0)
        if key_created_at_ms is None:
            self.count_run_without_timestamp(key)
        else:
            self.runs[key] += 1
        if outcome == "done":
            table.finish(key, ANSWER)
        else:
            table.mark_unknown(key)

    def count_run_without_timestamp(self, key: str) -> None:
        """Count a run; keys without a timestamp run at most once within a window."""
        is_recent = self.now_ms - self.last_run_ms.get(key, -self.WINDOW_MS) < self.WINDOW_MS
        self.runs[key] = self.runs[key] + 1 if is_recent else 1
        self.last_run_ms[key] = self.now_ms

    @invariant()
    def at_most_once(self) -> None:
        for key, count in getattr(self, "runs", {}).items():
            assert count <= 1, f"{key} ran {count} times"


AtMostOnce.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestAtMostOnce = AtMostOnce.TestCase


@pytest.mark.parametrize(
    "fault", ["no_horizon", "forget_incarnation", "no_confirmation", "empty_handover"]
)
def test_seeded_fault_is_found(fault: str) -> None:
    class Faulty(AtMostOnce):
        seeded_fault = fault

    Faulty.TestCase.settings = settings(
        max_examples=3_000,
        stateful_step_count=30,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[Phase.generate],
    )
    with pytest.raises(AssertionError, match="ran 2 times"):
        Faulty.TestCase("runTest").runTest()
