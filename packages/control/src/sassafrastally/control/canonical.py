"""Canonical JSON and the digests taken over it."""

from __future__ import annotations

import hashlib
import json
import re
from typing import Any

from sassafrastally.core import CodedError, error

DIGEST = re.compile(r"[0-9a-f]{64}")
"""Form of a digest: SHA-256 as 64 hexadecimal digits in lower case."""


@error(4100)
class BadEncoding(CodedError):
    """Bytes that should hold a part, manifest, signature or head can't be decoded."""


def canonical_bytes(value: object) -> bytes:
    """Return the one JSON encoding of a value: sorted keys, no white space, UTF-8."""
    text = json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False
    )
    return text.encode()


def digest_of(data: bytes) -> str:
    """Return the SHA-256 digest as 64 hexadecimal digits."""
    return hashlib.sha256(data).hexdigest()


def is_digest(text: object) -> bool:
    """Return whether a value has the form of a digest."""
    return isinstance(text, str) and DIGEST.fullmatch(text) is not None


def load_object(data: bytes, max_bytes: int, what: str) -> dict[str, Any]:
    """Decode a JSON object.

    Parameters
    ----------
    data
        The bytes; they may come from anyone.
    max_bytes
        Most bytes that are looked at.
    what
        Name of the thing, for the message.

    Raises
    ------
    BadEncoding
        When the bytes are too many or hold no JSON object.
    """
    if len(data) > max_bytes:
        raise BadEncoding(f"{what} of {len(data)} bytes is over {max_bytes}")
    try:
        value = json.loads(data, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as cause:
        raise BadEncoding(f"{what} is no JSON: {type(cause).__name__}") from cause
    if not isinstance(value, dict):
        raise BadEncoding(f"{what} is no JSON object")
    return value


def _refuse_constant(name: str) -> float:
    raise ValueError(f"{name} is no finite number")
