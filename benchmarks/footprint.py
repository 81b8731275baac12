"""Print the resident memory of idle processes and of an interpreter with the same libraries."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from benchmarks.child import make_text
from benchmarks.report import print_pairs
from dalehollow.config import apply_text
from dalehollow.platform.keyvalue import HttpKeyValue
from standins.hall import Hall, wait_for_version
from standins.processes import Launcher, RunningProcess

_BARE = """
import cheroot.server, fire, hdrh.histogram, pyjson5, msgspec, pynng, result, urllib3
print(open("/proc/self/statm").read().split()[1])
"""
_PAGE_KIB = 4


def run() -> None:
    """Measure an interpreter, and an idle entry and sidecar without and with a configuration."""
    done = subprocess.run([sys.executable, "-c", _BARE], capture_output=True, text=True, check=True)
    bare_kib = int(done.stdout) * _PAGE_KIB
    print_pairs(process="bare", rss_kib=bare_kib)
    with Launcher() as launcher:
        platform = launcher.start_standin("platform", "keyvalue")
        hall = Hall(platform)
        entry = launcher.start_process(
            role="entry", name="entry-0", hall="hall-0", platform=platform.http
        )
        sidecar = launcher.start_process(
            role="sidecar",
            name="sidecar-0",
            hall="hall-0",
            platform=platform.http,
            upstream="up-0",
            upstream_http="127.0.0.1:1",
        )
        hall.entries.append(entry)
        for name, process in (("entry", entry), ("sidecar", sidecar)):
            print_pairs(
                process=name,
                config="none",
                rss_kib=_rss_kib(process),
                own_kib=_rss_kib(process) - bare_kib,
            )
        text = make_text(accounts=4_400, upstreams=1_000)
        applied = apply_text(HttpKeyValue(platform.http), text, apply_id="full").unwrap()
        for process in (entry, sidecar):
            wait_for_version(process, applied.manifest.version)
        for name, process in (("entry", entry), ("sidecar", sidecar)):
            own_kib = _rss_kib(process) - bare_kib
            print_pairs(
                process=name,
                config="4400 accounts, 1000 upstreams",
                rss_kib=_rss_kib(process),
                own_kib=own_kib,
                share_of_32_mb=own_kib / (32 * 1024),
            )


def _rss_kib(process: RunningProcess) -> int:
    return int(Path(f"/proc/{process.popen.pid}/statm").read_text().split()[1]) * _PAGE_KIB
