"""Distribute accepted configurations to all processes with few calls to the platform.

No process is designated as the reader. Each one polls the head when its latest confirmation of the
active version is older than its own age limit, which is derived from its name and lies between two
settings. Heartbeats between processes carry version and confirmation time, so within a hall the
process with the lowest limit polls, and the others do not poll while they receive its heartbeats.
"""

from __future__ import annotations

import hashlib
import logging
import threading
from collections.abc import Callable, Mapping

import msgspec
from result import Ok

from dalehollow.clock import read_wall_clock_ms
from dalehollow.config.holder import ConfigHolder
from dalehollow.config.parts import count_bytes
from dalehollow.config.store import Manifest, load_manifest, part_key, read_head
from dalehollow.platform.keyvalue import KeyValue
from dalehollow.protocol import FetchManifest, FetchParts, ManifestJson, Parts
from dalehollow.protocol.link import PeerLink
from dalehollow.telemetry.logs import log_event

_POLL_BACKOFF_MAX_MS = 10_000
_MIN_CHECK_INTERVAL_MS = 50
_MS_PER_S = 1000
_FETCH_TIMEOUT_MS = 2_000
_READ_TIMEOUT_S = 1.0

_log = logging.getLogger(__name__)


def compute_poll_limit_ms(name: str, min_ms: int, max_ms: int) -> int:
    """Return the confirmation age at which the process of this name polls the head."""
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    share = int.from_bytes(digest, "big") / 2**32
    return round(min_ms + share * (max_ms - min_ms))


def is_poll_due(age_ms: int, since_poll_ms: int, limit_ms: int, failures: int) -> bool:
    """Return whether to poll the head now, with exponential backoff after failures."""
    pause_ms = min(limit_ms * 2 ** min(failures, 8), max(limit_ms, _POLL_BACKOFF_MAX_MS))
    return age_ms >= limit_ms and since_poll_ms >= pause_ms


class ConfigSync:
    """Poll the head and fetch configuration parts in a background thread."""

    def __init__(
        self,
        limit_ms: int,
        holder: ConfigHolder,
        kv: KeyValue | None,
        clock_ms: Callable[[], int] = read_wall_clock_ms,
    ) -> None:
        """Create a stopped instance; without a key-value service, updates come from peers only."""
        self._limit_ms = limit_ms
        self._holder = holder
        self._kv = kv
        self._clock_ms = clock_ms
        self._peer_update: tuple[int, int, str] | None = None
        self._wake = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="config", daemon=True)
        # Parts of an incomplete configuration: on a slow connection polls may fail repeatedly
        # part-way, and each continues where the previous one stopped.
        self._partial_parts: dict[str, bytes] = {}
        self.polls = 0
        self.failures = 0

    def start(self) -> None:
        """Start the background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Signal the background thread to stop."""
        self._stopping.set()
        self._wake.set()

    def handle_peer_version(self, version: int, confirmed_at_ms: int, address: str) -> None:
        """Handle the version a peer reports; a newer one is fetched from it in the background."""
        # A confirmation time in the future would hide a stale configuration.
        confirmed_at_ms = min(confirmed_at_ms, self._clock_ms())
        if version == self._holder.version:
            self._holder.confirm(version, confirmed_at_ms)
        elif version > self._holder.version and address:
            self._peer_update = (version, confirmed_at_ms, address)
            self._wake.set()

    def answer(self, request: FetchManifest | FetchParts) -> ManifestJson | Parts:
        """Return the active manifest or parts that a peer requests."""
        if isinstance(request, FetchManifest):
            return ManifestJson(self._holder.manifest_json())
        held = self._holder.active.parts
        return Parts({part_id: held[part_id] for part_id in request.part_ids if part_id in held})

    def _run(self) -> None:
        polled_at_ms = 0
        while not self._stopping.is_set():
            update, self._peer_update = self._peer_update, None
            if update is not None:
                self._fetch_from_peer(*update)
            now_ms = self._clock_ms()
            age_ms = now_ms - self._holder.confirmed_at_ms
            since_ms = now_ms - polled_at_ms
            if self._kv and is_poll_due(age_ms, since_ms, self._limit_ms, self.failures):
                polled_at_ms = now_ms
                self.poll()
            self._wake.wait(self._next_check_delay_s(now_ms))
            self._wake.clear()

    def _next_check_delay_s(self, now_ms: int) -> float:
        """Return the time until a poll can be due; confirmations only postpone it."""
        age_ms = now_ms - self._holder.confirmed_at_ms
        return max(_MIN_CHECK_INTERVAL_MS, self._limit_ms - age_ms) / _MS_PER_S

    def poll(self) -> bool:
        """Read the head and any new parts it refers to; return whether the head was read."""
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
        # The read may reflect any time since the request; only its start is safe to confirm.
        self._holder.confirm(head.version, asked_at_ms)
        return True

    def _read_parts(self, manifest: Manifest) -> None:
        assert self._kv is not None
        missing = self._holder.list_missing(manifest)
        self._partial_parts = {
            part_id: self._partial_parts[part_id]
            for part_id in missing
            if part_id in self._partial_parts
        }
        for part_id in missing:
            if part_id in self._partial_parts:
                continue
            found = self._kv.get(part_key(part_id), timeout_s=_READ_TIMEOUT_S)
            if not isinstance(found, Ok) or not found.ok_value.revision:
                # If the part was deleted, a newer manifest is active and the next poll reads it.
                return
            self._partial_parts[part_id] = found.ok_value.value
        self._offer_parts(manifest, self._partial_parts, "platform")
        self._partial_parts = {}

    def _fetch_from_peer(self, version: int, confirmed_at_ms: int, address: str) -> None:
        if version <= self._holder.version:
            return
        link = PeerLink(address)
        try:
            self._fetch_parts(link, address)
        finally:
            link.close()
        self._holder.confirm(version, confirmed_at_ms)

    def _fetch_parts(self, link: PeerLink, address: str) -> None:
        response = link.ask(FetchManifest(), timeout_ms=_FETCH_TIMEOUT_MS)
        if not (isinstance(response, Ok) and isinstance(response.ok_value, ManifestJson)):
            return
        manifest = msgspec.json.decode(response.ok_value.manifest_json, type=Manifest)
        missing = self._holder.list_missing(manifest)
        fetched = link.ask(FetchParts(missing), timeout_ms=_FETCH_TIMEOUT_MS)
        if isinstance(fetched, Ok) and isinstance(fetched.ok_value, Parts):
            self._offer_parts(manifest, fetched.ok_value.parts, address)

    def _offer_parts(self, manifest: Manifest, parts: Mapping[str, bytes], source: str) -> None:
        if self._holder.activate(manifest, parts):
            log_event(
                _log,
                "config_in_force",
                version=manifest.version,
                source=source,
                bytes=count_bytes(parts.values()),
            )
