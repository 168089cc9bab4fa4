"""Metrics of this process in the Prometheus text format."""

from __future__ import annotations

from functools import cache

from opentelemetry import metrics
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest


@cache
def start_metrics() -> None:
    """Start recording metrics; before this call nothing is recorded."""
    metrics.set_meter_provider(MeterProvider(metric_readers=[PrometheusMetricReader()]))


def metrics_text() -> str:
    """Return all metrics in the Prometheus text format; none before `start_metrics`."""
    return generate_latest(REGISTRY).decode()
