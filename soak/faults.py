"""Inject faults around the gateways at random, overlapping times."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, replace

from dalehollow.aio import ConnectError
from soak.callers import LoadGenerator
from soak.connection_promises import NEW_CONNECTION_ID
from soak.peers import DATAGRAM_LOSS_SHARE
from soak.promises import CRASHING_ID, CRASHING_PART_ID, RetryLimits
from soak.proxy import Mode
from soak.world import CRASHING_BODY, CRASHING_PART, Cluster, Gateway
from standins.server import ResponseMode

FAILURE_WAYS = (
    ResponseMode.ERROR,
    ResponseMode.REFUSE,
    ResponseMode.CUT_UNANSWERED,
    ResponseMode.CUT_IN_EVENT,
    ResponseMode.CUT_BODY,
    ResponseMode.LENGTH,
    ResponseMode.LENGTH_CUT_IN_EVENT,
    ResponseMode.CHUNKED_ENDS_IN_EVENT,
    ResponseMode.UNFRAMED,
    ResponseMode.UNFRAMED_CLOSED_IN_EVENT,
    ResponseMode.UNFRAMED_CLOSED_EMPTY,
    ResponseMode.UNFRAMED_RESET,
    ResponseMode.OTHERS_ANSWER_FIRST,
    ResponseMode.SURPLUS,
    ResponseMode.HANG,
)
FAULT_MODES = (Mode.DELAY, Mode.RESET, Mode.SILENT, Mode.SILENT_TO_TARGET, Mode.SILENT_FROM_TARGET)
STORE_FAULTS = ("busy", "silent", "lost")
CHANGE_COUNTS = (1, 3, 30)
CHANGE_INTERVAL_S = 0.2
EXTRA_HALL_OUTAGE_S = 3.0
"""Added to a hall's store outage, so that it exceeds the maximum configuration delay."""
DRAIN_DURATION_S = 3.0
STOP_GRACE_S = 8.0
RETRY_AFTER_S = "2"
LIMIT_PER_S = "1.5"
EXTRA_LIMIT_DURATION_S = 8.0
"""Added to the duration of a server limit, which takes seconds to apply and is checked over a
window of seconds."""
CRASHING_ATTEMPTS = 32
CRASHING_INTERVAL_S = 0.25
CRASHING_PART_INTERVAL_S = 0.1
NEW_CONNECTION_INTERVAL_S = 0.015
WAITING_CALLER_INTERVAL_S = 0.02
SERVING_AFTER_RESTART_S = 1.0
"""Time in which a restarted server says nothing; signals right after a fault are not checked."""
LISTED_AFTER_S = 5.0
"""Delay from a server's restart until it is listed; gateways must act on its answers before."""
EXTRA_CONNECTIONS_DURATION_S = 3.0
"""The connections outnumber a gateway's descriptors."""
EXTRA_CRASHING_DURATION_S = 6.0
"""Crashing parts still come when the bounds on them apply."""


@dataclass(frozen=True)
class Fault:
    """One fault; `target` selects the component and, for some kinds, the variant."""

    at_s: float
    duration_s: float
    kind: str
    target: int

    def describe(self) -> str:
        """Format the fault as one line."""
        return f"{self.at_s:5.1f} s for {self.duration_s:.1f} s: {self.kind} ({self.target})"


Injector = Callable[[Cluster, Fault], Awaitable[None]]


