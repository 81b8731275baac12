"""Call the platform's key-value service: get, compare-and-swap, lease and watch."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result

from dalehollow.errors import PlatformError
from dalehollow.framing import BodyFraming
from dalehollow.web import Answer, CallError, HttpClient

_REVISION_HEADER = "kv-revision"
_CONNECT_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class Entry:
    """Hold a value and its revision; revision 0 means that the key does not exist."""

    value: bytes
    revision: int


@dataclass(frozen=True)
class SwapResult:
    """Hold the outcome of a compare-and-swap and the current revision of the key."""

    succeeded: bool
    revision: int


class KeyValue(Protocol):
    """Define the operations needed from the platform's key-value service."""

    def get(self, key: str, *, timeout_s: float = 2.0) -> Result[Entry, PlatformError]:
        """Read a key."""

    def swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        ttl_ms: int | None = None,
        timeout_s: float = 2.0,
    ) -> Result[SwapResult, PlatformError]:
        """Write a key if its revision is the expected one; with `ttl_ms` the key expires."""

    def delete(self, key: str, *, timeout_s: float = 2.0) -> Result[None, PlatformError]:
        """Delete a key; a missing key is not an error."""

    def watch(self, key: str, *, after_revision: int, wait_ms: int) -> Result[Entry, PlatformError]:
        """Wait up to `wait_ms` for a revision of the key above `after_revision`."""


class HttpKeyValue:
    """Call the key-value service over HTTP."""

    def __init__(self, address: str) -> None:
        """Create a client; `address` is host:port."""
        self._address = address
        self._http = HttpClient(connect_timeout_s=_CONNECT_TIMEOUT_S, max_connections=8)

    def get(self, key: str, *, timeout_s: float = 2.0) -> Result[Entry, PlatformError]:
        """Read a key."""
        call = self._http.call("GET", self._address, f"/kv/{key}", timeout_s=timeout_s)
        return _read_entry(call)

    def swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        ttl_ms: int | None = None,
        timeout_s: float = 2.0,
    ) -> Result[SwapResult, PlatformError]:
        """Write a key if its revision is the expected one."""
        query = f"expect={expected_revision}" + (f"&ttl_ms={ttl_ms}" if ttl_ms else "")
        call = self._http.call(
            "PUT", self._address, f"/kv/{key}?{query}", body=value, timeout_s=timeout_s
        )
        match call:
            case Err(error):
                return Err(PlatformError(error.message, may_have_written=error.sent))
            case Ok(answer):
                return _read_swap(answer)

    def delete(self, key: str, *, timeout_s: float = 2.0) -> Result[None, PlatformError]:
        """Delete a key."""
        call = self._http.call("DELETE", self._address, f"/kv/{key}", timeout_s=timeout_s)
        if isinstance(call, Err):
            return Err(PlatformError(call.err_value.message, may_have_written=call.err_value.sent))
        try:
            call.ok_value.read()
        except ConnectionError as exc:
            return Err(PlatformError(str(exc), may_have_written=True))
        return Ok(None)

    def watch(self, key: str, *, after_revision: int, wait_ms: int) -> Result[Entry, PlatformError]:
        """Wait for a newer revision of the key."""
        path = f"/kv/{key}?after={after_revision}&wait_ms={wait_ms}"
        timeout_s = wait_ms / 1000 + 2.0
        return _read_entry(self._http.call("GET", self._address, path, timeout_s=timeout_s))


def _read_entry(call: Result[Answer, CallError]) -> Result[Entry, PlatformError]:
    if isinstance(call, Err):
        return Err(PlatformError(call.err_value.message, may_have_written=False))
    answer = call.ok_value
    try:
        body = answer.read()
    except ConnectionError as exc:
        return Err(PlatformError(str(exc), may_have_written=False))
    if answer.status == 404:
        return Ok(Entry(b"", 0))
    if answer.status != 200:
        return Err(PlatformError(f"status {answer.status}", may_have_written=False))
    if answer.framing is BodyFraming.CONNECTION:
        message = "the value has neither a length nor chunks, so it may be truncated"
        return Err(PlatformError(message, may_have_written=False))
    return Ok(Entry(body, int(answer.headers.get(_REVISION_HEADER, "0"))))


def _read_swap(answer: Answer) -> Result[SwapResult, PlatformError]:
    try:
        answer.read()
    except ConnectionError as exc:
        return Err(PlatformError(str(exc), may_have_written=True))
    revision = int(answer.headers.get(_REVISION_HEADER, "0"))
    if answer.status in (200, 409):
        return Ok(SwapResult(answer.status == 200, revision))
    return Err(PlatformError(f"status {answer.status}", may_have_written=answer.status >= 500))
