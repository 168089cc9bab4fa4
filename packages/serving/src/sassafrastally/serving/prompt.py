"""Size and prefix of a prompt, as the entry estimates them before any engine has seen it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.serving.prefix import prefix_hashes

if TYPE_CHECKING:
    from collections.abc import Sequence

BYTES_PER_TOKEN = 4
"""Customary average of UTF-8 bytes in a token; the engine's own count corrects it."""

TOKEN_ID_BYTES = 4
"""Bytes of a token's number as it is hashed."""

MAX_TOKEN_ID = 2 ** (8 * TOKEN_ID_BYTES) - 1
"""Highest number of a token."""


class PromptShape(NamedTuple):
    """What routing and admission need to know of a prompt."""

    tokens: int
    prefix_hashes: tuple[int, ...]
    """Rolling hashes of the leading blocks, shortest prefix first."""
    is_exact: bool
    """Whether the tokens were counted, not estimated."""


def shape_of_text(text: str) -> PromptShape:
    """Estimate the shape of a prompt in text; the messages of a chat are joined before."""
    data = text.encode()
    return PromptShape(-(-len(data) // BYTES_PER_TOKEN), prefix_hashes(data), False)


def shape_of_tokens(token_ids: Sequence[int]) -> PromptShape:
    """Return the shape of a prompt that the caller has cut into tokens.

    Parameters
    ----------
    token_ids
        Numbers of the tokens, from 0 to `MAX_TOKEN_ID`.
    """
    data = b"".join(token.to_bytes(TOKEN_ID_BYTES, "big") for token in token_ids)
    return PromptShape(len(token_ids), prefix_hashes(data), True)
