"""Test what an entry keeps of a sidecar's run, whichever response tells of a restart first.

Guards against dropping what a new run said in a response when the next heartbeat shows that the
sidecar has restarted, and against applying what an ended run said.
"""

from __future__ import annotations

from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import pytest
from result import Ok

from dalehollow.clock import read_clock
from dalehollow.entry.attempt import UpstreamClient
from dalehollow.entry.pool import Pool
from dalehollow.errors import Failure, Reason
from dalehollow.membership import UpstreamView
from dalehollow.membership.view import select_usable
from dalehollow.protocol import HeartbeatReply
from dalehollow.protocol import headers as hdr
from dalehollow.verdict import Verdict
from dalehollow.web.refusal import make_refusal
from tests.test_membership import make_views

OLD_MS, NEW_MS = 2_000, 3_000
SET_BACK_MS = 1_000
"""Start of a run on a VM whose clock was set back before."""
REFUSALS = {
    "backoff": Failure(Reason.QUEUE_FULL, Verdict.NOT_RUN, "full", backoff_ms=60_000),
    "leaving": Failure(Reason.LEAVING, Verdict.NOT_RUN, "leaving"),
}


@dataclass
class _Sidecar:
    """Answer the requests of an entry and its heartbeats as one run or another."""

    view: UpstreamView
    pool: Pool

    def refuse(self, failure: Failure, incarnation_ms: int, *, after: Any = None) -> None:
        """Refuse a request; `after` is called while the refusal is under way."""
        refusal = make_refusal(failure, request_id="r")
        headers = {**refusal.headers, hdr.INCARNATION_MS: str(incarnation_ms)}

        def call(*args: object, **kwargs: object) -> object:
            if after is not None:
                after()
            return Ok(SimpleNamespace(headers=headers, read=lambda: refusal.body))

        http: Any = SimpleNamespace(call=call)
        job: Any = SimpleNamespace(
            request_id="r",
            service=SimpleNamespace(name="desk"),
            account=SimpleNamespace(name="ana"),
            priority="normal",
            repeatable=True,
            deadline_s=read_clock() + 1_000.0,
            method="POST",
            target="/",
            headers={},
            body=b"",
        )
        UpstreamClient(http, http, "inner", 1.0).call_upstream(job, self.view).unwrap_err()

    def beat(self, incarnation_ms: int, *, is_leaving: bool = False) -> None:
        """Answer a heartbeat."""
        name = self.view.upstream.name
        reply = HeartbeatReply(name, incarnation_ms, 1, 0, 0, 0, 8, 1.0, is_leaving)
        self.pool.record_heartbeat(name, reply)

    def is_usable(self) -> bool:
        return bool(select_usable([self.view], read_clock(), "normal"))


def _start(incarnation_ms: int = OLD_MS) -> _Sidecar:
    (view,) = make_views(1)
    pool = Pool("e", "cmb-a", read_clock, subset_size=3, peer_limit=99)
    pool._views = {view.upstream.name: view}
    sidecar = _Sidecar(view, pool)
    sidecar.beat(incarnation_ms)
    return sidecar


@pytest.mark.parametrize("new_ms", [NEW_MS, SET_BACK_MS])
@pytest.mark.parametrize("refusal", REFUSALS)
def test_a_refusal_of_a_new_run_is_kept_at_its_first_heartbeat(refusal: str, new_ms: int) -> None:
    """Guards against sending to a sidecar that refused requests since its restart."""
    sidecar = _start()
    sidecar.refuse(REFUSALS[refusal], new_ms)
    sidecar.beat(new_ms, is_leaving=refusal == "leaving")
    assert not sidecar.is_usable()


@pytest.mark.parametrize("refusal", REFUSALS)
def test_a_late_refusal_of_the_ended_run_is_ignored(refusal: str) -> None:
    """Guards against leaving out a restarted sidecar for a response that was still under way."""
    sidecar = _start()
    sidecar.refuse(REFUSALS[refusal], OLD_MS, after=lambda: sidecar.beat(NEW_MS))
    assert sidecar.is_usable()
    assert sidecar.view.in_flight == 0


def test_a_heartbeat_under_way_does_not_take_back_leaving() -> None:
    """Guards against sending to a sidecar that said it leaves after it had answered a heartbeat."""
    sidecar = _start()
    sidecar.refuse(REFUSALS["leaving"], OLD_MS)
    sidecar.beat(OLD_MS)
    assert not sidecar.is_usable()


def test_a_new_run_ends_what_the_run_before_said() -> None:
    """Guards against a sidecar that gets no requests after its restart."""
    for refusal in REFUSALS.values():
        sidecar = _start()
        sidecar.refuse(refusal, OLD_MS)
        sidecar.beat(NEW_MS)
        assert sidecar.is_usable()
