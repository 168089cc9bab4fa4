"""The answer to one request, as it goes to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.proxy.dialect import Headers
    from sassafrastally.proxy.http_stream import HttpStream

OMITTED = frozenset({b"connection", b"transfer-encoding", b"content-length"})
"""Fields that this connection sets for itself."""


class Reply:
    """Sends one answer on a caller's connection.

    Parameters
    ----------
    connection
        The caller's connection.
    is_last
        Asked when the header is sent: whether the connection ends after this answer.
    """

    def __init__(self, connection: HttpStream, is_last: Callable[[], bool]) -> None:
        self.has_begun = False
        self.has_ended = False
        self._connection = connection
        self._is_last = is_last

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send an answer whose body is known; raises `ConnectionLost`."""
        length = (b"content-length", str(len(body)).encode())
        response = self._response(status, [*_kept(headers), length])
        await self._connection.send(response, h11.Data(data=body), h11.EndOfMessage())
        self.has_ended = True

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the header of an answer whose length isn't known; raises `ConnectionLost`."""
        await self._connection.send(self._response(status, _kept(headers)))

    async def send(self, data: bytes) -> None:
        """Send a piece of the body; raises `ConnectionLost`."""
        await self._connection.send(h11.Data(data=data))

    async def end(self) -> None:
        """End the body; raises `ConnectionLost`."""
        await self._connection.send(h11.EndOfMessage())
        self.has_ended = True

    def _response(self, status: int, headers: Headers) -> h11.Response:
        self.has_begun = True
        if self._is_last():
            headers = [*headers, (b"connection", b"close")]
        return h11.Response(status_code=status, headers=headers)


def _kept(headers: Headers) -> Headers:
    return [(name, value) for name, value in headers if name not in OMITTED]
