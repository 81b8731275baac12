"""Test at-most-once execution and verdicts: every fault at every step, with real processes."""

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
    DEADLINE_MS,
    LONG_DEADLINE_MS,
    MAX_RETRIES,
    Outcome,
    PaymentBench,
    make_timestamped_key,
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

GRACEFUL_FAULTS = ("entry_stopped", "sidecar_restarted")
"""Faults that abort no request: every request in flight receives an outcome."""

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
    """Hold one payment, the outcomes its callers received and the threads still waiting."""

    key: str
    body: bytes
    first: list[Outcome] = field(default_factory=list)
    retries: list[Outcome] = field(default_factory=list)
    threads: list[threading.Thread] = field(default_factory=list)
    must_get_outcome: bool = False
    step: str = ""


@pytest.fixture
def payment() -> Payment:
    return Payment(make_timestamped_key(), uuid.uuid4().hex.encode())


def test_every_fault_meets_every_step() -> None:
    rows = re.findall(r"\|\s*(\w+)\s*\|\s*(\w+)\s*\|", FEATURE.read_text())
    assert set(rows[1:]) == {(str(step), fault) for step in Step for fault in FAULTS}


@given(parsers.parse("a hall with a payment blocked at step {step}"))
def block_payment(bench: PaymentBench, payment: Payment, step: str) -> None:
    bench.restore()
    payment.step = step
    STEP_SETUPS[Step(step)](bench, payment)


def _send_first(bench: PaymentBench, payment: Payment) -> None:
    def run() -> None:
        payment.first.append(bench.pay(0, payment.body, payment.key, DEADLINE_MS))

    thread = threading.Thread(target=run)
    thread.start()
    payment.threads.append(thread)


def _block_before_entry(bench: PaymentBench, payment: Payment) -> None:
    """Do nothing: the entry decides these steps itself, so the fault is injected first."""


def _block_at_connect_sidecar(bench: PaymentBench, payment: Payment) -> None:
    bench.to_sidecar.set_mode("refuse")
    _send_first(bench, payment)
    wait_for(lambda: payment.first != [], "connection refused")


def _block_at_send_sidecar(bench: PaymentBench, payment: Payment) -> None:
    bench.to_sidecar.set_mode("hold_request")
    _send_first(bench, payment)
    wait_for(bench.to_sidecar.data_held.is_set, "request held before the sidecar")


def _block_at_queue(bench: PaymentBench, payment: Payment) -> None:
    bench.set_upstream_fault("hold", 1)
    blocker = uuid.uuid4().hex.encode()
    thread = threading.Thread(target=bench.pay, args=(1, blocker, None, 30_000))
    thread.start()
    payment.threads.append(thread)
    wait_for(lambda: bench.count_runs(blocker) == 1, "slot taken")
    _send_first(bench, payment)
    wait_for(lambda: bench.gate_load()["waiting"] == 1, "payment queued")


def _block_at_connect_upstream(bench: PaymentBench, payment: Payment) -> None:
    bench.to_upstream.set_mode("refuse")
    _send_first(bench, payment)
    wait_for(lambda: payment.first != [], "upstream refused")


def _block_at_send_upstream(bench: PaymentBench, payment: Payment) -> None:
    bench.to_upstream.set_mode("hold_request")
    _send_first(bench, payment)
    wait_for(bench.to_upstream.data_held.is_set, "request held before the upstream")


def _block_at_await_answer(bench: PaymentBench, payment: Payment) -> None:
    bench.set_upstream_fault("hold", 1)
    _send_first(bench, payment)
    wait_for(lambda: bench.count_runs(payment.body) == 1, "payment running")


def _block_at_relay_answer(bench: PaymentBench, payment: Payment) -> None:
    bench.to_upstream.set_mode("hold_half_answer")
    _send_first(bench, payment)
    wait_for(bench.to_upstream.data_held.is_set, "half of the answer relayed")


