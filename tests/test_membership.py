"""Test upstream selection, subsets, heartbeat pacing and the VM list."""

from __future__ import annotations

import json
import signal
import threading
from collections import Counter

import pytest

from dalehollow.config.model import Upstream
from dalehollow.membership import UpstreamView, VmListPoller, choose_subset
from dalehollow.membership.peers import compute_heartbeat_interval_ms
from dalehollow.membership.view import EJECT_AFTER_FAILURES, select_usable
from dalehollow.membership.vm_watch import list_entries, list_leaving
from dalehollow.platform.keyvalue import HttpKeyValue
from dalehollow.platform.vms import Vm
from dalehollow.routing import LoadReport
from dalehollow.web import HttpClient, HttpServer
from standins.hall import Hall, send_request, start_hall
from standins.keyvalue import KeyValueStandIn
from standins.processes import Launcher
from tests.payment_bench import wait_for

Platform = tuple[KeyValueStandIn, HttpKeyValue]


def make_upstream(idx: int, hall: str = "cmb-a") -> Upstream:
    return Upstream(f"u-{idx}", hall, f"127.0.0.1:{1000 + idx}", f"127.0.0.1:{2000 + idx}", 8)


def make_views(count: int) -> list[UpstreamView]:
    return [UpstreamView(make_upstream(idx), True, 0.2) for idx in range(count)]


@pytest.mark.parametrize(
    ("leaving", "listed", "silent", "expected"),
    [
        ([], [], [], [0, 1, 2, 3, 4]),
        ([0], [], [], [1, 2, 3, 4]),
        ([], [0], [], [1, 2, 3, 4]),
        ([], [], [0, 1], [2, 3, 4]),
        ([], [], [0, 1, 2], [0, 1, 2, 3, 4]),  # ignored, since most are silent
        ([4], [], [0, 1, 2, 3], [0, 1, 2, 3]),  # leaving is never ignored
        ([0, 1, 2], [3, 4], [], []),
    ],
)
def test_usable_upstreams(
    leaving: list[int], listed: list[int], silent: list[int], expected: list[int]
) -> None:
    views = make_views(5)
    for idx in leaving:
        views[idx].mark_leaving(True, 1)
    for idx in listed:
        views[idx].is_listed_leaving = True
    for idx in silent:
        views[idx].record_silence()
    assert [views.index(v) for v in select_usable(views, 0.0)] == expected


def test_failures_eject_for_longer_each_time() -> None:
    view = make_views(1)[0]
    for _ in range(EJECT_AFTER_FAILURES - 1):
        view.record_failure(0.0, is_unreachable=False)
    assert not view.is_ejected(0.0)
    view.record_failure(0.0, is_unreachable=False)
    assert view.is_ejected(0.49) and not view.is_ejected(0.51)
    view.record_failure(1.0, is_unreachable=True)
    assert view.is_ejected(1.99)
    view.record_success()
    assert not view.is_ejected(1.5)


def test_a_load_report_ends_silence() -> None:
    view = make_views(1)[0]
    view.record_silence()
    view.apply_report(LoadReport(0, 0, 8, 1.0), 0.0)
    assert not view.is_silent


def test_new_incarnation_is_not_leaving() -> None:
    view = make_views(1)[0]
    view.mark_leaving(True, 1)
    view.mark_leaving(False, 2)
    assert select_usable([view], 0.0) == [view]


def test_subsets_are_near_balanced_and_stable() -> None:
    upstreams = [make_upstream(idx, f"hall-{idx % 3}") for idx in range(60)]
    loads: Counter[str] = Counter()
    for entry in range(24):
        subset = choose_subset(f"entry-{entry}", "hall-0", upstreams, 8)
        assert len(subset) == 8
        assert sum(u.hall == "hall-0" for u in subset) == 6
        assert subset == choose_subset(f"entry-{entry}", "hall-0", upstreams[::-1], 8)
        loads.update(u.name for u in subset)
    local = [loads[f"u-{idx}"] for idx in range(0, 60, 3)]
    assert min(local) >= 1 and max(local) <= 4 * sum(local) / len(local)


