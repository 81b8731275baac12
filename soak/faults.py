"""Break things from outside the gateways, at random moments that overlap."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, replace

from dalehollow.aio import ConnectError
from soak.callers import Callers
from soak.peers import LOST_SHARE
from soak.promises import CRASHING_ID
from soak.proxy import Mode
from soak.world import CRASHING_BODY, Gateway, World
from standins.server import ResponseMode

BAD_WAYS = (
    ResponseMode.ERROR,
    ResponseMode.REFUSE,
    ResponseMode.CUT_UNANSWERED,
    ResponseMode.CUT_IN_EVENT,
    ResponseMode.CUT_BODY,
    ResponseMode.OTHERS_ANSWER_FIRST,
    ResponseMode.SURPLUS,
    ResponseMode.HANG,
)
BROKEN_MODES = (Mode.DELAY, Mode.RESET, Mode.SILENT, Mode.SILENT_THERE, Mode.SILENT_BACK)
STORE_FAULTS = ("busy", "silent", "lost")
CHANGES = (1, 3, 30)
CHANGE_GAP_S = 0.2
HALL_S = 3.0
"""Added to the time for which a hall reaches no store: longer than a configuration may take."""
SERVES_ON_S = 3.0
"""A server that leaves serves on for so long after it said so."""
STOP_GRACE_S = 8.0
REST_S = "2"
LIMIT_PER_S = "1.5"
LIMIT_S = 8.0
"""Added to the time for which a server names a limit: it binds after seconds, over seconds."""
CRASHING_COMINGS = 32
CRASHING_PAUSE_S = 0.25


@dataclass(frozen=True)
class Fault:
    """Hold one fault: when it begins, how long it lasts, and what it does to what."""

    at_s: float
    for_s: float
    kind: str
    target: int

    def describe(self) -> str:
        """Return the fault in a line."""
        return f"{self.at_s:5.1f} s for {self.for_s:.1f} s: {self.kind} ({self.target})"


Play = Callable[[World, Fault], Awaitable[None]]


def draw_faults(rng: random.Random, length_s: float, count: int) -> list[Fault]:
    """Draw faults of all kinds over a run; they overlap and strike the same thing again."""
    kinds = list(PLAYS)
    faults = [
        Fault(
            at_s=round(rng.uniform(0.5, length_s), 2),
            for_s=round(rng.uniform(0.2, 3.0), 2),
            kind=rng.choice(kinds),
            target=rng.randrange(100),
        )
        for _ in range(count)
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


async def play_fault(world: World, fault: Fault) -> None:
    """Wait for a fault's moment, bring it about, and mend it after its time."""
    await asyncio.sleep(fault.at_s)
    await PLAYS[fault.kind](world, fault)


def _choose_gateway(world: World, fault: Fault) -> Gateway:
    gateways = list(world.gateways.values())
    return gateways[fault.target % len(gateways)]


def _choose_server(world: World, fault: Fault) -> str:
    names = [name for name in world.servers if name not in world.ledger.leaving_at_s]
    return names[fault.target % len(names)]


async def _disturb(world: World, name: str, fault: Fault) -> None:
    """Note that a thing is disturbed for a fault's time, and wait for its end."""
    begun_s = world.now_s()
    entry = (begun_s, begun_s + fault.for_s)
    world.ledger.disturbed[name].append(entry)
    await asyncio.sleep(fault.for_s)
    world.ledger.disturbed[name].remove(entry)
    world.ledger.disturbed[name].append((begun_s, world.now_s()))


async def _pause(world: World, fault: Fault) -> None:
    gateway = _choose_gateway(world, fault)
    if gateway.is_paused or gateway.process is None:
        return
    gateway.is_paused = True
    world.send_signal(gateway, signal.SIGSTOP)
    await _disturb(world, gateway.name, fault)
    world.send_signal(gateway, signal.SIGCONT)
    gateway.is_paused = False


async def _kill(world: World, fault: Fault) -> None:
    gateway = _choose_gateway(world, fault)
    process, gateway.process = gateway.process, None
    if process is None:
        return
    world.ledger.disturbed[gateway.name].append((world.now_s(), float("inf")))
    process.process.kill()
    await process.process.wait()
    await asyncio.sleep(fault.for_s / 3)
    await _restart(world, gateway)


async def _stop(world: World, fault: Fault) -> None:
    """Stop a gateway as planned; callers go on using the connections they have."""
    gateway = _choose_gateway(world, fault)
    process = gateway.process
    if process is None or process.process.returncode is not None:
        return
    world.ledger.stops.append((gateway.name, gateway.life, world.now_s()))
    world.send_signal(gateway, signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_GRACE_S):
            await process.process.wait()
    except TimeoutError:
        world.ledger.disturbed[gateway.name].append((world.now_s(), float("inf")))
        process.process.kill()
        await process.process.wait()
    if gateway.process is process:
        gateway.process = None
        world.ledger.disturbed[gateway.name].append((world.now_s(), float("inf")))
        await _restart(world, gateway)