STEP_SETUPS: dict[Step, Callable[[PaymentBench, Payment], None]] = {
    Step.ADMIT: _block_before_entry,
    Step.CHOOSE: _block_before_entry,
    Step.CONNECT_SIDECAR: _block_at_connect_sidecar,
    Step.SEND_SIDECAR: _block_at_send_sidecar,
    Step.QUEUE: _block_at_queue,
    Step.CONNECT_UPSTREAM: _block_at_connect_upstream,
    Step.SEND_UPSTREAM: _block_at_send_upstream,
    Step.AWAIT_ANSWER: _block_at_await_answer,
    Step.RELAY_ANSWER: _block_at_relay_answer,
}


@when(parsers.parse("the fault {fault} is injected"))
def inject_fault(bench: PaymentBench, payment: Payment, fault: str) -> None:
    was_in_flight = bool(payment.threads)
    FAULT_INJECTORS[fault](bench)
    if not was_in_flight:
        _send_first(bench, payment)
    payment.must_get_outcome = was_in_flight and fault in GRACEFUL_FAULTS


def _stop_entry(bench: PaymentBench) -> None:
    """Shut the entry down gracefully, and release the blocked payment."""
    bench.entries[0].send_signal(signal.SIGTERM)
    _release_blocked(bench)
    assert bench.entries[0].stop() == 0


def _release_blocked(bench: PaymentBench) -> None:
    bench.to_sidecar.release()
    bench.to_upstream.release()
    bench.release_upstream()


def _kill_entry(bench: PaymentBench) -> None:
    bench.entries[0].kill()


def _freeze_entry(bench: PaymentBench) -> None:
    bench.entries[0].send_signal(signal.SIGSTOP)


def _kill_sidecar(bench: PaymentBench) -> None:
    bench.sidecars["gate-1"].kill()


def _freeze_sidecar(bench: PaymentBench) -> None:
    bench.sidecars["gate-1"].send_signal(signal.SIGSTOP)


def _restart_sidecar(bench: PaymentBench) -> None:
    """Shut down gracefully and restart; a payment left blocked would delay the shutdown."""
    bench.sidecars["gate-1"].send_signal(signal.SIGTERM)
    _release_blocked(bench)
    assert bench.sidecars["gate-1"].stop() == 0
    bench.restart_owner()


def _cut_connection(bench: PaymentBench) -> None:
    bench.to_sidecar.drop()
    bench.to_upstream.drop()


def _take_platform_down(bench: PaymentBench) -> None:
    bench.set_platform("down")


def _replace_owner(bench: PaymentBench) -> None:
    bench.apply(("gate-2",))


