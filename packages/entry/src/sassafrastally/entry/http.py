"""The HTTP server of the callers' interface, from the first connection to the last."""

from __future__ import annotations

import socket
from functools import partial
from typing import TYPE_CHECKING, ClassVar, NamedTuple

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from sassafrastally.core import Address, Service, event
from sassafrastally.entry.events import EntryDraining
from sassafrastally.entry.path import RequestPath
from sassafrastally.entry.routes import Routes

if TYPE_CHECKING:
    from sassafrastally.entry.settings import EntrySettings, HttpSettings

CLOSE_LIMIT_S = 5.0
"""What the server waits for connections to close after the last answer."""

_MS = 1000


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
        self._close = trio.Event()
        self._closed = trio.Event()
        self._bound_address: Address

    @property
    def bound_address(self) -> Address:
        """Address at which callers are accepted; known after the start."""
        return self._bound_address

    @property
    def _path(self) -> RequestPath:
        return self.kernel.get("path", RequestPath)

    async def start(self, nursery: trio.Nursery) -> None:
        """Accept callers."""
        bound = _bind(self._settings)
        name = bound.getsockname()
        self._bound_address = Address(name[0], name[1])
        app = Routes(self._path).make_app()
        config = Config()
        config.bind = [f"fd://{bound.detach()}"]
        config.backlog = self._settings.backlog
        config.keep_alive_timeout = self._settings.keep_alive_s
        config.graceful_timeout = CLOSE_LIMIT_S
        config.include_server_header = False
        config.loglevel = "WARNING"
        await nursery.start(partial(self._serve, app, config))
        self.kernel.events.emit(HttpListening(str(self._bound_address)))

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
        self._close.set()
        await self._closed.wait()

    async def _serve(
        self,
        app: object,
        config: Config,
        *,
        task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        try:
            await serve(
                app,  # type: ignore[arg-type]
                config,
                shutdown_trigger=self._close.wait,
                task_status=task_status,
                mode="asgi",
            )
        finally:
            self._closed.set()


def _bind(settings: HttpSettings) -> socket.socket:
    address = settings.listen_address
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # Hypercorn shields its sends, so no time limit of ours ends one to a caller that takes no
    # bytes; such a connection would stay for ever and keep the process from ending. The kernel
    # cuts it instead; accepted connections inherit the option.
    unsent_ms = int(settings.unsent_limit_s * _MS)
    bound.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unsent_ms)
    bound.bind((address.host, address.port))
    return bound
