"""Page with the metrics of the process in the Prometheus text format.

Importing this module imports the SDK of the metrics, which takes a tenth of the processor time of a
start. It is imported after the process serves.
"""

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

from sassafrastally.core.metrics import release_values

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

_READER = InMemoryMetricReader()


@cache
def start_metrics() -> None:
    """Install the meter provider and pass on the values that were held."""
    metrics.set_meter_provider(MeterProvider(metric_readers=[_READER]))
    release_values()


def metrics_page(gauges: Mapping[str, float]) -> str:
    """Return all metrics as text.

    Parameters
    ----------
    gauges
        Current gauge values, by name.
    """
    lines = [f"sassafrastally_{name} {value:g}" for name, value in gauges.items()]
    start_metrics()
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
