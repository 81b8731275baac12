"""Track the state of one upstream as seen by a gateway."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from dalehollow.aio import ClientConnection
from dalehollow.gateway.listed import ListedUpstream, name_run
from dalehollow.protocol.reports import Run

MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
"""Each ejection lasts twice as long as the previous one. The shortest lasts a few round trips; the
longest still detects a recovered server within a caller's timeout."""
FAILURE_WEIGHT = 0.2
MAX_FAILURE_SHARE = 0.5
MIN_SAMPLES = 4
"""An upstream is ejected when more than half of its recent answers failed. Plain services fail up
to one seventh of their requests in normal operation, which is far below this."""
REPORTED_LOAD_LIFE_S = 2.0
"""Validity of the load reported in an answer, about the duration of a stream."""

_NEVER_S = float("-inf")


class MoveReason(enum.StrEnum):
    """List the reasons for ending an attempt early; only the last one forbids another."""

    SLOW_RANK = "slow_rank"
    RESTARTED = "upstream_restarted"
    CRASHES_UPSTREAMS = "crashes_upstreams"


@dataclass(eq=False)
class Move:
    """Hold an attempt that can move to another upstream, and the reason once a move is due."""

    connection: ClientConnection | None = None
    reason: MoveReason | None = None

    @property
    def is_requested(self) -> bool:
        """Return whether a move of the attempt was requested."""
        return self.reason is not None

    def request(self, reason: MoveReason) -> None:
        """Abort the attempt; the request resumes at another upstream."""
        self.reason = reason
        if self.connection is not None:
            self.connection.abort()


@dataclass
class ReportedState:
    """Hold the state that one run of an upstream reported in its answers."""

    # End of the backoff requested from this gateway.
    backoff_until_s: float = _NEVER_S
    is_leaving: bool = False
    # Limit of requests per second from all gateways together, None for no limit, and the time of
    # the latest answer to any gateway that reported it.
    limit_per_s: float | None = None
    limit_reported_at_s: float = _NEVER_S


