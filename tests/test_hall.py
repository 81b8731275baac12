"""Test the processes of a hall end to end, from callers to upstreams and back."""

from __future__ import annotations

import json
import signal
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from dalehollow.web import Answer, HttpClient
from standins.engine import make_token
from standins.hall import ACCOUNT_KEYS, Hall, send_request, start_hall
from standins.processes import Launcher
from tests.payment_bench import wait_for

AUTH = {"authorization": f"Bearer {ACCOUNT_KEYS['colombo-city']}"}


def post(
    hall: Hall, path: str, body: Any = None, headers: dict[str, str] | None = None, entry: int = 0
) -> Answer:
    return (
        HttpClient(connect_timeout_s=1)
        .call(
            "POST",
            hall.entries[entry].http,
            path,
            headers={**AUTH, **(headers or {})},
            body=body if isinstance(body, bytes) else json.dumps(body).encode(),
            timeout_s=20,
        )
        .unwrap()
    )


def read_executions(hall: Hall, name: str) -> dict[str, int]:
    client = HttpClient(connect_timeout_s=1)
    answer = client.call("GET", hall.plain[name].http, "/_runs", timeout_s=5).unwrap()
    runs: dict[str, int] = json.loads(answer.read())
    return runs


def make_chat_body(prompt: str, tokens: int = 8) -> dict[str, Any]:
    return {
        "model": "kelani-assist",
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    }


def test_each_request_gets_its_own_complete_response(hall: Hall) -> None:
    def is_own_response(idx: int) -> bool:
        prompt = f"ticket {idx}"
        answer = post(hall, "/v1/chat/completions", make_chat_body(prompt), entry=idx % 2)
        content = json.loads(answer.read())["choices"][0]["message"]["content"]
        return bool(content == "".join(make_token(prompt, i) for i in range(8)))

    with ThreadPoolExecutor(16) as pool:
        assert all(pool.map(is_own_response, range(64)))


def test_retry_at_another_entry_gets_the_first_response(hall: Hall) -> None:
    headers = {"idempotency-key": "pay-1"}
    first = post(hall, "/gate/confirm", {"session": 1}, headers, entry=0)
    body = first.read()
    replayed = post(hall, "/gate/confirm", {"session": 1}, headers, entry=1)
    assert replayed.read() == body
    assert replayed.headers["dalehollow-replayed"] == "true"
    assert read_executions(hall, "gate-1")[json.dumps({"session": 1})] == 1


REJECTED_REQUESTS = [
    ("/nowhere", {}, {}, 404, "choices: /floor, /gate, /v1/chat/completions"),
    ("/v1/chat/completions", b"{", {}, 400, "body is not JSON"),
    ("/v1/chat/completions", [], {}, 404, "field 'model' is None; choices: kelani-assist"),
    ("/v1/chat/completions", {"model": "x"}, {}, 404, "field 'model' is 'x'"),
    ("/gate/confirm", {}, {"authorization": "Bearer wrong"}, 401, "no client account"),
    ("/gate/confirm", {}, {"authorization": "Basic x"}, 401, "must be 'Bearer' and a key"),
    ("/gate/confirm", {}, {"dalehollow-priority": "high"}, 400, "choices: urgent, normal"),
    ("/gate/confirm", {}, {"dalehollow-deadline-ms": "-5"}, 400, "is '-5'; must be milliseconds"),
    ("/gate/confirm", {}, {"dalehollow-deadline-ms": "0"}, 400, "is '0'; must be milliseconds"),
    ("/gate/confirm", {}, {"idempotency-key": "a b"}, 400, "visible ASCII"),
    ("/gate/confirm", {}, {"idempotency-key": "k" * 201}, 400, "1 to 200"),
]


@pytest.mark.parametrize(("path", "body", "headers", "status", "message"), REJECTED_REQUESTS)
def test_rejected_request(
    hall: Hall, path: str, body: Any, headers: dict[str, str], status: int, message: str
) -> None:
    answer = post(hall, path, body, headers)
    assert answer.status == status
    error = json.loads(answer.read())["error"]
    assert message in error["message"]
    assert error["verdict"] == answer.headers["dalehollow-verdict"] == "NOT_RUN"


def test_forged_inner_headers_do_not_reach_the_upstream(hall: Hall) -> None:
    forged = {
        "dalehollow-account": "floor-judges",
        "dalehollow-verdict": "NOT_RUN",
        "dalehollow-may-retry": "true",
        "dalehollow-reason": "queue_full",
    }
    answer = post(hall, "/gate/confirm", {"session": "forged"}, forged)
    assert answer.status == 200
    assert answer.headers["dalehollow-verdict"] == "RAN"
    assert "dalehollow-reason" not in answer.headers


@pytest.mark.parametrize(
    ("mode", "status", "verdict", "executions"),
    [
        ("refuse", 503, "RAN", 0),
        ("cut_before", 502, "MAY_HAVE_RUN", 1),
        ("cut_answer", 200, "RAN", 1),
    ],
)
def test_upstream_fault(hall: Hall, mode: str, status: int, verdict: str, executions: int) -> None:
    fault = json.dumps({"mode": mode, "count": 1}).encode()
    client = HttpClient(connect_timeout_s=1)
    client.call(
        "PUT", hall.plain["gate-1"].http, "/_fault", body=fault, timeout_s=5
    ).unwrap().read()
    answer = post(hall, "/gate/confirm", {"session": mode})
    assert (answer.status, answer.headers["dalehollow-verdict"]) == (status, verdict)
    assert read_executions(hall, "gate-1").get(json.dumps({"session": mode}), 0) == executions
    if mode == "cut_answer":
        with pytest.raises(ConnectionError):
            answer.read()


def test_graceful_stops_do_not_interrupt_streams() -> None:
    with Launcher() as launcher:
        hall = start_hall(launcher, engines=1, plain=(), settings={"leave_ms": 50})
        with ThreadPoolExecutor(4) as pool:
            request = {
                "account": "colombo-city",
                "priority": "normal",
                "method": "POST",
                "path": "/v1/chat/completions",
                "body": {**make_chat_body("long", 400), "stream": True},
            }
            streams = [pool.submit(send_request, hall.entries[0], request) for _ in range(4)]
            engine_http = hall.engines[0].http
            client = HttpClient(connect_timeout_s=1)

            def count_running() -> int:
                answer = client.call("GET", engine_http, "/stats", timeout_s=5).unwrap()
                return int(json.loads(answer.read())["running"])

            wait_for(lambda: count_running() == 4, "four streams")
            hall.entries[0].send_signal(signal.SIGTERM)
            hall.sidecars["model-0"].send_signal(signal.SIGTERM)
            for future in streams:
                result = future.result()
                assert result["body"].endswith("data: [DONE]\n\n")
        assert hall.entries[0].stop() == 0
        assert hall.sidecars["model-0"].stop() == 0
