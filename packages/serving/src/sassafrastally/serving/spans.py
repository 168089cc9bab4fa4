"""Spans: one prompt over several engines, each of which computes a segment of it.

Each engine imports the KV cache of the segments before its own, computes its segment and exports
it; the last one, the leader, generates the answer.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

IMPORT_BLOCKS_PER_BLOCK = 64
"""Blocks of an import that cost the importing engine one block."""

SPAN_MEMORY_SHARE = 0.875
"""Most of an engine's memory that spans get. The rest is for other work: with none left, a single
span would stop all short requests on its engines for as long as it lasts."""

_FILL_STEPS = 24


class MemberEngine(NamedTuple):
    """An engine that could hold a segment, as the entry sees it through lagging reports."""

    vm: str
    is_near: bool
    """Whether it is in the entry's own data centre."""
    total_blocks: int
    free_blocks: int
    block_tokens: int
    queued_tokens: int = 0

    @property
    def span_blocks(self) -> int:
        """Most blocks that spans get here."""
        return span_blocks(self.total_blocks)


class Segment(NamedTuple):
    """The part of a prompt that one engine computes."""

    vm: str
    tokens: int
    end_tokens: int
    """Tokens of the prompt up to and with the segment."""


class SegmentDone(NamedTuple):
    """What a sidecar tells of a segment that is computed and exported."""

    handle: str
    tokens: int
    blocks: int


def span_blocks(total_blocks: int) -> int:
    """Return the most blocks of an engine that spans get."""
    return int(total_blocks * SPAN_MEMORY_SHARE)


def import_blocks(blocks: int) -> int:
    """Return what an import of so many blocks costs the importing engine."""
    return -(-blocks // IMPORT_BLOCKS_PER_BLOCK)


def blocks_of(tokens: int, block_tokens: int) -> int:
    """Return the blocks that so many tokens take."""
    return -(-tokens // max(1, block_tokens))


def handle_of(request_id: str, attempt: int) -> str:
    """Return the name of a segment's export; no two attempts share one."""
    return f"span-{request_id}-{attempt}"


def encode_done(done: SegmentDone) -> bytes:
    """Return the bytes that announce a finished segment."""
    return json.dumps(done._asdict()).encode()


def decode_done(data: bytes) -> SegmentDone:
    """Read the announcement of a finished segment; raises ValueError when it is none."""
    try:
        return SegmentDone(**json.loads(data))
    except TypeError as cause:
        raise ValueError(str(cause)) from cause


def held_tokens(engines: Sequence[MemberEngine], output_tokens: int) -> int:
    """Return the longest prompt that the engines hold together, 0 for none."""
    left = 0
    for segment in _fill(_in_order(engines), 1.0, None, output_tokens):
        left += segment
    return left


def plan_span(
    engines: Sequence[MemberEngine], prompt_tokens: int, output_tokens: int
) -> list[Segment] | None:
    """Return the segments of a prompt on the least set of engines that holds it.

    Parameters
    ----------
    engines
        All that serve the model.
    prompt_tokens
        Length of the prompt.
    output_tokens
        Longest answer; the last engine holds it too.

    Returns
    -------
    list[Segment] | None
        In prompt order, which is the order of the VM names: whoever reserves several engines
        takes them in the same order as everybody else. ``None`` when all of them together can't
        hold it.
    """
    members = _choose(engines, prompt_tokens, output_tokens)
    if members is None:
        return None
    ordered = _in_order(members)
    low, high = 0.0, 1.0
    for _ in range(_FILL_STEPS):
        # Spread evenly: a share of each engine stays free beside the span, instead of none on
        # all but the last.
        share = (low + high) / 2
        if sum(_fill(ordered, share, prompt_tokens, output_tokens)) >= prompt_tokens:
            high = share
        else:
            low = share
    filled = _fill(ordered, high, prompt_tokens, output_tokens)
    if not filled[-1] and len(filled) > 1:
        # The leader computes at least the end of the prompt, from which the answer follows.
        filled[-1] = min(ordered[-1].block_tokens, filled[-2])
        filled[-2] -= filled[-1]
    end, segments = 0, []
    for engine, tokens in zip(ordered, filled, strict=True):
        end += tokens
        segments.append(Segment(engine.vm, tokens, end))
    return [segment for segment in segments if segment.tokens]


def _choose(
    engines: Sequence[MemberEngine], prompt_tokens: int, output_tokens: int
) -> list[MemberEngine] | None:
    """Return as few engines as can hold the prompt; of these sets, the most preferred one."""
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
    """Order engines: memory free for a span first, then the near ones, then the idle ones."""
    is_taken = engine.free_blocks < engine.span_blocks
    return is_taken, not engine.is_near, engine.queued_tokens, engine.vm


def _capacity(engine: MemberEngine) -> int:
    return engine.span_blocks * engine.block_tokens


def _in_order(engines: Sequence[MemberEngine]) -> list[MemberEngine]:
    return sorted(engines, key=lambda engine: engine.vm)


def _fill(
    ordered: Sequence[MemberEngine],
    share: float,
    prompt_tokens: int | None,
    output_tokens: int,
) -> list[int]:
    """Return the tokens of each segment when each engine gives a share of what it may.

    A segment ends with a block, so that no engine holds a block that is half another's.
    """
    left, imported, filled = prompt_tokens, 0, []
    for engine in ordered:
        is_last = engine is ordered[-1]
        room = engine.span_blocks - imported
        if is_last:
            room -= blocks_of(output_tokens, engine.block_tokens)
        blocks = max(0, min(room, int(engine.span_blocks * share)))
        tokens = blocks * engine.block_tokens
        if left is not None:
            tokens = min(tokens, left)
            left -= tokens
        filled.append(tokens)
        imported += import_blocks(blocks_of(tokens, engine.block_tokens))
    return filled
