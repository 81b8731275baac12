"""Prove at most once and true refusals: every fault at every step, with real processes."""

from __future__ import annotations

import json
import re
import signal
import threading
import time
import uuid
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from dalehollow.verdict import Step
from standins.processes import Launcher
from tests.payment_bench import (
    ASK_AGAIN_TIMES,
    DEADLINE_MS,
    PATIENT_MS,
    Outcome,
    PaymentBench,
    make_dated_key,
    wait_for,
)

FEATURE = Path(__file__).parent / "features" / "at_most_once.feature"
FAULTS = (
    "entry_stopped",
    "entry_killed",
    "entry_frozen",
    "sidecar_killed",
    "sidecar_frozen",
    "sidecar_restarted",
    "connection_cut",
    "platform_down",
    "owner_replaced",
)

PLANNED = ("entry_stopped", "sidecar_restarted")
"""A planned stop cuts nothing off: whoever was in flight is told an outcome."""

CONNECT_STEPS = (Step.CONNECT_SIDECAR, Step.CONNECT_UPSTREAM)

scenarios("at_most_once.feature")


@pytest.fixture(scope="module")
def bench() -> Iterator[PaymentBench]:
    with Launcher() as launcher:
        payment_bench = PaymentBench(launcher)
        payment_bench.start()
        yield payment_bench


@dataclass
class Payment:
    """Hold one payment, what its callers were told and the callers still waiting."""

    key: str
    body: bytes
    first: list[Outcome] = field(default_factory=list)
    again: list[Outcome] = field(default_factory=list)
    threads: list[threading.Thread] = field(default_factory=list)
    must_be_told: bool = False
    step: str = ""


@pytest.fixture
def payment() -> Payment:
    return Payment(make_dated_key(), uuid.uuid4().hex.encode())


def test_every_fault_meets_every_step() -> None:
    rows = re.findall(r"\|\s*(\w+)\s*\|\s*(\w+)\s*\|", FEATURE.read_text())
    assert set(rows[1:]) == {(str(step), fault) for step in Step for fault in FAULTS}


@given(parsers.parse("a hall in which a payment is held at step {step}"))
def hold_payment(bench: PaymentBench, payment: Payment, step: str) -> None:
    bench.mend()
    payment.step = step
    HOLDS[Step(step)](bench, payment)


def _send_first(bench: PaymentBench, payment: Payment) -> None:
    def run() -> None:
        payment.first.append(bench.pay(0, payment.body, payment.key, DEADLINE_MS))

    thread = threading.Thread(target=run)
    thread.start()
    payment.threads.append(thread)


def _hold_before_entry(bench: PaymentBench, payment: Payment) -> None:
    """Let the fault come first: what an entry decides of itself takes no time to hold."""


def _hold_at_connect_sidecar(bench: PaymentBench, payment: Payment) -> None:
    bench.to_sidecar.set_mode("refuse")
    _send_first(bench, payment)
    wait_for(lambda: payment.first != [], "connection refused")


def _hold_at_send_sidecar(bench: PaymentBench, payment: Payment) -> None:
    bench.to_sidecar.set_mode("hold_request")
    _send_first(bench, payment)
    wait_for(bench.to_sidecar.data_held.is_set, "request held before the sidecar")


def _hold_at_queue(bench: PaymentBench, payment: Payment) -> None:
    bench.set_plain("hold", 1)
    blocker = uuid.uuid4().hex.encode()
    thread = threading.Thread(target=bench.pay, args=(1, blocker, None, 30_000))
    thread.start()
    payment.threads.append(thread)
    wait_for(lambda: bench.runs_of(blocker) == 1, "slot taken")
    _send_first(bench, payment)
    wait_for(lambda: bench.gate_load()["waiting"] == 1, "payment queued")


def _hold_at_connect_upstream(bench: PaymentBench, payment: Payment) -> None:
    bench.to_upstream.set_mode("refuse")
    _send_first(bench, payment)
    wait_for(lambda: payment.first != [], "upstream refused")


def _hold_at_send_upstream(bench: PaymentBench, payment: Payment) -> None:
    bench.to_upstream.set_mode("hold_request")
    _send_first(bench, payment)
    wait_for(bench.to_upstream.data_held.is_set, "request held before the upstream")


def _hold_at_await_answer(bench: PaymentBench, payment: Payment) -> None:
    bench.set_plain("hold", 1)
    _send_first(bench, payment)
    wait_for(lambda: bench.runs_of(payment.body) == 1, "payment running")


