"""Decide whether this sidecar may take a key, and keep the tables of those it took."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field

from result import Err, Ok, Result

from dalehollow.config.holder import ActiveConfig, ConfigHolder
from dalehollow.config.model import Service
from dalehollow.errors import Failure, Reason
from dalehollow.once import KeyTable, KeyTableLimits, find_owner
from dalehollow.once.handover import (
    Claim,
    Snapshot,
    complete_from,
    settle_running,
)
from dalehollow.sidecar.call import InnerCall
from dalehollow.verdict import Verdict

ANSWER_BYTES_PER_TABLE = 8 * 1024 * 1024
_RETRY_UNCONFIRMED_MS = 1_000


@dataclass
class Ownership:
    """Hold the key tables of one sidecar, one for each service; `member` is name@address."""

    member: str
    holder: ConfigHolder
    started_at_ms: int
    claim: Claim | None = None
    _tables: dict[str, KeyTable] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def admit(self, call: InnerCall, now_ms: int) -> Result[KeyTable, Failure]:
        """Return the table for a call's key, or the refusal if the key is not ours to take."""
        active = self.holder.active
        service = active.config.services.get(call.service) if active.config else None
        if service is None or call.key is None:
            return Err(_unconfirmed(f"service {call.service!r} is not configured here"))
        refusal = self._check_owner(active, service, call, now_ms)
        if refusal is not None:
            return Err(refusal)
        return Ok(self._table_of(service, active))

    def make_snapshot(self, now_ms: int) -> Snapshot:
        """Return all that is known, for the next incarnation."""
        with self._lock:
            tables = dict(self._tables)
        cfg = self.holder.active.config
        bound_ms = cfg.clock_bound_ms if cfg is not None else 0
        return Snapshot(
            others_complete_from_ms=complete_from(self.claim, "", self.started_at_ms, bound_ms),
            complete_from_ms={
                name: max(table.complete_from_ms, now_ms - table.limits.window_ms)
                for name, table in tables.items()
            },
            records={name: settle_running(table.records()) for name, table in tables.items()},
        )

    def counts(self) -> dict[str, int]:
        """Return how many keys each service's table holds."""
        with self._lock:
            return {name: table.count() for name, table in self._tables.items()}

    def _check_owner(
        self,
        active: ActiveConfig,
        service: Service,
        call: InnerCall,
        now_ms: int,
    ) -> Failure | None:
        assert active.config is not None
        clock_bound_ms = active.config.clock_bound_ms
        owner = find_owner(
            tuple(active.manifest.generations.get(service.name, ())),
            call.scope,
            call.birth_ms,
            now_ms=now_ms,
            memory_ms=service.key_window_ms + 2 * clock_bound_ms,
        )
        if owner is None or owner.member != self.member:
            return _unconfirmed(f"{self.member!r} does not own this key")
        if not owner.settled:
            message = "the key is undated and its owner changed; it may have run at the old owner"
            return Failure(Reason.KEY_OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, message)
        time_ms = now_ms if call.birth_ms is None else call.birth_ms
        horizon_ms = self.holder.confirmed_at_ms + service.ownership_horizon_ms
        if time_ms > horizon_ms:
            return _unconfirmed("the configuration was not confirmed for too long")
        return None

    def _table_of(self, service: Service, active: ActiveConfig) -> KeyTable:
        assert active.config is not None
        with self._lock:
            table = self._tables.get(service.name)
            if table is None:
                # Fixed for this incarnation: a window that grew would admit forgotten keys.
                limits = KeyTableLimits(
                    capacity=service.key_capacity,
                    answer_bytes=ANSWER_BYTES_PER_TABLE,
                    window_ms=service.key_window_ms,
                    clock_bound_ms=active.config.clock_bound_ms,
                )
                table = self._make_table(service.name, limits)
                self._tables[service.name] = table
            return table

    def _make_table(self, service: str, limits: KeyTableLimits) -> KeyTable:
        bound_ms = limits.clock_bound_ms
        table = KeyTable(limits, complete_from(self.claim, service, self.started_at_ms, bound_ms))
        if self.claim is not None and self.claim.snapshot is not None:
            table.load(self.claim.snapshot.records.get(service, {}))
        return table


def _unconfirmed(message: str) -> Failure:
    return Failure(
        Reason.OWNERSHIP_UNCONFIRMED,
        Verdict.NOT_RUN,
        message,
        retry_after_ms=_RETRY_UNCONFIRMED_MS,
    )
