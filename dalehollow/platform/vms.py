"""Read the platform's list of live and leaving VMs, which lags and has outages."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from dalehollow.errors import PlatformError
from dalehollow.web import HttpClient

_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class Vm:
    """Hold one line of the list; `state` is live or leaving.

    Lines of entries carry their hall and the address at which other entries reach them.
    """

    name: str
    state: str
    hall: str | None = None
    entry_control: str | None = None


class HttpVmList:
    """Speak to the list over HTTP."""

    def __init__(self, address: str) -> None:
        """Prepare the connection; `address` is host:port."""
        self._address = address
        self._http = HttpClient(connect_timeout_s=_TIMEOUT_S, max_connections=1)

    def read(self) -> Result[tuple[Vm, ...], PlatformError]:
        """Read the list as the platform has it now."""
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
