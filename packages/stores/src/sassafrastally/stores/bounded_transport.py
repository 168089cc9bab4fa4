"""HTTP transport that bounds responses and lets other tasks run while it reads them."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import httpx
import trio

from sassafrastally.core.held_input import HeldInput
from sassafrastally.stores.http_connection import use_guarded_connections

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

use_guarded_connections()

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
"""Bound of a response, after decompression. The largest ones are a value of a megabyte in base64
and the state under a prefix, some hundreds of kilobytes at the target size. Parsed as JSON, a
response takes up to thirty times its size."""

MAX_HELD_BYTES = 4 * MAX_RESPONSE_BYTES
"""Bound of all responses of a transport that are being read."""

LINE_BOUND = "sassafrastally_line_bound"
"""Extension of a request whose response has lines without end; the bound is that of a line."""

MAX_READ_PIECES = 64
"""Number of pieces after which other tasks run. One read may hold ten thousand chunks of one byte,
which the library hands out without waiting."""

MAX_DECOMPRESSED_BYTES = 64 * 1024
"""Size of a piece of a decompressed response. A megabyte of zeros takes a kilobyte."""

_GZIP_WINDOW_BITS = zlib.MAX_WBITS | 16


class BoundedTransport(httpx.AsyncHTTPTransport):
    """Transport whose responses end with `httpx.ReadError` over a bound.

    Bounded responses are decompressed here: their bound counts the bytes that are kept.

    Parameters
    ----------
    max_bytes
        Bound of a response; ``None`` for responses that their reader bounds.
    limits
        Limits of the connection pool.
    max_held_bytes
        Bound of all responses that are being read together; beyond it the largest one ends.
    """

    def __init__(
        self,
        max_bytes: int | None = MAX_RESPONSE_BYTES,
        limits: httpx.Limits | None = None,
        max_held_bytes: int = MAX_HELD_BYTES,
    ) -> None:
        super().__init__(limits=limits or httpx.Limits(), trust_env=False)
        self._max_bytes = max_bytes
        self._held: HeldInput[_BoundedStream] = HeldInput(max_held_bytes)

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return its response."""
        if self._max_bytes is not None:
            request.headers["Accept-Encoding"] = "gzip"
        response = await super().handle_async_request(request)
        assert isinstance(response.stream, httpx.AsyncByteStream)
        stream: httpx.AsyncByteStream = _SteppedStream(response.stream)
        if self._max_bytes is None:
            response.stream = stream
            return response
        coding = response.headers.pop("Content-Encoding", "identity").strip().lower()
        if coding == "gzip":
            stream = _GunzippedStream(stream)
        elif coding != "identity":
            await stream.aclose()
            raise httpx.ReadError(f"the response has the content coding {coding[:20]!r}")
        is_by_line = LINE_BOUND in request.extensions
        bounded = _BoundedStream(stream, self._max_bytes, self._held, is_by_line=is_by_line)
        # Again, as one piece may be decompressed to a thousand.
        response.stream = _SteppedStream(bounded)
        return response


class _SteppedStream(httpx.AsyncByteStream):
    """A stream with turns of other tasks between its pieces."""

    def __init__(self, stream: httpx.AsyncByteStream) -> None:
        self._stream = stream

    async def __aiter__(self) -> AsyncIterator[bytes]:
        pieces = 0
        async for piece in self._stream:
            pieces += 1
            if pieces % MAX_READ_PIECES == 0:
                await trio.lowlevel.checkpoint()
            yield piece

    async def aclose(self) -> None:
        await self._stream.aclose()


class _GunzippedStream(httpx.AsyncByteStream):
    """A stream that is decompressed in pieces of a bounded size."""

    def __init__(self, stream: httpx.AsyncByteStream) -> None:
        self._stream = stream

    async def __aiter__(self) -> AsyncIterator[bytes]:
        decompressor = zlib.decompressobj(_GZIP_WINDOW_BITS)
        has_begun = False
        try:
            async for piece in self._stream:
                has_begun = True
                rest = piece
                while rest:
                    if decompressor.eof:
                        raise httpx.ReadError("the response goes on after its compressed content")
                    decompressed = decompressor.decompress(rest, MAX_DECOMPRESSED_BYTES)
                    rest = decompressor.unconsumed_tail or decompressor.unused_data
                    if decompressed:
                        yield decompressed
            yield decompressor.flush()
        except zlib.error as cause:
            raise httpx.ReadError(f"the response can't be decompressed: {cause}") from cause
        if has_begun and not decompressor.eof:
            raise httpx.ReadError("the compressed response ended early")

    async def aclose(self) -> None:
        await self._stream.aclose()


class _BoundedStream(httpx.AsyncByteStream):
    """A stream that ends over its bound, or when it has to give way to others."""

    def __init__(
        self,
        stream: httpx.AsyncByteStream,
        max_bytes: int,
        held: HeldInput[_BoundedStream],
        *,
        is_by_line: bool,
    ) -> None:
        self._stream = stream
        self._max_bytes = max_bytes
        self._held = held
        self._is_by_line = is_by_line
        self._is_ended = False
        self._read_scope = trio.CancelScope()

    async def __aiter__(self) -> AsyncIterator[bytes]:
        pieces = aiter(self._stream)
        read_bytes = 0
        while True:
            piece = await self._next(pieces)
            if piece is None:
                return
            read_bytes += len(piece)
            if self._is_by_line and b"\n" in piece:
                read_bytes = len(piece) - piece.rindex(b"\n")
            if read_bytes > self._max_bytes:
                raise httpx.ReadError(f"the response is over {self._max_bytes} bytes")
            for largest in self._held.hold(self, read_bytes):
                largest.end()
            yield piece

    async def _next(self, pieces: AsyncIterator[bytes]) -> bytes | None:
        """Return the next piece, ``None`` after the last one."""
        if not self._is_ended:
            with trio.CancelScope() as self._read_scope:
                return await anext(pieces, None)
        raise httpx.ReadError("too many bytes of responses were held")

    def end(self) -> None:
        """Stop reading."""
        self._is_ended = True
        self._read_scope.cancel()

    async def aclose(self) -> None:
        self._held.release(self)
        await self._stream.aclose()
