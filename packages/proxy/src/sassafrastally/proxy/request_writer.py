"""Writes requests to backend servers: long ones while their responses are read.

A server may respond before it has read a long request, and then read no more of it. An entry that
writes first and reads then would find the response after the connection has timed out.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.exception_groups import raise_first
from sassafrastally.proxy.http_stream import ConnectionLost

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sassafrastally.proxy.http_stream import HttpStream

LONG_REQUEST_BYTES = 16_384
"""Size up to which the socket of a connection takes a request at once, by the system's default."""


class RequestWriter:
    """Writes the request of one attempt.

    Parameters
    ----------
    connection
        Connection to the backend server.
    nursery
        Runs the write of what the socket doesn't take at once; ``None`` to wait for it.
    """

    def __init__(self, connection: HttpStream, nursery: trio.Nursery | None = None) -> None:
        self._connection = connection
        self._nursery = nursery

    async def send(self, data: bytes) -> None:
        """Write a request, or begin to.

        Raises
        ------
        ConnectionLost
            If the connection is reset at once. Later, `HttpStream.require_delivered` tells.
        """
        if self._nursery is None:
            await self._connection.send_bytes(data)
            return
        if rest := await self._connection.begin_write(data):
            self._nursery.start_soon(self._write, rest)

    async def _write(self, data: memoryview) -> None:
        try:
            await self._connection.send_bytes(data)
        except ConnectionLost:
            # What the server has sent before the reset is still read.
            pass
        finally:
            self._connection.end_write()


@asynccontextmanager
async def open_writer(connection: HttpStream, request_bytes: int) -> AsyncIterator[RequestWriter]:
    """Yield the writer of a request; what isn't written at the end of the block never is.

    Parameters
    ----------
    connection
        Connection to the backend server.
    request_bytes
        Size of the request's body.
    """
    if request_bytes <= LONG_REQUEST_BYTES:
        yield RequestWriter(connection)
        return
    try:
        async with trio.open_nursery() as nursery:
            yield RequestWriter(connection, nursery)
            nursery.cancel_scope.cancel()
    except BaseExceptionGroup as errors:
        # Who waits for a cancellation or a failed attempt doesn't look into groups.
        raise_first(errors)
