"""Send streaming requests and measure their latency."""

from __future__ import annotations

import itertools
import json
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from dalehollow.clock import read_clock
from dalehollow.web import HttpClient
from standins.hall import ACCOUNT_KEYS
from standins.processes import RunningProcess


@dataclass(frozen=True)
class Sample:
    """Hold the result of one request; times are milliseconds since it was sent."""

    status: int
    first_ms: float
    total_ms: float
    tokens: int
    retry_after: bool
    gaps_ms: tuple[float, ...] = ()


@dataclass
class Samples:
    """Collect samples from many threads."""

    all: list[Sample] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, sample: Sample) -> None:
        """Add one sample."""
        with self.lock:
            self.all.append(sample)

    def answered(self) -> list[Sample]:
        """Return the samples with status 200."""
        return [s for s in self.all if s.status == 200]


def send_chat(
    client: HttpClient,
    address: str,
    prompt: str,
    *,
    priority: str = "normal",
    tokens: int,
    deadline_ms: int = 30_000,
) -> Sample:
    """Send one streaming chat request and read the response to its end."""
    headers = {
        "authorization": f"Bearer {ACCOUNT_KEYS['colombo-city']}",
        "dalehollow-priority": priority,
        "dalehollow-deadline-ms": str(deadline_ms),
        "x-request-priority": priority,
    }
    body = {
        "model": "kelani-assist",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    began_s = read_clock()
    call = client.call(
        "POST",
        address,
        "/v1/chat/completions",
        headers=headers,
        body=json.dumps(body).encode(),
        timeout_s=deadline_ms / 1000 + 5,
    )
    if isinstance(call, Err):
        return Sample(0, 0.0, (read_clock() - began_s) * 1000, 0, False)
    return _read_sample(call.ok_value, began_s)


def _read_sample(answer: object, began_s: float) -> Sample:
    times_s: list[float] = []
    count = 0
    try:
        for chunk in answer.stream():  # type: ignore[attr-defined]
            times_s.append(read_clock())
            count += chunk.count(b"data: {")
    except ConnectionError:
        return Sample(0, 0.0, (read_clock() - began_s) * 1000, count, False)
    ended_s = read_clock()
    gaps = tuple((b - a) * 1000 for a, b in itertools.pairwise(times_s))
    return Sample(
        status=answer.status,  # type: ignore[attr-defined]
        first_ms=((times_s[0] if times_s else ended_s) - began_s) * 1000,
        total_ms=(ended_s - began_s) * 1000,
        tokens=count,
        retry_after="retry-after" in answer.headers,  # type: ignore[attr-defined]
        gaps_ms=gaps,
    )


def run_threads(count: int, work: Callable[[int], None]) -> None:
    """Run `work` with each index in its own thread and wait for all threads."""
    threads = [threading.Thread(target=work, args=(idx,)) for idx in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def read_engine_stats(engines: list[RunningProcess]) -> list[dict[str, int]]:
    """Return the statistics that the engines report."""
    client = HttpClient(connect_timeout_s=1)
    return [
        json.loads(client.call("GET", e.http, "/stats", timeout_s=5).unwrap().read())
        for e in engines
    ]
