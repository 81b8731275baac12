"""Keep this process known in the users' store, and take duties there that one process holds.

Everything stands under one lease, so it goes within seconds when the process does. The lease is
counted from before each renewal was asked for, on the steady clock, less a margin; whoever holds
a duty asks `fence` before each step that only the holder may take.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from dalehollow.errors import PlatformError
from dalehollow.platform.names import DEMAND_PREFIX, DUTY_PREFIX, MEMBER_PREFIX
from dalehollow.platform.store import ConflictError, LeaseGoneError, Store
from dalehollow.telemetry.logs import log_event

LEASE_S = 1.0
"""Another process takes a duty over within this of its holder's end."""
RENEW_S = 0.3
"""Two renewals may fail before the lease is over."""
MARGIN_S = 0.2
"""A holder stops so long before its lease ends: a renewal's longest way plus drift."""
CALL_TIMEOUT_S = 0.5

_LOG = logging.getLogger(__name__)


@dataclass
class Session:
    """Hold the lease, and the duties held under it by name with their fences."""

    address: str
    name: str
    member_value: bytes
    clock: Callable[[], float] = time.monotonic
    duties: dict[str, int] = field(default_factory=dict)
    _lease: int = 0
    _ttl_s: float = LEASE_S
    _valid_until_s: float = 0.0

    def __post_init__(self) -> None:
        """Prepare the client."""
        self._store = Store(self.address)

    def fence(self, duty: str) -> int | None:
        """Return the fence of a duty that is surely held now, or None."""
        if self.clock() >= self._valid_until_s:
            return None
        return self.duties.get(duty)

    async def run(self) -> None:
        """Keep the lease, for ever; after a lapse begin with a new one."""
        while True:
            try:
                await self._renew()
            except LeaseGoneError:
                self._forget("lease_lapsed")
                continue
            except PlatformError as exc:
                if self._lease and self.clock() >= self._valid_until_s:
                    self._forget("lease_unconfirmed", str(exc))
            except ConflictError:
                # This process's earlier life is still listed; its entry goes with its lease.
                self._forget("still_listed")
            await asyncio.sleep(RENEW_S)

    async def take_duty(self, duty: str) -> bool:
        """Try to take a duty that nobody holds; its fence is higher than any before."""
        if not self._lease or self.clock() >= self._valid_until_s:
            return False
        lease = self._lease
        store = Store(self.address)
        try:
            key = DUTY_PREFIX + duty
            fence = await store.create(key, self.name.encode(), lease, CALL_TIMEOUT_S)
        except (ConflictError, LeaseGoneError):
            return False
        except PlatformError as exc:
            log_event(_LOG, "duty_unsure", duty=duty, error=exc)
            return False
        finally:
            store.close()
        if lease != self._lease:
            return False
        self.duties[duty] = fence
        log_event(_LOG, "duty_taken", duty=duty, fence=fence)
        return True

    async def drop_duty(self, duty: str, why: str) -> None:
        """Give a duty up, so that another process can take it at once."""
        fence = self.duties.pop(duty, None)
        if fence is None:
            return
        log_event(_LOG, "duty_dropped", duty=duty, fence=fence, why=why)
        store = Store(self.address)
        try:
            await store.delete(DUTY_PREFIX + duty, fence, CALL_TIMEOUT_S)
        except (PlatformError, ConflictError, LeaseGoneError) as exc:
            log_event(_LOG, "duty_drop_unsure", duty=duty, error=exc)
        finally:
            store.close()

    async def keep_demand(self, duty: str, demand: tuple[tuple[int, ...], ...]) -> None:
        """Keep the demand that a plan was made for, for planners to come."""
        store = Store(self.address)
        try:
            await store.put(DEMAND_PREFIX + duty, msgspec.json.encode(demand), CALL_TIMEOUT_S)
        except PlatformError as exc:
            log_event(_LOG, "demand_not_kept", duty=duty, error=exc)
        finally:
            store.close()

    async def end(self) -> None:
        """End the lease at a planned stop, so that others notice at once."""
        lease, self._lease = self._lease, 0
        self._valid_until_s = 0.0
        self.duties.clear()
        if lease:
            try:
                await self._store.end_lease(lease, CALL_TIMEOUT_S)
            except (PlatformError, LeaseGoneError) as exc:
                log_event(_LOG, "lease_end_unsure", error=exc)

    async def _renew(self) -> None:
        asked_at_s = self.clock()
        if self._lease:
            await self._store.keep_lease(self._lease, CALL_TIMEOUT_S)
            self._valid_until_s = asked_at_s + self._ttl_s - MARGIN_S
            return
        lease, ttl_s = await self._store.grant_lease(LEASE_S, CALL_TIMEOUT_S)
        await self._store.create(
            MEMBER_PREFIX + self.name, self.member_value, lease, CALL_TIMEOUT_S
        )
        self._lease, self._ttl_s = lease, ttl_s
        self._valid_until_s = asked_at_s + ttl_s - MARGIN_S
        log_event(_LOG, "member_listed", lease=lease)

    def _forget(self, event: str, error: str = "") -> None:
        log_event(_LOG, event, lease=self._lease, duties=",".join(self.duties), error=error)
        self._lease, self._valid_until_s = 0, 0.0
        self.duties.clear()
