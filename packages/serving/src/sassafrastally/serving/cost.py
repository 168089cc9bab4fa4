"""Online cost model of prefill and decode on one engine.

The step times of an engine are not known in advance and change with its version, its adapters and
other workloads on the host. The model fits the duration as a polynomial of the length to recent
samples weighted by age. A conservative prior covers lengths without samples.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

BAND_HALF_LIFE_SAMPLES = 8.0
"""Half-life of a sample's weight, in newer samples of the same size band."""

GLOBAL_HALF_LIFE_SAMPLES = 256.0
"""Half-life of a sample's weight, in newer samples of all sizes; ages bands without new samples."""

MAX_BAND_SAMPLES = 24
"""Maximum number of samples per size band; the weight of older ones is below an eighth."""

BAND_FACTOR = 4.0
"""Ratio of the upper to the lower bound of a size band. Each band ages by its own samples: if the
frequent short prompts aged the long ones, the model would lose the cost of a long prompt before the
next one arrives."""

CLAMP_RATIO = 2.5
"""Maximum ratio of a sample to the expected cost; the minimum is its inverse."""

MIN_SAMPLES_TO_CLAMP = 3
"""Up to this number of samples nothing is clamped, as the expectation still follows mostly from the
prior."""

SPEED_CHANGE_SAMPLES = 4
"""Number of consecutive samples beyond the clamp on the same side that indicate a speed change of
the engine. Older samples are then scaled to the new speed."""

SLOW_RUN_SAMPLES = 12
"""Number of consecutive slow samples of a busy engine that indicate a slower engine. Samples of a
busy engine above the expected cost are normally ignored, because concurrent streams make a prefill
appear slower; after this many without one at the expected cost, the fastest of them are used."""

SLOW_RUN_ACCEPTED_SAMPLES = 4
"""Number of samples used from a run of slow samples, fastest first."""

PRIOR_PREFILL_FIXED_S = 0.03
PRIOR_PREFILL_TOKEN_S = 1.0 / 8_000
PRIOR_PREFILL_SQUARE_S = 1e-10
"""Conservative prior: 8,000 tokens/s, and about half of that at a million tokens."""

PRIOR_TOKEN_S = 0.03
PRIOR_TOKEN_STREAM_S = 0.001
"""Conservative prior: duration of a decode step, and the increase per stream in the batch."""

PRIOR_LENGTHS = (1_000, 30_000, 300_000)
"""Prompt lengths of the prior points, which preserve the shape of the prior for unseen lengths."""

PRIOR_WEIGHT = 0.05
"""Weight of a prior point relative to a new sample."""

PRIOR_BATCHES = (1, 32)


class _Sample(NamedTuple):
    size: float
    """Uncached tokens of a prefill, or number of streams in a decode batch."""
    cost_s: float
    number: int = 0
    """Sequence number over samples of all sizes."""


class _WeightedSample(NamedTuple):
    size: float
    cost_s: float
    weight: float


class _Polynomial(NamedTuple):
    """Duration in seconds: ``fixed_s + linear_s * size + square_s * size ** 2``."""

    fixed_s: float
    linear_s: float
    square_s: float

    def at(self, size: float) -> float:
        return self.fixed_s + self.linear_s * size + self.square_s * size * size


_PREFILL_PRIOR = _Polynomial(PRIOR_PREFILL_FIXED_S, PRIOR_PREFILL_TOKEN_S, PRIOR_PREFILL_SQUARE_S)
_DECODE_PRIOR = _Polynomial(PRIOR_TOKEN_S, PRIOR_TOKEN_STREAM_S, 0.0)


