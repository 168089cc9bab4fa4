"""Service that runs the HTTP server of the callers' interface, including its graceful shutdown."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar, NamedTuple

import trio

from sassafrastally.core import Service, event, time_limit
from sassafrastally.entry.asgi import AsgiServer, ServerBounds
from sassafrastally.entry.connection_log import ConnectionLog
from sassafrastally.entry.events import EntryDraining, HttpServerClosed
from sassafrastally.entry.path import RequestPath
from sassafrastally.entry.routes import Routes

if TYPE_CHECKING:
    from sassafrastally.core import Address
    from sassafrastally.entry.settings import EntrySettings, HttpSettings

CALLERS = "callers"
"""Name of the interface in events."""


@event(6011)
class HttpListening(NamedTuple):
    """The callers' interface accepts connections."""

    address: str


class HttpService(Service):
    """Serves the callers' interface over HTTP.

    Parameters
    ----------
    settings
        Settings of the HTTP server.
    entry_settings
        Settings of the entry, for the drain time.
    """

    name: ClassVar[str] = "http"
    needs: ClassVar[tuple[str, ...]] = ("path",)

    def __init__(self, settings: HttpSettings, entry_settings: EntrySettings) -> None:
        self._settings = settings
        self._entry_settings = entry_settings
        self._server: AsgiServer

    @property
    def bound_address(self) -> Address:
        """Address that the server is bound to; available after `start`."""
        return self._server.bound_address

    @property
    def _path(self) -> RequestPath:
        return self.kernel.get("path", RequestPath)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the HTTP server."""
        settings = self._settings
        bounds = ServerBounds(
            keep_alive_s=settings.keep_alive_s,
            unread_limit_s=settings.unsent_limit_s,
            backlog=settings.backlog,
        )
        app = Routes(self._path).make_app()
        log = ConnectionLog(self.kernel, CALLERS)
        self._server = AsgiServer(
            app,
            settings.listen_address,
            bounds,
            log.record_shortage,
            log.record_gave_way,
        )
        await nursery.start(self._server.run)
        self.kernel.events.emit(HttpListening(str(self.bound_address)))

    async def stop(self) -> None:
        """Drain, finish the requests in progress, then close.

        The entry reports not ready from the stop signal on, but the load balancer polls only at
        intervals. Requests that it sends before it has noticed are still served; refusing them
        would make them fail.
        """
        drain_s = self._entry_settings.drain_s
        self.kernel.events.emit(EntryDraining(self._path.open_requests, drain_s))
        self._server.drain()
        async with time_limit(trio.current_time() + drain_s):
            await self.kernel.hurrying.wait()
        await self._path.stop()
        closed = await self._server.close()
        self.kernel.events.emit(HttpServerClosed(CALLERS, *closed))
