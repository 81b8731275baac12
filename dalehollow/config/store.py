"""Apply a whole configuration with one compare-and-swap of its head.

The parts are written first, then the manifest that names them, all under keys that nobody knows
yet; the swap of the head, which names the manifest, is the one moment at which the whole file
comes into force. The head is small because every process reads it again and again.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from dalehollow.config.check import check_text
from dalehollow.config.fields import Mistake
from dalehollow.config.model import Config, Service
from dalehollow.config.parts import is_part, make_part_id, name_parts, split_config
from dalehollow.errors import PlatformError
from dalehollow.once import Generation, extend_generations
from dalehollow.platform.keyvalue import Entry, KeyValue

HEAD_KEY = "config/head"
_SETTLE_ATTEMPTS = 5


HISTORY_LENGTH = 20


@dataclass(frozen=True)
class Head:
    """Name the manifest in force, a part like the others."""

    version: int
    apply_id: str
    applied_at_ms: int
    manifest_id: str


EMPTY_HEAD = Head(0, "", 0, "")


@dataclass(frozen=True)
class PastVersion:
    """Tell when and by which apply a version came into force."""

    version: int
    apply_id: str
    applied_at_ms: int


@dataclass(frozen=True)
class Manifest:
    """Name one accepted configuration: its version, its parent and its parts' ids by name.

    `source` is the part that holds the operator's text as it was written.
    """

    version: int
    parent: int
    apply_id: str
    applied_at_ms: int
    source: str
    parts: Mapping[str, str]
    generations: Mapping[str, tuple[Generation, ...]]
    past: tuple[PastVersion, ...] = ()


EMPTY_MANIFEST = Manifest(0, 0, "", 0, "", {}, {})


@dataclass(frozen=True)
class Applied:
    """Tell that the file is in force as this version."""

    manifest: Manifest


@dataclass(frozen=True)
class Conflict:
    """Tell that another file came first; nothing of this one is in force."""

    winner: Head


ApplyError = tuple[Mistake, ...] | Conflict | PlatformError


def part_key(part_id: str) -> str:
    """Return the key under which a part is kept."""
    return f"config/part/{part_id}"


def decode_head(entry: Entry) -> Head:
    """Return the head in an entry, or the empty one where none was written."""
    if entry.revision == 0:
        return EMPTY_HEAD
    return msgspec.json.decode(entry.value, type=Head)


def read_head(kv: KeyValue, *, timeout_s: float = 2.0) -> Result[Head, PlatformError]:
    """Read the head in force."""
    return kv.get(HEAD_KEY, timeout_s=timeout_s).map(decode_head)


def load_manifest(
    kv: KeyValue, head: Head, *, timeout_s: float = 2.0
) -> Result[Manifest, PlatformError]:
    """Read the manifest that a head names; it is gone once a newer one is in force."""
    if not head.version:
        return Ok(EMPTY_MANIFEST)
    found = kv.get(part_key(head.manifest_id), timeout_s=timeout_s)
    if isinstance(found, Err):
        return Err(found.err_value)
    if not found.ok_value.revision or not is_part(head.manifest_id, found.ok_value.value):
        message = f"the manifest of version {head.version} is gone; read the head again"
        return Err(PlatformError(message, may_have_written=False))
    return Ok(msgspec.json.decode(found.ok_value.value, type=Manifest))


def read_manifest(kv: KeyValue) -> Result[Manifest, PlatformError]:
    """Read the manifest in force."""
    return read_head(kv).and_then(lambda head: load_manifest(kv, head))


def apply_text(
    kv: KeyValue,
    text: str,
    *,
    apply_id: str,
    parent: int | None = None,
    now_ms: Callable[[], int] = lambda: int(time.time() * 1000),
) -> Result[Applied, ApplyError]:
    """Apply a whole file or nothing; `parent` is the version the operator's edit began from.

    Errors: every mistake of the file, the winner of a race, or a platform failure.
    """
    checked = check_text(text)
    if isinstance(checked, Err):
        return Err(checked.err_value)
    before = kv.get(HEAD_KEY)
    if isinstance(before, Err):
        return Err(before.err_value)
    old_head = decode_head(before.ok_value)
    if parent is not None and parent != old_head.version:
        return Err(Conflict(old_head))
    loaded = load_manifest(kv, old_head)
    if isinstance(loaded, Err):
        return Err(loaded.err_value)
    data = _make_parts(loaded.ok_value, checked.ok_value, text, apply_id, now_ms())
    old_ids = _list_ids(old_head, loaded.ok_value)
    written = {i: d for i, d in data.parts.items() if i not in old_ids}
    stored = _store_parts(kv, written)
    if isinstance(stored, Err):
        return Err(stored.err_value)
    applied = _swap_head(kv, data, before.ok_value.revision)
    if isinstance(applied, Ok):
        _delete_parts(kv, old_ids - set(data.parts))
    elif isinstance(applied.err_value, Conflict):
        _delete_parts(kv, set(written))
    # Else it is open which of the two is in force: leave both.
    return applied


@dataclass(frozen=True)
class _Prepared:
    """Hold all that one apply puts in force, its parts by id."""

    head: Head
    manifest: Manifest
    parts: Mapping[str, bytes]


def _make_parts(current: Manifest, cfg: Config, text: str, apply_id: str, now_ms: int) -> _Prepared:
    parts = split_config(cfg)
    manifest = _make_manifest(current, cfg, parts, text, apply_id, now_ms)
    manifest_json = msgspec.json.encode(manifest)
    manifest_id = make_part_id(manifest_json, apply_id)
    data = {manifest.parts[name]: part for name, part in parts.items()}
    data[manifest.source] = text.encode()
    data[manifest_id] = manifest_json
    return _Prepared(Head(manifest.version, apply_id, now_ms, manifest_id), manifest, data)


def _list_ids(head: Head, manifest: Manifest) -> set[str]:
    return {head.manifest_id, manifest.source, *manifest.parts.values()} - {""}


def _delete_parts(kv: KeyValue, part_ids: set[str]) -> None:
    """Delete parts that no head names any more; what fails only takes up room."""
    for part_id in part_ids:
        kv.delete(part_key(part_id))


def member_name(cfg: Config, upstream: str) -> str:
    """Return the identity of an upstream as an owner: its name at its address."""
    return f"{upstream}@{cfg.upstreams[upstream].http}"


def _make_manifest(
    current: Manifest,
    cfg: Config,
    parts: Mapping[str, bytes],
    text: str,
    apply_id: str,
    now_ms: int,
) -> Manifest:
    generations = {
        service.name: _extend_service(current, cfg, service, now_ms)
        for service in cfg.services.values()
    }
    return Manifest(
        version=current.version + 1,
        parent=current.version,
        apply_id=apply_id,
        applied_at_ms=now_ms,
        source=make_part_id(text.encode(), apply_id),
        parts=name_parts(parts, current.parts, apply_id),
        generations=generations,
        past=tuple(list_history(current))[: HISTORY_LENGTH - 1],
    )


def list_history(manifest: Manifest) -> list[PastVersion]:
    """Return the version in force and those before it, the newest first."""
    if not manifest.version:
        return []
    newest = PastVersion(manifest.version, manifest.apply_id, manifest.applied_at_ms)
    return [newest, *manifest.past]


def _extend_service(
    current: Manifest, cfg: Config, service: Service, now_ms: int
) -> tuple[Generation, ...]:
    return extend_generations(
        tuple(current.generations.get(service.name, ())),
        tuple(member_name(cfg, name) for name in service.upstreams),
        applied_at_ms=now_ms,
        horizon_ms=service.ownership_horizon_ms,
        clock_bound_ms=cfg.clock_bound_ms,
        window_ms=service.key_window_ms,
    )


def _store_parts(kv: KeyValue, parts: Mapping[str, bytes]) -> Result[None, PlatformError]:
    for part_id, data in parts.items():
        stored = _store_part(kv, part_id, data)
        if isinstance(stored, Err):
            return stored
    return Ok(None)


def _store_part(kv: KeyValue, part_id: str, data: bytes) -> Result[None, PlatformError]:
    """Write a part; one that is there already is the same, written by a try of ours."""
    failure = PlatformError("not tried", may_have_written=False)
    for _ in range(_SETTLE_ATTEMPTS):
        written = kv.swap(part_key(part_id), data, expected_revision=0)
        if isinstance(written, Ok):
            return Ok(None)
        failure = written.err_value
        if not failure.may_have_written:
            break
    return Err(failure)


def _swap_head(kv: KeyValue, data: _Prepared, revision: int) -> Result[Applied, ApplyError]:
    """Swap until the outcome is known: ours, another's, or beyond what was tried.

    Swapping again against the same revision settles a lost answer: only one of our tries can
    ever win, and once any swap has won, all others against that revision lose.
    """
    head = data.head
    value = msgspec.json.encode(head)
    for _ in range(_SETTLE_ATTEMPTS):
        swapped = kv.swap(HEAD_KEY, value, expected_revision=revision)
        if isinstance(swapped, Ok) and swapped.ok_value.won:
            return Ok(Applied(data.manifest))
        found = read_head(kv)
        if isinstance(found, Ok) and found.ok_value.apply_id == head.apply_id:
            return Ok(Applied(data.manifest))
        if isinstance(found, Ok) and found.ok_value.version >= head.version:
            return Err(Conflict(found.ok_value))
        if isinstance(swapped, Err) and not swapped.err_value.may_have_written:
            return Err(swapped.err_value)
    message = f"outcome of apply {head.apply_id} is unknown; read the head again"
    return Err(PlatformError(message, may_have_written=True))
