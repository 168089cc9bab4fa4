"""Seeded arrivals: prompts of very unlike lengths from customers of unlike size."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.testing.bench.deployment import prefill_alone_s

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafrastally.testing.bench.deployment import Deployment
    from sassafrastally.testing.engine_model import EngineShape


class LengthClass(NamedTuple):
    """Prompts of a range of lengths."""

    name: str
    least_tokens: int
    most_tokens: int
    share: float
    """Share of the arrivals."""
    mean_output_tokens: int
    time_limit_s: float


LENGTH_CLASSES = (
    LengthClass("1k-4k", 1_000, 4_000, 0.60, 24, 30.0),
    LengthClass("4k-16k", 4_001, 16_000, 0.26, 32, 60.0),
    LengthClass("16k-100k", 16_001, 100_000, 0.12, 48, 120.0),
    LengthClass("100k-400k", 100_001, 400_000, 0.015, 64, 300.0),
    LengthClass("400k-1M", 400_001, 1_000_000, 0.005, 64, 600.0),
)
"""One prompt in fifty is over a hundred thousand tokens; inside a class lengths are log-uniform."""

SHORT_CLASS = 0
LONG_CLASSES = (3, 4)

MIN_OUTPUT_TOKENS = 8
MAX_OUTPUT_FACTOR = 4
"""Longest answer, in means of its class."""

BURST_SHARE = 0.15
"""Share of the arrivals that come in bursts, each from one customer."""

BURST_SIZE = 12
BURST_SPREAD_S = 1.0

DOCUMENTS = 5
"""Documents of each customer that several prompts begin with."""

DOCUMENT_TOKENS = 8_192
DOCUMENT_SHARE = 0.4
"""Share that begin with one, of prompts over twice its length and below the long classes."""

HORIZON = 4
"""Arrivals are drawn for so many times the length of the run, and used as far as needed."""

_SAMPLES = 2_000


class Arrival(NamedTuple):
    """One request of a client."""

    number: int
    at_s: float
    """Counted from the start of the run."""
    entry: int
    """Number of the entry that the balancer picks."""
    customer: int
    length_class: int
    prompt_tokens: int
    output_tokens: int
    """Length of the answer; the request's limit is the same."""
    time_limit_s: float
    document: int
    """Number of the document that the prompt begins with; -1 when it has none."""


def arrivals(
    deployment: Deployment, shape: EngineShape, load: float, duration_s: float, seed: int
) -> list[Arrival]:
    """Return the arrivals of a run in order of time.

    Parameters
    ----------
    load
        Offered prefill time over the time of all engines; 1 keeps them all just busy.
    """
    random = Random(seed)
    rate = load * deployment.engines / mean_prefill_s(shape)
    horizon_s = HORIZON * duration_s
    times = sorted(_times(rate, horizon_s, random), key=lambda item: item[0])
    target_s = load * duration_s * deployment.engines
    found: list[Arrival] = []
    offered_s = 0.0
    for number, (at_s, customer) in enumerate(times):
        arrival = _arrival(number, at_s, customer, deployment, random)
        offered_s += prefill_alone_s(arrival.prompt_tokens, shape)
        if offered_s > target_s:
            break
        found.append(arrival)
    # A few of the longest prompts make up much of the work, so the same number of arrivals offers
    # very unlike loads. The work is exact, and the times are drawn to the length of the run.
    factor = duration_s / times[len(found)][0]
    return [arrival._replace(at_s=arrival.at_s * factor) for arrival in found]


def mean_prefill_s(shape: EngineShape) -> float:
    """Return the mean prefill time of an arrival on an idle engine."""
    random = Random(1)
    total_s = 0.0
    for _ in range(_SAMPLES):
        for kind in LENGTH_CLASSES:
            total_s += kind.share * prefill_alone_s(_length(kind, random), shape)
    return total_s / _SAMPLES


def _times(rate: float, duration_s: float, random: Random) -> Iterator[tuple[float, int | None]]:
    at_s = random.expovariate(rate * (1 - BURST_SHARE))
    while at_s < duration_s:
        yield at_s, None
        at_s += random.expovariate(rate * (1 - BURST_SHARE))
    burst_rate = rate * BURST_SHARE / BURST_SIZE
    at_s = random.expovariate(burst_rate)
    while at_s < duration_s:
        customer = random.randrange(1 << 30)
        for _ in range(BURST_SIZE):
            yield at_s + random.random() * BURST_SPREAD_S, customer
        at_s += random.expovariate(burst_rate)


def _arrival(
    number: int, at_s: float, burst: int | None, deployment: Deployment, random: Random
) -> Arrival:
    shares = deployment.customer_shares
    pick = Random(burst) if burst is not None else random
    customer = pick.choices(range(len(shares)), shares)[0]
    place = random.choices(range(len(LENGTH_CLASSES)), [kind.share for kind in LENGTH_CLASSES])[0]
    kind = LENGTH_CLASSES[place]
    prompt_tokens = _length(kind, random)
    output = random.expovariate(1 / kind.mean_output_tokens)
    output_tokens = int(
        min(max(MIN_OUTPUT_TOKENS, output), MAX_OUTPUT_FACTOR * kind.mean_output_tokens)
    )
    has_document = random.random() < DOCUMENT_SHARE
    document = customer * DOCUMENTS + random.randrange(DOCUMENTS)
    if not has_document or place in LONG_CLASSES or prompt_tokens < 2 * DOCUMENT_TOKENS:
        document = -1
    entry = random.randrange(deployment.entries)
    return Arrival(
        number,
        at_s,
        entry,
        customer,
        place,
        prompt_tokens,
        output_tokens,
        kind.time_limit_s,
        document,
    )


def _length(kind: LengthClass, random: Random) -> int:
    low, high = math.log(kind.least_tokens), math.log(kind.most_tokens)
    return int(math.exp(random.uniform(low, high)))


def document_text(document: int) -> bytes:
    """Return the text of a shared document, four bytes a token."""
    if document < 0:
        return b""
    word = f"document {document:06d} ".encode()
    size = DOCUMENT_TOKENS * 4
    return (word * (size // len(word) + 1))[:size]
