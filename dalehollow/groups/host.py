"""Give orders to the engine that runs a rank, and read what it keeps."""

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
"""A layer, a rank, the expert that leaves its slot and the expert that comes."""


@dataclass(frozen=True)
class RankState:
    """Hold what an engine tells of one rank; counts are (layer, expert, tokens) since its start."""

    ledger: Ledger
    step_ms: float
    counts: tuple[tuple[int, int, int], ...]


@dataclass(frozen=True)
class LoadOrder:
    """Order an engine to load the weights of a map; an older fence than it has seen is refused."""

    fence: int
    base_digest: str
    map_digest: str
    changes: tuple[Change, ...]


class RankHost(Protocol):
    """Name what the system needs of an engine that runs a rank; each call may fail as Err(why).

    The engine keeps the ledger: it decides a vote in one step with keeping it, stops before an
    armed step, and keeps all this when the process beside it is restarted.
    """

    def read(self, rank: int) -> Result[RankState, str]:
        """Read a rank's state."""

    def vote(self, rank: int, proposal: Proposal) -> Result[Vote, str]:
        """Ask for a vote, which the engine keeps."""

    def settle(self, rank: int, proposal: Proposal, outcome: Outcome) -> Result[None, str]:
        """Tell what a proposal came to."""

    def read_map(self, rank: int) -> Result[ExpertMap, str]:
        """Read the map that a rank has in force."""

    def load(self, rank: int, order: LoadOrder) -> Result[LoadState, str]:
        """Order weights to be loaded; returns `loading`, `loaded` or `refused`."""


class HttpRankHost:
    """Speak to an engine's rank orders over HTTP."""

    def __init__(self, address: str) -> None:
        """Prepare the connections; `address` is host:port."""
        self._address = address
        self._http = HttpClient(connect_timeout_s=_CONNECT_TIMEOUT_S, max_connections=8)

    def read(self, rank: int) -> Result[RankState, str]:
        """Read a rank's state."""
        return self._call("GET", f"/rank/{rank}/state", None, RankState)

    def vote(self, rank: int, proposal: Proposal) -> Result[Vote, str]:
        """Ask for a vote, which the engine keeps."""
        return self._call("POST", f"/rank/{rank}/vote", proposal, Vote)

    def settle(self, rank: int, proposal: Proposal, outcome: Outcome) -> Result[None, str]:
        """Tell what a proposal came to."""
        path = f"/rank/{rank}/settle?outcome={outcome}"
        return self._call("POST", path, proposal, bool).map(lambda _: None)

    def read_map(self, rank: int) -> Result[ExpertMap, str]:
        """Read the map that a rank has in force."""
        return self._call("GET", f"/rank/{rank}/map", None, ExpertMap)

    def load(self, rank: int, order: LoadOrder) -> Result[LoadState, str]:
        """Order weights to be loaded."""
        return self._call("POST", f"/rank/{rank}/load", order, LoadState)

    def _call(self, method: str, path: str, body: object, kind: Any) -> Result[Any, str]:
        data = None if body is None else msgspec.json.encode(body)
        sent = self._http.call(method, self._address, path, body=data, timeout_s=_CALL_TIMEOUT_S)
        if isinstance(sent, Err):
            return Err(sent.err_value.message)
        try:
            answer = sent.ok_value.read()
            if sent.ok_value.status != 200:
                return Err(f"status {sent.ok_value.status}")
            return Ok(msgspec.json.decode(answer, type=kind))
        except (ConnectionError, msgspec.MsgspecError) as exc:
            return Err(str(exc))
