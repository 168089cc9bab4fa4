"""Network interface, so that tests can run the real code over in-memory streams."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, NamedTuple, Protocol

import trio

from sassafrastally.core.accepting import Acceptor

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class Address(NamedTuple):
    """TCP endpoint with an IP address."""

    host: str
    """IP address, never a host name."""
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def is_ip_address(text: str) -> bool:
    """Return whether a text is an IP address, so that connecting to it needs no name service."""
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, text)
        except (OSError, ValueError):
            continue
        return True
    return False


class Network(Protocol):
    """Opens and accepts byte streams."""

    async def connect(self, address: Address) -> trio.abc.Stream:
        """Open a stream; raises `OSError` if the connection fails."""
        ...

    async def listen(
        self,
        address: Address,
        handler: Callable[[trio.abc.Stream], Awaitable[None]],
        nursery: trio.Nursery,
        on_shortage: Callable[[str], None] = lambda _: None,
    ) -> Address:
        """Accept streams in the nursery and return the bound address; port 0 picks a free port.

        `on_shortage` is called with the cause when resources for a connection are missing.
        """
        ...


class TcpNetwork:
    """`Network` implementation over trio's TCP streams."""

    async def connect(self, address: Address) -> trio.abc.Stream:
        """Open a TCP stream."""
        return await trio.open_tcp_stream(address.host, address.port)

    async def listen(
        self,
        address: Address,
        handler: Callable[[trio.abc.Stream], Awaitable[None]],
        nursery: trio.Nursery,
        on_shortage: Callable[[str], None] = lambda _: None,
    ) -> Address:
        """Accept TCP streams in the nursery."""
        listeners = await trio.open_tcp_listeners(address.port, host=address.host)
        name = listeners[0].socket.getsockname()
        nursery.start_soon(Acceptor(listeners[0], handler, on_shortage).run, nursery)
        return Address(name[0], name[1])
