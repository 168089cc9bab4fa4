"""The bench's table and JSON."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.testing.bench.measures import RunFigures

_HEAD = (
    f"{'policy':<24}{'load':>5} {'fault':<11}"
    + "".join(f"{name:>18}" for name in ("1k-4k", "4k-16k", "16k-100k", "100k-400k", "400k-1M"))
    + f"{'slowdown':>10}{'ratio':>7}{'stretch':>9}{'goodput':>9}{'good':>7}{'late':>6}"
    + f"{'refused':>8}{'wasted':>9}{'Jain':>6}{'pred':>11}"
)


def render(runs: Sequence[RunFigures]) -> str:
    """Return the table of all runs, one block for each deployment."""
    lines: list[str] = []
    for deployment in dict.fromkeys(run.deployment for run in runs):
        mine = [run for run in runs if run.deployment == deployment]
        lines += [
            f"{deployment}: first token p50/p95/p99 in s by prompt length; slowdown of short and "
            "stretch of long at p95; goodput in ktokens/s",
            _HEAD,
            *(_line(run) for run in sorted(mine, key=lambda run: (run.fault, run.load))),
            "",
        ]
    return "\n".join(lines)


def _line(run: RunFigures) -> str:
    classes = "".join(
        f"{'/'.join(_short(value) for value in (kind.p50_s, kind.p95_s, kind.p99_s)):>18}"
        for kind in run.classes
    )
    refused = sum(count for _, count in run.refusals)
    return (
        f"{run.policy:<24}{run.load * 100:>4.0f}% {run.fault or '-':<11}{classes}"
        f"{run.short_slowdown_p95:>10.2f}{run.short_p95_ratio:>7.2f}{run.long_stretch_p95:>9.2f}"
        f"{run.goodput_tokens_per_s / 1000:>9.1f}{run.good_share * 100:>6.1f}%{run.late:>6}"
        f"{refused:>8}{run.wasted_tokens / 1000:>8.0f}k{run.fairness:>6.3f}"
        f"{run.prediction_p50:>6.2f}{run.prediction_p95:>5.1f}"
    )


def _short(value: float) -> str:
    if math.isnan(value):
        return "-"
    if value < 1:
        return f"{value:.2f}"
    return f"{value:.1f}" if value < 100 else f"{value:.0f}"


def to_json(runs: Sequence[RunFigures]) -> str:
    """Return all figures as JSON; a figure without samples is null."""
    return json.dumps([_plain(run) for run in runs], indent=2)


def _plain(value: Any) -> Any:
    if hasattr(value, "_asdict"):
        return {key: _plain(item) for key, item in value._asdict().items()}
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    return None if isinstance(value, float) and math.isnan(value) else value
