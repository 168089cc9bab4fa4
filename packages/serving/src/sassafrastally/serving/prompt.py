"""Estimates of the size and prefix of a prompt, made in the entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.serving.prefix import prefix_hashes

if TYPE_CHECKING:
    from collections.abc import Sequence

BYTES_PER_TOKEN = 4
"""Typical average number of UTF-8 bytes per token; the engine's own count corrects the estimate."""

TOKEN_ID_BYTES = 4
"""Size of an encoded token ID for hashing."""

MAX_TOKEN_ID = 2 ** (8 * TOKEN_ID_BYTES) - 1
"""Maximum token ID."""


class PromptShape(NamedTuple):
    """Properties of a prompt that routing and admission use."""

    tokens: int
    prefix_hashes: tuple[int, ...]
    """Rolling hashes of the leading blocks, shortest prefix first."""
    is_exact: bool
    """Whether the token count is exact rather than estimated."""


def shape_of_text(text: str) -> PromptShape:
    """Estimate the shape of a text prompt; the caller joins chat messages beforehand."""
    data = text.encode()
    return PromptShape(-(-len(data) // BYTES_PER_TOKEN), prefix_hashes(data), False)


def shape_of_tokens(token_ids: Sequence[int]) -> PromptShape:
    """Return the shape of a prompt given as token IDs.

    Parameters
    ----------
    token_ids
        Token IDs, from 0 to `MAX_TOKEN_ID`.
    """
    data = b"".join(token.to_bytes(TOKEN_ID_BYTES, "big") for token in token_ids)
    return PromptShape(len(token_ids), prefix_hashes(data), True)
