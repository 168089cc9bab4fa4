"""Canonical JSON and the digests taken over it."""

from __future__ import annotations

import hashlib
import json
import re
from typing import Any

from sassafrastally.core import CodedError, error

DIGEST = re.compile(r"[0-9a-f]{64}")
"""Format of a digest: SHA-256 as 64 lowercase hexadecimal digits."""


@error(4100)
class BadEncoding(CodedError):
    """The bytes of a part, manifest, signature or head can't be decoded."""


def canonical_bytes(value: object) -> bytes:
    """Return the canonical JSON encoding of a value: sorted keys, no whitespace, UTF-8."""
    text = json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False
    )
    return text.encode()


def digest_of(data: bytes) -> str:
    """Return the SHA-256 digest as 64 hexadecimal digits."""
    return hashlib.sha256(data).hexdigest()


def is_digest(text: object) -> bool:
    """Return whether a value has the format of a digest."""
    return isinstance(text, str) and DIGEST.fullmatch(text) is not None


def load_object(data: bytes, max_bytes: int, what: str) -> dict[str, Any]:
    """Decode a JSON object.

    Parameters
    ----------
    data
        The bytes; they are untrusted.
    max_bytes
        Maximum size that is decoded.
    what
        Name of the decoded value, for the error message.

    Raises
    ------
    BadEncoding
        When the bytes are too long, don't hold a JSON object or can't be encoded again.
    """
    if len(data) > max_bytes:
        raise BadEncoding(f"{what} of {len(data)} bytes exceeds the limit of {max_bytes} bytes")
    try:
        value = json.loads(data, parse_constant=_reject_constant)
        if b"\\ud" in data.lower():
            # An escaped surrogate without its pair is valid JSON, but has no canonical encoding.
            json.dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as cause:
        raise BadEncoding(f"{what} is not valid JSON: {type(cause).__name__}") from cause
    if not isinstance(value, dict):
        raise BadEncoding(f"{what} is not a JSON object")
    return value


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not a finite number")
