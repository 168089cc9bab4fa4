"""A model of the time that an engine takes, from its published figures.

An engine works in passes. A pass in which some request writes has a stride of token steps; each
step also reads up to a chunk of prompt tokens. Reading takes time for each token and for each pair
of a token and an earlier one, so that a prompt's time grows with its square.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafrastally.proxy.model import EngineFigures

PAIRS_UNIT = 1_000_000

MOST_HELPERS = 16
"""Helpers that an engine accepts for one prompt."""


def reading_ms(figures: EngineFigures, tokens: int) -> float:
    """Return how long one engine reads a prompt of that many tokens."""
    pairs_millions = tokens * tokens / 2 / PAIRS_UNIT
    return tokens / figures.read_tokens_per_ms + pairs_millions * figures.pairs_ms_per_million


def pass_ms(figures: EngineFigures, requests: int, context_tokens: int) -> float:
    """Return the length of a pass without reading, with that many requests writing."""
    step_ms = (
        figures.step_ms
        + figures.per_request_ms * requests
        + figures.context_ms_per_k * context_tokens / 1000
    )
    return step_ms * figures.stride_steps
