"""OpenTelemetry metrics: the metric catalogue and the meter of the process.

An instrument is declared once at module level by `counter`, `histogram` or `gauge`; the metrics
reference page is generated from the catalogue. The operator's settings select the exporter;
without one the instruments have almost no overhead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from opentelemetry import metrics
from opentelemetry.metrics import Counter, Histogram, UpDownCounter

if TYPE_CHECKING:
    from collections.abc import Sequence

METER_NAME = "sassafrastally"

_METER = metrics.get_meter(METER_NAME)


class MetricKind(NamedTuple):
    """Catalogue entry of a metric."""

    name: str
    instrument: str
    unit: str
    meaning: str


METRICS: dict[str, MetricKind] = {}
"""Declared instruments by name."""


def counter(name: str, unit: str, meaning: str) -> Counter:
    """Declare a monotonic counter."""
    _declare(MetricKind(name, "counter", unit, meaning))
    return _METER.create_counter(name, unit=unit, description=meaning)


def gauge(name: str, unit: str, meaning: str) -> UpDownCounter:
    """Declare a gauge, a value that can go up and down."""
    _declare(MetricKind(name, "gauge", unit, meaning))
    return _METER.create_up_down_counter(name, unit=unit, description=meaning)


def histogram(
    name: str, unit: str, meaning: str, bounds: Sequence[float] | None = None
) -> Histogram:
    """Declare a histogram; without `bounds` it has the library's default buckets."""
    _declare(MetricKind(name, "histogram", unit, meaning))
    return _METER.create_histogram(
        name, unit=unit, description=meaning, explicit_bucket_boundaries_advisory=bounds
    )


def _declare(kind: MetricKind) -> None:
    if kind.name in METRICS:
        raise ValueError(f"metric {kind.name!r} is declared twice")
    METRICS[kind.name] = kind
