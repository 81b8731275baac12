"""Apply a whole configuration with one compare-and-swap and read it back by digest.

The text is written under its digest first, where nobody reads it yet; the swap of the manifest
is the one moment at which the whole file comes into force.
"""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from dalehollow.config.check import Mistake, check_text
from dalehollow.config.model import Config, Service
from dalehollow.errors import PlatformError
from dalehollow.once import Generation, extend_generations
from dalehollow.platform import Entry, KeyValue

MANIFEST_KEY = "config/manifest"
_SETTLE_ATTEMPTS = 5


@dataclass(frozen=True)
class Manifest:
    """Name one accepted configuration: its version, its parent and its text's digest."""

    version: int
    parent: int
    digest: str
    apply_id: str
    applied_at_ms: int
    generations: Mapping[str, tuple[Generation, ...]]


EMPTY_MANIFEST = Manifest(0, 0, "", "", 0, {})


@dataclass(frozen=True)
class Applied:
    """Tell that the file is in force as this version."""

    manifest: Manifest


@dataclass(frozen=True)
class Conflict:
    """Tell that another file came first; nothing of this one is in force."""

    winner: Manifest


ApplyError = tuple[Mistake, ...] | Conflict | PlatformError


def part_key(digest: str) -> str:
    """Return the key under which a text of this digest is kept."""
    return f"config/part/{digest}"


def digest_of(text: str) -> str:
    """Return the digest that names a text."""
    return hashlib.sha256(text.encode()).hexdigest()


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
    stored = _store_part(kv, text)
    if isinstance(stored, Err):
        return Err(stored.err_value)
    manifest = _make_manifest(current, checked.ok_value, text, apply_id, now_ms())
    return _swap_manifest(kv, manifest, before.ok_value.revision)


def member_name(cfg: Config, upstream: str) -> str:
    """Return the identity of an upstream as an owner: its name at its address."""
    return f"{upstream}@{cfg.upstreams[upstream].http}"


def _make_manifest(
    current: Manifest, cfg: Config, text: str, apply_id: str, now_ms: int
) -> Manifest:
    generations = {
        service.name: _extend_service(current, cfg, service, now_ms)
        for service in cfg.services.values()
    }
    digest = digest_of(text)
    return Manifest(current.version + 1, current.version, digest, apply_id, now_ms, generations)


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


def _store_part(kv: KeyValue, text: str) -> Result[None, PlatformError]:
    """Write the text under its digest; one that is there already is the same text."""
    key = part_key(digest_of(text))
    failure = PlatformError("not tried", may_have_written=False)
    for _ in range(_SETTLE_ATTEMPTS):
        written = kv.swap(key, text.encode(), expected_revision=0)
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
