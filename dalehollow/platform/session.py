"""Register this process in the metadata store and hold exclusive duties there.

The member entry and each duty are attached to leases, so they disappear with the process. Lease
validity is counted on the monotonic clock from just before the renewal request, less a safety
margin. A duty holder checks `fence` before each step that only the holder may take.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from dalehollow.clock import read_clock
from dalehollow.crashes import StoredCulprit
from dalehollow.errors import PlatformError
from dalehollow.gateway.listed import Member
from dalehollow.gateway.tasks import wait_set
from dalehollow.groups.holds import HoldRecord, HoldRecordChange
from dalehollow.groups.ranks import StoredPlan
from dalehollow.platform.entries import decode_entry
from dalehollow.platform.names import (
    CULPRIT_PREFIX,
    DUTY_PREFIX,
    HOLD_PREFIX,
    MEMBER_PREFIX,
    PLAN_PREFIX,
)
from dalehollow.platform.store import ConflictError, LeaseGoneError, Store, StoreEra
from dalehollow.protocol.reports import Change
from dalehollow.protocol.revisions import format_revision, read_era
from dalehollow.telemetry.logs import log_event

CALL_TIMEOUT_S = 0.5

HOLD_UPDATE_ATTEMPTS = 3
"""The first attempt of a new holder meets the record of the one before."""

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True)
class LeaseTimes:
    """Hold the time to live, renewal interval and safety margin of a lease."""

    ttl_s: float
    renew_s: float
    margin_s: float


MEMBER_TIMES = LeaseTimes(ttl_s=12.0, renew_s=4.0, margin_s=0.3)
"""Peers detect a silent gateway by themselves; the list only says where to send reports."""
MEMBER_RETRY_DELAY_S = 1.0
"""Retry delay after a failed registration or renewal of the member entry."""
CULPRIT_TTL_S = 600.0
"""Longest lease that the store grants."""
DUTY_TIMES = LeaseTimes(ttl_s=1.0, renew_s=0.3, margin_s=0.2)
"""1 s is the shortest lease the store grants; a group may stall until its duty is taken over."""


@dataclass
class Lease:
    """Hold a store lease and the single key attached to it."""

    store: Store
    key: str
    value: bytes
    times: LeaseTimes
    clock: Callable[[], float]
    revision: int = 0
    _id: int = 0
    _valid_until_s: float = 0.0

    def is_valid(self) -> bool:
        """Return whether the lease is certain not to have expired."""
        return bool(self._id) and self.clock() < self._valid_until_s

    async def acquire(self, *, replace: bool = False) -> None:
        """Acquire a lease and create the key; raise ConflictError if the key exists.

        With `replace`, an existing key is overwritten.
        """
        requested_at_s = self.clock()
        lease, ttl_s = await self.store.grant_lease(self.times.ttl_s, CALL_TIMEOUT_S)
        if replace:
            self.revision = await self.store.put(self.key, self.value, CALL_TIMEOUT_S, lease=lease)
        else:
            self.revision = await self.store.create(self.key, self.value, lease, CALL_TIMEOUT_S)
        self._id = lease
        self._valid_until_s = requested_at_s + ttl_s - self.times.margin_s

    async def renew(self) -> None:
        """Renew the lease; raise LeaseGoneError if it has expired or the store was restored.

        A restored store may have lost the lease and assigned its revision again as the fence of
        another holder, so the lease counts as expired even if the store renewed it.
        """
        requested_at_s = self.clock()
        await self.store.renew_lease(self._id, CALL_TIMEOUT_S)
        if read_era(self.revision) != self.store.era.newest:
            raise LeaseGoneError(f"{self.key}: store was restored")
        self._valid_until_s = requested_at_s + self.times.ttl_s - self.times.margin_s

    async def end(self) -> None:
        """Revoke the lease, which deletes the key."""
        lease, self._id, self._valid_until_s = self._id, 0, 0.0
        if not lease:
            return
        try:
            await self.store.revoke_lease(lease, CALL_TIMEOUT_S)
        except (PlatformError, LeaseGoneError) as exc:
            # The lease expires on its own after its time to live.
            log_event(_LOG, "lease_end_unsure", key=self.key, error=exc)
        self.store.close()

    def invalidate(self) -> None:
        """Mark the lease as expired without calling the store."""
        self._id, self._valid_until_s = 0, 0.0


@dataclass(frozen=True)
class _StoredHolds:
    """Hold the last known record of a group's holds and its revision, 0 if there is none."""

    record: HoldRecord = field(default_factory=HoldRecord)
    revision: int = 0


