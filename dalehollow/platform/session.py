"""Keep this process known in the users' store, and take duties there that one process holds.

The entry of the process and each duty stand under leases, so they go when the process does. A
lease is counted from before each renewal was asked for, on the steady clock, less a margin;
whoever holds a duty asks `fence` before each step that only the holder may take.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from dalehollow.clock import read_clock
from dalehollow.errors import PlatformError
from dalehollow.gateway.listed import Member
from dalehollow.gateway.tasks import wait_set
from dalehollow.groups.ranks import StoredPlan
from dalehollow.platform.names import DUTY_PREFIX, MEMBER_PREFIX, PLAN_PREFIX
from dalehollow.platform.store import ConflictError, LeaseGoneError, Store, StoreEra
from dalehollow.protocol.revisions import read_era, show_revision
from dalehollow.telemetry.logs import log_event

CALL_TIMEOUT_S = 0.5

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True)
class LeaseTimes:
    """Hold how long a lease holds, how often it is renewed, and when it counts as over."""

    ttl_s: float
    renew_s: float
    margin_s: float


MEMBER_TIMES = LeaseTimes(ttl_s=12.0, renew_s=4.0, margin_s=0.3)
"""Peers notice a gateway's silence by themselves: the list only tells where reports go to."""
MEMBER_RETRY_S = 1.0
"""Pause after a failed call, until the process is listed."""
DUTY_TIMES = LeaseTimes(ttl_s=1.0, renew_s=0.3, margin_s=0.2)
"""The shortest lease the store gives: a group may stand still until its duty is taken over."""


@dataclass
class Lease:
    """Hold one lease with the one key that stands under it."""

    store: Store
    key: str
    value: bytes
    times: LeaseTimes
    clock: Callable[[], float]
    revision: int = 0
    _id: int = 0
    _valid_until_s: float = 0.0

    def is_valid(self) -> bool:
        """Return whether the lease surely holds now."""
        return bool(self._id) and self.clock() < self._valid_until_s

    async def begin(self, *, replace: bool = False) -> None:
        """Take a lease and create the key; raise ConflictError if the key is there.

        With `replace` a key that is there is taken over.
        """
        asked_at_s = self.clock()
        lease, ttl_s = await self.store.grant_lease(self.times.ttl_s, CALL_TIMEOUT_S)
        if replace:
            self.revision = await self.store.put(self.key, self.value, CALL_TIMEOUT_S, lease=lease)
        else:
            self.revision = await self.store.create(self.key, self.value, lease, CALL_TIMEOUT_S)
        self._id = lease
        self._valid_until_s = asked_at_s + ttl_s - self.times.margin_s

    async def renew(self) -> None:
        """Renew the lease, or raise LeaseGoneError.

        A store that was restored may have lost the lease, and given its revision out again as the
        fence of another holder: the lease is over, whatever the store says of it.
        """
        asked_at_s = self.clock()
        await self.store.keep_lease(self._id, CALL_TIMEOUT_S)
        if read_era(self.revision) != self.store.era.newest:
            raise LeaseGoneError(f"{self.key}: the store was restored")
        self._valid_until_s = asked_at_s + self.times.ttl_s - self.times.margin_s

    async def end(self) -> None:
        """End the lease, and the key with it."""
        lease, self._id, self._valid_until_s = self._id, 0, 0.0
        if not lease:
            return
        try:
            await self.store.end_lease(lease, CALL_TIMEOUT_S)
        except (PlatformError, LeaseGoneError) as exc:
            # It runs out by itself within its time.
            log_event(_LOG, "lease_end_unsure", key=self.key, error=exc)
        self.store.close()

    def forget(self) -> None:
        """Take the lease as over."""
        self._id, self._valid_until_s = 0, 0.0


