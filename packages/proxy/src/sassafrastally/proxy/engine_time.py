"""Model of the time that an engine takes, from its published performance figures.

An engine works in passes. A pass in which any request decodes consists of a stride of token steps;
each step also prefills up to a chunk of prompt tokens. Prefill takes time for each token and for
each pair of a token and an earlier one, so a prompt's prefill time grows with the square of its
length.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafrastally.proxy.model import EngineProfile

MILLION = 1_000_000

MAX_HELPERS = 16
"""Most helpers that an engine accepts for one prompt."""


def prefill_ms(profile: EngineProfile, tokens: int) -> float:
    """Return the time that one engine takes to prefill a prompt of that many tokens."""
    pairs_millions = tokens * tokens / 2 / MILLION
    return (
        tokens / profile.prefill_tokens_per_ms
        + pairs_millions * profile.attention_ms_per_million_pairs
    )


def pass_ms(profile: EngineProfile, requests: int, context_tokens: int) -> float:
    """Return the length of a pass in which that many requests decode and none is prefilled."""
    step_ms = (
        profile.step_ms
        + profile.per_request_ms * requests
        + profile.context_ms_per_k * context_tokens / 1000
    )
    return step_ms * profile.steps_per_pass
