"""Segments: the parts of a span that single attempts compute."""

from __future__ import annotations

from typing import NamedTuple


class Import(NamedTuple):
    """A KV export to fetch from another engine."""

    handle: str
    source: str
    tokens: int


class Segment(NamedTuple):
    """The part of a span that one attempt computes."""

    blocks: int
    """Blocks for its own tokens, its imports and its output."""
    imports: tuple[Import, ...]
    is_leader: bool
    """Whether it is the last segment, which generates the answer."""
    made_s: float
    """Time of the reservation."""
    starts_at_s: float
    """Expected time at which the preceding segments are done."""
    done_at_s: float
    """Expected time at which its own prefill is done."""
