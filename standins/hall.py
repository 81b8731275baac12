"""Run one hall on loopback and send it the example requests of both deployments."""

from __future__ import annotations

import hashlib
import json
import signal
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import fire
from result import Err

from dalehollow.clock import read_clock
from dalehollow.config import apply_text
from dalehollow.jsonc import parse_jsonc
from dalehollow.platform.keyvalue import HttpKeyValue
from dalehollow.web import HttpClient
from standins.processes import Launcher, RunningProcess

REQUESTS_PATH = Path(__file__).parent.parent / "examples" / "requests.json5"
_READY_TIMEOUT_S = 20
_POLL_S = 0.02

ACCOUNT_KEYS = {
    "colombo-city": "demo-key-colombo",
    "lanka-hospital": "demo-key-hospital",
    "floor-judges": "demo-key-judges",
    "scoreboard": "demo-key-scoreboard",
}


@dataclass
class Hall:
    """Hold the processes of one hall."""

    platform: RunningProcess
    engines: list[RunningProcess] = field(default_factory=list)
    plain: dict[str, RunningProcess] = field(default_factory=dict)
    sidecars: dict[str, RunningProcess] = field(default_factory=dict)
    entries: list[RunningProcess] = field(default_factory=list)


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of an account key, as configurations hold it."""
    return hashlib.sha256(key.encode()).hexdigest()


def start_hall(
    launcher: Launcher,
    *,
    entries: int = 2,
    engines: int = 3,
    plain: tuple[str, ...] = ("gate-1", "floor-1"),
    slots: int = 8,
    step_ms: float = 6.0,
    settings: dict[str, Any] | None = None,
) -> Hall:
    """Start a hall, apply its configuration and wait until every process has activated it."""
    extra_settings = settings or {}
    hall = Hall(launcher.start_standin("platform", "keyvalue"))
    for idx in range(engines):
        engine = launcher.start_standin(f"engine-{idx}", "engine", slots=slots, step_ms=step_ms)
        hall.engines.append(engine)
        name = f"model-{idx}"
        hall.sidecars[name] = _start_sidecar(launcher, hall, name, engine.http, extra_settings)
    for name in plain:
        hall.plain[name] = launcher.start_standin(f"plain-{name}", "plain")
        hall.sidecars[name] = _start_sidecar(
            launcher, hall, name, hall.plain[name].http, extra_settings
        )
    for idx in range(entries):
        entry = launcher.start_process(
            role="entry",
            name=f"entry-{idx}",
            hall="cmb-a",
            platform=hall.platform.http,
            **extra_settings,
        )
        hall.entries.append(entry)
    list_vms(hall)
    apply_config(hall, make_config(hall, slots=slots))
    return hall


def list_vms(hall: Hall) -> None:
    """Publish the entries and upstreams of a hall in the VM list of the platform."""
    vms: list[dict[str, str]] = [{"name": name, "state": "live"} for name in hall.sidecars]
    vms += [
        {"name": e.name, "state": "live", "hall": "cmb-a", "entry_control": e.control}
        for e in hall.entries
    ]
    client = HttpClient(connect_timeout_s=1.0)
    body = json.dumps(vms).encode()
    client.call("PUT", hall.platform.http, "/vms", body=body, timeout_s=5.0).unwrap().read()


def _start_sidecar(
    launcher: Launcher, hall: Hall, name: str, upstream_http: str, extra_settings: dict[str, Any]
) -> RunningProcess:
    return launcher.start_process(
        role="sidecar",
        name=f"sidecar-{name}",
        hall="cmb-a",
        platform=hall.platform.http,
        upstream=name,
        upstream_http=upstream_http,
        **extra_settings,
    )


def make_config(hall: Hall, *, slots: int = 8, **service_fields: Any) -> dict[str, Any]:
    """Return an operators' configuration file for a started hall."""
    upstreams = {
        name: {"hall": "cmb-a", "http": run.http, "control": run.control, "slots": slots}
        for name, run in hall.sidecars.items()
    }
    models = [name for name in upstreams if name.startswith("model-")]
    services: dict[str, Any] = {
        "assistant": {
            "kind": "model",
            "models": ["kelani-assist", "truco-judge"],
            "upstreams": models,
            **service_fields,
        }
    }
    for prefix in sorted({name.rpartition("-")[0] for name in hall.plain}):
        services[prefix] = {
            "kind": "plain",
            "path_prefix": f"/{prefix}",
            "upstreams": [name for name in hall.plain if name.rpartition("-")[0] == prefix],
            "operations": [
                {"method": "POST", "path": f"/{prefix}/confirm", "repeatable": False},
                {"method": "POST", "path": f"/{prefix}/penalty", "repeatable": False},
                {"method": "POST", "path": f"/{prefix}/draw", "repeatable": True},
            ],
            **service_fields,
        }
    return {
        "deployment": "demo",
        "halls": {"cmb-a": {"region": "lk-west", "entries": max(1, len(hall.entries))}},
        "client_accounts": {
            name: {
                "key_sha256": digest_key(key),
                "requests_per_s": 100_000,
                "burst": 100_000,
                "max_priority": "urgent",
            }
            for name, key in ACCOUNT_KEYS.items()
        },
        "upstreams": upstreams,
        "services": services,
    }


