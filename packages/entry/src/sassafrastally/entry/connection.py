"""ASGI connection and request classes of the callers' HTTP server."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from quart_trio.asgi import TrioASGIHTTPConnection
from quart_trio.wrappers import TrioRequest

if TYPE_CHECKING:
    import trio
    from hypercorn.typing import ASGISendCallable


class EntryRequest(TrioRequest):
    """An HTTP request whose handler may keep contexts open until its response is sent."""

    stack: AsyncExitStack
    """Contexts that are closed after the last byte is sent, or on disconnect."""


class EntryConnection(TrioASGIHTTPConnection):
    """Serves one HTTP request; a disconnect of the caller cancels it."""

    async def handle_request(  # type: ignore[override]
        self, nursery: trio.Nursery, request: EntryRequest, send: ASGISendCallable
    ) -> None:
        """Run the handler and send its response, then close the handler's contexts."""
        async with AsyncExitStack() as stack:
            request.stack = stack
            await super().handle_request(nursery, request, send)