def _hold_at_relay_answer(bench: PaymentBench, payment: Payment) -> None:
    bench.to_upstream.set_mode("hold_half_answer")
    _send_first(bench, payment)
    wait_for(bench.to_upstream.data_held.is_set, "half of the answer relayed")


HOLDS: dict[Step, Callable[[PaymentBench, Payment], None]] = {
    Step.ADMIT: _hold_before_entry,
    Step.CHOOSE: _hold_before_entry,
    Step.CONNECT_SIDECAR: _hold_at_connect_sidecar,
    Step.SEND_SIDECAR: _hold_at_send_sidecar,
    Step.QUEUE: _hold_at_queue,
    Step.CONNECT_UPSTREAM: _hold_at_connect_upstream,
    Step.SEND_UPSTREAM: _hold_at_send_upstream,
    Step.AWAIT_ANSWER: _hold_at_await_answer,
    Step.RELAY_ANSWER: _hold_at_relay_answer,
}


@when(parsers.parse("{fault} happens"))
def bring_about(bench: PaymentBench, payment: Payment, fault: str) -> None:
    was_in_flight = bool(payment.threads)
    CAUSES[fault](bench)
    if not was_in_flight:
        _send_first(bench, payment)
    payment.must_be_told = was_in_flight and fault in PLANNED


def _stop_entry(bench: PaymentBench) -> None:
    """Stop the entry as planned, and let go of what holds the payment."""
    bench.entries[0].send_signal(signal.SIGTERM)
    _release_holds(bench)
    assert bench.entries[0].stop() == 0


def _release_holds(bench: PaymentBench) -> None:
    bench.to_sidecar.release()
    bench.to_upstream.release()
    bench.release_plain()


def _kill_entry(bench: PaymentBench) -> None:
    bench.entries[0].kill()


def _freeze_entry(bench: PaymentBench) -> None:
    bench.entries[0].send_signal(signal.SIGSTOP)


def _kill_sidecar(bench: PaymentBench) -> None:
    bench.sidecars["gate-1"].kill()


def _freeze_sidecar(bench: PaymentBench) -> None:
    bench.sidecars["gate-1"].send_signal(signal.SIGSTOP)


def _restart_sidecar(bench: PaymentBench) -> None:
    """Stop as planned; what holds the payment must let go, or the stop would wait for it."""
    bench.sidecars["gate-1"].send_signal(signal.SIGTERM)
    _release_holds(bench)
    assert bench.sidecars["gate-1"].stop() == 0
    bench.restart_owner()


def _cut_connection(bench: PaymentBench) -> None:
    bench.to_sidecar.drop()
    bench.to_upstream.drop()


def _take_platform_down(bench: PaymentBench) -> None:
    bench.set_platform("down")


def _replace_owner(bench: PaymentBench) -> None:
    bench.apply(("gate-2",))


CAUSES: dict[str, Callable[[PaymentBench], None]] = {
    "entry_stopped": _stop_entry,
    "entry_killed": _kill_entry,
    "entry_frozen": _freeze_entry,
    "sidecar_killed": _kill_sidecar,
    "sidecar_frozen": _freeze_sidecar,
    "sidecar_restarted": _restart_sidecar,
    "connection_cut": _cut_connection,
    "platform_down": _take_platform_down,
    "owner_replaced": _replace_owner,
}


@when("the caller asks again at another entry until it is told the outcome")
def ask_again(bench: PaymentBench, payment: Payment) -> None:
    # Once under the fault, then with everything let go, as long as the answer is not final.
    payment.again.append(bench.pay(1, payment.body, payment.key, 500))
    _let_go(bench)
    for _ in range(ASK_AGAIN_TIMES):
        outcome = bench.pay(1, payment.body, payment.key, DEADLINE_MS)
        payment.again.append(outcome)
        if outcome.status == 200 or outcome.reason == "key_outcome_unknown":
            break
        threading.Event().wait(0.05)
    for thread in payment.threads:
        thread.join(30)
        assert not thread.is_alive()


def _let_go(bench: PaymentBench) -> None:
    _release_holds(bench)
    for process in [*bench.entries, *bench.sidecars.values()]:
        if process.popen.poll() is None:
            process.send_signal(signal.SIGCONT)
    if bench.sidecars["gate-1"].popen.poll() is not None:
        bench.restart_owner()
    wait_for(lambda: bench.gate_load()["running"] == 0, "nothing runs any more")


