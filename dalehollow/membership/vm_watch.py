"""Poll the VM list for leaving upstreams and other entries.

VMs that are missing from the list are not treated as gone: the list lags and does not yet contain
new VMs, and a VM that is really gone stops responding. During an outage the last list is used.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from result import Ok

from dalehollow.platform.vms import HttpVmList, Vm

_MS_PER_S = 1000
LEAVING = "leaving"


def list_leaving(vms: tuple[Vm, ...]) -> frozenset[str]:
    """Return the names of the VMs that are leaving."""
    return frozenset(vm.name for vm in vms if vm.state == LEAVING)


def list_entries(vms: tuple[Vm, ...], hall: str | None) -> dict[str, str]:
    """Return the control addresses of entries that are not leaving, in one hall or in all."""
    return {
        vm.name: vm.entry_control
        for vm in vms
        if vm.entry_control and vm.state != LEAVING and hall in (None, vm.hall)
    }


class VmListPoller:
    """Poll the VM list in a background thread."""

    def __init__(
        self,
        platform: str | None,
        on_list: Callable[[tuple[Vm, ...]], None],
        interval_ms: int,
    ) -> None:
        """Create a stopped instance; without a platform address it never polls."""
        self._list = HttpVmList(platform) if platform else None
        self._on_list = on_list
        self._interval_s = interval_ms / _MS_PER_S
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start polling."""
        if self._list is not None:
            threading.Thread(target=self._run, name="vms", daemon=True).start()

    def stop(self) -> None:
        """Signal the polling thread to stop."""
        self._stopping.set()

    def _run(self) -> None:
        assert self._list is not None
        while not self._stopping.is_set():
            read = self._list.read()
            if isinstance(read, Ok):
                self._on_list(read.ok_value)
            self._stopping.wait(self._interval_s)
