"""The figures of this process's instruments, as text that common collectors read."""

from __future__ import annotations

from functools import cache

from opentelemetry import metrics
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest


@cache
def start_metrics() -> None:
    """Let the instruments of this process keep their figures; before that they keep none."""
    metrics.set_meter_provider(MeterProvider(metric_readers=[PrometheusMetricReader()]))


def metrics_text() -> str:
    """Return all figures in the Prometheus text form; none before `start_metrics`."""
    return generate_latest(REGISTRY).decode()