FAULT_INJECTORS: dict[str, Callable[[PaymentBench], None]] = {
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


@when("the caller retries at another entry until the outcome is known")
def retry_payment(bench: PaymentBench, payment: Payment) -> None:
    # Once under the fault, then with everything released, until the outcome is final.
    payment.retries.append(bench.pay(1, payment.body, payment.key, 500))
    _restore_all(bench)
    for _ in range(MAX_RETRIES):
        outcome = bench.pay(1, payment.body, payment.key, DEADLINE_MS)
        payment.retries.append(outcome)
        if outcome.status == 200 or outcome.reason == "key_outcome_unknown":
            break
        threading.Event().wait(0.05)
    for thread in payment.threads:
        thread.join(30)
        assert not thread.is_alive()


def _restore_all(bench: PaymentBench) -> None:
    _release_blocked(bench)
    for process in [*bench.entries, *bench.sidecars.values()]:
        if process.popen.poll() is None:
            process.send_signal(signal.SIGCONT)
    if bench.sidecars["gate-1"].popen.poll() is not None:
        bench.restart_owner()
    wait_for(lambda: bench.gate_load()["running"] == 0, "owner idle")


@then("the payment ran at most once")
def check_runs(bench: PaymentBench, payment: Payment) -> None:
    assert bench.count_runs(payment.body) <= 1


@then("every verdict returned to callers is correct")
def check_verdicts(bench: PaymentBench, payment: Payment) -> None:
    check_outcomes(payment, bench.count_runs(payment.body))


def check_outcomes(payment: Payment, runs: int) -> None:
    """Compare the outcomes that callers received with the upstreams' own run count."""
    outcomes = [*payment.first, *payment.retries]
    answers = {o.body for o in outcomes if o.status == 200}
    assert len(answers) <= 1, "two different responses to one payment"
    if answers or any(o.verdict == "RAN" for o in outcomes):
        assert runs == 1, "a caller was told that it ran"
    if all(o.verdict == "NOT_RUN" for o in outcomes):
        assert runs == 0, "all callers were told that it did not run"
    if payment.step in CONNECT_STEPS:
        assert payment.first[0].verdict == "NOT_RUN", "nothing was sent, so it cannot have run"
    if payment.must_get_outcome:
        assert all(o.verdict is not None for o in payment.first), "a graceful shutdown aborted it"
    final = payment.retries[-1]
    assert final.status == 200 or final.verdict in ("MAY_HAVE_RUN", "RAN"), final


def test_replaced_owner_keeps_its_keys_and_gets_no_newer_ones() -> None:
    with Launcher() as launcher:
        bench = PaymentBench(launcher, horizon_ms=1_000)
        bench.start()
        old_key, old_body = make_timestamped_key(), b"before"
        first = bench.pay(0, old_body, old_key, LONG_DEADLINE_MS)
        assert first.status == 200
        manifest = bench.apply(("gate-2",))
        from_ms = manifest.generations["gate"][-1].from_ms
        wait_for(lambda: time.time() * 1000 > from_ms, "the new owner's generation to begin")
        retries = bench.pay(1, old_body, old_key, LONG_DEADLINE_MS)
        newer = bench.pay(1, b"after", make_timestamped_key(), LONG_DEADLINE_MS)
        without_timestamp = bench.pay(1, b"undated", "undated", LONG_DEADLINE_MS)
        assert first.body == retries.body
        assert bench.count_runs(old_body) == 1
        assert newer.status == 200
        assert json.loads(bench._get(bench.plain["gate-2"].http, "/_runs")) == {"after": 1}
        assert (without_timestamp.verdict, without_timestamp.reason) == (
            "MAY_HAVE_RUN",
            "key_outcome_unknown",
        )
        assert bench.count_runs(b"undated") == 0


def test_key_is_kept_after_a_graceful_restart_and_unknown_after_a_kill() -> None:
    with Launcher() as launcher:
        bench = PaymentBench(launcher)
        bench.start()
        first = bench.pay(0, b"a", "undated-a", LONG_DEADLINE_MS)
        assert first.status == 200
        _restart_sidecar(bench)
        assert bench.pay(1, b"a", "undated-a", LONG_DEADLINE_MS).body == first.body
        assert bench.pay(1, b"b", "undated-b", LONG_DEADLINE_MS).status == 200
        bench.sidecars["gate-1"].kill()
        bench.restart_owner()
        unknown = bench.pay(1, b"a", "undated-a", LONG_DEADLINE_MS)
        assert (unknown.verdict, unknown.reason) == ("MAY_HAVE_RUN", "key_outcome_unknown")
        born_ms = int(time.time() * 1000)
        wait_for(lambda: time.time() * 1000 > born_ms + 50, "the clock bound to pass")
        assert bench.pay(1, b"c", make_timestamped_key(), LONG_DEADLINE_MS).status == 200
        assert bench.count_runs(b"a") == 1


def test_run_check_detects_a_second_run(bench: PaymentBench) -> None:
    """Omit the key, so that both requests run: the run check must fail."""
    bench.restore()
    payment = Payment("", uuid.uuid4().hex.encode())
    bench.set_upstream_fault("cut_before", 1)
    payment.first.append(bench.pay(0, payment.body, None, DEADLINE_MS))
    payment.retries.append(bench.pay(1, payment.body, None, DEADLINE_MS))
    with pytest.raises(AssertionError):
        check_runs(bench, payment)


def test_outcome_check_detects_a_wrong_verdict() -> None:
    """Pass a wrong NOT_RUN verdict, like that of a gate that refuses after sending."""
    payment = Payment("k", b"b", retries=[Outcome(503, "NOT_RUN", "queue_full", b"")])
    with pytest.raises(AssertionError, match="all callers were told that it did not run"):
        check_outcomes(payment, runs=1)
