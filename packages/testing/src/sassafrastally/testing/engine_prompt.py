"""Prompts and answers of the model engine: what a body asks for, and the words that come out."""

from __future__ import annotations

import json
from hashlib import blake2b
from typing import Any, NamedTuple

CHARACTERS_PER_TOKEN = 4

DEFAULT_OUTPUT_TOKENS = 16

WORDS = (
    "adobe",
    "beam",
    "cedar",
    "chalk",
    "clay",
    "cornice",
    "crew",
    "crossing",
    "declaration",
    "depot",
    "dossier",
    "duty",
    "façade",
    "frontier",
    "girder",
    "gypsum",
)

_GOLDEN = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1


class Prompt(NamedTuple):
    """What a body asks of the engine."""

    text: bytes
    tokens: int
    max_output_tokens: int
    answer_tokens: int | None
    """Length at which the answer ends by itself; ``None`` when it goes on to the limit."""
    marker: str
    """Name by which a test finds the request in the counters; the text's hash by default."""
    seed: int
    """Hash of the text; the answer follows from it alone."""
    is_streamed: bool = True
    """Whether the reader gets tokens as they come, or all at the end."""


def parse_prompt(body: bytes) -> Prompt:
    """Read the JSON body of a completion or chat completion.

    Raises
    ------
    ValueError
        When it is no such body.
    """
    document = json.loads(body)
    if not isinstance(document, dict):
        raise ValueError("the body must be a JSON object")
    written = _text(document)
    text = written.encode()
    limit = document.get("max_tokens", document.get("max_completion_tokens"))
    digest = blake2b(text, digest_size=8).digest()
    return Prompt(
        text=text,
        tokens=max(1, -(-len(written) // CHARACTERS_PER_TOKEN)),
        max_output_tokens=DEFAULT_OUTPUT_TOKENS if limit is None else int(limit),
        answer_tokens=document.get("answer_tokens"),
        marker=str(document.get("marker", digest.hex())),
        seed=int.from_bytes(digest, "big"),
        is_streamed=document.get("stream") is True,
    )


def answer_text(seed: int, first: int, count: int) -> str:
    """Return the words of an answer from the token numbered `first` on, one word a token."""
    return "".join(f" {_word(seed, number)}" for number in range(first, first + count))


def _word(seed: int, number: int) -> str:
    mixed = ((seed ^ (number + 1)) * _GOLDEN) & _MASK
    return WORDS[(mixed >> 32) % len(WORDS)]


def _text(document: dict[str, Any]) -> str:
    messages = document.get("messages")
    if isinstance(messages, list):
        if not all(isinstance(message, dict) for message in messages):
            raise ValueError("the messages must be JSON objects")
        return "\n".join(str(message.get("content", "")) for message in messages)
    prompt = document.get("prompt")
    if not isinstance(prompt, str | list):
        raise ValueError("the body has neither prompt nor messages")
    return prompt if isinstance(prompt, str) else "\n".join(str(part) for part in prompt)
