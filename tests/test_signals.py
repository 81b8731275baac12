"""Test the parsing of the headers in which upstreams report their state."""

from __future__ import annotations

import pytest

from dalehollow.aio import ResponseHead
from dalehollow.gateway.signals import MAX_BACKOFF_S, Signals, read_signals
from dalehollow.platform.names import HEADERS

UNUSABLE = (
    "",
    "-1",
    "nan",
    "inf",
    "1e309",
    "1e3",
    "soon",
    "0x10",
    "+5",
    "5.",
    "٣",
    "9" * 400,
    "Wed; 21 Oct 2026 07:28:00 GMT",
)


def _head(*lines: tuple[str, str], status: int = 503) -> ResponseHead:
    return ResponseHead(status, tuple((name.encode(), value.encode()) for name, value in lines))


@pytest.mark.parametrize("value", UNUSABLE)
def test_an_invalid_backoff_is_ignored(value: str) -> None:
    signals = read_signals(_head(("retry-after", value)), HEADERS)
    assert signals.backoff_s == 0.0
    assert signals.unusable == (value.encode(),)


def test_a_backoff_given_as_a_date_is_ignored() -> None:
    head = _head(("retry-after", "Wed, 21 Oct 2026 07:28:00 GMT"))
    assert read_signals(head, HEADERS).backoff_s == 0.0


@pytest.mark.parametrize(
    ("values", "backoff_s"),
    [
        (["3"], 3.0),
        (["0.25"], 0.25),
        (["0"], 0.0),
        (["1", "3", "2"], 3.0),
        (["1, 3"], 3.0),
        (["soon", "2"], 2.0),
        (["999999999999"], MAX_BACKOFF_S),
    ],
)
def test_the_longest_valid_backoff_is_used(values: list[str], backoff_s: float) -> None:
    head = _head(*(("retry-after", value) for value in values))
    assert read_signals(head, HEADERS).backoff_s == backoff_s


@pytest.mark.parametrize("status", [200, 429, 500])
def test_a_backoff_is_only_read_from_service_unavailable_answers(status: int) -> None:
    assert read_signals(_head(("retry-after", "3"), status=status), HEADERS) == Signals()


@pytest.mark.parametrize("value", UNUSABLE)
def test_an_invalid_limit_neither_sets_nor_removes_a_limit(value: str) -> None:
    signals = read_signals(_head(("server-limit", value), status=200), HEADERS)
    assert signals.limit_per_s is None
    assert signals.is_limit_unusable
    assert signals.unusable == (value.encode(),)


@pytest.mark.parametrize(
    ("values", "limit_per_s"),
    [([], None), (["4.0"], 4.0), (["0"], 0.0), (["4", "1.5"], 1.5), (["soon", "2"], 2.0)],
)
def test_the_lowest_valid_limit_is_used(values: list[str], limit_per_s: float | None) -> None:
    head = _head(*(("server-limit", value) for value in values), status=200)
    signals = read_signals(head, HEADERS)
    assert signals.limit_per_s == limit_per_s
    assert not signals.is_limit_unusable