def draw_faults(rng: random.Random, run_duration_s: float, count: int) -> list[Fault]:
    """Draw random faults over a run; they may overlap and repeat on a component."""
    kinds = list(INJECTORS)
    faults = [
        Fault(
            at_s=round(rng.uniform(0.5, run_duration_s), 2),
            duration_s=round(rng.uniform(0.2, 3.0), 2),
            kind=rng.choice(kinds),
            target=rng.randrange(100),
        )
        for _ in range(count)
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


async def inject_fault(cluster: Cluster, fault: Fault) -> None:
    """Inject a fault at its start time and revert it after its duration."""
    await asyncio.sleep(fault.at_s)
    await INJECTORS[fault.kind](cluster, fault)


def _choose_gateway(cluster: Cluster, fault: Fault) -> Gateway:
    gateways = list(cluster.gateways.values())
    return gateways[fault.target % len(gateways)]


def _choose_server(cluster: Cluster, fault: Fault) -> str:
    names = [name for name in cluster.servers if name not in cluster.history.leaving_at_s]
    return names[fault.target % len(names)]


async def _record_fault_interval(cluster: Cluster, name: str, fault: Fault) -> None:
    """Record a component as faulty for the fault's duration, and wait until it ends."""
    started_s = cluster.now_s()
    entry = (started_s, started_s + fault.duration_s)
    cluster.history.fault_intervals[name].append(entry)
    await asyncio.sleep(fault.duration_s)
    cluster.history.fault_intervals[name].remove(entry)
    cluster.history.fault_intervals[name].append((started_s, cluster.now_s()))


async def _pause_gateway(cluster: Cluster, fault: Fault) -> None:
    gateway = _choose_gateway(cluster, fault)
    if gateway.is_paused or gateway.process is None:
        return
    gateway.is_paused = True
    cluster.send_signal(gateway, signal.SIGSTOP)
    await _record_fault_interval(cluster, gateway.name, fault)
    cluster.send_signal(gateway, signal.SIGCONT)
    gateway.is_paused = False


async def _kill_gateway(cluster: Cluster, fault: Fault) -> None:
    gateway = _choose_gateway(cluster, fault)
    process, gateway.process = gateway.process, None
    if process is None:
        return
    cluster.history.fault_intervals[gateway.name].append((cluster.now_s(), float("inf")))
    process.process.kill()
    await process.process.wait()
    await asyncio.sleep(fault.duration_s / 3)
    await _restart_gateway(cluster, gateway)


async def _stop_gateway(cluster: Cluster, fault: Fault) -> None:
    """Stop a gateway with SIGTERM while clients keep using their connections."""
    gateway = _choose_gateway(cluster, fault)
    process = gateway.process
    if process is None or process.process.returncode is not None:
        return
    cluster.history.planned_stops.append((gateway.name, gateway.generation, cluster.now_s()))
    cluster.send_signal(gateway, signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_GRACE_S):
            await process.process.wait()
    except TimeoutError:
        cluster.history.fault_intervals[gateway.name].append((cluster.now_s(), float("inf")))
        process.process.kill()
        await process.process.wait()
    if gateway.process is process:
        gateway.process = None
        cluster.history.fault_intervals[gateway.name].append((cluster.now_s(), float("inf")))
        await _restart_gateway(cluster, gateway)


async def _restart_gateway(cluster: Cluster, gateway: Gateway) -> None:
    """Restart a gateway and end its open fault intervals."""
    await cluster.start(gateway)
    entries = cluster.history.fault_intervals[gateway.name]
    now_s = cluster.now_s()
    cluster.history.fault_intervals[gateway.name] = [
        (begin, now_s if end == float("inf") else end) for begin, end in entries
    ]


async def _break_store_connection(cluster: Cluster, fault: Fault) -> None:
    gateway = _choose_gateway(cluster, fault)
    gateway.store.set_mode(FAULT_MODES[fault.target % len(FAULT_MODES)])
    await _record_fault_interval(cluster, f"store of {gateway.name}", fault)
    gateway.store.set_mode(Mode.PASS)


async def _break_hall_store_connections(cluster: Cluster, fault: Fault) -> None:
    """Break the store connections of all gateways in one hall, but not in the other."""
    hall = _choose_gateway(cluster, fault).hall
    mode = FAULT_MODES[fault.target % len(FAULT_MODES)]
    gateways = [g for g in cluster.gateways.values() if g.hall == hall]
    for gateway in gateways:
        gateway.store.set_mode(mode)
    names = [f"store of {gateway.name}" for gateway in gateways]
    extended_fault = replace(fault, duration_s=fault.duration_s + EXTRA_HALL_OUTAGE_S)
    await asyncio.gather(*(_record_fault_interval(cluster, name, extended_fault) for name in names))
    for gateway in gateways:
        gateway.store.set_mode(Mode.PASS)


async def _drop_datagrams(cluster: Cluster, fault: Fault) -> None:
    """Drop some or all datagrams between a gateway and its peers."""
    gateway = _choose_gateway(cluster, fault)
    proxy = cluster.network.proxies.get(gateway.name)
    if proxy is None:
        return
    proxy.set_loss(DATAGRAM_LOSS_SHARE if fault.target // len(cluster.gateways) % 2 else 1.0)
    await _record_fault_interval(cluster, f"peers of {gateway.name}", fault)
    proxy.set_loss(0.0)


async def _fail_store(cluster: Cluster, fault: Fault) -> None:
    cluster.store.fault = STORE_FAULTS[fault.target % len(STORE_FAULTS)]
    await _record_fault_interval(cluster, "store", fault)
    cluster.store.fault = "none"


async def _discard_store_history(cluster: Cluster, fault: Fault) -> None:
    cluster.store.discard_history()


async def _expire_leases(cluster: Cluster, fault: Fault) -> None:
    cluster.store.end_all_leases()


async def _break_server_connection(cluster: Cluster, fault: Fault) -> None:
    name = _choose_server(cluster, fault)
    cluster.proxies[name].set_mode(FAULT_MODES[fault.target % len(FAULT_MODES)])
    await _record_fault_interval(cluster, name, fault)
    cluster.proxies[name].set_mode(Mode.PASS)


async def _fail_server(cluster: Cluster, fault: Fault) -> None:
    name = _choose_server(cluster, fault)
    first = fault.target % len(FAILURE_WAYS)
    cluster.servers[name].failure_ways = (FAILURE_WAYS[first], FAILURE_WAYS[first - 1])
    await _record_fault_interval(cluster, name, fault)
    cluster.servers[name].failure_ways = ()


async def _replace_server(cluster: Cluster, fault: Fault) -> None:
    """Drain a server and add another."""
    name = _choose_server(cluster, fault)
    await cluster.add_server()
    cluster.history.leaving_at_s[name] = cluster.now_s()
    cluster.write_entry(name, "draining")
    await asyncio.sleep(DRAIN_DURATION_S)
    cluster.delete_entry(name)


async def _remove_server_unannounced(cluster: Cluster, fault: Fault) -> None:
    """Delete a server's entry without a drain; the server keeps running."""
    name = _choose_server(cluster, fault)
    await cluster.add_server()
    await _remove_server(cluster, name)


async def _remove_server(cluster: Cluster, name: str) -> None:
    cluster.history.leaving_at_s.setdefault(name, cluster.now_s())
    cluster.delete_entry(name)


async def _restart_server(cluster: Cluster, fault: Fault) -> None:
    """Restart a server under the same name."""
    name = _choose_server(cluster, fault)
    cluster.proxies[name].close_port()
    await _record_fault_interval(cluster, name, fault)
    await cluster.restart_server(name)


async def _restart_server_listed_late(cluster: Cluster, fault: Fault) -> None:
    """Restart a server that says it leaves in its answers and is listed as ready seconds later."""
    name = _choose_server(cluster, fault)
    if name in cluster.history.signalling_servers:
        return
    await cluster.add_server()
    cluster.proxies[name].close_port()
    await _record_fault_interval(cluster, name, fault)
    restarted = asyncio.ensure_future(cluster.restart_server(name, listed_after_s=LISTED_AFTER_S))
    await asyncio.sleep(SERVING_AFTER_RESTART_S)
    await _send_signal_header(
        cluster, name, "server-leaving", "1", LISTED_AFTER_S + DRAIN_DURATION_S
    )
    await restarted
    await _remove_server(cluster, name)


async def _send_from_waiting_callers(cluster: Cluster, fault: Fault) -> None:
    """Send requests to all gateways at a fixed rate, whether or not they are answered."""
    load_generator = LoadGenerator(cluster, id_prefix=f"waiting-{fault.at_s}-")
    ends_at_s = cluster.now_s() + fault.duration_s
    sent: list[asyncio.Task[None]] = []
    while cluster.now_s() < ends_at_s:
        sent.append(asyncio.ensure_future(_send_to_any(cluster, load_generator)))
        await asyncio.sleep(WAITING_CALLER_INTERVAL_S)
    await asyncio.gather(*sent)


async def _restore_store(cluster: Cluster, fault: Fault) -> None:
    """Make the store unavailable, then restore it from a snapshot."""
    cluster.store.fault = "busy"
    await _record_fault_interval(cluster, "store", fault)
    cluster.restore_store()
    cluster.store.fault = "none"


async def _change_configuration(cluster: Cluster, fault: Fault) -> None:
    """Change the configuration once, three times, or continuously for 6 s."""
    for _ in range(CHANGE_COUNTS[fault.target % len(CHANGE_COUNTS)]):
        cluster.apply_next()
        await asyncio.sleep(CHANGE_INTERVAL_S)


async def _send_signal_header(
    cluster: Cluster, server_name: str, name: str, value: str, duration_s: float
) -> None:
    """Have a server send a header in all its responses for `duration_s`."""
    if server_name in cluster.history.signalling_servers:
        return
    cluster.history.signalling_servers.add(server_name)
    server = cluster.servers[server_name]
    server.extra_headers, server.is_refusing = (
        [(name.encode(), value.encode())],
        name == "retry-after",
    )
    await asyncio.sleep(duration_s)
    server.extra_headers, server.is_refusing = [], False
    cluster.history.signalling_servers.discard(server_name)


async def _request_backoff(cluster: Cluster, fault: Fault) -> None:
    name = _choose_server(cluster, fault)
    await _send_signal_header(cluster, name, "retry-after", RETRY_AFTER_S, fault.duration_s)


async def _advertise_limit(cluster: Cluster, fault: Fault) -> None:
    name = _choose_server(cluster, fault)
    await _send_signal_header(
        cluster, name, "server-limit", LIMIT_PER_S, fault.duration_s + EXTRA_LIMIT_DURATION_S
    )


async def _advertise_leaving(cluster: Cluster, fault: Fault) -> None:
    """Have a server announce its leaving in responses only, then delete its entry."""
    await cluster.add_server()
    name = _choose_server(cluster, fault)
    await _send_signal_header(
        cluster, name, "server-leaving", "1", fault.duration_s + DRAIN_DURATION_S
    )
    await _remove_server(cluster, name)


async def _send_crashing_request(cluster: Cluster, fault: Fault) -> None:
    """Repeat one request that crashes every server that starts it."""
    load_generator = LoadGenerator(
        cluster, id_prefix=f"{CRASHING_ID}{fault.at_s}-", body=CRASHING_BODY
    )
    for _ in range(CRASHING_ATTEMPTS):
        gateway = cluster.rng.choice(list(cluster.gateways.values()))
        if gateway.process is not None:
            with suppress(ConnectError):
                cluster.history.requests.append(await load_generator.send_once(gateway, "read"))
        await asyncio.sleep(CRASHING_INTERVAL_S)


async def _send_crashing_part(cluster: Cluster, fault: Fault) -> None:
    """Send requests that differ, but share a prompt part that crashes every server."""
    part = f"{CRASHING_PART}{round(100 * fault.at_s):04x}"
    load_generator = LoadGenerator(
        cluster, id_prefix=f"{CRASHING_PART_ID}{part}-", crashing_part=part
    )
    ends_at_s = cluster.now_s() + fault.duration_s + EXTRA_CRASHING_DURATION_S
    sent: list[asyncio.Task[None]] = []
    while cluster.now_s() < ends_at_s:
        sent.append(asyncio.ensure_future(_send_to_any(cluster, load_generator)))
        await asyncio.sleep(CRASHING_PART_INTERVAL_S)
    await asyncio.gather(*sent)


async def _send_to_any(cluster: Cluster, load_generator: LoadGenerator) -> None:
    gateway = cluster.rng.choice(list(cluster.gateways.values()))
    if gateway.process is None:
        return
    kind = cluster.rng.choice(("read", "stream", "pay"))
    with suppress(ConnectError):
        cluster.history.requests.append(await load_generator.send_once(gateway, kind))


async def _open_new_connections(cluster: Cluster, fault: Fault) -> None:
    """Open many connections to one gateway, each with one request, and keep them open."""
    gateway = _choose_gateway(cluster, fault)
    load_generator = LoadGenerator(cluster, id_prefix=f"{NEW_CONNECTION_ID}{fault.at_s}-")
    stop_event = asyncio.Event()
    ends_at_s = cluster.now_s() + fault.duration_s + EXTRA_CONNECTIONS_DURATION_S
    sent = []
    while cluster.now_s() < ends_at_s:
        if gateway.process is not None:
            sending = load_generator.send_and_keep_open(gateway, stop_event)
            sent.append(asyncio.ensure_future(sending))
        await asyncio.sleep(NEW_CONNECTION_INTERVAL_S)
    records = await asyncio.gather(*sent)
    cluster.history.requests += [record for record in records if record is not None]
    stop_event.set()


INJECTORS: dict[str, Injector] = {
    "pause": _pause_gateway,
    "kill": _kill_gateway,
    "stop": _stop_gateway,
    "store path": _break_store_connection,
    "store path of a hall": _break_hall_store_connections,
    "datagrams": _drop_datagrams,
    "store": _fail_store,
    "history": _discard_store_history,
    "leases": _expire_leases,
    "server path": _break_server_connection,
    "server": _fail_server,
    "replace server": _replace_server,
    "lose server": _remove_server_unannounced,
    "restart server": _restart_server,
    "restart listed late": _restart_server_listed_late,
    "restore": _restore_store,
    "configuration": _change_configuration,
    "rest": _request_backoff,
    "limit": _advertise_limit,
    "says it leaves": _advertise_leaving,
    "crashing request": _send_crashing_request,
    "crashing part": _send_crashing_part,
    "new connections": _open_new_connections,
    "waiting callers": _send_from_waiting_callers,
}


def _make_target(gateway: int, mode: Mode) -> int:
    """Return a target that selects one of four gateways and a connection fault mode."""
    fits = (t for t in range(100) if t % 4 == gateway and FAULT_MODES[t % 5] is mode)
    return next(fits)


def _make_failure_target(server: int, way: ResponseMode) -> int:
    """Return a target that selects one of four servers and the first of its failure ways."""
    ways = FAILURE_WAYS
    return next(t for t in range(100) if t % 4 == server and ways[t % len(ways)] is way)


ONE_CHANGE_INDEX, MANY_CHANGES_INDEX = 0, 2
PROPAGATION_CHAINS: dict[str, tuple[Fault, ...]] = {
    "the relay killed as a change comes": (
        Fault(1.0, 3.0, "kill", 0),
        Fault(1.0, 0.1, "configuration", ONE_CHANGE_INDEX),
    ),
    "the relay frozen as a change comes": (
        Fault(1.0, 3.0, "pause", 0),
        Fault(1.0, 0.1, "configuration", ONE_CHANGE_INDEX),
    ),
    "the relay's way to the store silent": (
        Fault(1.0, 8.0, "store path", _make_target(0, Mode.SILENT)),
        Fault(1.0, 0.1, "configuration", ONE_CHANGE_INDEX),
    ),
    "a gateway turned away that lacks one change": (
        Fault(1.0, 0.5, "datagrams", 1),
        Fault(1.0, 8.0, "store path", _make_target(1, Mode.RESET)),
        Fault(1.1, 0.1, "configuration", ONE_CHANGE_INDEX),
    ),
    "a hall that reaches no store": (
        Fault(0.5, 8.0, "store path of a hall", _make_target(0, Mode.RESET)),
        Fault(2.0, 0.1, "configuration", ONE_CHANGE_INDEX),
    ),
    "changes for seconds after a cut": (
        Fault(0.5, 3.0, "store path", _make_target(1, Mode.SILENT)),
        Fault(0.5, 3.0, "datagrams", 1),
        Fault(0.5, 0.1, "configuration", MANY_CHANGES_INDEX),
        Fault(6.5, 0.1, "configuration", MANY_CHANGES_INDEX),
    ),
    "a gateway turned away for longer than its lease": (
        Fault(0.5, 22.0, "store path", _make_target(1, Mode.RESET)),
        *(Fault(13.5 + gap, 0.1, "configuration", ONE_CHANGE_INDEX) for gap in (0.0, 1.0, 2.0)),
        Fault(13.5, 0.1, "replace server", 0),
    ),
    "a hall turned away while servers leave": (
        Fault(0.5, 8.0, "store path of a hall", _make_target(0, Mode.RESET)),
        Fault(4.0, 0.1, "replace server", 0),
        Fault(5.0, 0.1, "lose server", 1),
    ),
    "an entry that goes after the relay's own failure": (
        Fault(1.0, 0.4, "store path", _make_target(0, Mode.SILENT)),
        Fault(1.6, 0.1, "lose server", 0),
    ),
    "a store restored from a copy": (
        Fault(1.0, 0.1, "configuration", MANY_CHANGES_INDEX),
        Fault(3.5, 1.0, "restore", 0),
        Fault(4.6, 0.1, "configuration", ONE_CHANGE_INDEX),
        Fault(4.7, 0.1, "replace server", 0),
        Fault(8.5, 0.1, "configuration", ONE_CHANGE_INDEX),
    ),
}
"""Fault sequences that delay the propagation of store changes to a gateway (docs/PLATFORM.md). The
first gateway is the relay of its hall."""

SIGNAL_CHAINS: dict[str, tuple[Fault, ...]] = {
    "servers that ask for rest": (
        Fault(1.0, 3.0, "rest", 0),
        Fault(1.5, 3.0, "rest", 1),
        Fault(5.0, 2.0, "rest", 0),
    ),
    "a server that names a limit, and a gateway killed": (
        Fault(1.0, 3.0, "limit", 0),
        Fault(6.0, 0.3, "kill", 1),
    ),
    "all servers with a limit": tuple(Fault(1.0, 3.0, "limit", target) for target in range(4)),
    "a server that says it leaves": (Fault(1.0, 3.0, "says it leaves", 0),),
    "a request that crashes servers": (Fault(1.0, 3.0, "crashing request", 0),),
    "a prompt part that crashes servers": (Fault(1.0, 3.0, "crashing part", 0),),
    "a prompt part that crashes servers, and all gateways killed": (
        Fault(1.0, 3.0, "crashing part", 0),
        *(Fault(4.0, 0.3, "kill", target) for target in range(4)),
    ),
    "a prompt part that crashes servers, and one cut off": (
        Fault(1.0, 3.0, "crashing part", 0),
        Fault(1.5, 1.0, "restart server", 1),
        Fault(2.0, 1.0, "datagrams", 1),
        Fault(2.5, 0.5, "server path", 2),
    ),
}
"""Fault sequences with signals in response headers and requests that crash servers."""

CONNECTION_CHAINS: dict[str, tuple[Fault, ...]] = {
    "new connections to one gateway, then to another": (
        Fault(2.0, 1.0, "new connections", 0),
        Fault(6.0, 1.0, "new connections", 1),
    ),
}
"""Fault sequences with connections of callers that outnumber a gateway's descriptors."""

STREAM_CHAINS: dict[str, tuple[Fault, ...]] = {
    "servers that truncate streams, in each framing": tuple(
        Fault(0.5 + 3.0 * wave, 2.8, "server", _make_failure_target(server, way))
        for wave, ways in enumerate(
            (
                (
                    ResponseMode.UNFRAMED_CLOSED_IN_EVENT,
                    ResponseMode.CHUNKED_ENDS_IN_EVENT,
                    ResponseMode.CUT_IN_EVENT,
                ),
                (
                    ResponseMode.UNFRAMED_CLOSED_EMPTY,
                    ResponseMode.LENGTH_CUT_IN_EVENT,
                    ResponseMode.UNFRAMED_RESET,
                ),
            )
        )
        for server, way in enumerate(ways)
    ),
}
"""Fault sequences with streams that end too early; one server always answers as usual."""

RESTART_CHAINS: dict[str, tuple[Fault, ...]] = {
    "a server whose restart is listed late": (Fault(1.0, 0.5, "restart listed late", 0),),
    "servers whose restarts are listed late, in series": tuple(
        Fault(0.5 + 1.5 * n, 0.5, "restart listed late", n) for n in range(3)
    ),
}
"""Fault sequences in which the list tells of a restart later than the server's own answers."""

SUSPENSION_CHAINS: dict[str, tuple[Fault, ...]] = {
    "gateways suspended in series while callers wait": (
        Fault(0.5, 12.0, "waiting callers", 0),
        *(Fault(0.5, 12.0, "server", target) for target in range(4)),
        *(Fault(3.0 + 0.2 * target, 3.5, "pause", target) for target in range(4)),
        *(Fault(8.5 + 0.2 * target, 3.0, "pause", target) for target in range(4)),
    ),
}
"""Fault sequences in which gateways resume with a backlog; run with `SUSPENSION_RETRY_LIMITS`."""
SUSPENSION_RETRY_LIMITS = RetryLimits(window_s=1.0, share=0.2, extra=1.0)
"""A window shorter than the time that callers wait."""

RETRY_CHAINS: dict[str, tuple[Fault, ...]] = {
    "gateways killed in series while servers fail": (
        *(Fault(0.5, 9.0, "server", target) for target in range(4)),
        *(Fault(1.5 + 1.5 * n, 0.3, "kill", target) for n in range(5) for target in range(4)),
    ),
}
"""Fault sequences that cause many retries across all gateways."""
