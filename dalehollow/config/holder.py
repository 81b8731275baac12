"""Hold the configuration in force in one process; its version only ever rises."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from result import Err

from dalehollow.config.check import check_text
from dalehollow.config.model import Config
from dalehollow.config.store import EMPTY_MANIFEST, Manifest, digest_of


@dataclass(frozen=True)
class InForce:
    """Hold one accepted configuration as a whole: never mixed with another."""

    manifest: Manifest
    config: Config | None
    text: str


class ConfigHolder:
    """Keep the newest configuration that this process has seen."""

    def __init__(self) -> None:
        """Begin with version 0, which serves nothing."""
        self._in_force = InForce(EMPTY_MANIFEST, None, "")
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

    def offer(self, manifest: Manifest, text: str) -> bool:
        """Take a configuration if it is newer and whole; return whether it is now in force."""
        if manifest.version <= self.version or digest_of(text) != manifest.digest:
            return False
        checked = check_text(text)
        if isinstance(checked, Err):
            return False
        with self._lock:
            if manifest.version <= self.version:
                return False
            self._in_force = InForce(manifest, checked.ok_value, text)
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
