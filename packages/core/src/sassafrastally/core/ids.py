"""Identifiers that processes make without asking anyone."""

from __future__ import annotations

from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from random import Random

ID_BITS = 128

RequestId = NewType("RequestId", str)
"""Name of one request of a caller: 32 hexadecimal digits."""

Incarnation = NewType("Incarnation", str)
"""Name of one life of a process: 32 hexadecimal digits, new at each start."""


def new_request_id(random: Random) -> RequestId:
    """Return a fresh request id."""
    return RequestId(f"{random.getrandbits(ID_BITS):032x}")


def new_incarnation(random: Random) -> Incarnation:
    """Return a fresh incarnation."""
    return Incarnation(f"{random.getrandbits(ID_BITS):032x}")