@dataclass
class Upstream:
    """Hold the state of one run of an upstream as seen by this gateway.

    A run may be detected before the list contains its start; until then `listed` is the entry of
    the last listed run.
    """

    listed: ListedUpstream
    reported_state: ReportedState
    in_flight: int = 0
    others_in_flight: int = 0
    untracked: int = 0
    untracked_at_s: float = _NEVER_S
    ejected_until_s: float = 0.0
    # Attempts in flight that can move to another upstream.
    moves: set[Move] = field(default_factory=set)
    # Number of runs detected since the listed one, this one included; 0 for the listed run.
    unlisted_runs: int = 0
    # Time of the first connection to this run, None if there was none.
    reached_at_s: float | None = None
    # Run whose end was detected before a later start was listed, and when, if this one followed it.
    ended_run: Run | None = None
    ended_at_s: float = _NEVER_S
    # Runs before this one whose end the list has not confirmed, oldest first.
    earlier_runs: list[Upstream] = field(default_factory=list)
    _ejections: int = 0
    _failure_share: float = 0.0
    _samples: int = 0

    def takes_requests(self, now_s: float) -> bool:
        """Return whether the upstream accepts new requests once it has a free slot.

        This is not overridden when no other upstream is available.
        """
        return not self.is_leaving() and not self.backoff_left_s(now_s)

    def is_leaving(self) -> bool:
        """Return whether the list or one of its answers announced that the upstream is leaving.

        Neither source overrides the other, because an answer often precedes the list.
        """
        return self.listed.is_leaving or any(
            run.reported_state.is_leaving for run in self.list_runs()
        )

    @property
    def run(self) -> Run:
        """Return what identifies this run in reports."""
        return Run(self.listed.started_at_ms, self.unlisted_runs)

    @property
    def run_name(self) -> str:
        """Return a name that is unique to this run."""
        return name_run(self.listed, self.unlisted_runs)

    def list_runs(self) -> list[Upstream]:
        """Return the runs that may be active, oldest first; this one is the last."""
        return [*self.earlier_runs, self]

    def record_reached(self, now_s: float) -> None:
        """Record an established connection to this run."""
        if self.reached_at_s is None:
            self.reached_at_s = now_s

    def load(self, now_s: float) -> float:
        """Return the number of known and reported requests in flight per slot."""
        untracked = self.untracked if now_s - self.untracked_at_s < REPORTED_LOAD_LIFE_S else 0
        return (self.known_in_flight() + untracked) / max(1, self.listed.slots)

    def known_in_flight(self) -> int:
        """Return the number of requests in flight from this and the other gateways."""
        return self.own_in_flight() + max(0, self.others_in_flight)

    def own_in_flight(self) -> int:
        """Return the number of requests in flight from this gateway, also at earlier runs."""
        return sum(run.in_flight for run in self.list_runs())

    def record_reported_load(self, reported: int, now_s: float) -> None:
        """Record the load reported in an answer.

        Requests that no gateway knows of were left behind by a gateway that was lost.
        """
        self.record_untracked(max(0, reported - self.known_in_flight()), now_s)

    def record_untracked(self, untracked: int, at_s: float) -> None:
        """Record the number of requests that no gateway knows of, unless a newer one is known."""
        if at_s > self.untracked_at_s:
            self.untracked, self.untracked_at_s = untracked, at_s

    def start_backoff(self, backoff_s: float, now_s: float) -> None:
        """Send no requests for the backoff that the upstream requested."""
        self.reported_state.backoff_until_s = max(
            self.reported_state.backoff_until_s, now_s + backoff_s
        )

    def backoff_left_s(self, now_s: float) -> float:
        """Return the remaining backoff, 0 if there is none."""
        until_s = max(run.reported_state.backoff_until_s for run in self.list_runs())
        return max(0.0, until_s - now_s)

    def limit_run(self) -> Upstream:
        """Return the newest run that reported a limit or the end of one, this one by default."""
        runs = reversed(self.list_runs())
        return next((r for r in runs if r.reported_state.limit_reported_at_s > _NEVER_S), self)

    def limit_per_s(self) -> float | None:
        """Return the limit of requests per second from all gateways, None if there is none."""
        return self.limit_run().reported_state.limit_per_s

    def record_answer(self, *, failed: bool) -> None:
        """Record an answer, or a failure to answer, in the failure rate."""
        self._samples += 1
        self._failure_share += FAILURE_WEIGHT * (failed - self._failure_share)
        if not failed:
            self._ejections = 0

    def is_failing(self) -> bool:
        """Return whether too many recent requests failed."""
        return self._samples >= MIN_SAMPLES and self._failure_share > MAX_FAILURE_SHARE

    def begin_run(
        self, now_s: float, unlisted_runs: int = 0, ended_at_s: float | None = None
    ) -> Upstream:
        """Return the next run, which is not listed yet, with this one as an earlier run.

        Until the list confirms the end of this run, what it reported remains in force and its
        requests occupy slots. `unlisted_runs` is the number of the run, by default the next one;
        `ended_at_s` is the time at which this run ended, by default now.
        """
        earlier = [run for run in self.list_runs() if run._affects_selection(now_s)]
        return Upstream(
            self.listed,
            ReportedState(),
            others_in_flight=self.others_in_flight,
            untracked=self.untracked,
            untracked_at_s=self.untracked_at_s,
            ejected_until_s=self.ejected_until_s,
            unlisted_runs=max(unlisted_runs, self.unlisted_runs + 1),
            ended_run=self.run,
            ended_at_s=now_s if ended_at_s is None else ended_at_s,
            earlier_runs=earlier,
            _ejections=self._ejections,
        )

    def renumber_run(self, unlisted_runs: int, ended_at_s: float) -> None:
        """Number this run as the successor of the run it was mistaken for, which had ended."""
        self.ended_run, self.ended_at_s = self.run, ended_at_s
        self.unlisted_runs = max(unlisted_runs, self.unlisted_runs + 1)

    def confirm_run(self, listed: ListedUpstream) -> None:
        """Use the list entry of a run that was detected before it was listed."""
        self.listed = listed
        self.unlisted_runs, self.earlier_runs = 0, []
        if self.reached_at_s is None:
            # It was ejected while nothing listened on its port.
            self.ejected_until_s, self._ejections = 0.0, 0
        if self.reached_at_s is None or self.untracked_at_s < self.reached_at_s:
            self.untracked = 0

    def _affects_selection(self, now_s: float) -> bool:
        """Return whether the upstream is selected differently because of this run."""
        state = self.reported_state
        return bool(
            self.in_flight
            or state.is_leaving
            or state.backoff_until_s > now_s
            or state.limit_per_s is not None
        )

    def eject(self, now_s: float) -> None:
        """Exclude the upstream from selection, for longer after each consecutive ejection."""
        pause_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**self._ejections)
        self._ejections += 1
        self.ejected_until_s = now_s + pause_s
        # Only results after the ejection count for the next one.
        self._failure_share, self._samples = 0.0, 0
