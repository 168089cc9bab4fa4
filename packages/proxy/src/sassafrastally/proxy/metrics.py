"""Metrics of the pass-through path, and their page in the text form that scrapers read."""

from __future__ import annotations

from functools import cache
from typing import TYPE_CHECKING

from opentelemetry import metrics
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    HistogramDataPoint,
    InMemoryMetricReader,
    NumberDataPoint,
)

from sassafrastally.core import counter, histogram

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from sassafrastally.proxy.load import Lane

BOUNDS_S = (0.05, 0.1, 0.2, 0.25, 0.3, 0.6, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 10.0, 15.0)
"""Bounds of the buckets: the goals of the usual routes are among them."""

REQUESTS = counter("proxy.requests", "1", "Requests by lane and outcome.")
ATTEMPTS_FAILED = counter(
    "proxy.attempts.failed", "1", "Attempts that brought no answer, by proof."
)
REFUSALS = counter("proxy.refusals", "1", "Answers of our own, by code.")
SUSPICIONS = counter("proxy.suspicions", "1", "Backend servers left alone after failures.")
SERVER_CALLS = counter(
    "proxy.server_calls", "1", "Requests sent to backend servers, by what they are for."
)
SERVER_CRASHES = counter(
    "proxy.server_crashes", "1", "Requests under which a backend server's process ended."
)
STORE_LOSSES = counter("proxy.store.losses", "1", "Times that the store was lost.")
FIRST_EVENT = histogram(
    "proxy.first_event", "s", "Time to the first event or header, by lane.", BOUNDS_S
)
LONGEST_PAUSE = histogram(
    "proxy.longest_pause", "s", "Longest pause of a stream, by lane.", BOUNDS_S
)
DURATION = histogram("proxy.duration", "s", "Time to the end of the answer, by lane.", BOUNDS_S)


def count_answer(lane: Lane, first_s: float, longest_pause_s: float, total_s: float) -> None:
    """Count a request that got a backend server's whole answer."""
    labels = {"lane": lane.value}
    REQUESTS.add(1, {**labels, "outcome": "answered"})
    FIRST_EVENT.record(first_s, labels)
    LONGEST_PAUSE.record(longest_pause_s, labels)
    DURATION.record(total_s, labels)


_READER = InMemoryMetricReader()


@cache
def start_metrics() -> None:
    """Let the instruments of this process keep their figures; before that they keep none."""
    metrics.set_meter_provider(MeterProvider(metric_readers=[_READER]))


def metrics_page(gauges: Mapping[str, float]) -> str:
    """Return all figures as text.

    Parameters
    ----------
    gauges
        Figures of this moment, by name.
    """
    lines = [f"sassafrastally_{name} {value:g}" for name, value in gauges.items()]
    data = _READER.get_metrics_data()
    for resource in data.resource_metrics if data else ():
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                name = "sassafrastally_" + metric.name.replace(".", "_")
                for point in metric.data.data_points:
                    lines += _point_lines(name, point)
    return "\n".join(lines) + "\n"


def _point_lines(name: str, point: object) -> Iterator[str]:
    if isinstance(point, HistogramDataPoint):
        labels = dict(point.attributes or {})
        count = 0
        bounds = [f"{bound:g}" for bound in point.explicit_bounds]
        for bound, in_bucket in zip([*bounds, "+Inf"], point.bucket_counts, strict=True):
            count += in_bucket
            yield f"{name}_bucket{_labels({**labels, 'le': bound})} {count}"
        yield f"{name}_sum{_labels(labels)} {point.sum:g}"
        yield f"{name}_count{_labels(labels)} {point.count}"
    elif isinstance(point, NumberDataPoint):
        yield f"{name}_total{_labels(dict(point.attributes or {}))} {point.value:g}"


def _labels(labels: Mapping[str, object]) -> str:
    inner = ",".join(f'{key}="{value}"' for key, value in sorted(labels.items()))
    return f"{{{inner}}}" if inner else ""
