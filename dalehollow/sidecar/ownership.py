"""Decide whether this sidecar may accept a key, and hold the tables of accepted keys."""

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
    get_complete_from_ms,
    mark_running_unknown,
)
from dalehollow.sidecar.call import InnerCall
from dalehollow.verdict import Verdict

ANSWER_BYTES_PER_TABLE = 8 * 1024 * 1024
_RETRY_UNCONFIRMED_MS = 1_000


@dataclass
class Ownership:
    """Hold the key tables of one sidecar, one per service; `member` is name@address."""

    member: str
    holder: ConfigHolder
    started_at_ms: int
    claim: Claim | None = None
    _tables: dict[str, KeyTable] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def admit(self, call: InnerCall, now_ms: int) -> Result[KeyTable, Failure]:
        """Return the table for a call's key, or a failure if this sidecar may not accept it."""
        active = self.holder.active
        service = active.config.services.get(call.service) if active.config else None
        if service is None or call.key is None:
            return Err(_ownership_unconfirmed(f"service {call.service!r} is not configured here"))
        refusal = self._check_owner(active, service, call, now_ms)
        if refusal is not None:
            return Err(refusal)
        return Ok(self._get_table(service, active))

    def make_snapshot(self, now_ms: int) -> Snapshot:
        """Return the records of all tables, for the next incarnation."""
        with self._lock:
            tables = dict(self._tables)
        cfg = self.holder.active.config
        bound_ms = cfg.clock_bound_ms if cfg is not None else 0
        return Snapshot(
            others_complete_from_ms=get_complete_from_ms(
                self.claim, "", self.started_at_ms, bound_ms
            ),
            complete_from_ms={
                name: max(table.complete_from_ms, now_ms - table.limits.window_ms)
                for name, table in tables.items()
            },
            records={name: mark_running_unknown(table.records()) for name, table in tables.items()},
        )

    def counts(self) -> dict[str, int]:
        """Return the number of keys in each service's table."""
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
            call.key_created_at_ms,
            now_ms=now_ms,
            retention_ms=service.key_window_ms + 2 * clock_bound_ms,
        )
        if owner is None or owner.member != self.member:
            return _ownership_unconfirmed(f"{self.member!r} does not own this key")
        if not owner.is_unambiguous:
            message = (
                "the key has no timestamp and its owner changed; the previous owner may have run it"
            )
            return Failure(Reason.KEY_OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, message)
        effective_ms = now_ms if call.key_created_at_ms is None else call.key_created_at_ms
        horizon_ms = self.holder.confirmed_at_ms + service.ownership_horizon_ms
        if effective_ms > horizon_ms:
            return _ownership_unconfirmed(
                "the configuration was last confirmed longer ago than the ownership horizon"
            )
        return None

    def _get_table(self, service: Service, active: ActiveConfig) -> KeyTable:
        assert active.config is not None
        with self._lock:
            table = self._tables.get(service.name)
            if table is None:
                # Fixed for this incarnation: a larger window would admit keys already dropped.
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
        table = KeyTable(
            limits, get_complete_from_ms(self.claim, service, self.started_at_ms, bound_ms)
        )
        if self.claim is not None and self.claim.snapshot is not None:
            table.load(self.claim.snapshot.records.get(service, {}))
        return table


def _ownership_unconfirmed(message: str) -> Failure:
    return Failure(
        Reason.OWNERSHIP_UNCONFIRMED,
        Verdict.NOT_RUN,
        message,
        retry_after_ms=_RETRY_UNCONFIRMED_MS,
    )
