"""Send requests that share a crashing part of their prompts beside sound ones that share the rest.

Prints, for each case, how many upstreams crashed, how many requests with the part were sent later
than `CONTACT_S` after the fifth crash, and the share of sound requests that were served from then
on. Upstreams start again a second after each crash; all processes share one event loop.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from benchmarks.report import print_pairs
from standins.server import CrashPoint, ResponseMode
from tests.crash_world import CRASHING, SHARED_BY_ALL, CrashWorld, run_crash_world

UPSTREAMS = 16
DURATION_S = 12.0
CONTACT_S = 3.0
RESTART_S = 1.0
CRASHING_PER_S = 5.0
SOUND_PER_S = 25.0
EVENT_DELAY_S = 0.05
GROUP_EVENT_DELAY_S = 0.2
STALL_S = 0.5
MANY = 10_000
PARTS_OF_ACCOUNTS = ("a0", "a1", "a2")
CONVERSATION_REQUESTS = 3
MAX_CRASHES = 5
SEED = 41


@dataclass(frozen=True)
class _Sent:
    at_s: float
    status: int
    is_whole: bool


@dataclass(frozen=True)
class _Case:
    """Describe one run; `disturb` runs beside the requests."""

    name: str
    gateways: int
    path: str = "/stream/1"
    crash_point: CrashPoint = CrashPoint.AFTER_HEAD
    has_conversations: bool = False
    is_rank_group: bool = False
    disturb: Callable[[CrashWorld], Awaitable[None]] | None = None


async def _start_gateway(world: CrashWorld) -> None:
    await asyncio.sleep(2.0)
    await world.add_gateway()


async def _restart_gateways(world: CrashWorld) -> None:
    await asyncio.sleep(6.0)
    await world.restart_gateways()


async def _crash_others(world: CrashWorld) -> None:
    """Crash two upstreams a second for a cause of their own."""
    for number in range(2 * round(DURATION_S)):
        await asyncio.sleep(0.5)
        upstream = world.upstreams[number % len(world.upstreams)]
        if not upstream.is_down:
            upstream.server.crash()


class _RankGroup:
    """Stop all upstreams when one of them crashes, until it has started again."""

    def __init__(self, world: CrashWorld) -> None:
        self._world = world
        self._is_broken = False

    def form(self) -> None:
        """Make the upstreams depend on each other; streams outlast the time between crashes."""
        for upstream in self._world.upstreams:
            upstream.server.response_delay_s = GROUP_EVENT_DELAY_S
            upstream.server.on_crash = self._make_break(upstream.server.on_crash)

    def _make_break(self, record_crash: Callable[[], None]) -> Callable[[], None]:
        def on_crash() -> None:
            record_crash()
            if not self._is_broken:
                self._is_broken = True
                self._world.running.append(asyncio.ensure_future(self._break()))

        return on_crash

    async def _break(self) -> None:
        servers = [upstream.server for upstream in self._world.upstreams]
        for server in servers:
            server.next_modes = [ResponseMode.REFUSE_BROKEN] * MANY
        await asyncio.sleep(STALL_S)
        for server in servers:
            server.cut_answers()
        await asyncio.sleep(RESTART_S)
        for server in servers:
            server.next_modes = []
        self._is_broken = False


CASES = (
    *(
        _Case(f"{path[1:-2]}-{point}", gateways, path, point)
        for gateways, path, point in itertools.product(
            (1, 4), ("/stream/1", "/read/1"), (CrashPoint.BEFORE_HEAD, CrashPoint.AFTER_HEAD)
        )
    ),
    _Case("unframed-closed-in-order", 4, crash_point=CrashPoint.AFTER_EVENT_IN_ORDER),
    _Case("short-conversations", 4, has_conversations=True),
    _Case("rank-group", 4, is_rank_group=True),
    _Case("a-gateway-starts", 4, disturb=_start_gateway),
    _Case("all-gateways-start-again", 4, disturb=_restart_gateways),
    _Case("other-crashes-too", 4, disturb=_crash_others),
)


def run() -> None:
    """Print one line per case."""
    logging.disable(logging.CRITICAL)
    for case in CASES:
        run_crash_world(_make_scenario(case), case.gateways, case.crash_point, UPSTREAMS)


def _make_scenario(case: _Case) -> Callable[[CrashWorld], Awaitable[None]]:
    async def scenario(world: CrashWorld) -> None:
        rng = random.Random(SEED)
        for upstream in world.upstreams:
            upstream.server.response_delay_s = EVENT_DELAY_S
        crashes_s = world.restart_after_crashes(RESTART_S)
        if case.is_rank_group:
            _RankGroup(world).form()
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + DURATION_S
        disturbance = asyncio.ensure_future(case.disturb(world)) if case.disturb else None
        sound, _ = await asyncio.gather(
            _send_at_rate(world, case, SOUND_PER_S, ends_at_s, _make_sound_parts(case, rng)),
            _send_at_rate(world, case, CRASHING_PER_S, ends_at_s, _make_crashing_parts(rng)),
        )
        if disturbance is not None:
            await disturbance
        from_s = sorted(crashes_s)[min(len(crashes_s), MAX_CRASHES) - 1]
        _print_result(world, case, len(crashes_s), from_s, sound)

    return scenario


def _make_sound_parts(case: _Case, rng: random.Random) -> Callable[[int], Sequence[str]]:
    def make(number: int) -> Sequence[str]:
        account = rng.choice(PARTS_OF_ACCOUNTS)
        if not case.has_conversations:
            return SHARED_BY_ALL, account
        return SHARED_BY_ALL, account, f"c{number // CONVERSATION_REQUESTS:04x}"

    return make


def _make_crashing_parts(rng: random.Random) -> Callable[[int], Sequence[str]]:
    return lambda number: (SHARED_BY_ALL, rng.choice(PARTS_OF_ACCOUNTS), CRASHING)


async def _send_at_rate(
    world: CrashWorld,
    case: _Case,
    rate_per_s: float,
    ends_at_s: float,
    make_parts: Callable[[int], Sequence[str]],
) -> list[_Sent]:
    loop = asyncio.get_running_loop()
    sent = []
    for number in itertools.count():
        if loop.time() >= ends_at_s:
            break
        sent.append(asyncio.ensure_future(_send(world, case, number, make_parts(number))))
        await asyncio.sleep(1 / rate_per_s)
    return await asyncio.gather(*sent)


async def _send(world: CrashWorld, case: _Case, number: int, parts: Sequence[str]) -> _Sent:
    at_s = asyncio.get_running_loop().time()
    if not world.gateways:
        return _Sent(at_s, 0, False)
    gateway = world.gateways[number % len(world.gateways)]
    answer = await world.send(gateway, parts, case.path)
    return _Sent(at_s, answer.status, answer.is_whole)


def _print_result(
    world: CrashWorld, case: _Case, crashes: int, fifth_crash_s: float, sound: list[_Sent]
) -> None:
    late = world.count_arrivals(since_s=fifth_crash_s + CONTACT_S)
    later = [s for s in sound if s.at_s > fifth_crash_s + 2 * CONTACT_S]
    served = [s for s in later if s.status == 200 and s.is_whole]
    print_pairs(
        case=case.name,
        gateways=case.gateways,
        crashes=crashes,
        sent=world.count_arrivals(),
        sent_late=late,
        sound=len(later),
        sound_served=len(served),
    )
