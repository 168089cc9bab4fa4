"""Links between processes: one multiplexed connection for each pair."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sassafrastally.core import CodedError, error

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from types import TracebackType

    from sassafrastally.core import Address, Incarnation
    from sassafrastally.wire.messages import Message


@error(2002)
class LinkCut(CodedError):
    """The link is gone: whether the peer got what was sent last is not known."""


@error(2003)
class LinkRefused(CodedError):
    """No link came about: the peer doesn't answer, has another schema or no proof."""


@error(2004)
class StreamEnded(CodedError):
    """The peer has closed the stream; nothing more comes on it."""

    def __init__(self, message: str = "", peer_code: int = 0) -> None:
        super().__init__(message)
        self.peer_code = peer_code
        """Code of the error for which the peer closed it; 0 when it was done."""


class PeerIdentity(NamedTuple):
    """Who is at the other end of a link, proved by the handshake."""

    vm: str
    role: str
    data_centre: str
    incarnation: Incarnation


class Stream(Protocol):
    """One conversation on a link. Leaving its context closes it."""

    @property
    def peer(self) -> PeerIdentity:
        """The other end."""
        ...

    async def send(self, message: Message) -> None:
        """Send a message; a chunk waits for the peer's credit. Raises `LinkCut`, `StreamEnded`."""
        ...

    async def receive(self) -> Message:
        """Return the next message. Raises `LinkCut`, `StreamEnded`."""
        ...

    async def receive_ready(self) -> list[Message]:
        """Return the next message and all that are there behind it; raises as `receive` does.

        A reader that is behind takes them in one turn of the scheduler.
        """
        ...

    async def __aenter__(self) -> Stream: ...

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None: ...


class Link(Protocol):
    """A connection to a peer."""

    @property
    def peer(self) -> PeerIdentity:
        """The other end."""
        ...

    @property
    def is_up(self) -> bool:
        """Whether the link still stands."""
        ...

    def open_stream(self) -> Stream:
        """Open a stream; used as ``async with link.open_stream() as stream``."""
        ...

    async def call(self, message: Message) -> Message:
        """Send a message on a stream of its own and return the one answer."""
        ...

    async def notify(self, message: Message) -> None:
        """Send a notice that has no answer."""
        ...


class Peers(Protocol):
    """The links of a process; the service named ``peers`` offers this.

    `sassafrastally.wire.peers.PeerService` implements it.
    """

    def on_stream(
        self, kind: type[Message], handler: Callable[[Stream, Message], Awaitable[None]]
    ) -> None:
        """Register who serves streams that begin with a message of a type; one task a stream."""
        ...

    def on_notice(
        self, kind: type[Message], handler: Callable[[PeerIdentity, Message], Awaitable[None]]
    ) -> None:
        """Register who gets notices of a type."""
        ...

    def on_link(self, handler: Callable[[Link], Awaitable[None]]) -> None:
        """Register who is told of each new link, dialled or accepted."""
        ...

    async def link_to(self, vm: str, address: Address) -> Link:
        """Return the link to a VM, dialling when there is none. Raises `LinkRefused`."""
        ...

    def links(self) -> list[Link]:
        """Return the links that are up."""
        ...
