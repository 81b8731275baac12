"""Build one data structure of a given size in a new process and print its memory and CPU time."""

from __future__ import annotations

import dataclasses
import gc
import hashlib
import json
import resource
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec

from dalehollow.clock import read_clock
from dalehollow.config import check_text
from dalehollow.config.holder import ConfigHolder
from dalehollow.config.model import Account, Config, Hall, Service, Upstream
from dalehollow.config.parts import name_parts, split_config
from dalehollow.config.store import EMPTY_MANIFEST, Manifest, PastVersion, _prepare_apply
from dalehollow.entry.pool import Pool
from dalehollow.groups import POLICIES, ExpertMap, plan_map
from dalehollow.groups.expert_map import make_layer
from dalehollow.limits import RetryBudget, TokenBucket
from dalehollow.once import COMPLETE_FROM_START_MS, KeyTable, KeyTableLimits, StoredAnswer
from dalehollow.protocol import Heartbeat, HeartbeatReply
from dalehollow.protocol.link import ControlServer, PeerLink
from dalehollow.protocol.messages import encode

_HEARTBEATS_PER_LINK = 10
_activation_cpu_s: list[float] = []


def make_text(accounts: int, upstreams: int) -> str:
    """Return an operators' configuration file with the given number of accounts and upstreams."""
    names = [f"up-{i}" for i in range(upstreams)]
    config = {
        "deployment": "large",
        "halls": {f"hall-{i}": {"region": f"r-{i % 4}", "entries": 24} for i in range(15)},
        "client_accounts": {
            f"account-{i}": {
                "key_sha256": hashlib.sha256(str(i).encode()).hexdigest(),
                "requests_per_s": 10,
            }
            for i in range(accounts)
        },
        "upstreams": {
            n: {
                "hall": f"hall-{i % 15}",
                "http": f"10.0.{i // 250}.{i % 250}:8000",
                "control": f"10.0.{i // 250}.{i % 250}:8001",
            }
            for i, n in enumerate(names)
        },
        "services": {
            f"model-{m}": {"kind": "model", "models": [f"m-{m}"], "upstreams": names[m::10]}
            for m in range(10)
        },
    }
    return json.dumps(config)


def _build_config_holder(accounts: int, upstreams: int) -> object:
    holder = ConfigHolder()
    text = make_text(accounts, upstreams)
    raw = msgspec.json.decode(text)
    began_s = time.process_time()
    activate_config(holder, raw)
    _activation_cpu_s.append(time.process_time() - began_s)
    return holder


def activate_config(holder: ConfigHolder, raw: dict[str, Any]) -> None:
    """Activate a configuration in parts, as a peer sends it."""
    cfg = Config(
        deployment=raw["deployment"],
        clock_bound_ms=2_000,
        halls={n: Hall(n, **fields) for n, fields in raw["halls"].items()},
        accounts={
            n: Account(n, burst=10, max_priority="normal", **fields)
            for n, fields in raw["client_accounts"].items()
        },
        upstreams={n: Upstream(n, slots=8, **fields) for n, fields in raw["upstreams"].items()},
        services={n: _make_service(n, fields) for n, fields in raw["services"].items()},
        groups={},
    )
    parts = split_config(cfg)
    ids = name_parts(parts, {}, "a")
    manifest = Manifest(1, 0, "a", 1, "", ids, {})
    assert holder.activate(manifest, {ids[name]: data for name, data in parts.items()})


def _make_service(name: str, fields: dict[str, Any]) -> Service:
    return Service(
        name,
        "model",
        tuple(fields["upstreams"]),
        tuple(fields["models"]),
        None,
        (),
        64,
        2,
        30_000,
        600_000,
        600_000,
        20_000,
    )


def _build_accounts(size: int) -> object:
    return _build_config_holder(size, 20)


def _build_upstreams(size: int) -> object:
    holder = _build_config_holder(10, size)
    pool = Pool("entry-0", "hall-0", read_clock, subset_size=8, peer_limit=30)
    pool.apply(holder.active)  # type: ignore[attr-defined]
    return holder, pool


def _build_account_state(size: int) -> object:
    buckets = {str(i): (TokenBucket(1, 1), RetryBudget()) for i in range(size)}
    for bucket, _ in buckets.values():
        bucket.take(1.0)
    return buckets


