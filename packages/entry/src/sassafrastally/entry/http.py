"""The HTTP server of the callers' interface, from the first connection to the last."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar, NamedTuple

import trio

from sassafrastally.core import Service, event
from sassafrastally.entry.asgi import AsgiServer, ServerBounds
from sassafrastally.entry.events import EntryDraining
from sassafrastally.entry.path import RequestPath
from sassafrastally.entry.routes import Routes

if TYPE_CHECKING:
    from sassafrastally.core import Address
    from sassafrastally.entry.settings import EntrySettings, HttpSettings


@event(6011)
class HttpListening(NamedTuple):
    """Callers are accepted."""

    address: str


class HttpService(Service):
    """Serves the callers' interface over HTTP.

    Parameters
    ----------
    settings
        Where and how to listen.
    entry_settings
        How long to drain.
    """

    name: ClassVar[str] = "http"
    needs: ClassVar[tuple[str, ...]] = ("path",)

    def __init__(self, settings: HttpSettings, entry_settings: EntrySettings) -> None:
        self._settings = settings
        self._entry_settings = entry_settings
        self._server: AsgiServer

    @property
    def bound_address(self) -> Address:
        """Address at which callers are accepted; known after the start."""
        return self._server.bound_address

    @property
    def _path(self) -> RequestPath:
        return self.kernel.get("path", RequestPath)

    async def start(self, nursery: trio.Nursery) -> None:
        """Accept callers."""
        settings = self._settings
        bounds = ServerBounds(
            keep_alive_s=settings.keep_alive_s,
            unread_limit_s=settings.unsent_limit_s,
            backlog=settings.backlog,
        )
        app = Routes(self._path).make_app()
        self._server = AsgiServer(app, settings.listen_address, bounds)
        await nursery.start(self._server.run)
        self.kernel.events.emit(HttpListening(str(self.bound_address)))

    async def stop(self) -> None:
        """Let the balancer turn away, finish what is in progress, then close.

        The entry isn't ready from the signal on, but a balancer asks only now and then: until it
        has seen that, requests still come and are served, for refusing them would cut them off.
        """
        drain_s = self._entry_settings.drain_s
        self.kernel.events.emit(EntryDraining(self._path.open_requests, drain_s))
        with trio.move_on_after(drain_s):
            await self.kernel.hurrying.wait()
        await self._path.stop()
        await self._server.close()
