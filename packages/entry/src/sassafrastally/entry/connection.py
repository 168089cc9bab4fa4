"""How the HTTP server runs one request of a caller."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from quart_trio.asgi import TrioASGIHTTPConnection
from quart_trio.wrappers import TrioRequest

if TYPE_CHECKING:
    import trio
    from hypercorn.typing import ASGISendCallable


class EntryRequest(TrioRequest):
    """An HTTP request whose handler may hold contexts until its answer is sent."""

    stack: AsyncExitStack
    """Contexts that are left after the last byte, or when the caller is gone."""


class EntryConnection(TrioASGIHTTPConnection):
    """Serves one HTTP request: the caller's disconnect cancels it."""

    async def handle_request(  # type: ignore[override]
        self, nursery: trio.Nursery, request: EntryRequest, send: ASGISendCallable
    ) -> None:
        """Run the handler and send its answer while the handler's contexts last."""
        async with AsyncExitStack() as stack:
            request.stack = stack
            await super().handle_request(nursery, request, send)