def test_small_pool_is_selected_completely() -> None:
    upstreams = [make_upstream(0), make_upstream(1, "ngb")]
    assert set(choose_subset("e", "cmb-a", upstreams, 8)) == set(upstreams)


def test_vm_list_is_polled_and_kept_during_an_outage() -> None:
    standin = KeyValueStandIn()
    server = HttpServer("127.0.0.1", 0, standin.handle, name="platform")
    server.start()
    received: list[frozenset[str]] = []
    has_received = threading.Event()

    def on_list(vms: tuple[Vm, ...]) -> None:
        received.append(list_leaving(vms))
        has_received.set()

    standin.vms = [{"name": "u-1", "state": "leaving"}, {"name": "u-2", "state": "live"}]
    watch = VmListPoller(server.address, on_list, interval_ms=20)
    watch.start()
    assert has_received.wait(10)
    assert received[-1] == {"u-1"}
    standin.set_fault("down")
    calls = standin.calls["GET vms"]
    wait_for(lambda: standin.calls["GET vms"] >= calls + 3, "polls during the outage")
    assert received[-1] == {"u-1"}
    watch.stop()
    server.stop()


REQUEST = {
    "account": "colombo-city",
    "priority": "normal",
    "method": "POST",
    "path": "/v1/chat/completions",
    "body": {
        "model": "kelani-assist",
        "max_tokens": 1,
        "messages": [{"role": "user", "content": "x"}],
    },
}


def _started(hall: Hall, idx: int) -> int:
    client = HttpClient(connect_timeout_s=1)
    answer = client.call("GET", hall.engines[idx].http, "/stats", timeout_s=5).unwrap()
    return int(json.loads(answer.read())["started"])


@pytest.mark.parametrize("source", ["sidecar", "vm_list"])
def test_leaving_upstream_gets_no_new_requests(source: str) -> None:
    with Launcher() as launcher:
        settings = {"leave_ms": 1_500, "vm_list_interval_ms": 50, "beat_interval_ms": 100}
        hall = start_hall(launcher, engines=2, plain=(), settings=settings)
        if source == "sidecar":
            # The VM list lags and does not show the upstream as leaving yet.
            hall.sidecars["model-0"].send_signal(signal.SIGTERM)
            assert hall.sidecars["model-0"].popen.poll() is None
        else:
            body = json.dumps([{"name": "model-0", "state": "leaving"}]).encode()
            client = HttpClient(connect_timeout_s=1)
            client.call("PUT", hall.platform.http, "/vms", body=body, timeout_s=5).unwrap().read()
        started_last = [-1]

        def is_avoided() -> bool:
            """Return whether 20 consecutive requests avoided the upstream."""
            before = _started(hall, 0)
            results = [send_request(hall.entries[i % 2], REQUEST) for i in range(20)]
            assert all(r["status"] == 200 for r in results)
            started_last[0] = _started(hall, 0)
            return started_last[0] == before

        wait_for(is_avoided, "no new requests")
        for _ in range(3):
            assert is_avoided()


@pytest.mark.parametrize(
    ("peers", "interval_ms"), [(1, 500), (4, 500), (20, 1_571), (30, 2_357), (80, 6_286)]
)
def test_heartbeat_interval_keeps_the_bandwidth_budget(peers: int, interval_ms: int) -> None:
    assert compute_heartbeat_interval_ms(peers, 500, 3_500) == interval_ms


def test_entries_of_the_list() -> None:
    vms = (
        Vm("entry-0", "live", "cmb-a", "127.0.0.1:1"),
        Vm("entry-1", "leaving", "cmb-a", "127.0.0.1:2"),
        Vm("entry-2", "live", "ngb", "127.0.0.1:3"),
        Vm("u-1", "live"),
    )
    assert set(list_entries(vms, None)) == {"entry-0", "entry-2"}
    assert set(list_entries(vms, "ngb")) == {"entry-2"}
