"""Identifiers that a process generates without coordination."""

from __future__ import annotations

from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from random import Random

ID_BITS = 128

RequestId = NewType("RequestId", str)
"""Identifier of a caller's request: 32 hexadecimal digits."""

Incarnation = NewType("Incarnation", str)
"""Identifier of one run of a process: 32 hexadecimal digits, generated at each start."""


def new_request_id(random: Random) -> RequestId:
    """Return a new request id."""
    return RequestId(f"{random.getrandbits(ID_BITS):032x}")


def new_incarnation(random: Random) -> Incarnation:
    """Return a new incarnation."""
    return Incarnation(f"{random.getrandbits(ID_BITS):032x}")
