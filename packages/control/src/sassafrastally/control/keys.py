"""Keys in the KV service under which bundles are stored.

Notes
-----
Each group of parts, manifest and signature is written once under its own key, so concurrent
operators never overwrite each other. Only the head is ever replaced, by compare-and-swap. The head
and the signatures share the prefix `LIVE`, so that one watch covers both and never delivers parts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.control.canonical import digest_of

if TYPE_CHECKING:
    from collections.abc import Sequence

ROOT = "sassafrastally/bundle/"
LIVE = ROOT + "live/"
HEAD = LIVE + "head"
SIGNATURES = LIVE + "signature/"
HISTORY = ROOT + "history/"
_GENERATION_DIGITS = 12

PURPOSE_OPERATOR = "admin"
"""KV call budget of operators."""
PURPOSE_SPREAD = "bundle"
"""KV call budget of bundle distribution to processes."""


def group_key(digests: Sequence[str]) -> str:
    """Return the key of a group of parts; it can be derived from the manifest."""
    return f"{ROOT}group/{digest_of(','.join(digests).encode())}"


def manifest_key(digest: str) -> str:
    """Return the key of a manifest; its digest is the bundle's digest."""
    return f"{ROOT}manifest/{digest}"


def signature_prefix(digest: str) -> str:
    """Return the prefix of the signatures over a bundle digest."""
    return f"{SIGNATURES}{digest}/"


def signature_key(digest: str, signer: str) -> str:
    """Return the key of one signer's signature over a bundle digest."""
    return signature_prefix(digest) + signer


def history_key(generation: int) -> str:
    """Return the key that stores the head of a generation; keys sort in generation order."""
    return f"{HISTORY}{generation:0{_GENERATION_DIGITS}d}"


def watcher_prefix(data_centre: str) -> str:
    """Return the prefix of the watcher keys of a data centre."""
    return f"{ROOT}watcher/{data_centre}/"


def watcher_key(data_centre: str, index: int) -> str:
    """Return the key of one watcher slot of a data centre, held under a lease."""
    return f"{watcher_prefix(data_centre)}{index}"
