"""Plain-text explanations of receipts, for callers and operators."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING

from sassafrastally.core import Registry
from sassafrastally.serving.outcome import Outcome
from sassafrastally.serving.refusals import REFUSALS

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.serving.receipts import ReceiptFacts

OUTCOME_SENTENCES = {
    Outcome.COMPLETED: "The request was carried out.",
    Outcome.NOT_RUN: "The request was not carried out, not even in part.",
    Outcome.FAILED: "The request was begun and gave no whole answer.",
    Outcome.UNKNOWN: "It is not known whether the request was carried out.",
}

DIGEST_DIGITS = 16
"""Number of digits of a bundle digest that are shown."""

ROUNDED_FROM = 100
"""Figures of at least this absolute value are shown as whole numbers."""

FIGURES: Registry[Callable[[ReceiptFacts], str]] = Registry("sentence of figures")
"""Functions that describe the figures of a refusal, by code. Other codes use the limit and unit."""


def explain(facts: ReceiptFacts) -> str:
    """Return a multi-line explanation of a refusal."""
    kind = REFUSALS.get(facts.code)
    title = kind.title if kind else f"The reason is {facts.code!r}."
    when = datetime.fromtimestamp(facts.wall_s, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
    for_caller = [title, *_figures(facts), _outcome(facts), _retry_advice(facts)]
    for_operator = [
        f"Request     {facts.request_id or 'refused before it got a name'}",
        f"Given       {when} by {facts.vm} in {facts.data_centre}",
        f"Customer    {facts.customer or 'not known'}",
        f"Code        {facts.code}, outcome {facts.outcome}",
        f"Bundle      {_bundle(facts)}",
    ]
    return "\n".join([*for_caller, "", *for_operator])


def _figures(facts: ReceiptFacts) -> list[str]:
    if facts.code in FIGURES:
        return [FIGURES.get(facts.code)(facts)]
    if not facts.unit:
        return []
    return [
        f"The limit was {_number(facts.limit, facts.unit)}; "
        f"this request met {_number(facts.measured, facts.unit)}."
    ]


@FIGURES.register("rate-limit")
def _rate(facts: ReceiptFacts) -> str:
    return (
        f"The customer may use {_number(facts.limit, facts.unit)} on average; "
        f"it had used {_number(facts.measured, facts.unit)}."
    )


@FIGURES.register("concurrency-limit")
def _concurrency(facts: ReceiptFacts) -> str:
    return (
        f"The customer may have {_number(facts.limit, facts.unit)} open at a time; "
        f"{facts.measured:g} were open or set aside."
    )


@FIGURES.register("time-limit-unreachable")
def _unreachable(facts: ReceiptFacts) -> str:
    return (
        f"The answer was wanted within {_number(facts.limit, facts.unit)}; "
        f"it was expected after {_number(facts.measured, facts.unit)}."
    )


@FIGURES.register("memory-full")
def _memory(facts: ReceiptFacts) -> str:
    return f"It needs {facts.measured:g} {facts.unit}; {facts.limit:g} were free."


def _outcome(facts: ReceiptFacts) -> str:
    try:
        return OUTCOME_SENTENCES[Outcome(facts.outcome)]
    except ValueError:
        return f"The outcome is {facts.outcome!r}."


def _retry_advice(facts: ReceiptFacts) -> str:
    if facts.retry_after_s:
        return f"Coming back made sense after {facts.retry_after_s:.3g} s."
    if facts.outcome == Outcome.NOT_RUN:
        return "Sending the same request again would not help."
    return "No time to come back was given."


def _bundle(facts: ReceiptFacts) -> str:
    if not facts.generation:
        return "none in force"
    return f"generation {facts.generation}, digest {facts.digest[:DIGEST_DIGITS]}"


def _number(value: float, unit: str) -> str:
    shown = f"{value:,.0f}" if abs(value) >= ROUNDED_FROM else f"{value:.3g}"
    return f"{shown} {unit}"
