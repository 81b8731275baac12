"""Test that thousands of interleaved requests each get their own complete response or none.

The reference is a naive proxy with one connection per request: it would return the request's own
response or a truncated one, so the system must return the same.
"""

from __future__ import annotations

import json
import random
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from result import Err, Result

from dalehollow.clock import read_clock
from dalehollow.config import apply_text
from dalehollow.entry import EntryProcess
from dalehollow.platform.keyvalue import HttpKeyValue
from dalehollow.settings import Settings
from dalehollow.sidecar import Sidecar
from dalehollow.web import Answer, CallError, HttpClient, HttpServer
from standins.hall import digest_key
from standins.keyvalue import KeyValueStandIn
from tests.nasty_upstream import COMPLETE_MODES, RESPONSE_MODES, MisbehavingUpstream, make_response
from tests.payment_bench import wait_for

REQUEST_COUNT = 2_000
BATCH_SIZE = 200
CALLER_COUNT = 16
FAST_SETTINGS = {"leave_ms": 0, "poll_min_ms": 50, "poll_max_ms": 100, "beat_interval_ms": 100}


class ProxyChain:
    """Run an entry, a sidecar and an upstream that sends malformed or unexpected responses."""

    def __init__(self) -> None:
        self.platform = HttpServer("127.0.0.1", 0, KeyValueStandIn().handle, name="platform")
        self.platform.start()
        self.upstream = MisbehavingUpstream()
        common = {"hall": "cmb-a", "platform": self.platform.address, **FAST_SETTINGS}
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
                    "slots": CALLER_COUNT,
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

    def call(self, number: int, mode: str) -> Result[Answer, CallError]:
        """Send a caller's request and return the response, whose body is still to be read."""
        return self.callers.call(
            "POST",
            self.entry.server.address,
            "/gate/x",
            headers={"authorization": "Bearer k"},
            body=json.dumps({"number": number, "mode": mode}).encode(),
            timeout_s=20,
        )

    def send_request(self, number: int, mode: str) -> bytes | None:
        """Return the complete response body that a caller received, or None."""
        call = self.call(number, mode)
        if isinstance(call, Err):
            return None
        try:
            body = call.ok_value.read()
        except ConnectionError:
            return None
        return body if call.ok_value.status == 200 else None

    def send_requests(
        self, count: int, modes: tuple[str, ...], seed: int
    ) -> list[tuple[int, str, bytes | None]]:
        rng = random.Random(seed)
        plan = [(number, rng.choice(modes)) for number in range(count)]
        with ThreadPoolExecutor(CALLER_COUNT) as pool:
            responses = pool.map(lambda item: self.send_request(*item), plan)
        return [(n, m, a) for (n, m), a in zip(plan, responses, strict=True)]

    def close(self) -> None:
        self.entry.stop()
        self.sidecar.stop()
        self.upstream.close()
        self.platform.stop()


@pytest.fixture
def chain() -> Iterator[ProxyChain]:
    started = ProxyChain()
    yield started
    started.close()


def test_each_caller_gets_its_own_complete_response_or_none(chain: ProxyChain) -> None:
    for number, mode, response in chain.send_requests(REQUEST_COUNT, RESPONSE_MODES, seed=1):
        expected = make_response(number, mode) if mode in COMPLETE_MODES else None
        assert response == expected, f"request {number}, response mode {mode}"


def test_truncated_stream_ends_with_an_error_event_after_whole_events(chain: ProxyChain) -> None:
    """Guards against an error event that is appended to an event of which only a part arrived."""
    answer = chain.call(7, "events_cut_unframed").unwrap()
    received = b""
    with pytest.raises(ConnectionError):
        for piece in answer.stream():
            received += piece
    first, error, rest = received.split(b"\n\n")
    assert first + b"\n\n" == make_response(7, "events_chunked")[: len(first) + 2]
    assert error.startswith(b"event: error\ndata: ")
    assert json.loads(error.partition(b"data: ")[2])["error"]["reason"] == "upstream_failed"
    assert rest == b""


def test_seeded_fault_reused_upstream_connections_mix_responses(chain: ProxyChain) -> None:
    """Check that the test detects mixed-up responses if connections to upstreams are reused.

    A late second response to one request then goes to another caller.
    """
    forwarder = chain.sidecar.forwarder
    object.__setattr__(forwarder, "client", HttpClient(connect_timeout_s=2))
    deadline_s = read_clock() + 60
    seed = 0
    while read_clock() < deadline_s:
        seed += 1
        wrong = [
            number
            for number, _, response in chain.send_requests(
                BATCH_SIZE, ("plain", "twice_late"), seed
            )
            if response is not None and response != make_response(number)
        ]
        if wrong:
            return
    pytest.fail("no responses were mixed up")
