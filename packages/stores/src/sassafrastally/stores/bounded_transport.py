"""HTTP transport that bounds responses and lets other tasks run while it reads them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import trio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Bound of a response: what the gateway's services send at most is the state under a prefix, some
megabytes."""

LINE_BOUND = "sassafrastally_line_bound"
"""Extension of a request whose response has lines without end; the bound is that of a line."""

MAX_READ_PIECES = 64
"""Number of pieces after which other tasks run. One read may hold ten thousand chunks of one byte,
which the library hands out without waiting."""


class BoundedTransport(httpx.AsyncHTTPTransport):
    """Transport whose responses end with `httpx.ReadError` over a bound.

    Parameters
    ----------
    max_bytes
        Bound of a response; ``None`` for responses that their reader bounds.
    limits
        Limits of the connection pool.
    """

    def __init__(
        self,
        max_bytes: int | None = MAX_RESPONSE_BYTES,
        limits: httpx.Limits | None = None,
    ) -> None:
        super().__init__(limits=limits or httpx.Limits(), trust_env=False)
        self._max_bytes = max_bytes

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return its response."""
        response = await super().handle_async_request(request)
        assert isinstance(response.stream, httpx.AsyncByteStream)
        is_by_line = LINE_BOUND in request.extensions
        response.stream = _BoundedStream(response.stream, self._max_bytes, is_by_line=is_by_line)
        return response


class _BoundedStream(httpx.AsyncByteStream):
    def __init__(
        self, stream: httpx.AsyncByteStream, max_bytes: int | None, *, is_by_line: bool
    ) -> None:
        self._stream = stream
        self._max_bytes = max_bytes
        self._is_by_line = is_by_line

    async def __aiter__(self) -> AsyncIterator[bytes]:
        read_bytes = pieces = 0
        async for piece in self._stream:
            read_bytes += len(piece)
            if self._is_by_line and b"\n" in piece:
                read_bytes = len(piece) - piece.rindex(b"\n")
            if self._max_bytes is not None and read_bytes > self._max_bytes:
                raise httpx.ReadError(f"the response is over {self._max_bytes} bytes")
            pieces += 1
            if pieces % MAX_READ_PIECES == 0:
                await trio.lowlevel.checkpoint()
            yield piece

    async def aclose(self) -> None:
        await self._stream.aclose()
