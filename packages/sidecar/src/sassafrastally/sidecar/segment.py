"""An attempt's part of a span."""

from __future__ import annotations

from typing import NamedTuple


class Import(NamedTuple):
    """One KV export to fetch from another engine."""

    handle: str
    source: str
    tokens: int


class Segment(NamedTuple):
    """An attempt's part of a span."""

    blocks: int
    """Blocks for its own tokens, its imports and its answer."""
    imports: tuple[Import, ...]
    is_leader: bool
    """Whether it is the last one, which answers."""
    made_s: float
    """When it was reserved."""
    starts_at_s: float
    """When the segments before it are expected to be done."""
    done_at_s: float
    """When its own prefill is expected to be done."""
