"""A backend server's response with its complete body."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

# Runtime import: BodyFraming is a field type of a named tuple.
from sassafrastally.proxy.body_framing import BodyFraming

if TYPE_CHECKING:
    from sassafrastally.proxy.dialect import Headers


class BufferedResponse(NamedTuple):
    """A backend server's response with its complete body."""

    status: int
    headers: Headers
    body: bytes
    server_id: str
    framing: BodyFraming