@dataclass
class Session:
    """Hold the process's own lease, and those of the duties it holds by name."""

    address: str
    name: str
    member: Member
    clock: Callable[[], float] = read_clock
    era: StoreEra = field(default_factory=StoreEra)
    _duties: dict[str, Lease] = field(default_factory=dict)
    _renewing: dict[str, asyncio.Task[None]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Prepare the process's own lease."""
        key = MEMBER_PREFIX + self.name
        store, value = Store(self.address, self.era), msgspec.json.encode(self.member)
        self._member = Lease(store, key, value, MEMBER_TIMES, self.clock)
        self._is_listed = False
        self._wake = asyncio.Event()

    def fence(self, duty: str) -> int | None:
        """Return the fence of a duty that is surely held now, or None.

        It is higher than that of each earlier holder, also of those before a restore of the store:
        ranks take no version of a map below one that they had, and versions are made of fences.
        """
        lease = self._duties.get(duty)
        return lease.revision if lease is not None and lease.is_valid() else None

    async def run(self) -> None:
        """Keep the process listed, for ever; after a lapse begin with a new lease."""
        while True:
            pause_s = MEMBER_TIMES.renew_s
            try:
                await self._keep_listed()
            except LeaseGoneError:
                self._unlist("member_lapsed")
                continue
            except PlatformError as exc:
                pause_s = MEMBER_RETRY_S
                if self._is_listed and not self._member.is_valid():
                    self._unlist("member_unconfirmed", str(exc))
            await self._pause(pause_s)

    def note_unlisted(self) -> None:
        """List the process anew: its entry is gone, with the lease of an earlier life perhaps."""
        if self._is_listed:
            self._unlist("member_removed")
            self._wake.set()

    async def _pause(self, pause_s: float) -> None:
        await wait_set(self._wake, pause_s)
        self._wake.clear()

    async def take_duty(self, duty: str) -> bool:
        """Try to take a duty that nobody holds; its fence is higher than any before."""
        key = DUTY_PREFIX + duty
        store = Store(self.address, self.era)
        lease = Lease(store, key, self.name.encode(), DUTY_TIMES, self.clock)
        try:
            await lease.begin()
        except (ConflictError, LeaseGoneError):
            store.close()
            return False
        except PlatformError as exc:
            # If it was taken all the same, its lease runs out by itself.
            log_event(_LOG, "duty_unsure", duty=duty, error=exc)
            store.close()
            return False
        self._duties[duty] = lease
        loop = asyncio.get_running_loop()
        self._renewing[duty] = loop.create_task(self._keep_duty(duty, lease))
        log_event(_LOG, "duty_taken", duty=duty, fence=show_revision(lease.revision))
        return True

    async def drop_duty(self, duty: str, why: str) -> None:
        """Give a duty up, so that another process can take it at once."""
        lease = self._duties.pop(duty, None)
        if lease is None:
            return
        self._renewing.pop(duty).cancel()
        log_event(_LOG, "duty_dropped", duty=duty, fence=show_revision(lease.revision), why=why)
        await lease.end()

    async def keep_plan(self, duty: str, plan: StoredPlan) -> None:
        """Keep what a plan was made for, for planners to come and for the other gateways."""
        store = Store(self.address, self.era)
        try:
            await store.put(PLAN_PREFIX + duty, msgspec.json.encode(plan), CALL_TIMEOUT_S)
        except PlatformError as exc:
            log_event(_LOG, "plan_not_kept", duty=duty, error=exc)
        finally:
            store.close()

    async def end(self) -> None:
        """End all leases at a planned stop, so that others notice at once."""
        for duty in list(self._duties):
            await self.drop_duty(duty, "planned stop")
        await self._member.end()

    async def _keep_listed(self) -> None:
        if self._is_listed:
            await self._member.renew()
            return
        # An entry that is there is of this process's earlier life: its name is its own.
        await self._member.begin(replace=True)
        self._is_listed = True
        log_event(_LOG, "member_listed", name=self.name)

    def _unlist(self, event: str, error: str = "") -> None:
        log_event(_LOG, event, name=self.name, error=error)
        self._member.forget()
        self._is_listed = False

    async def _keep_duty(self, duty: str, lease: Lease) -> None:
        """Renew a duty's lease until it is over.

        The pause counts from when a renewal was asked for: a slow answer must not delay the next.
        """
        pause_s = DUTY_TIMES.renew_s
        while True:
            await asyncio.sleep(pause_s)
            asked_at_s = self.clock()
            try:
                await lease.renew()
            except LeaseGoneError:
                break
            except PlatformError as exc:
                if not lease.is_valid():
                    log_event(_LOG, "duty_unconfirmed", duty=duty, error=exc)
                    break
            pause_s = max(0.0, asked_at_s + DUTY_TIMES.renew_s - self.clock())
        if self._duties.get(duty) is lease:
            del self._duties[duty]
            del self._renewing[duty]
        lease.forget()
        lease.store.close()
        log_event(_LOG, "duty_lost", duty=duty, fence=show_revision(lease.revision))
