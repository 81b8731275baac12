"""Simulate a model engine: continuous batching in steps, priorities, cancellation and streaming.

Tokens are derived from a digest of the prompt, so that a test can detect the response to another
request.
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
import json
import queue
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import fire

from dalehollow.clock import read_clock
from dalehollow.web import HttpRequest, HttpResponse, HttpServer
from standins.serving import serve_until_signal

PRIORITY_RANKS = {"urgent": 0, "normal": 1, "background": 2}
DEFAULT_MAX_TOKENS = 16


def make_token(prompt: str, idx: int) -> str:
    """Return the token at the given index of the response to a prompt."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:8] + f"-{idx} "


@dataclass(order=True)
class _Sequence:
    priority_rank: int
    arrival_number: int
    prompt: str = field(compare=False)
    remaining_tokens: int = field(compare=False)
    generated_tokens: int = field(default=0, compare=False)
    cancelled: bool = field(default=False, compare=False)
    tokens: queue.SimpleQueue[str | None] = field(default_factory=queue.SimpleQueue, compare=False)


class EngineStandIn:
    """Batch waiting and running sequences; a single thread executes the steps."""

    def __init__(self, slots: int, step_ms: float) -> None:
        self.slots = slots
        self.step_ms = step_ms
        self.started = 0
        self.cancelled = 0
        self.finished = 0
        self.max_in_flight = 0
        self.tokens_made = 0
        self._waiting: list[_Sequence] = []
        self._running: list[_Sequence] = []
        self._arrival_numbers = itertools.count()
        self._changed = threading.Condition()
        threading.Thread(target=self._run_steps, name="engine", daemon=True).start()

    def handle(self, req: HttpRequest) -> HttpResponse:
        if req.path == "/stats":
            return HttpResponse(200, {}, json.dumps(self.stats()).encode())
        body = json.loads(req.body)
        prompt = body["messages"][-1]["content"]
        priority_rank = PRIORITY_RANKS.get(req.headers.get("x-request-priority", "normal"), 1)
        sequence = self._add(prompt, priority_rank, int(body.get("max_tokens", DEFAULT_MAX_TOKENS)))
        if body.get("stream"):
            headers = {"content-type": "text/event-stream"}
            return HttpResponse(200, headers, self._stream(sequence))
        text = "".join(self._read_tokens(sequence))
        answer = {"choices": [{"message": {"role": "assistant", "content": text}}]}
        return HttpResponse(200, {"content-type": "application/json"}, json.dumps(answer).encode())

    def stats(self) -> dict[str, int]:
        with self._changed:
            return {
                "started": self.started,
                "cancelled": self.cancelled,
                "finished": self.finished,
                "running": len(self._running),
                "waiting": len(self._waiting),
                "worst_in_flight": self.max_in_flight,
                "tokens_made": self.tokens_made,
            }

    def _add(self, prompt: str, priority_rank: int, max_tokens: int) -> _Sequence:
        with self._changed:
            sequence = _Sequence(priority_rank, next(self._arrival_numbers), prompt, max_tokens)
            heapq.heappush(self._waiting, sequence)
            self.started += 1
            in_flight = len(self._running) + len(self._waiting)
            self.max_in_flight = max(self.max_in_flight, in_flight)
            self._changed.notify_all()
            return sequence

    def _read_tokens(self, sequence: _Sequence) -> Iterator[str]:
        finished = False
        try:
            while (token := sequence.tokens.get()) is not None:
                yield token
            finished = True
        finally:
            sequence.cancelled = not finished

    def _stream(self, sequence: _Sequence) -> Iterator[bytes]:
        for token in self._read_tokens(sequence):
            delta = {"choices": [{"delta": {"content": token}}]}
            yield b"data: " + json.dumps(delta).encode() + b"\n\n"
        yield b"data: [DONE]\n\n"

    def _run_steps(self) -> None:
        next_step_s = read_clock()
        while True:
            with self._changed:
                if not self._running and not self._waiting:
                    self._changed.wait()
                    next_step_s = read_clock()
                self._fill_batch()
            next_step_s += self.step_ms / 1000
            time.sleep(max(0.0, next_step_s - read_clock()))
            with self._changed:
                self._step()

    def _fill_batch(self) -> None:
        """Fill the slots by priority, preempting running sequences of lower priority."""
        while self._waiting and len(self._running) < self.slots:
            self._running.append(heapq.heappop(self._waiting))
        while self._waiting and self._running:
            lowest = max(self._running)
            if self._waiting[0].priority_rank >= lowest.priority_rank:
                return
            self._running.remove(lowest)
            self._running.append(heapq.heappop(self._waiting))
            heapq.heappush(self._waiting, lowest)

    def _step(self) -> None:
        for sequence in list(self._running):
            if sequence.cancelled:
                self._running.remove(sequence)
                self.cancelled += 1
                continue
            sequence.tokens.put(make_token(sequence.prompt, sequence.generated_tokens))
            sequence.generated_tokens += 1
            self.tokens_made += 1
            sequence.remaining_tokens -= 1
            if sequence.remaining_tokens <= 0:
                sequence.tokens.put(None)
                self._running.remove(sequence)
                self.finished += 1


def main(slots: int = 8, step_ms: float = 6.0, host: str = "127.0.0.1", port: int = 0) -> None:
    """Serve the simulated engine."""
    engine = EngineStandIn(slots, step_ms)
    serve_until_signal(HttpServer(host, port, engine.handle, name="engine"))


if __name__ == "__main__":
    fire.Fire(main)
