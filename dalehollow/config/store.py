"""Apply a configuration atomically with a compare-and-swap of its head.

The parts and the manifest that lists them are written first, under keys that nothing refers to yet.
Swapping the head, which names the manifest, then activates the whole file at once. The head is
small because every process polls it.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from dalehollow.config.check import check_text
from dalehollow.config.fields import ConfigIssue
from dalehollow.config.model import Config, Service
from dalehollow.config.parts import is_part, make_part_id, name_parts, split_config
from dalehollow.errors import PlatformError
from dalehollow.once import Generation, extend_generations
from dalehollow.platform.keyvalue import Entry, KeyValue

HEAD_KEY = "config/head"
_WRITE_ATTEMPTS = 5
HISTORY_LENGTH = 20


@dataclass(frozen=True)
class Head:
    """Identify the active manifest, which is stored as a part."""

    version: int
    apply_id: str
    applied_at_ms: int
    manifest_id: str


EMPTY_HEAD = Head(0, "", 0, "")


@dataclass(frozen=True)
class PastVersion:
    """Record when and by which apply a version was activated."""

    version: int
    apply_id: str
    applied_at_ms: int


@dataclass(frozen=True)
class Manifest:
    """Describe an accepted configuration: its version, its parent and its part ids by name.

    `source` is the id of the part that holds the operator's original text.
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
    """Report that the file is active as this version."""

    manifest: Manifest


@dataclass(frozen=True)
class Conflict:
    """Report that another file was applied first and nothing of this one is active."""

    winner: Head


ApplyError = tuple[ConfigIssue, ...] | Conflict | PlatformError


def part_key(part_id: str) -> str:
    """Return the storage key of a part."""
    return f"config/part/{part_id}"


def decode_head(entry: Entry) -> Head:
    """Return the head in an entry, or the empty head if none was written."""
    if entry.revision == 0:
        return EMPTY_HEAD
    return msgspec.json.decode(entry.value, type=Head)


def read_head(kv: KeyValue, *, timeout_s: float = 2.0) -> Result[Head, PlatformError]:
    """Read the current head."""
    return kv.get(HEAD_KEY, timeout_s=timeout_s).map(decode_head)


def load_manifest(
    kv: KeyValue, head: Head, *, timeout_s: float = 2.0
) -> Result[Manifest, PlatformError]:
    """Read the manifest of a head; it is deleted once a newer one is active."""
    if not head.version:
        return Ok(EMPTY_MANIFEST)
    found = kv.get(part_key(head.manifest_id), timeout_s=timeout_s)
    if isinstance(found, Err):
        return Err(found.err_value)
    if not found.ok_value.revision or not is_part(head.manifest_id, found.ok_value.value):
        message = f"manifest of version {head.version} no longer exists; read the head again"
        return Err(PlatformError(message, may_have_written=False))
    return Ok(msgspec.json.decode(found.ok_value.value, type=Manifest))


def read_manifest(kv: KeyValue) -> Result[Manifest, PlatformError]:
    """Read the active manifest."""
    return read_head(kv).and_then(lambda head: load_manifest(kv, head))


def apply_text(
    kv: KeyValue,
    text: str,
    *,
    apply_id: str,
    parent: int | None = None,
    now_ms: Callable[[], int] = lambda: int(time.time() * 1000),
) -> Result[Applied, ApplyError]:
    """Apply a configuration file atomically; `parent` is the version that the edit is based on.

    Errors: all errors in the file, the winner of a concurrent apply, or a platform failure.
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
    data = _prepare_apply(loaded.ok_value, checked.ok_value, text, apply_id, now_ms())
    old_ids = _list_part_ids(old_head, loaded.ok_value)
    written = {i: d for i, d in data.parts.items() if i not in old_ids}
    stored = _store_parts(kv, written)
    if isinstance(stored, Err):
        return Err(stored.err_value)
    applied = _swap_head(kv, data, before.ok_value.revision)
    if isinstance(applied, Ok):
        _delete_parts(kv, old_ids - set(data.parts))
    elif isinstance(applied.err_value, Conflict):
        _delete_parts(kv, set(written))
    # Otherwise it is unknown which one is active, so the parts of both are kept.
    return applied


@dataclass(frozen=True)
class _PendingApply:
    """Hold what one apply activates, with its parts by id."""

    head: Head
    manifest: Manifest
    parts: Mapping[str, bytes]


def _prepare_apply(
    current: Manifest, cfg: Config, text: str, apply_id: str, now_ms: int
) -> _PendingApply:
    parts = split_config(cfg)
    manifest = _make_manifest(current, cfg, parts, text, apply_id, now_ms)
    manifest_json = msgspec.json.encode(manifest)
    manifest_id = make_part_id(manifest_json, apply_id)
    data = {manifest.parts[name]: part for name, part in parts.items()}
    data[manifest.source] = text.encode()
    data[manifest_id] = manifest_json
    return _PendingApply(Head(manifest.version, apply_id, now_ms, manifest_id), manifest, data)


def _list_part_ids(head: Head, manifest: Manifest) -> set[str]:
    return {head.manifest_id, manifest.source, *manifest.parts.values()} - {""}


def _delete_parts(kv: KeyValue, part_ids: set[str]) -> None:
    """Delete unreferenced parts; a failed delete only wastes storage."""
    for part_id in part_ids:
        kv.delete(part_key(part_id))


def owner_name(cfg: Config, upstream: str) -> str:
    """Return the owner identity of an upstream: name@address."""
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
    """Return the active and previous versions, newest first."""
    if not manifest.version:
        return []
    newest = PastVersion(manifest.version, manifest.apply_id, manifest.applied_at_ms)
    return [newest, *manifest.past]


def _extend_service(
    current: Manifest, cfg: Config, service: Service, now_ms: int
) -> tuple[Generation, ...]:
    return extend_generations(
        tuple(current.generations.get(service.name, ())),
        tuple(owner_name(cfg, name) for name in service.upstreams),
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
    """Write a part; an existing one is identical, from an earlier attempt of this apply."""
    failure = PlatformError("write not attempted", may_have_written=False)
    for _ in range(_WRITE_ATTEMPTS):
        written = kv.swap(part_key(part_id), data, expected_revision=0)
        if isinstance(written, Ok):
            return Ok(None)
        failure = written.err_value
        if not failure.may_have_written:
            break
    return Err(failure)


def _swap_head(kv: KeyValue, data: _PendingApply, revision: int) -> Result[Applied, ApplyError]:
    """Retry the swap until its outcome is known or the attempts are used up.

    Retrying against the same revision is safe after a lost response: once any swap against a
    revision succeeds, all others against it fail, so at most one attempt can succeed.
    """
    head = data.head
    value = msgspec.json.encode(head)
    for _ in range(_WRITE_ATTEMPTS):
        swapped = kv.swap(HEAD_KEY, value, expected_revision=revision)
        if isinstance(swapped, Ok) and swapped.ok_value.succeeded:
            return Ok(Applied(data.manifest))
        found = read_head(kv)
        if isinstance(found, Ok) and found.ok_value.apply_id == head.apply_id:
            return Ok(Applied(data.manifest))
        if isinstance(found, Ok) and found.ok_value.version >= head.version:
            return Err(Conflict(found.ok_value))
        if isinstance(swapped, Err) and not swapped.err_value.may_have_written:
            return Err(swapped.err_value)
    message = f"outcome of apply {head.apply_id} is unknown; read the head again to check"
    return Err(PlatformError(message, may_have_written=True))
