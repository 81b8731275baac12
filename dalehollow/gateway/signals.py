"""Parse the state that an upstream reports in the headers of its answers."""

from __future__ import annotations

import re
from dataclasses import dataclass
from http import HTTPStatus

from dalehollow.aio import ResponseHead
from dalehollow.gateway.headers import HeaderNames

MAX_BACKOFF_S = 3600.0
"""Upper bound of a backoff. An upstream that needs a longer one requests it again, and one that
sent a wrong value is not lost permanently."""
_IS_LEAVING = b"1"
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")


@dataclass(frozen=True)
class Signals:
    """Hold the state reported in one answer; `unusable` lists header values that are invalid."""

    backoff_s: float = 0.0
    is_leaving: bool = False
    # Requests per second from all gateways together, None if the answer sets no limit. An invalid
    # limit neither sets a limit nor removes one.
    limit_per_s: float | None = None
    is_limit_unusable: bool = False
    unusable: tuple[bytes, ...] = ()


def read_signals(head: ResponseHead, names: HeaderNames) -> Signals:
    """Return the state reported in an answer.

    Of several values of a header the most restrictive one is used.
    """
    backoffs = _Values(())
    if head.status == HTTPStatus.SERVICE_UNAVAILABLE:
        backoffs = _parse_values(head, names.retry_after_s)
    limits = _parse_values(head, names.limit_per_s)
    return Signals(
        backoff_s=min(MAX_BACKOFF_S, max(backoffs.usable, default=0.0)),
        is_leaving=_IS_LEAVING in head.list_values(names.leaving),
        limit_per_s=min(limits.usable, default=None),
        is_limit_unusable=bool(limits.unusable) and not limits.usable,
        unusable=backoffs.unusable + limits.unusable,
    )


def parse_decimal(value: bytes) -> float | None:
    """Return a non-negative decimal number without sign or exponent, None for anything else."""
    return float(value) if _DECIMAL.fullmatch(value) else None


@dataclass(frozen=True)
class _Values:
    usable: tuple[float, ...]
    unusable: tuple[bytes, ...] = ()


def _parse_values(head: ResponseHead, name: bytes) -> _Values:
    values = head.list_values(name)
    parsed = [(value, parse_decimal(value)) for value in values]
    return _Values(
        tuple(number for _, number in parsed if number is not None),
        tuple(value for value, number in parsed if number is None),
    )
