"""The response to one request, as sent to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.proxy.dialect import Headers
    from sassafrastally.proxy.http_stream import HttpStream

CONNECTION_HEADERS = frozenset({b"connection", b"transfer-encoding", b"content-length"})
"""Hop-by-hop and framing fields, which are set for the caller's connection and not forwarded."""


class Reply:
    """Sends one response on a caller's connection.

    Parameters
    ----------
    connection
        The caller's connection.
    is_last
        Called when the header is sent; returns whether to close the connection after this response.
    """

    def __init__(self, connection: HttpStream, is_last: Callable[[], bool]) -> None:
        self.has_begun = False
        self.has_ended = False
        self._connection = connection
        self._is_last = is_last

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a response with a complete body; raises `ConnectionLost`."""
        length = (b"content-length", str(len(body)).encode())
        response = self._response(status, [*_end_to_end_headers(headers), length])
        await self._connection.send(response, h11.Data(data=body), h11.EndOfMessage())
        self.has_ended = True

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the header of a response of unknown length; raises `ConnectionLost`."""
        await self._connection.send(self._response(status, _end_to_end_headers(headers)))

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body; raises `ConnectionLost`."""
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


def _end_to_end_headers(headers: Headers) -> Headers:
    return [(name, value) for name, value in headers if name not in CONNECTION_HEADERS]
