"""HTTP/1.1 connections for httpx that carry nothing from one response to the next.

httpcore reads the next response from what a server has sent beyond the last one.
"""

from __future__ import annotations

from typing import Any

from httpcore._async import connection
from httpcore._async.http11 import AsyncHTTP11Connection


class GuardedConnection(AsyncHTTP11Connection):
    """Connection that ends if its server sends more than one response to a request."""

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
    if used not in (AsyncHTTP11Connection, GuardedConnection) or not hasattr(
        AsyncHTTP11Connection, "_response_closed"
    ):
        raise RuntimeError("this release of httpcore builds its connections in another way")
    module.AsyncHTTP11Connection = GuardedConnection
