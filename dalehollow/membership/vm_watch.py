"""Follow the VM list: an upstream that it calls leaving gets no new work.

A VM that the list does not name is left alone, since the list lags: new VMs are missing from it,
and what is really gone stops answering. In an outage the last list stays in force.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from result import Ok

from dalehollow.platform.vms import HttpVmList

_MS_PER_S = 1000
LEAVING = "leaving"


class VmWatch:
    """Run one task that reads the list at intervals."""

    def __init__(
        self,
        platform: str | None,
        on_leaving: Callable[[frozenset[str]], None],
        interval_ms: int,
    ) -> None:
        """Prepare; without a platform nothing is read."""
        self._list = HttpVmList(platform) if platform else None
        self._on_leaving = on_leaving
        self._interval_s = interval_ms / _MS_PER_S
        self._stopping = threading.Event()

    def start(self) -> None:
        """Begin to read."""
        if self._list is not None:
            threading.Thread(target=self._run, name="vms", daemon=True).start()

    def stop(self) -> None:
        """Stop reading."""
        self._stopping.set()

    def _run(self) -> None:
        assert self._list is not None
        while not self._stopping.is_set():
            read = self._list.read()
            if isinstance(read, Ok):
                leaving = frozenset(vm.name for vm in read.ok_value if vm.state == LEAVING)
                self._on_leaving(leaving)
            self._stopping.wait(self._interval_s)
