"""Collect counters, gauges and durations, and print them in the Prometheus format."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 95.0, 99.0)
_US_PER_MS = 1000

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Hold the counters and histograms of one process."""

    def __init__(self) -> None:
        """Create an empty set of metrics."""
        self._counts: dict[tuple[str, Labels], int] = {}
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._lock = threading.Lock()

    def count(self, name: str, /, amount: int = 1, **labels: str) -> None:
        """Increment a counter."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._counts[key] = self._counts.get(key, 0) + amount

    def record_ms(self, name: str, value_ms: float, /, **labels: str) -> None:
        """Record one duration in milliseconds."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            histogram = self._histograms.get(key)
            if histogram is None:
                histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
                self._histograms[key] = histogram
            histogram.record_value(max(_LOWEST_US, round(value_ms * _US_PER_MS)))

    def watch_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge, whose value `read` returns."""
        self._gauges[name] = read

    def counts(self) -> dict[str, int]:
        """Return the counters by name and labels."""
        with self._lock:
            return {name + _format_labels(labels): n for (name, labels), n in self._counts.items()}

    def expose(self) -> str:
        """Return all metrics in the text format."""
        with self._lock:
            return "\n".join([*self._expose_counts(), *self._expose_times()]) + "\n"

    def _expose_counts(self) -> Iterator[str]:
        for name, read in sorted(self._gauges.items()):
            yield f"dalehollow_{name} {read()}"
        for (name, labels), value in sorted(self._counts.items()):
            yield f"dalehollow_{name}_total{_format_labels(labels)} {value}"

    def _expose_times(self) -> Iterator[str]:
        for (name, labels), histogram in sorted(self._histograms.items()):
            for percentile in _PERCENTILES:
                value_ms = histogram.get_value_at_percentile(percentile) / _US_PER_MS
                quantile = (("quantile", str(percentile / 100)),)
                yield f"dalehollow_{name}_ms{_format_labels(labels + quantile)} {value_ms}"
            yield f"dalehollow_{name}_ms_count{_format_labels(labels)} {histogram.total_count}"


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{k}="{v}"' for k, v in labels) + "}"