@then("the payment ran at most once")
def check_runs(bench: PaymentBench, payment: Payment) -> None:
    assert bench.runs_of(payment.body) <= 1


@then("every verdict that callers were given is true")
def check_verdicts(bench: PaymentBench, payment: Payment) -> None:
    check_truth(payment, bench.runs_of(payment.body))


def check_truth(payment: Payment, runs: int) -> None:
    """Hold what callers were told against the upstreams' own count."""
    outcomes = [*payment.first, *payment.again]
    answers = {o.body for o in outcomes if o.status == 200}
    assert len(answers) <= 1, "two different answers to one payment"
    if answers or any(o.verdict == "RAN" for o in outcomes):
        assert runs == 1, "a caller was told it ran"
    if all(o.verdict == "NOT_RUN" for o in outcomes):
        assert runs == 0, "all callers were told it did not run"
    if payment.step in CONNECT_STEPS:
        assert payment.first[0].verdict == "NOT_RUN", "nothing was sent, which is certain"
    if payment.must_be_told:
        assert all(o.verdict is not None for o in payment.first), "a planned stop cut it off"
    final = payment.again[-1]
    assert final.status == 200 or final.verdict in ("MAY_HAVE_RUN", "RAN"), final


def test_replaced_owner_keeps_its_keys_and_gets_no_younger_ones() -> None:
    with Launcher() as launcher:
        bench = PaymentBench(launcher, horizon_ms=1_000)
        bench.start()
        old_key, old_body = make_dated_key(), b"before"
        first = bench.pay(0, old_body, old_key, PATIENT_MS)
        assert first.status == 200
        manifest = bench.apply(("gate-2",))
        from_ms = manifest.generations["gate"][-1].from_ms
        wait_for(lambda: time.time() * 1000 > from_ms, "new owner's time")
        again = bench.pay(1, old_body, old_key, PATIENT_MS)
        young = bench.pay(1, b"after", make_dated_key(), PATIENT_MS)
        undated = bench.pay(1, b"undated", "undated", PATIENT_MS)
        assert first.body == again.body
        assert bench.runs_of(old_body) == 1
        assert young.status == 200
        assert json.loads(bench._get(bench.plain["gate-2"].http, "/_runs")) == {"after": 1}
        assert (undated.verdict, undated.reason) == ("MAY_HAVE_RUN", "key_outcome_unknown")
        assert bench.runs_of(b"undated") == 0


def test_key_is_known_after_a_planned_restart_and_doubted_after_a_kill() -> None:
    with Launcher() as launcher:
        bench = PaymentBench(launcher)
        bench.start()
        first = bench.pay(0, b"a", "undated-a", PATIENT_MS)
        assert first.status == 200
        _restart_sidecar(bench)
        assert bench.pay(1, b"a", "undated-a", PATIENT_MS).body == first.body
        assert bench.pay(1, b"b", "undated-b", PATIENT_MS).status == 200
        bench.sidecars["gate-1"].kill()
        bench.restart_owner()
        doubted = bench.pay(1, b"a", "undated-a", PATIENT_MS)
        assert (doubted.verdict, doubted.reason) == ("MAY_HAVE_RUN", "key_outcome_unknown")
        born_ms = int(time.time() * 1000)
        wait_for(lambda: time.time() * 1000 > born_ms + 50, "clock bound")
        assert bench.pay(1, b"c", make_dated_key(), PATIENT_MS).status == 200
        assert bench.runs_of(b"a") == 1


def test_the_matrix_can_fail(bench: PaymentBench) -> None:
    """Leave the key out, as a caller without protection does: the judge must object."""
    bench.mend()
    payment = Payment("", uuid.uuid4().hex.encode())
    bench.set_plain("cut_before", 1)
    payment.first.append(bench.pay(0, payment.body, None, DEADLINE_MS))
    payment.again.append(bench.pay(1, payment.body, None, DEADLINE_MS))
    with pytest.raises(AssertionError):
        check_runs(bench, payment)


def test_the_judge_of_verdicts_can_fail() -> None:
    """Give the judge a refusal that lies, as a gate that refuses after sending would."""
    payment = Payment("k", b"b", again=[Outcome(503, "NOT_RUN", "queue_full", b"")])
    with pytest.raises(AssertionError, match="all callers were told it did not run"):
        check_truth(payment, runs=1)
