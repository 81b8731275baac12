"""Split a validated configuration into parts, so that a small change transfers little data.

Accounts and upstreams are distributed over buckets by name, so a change to one account changes one
bucket. A part id combines the digest of the part with the apply that first wrote it. Two applies
therefore never share a key in the key-value service, and each may delete the parts it replaced
without checking for other applies.
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
    """Return the encoded parts of a configuration by name."""
    parts = {_REST: msgspec.json.encode(replace(cfg, accounts={}, upstreams={}))}
    for name, accounts in _fill_buckets(cfg.accounts, ACCOUNT_BUCKETS).items():
        parts[f"accounts-{name}"] = msgspec.json.encode(accounts)
    for name, upstreams in _fill_buckets(cfg.upstreams, UPSTREAM_BUCKETS).items():
        parts[f"upstreams-{name}"] = msgspec.json.encode(upstreams)
    return parts


def join_config(parts: Mapping[str, bytes]) -> Config:
    """Reassemble a configuration from its parts."""
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
    """Return the id of a part first written by this apply."""
    apply_digest = hashlib.sha256(apply_id.encode()).hexdigest()[:_APPLY_ID_CHARS]
    return f"{_digest(data)}.{apply_digest}"


def is_part(part_id: str, data: bytes) -> bool:
    """Return whether the data matches the digest in a part id."""
    return part_id.partition(".")[0] == _digest(data)


def name_parts(
    parts: Mapping[str, bytes], before: Mapping[str, str], apply_id: str
) -> dict[str, str]:
    """Return part ids by name: the previous id of an unchanged part, else a new one."""
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
    """Return the total size of parts."""
    return sum(map(len, parts))
