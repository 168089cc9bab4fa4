"""OpenTelemetry metrics: the metric catalogue and the instruments of the process.

An instrument is declared once at module level by `counter`, `histogram` or `gauge`; the metrics
reference page is generated from the catalogue. The operator's settings select the exporter;
without one the instruments have almost no overhead.

OpenTelemetry is imported when the first value is recorded. A process that must serve before its
exporter is loaded calls `hold_values` first; values are then kept until `release_values`.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    Labels = Mapping[str, str | bool | int | float]

METER_NAME = "sassafrastally"


class MetricKind(NamedTuple):
    """Catalogue entry of a metric."""

    name: str
    instrument: str
    unit: str
    meaning: str


METRICS: dict[str, MetricKind] = {}
"""Declared instruments by name."""


class _HeldValues:
    """Values recorded before the exporter is loaded, in the order in which they were recorded."""

    def __init__(self) -> None:
        self.are_held = False
        self.were_released = False
        self._recorded: list[Callable[[], None]] = []

    def keep(self, record: Callable[[], None]) -> None:
        self._recorded.append(record)

    def release(self) -> None:
        self.are_held = False
        self.were_released = True
        recorded, self._recorded = self._recorded, []
        for record in recorded:
            record()


_HELD = _HeldValues()


def hold_values() -> None:
    """Keep recorded values until `release_values`, which a process calls within seconds.

    Has no effect after the values were released once, since the exporter is loaded then.
    """
    _HELD.are_held = not _HELD.were_released


def release_values() -> None:
    """Pass the kept values on to the exporter."""
    _HELD.release()


class _Instrument:
    """An instrument that is created in OpenTelemetry when its first value is passed on."""

    def __init__(self, kind: MetricKind, bounds: Sequence[float] | None = None) -> None:
        self._kind = kind
        self._bounds = bounds
        self._pass_on: Callable[[float, Labels | None], None] | None = None

    def _write(self, value: float, labels: Labels | None) -> None:
        if _HELD.are_held:
            _HELD.keep(partial(self._write, value, labels))
            return
        if self._pass_on is None:
            self._pass_on = self._connect()
        self._pass_on(value, labels)

    def _connect(self) -> Callable[[float, Labels | None], None]:
        from opentelemetry import metrics

        meter = metrics.get_meter(METER_NAME)
        kind = self._kind
        texts: dict[str, Any] = {"unit": kind.unit, "description": kind.meaning}
        if kind.instrument == "counter":
            return meter.create_counter(kind.name, **texts).add
        if kind.instrument == "gauge":
            return meter.create_up_down_counter(kind.name, **texts).add
        return meter.create_histogram(
            kind.name, explicit_bucket_boundaries_advisory=self._bounds, **texts
        ).record


class Counter(_Instrument):
    """A sum that only grows."""

    def add(self, amount: float, labels: Labels | None = None) -> None:
        """Add an amount that isn't negative."""
        self._write(amount, labels)


class Gauge(_Instrument):
    """A sum that can also shrink."""

    def add(self, amount: float, labels: Labels | None = None) -> None:
        """Add an amount, which may be negative."""
        self._write(amount, labels)


class Histogram(_Instrument):
    """Counts of values by range."""

    def record(self, amount: float, labels: Labels | None = None) -> None:
        """Record a value."""
        self._write(amount, labels)


def counter(name: str, unit: str, meaning: str) -> Counter:
    """Declare a monotonic counter."""
    return Counter(_declare(MetricKind(name, "counter", unit, meaning)))


def gauge(name: str, unit: str, meaning: str) -> Gauge:
    """Declare a gauge, a value that can go up and down."""
    return Gauge(_declare(MetricKind(name, "gauge", unit, meaning)))


def histogram(
    name: str, unit: str, meaning: str, bounds: Sequence[float] | None = None
) -> Histogram:
    """Declare a histogram; without `bounds` it has the library's default buckets."""
    return Histogram(_declare(MetricKind(name, "histogram", unit, meaning)), bounds)


def _declare(kind: MetricKind) -> MetricKind:
    if kind.name in METRICS:
        raise ValueError(f"metric {kind.name!r} is declared twice")
    METRICS[kind.name] = kind
    return kind
