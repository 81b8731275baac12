"""Read the platform's list of live and leaving VMs, which may be outdated or unavailable."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from dalehollow.errors import PlatformError
from dalehollow.web import HttpClient

_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class Vm:
    """Hold one record of the list; `state` is live or leaving.

    Records of entries carry their hall and the address at which other entries reach them.
    """

    name: str
    state: str
    hall: str | None = None
    entry_control: str | None = None


class HttpVmList:
    """Read the VM list over HTTP."""

    def __init__(self, address: str) -> None:
        """Create a client; `address` is host:port."""
        self._address = address
        self._http = HttpClient(connect_timeout_s=_TIMEOUT_S, max_connections=1)

    def read(self) -> Result[tuple[Vm, ...], PlatformError]:
        """Return the current list."""
        call = self._http.call("GET", self._address, "/vms", timeout_s=_TIMEOUT_S)
        if isinstance(call, Err):
            return Err(PlatformError(call.err_value.message, may_have_written=False))
        try:
            body = call.ok_value.read()
            if call.ok_value.status != 200:
                message = f"status {call.ok_value.status}"
                return Err(PlatformError(message, may_have_written=False))
            return Ok(msgspec.json.decode(body, type=tuple[Vm, ...]))
        except (ConnectionError, msgspec.MsgspecError) as exc:
            return Err(PlatformError(str(exc), may_have_written=False))
