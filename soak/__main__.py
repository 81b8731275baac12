"""Run seeded fault schedules against gateways and report every violated guarantee.

python -m soak run --seeds 1-50                  fifty runs in sequence
python -m soak run --seeds 7 --keep logs         one run, with its logs saved in logs/
python -m soak chains                            all named fault sequences
python -m soak defects                           check that each known defect is detected
"""

from __future__ import annotations

import asyncio
import random
import shutil
import tempfile
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import fire

from soak.callers import LoadGenerator, count_served
from soak.connection_promises import check_new_connections
from soak.defects import (
    CONNECTION_DEFECTS,
    DEFECTS,
    PROPAGATION_DEFECTS,
    RESTART_DEFECTS,
    RETRY_DEFECTS,
    SIGNAL_DEFECTS,
    STREAM_DEFECTS,
    SUSPENSION_DEFECTS,
)
from soak.faults import (
    CONNECTION_CHAINS,
    PROPAGATION_CHAINS,
    RESTART_CHAINS,
    RETRY_CHAINS,
    SIGNAL_CHAINS,
    STREAM_CHAINS,
    SUSPENSION_CHAINS,
    SUSPENSION_RETRY_LIMITS,
    Fault,
    draw_faults,
    inject_fault,
)
from soak.promises import RETRY_LIMITS, RetryLimits, RunHistory, Violation, find_violations
from soak.signal_promises import check_signals
from soak.world import GATEWAY_PROGRAM, Cluster

RUN_DURATION_S = 10.0
FAULT_COUNT = 14
GATEWAY_COUNT, SERVER_COUNT, CLIENT_COUNT = 4, 4, 12
RECOVERY_TIMEOUT_S = 20.0
"""Every gateway must serve again within this time after the last fault."""


@dataclass(frozen=True)
class RunResult:
    """Result of one run."""

    seed: int
    request_count: int
    served_count: int
    faults: list[Fault]
    violations: list[Violation]


async def run_seed(
    seed: int,
    directory: Path,
    *,
    checks_timing: bool = True,
    program: tuple[str, ...] = GATEWAY_PROGRAM,
    run_duration_s: float = RUN_DURATION_S,
    faults: int | Sequence[Fault] = FAULT_COUNT,
    clients: int = CLIENT_COUNT,
    retry_limits: RetryLimits = RETRY_LIMITS,
) -> RunResult:
    """Run one seed with the given number of random faults, or with the given faults."""
    rng = random.Random(seed)
    drawn_faults = (
        draw_faults(rng, run_duration_s, faults) if isinstance(faults, int) else list(faults)
    )
    cluster = Cluster(rng, directory, program, RunHistory(retry_limits=retry_limits))
    try:
        await cluster.open(GATEWAY_COUNT, SERVER_COUNT)
        load_generator = LoadGenerator(cluster)
        stop_event = asyncio.Event()
        tasks = [asyncio.ensure_future(load_generator.run(stop_event)) for _ in range(clients)]
        await asyncio.gather(
            asyncio.sleep(run_duration_s), *(inject_fault(cluster, fault) for fault in drawn_faults)
        )
        await asyncio.sleep(1.0)
        stop_event.set()
        await asyncio.gather(*tasks)
        violations = find_violations(cluster.history, checks_timing=checks_timing)
        if checks_timing:
            violations += check_signals(cluster.history)
            violations += check_new_connections(cluster.history)
        violations += await _check_recovery(cluster, load_generator)
    finally:
        await cluster.close()
    requests = cluster.history.requests
    return RunResult(seed, len(requests), count_served(requests), drawn_faults, violations)


async def _check_recovery(cluster: Cluster, load_generator: LoadGenerator) -> list[Violation]:
    """Send requests to each gateway until one succeeds or the recovery timeout expires."""
    violations = []
    for gateway in cluster.gateways.values():
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                while (await load_generator.send_once(gateway, "read")).status != 200:
                    await asyncio.sleep(0.1)
        except (TimeoutError, OSError) as exc:
            violations.append(
                Violation(
                    "recovery",
                    f"{gateway.name} served no request ({exc!r}) in {RECOVERY_TIMEOUT_S} s",
                )
            )
    return violations


