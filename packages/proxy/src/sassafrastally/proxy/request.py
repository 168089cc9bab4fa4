"""A caller's request as attempts send it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sassafrastally.proxy.dialect import Headers
    from sassafrastally.proxy.model import RequestMetadata


class Request(NamedTuple):
    """A caller's request with its complete body."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    facts: RequestMetadata
    arrived_s: float
    """When its first bytes were received."""
    complete_s: float = -math.inf
    """When it was read as a whole; some time before if that doesn't matter."""
