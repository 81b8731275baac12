"""Membership of gateways: those that the store lists and those that are heard.

A gateway that the store refuses loses its entry when its lease expires, although it still runs and
peers reach it. A gateway that is heard is a member, listed or not, so that the exchange of reports
does not depend on the store.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from dalehollow.gateway.listed import Member
from dalehollow.telemetry.logs import log_event

HEARD_LIFE_S = 5.0
"""A gateway that is not listed and was not heard for this time is gone. Longer than the interval
between reports of another hall, and than a VM pauses while it is moved."""

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True)
class _Heard:
    member: Member
    at_s: float


class Members:
    """Track the member gateways by name."""

    def __init__(
        self, clock: Callable[[], float], on_change: Callable[[str, Member | None], None]
    ) -> None:
        """Start empty; `on_change` is called with each gateway added, moved or gone (None)."""
        self._clock = clock
        self._on_change = on_change
        self._listed: dict[str, Member] = {}
        self._heard: dict[str, _Heard] = {}
        self._current: dict[str, Member] = {}

    @property
    def current(self) -> Mapping[str, Member]:
        """Return the current members."""
        return self._current

    def record_listed(self, name: str, member: Member | None) -> None:
        """Record that the store lists a gateway, or no longer does (None)."""
        if member is not None:
            self._listed[name] = member
        else:
            self._listed.pop(name, None)
            if name in self._heard:
                log_event(_LOG, "member_unlisted", name=name, heard_age_s=self._heard_age_s(name))
        self._update(name)

    def record_heard(self, name: str, member: Member) -> None:
        """Record that a gateway was heard, with the address that it listens at."""
        if name not in self._current:
            log_event(_LOG, "member_heard", name=name, address=member.address)
        self._heard[name] = _Heard(member, self._clock())
        self._update(name)

    def forget_silent(self) -> None:
        """Drop gateways not heard for `HEARD_LIFE_S`."""
        for name in [n for n in self._heard if self._heard_age_s(n) > HEARD_LIFE_S]:
            del self._heard[name]
            self._update(name)

    def _heard_age_s(self, name: str) -> float:
        return round(self._clock() - self._heard[name].at_s, 3)

    def _update(self, name: str) -> None:
        """Apply and report a change; a listed address takes precedence over a heard one."""
        heard = self._heard.get(name)
        member = self._listed.get(name) or (heard.member if heard is not None else None)
        if member == self._current.get(name):
            return
        if member is not None:
            self._current[name] = member
        else:
            del self._current[name]
        self._on_change(name, member)