def run(seeds: str = "1-5", keep: str = "", bounds: bool = True) -> None:
    """Run seeds, such as 3 or 1-50; exit with status 1 if a guarantee was violated."""
    first, _, last = str(seeds).partition("-")
    failed_runs = 0
    for seed in range(int(first), int(last or first) + 1):
        failed_runs += bool(_run_and_report(seed, keep, GATEWAY_PROGRAM, bounds).violations)
    print(f"seeds {seeds}: {failed_runs} runs violated a guarantee")
    raise SystemExit(bool(failed_runs))


def chains(seeds: int = 2) -> None:
    """Run each named fault sequence; exit with status 1 if a guarantee was violated."""
    failed_runs = 0
    all_chains = (
        PROPAGATION_CHAINS
        | SIGNAL_CHAINS
        | CONNECTION_CHAINS
        | STREAM_CHAINS
        | RETRY_CHAINS
        | RESTART_CHAINS
        | SUSPENSION_CHAINS
    )
    for name, faults in all_chains.items():
        print(name)
        for seed in range(1, seeds + 1):
            failed_runs += bool(_run_and_report(seed, "", GATEWAY_PROGRAM, True, faults).violations)
    print(f"{len(all_chains)} chains, {seeds} seeds each: {failed_runs} runs violated a guarantee")
    raise SystemExit(bool(failed_runs))


def defects(most: int = 10) -> None:
    """Run seeds with each known defect until it is detected; exit with status 1 if one is not.

    Defects that need a particular order of faults are run with the named fault sequences.
    """
    undetected = [name for name in DEFECTS if not _find_defect(name, most)]
    print(f"defects not detected: {', '.join(undetected) or 'none'}")
    raise SystemExit(bool(undetected))


def _find_defect(name: str, max_seeds: int) -> bool:
    program = ("-m", "soak.defects", name, "run")
    schedules: Mapping[str, int | Sequence[Fault]] = {"drawn": FAULT_COUNT}
    for group, group_chains in (
        (PROPAGATION_DEFECTS, PROPAGATION_CHAINS),
        (SIGNAL_DEFECTS, SIGNAL_CHAINS),
        (CONNECTION_DEFECTS, CONNECTION_CHAINS),
        (STREAM_DEFECTS, STREAM_CHAINS),
        (RETRY_DEFECTS, RETRY_CHAINS),
        (RESTART_DEFECTS, RESTART_CHAINS),
        (SUSPENSION_DEFECTS, SUSPENSION_CHAINS),
    ):
        if name in group:
            schedules = group_chains
    timed_defects = PROPAGATION_DEFECTS | SIGNAL_DEFECTS | CONNECTION_DEFECTS | RESTART_DEFECTS
    checks_timing = name in timed_defects
    for seed in range(1, max_seeds + 1):
        for schedule, faults in schedules.items():
            if _run_and_report(seed, "", program, checks_timing, faults).violations:
                print(f"defect {name}: detected with seed {seed}, faults: {schedule}")
                return True
    return False


def _run_and_report(
    seed: int,
    keep: str,
    program: tuple[str, ...],
    checks_timing: bool,
    faults: int | Sequence[Fault] = FAULT_COUNT,
) -> RunResult:
    is_suspension = faults in SUSPENSION_CHAINS.values()
    with tempfile.TemporaryDirectory() as directory:
        result = asyncio.run(
            run_seed(
                seed,
                Path(directory),
                checks_timing=checks_timing,
                program=program,
                faults=faults,
                retry_limits=SUSPENSION_RETRY_LIMITS if is_suspension else RETRY_LIMITS,
            )
        )
        if keep or (result.violations and program == GATEWAY_PROGRAM):
            kept = Path(keep or "target/soak") / str(seed)
            shutil.copytree(directory, kept, dirs_exist_ok=True)
            print(f"logs of seed {seed}: {kept}")
    print(
        f"seed {seed}: {result.served_count} of {result.request_count} requests served, "
        f"{len(result.faults)} faults"
    )
    if result.violations:
        for fault in result.faults:
            print(f"  fault {fault.describe()}")
    for violation in result.violations[:10]:
        print(f"  VIOLATION {violation.guarantee}: {violation.detail}")
    return result


if __name__ == "__main__":
    fire.Fire({"run": run, "chains": chains, "defects": defects})
