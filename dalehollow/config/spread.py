"""Bring each accepted configuration to this process, with few calls to the platform.

No process is appointed to watch. Each one reads the head itself when the newest word it has
on it is older than a limit of its own, drawn from its name between two settings. Word spreads on
the beats that processes exchange anyway, so within a hall the process with the lowest limit
reads, and the others rest as long as they hear of it.
"""

from __future__ import annotations

import hashlib
import logging
import threading
import time
from collections.abc import Callable, Mapping

import msgspec
from result import Ok

from dalehollow.config.holder import ConfigHolder
from dalehollow.config.parts import count_bytes
from dalehollow.config.store import Manifest, load_manifest, part_key, read_head
from dalehollow.platform.keyvalue import KeyValue
from dalehollow.protocol import FetchManifest, FetchParts, ManifestJson, Parts
from dalehollow.protocol.link import PeerLink
from dalehollow.telemetry.logs import log_event

_POLL_BACKOFF_MAX_MS = 10_000
_SHORTEST_LOOK_MS = 50
_MS_PER_S = 1000
_FETCH_TIMEOUT_MS = 2_000
_READ_TIMEOUT_S = 1.0

_log = logging.getLogger(__name__)


def wall_ms() -> int:
    """Return the wall clock in Unix milliseconds."""
    return int(time.time() * 1000)


def draw_poll_limit_ms(name: str, min_ms: int, max_ms: int) -> int:
    """Draw how old word may grow before the process of this name reads the head itself."""
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    share = int.from_bytes(digest, "big") / 2**32
    return round(min_ms + share * (max_ms - min_ms))


def is_poll_due(age_ms: int, since_poll_ms: int, limit_ms: int, failures: int) -> bool:
    """Return whether to read the head; after failures, less often."""
    pause_ms = min(limit_ms * 2 ** min(failures, 8), max(limit_ms, _POLL_BACKOFF_MAX_MS))
    return age_ms >= limit_ms and since_poll_ms >= pause_ms


class Spreader:
    """Run the reading of the head and the fetching of parts for one process."""

    def __init__(
        self,
        limit_ms: int,
        holder: ConfigHolder,
        kv: KeyValue | None,
        clock_ms: Callable[[], int] = wall_ms,
    ) -> None:
        """Prepare; without a key-value service, all word comes from peers."""
        self._limit_ms = limit_ms
        self._holder = holder
        self._kv = kv
        self._clock_ms = clock_ms
        self._heard: tuple[int, int, str] | None = None
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="config", daemon=True)
        # Parts of a configuration that is not whole yet: a poll that fails half-way, again and
        # again on a slow way to the platform, goes on where the one before ended.
        self._read: dict[str, bytes] = {}
        self.polls = 0
        self.failures = 0

    def start(self) -> None:
        """Begin to spread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop spreading."""
        self._stopping.set()
        self._wake.set()

    def hear(self, version: int, confirmed_at_ms: int, address: str) -> None:
        """Take a peer's word; a newer version is fetched from it in the background."""
        # Word dated ahead of this clock would hide a stale configuration; cap it.
        confirmed_at_ms = min(confirmed_at_ms, self._clock_ms())
        if version == self._holder.version:
            self._holder.confirm(version, confirmed_at_ms)
        elif version > self._holder.version and address:
            self._heard = (version, confirmed_at_ms, address)
            self._wake.set()

    def answer(self, request: FetchManifest | FetchParts) -> ManifestJson | Parts:
        """Answer a peer that asks for what is in force here."""
        if isinstance(request, FetchManifest):
            return ManifestJson(self._holder.manifest_json())
        held = self._holder.in_force.parts
        return Parts({part_id: held[part_id] for part_id in request.part_ids if part_id in held})

    def _run(self) -> None:
        polled_at_ms = 0
        while not self._stopping.is_set():
            heard, self._heard = self._heard, None
            if heard is not None:
                self._fetch_from_peer(*heard)
            now_ms = self._clock_ms()
            age_ms = now_ms - self._holder.confirmed_at_ms
            since_ms = now_ms - polled_at_ms
            if self._kv and is_poll_due(age_ms, since_ms, self._limit_ms, self.failures):
                polled_at_ms = now_ms
                self.poll()
            self._wake.wait(self._next_look_s(now_ms))
            self._wake.clear()

    def _next_look_s(self, now_ms: int) -> float:
        """Return how long nothing can be due: confirmations only ever put it off."""
        age_ms = now_ms - self._holder.confirmed_at_ms
        return max(_SHORTEST_LOOK_MS, self._limit_ms - age_ms) / _MS_PER_S

    def poll(self) -> bool:
        """Read the head once, and what is new behind it; return whether it was read."""
        if self._kv is None:
            return False
        self.polls += 1
        asked_at_ms = self._clock_ms()
        found = read_head(self._kv, timeout_s=_READ_TIMEOUT_S)
        if not isinstance(found, Ok):
            self.failures += 1
            return False
        self.failures = 0
        head = found.ok_value
        if head.version > self._holder.version:
            loaded = load_manifest(self._kv, head, timeout_s=_READ_TIMEOUT_S)
            if isinstance(loaded, Ok):
                self._read_parts(loaded.ok_value)
        # The version was current no earlier than the question was asked.
        self._holder.confirm(head.version, asked_at_ms)
        return True

    def _read_parts(self, manifest: Manifest) -> None:
        assert self._kv is not None
        missing = self._holder.list_missing(manifest)
        self._read = {part_id: self._read[part_id] for part_id in missing if part_id in self._read}
        for part_id in missing:
            if part_id in self._read:
                continue
            found = self._kv.get(part_key(part_id), timeout_s=_READ_TIMEOUT_S)
            if not isinstance(found, Ok) or not found.ok_value.revision:
                # Deleted since: a newer manifest is in force and will be read next.
                return
            self._read[part_id] = found.ok_value.value
        self._take(manifest, self._read, "platform")
        self._read = {}

    def _fetch_from_peer(self, version: int, confirmed_at_ms: int, address: str) -> None:
        if version <= self._holder.version:
            return
        link = PeerLink(address)
        try:
            self._fetch_over(link, address)
        finally:
            link.close()
        self._holder.confirm(version, confirmed_at_ms)

    def _fetch_over(self, link: PeerLink, address: str) -> None:
        asked = link.ask(FetchManifest(), timeout_ms=_FETCH_TIMEOUT_MS)
        if not (isinstance(asked, Ok) and isinstance(asked.ok_value, ManifestJson)):
            return
        manifest = msgspec.json.decode(asked.ok_value.manifest_json, type=Manifest)
        missing = self._holder.list_missing(manifest)
        fetched = link.ask(FetchParts(missing), timeout_ms=_FETCH_TIMEOUT_MS)
        if isinstance(fetched, Ok) and isinstance(fetched.ok_value, Parts):
            self._take(manifest, fetched.ok_value.parts, address)

    def _take(self, manifest: Manifest, parts: Mapping[str, bytes], source: str) -> None:
        if self._holder.offer(manifest, parts):
            log_event(
                _log,
                "config_in_force",
                version=manifest.version,
                source=source,
                bytes=count_bytes(parts.values()),
            )