async def _restart(world: World, gateway: Gateway) -> None:
    """Start a gateway's next life; until then and while it starts it counts as disturbed."""
    await world.start(gateway)
    entries = world.ledger.disturbed[gateway.name]
    now_s = world.now_s()
    world.ledger.disturbed[gateway.name] = [
        (begin, now_s if end == float("inf") else end) for begin, end in entries
    ]


async def _break_store_path(world: World, fault: Fault) -> None:
    gateway = _choose_gateway(world, fault)
    gateway.store.set_mode(BROKEN_MODES[fault.target % len(BROKEN_MODES)])
    await _disturb(world, f"store of {gateway.name}", fault)
    gateway.store.set_mode(Mode.PASS)


async def _break_store_path_of_hall(world: World, fault: Fault) -> None:
    """Break the way to the store of all gateways of a hall; another hall may reach it."""
    hall = _choose_gateway(world, fault).hall
    mode = BROKEN_MODES[fault.target % len(BROKEN_MODES)]
    gateways = [g for g in world.gateways.values() if g.hall == hall]
    for gateway in gateways:
        gateway.store.set_mode(mode)
    names = [f"store of {gateway.name}" for gateway in gateways]
    long = replace(fault, for_s=fault.for_s + HALL_S)
    await asyncio.gather(*(_disturb(world, name, long) for name in names))
    for gateway in gateways:
        gateway.store.set_mode(Mode.PASS)


