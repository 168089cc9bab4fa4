"""Prefix hashes of prompts, and estimates of the contents of an engine's prefix cache.

Engines report stored and evicted blocks late and with gaps, so a cache hit is only an estimate. It
influences only scheduling and predictions, and the engine's own count at the end of a run
corrects it.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

PREFIX_BLOCK_BYTES = 2_048
"""Size of a hashed block of prompt text, about 512 tokens."""

PREFIX_BLOCK_TOKENS = 512
"""Estimated number of tokens in one hashed block."""

MAX_PREFIX_HASHES = 64
"""Maximum number of hashes in a reservation: at 8 bytes each, half a kilobyte on the wire."""

MAX_TRACKED_HASHES = 200_000
"""Maximum number of tracked hashes, about 20 MB; the least recently used one is evicted first."""

TRUST_STEP = 0.25
"""Smoothing factor of the trust: share of the deviation applied by each correction."""

_HASH_BYTES = 8


def prefix_hashes(prompt: bytes, block_bytes: int = PREFIX_BLOCK_BYTES) -> tuple[int, ...]:
    """Return the rolling hashes of a prompt's leading blocks, shortest prefix first.

    Each hash covers the prompt up to the end of its block, so equal hashes mean equal prefixes.
    Blocks grow in the second half of the hashes, so that `MAX_PREFIX_HASHES` of them cover a prompt
    of a million tokens.
    """
    hashes: list[int] = []
    state = hashlib.blake2b(digest_size=_HASH_BYTES)
    start = 0
    for end in _block_ends(len(prompt), block_bytes):
        state.update(prompt[start:end])
        hashes.append(int.from_bytes(state.copy().digest(), "big"))
        start = end
    return tuple(hashes)


def prefix_tokens(count: int) -> int:
    """Return the estimated number of prompt tokens covered by the first `count` hashes."""
    return sum(PREFIX_BLOCK_TOKENS * _block_stride(index) for index in range(count))


def _block_stride(index: int) -> int:
    uniform = MAX_PREFIX_HASHES // 2
    return 1 if index < uniform else 1 << min(16, (index - uniform) // 4 + 1)


def _block_ends(size: int, block_bytes: int) -> Iterable[int]:
    end = 0
    for index in range(MAX_PREFIX_HASHES):
        end += block_bytes * _block_stride(index)
        if end > size:
            return
        yield end


class PrefixGuess:
    """Estimate of an engine's prefix cache, maintained from its cache events.

    Parameters
    ----------
    capacity
        Maximum number of tracked hashes.
    """

    def __init__(self, capacity: int = MAX_TRACKED_HASHES) -> None:
        self._capacity = capacity
        self._cached_hashes: OrderedDict[int, None] = OrderedDict()
        self._sequence = 0
        self._trust = 1.0
        self.gaps = 0
        """Number of gaps in the event sequence, each of which cleared the estimate."""

    @property
    def sequence(self) -> int:
        """Sequence number of the last applied event."""
        return self._sequence

    @property
    def trust(self) -> float:
        """Share of the estimated tokens that the engine recently confirmed, 0 to 1."""
        return self._trust

    def apply(self, sequence: int, kind: str, prefix_hash: int) -> None:
        """Apply a cache event of the engine: ``stored``, ``removed`` or ``cleared``.

        Duplicate and out-of-order events are ignored. A gap in the sequence numbers clears the
        estimate: a removal may be among the missing events, and a false hit makes predictions too
        early.
        """
        if self._sequence and sequence <= self._sequence:
            return
        if self._sequence and sequence > self._sequence + 1:
            self.gaps += 1
            self._cached_hashes.clear()
        self._sequence = sequence
        if kind == "stored":
            self._keep(prefix_hash)
        elif kind == "removed":
            self._cached_hashes.pop(prefix_hash, None)
        elif kind == "cleared":
            self._cached_hashes.clear()

    def restart(self) -> None:
        """Reset the estimate, as a new incarnation of the engine starts with an empty cache."""
        self._cached_hashes.clear()
        self._sequence = 0
        self._trust = 1.0

    def cached_tokens(self, hashes: Sequence[int], prompt_tokens: int) -> int:
        """Return the estimated number of cached prompt tokens, scaled by the trust.

        At least one token remains to be computed: engines need it to sample the first output token.
        """
        count = 0
        for prefix_hash in hashes:
            if prefix_hash not in self._cached_hashes:
                break
            self._cached_hashes.move_to_end(prefix_hash)
            count += 1
        estimate = int(prefix_tokens(count) * self._trust)
        return max(0, min(estimate, prompt_tokens - 1))

    def correct(self, hashes: Sequence[int], estimated_tokens: int, counted_tokens: int) -> None:
        """Correct the estimate with the engine's own count of cached tokens at the end of a run.

        The hashes of the run are added, as its prefix is now in the cache even if its events were
        lost.
        """
        if estimated_tokens > 0:
            share = min(1.0, counted_tokens / estimated_tokens)
            self._trust += TRUST_STEP * (share - self._trust)
        for prefix_hash in reversed(hashes):
            self._keep(prefix_hash)

    def _keep(self, prefix_hash: int) -> None:
        self._cached_hashes[prefix_hash] = None
        self._cached_hashes.move_to_end(prefix_hash)
        if len(self._cached_hashes) > self._capacity:
            self._cached_hashes.popitem(last=False)
