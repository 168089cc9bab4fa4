"""Keys of the KV service under which bundles live.

Notes
-----
Groups of parts, manifests and signatures are written once under a key of their own, so two people
never overwrite each other. Only the head is ever replaced, by compare-and-swap. Head and
signatures share the prefix `LIVE`, so that one watch covers both and never carries parts.
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
"""Budget of the operators' calls."""
PURPOSE_SPREAD = "bundle"
"""Budget of the calls with which processes learn of bundles."""


def group_key(digests: Sequence[str]) -> str:
    """Return the key of a group of parts; whoever has the manifest knows it."""
    return f"{ROOT}group/{digest_of(','.join(digests).encode())}"


def manifest_key(digest: str) -> str:
    """Return the key of a manifest; its digest is the bundle's."""
    return f"{ROOT}manifest/{digest}"


def signature_prefix(digest: str) -> str:
    """Return the prefix of the signatures over a bundle digest."""
    return f"{SIGNATURES}{digest}/"


def signature_key(digest: str, signer: str) -> str:
    """Return the key of one signer's signature over a bundle digest."""
    return signature_prefix(digest) + signer


def history_key(generation: int) -> str:
    """Return the key that keeps the head of a generation; keys sort as generations do."""
    return f"{HISTORY}{generation:0{_GENERATION_DIGITS}d}"


def watcher_prefix(data_centre: str) -> str:
    """Return the prefix of the watchers' keys of a data centre."""
    return f"{ROOT}watcher/{data_centre}/"


def watcher_key(data_centre: str, index: int) -> str:
    """Return the key that one watcher of a data centre holds by lease."""
    return f"{watcher_prefix(data_centre)}{index}"
