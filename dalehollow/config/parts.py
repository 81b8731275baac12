"""Split a checked configuration into parts, so that a small change moves little.

Accounts and upstreams are spread over buckets by name; a change of one account's limit changes one
bucket. A part's id is its digest and the apply that first wrote it: no two applies share a key of
the key-value service, so one may delete what it replaced without a look at the others.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import replace

import msgspec

from dalehollow.config.model import Account, Config, Upstream

ACCOUNT_BUCKETS = 64
UPSTREAM_BUCKETS = 16
_REST = "rest"
_DIGEST_BYTES = 16
_APPLY_ID_CHARS = 8


def split_config(cfg: Config) -> dict[str, bytes]:
    """Return the parts of a configuration by name, encoded."""
    parts = {_REST: msgspec.json.encode(replace(cfg, accounts={}, upstreams={}))}
    for name, accounts in _fill_buckets(cfg.accounts, ACCOUNT_BUCKETS).items():
        parts[f"accounts-{name}"] = msgspec.json.encode(accounts)
    for name, upstreams in _fill_buckets(cfg.upstreams, UPSTREAM_BUCKETS).items():
        parts[f"upstreams-{name}"] = msgspec.json.encode(upstreams)
    return parts


def join_config(parts: Mapping[str, bytes]) -> Config:
    """Return the configuration that was split into these parts."""
    accounts: dict[str, Account] = {}
    upstreams: dict[str, Upstream] = {}
    for name, data in parts.items():
        if name.startswith("accounts-"):
            accounts.update(msgspec.json.decode(data, type=dict[str, Account]))
        elif name.startswith("upstreams-"):
            upstreams.update(msgspec.json.decode(data, type=dict[str, Upstream]))
    rest = msgspec.json.decode(parts[_REST], type=Config)
    return replace(rest, accounts=accounts, upstreams=upstreams)


def make_part_id(data: bytes, apply_id: str) -> str:
    """Return the id of a part that this apply is the first to write."""
    apply_digest = hashlib.sha256(apply_id.encode()).hexdigest()[:_APPLY_ID_CHARS]
    return f"{_digest(data)}.{apply_digest}"


def is_part(part_id: str, data: bytes) -> bool:
    """Return whether the data is what the id names."""
    return part_id.partition(".")[0] == _digest(data)


def name_parts(
    parts: Mapping[str, bytes], before: Mapping[str, str], apply_id: str
) -> dict[str, str]:
    """Give each part its id: the one it had before if it is unchanged, else a new one."""
    ids = {}
    for name, data in parts.items():
        old = before.get(name)
        ids[name] = old if old and is_part(old, data) else make_part_id(data, apply_id)
    return ids


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def _fill_buckets(table: Mapping[str, object], count: int) -> dict[str, dict[str, object]]:
    buckets: dict[str, dict[str, object]] = {}
    for name in sorted(table):
        bucket = hashlib.blake2b(name.encode(), digest_size=2).digest()
        number = int.from_bytes(bucket, "big") % count
        buckets.setdefault(f"{number:02d}", {})[name] = table[name]
    return buckets


def count_bytes(parts: Iterable[bytes]) -> int:
    """Return the size of parts together."""
    return sum(map(len, parts))
