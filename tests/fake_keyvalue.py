"""In-memory `KeyValue` with fault injection."""

from __future__ import annotations

from dataclasses import dataclass, field

from result import Err, Ok, Result

from dalehollow.errors import PlatformError
from dalehollow.platform.keyvalue import Entry, SwapResult


@dataclass
class FakeKeyValue:
    """Fail calls by `fault`: `down`, `lose_answer` (executed but not confirmed) or `lose_call`."""

    items: dict[str, Entry] = field(default_factory=dict)
    fault: str = ""
    revision: int = 0

    def get(self, key: str, *, timeout_s: float = 2.0) -> Result[Entry, PlatformError]:
        if self.fault == "down":
            return Err(PlatformError("down", may_have_written=False))
        return Ok(self.items.get(key, Entry(b"", 0)))

    def swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        ttl_ms: int | None = None,
        timeout_s: float = 2.0,
    ) -> Result[SwapResult, PlatformError]:
        if self.fault == "down":
            return Err(PlatformError("down", may_have_written=False))
        if self.fault == "lose_call":
            return Err(PlatformError("timed out", may_have_written=True))
        found = self.items.get(key, Entry(b"", 0)).revision
        succeeded = found == expected_revision
        if succeeded:
            self.revision += 1
            self.items[key] = Entry(value, self.revision)
        if self.fault == "lose_answer":
            return Err(PlatformError("timed out", may_have_written=True))
        return Ok(SwapResult(succeeded, self.revision if succeeded else found))

    def delete(self, key: str, *, timeout_s: float = 2.0) -> Result[None, PlatformError]:
        self.items.pop(key, None)
        return Ok(None)

    def watch(self, key: str, *, after_revision: int, wait_ms: int) -> Result[Entry, PlatformError]:
        return self.get(key)
