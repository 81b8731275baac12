"""Hold which gateways are there: those that the store lists and those that are heard.

A gateway that the store turns away loses its entry with its lease, though it runs and others reach
it. Whoever is heard is there, listed or not, so that what gateways tell each other does not end
with what the store knows of them.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from dalehollow.gateway.listed import Member
from dalehollow.telemetry.logs import log_event

HEARD_LIFE_S = 5.0
"""A gateway that is not listed and was not heard for so long is gone: longer than reports of
another hall are ever apart, and than a VM that is moved stands still."""

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True)
class _Heard:
    member: Member
    at_s: float


class Members:
    """Hold the gateways that are there, by name."""

    def __init__(
        self, clock: Callable[[], float], on_change: Callable[[str, Member | None], None]
    ) -> None:
        """Prepare; `on_change` takes each gateway that comes, moves, or is gone (None)."""
        self._clock = clock
        self._on_change = on_change
        self._listed: dict[str, Member] = {}
        self._heard: dict[str, _Heard] = {}
        self._there: dict[str, Member] = {}

    @property
    def there(self) -> Mapping[str, Member]:
        """Return the gateways that are there now."""
        return self._there

    def note_listed(self, name: str, member: Member | None) -> None:
        """Take in that the store lists a gateway, or does no more."""
        if member is not None:
            self._listed[name] = member
        else:
            self._listed.pop(name, None)
            if name in self._heard:
                log_event(_LOG, "member_unlisted", name=name, heard_age_s=self._heard_age_s(name))
        self._update(name)

    def note_heard(self, name: str, member: Member) -> None:
        """Take in that a gateway was heard, from the address that it listens at."""
        if name not in self._there:
            log_event(_LOG, "member_heard", name=name, address=member.address)
        self._heard[name] = _Heard(member, self._clock())
        self._update(name)

    def forget_silent(self) -> None:
        """Forget who was not heard for long."""
        for name in [n for n in self._heard if self._heard_age_s(n) > HEARD_LIFE_S]:
            del self._heard[name]
            self._update(name)

    def _heard_age_s(self, name: str) -> float:
        return round(self._clock() - self._heard[name].at_s, 3)

    def _update(self, name: str) -> None:
        """Tell of a change; a gateway's own entry says better than a datagram where it is."""
        heard = self._heard.get(name)
        member = self._listed.get(name) or (heard.member if heard is not None else None)
        if member == self._there.get(name):
            return
        if member is not None:
            self._there[name] = member
        else:
            del self._there[name]
        self._on_change(name, member)
