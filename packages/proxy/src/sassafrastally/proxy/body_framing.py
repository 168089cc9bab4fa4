"""How the end of a response's body is delimited on its connection."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import h11


BODILESS_STATUSES = frozenset({204, 304})
"""Statuses of responses that end with their header."""

OK_STATUS = 200


class BodyFraming(Enum):
    """What delimits the end of a body (RFC 9112, section 6.3)."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"
    """The body ends with its connection, so that a server that breaks off looks as if it had
    finished."""


def body_framing(response: h11.Response, method: bytes) -> BodyFraming:
    """Return how the body of the response to a request with a method is delimited."""
    if method == b"HEAD" or response.status_code in BODILESS_STATUSES:
        return BodyFraming.LENGTH
    names = {name for name, _ in response.headers}
    if b"transfer-encoding" in names:
        return BodyFraming.CHUNKS
    return BodyFraming.LENGTH if b"content-length" in names else BodyFraming.CLOSE


def requires_content(status: int, framing: BodyFraming) -> bool:
    """Return whether a body without a single byte is one that was broken off.

    A 200 has content unless its framing says that there is none (RFC 9110, section 15.3.1). Without
    that, a server that crashes between header and body looks like one that has finished.
    """
    return status == OK_STATUS and framing is BodyFraming.CLOSE