def apply_config(hall: Hall, config: dict[str, Any]) -> int:
    """Apply a configuration and wait until every process of the hall has activated it."""
    kv = HttpKeyValue(hall.platform.http)
    applied = apply_text(kv, json.dumps(config, indent=1), apply_id=f"demo-{time.time_ns()}")
    if isinstance(applied, Err):
        raise RuntimeError(f"configuration rejected: {applied.err_value}")
    version = applied.ok_value.manifest.version
    for process in [*hall.entries, *hall.sidecars.values()]:
        wait_for_version(process, version)
    return version


def wait_for_version(process: RunningProcess, version: int) -> None:
    """Wait until a process has activated a configuration version."""
    client = HttpClient(connect_timeout_s=1.0)
    deadline_s = read_clock() + _READY_TIMEOUT_S
    metric_line = f"dalehollow_config_version {version}"
    while read_clock() < deadline_s:
        call = client.call("GET", process.http, "/dalehollow/metrics", timeout_s=2.0)
        if not isinstance(call, Err) and metric_line in call.ok_value.read().decode():
            return
        time.sleep(_POLL_S)
    raise RuntimeError(f"process {process.name!r} did not activate version {version} in time")


def send_request(entry: RunningProcess, request: dict[str, Any]) -> dict[str, Any]:
    """Send one request, read the complete response and return a summary of it."""
    headers = {
        "authorization": f"Bearer {ACCOUNT_KEYS[request['account']]}",
        "dalehollow-priority": request["priority"],
        "content-type": "application/json",
    }
    if "idempotency_key" in request:
        headers["idempotency-key"] = request["idempotency_key"]
    began_s = read_clock()
    call = HttpClient(connect_timeout_s=1.0).call(
        request["method"],
        entry.http,
        request["path"],
        headers=headers,
        body=json.dumps(request["body"]).encode(),
        timeout_s=30.0,
    )
    answer = call.unwrap()
    first_s = None
    chunks = []
    for chunk in answer.stream():
        first_s = first_s or read_clock()
        chunks.append(chunk)
    ended_s = read_clock()
    return {
        "account": request["account"],
        "priority": request["priority"],
        "entry": answer.headers.get("dalehollow-entry", entry.name),
        "upstream": answer.headers.get("dalehollow-upstream"),
        "status": answer.status,
        "first_ms": round(((first_s or ended_s) - began_s) * 1000, 1),
        "whole_ms": round((ended_s - began_s) * 1000, 1),
        "verdict": answer.headers.get("dalehollow-verdict"),
        "body": b"".join(chunks).decode(),
    }


def _is_expected_response(request: dict[str, Any], result: dict[str, Any]) -> bool:
    """Return whether a response is complete and belongs to the request."""
    from standins.engine import make_token

    if result["status"] != 200 or result["verdict"] != "RAN":
        return False
    body = request["body"]
    if "messages" not in body:
        return bool(json.loads(result["body"])["request"] == json.dumps(body))
    prompt = body["messages"][-1]["content"]
    expected = [make_token(prompt, idx) for idx in range(body["max_tokens"])]
    if not body.get("stream"):
        return bool(
            json.loads(result["body"])["choices"][0]["message"]["content"] == "".join(expected)
        )
    events = [line[6:] for line in result["body"].splitlines() if line.startswith("data: ")]
    if events[-1] != "[DONE]":
        return False
    tokens = [json.loads(event)["choices"][0]["delta"]["content"] for event in events[:-1]]
    return tokens == expected


def run(log: str | None = None) -> None:
    """Start a hall, send the example requests, print a line for each response and stop."""
    requests = parse_jsonc(REQUESTS_PATH.read_text())[0]
    failures = 0
    with Launcher(log) as launcher:
        hall = start_hall(launcher, settings={"leave_ms": 100})
        for idx, request in enumerate(requests):
            result = send_request(hall.entries[idx % len(hall.entries)], request)
            is_expected = _is_expected_response(request, result)
            failures += not is_expected
            pairs = {k: v for k, v in result.items() if k != "body"}
            print(
                " ".join(f"{k}={v}" for k, v in pairs.items()), f"own_whole={is_expected}".lower()
            )
    print(f"requests={len(requests)} failures={failures}")
    sys.exit(1 if failures else 0)


def serve(log: str | None = None) -> None:
    """Run a hall until SIGINT or SIGTERM, then stop its processes gracefully."""
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    with Launcher(log) as launcher:
        hall = start_hall(launcher)
        for entry in hall.entries:
            print(f"{entry.name} http={entry.http} control={entry.control}")
        for name, sidecar in hall.sidecars.items():
            print(f"{name} http={sidecar.http} control={sidecar.control}")
        print(f"platform={hall.platform.http}")
        for account, key in ACCOUNT_KEYS.items():
            print(f"account={account} key={key}")
        print("press Ctrl-C to stop", flush=True)
        stopping.wait()


if __name__ == "__main__":
    fire.Fire({"run": run, "serve": serve})
