"""Hold the active configuration of a process; its version never decreases."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from dalehollow.config.model import Config
from dalehollow.config.parts import is_part, join_config
from dalehollow.config.store import EMPTY_MANIFEST, Manifest


@dataclass(frozen=True)
class ActiveConfig:
    """Hold one accepted configuration as a unit that is never mixed with another."""

    manifest: Manifest
    config: Config | None
    parts: Mapping[str, bytes]


class ConfigHolder:
    """Hold the newest configuration that this process has received."""

    def __init__(self) -> None:
        """Start with version 0, an empty configuration."""
        self._active = ActiveConfig(EMPTY_MANIFEST, None, {})
        self._confirmed_at_ms = 0
        self._listeners: list[Callable[[ActiveConfig], None]] = []
        self._lock = threading.RLock()

    @property
    def active(self) -> ActiveConfig:
        """Return the active configuration."""
        return self._active

    @property
    def version(self) -> int:
        """Return the active version."""
        return self._active.manifest.version

    @property
    def confirmed_at_ms(self) -> int:
        """Return the latest wall-clock time at which the active version was known to be current."""
        return self._confirmed_at_ms

    def on_change(self, listener: Callable[[ActiveConfig], None]) -> None:
        """Call the listener with each new configuration, and with the active one if any."""
        with self._lock:
            self._listeners.append(listener)
            if self._active.config is not None:
                listener(self._active)

    def list_missing(self, manifest: Manifest) -> tuple[str, ...]:
        """Return the ids of the parts of a manifest that are not held here."""
        return tuple(sorted(set(manifest.parts.values()) - set(self._active.parts)))

    def activate(self, manifest: Manifest, parts: Mapping[str, bytes]) -> bool:
        """Activate a configuration if it is newer and complete; return whether it was activated.

        `parts` contains at least the missing parts, by id.
        """
        if manifest.version <= self.version:
            return False
        known = {**self._active.parts, **parts}
        wanted = set(manifest.parts.values())
        if not all(part_id in known and is_part(part_id, known[part_id]) for part_id in wanted):
            return False
        cfg = join_config({name: known[part_id] for name, part_id in manifest.parts.items()})
        with self._lock:
            if manifest.version <= self.version:
                return False
            self._active = ActiveConfig(manifest, cfg, {i: known[i] for i in wanted})
            self._confirmed_at_ms = manifest.applied_at_ms
            for listener in self._listeners:
                listener(self._active)
        return True

    def confirm(self, version: int, at_ms: int) -> None:
        """Record that a version was current at a time, if it is the active one."""
        with self._lock:
            if version == self.version:
                self._confirmed_at_ms = max(self._confirmed_at_ms, at_ms)

    def manifest_json(self) -> bytes:
        """Return the active manifest as JSON."""
        return msgspec.json.encode(self._active.manifest)
