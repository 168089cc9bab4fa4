"""Subsetting: chooses the peers to which an entry keeps links.

Notes
-----
Uses rendezvous hashing: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates" (1998). Each name is scored independently, so replacing one VM by another changes at most
one link in each subset.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

SCORE_BYTES = 8


def choose_subset(owner: str, names: Iterable[str], size: int) -> frozenset[str]:
    """Return the `size` names that score highest for an owner; all if there are no more."""
    ranked = sorted(names, key=lambda name: (_score(owner, name), name), reverse=True)
    return frozenset(ranked[:size])


def _score(owner: str, name: str) -> bytes:
    return blake2b(f"{owner}\0{name}".encode(), digest_size=SCORE_BYTES).digest()
