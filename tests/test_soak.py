"""Test that the soak tests detect each kind of violation, and run one short seed."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from pathlib import Path

import pytest

from soak.__main__ import run_seed
from soak.connection_promises import NEW_CONNECTION_ID, check_new_connections
from soak.faults import (
    CONNECTION_CHAINS,
    FAULT_MODES,
    INJECTORS,
    PROPAGATION_CHAINS,
    SIGNAL_CHAINS,
    STREAM_CHAINS,
    draw_faults,
)
from soak.promises import (
    CRASHING_ID,
    CRASHING_PART_ID,
    PLAIN_BODY,
    TRAP_SERVER,
    Arrival,
    RequestRecord,
    RunHistory,
    ServerSignal,
    check_retry_budget,
    find_violations,
)
from soak.proxy import Mode
from soak.signal_promises import check_signals

GOOD = RequestRecord("r1", "read", "gw", 1, 10.0, 10.1, 200, True, PLAIN_BODY, "r1")
VERSION = replace(GOOD, kind="version", version=2)


def _make_history(*requests: RequestRecord, runs: tuple[str, ...] = ()) -> RunHistory:
    history = RunHistory(requests=list(requests))
    history.executions.update(runs)
    return history


def _stopped_history(request: RequestRecord) -> RunHistory:
    history = _make_history(request)
    history.planned_stops.append(("gw", 1, 10.05))
    history.arrivals["s1"].append(Arrival(10.02, request.request_id))
    return history


def _drain_history(arrived_at_s: float, sent_at_s: float) -> RunHistory:
    history = _make_history(replace(GOOD, sent_at_s=sent_at_s, ended_at_s=arrived_at_s + 0.1))
    history.leaving_at_s["s1"] = 10.0
    history.arrivals["s1"].append(Arrival(arrived_at_s, "r1"))
    return history


def _trap_history() -> RunHistory:
    history = _make_history(GOOD)
    history.arrivals[TRAP_SERVER].append(Arrival(10.0, "r1"))
    return history


def _applied_history(sent_at_s: float) -> RunHistory:
    history = _make_history(replace(VERSION, sent_at_s=sent_at_s, ended_at_s=sent_at_s + 0.1))
    history.applied_at_s.update({2: 1.0, 3: 10.0})
    return history


def _refused_history(sent_at_s: float, newest: int = 3) -> RunHistory:
    """Build a history with a 404 for the route of version 3, which was applied at 10 s."""
    request = replace(
        VERSION, version=3, status=404, sent_at_s=sent_at_s, ended_at_s=sent_at_s + 0.1
    )
    history = _make_history(request)
    history.applied_at_s.update({2: 1.0, 3: 10.0, newest: 10.0})
    return history


CUT = replace(GOOD, status=0, is_complete=False, body=b"")


@pytest.mark.parametrize(
    ("history", "violated"),
    [
        (_make_history(GOOD, runs=("r1",)), []),
        (_make_history(replace(GOOD, response_id="r2")), ["response matches request"]),
        (_make_history(replace(GOOD, body=b"half")), ["complete response"]),
        (_make_history(replace(GOOD, kind="stream", body=b"id: 1\n\n")), ["complete response"]),
        # The caller can detect that the response is incomplete.
        (_make_history(replace(GOOD, is_complete=False, body=b"half")), []),
        (_make_history(replace(GOOD, status=503), runs=("r1",)), ["refused request not run"]),
        (_make_history(replace(GOOD, status=502), runs=("r1",)), []),
        (_make_history(replace(GOOD, kind="pay"), runs=("r1", "r1")), ["at most once"]),
        (_make_history(GOOD, runs=("r1", "r1")), []),
        (
            _make_history(VERSION, replace(VERSION, version=1, sent_at_s=11.0)),
            ["no configuration rollback"],
        ),
        (_make_history(VERSION, replace(VERSION, version=1, sent_at_s=11.0, generation=2)), []),
        # Sent before the response with the newer version arrived.
        (_make_history(VERSION, replace(VERSION, version=1)), []),
        (_stopped_history(CUT), ["no request cut by planned stop"]),
        (_stopped_history(replace(GOOD, status=200)), []),
        (_drain_history(13.0, 12.9), ["drain delay"]),
        (_drain_history(11.0, 10.9), []),
        (_trap_history(), ["invalid entries ignored"]),
        (_applied_history(13.0), ["configuration delay"]),
        (_applied_history(11.0), []),
        (_refused_history(13.0), ["configuration delay"]),
        (_refused_history(11.0), []),
        # A newer configuration has removed the route.
        (_refused_history(13.0, newest=4), []),
    ],
)
def test_each_violation_is_detected(history: RunHistory, violated: list[str]) -> None:
    assert [v.guarantee for v in find_violations(history, checks_timing=True)] == violated


@pytest.mark.parametrize("component", ["gw", "store of gw", "store"])
def test_timing_is_not_checked_for_faulty_components(component: str) -> None:
    for history in (_drain_history(13.0, 12.9), _applied_history(13.0)):
        history.fault_intervals[component].append((9.0, 12.5))
        assert find_violations(history, checks_timing=True) == []


@pytest.mark.parametrize(
    ("components", "is_violated"),
    [
        (["store of gw"], True),
        (["store of gw", "peers of gw"], False),
        (["store of gw", "peers of other"], False),
        (["store of gw", "store of other"], False),
        (["store"], False),
    ],
)
def test_gateway_must_learn_changes_from_a_peer_that_reaches_the_store(
    components: list[str], is_violated: bool
) -> None:
    history = _refused_history(13.0)
    history.requests.append(replace(GOOD, gateway="other", request_id="r2", response_id="r2"))
    for component in components:
        history.fault_intervals[component].append((9.0, 12.5))
    found = [v.guarantee for v in find_violations(history, checks_timing=True)]
    assert found == (["configuration delay"] if is_violated else [])


def _signalled(name: str, value: float, *after_s: float, sent_s: float = 0.0) -> RunHistory:
    """Build a history with a signal at 10 s and later requests from the same gateway process."""
    history = _make_history(GOOD)
    history.server_signals.append(ServerSignal("s1", "r1", name, value, 10.0))
    history.arrivals["s1"].append(Arrival(10.0, "r1"))
    for number, late_s in enumerate(after_s):
        request_id = f"late-{number}"
        sent_at_s = 10.0 + (sent_s or late_s)
        history.requests.append(replace(GOOD, request_id=request_id, sent_at_s=sent_at_s))
        history.arrivals["s1"].append(Arrival(10.0 + late_s, request_id))
        if name == "server-limit":
            history.server_signals.append(
                ServerSignal("s1", request_id, name, value, 10.0 + late_s)
            )
    return history


def _crash_history(*after_s: float, cause: str = CRASHING_ID + "1", crashes: int = 3) -> RunHistory:
    """Build a history with crashes until 10 s and later attempts of crashing requests."""
    history = _make_history()
    history.crash_times_s[cause] += [10.0 - number for number in range(crashes)]
    for number, late_s in enumerate(after_s):
        name = f"{cause}-{number}"
        history.requests.append(replace(GOOD, request_id=name, sent_at_s=10.0 + late_s))
        history.arrivals["s1"].append(Arrival(10.0 + late_s, name))
    return history


@pytest.mark.parametrize(
    ("statuses", "is_violated"),
    [((200,) * 15 + (503,) * 5, False), ((200,) * 14 + (503,) * 6, True), ((0,) * 20, True)],
)
def test_fewer_answers_on_new_connections_are_a_violation(
    statuses: tuple[int, ...], is_violated: bool
) -> None:
    history = _make_history()
    history.requests += [replace(GOOD, sent_at_s=5.0, ended_at_s=5.1)] * 20
    for number, status in enumerate(statuses):
        name = f"{NEW_CONNECTION_ID}1-{number}"
        history.requests.append(replace(GOOD, request_id=name, status=status))
    found = [v.guarantee for v in check_new_connections(history)]
    assert found == (["new connections"] if is_violated else [])


def _sound_history(served: int) -> RunHistory:
    """Build a history with 20 sound requests before and after crashes by a prompt part."""
    history = _crash_history(cause=CRASHING_PART_ID + "1", crashes=5)
    for number in range(20):
        before = replace(GOOD, request_id=f"b{number}", sent_at_s=5.0, ended_at_s=5.1)
        status = 200 if number < served else 503
        after = replace(GOOD, request_id=f"a{number}", sent_at_s=17.0, status=status)
        history.requests += [before, after]
    return history


LIMIT_TEST_DELAYS_S = [3.1 + 0.3 * number for number in range(13)]


@pytest.mark.parametrize(
    ("history", "violated"),
    [
        (_signalled("retry-after", 3.0, 0.6, 1.0, 1.5), ["backoff"]),
        (_signalled("retry-after", 3.0, 0.1, 0.2, 0.4, 0.6, 1.0), []),
        (_signalled("retry-after", 3.0, 0.6, 3.1, 3.2), []),
        (
            _signalled("server-leaving", 1.0, 2.5),
            ["server-leaving"],
        ),
        (_signalled("server-leaving", 1.0, 1.5), []),
        (_signalled("server-leaving", 1.0, 4.0, sent_s=1.0), []),
        (_signalled("server-limit", 1.0, *LIMIT_TEST_DELAYS_S), ["server limit"]),
        (_signalled("server-limit", 1.0, *LIMIT_TEST_DELAYS_S[:11]), []),
        (_signalled("server-limit", 4.0, *LIMIT_TEST_DELAYS_S), []),
        (_crash_history(4.0, 5.0, 6.0, 7.0), ["crashing request"]),
        (_crash_history(1.0, 2.0, 3.0, 4.0, 5.0), []),
        (
            _crash_history(4.0, 5.0, 6.0, 7.0, cause=CRASHING_PART_ID + "1", crashes=5),
            ["crashing request"],
        ),
        (_crash_history(4.0, 5.0, 6.0, 7.0, cause=CRASHING_PART_ID + "1", crashes=4), []),
        (_sound_history(served=9), ["sound requests"]),
        (_sound_history(served=10), []),
    ],
)
def test_each_signal_violation_is_detected(history: RunHistory, violated: list[str]) -> None:
    assert [v.guarantee for v in check_signals(history)] == violated
    for component in ("gw", "s1"):
        if component == "s1" and violated == ["crashing request"]:
            continue
        history.fault_intervals[component].append((0.0, 99.0))
        assert list(check_signals(history)) == []
        history.fault_intervals.clear()


def test_drawn_faults_cover_every_kind_and_depend_only_on_the_seed() -> None:
    drawn_faults = draw_faults(random.Random(1), 10.0, 200)
    assert {fault.kind for fault in drawn_faults} == set(INJECTORS)
    assert drawn_faults == draw_faults(random.Random(1), 10.0, 200)


def test_chains_use_known_faults_and_select_the_intended_target() -> None:
    chains = PROPAGATION_CHAINS | SIGNAL_CHAINS | CONNECTION_CHAINS | STREAM_CHAINS
    faults = [fault for chain in chains.values() for fault in chain]
    assert {fault.kind for fault in faults} <= set(INJECTORS)
    silent = PROPAGATION_CHAINS["the relay's way to the store silent"][0]
    assert silent.target % 4 == 0
    assert FAULT_MODES[silent.target % 5] is Mode.SILENT


def test_short_seed_violates_no_guarantee(tmp_path: Path) -> None:
    """Timing is not checked, because other processes may load the machine."""
    result = asyncio.run(
        run_seed(2, tmp_path, checks_timing=False, run_duration_s=5.0, faults=8, clients=6)
    )
    assert result.violations == []
    assert result.served_count > 0


def _make_history_with_retries(request_count: int, retry_count: int) -> RunHistory:
    """Build a history with one arrival per request, and one retry for the first `retry_count`."""
    history = _make_history()
    for number in range(request_count):
        at_s = 10.0 + 9.0 * number / request_count
        request = replace(GOOD, request_id=f"n{number}", sent_at_s=at_s)
        history.requests.append(request)
        history.arrivals["s1"].append(Arrival(at_s, request.request_id))
    for number in range(retry_count):
        history.arrivals["s2"].append(Arrival(19.0 + 0.01 * number, f"n{number}"))
    return history


@pytest.mark.parametrize(("retry_count", "is_violated"), [(32, False), (33, True)])
def test_retries_above_the_budget_are_a_violation(retry_count: int, is_violated: bool) -> None:
    found = [v.guarantee for v in check_retry_budget(_make_history_with_retries(400, retry_count))]
    assert found == (["retry budget"] if is_violated else [])
