"""Run a benchmark: `python -m benchmarks NAME`; without a name, list the benchmarks."""

from __future__ import annotations

import importlib
import sys

NAMES = {
    "amplification": "attempts per request when half of the upstreams fail",
    "burst": "no gate, a gate in each entry and a gate in the sidecar at ten times capacity",
    "crashing_parts": "upstreams that crash on a shared prompt part, and sound requests beside",
    "choice": "queueing time under several upstream selection policies",
    "footprint": "resident memory of idle processes, unconfigured and at full size",
    "lateness": "propagation delay of changes under chains of failures and random schedules",
    "limits": "how well 9 to 360 gateways enforce and use the limit of an upstream",
    "relay": "token relay of one entry: rate, CPU time and added latency",
    "retries": "share of the retry budget that 8 to 360 gateways use during restarts and outages",
    "shares": "account limits: effect of a large account on small ones, and the sum of shares",
    "skew": "step-time skew and moved weights under drifting demand",
    "slopes": "memory and CPU time by size, with linear fits",
    "spread": "propagation time and reads of a configuration change, 8 to 1,360 processes",
    "switch": "time that a rank group is blocked by a switch of the expert map",
    "urgent": "latency of urgent requests at two times capacity",
}


def main() -> None:
    """Run the named benchmark, which prints its results as key=value lines."""
    if len(sys.argv) < 2 or sys.argv[1] not in NAMES:
        for name, meaning in NAMES.items():
            print(f"{name}: {meaning}")
        sys.exit(0 if len(sys.argv) == 1 else 2)
    importlib.import_module(f"benchmarks.{sys.argv[1]}").run()


if __name__ == "__main__":
    main()
