"""Hold the configuration in force in one process; its version only ever rises."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from dalehollow.config.model import Config
from dalehollow.config.parts import is_part, join_config
from dalehollow.config.store import EMPTY_MANIFEST, Manifest


@dataclass(frozen=True)
class InForce:
    """Hold one accepted configuration as a whole: never mixed with another."""

    manifest: Manifest
    config: Config | None
    parts: Mapping[str, bytes]


class ConfigHolder:
    """Keep the newest configuration that this process has seen."""

    def __init__(self) -> None:
        """Begin with version 0, which serves nothing."""
        self._in_force = InForce(EMPTY_MANIFEST, None, {})
        self._confirmed_at_ms = 0
        self._listeners: list[Callable[[InForce], None]] = []
        self._lock = threading.RLock()

    @property
    def in_force(self) -> InForce:
        """Return the configuration in force."""
        return self._in_force

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self._in_force.manifest.version

    @property
    def confirmed_at_ms(self) -> int:
        """Return the wall-clock time at which the version in force was known to be current."""
        return self._confirmed_at_ms

    def on_change(self, listener: Callable[[InForce], None]) -> None:
        """Call the listener with each new configuration, and with the present one if there is."""
        with self._lock:
            self._listeners.append(listener)
            if self._in_force.config is not None:
                listener(self._in_force)

    def list_missing(self, manifest: Manifest) -> tuple[str, ...]:
        """Return the ids of the parts of a manifest that are not held yet."""
        return tuple(sorted(set(manifest.parts.values()) - set(self._in_force.parts)))

    def offer(self, manifest: Manifest, parts: Mapping[str, bytes]) -> bool:
        """Take a configuration if it is newer and whole; return whether it is now in force.

        `parts` holds at least those that are missing, by id.
        """
        if manifest.version <= self.version:
            return False
        known = {**self._in_force.parts, **parts}
        wanted = set(manifest.parts.values())
        if not all(part_id in known and is_part(part_id, known[part_id]) for part_id in wanted):
            return False
        cfg = join_config({name: known[part_id] for name, part_id in manifest.parts.items()})
        with self._lock:
            if manifest.version <= self.version:
                return False
            self._in_force = InForce(manifest, cfg, {i: known[i] for i in wanted})
            self._confirmed_at_ms = manifest.applied_at_ms
            for listener in self._listeners:
                listener(self._in_force)
        return True

    def confirm(self, version: int, at_ms: int) -> None:
        """Note that a version was current at a time, if it is the one in force."""
        with self._lock:
            if version == self.version:
                self._confirmed_at_ms = max(self._confirmed_at_ms, at_ms)

    def manifest_json(self) -> bytes:
        """Return the manifest in force as JSON."""
        return msgspec.json.encode(self._in_force.manifest)
