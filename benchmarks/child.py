"""Build one state of a given size in a fresh process and print its memory and processor time."""

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

_BEATS_PER_LINK = 10
_taken_s: list[float] = []


def make_text(accounts: int, upstreams: int) -> str:
    """Return an operators' file of a given size."""
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


def _hold_config(accounts: int, upstreams: int) -> object:
    holder = ConfigHolder()
    text = make_text(accounts, upstreams)
    raw = msgspec.json.decode(text)
    began_s = time.process_time()
    offer_raw(holder, raw)
    _taken_s.append(time.process_time() - began_s)
    return holder


def offer_raw(holder: ConfigHolder, raw: dict[str, Any]) -> None:
    """Offer a configuration as a peer sends it: in parts."""
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


def _accounts(size: int) -> object:
    return _hold_config(size, 20)


def _upstreams(size: int) -> object:
    holder = _hold_config(10, size)
    pool = Pool("entry-0", "hall-0", read_clock, subset_size=8, peer_limit=30)
    pool.apply(holder.active)  # type: ignore[attr-defined]
    return holder, pool


def _account_state(size: int) -> object:
    buckets = {str(i): (TokenBucket(1, 1), RetryBudget()) for i in range(size)}
    for bucket, _ in buckets.values():
        bucket.take(1.0)
    return buckets


def _keys(size: int) -> object:
    table = KeyTable(KeyTableLimits(size, 2**30, 600_000, 2_000), COMPLETE_FROM_START_MS)
    answer = StoredAnswer(200, {"content-type": "application/json"}, b"x" * 200)
    for i in range(size):
        scope = f"gate\0account-{i % 40}\0{i:036d}"
        table.begin(scope, hashlib.sha256(scope.encode()).hexdigest(), None, 1)
        table.finish(scope, answer)
    return table


def _layers(size: int) -> object:
    demand = [[float((7 * e + layer) % 97 + 1) for e in range(256)] for layer in range(size)]
    turned = [[float((11 * e + layer) % 89 + 1) for e in range(256)] for layer in range(size)]
    current = ExpertMap(tuple(make_layer(d, 64, 5) for d in demand))
    return plan_map(current, turned, POLICIES["skew"], max_moves=1_000)


def _peers(size: int) -> object:
    """Exchange `_BEATS_PER_LINK` beats with each of `size` peers; both sides run here."""
    reply = HeartbeatReply("sidecar-name-1", 1, 7, 1_700_000_000_000, 3, 4, 8, 812.5, False)
    server = ControlServer("127.0.0.1", 0, lambda request: reply)
    server.start()
    beat = Heartbeat("entry-name-12", "10.0.0.1:8001", 7, 1_700_000_000_000)
    links = [PeerLink(server.address) for _ in range(size)]
    for _ in range(_BEATS_PER_LINK):
        for link in links:
            link.ask(beat, timeout_ms=1_000)
    return server, links


KINDS: dict[str, Callable[[int], object]] = {
    "accounts": _accounts,
    "account_state": _account_state,
    "upstreams": _upstreams,
    "keys": _keys,
    "layers": _layers,
    "peers": _peers,
}


def message_bytes() -> dict[str, int]:
    """Return the encoded sizes of the messages that are sent all the time."""
    beat = Heartbeat("entry-name-12", "10.0.0.1:8001", 1_234, 1_700_000_000_000)
    reply = HeartbeatReply(
        "sidecar-name-1", 1_700_000_000_000, 1_234, 1_700_000_000_000, 3, 4, 8, 812.5, False
    )
    return {"beat": len(encode(beat)), "beat_reply": len(encode(reply))}


def config_bytes() -> dict[str, int]:
    """Return what a full-size configuration puts on the wire, with 19 earlier versions listed."""
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
    """Print what one state costs beyond the process without it."""
    kind, size = sys.argv[1], int(sys.argv[2])
    # Libraries and allocator are warmed by a small one, so that the slope is the state's own.
    KINDS[kind](1)
    gc.collect()
    before_kib, before_s = _rss_kib(), time.process_time()
    kept = KINDS[kind](size)
    took_s = _taken_s[-1] if _taken_s else time.process_time() - before_s
    gc.collect()
    print(json.dumps({"kib": _rss_kib() - before_kib, "cpu_ms": took_s * 1000}))
    sys.stdout.flush()
    del kept


def _rss_kib() -> int:
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize() // 1024


if __name__ == "__main__":
    main()
