"""How the HTTP server runs one request of a caller."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import trio
from quart_trio.asgi import TrioASGIHTTPConnection
from quart_trio.wrappers import TrioRequest

if TYPE_CHECKING:
    from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable

LAST_SEND_LIMIT_S = 60.0
"""Bound of the shield round the end of an answer."""


class EntryRequest(TrioRequest):
    """An HTTP request whose handler may hold contexts until its answer is sent."""

    stack: AsyncExitStack
    """Contexts that are left after the last byte, or when the caller is gone."""


class EntryConnection(TrioASGIHTTPConnection):
    """Serves one HTTP request: the caller's disconnect cancels it."""

    async def __call__(self, receive: ASGIReceiveCallable, send: ASGISendCallable) -> None:
        """Handle the request and its messages in one nursery."""

        async def send_whole(message: Any) -> None:
            # Hypercorn closes a connection that asked for it within the send of the answer's last
            # part. Before that it reports a disconnect, on which the request's tasks are
            # cancelled, the sending one among them: the close is abandoned half-way, and a client
            # that reads to the end of the connection waits for ever. Under the shield the last
            # send runs to its end, close included.
            is_last = message["type"] == "http.response.body" and not message.get("more_body")
            if not is_last:
                await send(message)
                return
            with trio.move_on_after(LAST_SEND_LIMIT_S, shield=True):
                await send(message)

        await super().__call__(receive, send_whole)

    async def handle_request(  # type: ignore[override]
        self, nursery: trio.Nursery, request: EntryRequest, send: ASGISendCallable
    ) -> None:
        """Run the handler and send its answer while the handler's contexts last."""
        async with AsyncExitStack() as stack:
            request.stack = stack
            await super().handle_request(nursery, request, send)
