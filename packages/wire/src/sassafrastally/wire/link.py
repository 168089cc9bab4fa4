"""Interfaces of links, the multiplexed connections between two processes."""

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
    """The link was cut: it is unknown whether the peer received the last messages."""


@error(2003)
class LinkRefused(CodedError):
    """No link was established: the peer didn't respond, or has another schema or no valid proof."""


@error(2004)
class StreamEnded(CodedError):
    """The peer has closed the stream and sends no more messages on it."""

    def __init__(self, message: str = "", peer_code: int = 0) -> None:
        super().__init__(message)
        self.peer_code = peer_code
        """Error code sent by the peer; 0 if the stream was closed normally."""


class PeerIdentity(NamedTuple):
    """Identity of a peer, authenticated by the handshake."""

    vm: str
    role: str
    data_centre: str
    incarnation: Incarnation


class Stream(Protocol):
    """Bidirectional message stream on a link; leaving its context closes it."""

    @property
    def peer(self) -> PeerIdentity:
        """Identity of the peer."""
        ...

    async def send(self, message: Message) -> None:
        """Send a message; a chunk waits for credit. Raises `LinkCut`, `StreamEnded`."""
        ...

    async def receive(self) -> Message:
        """Return the next message. Raises `LinkCut`, `StreamEnded`."""
        ...

    async def receive_ready(self) -> list[Message]:
        """Return the next message and all others already received; raises as `receive` does.

        A slow reader gets the whole backlog in one scheduler step.
        """
        ...

    def close(self, code: int = 0, reason: str = "") -> None:
        """Close the stream; the peer gets a code other than 0 if its work isn't accepted."""
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
        """Identity of the peer."""
        ...

    @property
    def is_up(self) -> bool:
        """Whether the link is up and can send."""
        ...

    def open_stream(self) -> Stream:
        """Open a stream; used as ``async with link.open_stream() as stream``."""
        ...

    async def call(self, message: Message) -> Message:
        """Send a message on a new stream and return the single response."""
        ...

    async def notify(self, message: Message) -> None:
        """Send a one-way notice."""
        ...


class Peers(Protocol):
    """The links of a process; interface of the service named ``peers``.

    `sassafrastally.wire.peers.PeerService` implements it.
    """

    def on_stream(
        self, kind: type[Message], handler: Callable[[Stream, Message], Awaitable[None]]
    ) -> None:
        """Register the handler of streams whose first message has a type; one task per stream."""
        ...

    def on_notice(
        self, kind: type[Message], handler: Callable[[PeerIdentity, Message], Awaitable[None]]
    ) -> None:
        """Register the handler of notices of a type."""
        ...

    def on_link(self, handler: Callable[[Link], Awaitable[None]]) -> None:
        """Register a handler for each new link, dialled or accepted."""
        ...

    async def link_to(self, vm: str, address: Address) -> Link:
        """Return the link to a VM, dialling if there is none. Raises `LinkRefused`."""
        ...

    def links(self) -> list[Link]:
        """Return the links that are up."""
        ...
