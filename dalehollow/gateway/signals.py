"""Read what an upstream says of itself in the head of an answer."""

from __future__ import annotations

import re
from collections.abc import Iterable
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
    unusable: tuple[bytes, ...] = ()


NO_SIGNALS = Signals()


def read_signals(head: AnswerHead, names: HeaderNames) -> Signals:
    """Return what an answer says of the upstream that gave it.

    Of several values of one header the one that asks for most holds.
    """
    rest_values = []
    if head.status == HTTPStatus.SERVICE_UNAVAILABLE:
        rest_values = _list_values(head, names.retry_after_s)
    rests_s = [parse_decimal(value) for value in rest_values]
    unusable = tuple(v for v, parsed in zip(rest_values, rests_s, strict=True) if parsed is None)
    rest_s = max(_drop_none(rests_s), default=0.0)
    is_leaving = _IS_LEAVING in _list_values(head, names.leaving)
    return Signals(min(MAX_REST_S, rest_s), is_leaving, unusable)


def parse_decimal(value: bytes) -> float | None:
    """Return a plain decimal number from 0, or None for anything else."""
    return float(value) if _DECIMAL.fullmatch(value) else None


def _list_values(head: AnswerHead, name: bytes) -> list[bytes]:
    """Return all values of a header, also of one that holds several."""
    lines = (value for key, value in head.headers if key == name)
    return [part.strip() for line in lines for part in line.split(b",")]


def _drop_none(values: Iterable[float | None]) -> list[float]:
    return [value for value in values if value is not None]
