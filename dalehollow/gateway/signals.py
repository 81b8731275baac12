"""Read what an upstream says of itself in the head of an answer."""

from __future__ import annotations

import re
from dataclasses import dataclass
from http import HTTPStatus

from dalehollow.aio import AnswerHead
from dalehollow.gateway.headers import HeaderNames

MAX_REST_S = 3600.0
"""A longer rest counts as this: an upstream that still wants it then says so again, and one that
misspoke is not lost for good."""
_IS_LEAVING = b"1"
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")


@dataclass(frozen=True)
class Signals:
    """Hold what one answer says of its upstream; `unusable` are values that say nothing."""

    rest_s: float = 0.0
    is_leaving: bool = False
    # Requests a second from all gateways together, None where the answer names no limit; one that
    # cannot be read neither sets a limit nor ends one.
    limit_per_s: float | None = None
    is_limit_unusable: bool = False
    unusable: tuple[bytes, ...] = ()


def read_signals(head: AnswerHead, names: HeaderNames) -> Signals:
    """Return what an answer says of the upstream that gave it.

    Of several values of one header the one that asks for most holds.
    """
    rests = _Values(())
    if head.status == HTTPStatus.SERVICE_UNAVAILABLE:
        rests = _parse_values(head, names.retry_after_s)
    limits = _parse_values(head, names.limit_per_s)
    return Signals(
        rest_s=min(MAX_REST_S, max(rests.usable, default=0.0)),
        is_leaving=_IS_LEAVING in _list_values(head, names.leaving),
        limit_per_s=min(limits.usable, default=None),
        is_limit_unusable=bool(limits.unusable) and not limits.usable,
        unusable=rests.unusable + limits.unusable,
    )


def parse_decimal(value: bytes) -> float | None:
    """Return a plain decimal number from 0, or None for anything else."""
    return float(value) if _DECIMAL.fullmatch(value) else None


def _list_values(head: AnswerHead, name: bytes) -> list[bytes]:
    """Return all values of a header, also of one that holds several."""
    lines = (value for key, value in head.headers if key == name)
    return [part.strip() for line in lines for part in line.split(b",")]


@dataclass(frozen=True)
class _Values:
    usable: tuple[float, ...]
    unusable: tuple[bytes, ...] = ()


def _parse_values(head: AnswerHead, name: bytes) -> _Values:
    values = _list_values(head, name)
    parsed = [(value, parse_decimal(value)) for value in values]
    return _Values(
        tuple(number for _, number in parsed if number is not None),
        tuple(value for value, number in parsed if number is None),
    )
