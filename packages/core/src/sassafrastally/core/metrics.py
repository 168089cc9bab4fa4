"""Metrics by OpenTelemetry: the catalogue and one meter for the process.

An instrument is declared once at module level by `counter`, `histogram` or `gauge`; the metrics
page of the docs is made from the catalogue. What exports the figures is up to the operator's
settings; without any the instruments cost next to nothing.
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
    """Entry of the catalogue of metrics."""

    name: str
    instrument: str
    unit: str
    meaning: str


METRICS: dict[str, MetricKind] = {}
"""Every declared instrument by name."""


def counter(name: str, unit: str, meaning: str) -> Counter:
    """Declare a counter that only grows."""
    _declare(MetricKind(name, "counter", unit, meaning))
    return _METER.create_counter(name, unit=unit, description=meaning)


def gauge(name: str, unit: str, meaning: str) -> UpDownCounter:
    """Declare a figure that goes up and down."""
    _declare(MetricKind(name, "gauge", unit, meaning))
    return _METER.create_up_down_counter(name, unit=unit, description=meaning)


def histogram(
    name: str, unit: str, meaning: str, bounds: Sequence[float] | None = None
) -> Histogram:
    """Declare a distribution; without bounds it has the library's usual ones."""
    _declare(MetricKind(name, "histogram", unit, meaning))
    return _METER.create_histogram(
        name, unit=unit, description=meaning, explicit_bucket_boundaries_advisory=bounds
    )


def _declare(kind: MetricKind) -> None:
    if kind.name in METRICS:
        raise ValueError(f"metric {kind.name!r} is declared twice")
    METRICS[kind.name] = kind
