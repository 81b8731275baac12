"""Send orders to the engine that runs a rank, and read its state."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Literal, Protocol

import msgspec
from result import Err, Ok, Result

from dalehollow.groups.expert_map import ExpertMap
from dalehollow.groups.votes import Ledger, Outcome, Proposal, Vote
from dalehollow.web import HttpClient

_CALL_TIMEOUT_S = 0.5
_CONNECT_TIMEOUT_S = 0.2

LoadState = Literal["loading", "loaded", "refused"]

Change = tuple[int, int, int, int]
"""A layer, a rank, the expert removed from a slot and the expert added in its place."""


@dataclass(frozen=True)
class RankState:
    """Report one rank's state; counts are (layer, expert, tokens) since the engine's start."""

    ledger: Ledger
    step_ms: float
    counts: tuple[tuple[int, int, int], ...]


@dataclass(frozen=True)
class LoadOrder:
    """Order an engine to load the weights of a map.

    The engine refuses a fencing token lower than the highest it has seen.
    """

    fence: int
    base_digest: str
    map_digest: str
    changes: tuple[Change, ...]


class RankHost(Protocol):
    """Define the interface of an engine that runs a rank; a failed call returns Err with the cause.

    The engine owns the ledger: it decides and persists a vote atomically, blocks before an armed
    step, and keeps this state when the sidecar is restarted.
    """

    def read(self, rank: int) -> Result[RankState, str]:
        """Read a rank's state."""

    def vote(self, rank: int, proposal: Proposal) -> Result[Vote, str]:
        """Request a vote, which the engine persists."""

    def settle(self, rank: int, proposal: Proposal, outcome: Outcome) -> Result[None, str]:
        """Report the outcome of a proposal."""

    def read_map(self, rank: int) -> Result[ExpertMap, str]:
        """Read the active map of a rank."""

    def load(self, rank: int, order: LoadOrder) -> Result[LoadState, str]:
        """Order weights to be loaded; poll until it returns `loaded` or `refused`."""


class HttpRankHost:
    """Call an engine's rank interface over HTTP."""

    def __init__(self, address: str) -> None:
        """Create the HTTP client; `address` is host:port."""
        self._address = address
        self._http = HttpClient(connect_timeout_s=_CONNECT_TIMEOUT_S, max_connections=8)

    def read(self, rank: int) -> Result[RankState, str]:
        """Read a rank's state."""
        return self._call("GET", f"/rank/{rank}/state", None, RankState)

    def vote(self, rank: int, proposal: Proposal) -> Result[Vote, str]:
        """Request a vote, which the engine persists."""
        return self._call("POST", f"/rank/{rank}/vote", proposal, Vote)

    def settle(self, rank: int, proposal: Proposal, outcome: Outcome) -> Result[None, str]:
        """Report the outcome of a proposal."""
        path = f"/rank/{rank}/settle?outcome={outcome}"
        return self._call("POST", path, proposal, bool).map(lambda _: None)

    def read_map(self, rank: int) -> Result[ExpertMap, str]:
        """Read the active map of a rank."""
        return self._call("GET", f"/rank/{rank}/map", None, ExpertMap)

    def load(self, rank: int, order: LoadOrder) -> Result[LoadState, str]:
        """Order weights to be loaded."""
        return self._call("POST", f"/rank/{rank}/load", order, LoadState)

    def _call(self, method: str, path: str, body: object, reply_type: Any) -> Result[Any, str]:
        data = None if body is None else msgspec.json.encode(body)
        response = self._http.call(
            method, self._address, path, body=data, timeout_s=_CALL_TIMEOUT_S
        )
        if isinstance(response, Err):
            return Err(response.err_value.message)
        try:
            answer = response.ok_value.read()
            if response.ok_value.status != 200:
                return Err(f"engine answered {path} with HTTP status {response.ok_value.status}")
            return Ok(msgspec.json.decode(answer, type=reply_type))
        except (ConnectionError, msgspec.MsgspecError) as exc:
            return Err(str(exc))