async def _lose_datagrams(world: World, fault: Fault) -> None:
    """Lose a share of what a gateway and its peers tell each other, or all of it."""
    gateway = _choose_gateway(world, fault)
    proxy = world.network.proxies.get(gateway.name)
    if proxy is None:
        return
    proxy.set_loss(LOST_SHARE if fault.target // len(world.gateways) % 2 else 1.0)
    await _disturb(world, f"peers of {gateway.name}", fault)
    proxy.set_loss(0.0)


async def _break_store(world: World, fault: Fault) -> None:
    world.store.fault = STORE_FAULTS[fault.target % len(STORE_FAULTS)]
    await _disturb(world, "store", fault)
    world.store.fault = "none"


async def _forget_history(world: World, fault: Fault) -> None:
    world.store.discard_history()


async def _end_leases(world: World, fault: Fault) -> None:
    world.store.end_all_leases()


async def _break_server_path(world: World, fault: Fault) -> None:
    name = _choose_server(world, fault)
    world.proxies[name].set_mode(BROKEN_MODES[fault.target % len(BROKEN_MODES)])
    await _disturb(world, name, fault)
    world.proxies[name].set_mode(Mode.PASS)


async def _break_server(world: World, fault: Fault) -> None:
    name = _choose_server(world, fault)
    first = fault.target % len(BAD_WAYS)
    world.servers[name].bad_ways = (BAD_WAYS[first], BAD_WAYS[first - 1])
    await _disturb(world, name, fault)
    world.servers[name].bad_ways = ()


async def _replace_server(world: World, fault: Fault) -> None:
    """Have a server leave and another come."""
    name = _choose_server(world, fault)
    await world.add_server()
    world.ledger.leaving_at_s[name] = world.now_s()
    world.write_entry(name, "draining")
    await asyncio.sleep(SERVES_ON_S)
    world.delete_entry(name)


async def _lose_server(world: World, fault: Fault) -> None:
    """Have a server's entry go without notice; it serves on."""
    name = _choose_server(world, fault)
    await world.add_server()
    await _lose(world, name)


async def _lose(world: World, name: str) -> None:
    world.ledger.leaving_at_s.setdefault(name, world.now_s())
    world.delete_entry(name)


async def _restart_server(world: World, fault: Fault) -> None:
    """Have a server start again under the name that it had."""
    name = _choose_server(world, fault)
    world.proxies[name].set_mode(Mode.RESET)
    await _disturb(world, name, fault)
    world.restart_server(name)


async def _restore_store(world: World, fault: Fault) -> None:
    """Have the store go away and come back from a copy."""
    world.store.fault = "busy"
    await _disturb(world, "store", fault)
    world.restore_store()
    world.store.fault = "none"


async def _apply(world: World, fault: Fault) -> None:
    """Change the configuration once, a few times in a row, or for seconds."""
    for _ in range(CHANGES[fault.target % len(CHANGES)]):
        world.apply_next()
        await asyncio.sleep(CHANGE_GAP_S)


async def _say(world: World, fault: Fault, name: str, value: str, for_s: float) -> None:
    """Have a server say something in all its answers for a while."""
    speaker = _choose_server(world, fault)
    if speaker in world.ledger.speaking:
        return
    world.ledger.speaking.add(speaker)
    server = world.servers[speaker]
    server.extra_headers, server.is_refusing = (
        [(name.encode(), value.encode())],
        name == "retry-after",
    )
    await asyncio.sleep(for_s)
    server.extra_headers, server.is_refusing = [], False
    world.ledger.speaking.discard(speaker)


async def _ask_for_rest(world: World, fault: Fault) -> None:
    await _say(world, fault, "retry-after", REST_S, fault.for_s)


async def _name_limit(world: World, fault: Fault) -> None:
    await _say(world, fault, "server-limit", LIMIT_PER_S, fault.for_s + LIMIT_S)


async def _say_leaving(world: World, fault: Fault) -> None:
    """Have a server say that it leaves, but not in its entry, and end."""
    await world.add_server()
    name = _choose_server(world, fault)
    await _say(world, fault, "server-leaving", "1", fault.for_s + SERVES_ON_S)
    await _lose(world, name)


async def _send_crashing(world: World, fault: Fault) -> None:
    """Have one request come again and again that crashes whoever begins to run it."""
    caller = Callers(world, prefix=f"{CRASHING_ID}{fault.at_s}-", body=CRASHING_BODY)
    for _ in range(CRASHING_COMINGS):
        gateway = world.rng.choice(list(world.gateways.values()))
        if gateway.process is not None:
            with suppress(ConnectError):
                world.ledger.asked.append(await caller.ask_once(gateway, "read"))
        await asyncio.sleep(CRASHING_PAUSE_S)


PLAYS: dict[str, Play] = {
    "pause": _pause,
    "kill": _kill,
    "stop": _stop,
    "store path": _break_store_path,
    "store path of a hall": _break_store_path_of_hall,
    "datagrams": _lose_datagrams,
    "store": _break_store,
    "history": _forget_history,
    "leases": _end_leases,
    "server path": _break_server_path,
    "server": _break_server,
    "replace server": _replace_server,
    "lose server": _lose_server,
    "restart server": _restart_server,
    "restore": _restore_store,
    "configuration": _apply,
    "rest": _ask_for_rest,
    "limit": _name_limit,
    "says it leaves": _say_leaving,
    "crashing request": _send_crashing,
}


def _aim(gateway: int, mode: Mode) -> int:
    """Return the target that stands for one of four gateways and one way to break its path."""
    fits = (t for t in range(100) if t % 4 == gateway and BROKEN_MODES[t % 5] is mode)
    return next(fits)


ONE_CHANGE, MANY_CHANGES = 0, 2
LATE_CHAINS: dict[str, tuple[Fault, ...]] = {
    "the relay killed as a change comes": (
        Fault(1.0, 3.0, "kill", 0),
        Fault(1.0, 0.1, "configuration", ONE_CHANGE),
    ),
    "the relay frozen as a change comes": (
        Fault(1.0, 3.0, "pause", 0),
        Fault(1.0, 0.1, "configuration", ONE_CHANGE),
    ),
    "the relay's way to the store silent": (
        Fault(1.0, 8.0, "store path", _aim(0, Mode.SILENT)),
        Fault(1.0, 0.1, "configuration", ONE_CHANGE),
    ),
    "a gateway turned away that lacks one change": (
        Fault(1.0, 0.5, "datagrams", 1),
        Fault(1.0, 8.0, "store path", _aim(1, Mode.RESET)),
        Fault(1.1, 0.1, "configuration", ONE_CHANGE),
    ),
    "a hall that reaches no store": (
        Fault(0.5, 8.0, "store path of a hall", _aim(0, Mode.RESET)),
        Fault(2.0, 0.1, "configuration", ONE_CHANGE),
    ),
    "changes for seconds after a cut": (
        Fault(0.5, 3.0, "store path", _aim(1, Mode.SILENT)),
        Fault(0.5, 3.0, "datagrams", 1),
        Fault(0.5, 0.1, "configuration", MANY_CHANGES),
        Fault(6.5, 0.1, "configuration", MANY_CHANGES),
    ),
    "a gateway turned away for longer than its lease": (
        Fault(0.5, 22.0, "store path", _aim(1, Mode.RESET)),
        *(Fault(13.5 + gap, 0.1, "configuration", ONE_CHANGE) for gap in (0.0, 1.0, 2.0)),
        Fault(13.5, 0.1, "replace server", 0),
    ),
    "a hall turned away while servers leave": (
        Fault(0.5, 8.0, "store path of a hall", _aim(0, Mode.RESET)),
        Fault(4.0, 0.1, "replace server", 0),
        Fault(5.0, 0.1, "lose server", 1),
    ),
    "an entry that goes after the relay's own failure": (
        Fault(1.0, 0.4, "store path", _aim(0, Mode.SILENT)),
        Fault(1.6, 0.1, "lose server", 0),
    ),
    "a store restored from a copy": (
        Fault(1.0, 0.1, "configuration", MANY_CHANGES),
        Fault(3.5, 1.0, "restore", 0),
        Fault(4.6, 0.1, "configuration", ONE_CHANGE),
        Fault(4.7, 0.1, "replace server", 0),
        Fault(8.5, 0.1, "configuration", ONE_CHANGE),
    ),
}
"""The chains that make a gateway learn late (docs/PLATFORM.md), with real processes; the first
gateway is the relay of its hall."""

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
}
"""What servers say of themselves in answers, and requests that crash them."""

RETRY_CHAINS: dict[str, tuple[Fault, ...]] = {
    "gateways killed in series while servers fail": (
        *(Fault(0.5, 9.0, "server", target) for target in range(4)),
        *(Fault(1.5 + 1.5 * n, 0.3, "kill", target) for n in range(5) for target in range(4)),
    ),
}
"""Fault sequences that cause many retries across all gateways."""
