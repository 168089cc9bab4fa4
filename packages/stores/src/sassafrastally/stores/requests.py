"""Limits on requests to the KV service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.core import CodedError, error
from sassafrastally.core.kv import MAX_VALUE_BYTES

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.core.kv import KvWrite

ANY_REVISION = -1
"""`KvWrite.expected_revision` of an unconditional write."""

MAX_WRITES = 128
"""Maximum number of writes in one transaction; the default of the service."""


@error(3007)
class KvRequestInvalid(CodedError):
    """The request exceeds a limit of the KV service and was not sent."""


def check_writes(writes: Sequence[KvWrite]) -> None:
    """Check the writes of one transaction.

    Raises
    ------
    KvRequestInvalid
        If there are no writes or too many, a key is empty or duplicated, or a value is too long.
    """
    if not 1 <= len(writes) <= MAX_WRITES:
        raise KvRequestInvalid(f"{len(writes)} writes in one transaction")
    if len({write.key for write in writes}) < len(writes):
        raise KvRequestInvalid("duplicate key in one transaction")
    for write in writes:
        if not write.key:
            raise KvRequestInvalid("a key is empty")
        if write.value is not None and len(write.value) > MAX_VALUE_BYTES:
            raise KvRequestInvalid(f"{write.key}: {len(write.value)} bytes are too long")


def prefix_end(prefix: bytes) -> bytes:
    """Return the end of the key range of a prefix; a single null byte means no end."""
    trimmed = prefix.rstrip(b"\xff")
    return trimmed[:-1] + bytes([trimmed[-1] + 1]) if trimmed else b"\0"
