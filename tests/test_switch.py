"""Inject every fault at every step of a switch: no step may mix maps, and the group continues."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Callable, Iterator

import pytest

from dalehollow.groups.votes import SwitchStep
from tests.group_bench import (
    FaultAt,
    GroupBench,
    Killed,
    duplicate,
    kill,
    lose,
    lose_answer,
    make_demand,
)
from tests.payment_bench import wait_for

PLANNER_STEPS = (SwitchStep.READ, SwitchStep.LOAD, SwitchStep.PROPOSE)
SIDECAR_STEPS = (SwitchStep.ASK_PEERS, SwitchStep.TELL_ENGINE)


@pytest.fixture
def bench() -> Iterator[GroupBench]:
    group_bench = GroupBench()
    group_bench.group.set_demand(make_demand(2))
    yield group_bench
    group_bench.close()


def _check_group_continues(bench: GroupBench) -> None:
    """Check that the switch is decided, all ranks have one map and no step mixed two."""
    wait_for(bench.is_settled, "the switch is decided")
    bench.wait_steps(120)
    assert len(bench.versions()) == 1
    assert bench.group.mixed_steps() == []


def _inject_message_fault(
    bench: GroupBench, step: SwitchStep, inject: Callable[..., object]
) -> None:
    fault = FaultAt(step, inject)  # type: ignore[arg-type]
    bench.sidecar_hook = fault
    bench.run_planner(1, fault)
    if step is not SwitchStep.RUN_ON:
        wait_for(fault.was_injected.is_set, f"{step} was reached")


def lose_message(bench: GroupBench, step: SwitchStep) -> None:
    _inject_message_fault(bench, step, lose)


def duplicate_message(bench: GroupBench, step: SwitchStep) -> None:
    _inject_message_fault(bench, step, duplicate)


def lose_message_answer(bench: GroupBench, step: SwitchStep) -> None:
    _inject_message_fault(bench, step, lose_answer)


def kill_planner(bench: GroupBench, step: SwitchStep) -> None:
    """Kill the planner at its step; its successor plans with a higher fence."""
    fault = FaultAt(step, kill)
    with contextlib.suppress(Killed):
        bench.run_planner(1, fault)
    bench.run_planner(2)


def pause_planner(bench: GroupBench, step: SwitchStep) -> None:
    """Pause the planner at its step while a successor plans, then resume it."""
    resume = threading.Event()

    def hold(call: Callable[[], object]) -> object:
        resume.wait(60)
        return call()

    fault = FaultAt(step, hold)  # type: ignore[arg-type]
    paused = threading.Thread(target=bench.run_planner, args=(1, fault))
    paused.start()
    if step in PLANNER_STEPS:
        wait_for(fault.was_injected.is_set, f"{step} was reached")
    bench.run_planner(2)
    resume.set()
    paused.join(30)
    assert not paused.is_alive()


def stall_rank(bench: GroupBench, step: SwitchStep) -> None:
    """Stall a rank's engine at the step, and resume it later."""

    def stall(call: Callable[[], object]) -> object:
        bench.group.set_stalled(1, True)
        return call()

    fault = FaultAt(step, stall)  # type: ignore[arg-type]
    bench.sidecar_hook = fault
    # A planner waits for steps between reads, so it runs in a thread while the stall is ended.
    planner = threading.Thread(target=bench.run_planner, args=(1, fault))
    planner.start()
    if step is SwitchStep.RUN_ON:
        planner.join(30)
        bench.group.set_stalled(1, True)
    else:
        wait_for(fault.was_injected.is_set, f"{step} was reached")
    bench.group.set_stalled(1, False)
    planner.join(30)
    assert not planner.is_alive()


def restart_sidecar(bench: GroupBench, step: SwitchStep) -> None:
    def restart(call: Callable[[], object]) -> object:
        answer = call()
        bench.restart_sidecar(1)
        return answer

    fault = FaultAt(step, restart)  # type: ignore[arg-type]
    bench.sidecar_hook = fault
    bench.run_planner(1, fault)
    if step is SwitchStep.RUN_ON:
        bench.restart_sidecar(1)


FAULTS: dict[str, Callable[[GroupBench, SwitchStep], None]] = {
    "message_lost": lose_message,
    "message_duplicated": duplicate_message,
    "answer_lost": lose_message_answer,
    "planner_killed": kill_planner,
    "planner_paused_and_replaced": pause_planner,
    "rank_stalled": stall_rank,
    "sidecar_restarted": restart_sidecar,
}


@pytest.mark.parametrize("step", SwitchStep)
@pytest.mark.parametrize("fault", FAULTS)
def test_fault_at_step(bench: GroupBench, fault: str, step: SwitchStep) -> None:
    FAULTS[fault](bench, step)
    _check_group_continues(bench)


def test_switch_without_faults_becomes_active(bench: GroupBench) -> None:
    bench.run_planner(1)
    wait_for(lambda: bench.versions() == {1}, "the new map")
    _check_group_continues(bench)
    used = {digest for step in bench.group.history for digest in step}
    assert len(used) == 2


def test_unreachable_ranks_keep_the_old_map_active(bench: GroupBench) -> None:
    def lose_all(step: SwitchStep, call: object) -> object:
        return lose(call)  # type: ignore[arg-type]

    bench.run_planner(1, lose_all)  # type: ignore[arg-type]
    bench.wait_steps(50)
    assert bench.versions() == {0}


def test_injected_fault_sidecar_commits_on_its_own_vote() -> None:
    """Show that the check detects a sidecar that commits without the votes of the other ranks."""
    bench = GroupBench()
    try:
        bench.group.set_demand(make_demand(2))
        bench.voters[0].ranks = 1
        proposals_sent: list[SwitchStep] = []

        def propose_to_rank_0_only(step: SwitchStep, call: Callable[[], object]) -> object:
            if step is SwitchStep.PROPOSE:
                proposals_sent.append(step)
            return lose(call) if len(proposals_sent) > 1 and step is SwitchStep.PROPOSE else call()  # type: ignore[arg-type]

        bench.run_planner(1, propose_to_rank_0_only)  # type: ignore[arg-type]
        wait_for(lambda: bench.group.mixed_steps() != [], "a mixed step")
    finally:
        bench.close()