def _build_key_table(size: int) -> object:
    table = KeyTable(KeyTableLimits(size, 2**30, 600_000, 2_000), COMPLETE_FROM_START_MS)
    answer = StoredAnswer(200, {"content-type": "application/json"}, b"x" * 200)
    for i in range(size):
        scope = f"gate\0account-{i % 40}\0{i:036d}"
        table.begin(scope, hashlib.sha256(scope.encode()).hexdigest(), None, 1)
        table.finish(scope, answer)
    return table


def _plan_layers(size: int) -> object:
    demand = [[float((7 * e + layer) % 97 + 1) for e in range(256)] for layer in range(size)]
    shifted_demand = [
        [float((11 * e + layer) % 89 + 1) for e in range(256)] for layer in range(size)
    ]
    current = ExpertMap(tuple(make_layer(d, 64, 5) for d in demand))
    return plan_map(current, shifted_demand, POLICIES["skew"], max_moves=1_000)


def _connect_peers(size: int) -> object:
    """Exchange heartbeats with `size` peers; both ends run in this process."""
    reply = HeartbeatReply("sidecar-name-1", 1, 7, 1_700_000_000_000, 3, 4, 8, 812.5, False)
    server = ControlServer("127.0.0.1", 0, lambda request: reply)
    server.start()
    heartbeat = Heartbeat("entry-name-12", "10.0.0.1:8001", 7, 1_700_000_000_000)
    links = [PeerLink(server.address) for _ in range(size)]
    for _ in range(_HEARTBEATS_PER_LINK):
        for link in links:
            link.ask(heartbeat, timeout_ms=1_000)
    return server, links


KINDS: dict[str, Callable[[int], object]] = {
    "accounts": _build_accounts,
    "account_state": _build_account_state,
    "upstreams": _build_upstreams,
    "keys": _build_key_table,
    "layers": _plan_layers,
    "peers": _connect_peers,
}


def message_bytes() -> dict[str, int]:
    """Return the encoded sizes of the periodic messages in bytes."""
    heartbeat = Heartbeat("entry-name-12", "10.0.0.1:8001", 1_234, 1_700_000_000_000)
    reply = HeartbeatReply(
        "sidecar-name-1", 1_700_000_000_000, 1_234, 1_700_000_000_000, 3, 4, 8, 812.5, False
    )
    return {"beat": len(encode(heartbeat)), "beat_reply": len(encode(reply))}


def config_bytes() -> dict[str, int]:
    """Return encoded sizes of a full-size configuration with 19 past versions, in bytes."""
    text = make_text(accounts=4_400, upstreams=1_000)
    prepared = _prepare_apply(EMPTY_MANIFEST, check_text(text).unwrap(), text, "a" * 32, 1)
    past = tuple(PastVersion(i, "a" * 32, 1_700_000_000_000) for i in range(19))
    manifest = dataclasses.replace(prepared.manifest, past=past)
    ids = manifest.parts
    accounts = [len(prepared.parts[i]) for n, i in ids.items() if n.startswith("accounts-")]
    upstreams = [len(prepared.parts[i]) for n, i in ids.items() if n.startswith("upstreams-")]
    return {
        "head_bytes": len(msgspec.json.encode(prepared.head)),
        "manifest_bytes": len(msgspec.json.encode(manifest)),
        "generations_bytes": len(msgspec.json.encode(manifest.generations)),
        "accounts_part_bytes": sum(accounts) // len(accounts),
        "upstreams_part_bytes": sum(upstreams) // len(upstreams),
    }


def main() -> None:
    """Print the memory and CPU time that one data structure adds to the process."""
    kind, size = sys.argv[1], int(sys.argv[2])
    # Warm up libraries and the allocator, so that their one-time cost is not measured.
    KINDS[kind](1)
    gc.collect()
    before_kib, before_s = _rss_kib(), time.process_time()
    state = KINDS[kind](size)
    took_s = _activation_cpu_s[-1] if _activation_cpu_s else time.process_time() - before_s
    gc.collect()
    print(json.dumps({"kib": _rss_kib() - before_kib, "cpu_ms": took_s * 1000}))
    sys.stdout.flush()
    del state


def _rss_kib() -> int:
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize() // 1024


if __name__ == "__main__":
    main()
