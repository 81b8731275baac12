"""Test a rank group with real sidecars: after the planner is killed another one takes over."""

from __future__ import annotations

import json
import random
import uuid
from typing import Any

from dalehollow.config import apply_text
from dalehollow.platform.keyvalue import HttpKeyValue
from dalehollow.protocol import Dump, DumpText
from dalehollow.protocol.link import PeerLink
from dalehollow.web import HttpClient
from standins.hall import digest_key
from standins.processes import Launcher, RunningProcess
from tests.payment_bench import FAST_SETTINGS, wait_for

RANKS = 3


def _make_config(sidecars: list[RunningProcess]) -> dict[str, Any]:
    names = [f"rank-{idx}" for idx in range(RANKS)]
    return {
        "deployment": "floor",
        "halls": {"recife-salao": {"region": "nordeste"}},
        "client_accounts": {"judges": {"key_sha256": digest_key("k"), "requests_per_s": 10}},
        "upstreams": {
            name: {"hall": "recife-salao", "http": s.http, "control": s.control}
            for name, s in zip(names, sidecars, strict=True)
        },
        "services": {"judge": {"kind": "model", "models": ["judge"], "upstreams": names}},
        "groups": {"wide": {"ranks": names, "policy": "skew"}},
    }


def _dump_group(sidecar: RunningProcess) -> dict[str, Any]:
    link = PeerLink(sidecar.control)
    try:
        reply = link.ask(Dump(), timeout_ms=2_000)
    finally:
        link.close()
    if reply.is_err():
        return {}
    answer = reply.unwrap()
    assert isinstance(answer, DumpText)
    groups = json.loads(answer.state_json)["groups"]
    return groups[0] if groups else {}


def test_planner_dies_and_another_takes_over() -> None:
    with Launcher() as launcher:
        platform = launcher.start_standin("platform", "keyvalue")
        ranks = launcher.start_standin("ranks", "ranks", ranks=RANKS, slots=6, step_ms=2.0)
        sidecars = [
            launcher.start_process(
                role="sidecar",
                name=f"sidecar-{idx}",
                hall="recife-salao",
                platform=platform.http,
                upstream=f"rank-{idx}",
                upstream_http=ranks.http,
                plan_interval_ms=200,
                **FAST_SETTINGS,
            )
            for idx in range(RANKS)
        ]
        text = json.dumps(_make_config(sidecars))
        apply_text(HttpKeyValue(platform.http), text, apply_id=uuid.uuid4().hex).unwrap()
        client = HttpClient(connect_timeout_s=1)

        def history() -> dict[str, Any]:
            answer = client.call("GET", ranks.http, "/history", timeout_s=5).unwrap()
            history_data: dict[str, Any] = json.loads(answer.read())
            return history_data

        def change_demand(seed: int) -> None:
            rng = random.Random(seed)
            demand = [[rng.expovariate(1.0) * 20_000 for _ in range(16)] for _ in range(2)]
            body = json.dumps(demand).encode()
            client.call("PUT", ranks.http, "/demand", body=body, timeout_s=5).unwrap().read()

        def holders() -> list[int]:
            return [
                idx
                for idx, sidecar in enumerate(sidecars)
                if sidecar.popen.poll() is None and _dump_group(sidecar).get("has_duty")
            ]

        wait_for(lambda: len(holders()) == 1, "one planner")
        change_demand(2)
        wait_for(lambda: min(history()["versions"]) >= 1, "a new active map")
        first = holders()[0]
        sidecars[first].kill()
        change_demand(3)
        wait_for(lambda: len(holders()) == 1 and holders()[0] != first, "another planner")
        # A group without one of its sidecars continues with its current map.
        before = history()["steps"]
        wait_for(lambda: history()["steps"] > before + 50, "the group continues")
        assert history()["mixed_steps"] == []
