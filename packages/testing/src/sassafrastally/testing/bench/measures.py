"""What a run showed: first tokens by length, slowdown, goodput, refusals, waste and fairness."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.testing.bench.deployment import prefill_alone_s
from sassafrastally.testing.bench.workload import LENGTH_CLASSES, LONG_CLASSES, SHORT_CLASS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from sassafrastally.testing.bench.workload import Arrival
    from sassafrastally.testing.engine_model import EngineShape

WARM_SHARE = 0.1
"""Arrivals of this first share of a run aren't measured: engines and cost models start cold."""

NAN = float("nan")


class Sample(NamedTuple):
    """What became of one arrival."""

    arrival: Arrival
    first_token_s: float | None
    """From the arrival at the entry to the first token there."""
    end_s: float | None
    """From the arrival to the end of the whole answer; ``None`` when it didn't come whole."""
    code: str
    """Code of the refusal or failure; empty for a whole answer."""
    attempts: int = 1
    predicted_first_token_s: float = 0.0
    """What the sidecar that ran it said at the reservation."""

    @property
    def is_good(self) -> bool:
        """Whether the whole answer came within the time limit."""
        return self.end_s is not None and self.end_s <= self.arrival.time_limit_s


class ClassFigures(NamedTuple):
    """Figures of one length class."""

    name: str
    offered: int
    answered: int
    p50_s: float
    p95_s: float
    p99_s: float
    """Time to first token."""


class RunFigures(NamedTuple):
    """Figures of one run."""

    deployment: str
    policy: str
    load: float
    fault: str
    """Name of the fault; empty for none."""
    offered: int
    classes: tuple[ClassFigures, ...]
    short_slowdown_p50: float
    short_slowdown_p95: float
    """First token of each short request over that of the same request with only the short ones."""
    short_p95_ratio: float
    """The p95 of the short class over the p95 with only the short ones."""
    long_stretch_p50: float
    long_stretch_p95: float
    """First token of prompts over 100k over that on an idle fleet."""
    goodput_tokens_per_s: float
    """Prompt and output tokens of answers that came whole within their limit."""
    good_share: float
    """Their share of the requests offered."""
    late: int
    """Admitted requests that missed their limit or broke off."""
    refusals: tuple[tuple[str, int], ...]
    wasted_tokens: int
    fairness: float
    """Jain's index over the customers' shares of offered tokens that were served well."""
    prediction_p50: float
    prediction_p95: float
    """First token measured over first token predicted."""
    wall_s: float
    """Real time of the run."""


class RunContext(NamedTuple):
    """What a run's figures are made from, besides its samples."""

    deployment: str
    policy: str
    load: float
    fault: str
    duration_s: float
    shape: EngineShape
    wasted_tokens: int
    wall_s: float


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value at a share of the sorted values; not a number when there are none."""
    if not values:
        return NAN
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarise(
    context: RunContext, samples: Iterable[Sample], short_alone: Mapping[int, float]
) -> RunFigures:
    """Return a run's figures.

    Parameters
    ----------
    short_alone
        First token of each short arrival, by number, in a run of only the short ones.
    """
    warm_s = WARM_SHARE * context.duration_s
    kept = [sample for sample in samples if sample.arrival.at_s >= warm_s]
    span_s = max(1e-9, context.duration_s - warm_s)
    slowdowns, ratio = _slowdowns(kept, short_alone)
    stretches = _stretches(kept, context.shape)
    errors = _prediction_errors(kept)
    good = [sample for sample in kept if sample.is_good]
    refused = Counter(sample.code for sample in kept if sample.code)
    return RunFigures(
        deployment=context.deployment,
        policy=context.policy,
        load=context.load,
        fault=context.fault,
        offered=len(kept),
        classes=tuple(_class_figures(place, kept) for place in range(len(LENGTH_CLASSES))),
        short_slowdown_p50=percentile(slowdowns, 0.5),
        short_slowdown_p95=percentile(slowdowns, 0.95),
        short_p95_ratio=ratio,
        long_stretch_p50=percentile(stretches, 0.5),
        long_stretch_p95=percentile(stretches, 0.95),
        goodput_tokens_per_s=sum(map(_tokens, good)) / span_s,
        good_share=len(good) / max(1, len(kept)),
        late=sum(sample.first_token_s is not None and not sample.is_good for sample in kept),
        refusals=tuple(sorted(refused.items())),
        wasted_tokens=context.wasted_tokens,
        fairness=_jain(kept),
        prediction_p50=percentile(errors, 0.5),
        prediction_p95=percentile(errors, 0.95),
        wall_s=context.wall_s,
    )


def _tokens(sample: Sample) -> int:
    return sample.arrival.prompt_tokens + sample.arrival.output_tokens


def _class_figures(place: int, samples: Sequence[Sample]) -> ClassFigures:
    members = [sample for sample in samples if sample.arrival.length_class == place]
    firsts = [sample.first_token_s for sample in members if sample.first_token_s is not None]
    return ClassFigures(
        LENGTH_CLASSES[place].name,
        len(members),
        len(firsts),
        percentile(firsts, 0.5),
        percentile(firsts, 0.95),
        percentile(firsts, 0.99),
    )


def _slowdowns(
    samples: Sequence[Sample], short_alone: Mapping[int, float]
) -> tuple[list[float], float]:
    pairs = [
        (sample.first_token_s, short_alone[sample.arrival.number])
        for sample in samples
        if sample.arrival.length_class == SHORT_CLASS
        and sample.first_token_s is not None
        and sample.arrival.number in short_alone
    ]
    together = percentile([first_s for first_s, _ in pairs], 0.95)
    alone = percentile([alone_s for _, alone_s in pairs], 0.95)
    return [first_s / alone_s for first_s, alone_s in pairs], together / alone


def _stretches(samples: Sequence[Sample], shape: EngineShape) -> list[float]:
    return [
        sample.first_token_s / prefill_alone_s(sample.arrival.prompt_tokens, shape)
        for sample in samples
        if sample.arrival.length_class in LONG_CLASSES and sample.first_token_s is not None
    ]


def _prediction_errors(samples: Sequence[Sample]) -> list[float]:
    return [
        sample.first_token_s / sample.predicted_first_token_s
        for sample in samples
        if sample.first_token_s is not None and sample.predicted_first_token_s > 0
    ]


def _jain(samples: Sequence[Sample]) -> float:
    offered: dict[int, int] = defaultdict(int)
    served: dict[int, int] = defaultdict(int)
    for sample in samples:
        offered[sample.arrival.customer] += _tokens(sample)
        if sample.is_good:
            served[sample.arrival.customer] += _tokens(sample)
    shares = [served[customer] / tokens for customer, tokens in offered.items()]
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else NAN
