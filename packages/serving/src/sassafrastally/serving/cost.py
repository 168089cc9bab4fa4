"""Costs of prefill and decode on one engine, learned online from what was seen.

Step times of an engine aren't known beforehand and change with its version, its adapters and its
neighbours. The model fits seconds as a polynomial of length over recent samples, weighted by age,
and rests on a careful prior where nothing was seen.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

BAND_HALF_LIFE_SAMPLES = 8.0
"""Among samples of like size, one this many samples old counts half."""

GLOBAL_HALF_LIFE_SAMPLES = 256.0
"""Half-life over samples of all sizes, for sizes that are no longer seen."""

MAX_BAND_SAMPLES = 24
"""Samples kept of like size; older ones weigh under an eighth."""

BAND_FACTOR = 4.0
"""Sizes within this factor are alike. Each band ages by its own samples: if short prompts, which
are many, aged the long ones, the model would forget what a long one costs before the next came."""

CLAMP_RATIO = 2.5
"""A sample counts as at most this many times the expected cost, and at least its inverse."""

MIN_SAMPLES_TO_CLAMP = 3
"""Below this the prior is still the larger part of the expectation and clamps nothing."""

SPEED_CHANGE_SAMPLES = 4
"""So many samples in a row past the clamp on the same side mean that the engine has changed:
older samples are scaled to the new speed, so a large change is followed after this many samples."""

SLOW_RUN_SAMPLES = 12
"""Samples of a busy engine over the expectation are left out, because other streams can only make
a prefill look slower; after so many in a row without one at the expectation the engine itself is
slower, and the best of them are taken in."""

SLOW_RUN_ACCEPTED_SAMPLES = 4
"""How many of them are taken in."""

PRIOR_PREFILL_FIXED_S = 0.03
PRIOR_PREFILL_TOKEN_S = 1.0 / 8_000
PRIOR_PREFILL_SQUARE_S = 1e-10
"""Careful prior: 8,000 tokens a second, at a million tokens about half of that."""

PRIOR_TOKEN_S = 0.03
PRIOR_TOKEN_STREAM_S = 0.001
"""Careful prior of a decode step and of what each further stream adds."""

PRIOR_LENGTHS = (1_000, 30_000, 300_000)
"""Where the prior stands in for samples, so that lengths never seen keep its shape."""

PRIOR_WEIGHT = 0.05
"""Weight of each prior point against one fresh sample."""

PRIOR_BATCHES = (1, 32)


class _Sample(NamedTuple):
    size: float
    """Uncached tokens of a prefill, or streams in the batch of a decode."""
    cost_s: float
    number: int = 0
    """Place among the samples of all sizes."""


class _WeightedSample(NamedTuple):
    size: float
    cost_s: float
    weight: float


class _Polynomial(NamedTuple):
    """Seconds as ``fixed_s + linear_s * size + square_s * size ** 2``."""

    fixed_s: float
    linear_s: float
    square_s: float

    def at(self, size: float) -> float:
        return self.fixed_s + self.linear_s * size + self.square_s * size * size


_PREFILL_PRIOR = _Polynomial(PRIOR_PREFILL_FIXED_S, PRIOR_PREFILL_TOKEN_S, PRIOR_PREFILL_SQUARE_S)
_DECODE_PRIOR = _Polynomial(PRIOR_TOKEN_S, PRIOR_TOKEN_STREAM_S, 0.0)


class _Fit:
    """A polynomial fitted to aged, clamped samples, each counted by its relative error."""

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
            # Held back while it isn't clear whether it is an outlier or the engine has changed.
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
        """Take in a run of outliers that came to nothing, as far as the clamp allows."""
        factor = CLAMP_RATIO**self._outlier_side
        clamped = [
            sample._replace(cost_s=self.at(sample.size) * factor) for sample in self._outliers
        ]
        self._outliers.clear()
        self._outlier_side = 0
        for sample in clamped:
            self._keep(sample)

    def _rescale(self) -> None:
        """Scale all older samples to the new speed; their shape over lengths stays."""
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
        # The prior's points are scaled to the speed seen, so that a length never seen is expected
        # as much faster or slower than the prior as the lengths that were.
        samples += [
            _WeightedSample(size, self._prior.at(size) * scale, PRIOR_WEIGHT)
            for size in self._prior_sizes
        ]
        degree = 3 if self._prior.square_s else 2
        return _least_squares(samples, degree)


def _least_squares(samples: list[_WeightedSample], degree: int) -> _Polynomial:
    """Return the polynomial of least squared relative error with no negative coefficient.

    Notes
    -----
    Coefficients that come out negative are left out one at a time and the rest is fitted again;
    a cost that falls with length would let an unseen length look free.
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
    """Solve a small symmetric positive system by Gaussian elimination with pivots."""
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
    """The cost model of one engine; implements `CostModel`."""

    def __init__(self) -> None:
        self._prefill = _Fit(_PREFILL_PRIOR, PRIOR_LENGTHS)
        self._decode = _Fit(_DECODE_PRIOR, PRIOR_BATCHES)
        self._slow_samples: list[_Sample] = []

    def observe_first_token(self, uncached_tokens: int, elapsed_s: float, running: int) -> None:
        """Take in one prefill: from start on the engine to the first token."""
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
        """Take in a stretch of decoding after the first token."""
        if tokens > 0 and elapsed_s > 0:
            self._decode.add(max(1, running), elapsed_s / tokens)

    def prefill_s(self, uncached_tokens: int) -> float:
        """Return how long a prefill takes on the engine alone."""
        return self._prefill.at(max(1, uncached_tokens))

    def token_s(self, running: int) -> float:
        """Return the time between tokens with so many streams in the batch."""
        return self._decode.at(max(1, running))
