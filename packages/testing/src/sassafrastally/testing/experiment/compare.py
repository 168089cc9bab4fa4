"""Variants compared with the base, seed by seed."""

from __future__ import annotations

import random
import statistics
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.testing.experiment.plan import BASE

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.testing.experiment.rows import RunRows

RESAMPLES = 2000
CONFIDENCE = 0.95

LEAST_PAIRS = 3
"""Seeds below which nothing is said of a difference."""

BETTER = "better"
WORSE = "worse"
SAME = "no difference"
UNKNOWN = "too few seeds"


class Comparison(NamedTuple):
    """A variant beside the base, for one route or all."""

    variant: str
    route: str | None
    served_share: float
    """Good requests served in time, mean of the seeds."""
    difference: float
    """To the base, mean of the pairs."""
    low: float
    high: float
    """Interval of the difference, by bootstrap over the pairs."""
    verdict: str


def compare(runs: Sequence[RunRows], routes: Sequence[str]) -> list[Comparison]:
    """Return all variants beside the base, for all routes together and for each."""
    variants = list(dict.fromkeys(run.variant for run in runs))
    base = {run.seed: run for run in runs if run.variant == BASE}
    found = []
    for variant in variants:
        of_variant = {run.seed: run for run in runs if run.variant == variant}
        for route in (None, *routes):
            shares = [run.served_share(route) for run in of_variant.values()]
            pairs = [
                of_variant[seed].served_share(route) - base[seed].served_share(route)
                for seed in of_variant
            ]
            low, high = _interval(pairs)
            found.append(
                Comparison(
                    variant,
                    route,
                    statistics.fmean(shares),
                    statistics.fmean(pairs),
                    low,
                    high,
                    _verdict(len(pairs), low, high),
                )
            )
    return found


def _interval(differences: Sequence[float]) -> tuple[float, float]:
    """Return the interval in which the mean difference lies, by resampling the pairs."""
    draw = random.Random(0)
    means = sorted(
        statistics.fmean(draw.choices(differences, k=len(differences))) for _ in range(RESAMPLES)
    )
    outside = round(RESAMPLES * (1 - CONFIDENCE) / 2)
    return means[outside], means[-outside - 1]


def _verdict(pairs: int, low: float, high: float) -> str:
    if pairs < LEAST_PAIRS:
        return UNKNOWN
    if low > 0:
        return BETTER
    return WORSE if high < 0 else SAME


def table(comparisons: Sequence[Comparison]) -> str:
    """Return the comparisons as text."""
    lines = [f"{'variant':20} {'route':12} {'served':>7} {'differs':>8} {'interval':>18}  verdict"]
    for one in comparisons:
        interval = f"{one.low:+.3f} to {one.high:+.3f}"
        shown = (
            "" if one.variant == BASE else f"{one.difference:+8.3f} {interval:>18}  {one.verdict}"
        )
        lines.append(
            f"{one.variant:20} {one.route or 'all':12} {one.served_share:7.3f} {shown}".rstrip()
        )
    return "\n".join(lines)
