"""Apply a whole configuration with one compare-and-swap of its manifest.

The parts are written first, under keys that no manifest names yet; the swap of the manifest is
the one moment at which the whole file comes into force.
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
from dalehollow.config.parts import make_part_id, name_parts, split_config
from dalehollow.errors import PlatformError
from dalehollow.once import Generation, extend_generations
from dalehollow.platform import Entry, KeyValue

MANIFEST_KEY = "config/manifest"
_SETTLE_ATTEMPTS = 5


HISTORY_LENGTH = 20


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

    winner: Manifest


ApplyError = tuple[Mistake, ...] | Conflict | PlatformError


def part_key(part_id: str) -> str:
    """Return the key under which a part is kept."""
    return f"config/part/{part_id}"


def decode_manifest(entry: Entry) -> Manifest:
    """Return the manifest in an entry, or the empty one where none was written."""
    if entry.revision == 0:
        return EMPTY_MANIFEST
    return msgspec.json.decode(entry.value, type=Manifest)


def read_manifest(kv: KeyValue) -> Result[Manifest, PlatformError]:
    """Read the manifest in force."""
    return kv.get(MANIFEST_KEY).map(decode_manifest)


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
    before = kv.get(MANIFEST_KEY)
    if isinstance(before, Err):
        return Err(before.err_value)
    current = decode_manifest(before.ok_value)
    if parent is not None and parent != current.version:
        return Err(Conflict(current))
    cfg = checked.ok_value
    parts = split_config(cfg)
    manifest = _make_manifest(current, cfg, parts, text, apply_id, now_ms())
    written = _new_ids(manifest, current)
    data = {manifest.source: text.encode(), **{manifest.parts[n]: d for n, d in parts.items()}}
    stored = _store_parts(kv, {part_id: data[part_id] for part_id in written})
    if isinstance(stored, Err):
        return Err(stored.err_value)
    applied = _swap_manifest(kv, manifest, before.ok_value.revision)
    _delete_unused(kv, applied, written, current)
    return applied


def _new_ids(manifest: Manifest, before: Manifest) -> set[str]:
    return {manifest.source, *manifest.parts.values()} - {before.source, *before.parts.values()}


def _delete_unused(
    kv: KeyValue, applied: Result[Applied, ApplyError], written: set[str], before: Manifest
) -> None:
    """Delete what this apply replaced, or what it wrote in vain; leave all when in doubt."""
    if isinstance(applied, Ok):
        unused = _new_ids(before, applied.ok_value.manifest)
    elif isinstance(applied.err_value, Conflict):
        unused = written
    else:
        return
    for part_id in unused - {""}:
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


def _swap_manifest(kv: KeyValue, manifest: Manifest, revision: int) -> Result[Applied, ApplyError]:
    """Swap until the outcome is known: ours, another's, or beyond what was tried.

    Swapping again against the same revision settles a lost answer: only one of our tries can
    ever win, and once any swap has won, all others against that revision lose.
    """
    value = msgspec.json.encode(manifest)
    for _ in range(_SETTLE_ATTEMPTS):
        swapped = kv.swap(MANIFEST_KEY, value, expected_revision=revision)
        if isinstance(swapped, Ok) and swapped.ok_value.won:
            return Ok(Applied(manifest))
        found = read_manifest(kv)
        if isinstance(found, Ok) and found.ok_value.apply_id == manifest.apply_id:
            return Ok(Applied(manifest))
        if isinstance(found, Ok) and found.ok_value.version >= manifest.version:
            return Err(Conflict(found.ok_value))
        if isinstance(swapped, Err) and not swapped.err_value.may_have_written:
            return Err(swapped.err_value)
    message = f"outcome of apply {manifest.apply_id} is unknown; read the manifest again"
    return Err(PlatformError(message, may_have_written=True))