@dataclass
class Session:
    """Manage the member lease of this process and its duty leases by name."""

    address: str
    name: str
    member: Member
    clock: Callable[[], float] = read_clock
    era: StoreEra = field(default_factory=StoreEra)
    _duties: dict[str, Lease] = field(default_factory=dict)
    _renewing: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    _holds: dict[str, _StoredHolds] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the member lease."""
        key = MEMBER_PREFIX + self.name
        store, value = Store(self.address, self.era), msgspec.json.encode(self.member)
        self._member = Lease(store, key, value, MEMBER_TIMES, self.clock)
        self._is_listed = False
        self._is_ended = False
        # Held during calls for the member entry, which share one connection.
        self._member_lock = asyncio.Lock()
        self._wake = asyncio.Event()

    def fence(self, duty: str) -> int | None:
        """Return the fencing token of a duty, or None unless it is certain to be held now.

        Tokens rise with each holder, also across restores of the store: ranks reject a map version
        below one they have had, and map versions are derived from tokens.
        """
        lease = self._duties.get(duty)
        return lease.revision if lease is not None and lease.is_valid() else None

    async def run(self) -> None:
        """Keep the process listed until `end`, with a new lease after each expiry."""
        while not self._is_ended:
            pause_s = MEMBER_TIMES.renew_s
            try:
                async with self._member_lock:
                    await self._keep_listed()
            except LeaseGoneError:
                self._mark_unlisted("member_lapsed")
                continue
            except PlatformError as exc:
                pause_s = MEMBER_RETRY_DELAY_S
                if self._is_listed and not self._member.is_valid():
                    self._mark_unlisted("member_unconfirmed", str(exc))
            await self._pause(pause_s)

    def record_unlisted(self) -> None:
        """Register again after the entry vanished, possibly with the lease of a previous run."""
        if self._is_listed and not self._is_ended:
            self._mark_unlisted("member_removed")
            self._wake.set()

    async def _pause(self, pause_s: float) -> None:
        await wait_set(self._wake, pause_s)
        self._wake.clear()

    async def acquire_duty(self, duty: str) -> bool:
        """Try to acquire a duty that has no holder; return whether it was acquired."""
        key = DUTY_PREFIX + duty
        store = Store(self.address, self.era)
        lease = Lease(store, key, self.name.encode(), DUTY_TIMES, self.clock)
        try:
            await lease.acquire()
        except (ConflictError, LeaseGoneError):
            store.close()
            return False
        except PlatformError as exc:
            # If the write succeeded after all, its lease expires on its own.
            log_event(_LOG, "duty_unsure", duty=duty, error=exc)
            store.close()
            return False
        self._duties[duty] = lease
        loop = asyncio.get_running_loop()
        self._renewing[duty] = loop.create_task(self._keep_duty(duty, lease))
        log_event(_LOG, "duty_taken", duty=duty, fence=format_revision(lease.revision))
        return True

    async def release_duty(self, duty: str, why: str) -> None:
        """Release a duty so that another process can acquire it at once."""
        lease = self._duties.pop(duty, None)
        if lease is None:
            return
        self._renewing.pop(duty).cancel()
        log_event(_LOG, "duty_dropped", duty=duty, fence=format_revision(lease.revision), why=why)
        await lease.end()

    async def store_plan(self, duty: str, plan: StoredPlan) -> None:
        """Store the inputs of a plan for later planners and the other gateways."""
        store = Store(self.address, self.era)
        try:
            await store.put(PLAN_PREFIX + duty, msgspec.json.encode(plan), CALL_TIMEOUT_S)
        except PlatformError as exc:
            log_event(_LOG, "plan_not_kept", duty=duty, error=exc)
        finally:
            store.close()

    async def update_holds(self, duty: str, change: HoldRecordChange) -> bool:
        """Change the record of a group's holds while the duty is held; return whether it is stored.

        The record is written under the condition that neither it nor the duty has changed, so that
        holders of the duty see each other's changes, and a holder that was replaced writes none.
        """
        key, duty_key = HOLD_PREFIX + duty, DUTY_PREFIX + duty
        store = Store(self.address, self.era)
        error: object = "too many conflicts"
        try:
            for _ in range(HOLD_UPDATE_ATTEMPTS):
                fence, stored = self.fence(duty), self._holds.get(duty, _StoredHolds())
                if read_era(stored.revision) != self.era.newest:
                    # Revisions of an earlier era may have been assigned again.
                    stored = _StoredHolds()
                changed = change(stored.record)
                if changed is None or fence is None or read_era(fence) != self.era.newest:
                    return False
                value = msgspec.json.encode(changed)
                expected = {duty_key: fence, key: stored.revision}
                try:
                    revision = await store.replace(key, value, expected, CALL_TIMEOUT_S)
                except ConflictError as exc:
                    self._holds[duty] = _find_stored_holds(key, exc.changes)
                    continue
                self._holds[duty] = _StoredHolds(changed, revision)
                return self.fence(duty) == fence
        except PlatformError as exc:
            error = exc
        finally:
            store.close()
        log_event(_LOG, "holds_not_reserved", logging.WARNING, duty=duty, error=error)
        return False

    async def store_culprit(self, name: str, record: StoredCulprit) -> bool:
        """Store what crashes upstreams; return whether that is confirmed."""
        store = Store(self.address, self.era)
        try:
            lease, _ = await store.grant_lease(CULPRIT_TTL_S, CALL_TIMEOUT_S)
            value = msgspec.json.encode(record)
            await store.put(CULPRIT_PREFIX + name, value, CALL_TIMEOUT_S, lease=lease)
        except (PlatformError, LeaseGoneError) as exc:
            log_event(_LOG, "culprit_not_stored", fingerprint=name, error=exc)
            return False
        finally:
            store.close()
        log_event(_LOG, "culprit_stored", fingerprint=name, crashes=len(record.crashed_at_ms))
        return True

    async def end(self) -> None:
        """Revoke all leases at a graceful shutdown so that other processes notice at once.

        The process does not register again: a registration in progress is completed first.
        """
        self._is_ended = True
        self._wake.set()
        for duty in list(self._duties):
            await self.release_duty(duty, "planned stop")
        async with self._member_lock:
            await self._member.end()

    async def _keep_listed(self) -> None:
        if self._is_ended:
            return
        if self._is_listed:
            await self._member.renew()
            return
        # Names are unique, so an existing entry stems from a previous run of this process.
        await self._member.acquire(replace=True)
        self._is_listed = True
        log_event(_LOG, "member_listed", name=self.name)

    def _mark_unlisted(self, event: str, error: str = "") -> None:
        log_event(_LOG, event, name=self.name, error=error)
        self._member.invalidate()
        self._is_listed = False

    async def _keep_duty(self, duty: str, lease: Lease) -> None:
        """Renew a duty's lease until it is lost.

        The interval starts when a renewal is requested: a slow response must not delay the next.
        """
        pause_s = DUTY_TIMES.renew_s
        while True:
            await asyncio.sleep(pause_s)
            requested_at_s = self.clock()
            try:
                await lease.renew()
            except LeaseGoneError:
                break
            except PlatformError as exc:
                if not lease.is_valid():
                    log_event(_LOG, "duty_unconfirmed", duty=duty, error=exc)
                    break
            pause_s = max(0.0, requested_at_s + DUTY_TIMES.renew_s - self.clock())
        if self._duties.get(duty) is lease:
            del self._duties[duty]
            del self._renewing[duty]
        lease.invalidate()
        lease.store.close()
        log_event(_LOG, "duty_lost", duty=duty, fence=format_revision(lease.revision))


def _find_stored_holds(key: str, changes: tuple[Change, ...]) -> _StoredHolds:
    """Return the record of a group's holds; one that cannot be decoded counts as empty."""
    for stored in changes:
        if stored.key == key and stored.value is not None:
            try:
                record = decode_entry(stored.value, HoldRecord)
            except ValueError as exc:
                log_event(_LOG, "store_item_unusable", logging.ERROR, key=key, error=exc)
                record = HoldRecord()
            return _StoredHolds(record, stored.revision)
    return _StoredHolds()
