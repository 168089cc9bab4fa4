"""Spans: prompts that are distributed over several engines, each computing one segment.

Each engine imports the KV cache of the preceding segments, computes its own segment and exports it.
The last engine, the leader, generates the answer.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

IMPORT_BLOCKS_PER_BLOCK = 64
"""Number of imported blocks that take up one block of the importing engine."""

SPAN_MEMORY_SHARE = 0.875
"""Maximum share of an engine's memory for spans. The rest is reserved for other work: without it, a
single span would block all short requests on its engines while it runs."""

_BISECTION_STEPS = 24


class MemberEngine(NamedTuple):
    """An engine that could hold a segment, as known to the entry from delayed reports."""

    vm: str
    is_near: bool
    """Whether it is in the entry's own data centre."""
    total_blocks: int
    free_blocks: int
    block_tokens: int
    queued_tokens: int = 0

    @property
    def span_blocks(self) -> int:
        """Maximum number of blocks for spans on this engine."""
        return span_blocks(self.total_blocks)


class Segment(NamedTuple):
    """Part of a prompt that one engine computes."""

    vm: str
    tokens: int
    end_tokens: int
    """Number of prompt tokens up to and including the segment."""


class SegmentDone(NamedTuple):
    """Announcement of a computed and exported segment by a sidecar."""

    handle: str
    tokens: int
    blocks: int


def span_blocks(total_blocks: int) -> int:
    """Return the maximum number of blocks for spans on an engine."""
    return int(total_blocks * SPAN_MEMORY_SHARE)


def import_blocks(blocks: int) -> int:
    """Return the blocks that an import of the given size takes up on the importing engine."""
    return -(-blocks // IMPORT_BLOCKS_PER_BLOCK)


def blocks_of(tokens: int, block_tokens: int) -> int:
    """Return the number of blocks for the given number of tokens."""
    return -(-tokens // max(1, block_tokens))


def handle_of(request_id: str, attempt: int) -> str:
    """Return the export handle of a segment, unique per attempt."""
    return f"span-{request_id}-{attempt}"


def encode_done(done: SegmentDone) -> bytes:
    """Encode the announcement of a finished segment."""
    return json.dumps(done._asdict()).encode()


def decode_done(data: bytes) -> SegmentDone:
    """Decode the announcement of a finished segment; raises `ValueError` when it is invalid."""
    try:
        return SegmentDone(**json.loads(data))
    except TypeError as cause:
        raise ValueError(str(cause)) from cause


def held_tokens(engines: Sequence[MemberEngine], output_tokens: int) -> int:
    """Return the maximum prompt length that the engines can hold together, 0 for none."""
    total = 0
    for tokens in _segment_sizes(_in_order(engines), 1.0, None, output_tokens):
        total += tokens
    return total


def plan_span(
    engines: Sequence[MemberEngine], prompt_tokens: int, output_tokens: int
) -> list[Segment] | None:
    """Return the segments of a prompt on the smallest set of engines that can hold it.

    Parameters
    ----------
    engines
        All engines that serve the model.
    prompt_tokens
        Length of the prompt.
    output_tokens
        Maximum length of the answer, which the last engine holds too.

    Returns
    -------
    list[Segment] | None
        In prompt order, which is the order of the VM names, so that all entries reserve engines in
        the same order. ``None`` when all engines together cannot hold the prompt.
    """
    members = _choose(engines, prompt_tokens, output_tokens)
    if members is None:
        return None
    ordered = _in_order(members)
    low, high = 0.0, 1.0
    for _ in range(_BISECTION_STEPS):
        # Distributes the prompt evenly, so that a share of each engine stays free. Otherwise all
        # engines except the last would be full.
        share = (low + high) / 2
        if sum(_segment_sizes(ordered, share, prompt_tokens, output_tokens)) >= prompt_tokens:
            high = share
        else:
            low = share
    sizes = _segment_sizes(ordered, high, prompt_tokens, output_tokens)
    if not sizes[-1] and len(sizes) > 1:
        # The leader must compute at least the end of the prompt to generate the answer.
        sizes[-1] = min(ordered[-1].block_tokens, sizes[-2])
        sizes[-2] -= sizes[-1]
    end, segments = 0, []
    for engine, tokens in zip(ordered, sizes, strict=True):
        end += tokens
        segments.append(Segment(engine.vm, tokens, end))
    return [segment for segment in segments if segment.tokens]


def _choose(
    engines: Sequence[MemberEngine], prompt_tokens: int, output_tokens: int
) -> list[MemberEngine] | None:
    """Return the preferred one of the smallest sets of engines that can hold the prompt."""
    largest = sorted(engines, key=lambda engine: (-_capacity(engine), engine.vm))
    size = next(
        (
            count
            for count in range(1, len(largest) + 1)
            if held_tokens(largest[:count], output_tokens) >= prompt_tokens
        ),
        0,
    )
    if not size:
        return None
    chosen: list[MemberEngine] = []
    for engine in sorted(engines, key=_preference):
        if len(chosen) == size:
            break
        rest = [other for other in largest if other not in chosen and other is not engine]
        trial = [*chosen, engine, *rest[: size - len(chosen) - 1]]
        if held_tokens(trial, output_tokens) >= prompt_tokens:
            chosen.append(engine)
    return chosen


def _preference(engine: MemberEngine) -> tuple[bool, bool, int, str]:
    """Return a sort key: engines with enough free memory first, then near ones, then idle ones."""
    is_occupied = engine.free_blocks < engine.span_blocks
    return is_occupied, not engine.is_near, engine.queued_tokens, engine.vm


def _capacity(engine: MemberEngine) -> int:
    return engine.span_blocks * engine.block_tokens


def _in_order(engines: Sequence[MemberEngine]) -> list[MemberEngine]:
    return sorted(engines, key=lambda engine: engine.vm)


def _segment_sizes(
    ordered: Sequence[MemberEngine],
    share: float,
    prompt_tokens: int | None,
    output_tokens: int,
) -> list[int]:
    """Return the tokens per segment when each engine provides a share of its span memory.

    Segments end at block boundaries, so that no block is split between engines.
    """
    remaining, imported, sizes = prompt_tokens, 0, []
    for engine in ordered:
        is_last = engine is ordered[-1]
        room = engine.span_blocks - imported
        if is_last:
            room -= blocks_of(output_tokens, engine.block_tokens)
        blocks = max(0, min(room, int(engine.span_blocks * share)))
        tokens = blocks * engine.block_tokens
        if remaining is not None:
            tokens = min(tokens, remaining)
            remaining -= tokens
        sizes.append(tokens)
        imported += import_blocks(blocks_of(tokens, engine.block_tokens))
    return sizes