class _Fit:
    """Polynomial fitted to clamped, age-weighted samples by relative error."""

    def __init__(self, prior: _Polynomial, prior_sizes: tuple[int, ...]) -> None:
        self._prior = prior
        self._prior_sizes = prior_sizes
        self._bands: dict[int, deque[_Sample]] = {}
        self._outliers: list[_Sample] = []
        self._outlier_side = 0
        self._count = 0
        self._polynomial: _Polynomial | None = prior

    def add(self, size: float, cost_s: float) -> None:
        ratio = cost_s / self.at(size)
        self._count += 1
        sample = _Sample(size, cost_s, self._count)
        side = self._side(ratio)
        if side != self._outlier_side:
            self._keep_clamped_outliers()
        if side:
            # Withheld until it is clear whether this is an outlier or a speed change.
            self._outlier_side = side
            self._outliers.append(sample)
            if len(self._outliers) == SPEED_CHANGE_SAMPLES:
                self._rescale()
        else:
            self._keep(sample)

    def at(self, size: float) -> float:
        if self._polynomial is None:
            self._polynomial = self._solve()
        return self._polynomial.at(size)

    def _band(self, size: float) -> deque[_Sample]:
        key = int(math.log(max(1.0, size), BAND_FACTOR))
        return self._bands.setdefault(key, deque(maxlen=MAX_BAND_SAMPLES))

    def _side(self, ratio: float) -> int:
        if self._count <= MIN_SAMPLES_TO_CLAMP:
            return 0
        return 1 if ratio > CLAMP_RATIO else -1 if ratio < 1 / CLAMP_RATIO else 0

    def _keep(self, sample: _Sample) -> None:
        self._band(sample.size).append(sample)
        self._polynomial = None

    def _keep_clamped_outliers(self) -> None:
        """Add the clamped outliers of a run too short to indicate a speed change."""
        factor = CLAMP_RATIO**self._outlier_side
        clamped = [
            sample._replace(cost_s=self.at(sample.size) * factor) for sample in self._outliers
        ]
        self._outliers.clear()
        self._outlier_side = 0
        for sample in clamped:
            self._keep(sample)

    def _rescale(self) -> None:
        """Scale all older samples to the new speed, keeping the shape of the cost curve."""
        ratios = [sample.cost_s / self.at(sample.size) for sample in self._outliers]
        factor = sorted(ratios)[len(ratios) // 2]
        for band in self._bands.values():
            scaled = [sample._replace(cost_s=sample.cost_s * factor) for sample in band]
            band.clear()
            band.extend(scaled)
        for sample in self._outliers:
            self._keep(sample)
        self._outliers.clear()
        self._outlier_side = 0

    def _weighted(self) -> list[_WeightedSample]:
        weighted = []
        for band in self._bands.values():
            last = len(band) - 1
            for index, sample in enumerate(band):
                age = (last - index) / BAND_HALF_LIFE_SAMPLES
                age += (self._count - sample.number) / GLOBAL_HALF_LIFE_SAMPLES
                weighted.append(_WeightedSample(sample.size, sample.cost_s, 0.5**age))
        return weighted

    def _solve(self) -> _Polynomial:
        samples = self._weighted()
        if not samples:
            return self._prior
        total = sum(sample.weight for sample in samples)
        scale = sum(s.weight * s.cost_s / self._prior.at(s.size) for s in samples) / total
        # The prior points are scaled to the observed speed, so that the estimate for an unseen
        # length deviates from the prior by the same factor as the observed lengths.
        samples += [
            _WeightedSample(size, self._prior.at(size) * scale, PRIOR_WEIGHT)
            for size in self._prior_sizes
        ]
        degree = 3 if self._prior.square_s else 2
        return _least_squares(samples, degree)


def _least_squares(samples: list[_WeightedSample], degree: int) -> _Polynomial:
    """Return the least-squares fit by relative error without negative coefficients.

    Notes
    -----
    The most negative coefficient is removed and the rest is fitted again until none is negative.
    With a cost that decreases with length, an unseen length could appear to cost nothing.
    """
    active = list(range(degree))
    while True:
        solution = _solve_normal(samples, active)
        worst = min(active, key=lambda power: solution[power])
        if solution[worst] >= 0 or len(active) == 1:
            return _Polynomial(*(max(0.0, solution.get(power, 0.0)) for power in range(3)))
        active.remove(worst)


def _solve_normal(samples: list[_WeightedSample], active: list[int]) -> dict[int, float]:
    scale = max(sample.size for sample in samples) or 1.0
    size = len(active)
    rows = [[0.0] * (size + 1) for _ in range(size)]
    for sample in samples:
        inverse = 1.0 / max(sample.cost_s, 1e-9)
        terms = [inverse * (sample.size / scale) ** power for power in active]
        for row, term in zip(rows, terms, strict=True):
            weighted = sample.weight * term
            for column, other in enumerate(terms):
                row[column] += weighted * other
            row[size] += weighted
    solution = _eliminate(rows)
    return {power: value / scale**power for power, value in zip(active, solution, strict=True)}


def _eliminate(rows: list[list[float]]) -> list[float]:
    """Solve a small symmetric positive definite system by Gaussian elimination with pivoting."""
    size = len(rows)
    for column in range(size):
        pivot = max(range(column, size), key=lambda index: abs(rows[index][column]))
        rows[column], rows[pivot] = rows[pivot], rows[column]
        head = rows[column][column] or 1e-12
        rows[column] = [value / head for value in rows[column]]
        for index in range(size):
            factor = rows[index][column]
            if index != column and factor:
                rows[index] = [
                    value - factor * base
                    for value, base in zip(rows[index], rows[column], strict=True)
                ]
    return [row[size] for row in rows]


class OnlineCostModel:
    """Online cost model of one engine; implements `CostModel`."""

    def __init__(self) -> None:
        self._prefill = _Fit(_PREFILL_PRIOR, PRIOR_LENGTHS)
        self._decode = _Fit(_DECODE_PRIOR, PRIOR_BATCHES)
        self._slow_samples: list[_Sample] = []

    def observe_first_token(self, uncached_tokens: int, elapsed_s: float, running: int) -> None:
        """Add a prefill sample, measured from the start on the engine to the first token."""
        if uncached_tokens <= 0 or elapsed_s <= 0:
            return
        sample = _Sample(uncached_tokens, elapsed_s)
        if running <= 1 or elapsed_s <= self.prefill_s(uncached_tokens):
            self._slow_samples.clear()
            self._prefill.add(sample.size, sample.cost_s)
            return
        self._slow_samples.append(sample)
        if len(self._slow_samples) == SLOW_RUN_SAMPLES:
            self._slow_samples.sort(
                key=lambda sample: sample.cost_s / self._prefill.at(sample.size)
            )
            for sample in self._slow_samples[:SLOW_RUN_ACCEPTED_SAMPLES]:
                self._prefill.add(sample.size, sample.cost_s)
            self._slow_samples.clear()

    def observe_decode(self, tokens: int, elapsed_s: float, running: int) -> None:
        """Add a decode sample of some tokens after the first one."""
        if tokens > 0 and elapsed_s > 0:
            self._decode.add(max(1, running), elapsed_s / tokens)

    def prefill_s(self, uncached_tokens: int) -> float:
        """Return the duration of a prefill on an otherwise idle engine."""
        return self._prefill.at(max(1, uncached_tokens))

    def token_s(self, running: int) -> float:
        """Return the time between tokens with the given number of streams in the batch."""
        return self._decode.at(max(1, running))
