"""Test that thousands of interleaved callers each get their own whole answer, or none.

The judge is a naive relay that opens one connection for each request: what it would pass on is
the request's own answer or a cut one, and so must be what the system passes on.
"""

from __future__ import annotations

import json
import random
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from result import Err

from dalehollow.clock import read_clock
from dalehollow.config import apply_text
from dalehollow.entry import EntryProcess
from dalehollow.platform.keyvalue import HttpKeyValue
from dalehollow.settings import Settings
from dalehollow.sidecar import Sidecar
from dalehollow.web import HttpClient, HttpServer
from standins.hall import digest_key
from standins.keyvalue import KeyValueStandIn
from tests.nasty_upstream import CLEAN_MODES, MODES, NastyUpstream, make_answer
from tests.payment_bench import wait_for

REQUESTS = 2_000
BATCH = 200
CALLERS = 16
FAST = {"leave_ms": 0, "poll_min_ms": 50, "poll_max_ms": 100, "beat_interval_ms": 100}


class Path:
    """Hold an entry, a sidecar and an upstream that answers in nasty ways."""

    def __init__(self) -> None:
        self.platform = HttpServer("127.0.0.1", 0, KeyValueStandIn().handle, name="platform")
        self.platform.start()
        self.upstream = NastyUpstream()
        common = {"hall": "cmb-a", "platform": self.platform.address, **FAST}
        self.sidecar = Sidecar(
            Settings(
                role="sidecar",
                name="s",
                upstream="gate-1",
                upstream_http=self.upstream.address,
                **common,  # type: ignore[arg-type]
            )
        )
        self.entry = EntryProcess(Settings(role="entry", name="e", **common))  # type: ignore[arg-type]
        self.sidecar.start()
        self.entry.start()
        self._apply()
        self.callers = HttpClient(connect_timeout_s=2)

    def _apply(self) -> None:
        config = {
            "deployment": "d",
            "halls": {"cmb-a": {"region": "lk-west"}},
            "client_accounts": {
                "a": {"key_sha256": digest_key("k"), "requests_per_s": 1e6, "burst": 1_000_000}
            },
            "upstreams": {
                "gate-1": {
                    "hall": "cmb-a",
                    "http": self.sidecar.server.address,
                    "control": self.sidecar.control.address,
                    "slots": CALLERS,
                }
            },
            "services": {
                "gate": {"kind": "plain", "path_prefix": "/gate", "upstreams": ["gate-1"]}
            },
        }
        kv = HttpKeyValue(self.platform.address)
        apply_text(kv, json.dumps(config), apply_id="a").unwrap()
        for process in (self.entry, self.sidecar):
            wait_for(lambda p=process: p.holder.version == 1, "configuration")  # type: ignore[misc]

    def ask(self, number: int, mode: str) -> bytes | None:
        """Return the answer that a caller got whole, or None."""
        call = self.callers.call(
            "POST",
            self.entry.server.address,
            "/gate/x",
            headers={"authorization": "Bearer k"},
            body=json.dumps({"number": number, "mode": mode}).encode(),
            timeout_s=20,
        )
        if isinstance(call, Err):
            return None
        try:
            body = call.ok_value.read()
        except ConnectionError:
            return None
        return body if call.ok_value.status == 200 else None

    def ask_many(
        self, count: int, modes: tuple[str, ...], seed: int
    ) -> list[tuple[int, str, bytes | None]]:
        rng = random.Random(seed)
        plan = [(number, rng.choice(modes)) for number in range(count)]
        with ThreadPoolExecutor(CALLERS) as pool:
            answers = pool.map(lambda item: self.ask(*item), plan)
        return [(n, m, a) for (n, m), a in zip(plan, answers, strict=True)]

    def close(self) -> None:
        self.entry.stop()
        self.sidecar.stop()
        self.upstream.close()
        self.platform.stop()


@pytest.fixture
def path() -> Iterator[Path]:
    made = Path()
    yield made
    made.close()


def test_each_caller_gets_its_own_whole_answer_or_none(path: Path) -> None:
    for number, mode, answer in path.ask_many(REQUESTS, MODES, seed=1):
        naive = make_answer(number) if mode in CLEAN_MODES else None
        assert answer == naive, f"request {number}, upstream answered {mode}"


def test_seeded_fault_kept_connections_to_upstreams_mix_answers(path: Path) -> None:
    """Keep connections to the upstream: a late second answer goes to another caller."""
    forwarder = path.sidecar.forwarder
    object.__setattr__(forwarder, "client", HttpClient(connect_timeout_s=2))
    deadline_s = read_clock() + 60
    seed = 0
    while read_clock() < deadline_s:
        seed += 1
        wrong = [
            number
            for number, _, answer in path.ask_many(BATCH, ("plain", "twice_late"), seed)
            if answer is not None and answer != make_answer(number)
        ]
        if wrong:
            return
    pytest.fail("no answer was mixed up")
