"""What a request is recognized by when backend servers crash: its fingerprint and its prompt parts.

A caller's retry has a new request id, may arrive at another entry and may resume a stream
elsewhere. Its customer, method, host, target and body stay the same and determine what a backend
server does. Requests of which no two are alike may still have a part of their prompts in common,
whoever sends them.

Fingerprints and part keys are 64-bit integers that share one key space; the highest bit is set in
part keys only.
"""

from __future__ import annotations

import hashlib
import re
from functools import lru_cache
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

DIGEST_BYTES = 8
"""Length of a fingerprint. At a million requests per second, a chance collision occurs once in
about fifty thousand years; forging another customer's fingerprint takes 2^63 bodies."""

PART_BIT = 1 << 63
"""Bit of a key that is set for parts of prompts."""

MAX_CACHED_PARTS = 4096
"""Maximum number of part ids whose keys are kept; requests share most of their parts."""

_TEXT = re.compile(r"[0-9a-f]{16}")


class Subjects(NamedTuple):
    """Everything that may be blamed for the crash of a server that ran a request."""

    fingerprint: int
    parts: tuple[int, ...] = ()
    """Keys of the parts that its prompt shares with others, in order."""


def request_fingerprint(customer: str, method: bytes, host: str, target: bytes, body: bytes) -> int:
    """Return the fingerprint of a request.

    Parameters
    ----------
    customer
        Customer of the request; empty where no key is required. Included so that no customer can
        produce the fingerprint of another customer's request.
    method, host, target
        HTTP method, host, and target with its query.
    body
        The whole body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (customer.encode(), method, host.encode(), target):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big") & ~PART_BIT


@lru_cache(MAX_CACHED_PARTS)
def part_key(part_id: str) -> int:
    """Return the key of a prompt part.

    It doesn't depend on the customer: a part crashes servers whoever sends it, and a customer that
    declares another one's part can't get it quarantined while its requests are answered.
    """
    digest = hashlib.blake2b(part_id.encode(), digest_size=DIGEST_BYTES, person=b"part")
    return int.from_bytes(digest.digest(), "big") | PART_BIT


def is_part(subject: int) -> bool:
    """Return whether a key is that of a prompt part, not a request's fingerprint."""
    return bool(subject & PART_BIT)


def fingerprint_text(subject: int) -> str:
    """Format a fingerprint or a part key for logs, answers and store keys."""
    return f"{subject:016x}"


def fingerprint_texts(fingerprints: Iterable[int]) -> tuple[str, ...]:
    """Return the texts of several fingerprints."""
    return tuple(fingerprint_text(one) for one in fingerprints)


def parse_fingerprint(text: str) -> int:
    """Parse the text of a fingerprint or a part key; raises `ValueError`."""
    if not _TEXT.fullmatch(text):
        raise ValueError(f"invalid fingerprint: {text[:40]!r}")
    return int(text, 16)
