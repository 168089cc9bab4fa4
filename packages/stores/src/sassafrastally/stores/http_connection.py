"""HTTP/1.1 connections for httpx that carry nothing from one response to the next.

httpcore reads the next response from what a server has sent beyond the last one, and any number of
interim responses without letting other tasks run. It takes any number of three digits for a status.
It reads a response although its request can't be written or hasn't arrived, and takes the end of
the connection for that of a body without length and chunks.
"""

from __future__ import annotations

from typing import Any

import h11
from httpcore import RemoteProtocolError, WriteError
from httpcore._async import connection
from httpcore._async.http11 import AsyncHTTP11Connection

from sassafrastally.core import is_final_status, stream_end

MAX_INTERIM_RESPONSES = 16
"""Bound of the 1xx responses before a response. Servers send one or two."""


class GuardedConnection(AsyncHTTP11Connection):
    """Connection that ends if its server sends a second response, or resets it in a response."""

    MAX_INCOMPLETE_EVENT_SIZE = 32 * 1024

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._interim_responses = 0
        self._has_failed_write = False

    async def _send_event(self, event: h11.Event, timeout: float | None = None) -> None:
        try:
            await super()._send_event(event, timeout)
        except WriteError:
            self._has_failed_write = True
            raise

    async def _receive_event(self, timeout: float | None = None) -> Any:
        event = await super()._receive_event(timeout)
        if isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                raise RemoteProtocolError("too many interim responses")
        elif isinstance(event, h11.Response):
            self._interim_responses = 0
            if not is_final_status(event.status_code):
                raise RemoteProtocolError(f"{event.status_code} is not the status of a response")
        elif isinstance(event, h11.EndOfMessage):
            self._check_end()
        return event

    def _check_end(self) -> None:
        """Check that a response which ends with its connection has come whole.

        Raises
        ------
        RemoteProtocolError
            If the connection was reset, or the server ended it before it had the request.
        """
        _, has_read_end = self._h11_state.trailing_data
        if not has_read_end:
            return
        # The OS reports a reset once, here to the write; reads then end as after a close.
        if self._has_failed_write:
            raise RemoteProtocolError("connection reset before the end of the response")
        end = stream_end(self._network_stream.get_extra_info("socket"))
        if not end.is_regular:
            raise RemoteProtocolError(f"connection ended while the request was being sent: {end}")

    async def _response_closed(self) -> None:
        unread, _ = self._h11_state.trailing_data
        if unread:
            await self.aclose()
        else:
            await super()._response_closed()


def use_guarded_connections() -> None:
    """Make httpx use these connections in this process.

    Raises
    ------
    RuntimeError
        If this release of httpcore is built in another way.
    """
    module: Any = connection
    used = module.AsyncHTTP11Connection
    if used not in (AsyncHTTP11Connection, GuardedConnection) or not all(
        hasattr(AsyncHTTP11Connection, name)
        for name in (
            "_send_event",
            "_receive_event",
            "_response_closed",
            "MAX_INCOMPLETE_EVENT_SIZE",
        )
    ):
        raise RuntimeError("this release of httpcore builds its connections in another way")
    module.AsyncHTTP11Connection = GuardedConnection
