"""Test the queue order and the limits of the gate."""

from __future__ import annotations

import threading

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dalehollow.clock import read_clock
from dalehollow.errors import Reason
from dalehollow.limits import Gate, GateLimits
from dalehollow.verdict import Verdict

LONG_DEADLINE_S = 60.0


def make_gate(slots: int = 1, urgent_extra: int = 0, queue_limit: int = 8) -> Gate:
    return Gate(GateLimits(slots, urgent_extra, queue_limit), read_clock)


def wait_until_waiting(gate: Gate, count: int) -> None:
    while gate.load().waiting != count:
        threading.Event().wait(0.001)


def enqueue(gate: Gate, priority: str, order: list[str], name: str) -> threading.Thread:
    def run() -> None:
        outcome = gate.acquire(priority, read_clock() + LONG_DEADLINE_S)
        order.append(name if outcome.is_ok() else f"{name}:{outcome.unwrap_err().reason}")
        if outcome.is_ok():
            gate.release()

    before = gate.load().waiting
    thread = threading.Thread(target=run)
    thread.start()
    wait_until_waiting(gate, before + 1)
    return thread


def test_queue_is_ordered_by_priority_then_arrival() -> None:
    gate, order = make_gate(), list[str]()
    gate.acquire("normal", read_clock() + LONG_DEADLINE_S).unwrap()
    threads = [
        enqueue(gate, priority, order, name)
        for name, priority in [
            ("b", "background"),
            ("n1", "normal"),
            ("u", "urgent"),
            ("n2", "normal"),
        ]
    ]
    gate.release()
    for thread in threads:
        thread.join()
    assert order == ["u", "n1", "n2", "b"]


def test_full_queue_refuses_at_once_as_not_run() -> None:
    gate = make_gate(queue_limit=0)
    gate.acquire("normal", read_clock() + LONG_DEADLINE_S).unwrap()
    failure = gate.acquire("normal", read_clock() + LONG_DEADLINE_S).unwrap_err()
    assert (failure.reason, failure.verdict) == (Reason.QUEUE_FULL, Verdict.NOT_RUN)
    assert failure.retry_after_ms is not None and failure.retry_after_ms > 0


def test_urgent_displaces_the_newest_of_the_lowest_class() -> None:
    gate, order = make_gate(queue_limit=2), list[str]()
    gate.acquire("normal", read_clock() + LONG_DEADLINE_S).unwrap()
    first = enqueue(gate, "background", order, "b1")
    second = enqueue(gate, "background", order, "b2")
    urgent = threading.Thread(target=lambda: gate.acquire("urgent", read_clock() + LONG_DEADLINE_S))
    urgent.start()
    second.join()
    assert order == ["b2:displaced"]
    gate.release()
    urgent.join()
    gate.release()
    first.join()
    assert order == ["b2:displaced", "b1"]


def test_request_is_refused_if_its_expected_wait_exceeds_the_deadline() -> None:
    gate = make_gate()
    gate.acquire("normal", read_clock() + LONG_DEADLINE_S).unwrap()
    gate.release(service_ms=10_000)
    gate.acquire("normal", read_clock() + LONG_DEADLINE_S).unwrap()
    order: list[str] = []
    waiting = enqueue(gate, "normal", order, "n")
    failure = gate.acquire("normal", read_clock() + 5.0).unwrap_err()
    assert failure.reason is Reason.QUEUE_FULL
    gate.release()
    waiting.join()


def test_background_is_not_starved() -> None:
    gate, order = make_gate(queue_limit=100), list[str]()
    gate.acquire("normal", read_clock() + LONG_DEADLINE_S).unwrap()
    threads = [enqueue(gate, "background", order, "b")]
    threads += [enqueue(gate, "urgent", order, "u") for _ in range(40)]
    gate.release()
    for thread in threads:
        thread.join()
    assert order.index("b") <= 16


def test_closed_gate_refuses_new_and_serves_waiting() -> None:
    gate, order = make_gate(), list[str]()
    gate.acquire("normal", read_clock() + LONG_DEADLINE_S).unwrap()
    waiting = enqueue(gate, "normal", order, "n")
    gate.close()
    assert (
        gate.acquire("urgent", read_clock() + LONG_DEADLINE_S).unwrap_err().reason is Reason.LEAVING
    )
    gate.release()
    waiting.join()
    assert order == ["n"]


@pytest.mark.parametrize("urgent_extra", [0, 2])
@settings(max_examples=60, deadline=None)
@given(data=st.data())
def test_running_requests_never_exceed_the_limit(urgent_extra: int, data: st.DataObject) -> None:
    slots = data.draw(st.integers(1, 4))
    gate = make_gate(slots, urgent_extra, queue_limit=0)
    running = 0
    for step in data.draw(st.lists(st.sampled_from(["urgent", "normal", "release"]), max_size=40)):
        if step == "release":
            if running:
                gate.release(1.0)
                running -= 1
            continue
        bound = slots + (urgent_extra if step == "urgent" else 0)
        granted = gate.acquire(step, read_clock() + LONG_DEADLINE_S).is_ok()
        assert granted == (running < bound)
        running += granted
        assert gate.load().running == running <= slots + urgent_extra
