"""Prefix cache: hashes of a prompt's leading blocks, and guesses of what an engine holds.

Engines say late and with gaps what they store and drop. So a hit is a guess: it only shapes the
order and the prediction, and the engine's own count at the end of a run corrects it.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

PREFIX_BLOCK_BYTES = 2_048
"""Bytes of prompt text in one hashed block, about 512 tokens."""

PREFIX_BLOCK_TOKENS = 512
"""Tokens that one hashed block stands for."""

MAX_PREFIX_HASHES = 64
"""Most hashes that a reservation carries: at 8 bytes each half a kilobyte on the wire."""

MAX_TRACKED_HASHES = 200_000
"""Most hashes that a guess keeps, about 20 MB; the one used longest ago leaves first."""

TRUST_STEP = 0.25
"""Share of the difference between guess and count by which a correction moves the trust."""

_HASH_BYTES = 8


def prefix_hashes(prompt: bytes, block_bytes: int = PREFIX_BLOCK_BYTES) -> tuple[int, ...]:
    """Return rolling hashes of a prompt's leading blocks, shortest prefix first.

    Each hash covers the prompt up to the end of its block, so equal hashes mean equal prefixes.
    The blocks of the second half of the hashes grow, so that a bounded number of them reaches
    through a prompt of a million tokens.
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
    """Return how many prompt tokens the first `count` hashes stand for."""
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
    """What an engine's prefix cache holds, as far as its events tell.

    Parameters
    ----------
    capacity
        Most hashes kept.
    """

    def __init__(self, capacity: int = MAX_TRACKED_HASHES) -> None:
        self._capacity = capacity
        self._cached_hashes: OrderedDict[int, None] = OrderedDict()
        self._sequence = 0
        self._trust = 1.0
        self.gaps = 0
        """How often events were missing and the guess was dropped."""

    @property
    def sequence(self) -> int:
        """Number of the last event taken in."""
        return self._sequence

    @property
    def trust(self) -> float:
        """Share of guessed tokens that the engine confirmed of late, 0 to 1."""
        return self._trust

    def apply(self, sequence: int, kind: str, prefix_hash: int) -> None:
        """Take in one event of the engine, ``stored``, ``removed`` or ``cleared``.

        A repeated event is passed over. A jump in the numbers drops the guess: among the missing
        events may be a removal, and a hit believed wrongly makes every prediction too early.
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
        """Forget all: the engine has a new incarnation with an empty memory."""
        self._cached_hashes.clear()
        self._sequence = 0
        self._trust = 1.0

    def cached_tokens(self, hashes: Sequence[int], prompt_tokens: int) -> int:
        """Return the guess of a prompt's tokens in the cache, scaled by the trust.

        At least one token is left to compute, as engines do, to have something to sample from.
        """
        count = 0
        for prefix_hash in hashes:
            if prefix_hash not in self._cached_hashes:
                break
            self._cached_hashes.move_to_end(prefix_hash)
            count += 1
        guess = int(prefix_tokens(count) * self._trust)
        return max(0, min(guess, prompt_tokens - 1))

    def correct(self, hashes: Sequence[int], guessed_tokens: int, counted_tokens: int) -> None:
        """Take in the engine's own count of cached tokens at the end of a run.

        The run itself has left its prefix in the cache, which makes good for lost events.
        """
        if guessed_tokens > 0:
            share = min(1.0, counted_tokens / guessed_tokens)
            self._trust += TRUST_STEP * (share - self._trust)
        for prefix_hash in reversed(hashes):
            self._keep(prefix_hash)

    def _keep(self, prefix_hash: int) -> None:
        self._cached_hashes[prefix_hash] = None
        self._cached_hashes.move_to_end(prefix_hash)
        if len(self._cached_hashes) > self._capacity:
            self._cached_hashes.popitem(last=False)
