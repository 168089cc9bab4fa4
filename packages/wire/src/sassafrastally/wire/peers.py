"""Service that manages the links to all peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import trio

from sassafrastally.core import CodedError, LogRate, Service, error
from sassafrastally.wire.events import (
    LINKS_UP,
    HandshakeRefused,
    HandshakesTurnedAway,
    LinkDown,
    LinkUp,
    PeerHandlerFailed,
    PeersListening,
    PeersUnaccepted,
    StreamFailed,
)
from sassafrastally.wire.handshake import Handshake
from sassafrastally.wire.link import LinkCut, LinkRefused, PeerIdentity, StreamEnded
from sassafrastally.wire.mux import FIRST_ACCEPTED_STREAM_ID, FIRST_DIALLED_STREAM_ID, MuxLink
from sassafrastally.wire.settings import check_peer_settings
from sassafrastally.wire.tls import tls_contexts, wrap_accepted, wrap_dialled

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sassafrastally.core import Address, Network
    from sassafrastally.wire.link import Link, Stream
    from sassafrastally.wire.messages import Message
    from sassafrastally.wire.settings import PeerSettings
    from sassafrastally.wire.streams import MuxStream

    StreamHandler = Callable[[Stream, Message], Awaitable[None]]
    NoticeHandler = Callable[[PeerIdentity, Message], Awaitable[None]]
    LinkHandler = Callable[[Link], Awaitable[None]]

MAX_PENDING_HANDSHAKES = 1024
"""Maximum number of unauthenticated connections; further ones are closed immediately."""


@error(2008)
class NoHandler(CodedError):
    """No handler is registered for the first message of the stream; nothing was executed."""


@error(2009)
class PeersStopping(CodedError):
    """The process is stopping and accepts no new streams; nothing was executed."""


class _Dial:
    """Dial in progress, shared by all tasks that wait for the same VM."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.link: MuxLink | None = None
        self.refusal = ""


class PeerService(Service):
    """Manages links to other processes; implements `sassafrastally.wire.link.Peers`.

    Parameters
    ----------
    settings
        Addresses, secret, timeouts and limits.
    network
        Network that opens and accepts connections.
    role
        Role of the process, sent to peers.

    Raises
    ------
    PeerSettingsError
        If the settings are invalid.
    """

    name: ClassVar[str] = "peers"

    def __init__(self, settings: PeerSettings, network: Network, role: str = "") -> None:
        check_peer_settings(settings)
        self._settings = settings
        self._network = network
        self._role = role
        self._tls = tls_contexts(settings)
        self._stream_handlers: dict[type[Message], StreamHandler] = {}
        self._notice_handlers: dict[type[Message], NoticeHandler] = {}
        self._link_handlers: list[LinkHandler] = []
        self._links: dict[str, list[MuxLink]] = {}
        self._dials: dict[tuple[str, Address], _Dial] = {}
        self._pending_handshakes = 0
        self._is_stopping = False
        self._log_rate = LogRate()
        self._nursery: trio.Nursery
        self._identity: PeerIdentity
        self._bound_address: Address

    @property
    def bound_address(self) -> Address:
        """Listen address for peers; available after the start."""
        return self._bound_address

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to accept connections from peers."""
        kernel = self.kernel
        self._nursery = nursery
        self._identity = PeerIdentity(kernel.vm, self._role, kernel.data_centre, kernel.incarnation)
        self._bound_address = await self._network.listen(
            self._settings.listen_address, self._accept, nursery, self._on_shortage
        )
        kernel.events.emit(PeersListening(str(self._bound_address)))

    async def stop(self) -> None:
        """Wait for open streams to end within the time limit, then close the links."""
        self._is_stopping = True
        async with trio.open_nursery() as nursery:
            for link in self._links_not_cut():
                nursery.start_soon(link.close, self._settings.stop_time_limit_s)

    def on_stream(self, kind: type[Message], handler: StreamHandler) -> None:
        """Register the handler of streams whose first message has a type; one task per stream."""
        if kind in self._stream_handlers:
            raise ValueError(f"streams of {kind.__name__} already have a handler")
        self._stream_handlers[kind] = handler

    def on_notice(self, kind: type[Message], handler: NoticeHandler) -> None:
        """Register the handler of notices of a type."""
        if kind in self._notice_handlers:
            raise ValueError(f"notices of {kind.__name__} already have a handler")
        self._notice_handlers[kind] = handler

    def on_link(self, handler: LinkHandler) -> None:
        """Register a handler for links, called for each existing and each new link."""
        self._link_handlers.append(handler)
        for link in self._all_links():
            self._nursery.start_soon(self._call_link_handler, handler, link)

    async def link_to(self, vm: str, address: Address) -> Link:
        """Return the link to a VM, dialling if there is none.

        All callers during a dial share its outcome; dialling one after the other, each would wait
        a full time limit for a dead VM. The dial continues if the caller that started it is
        cancelled.

        Raises
        ------
        LinkRefused
            If the VM doesn't respond or the handshake fails.
        """
        await trio.lowlevel.checkpoint()
        for link in reversed(self._links.get(vm, [])):
            if link.is_up:
                return link
        if self._is_stopping:
            raise LinkRefused("this process stops")
        dial = self._dials.get((vm, address))
        if dial is None:
            dial = self._dials[vm, address] = _Dial()
            self._nursery.start_soon(self._dial, vm, address, dial)
        await dial.done.wait()
        if dial.link is None:
            raise LinkRefused(dial.refusal)
        return dial.link

    def links(self) -> list[Link]:
        """Return the links that are up."""
        return list(self._all_links())

    def _all_links(self) -> list[MuxLink]:
        return [link for link in self._links_not_cut() if link.is_up]

    def _links_not_cut(self) -> list[MuxLink]:
        """Return the links that are up, and those that only receive what has arrived."""
        return [link for links in self._links.values() for link in links if not link.is_cut]

    async def _dial(self, vm: str, address: Address, dial: _Dial) -> None:
        stream: trio.abc.Stream | None = None
        try:
            with trio.move_on_after(self._settings.handshake_time_limit_s):
                stream = wrap_dialled(await self._network.connect(address), self._tls)
                handshake = self._handshake(stream)
                peer = await handshake.dial(vm)
                dial.link = self._make_link(stream, handshake, peer, FIRST_DIALLED_STREAM_ID)
            if dial.link is None:
                raise LinkRefused(f"no answer in {self._settings.handshake_time_limit_s:g} s")
        except (LinkRefused, OSError) as cause:
            dial.refusal = f"{vm} at {address}: {_detail(cause)}"
            self._log_refused("dialled", vm, dial.refusal)
        finally:
            del self._dials[vm, address]
            if dial.link is not None:
                self._add_link(dial.link, "dialled")
            dial.done.set()
            if dial.link is None and stream is not None:
                await trio.aclose_forcefully(stream)
        if dial.link is not None:
            await self._run_link(dial.link)

    async def _accept(self, connection: trio.abc.Stream) -> None:
        reason = ""
        if self._is_stopping:
            reason = "the process stops"
        elif self._pending_handshakes >= MAX_PENDING_HANDSHAKES:
            reason = "too many handshakes are in progress"
        if reason:
            if count := self._log_rate.count(reason, self.kernel.clock.now_s()):
                self.kernel.events.emit(HandshakesTurnedAway(reason, count))
            await trio.aclose_forcefully(connection)
            return
        link: MuxLink | None = None
        self._pending_handshakes += 1
        try:
            with trio.move_on_after(self._settings.handshake_time_limit_s):
                stream = wrap_accepted(connection, self._tls)
                handshake = self._handshake(stream)
                peer = await handshake.accept()
                link = self._make_link(stream, handshake, peer, FIRST_ACCEPTED_STREAM_ID)
            if link is None:
                raise LinkRefused(f"no proof in {self._settings.handshake_time_limit_s:g} s")
        except LinkRefused as refusal:
            self._log_refused("accepted", "", refusal.detail)
            await trio.aclose_forcefully(connection)
            return
        finally:
            self._pending_handshakes -= 1
        self._add_link(link, "accepted")
        await self._run_link(link)

    def _on_shortage(self, cause: str) -> None:
        if count := self._log_rate.count("shortage", self.kernel.clock.now_s()):
            self.kernel.events.emit(PeersUnaccepted(cause, count))

    def _log_refused(self, direction: str, vm: str, reason: str) -> None:
        # By direction and VM only: a stranger chooses what the reason says.
        if count := self._log_rate.count((direction, vm), self.kernel.clock.now_s()):
            self.kernel.events.emit(HandshakeRefused(direction, vm, reason, count))

    def _handshake(self, stream: trio.abc.Stream) -> Handshake:
        kernel = self.kernel
        secret = self._settings.link_secret
        return Handshake(stream, self._identity, secret, kernel.random, kernel.events.hybrid)

    def _make_link(
        self,
        stream: trio.abc.Stream,
        handshake: Handshake,
        peer: PeerIdentity,
        first_stream_id: int,
    ) -> MuxLink:
        return MuxLink(
            stream,
            handshake.reader,
            peer,
            first_stream_id,
            self._settings,
            self.kernel.events,
            self._on_stream_opened,
            self._on_notice,
        )

    def _add_link(self, link: MuxLink, direction: str) -> None:
        self._links.setdefault(link.peer.vm, []).append(link)
        LINKS_UP.add(1)
        self.kernel.events.emit(LinkUp(link.peer.vm, link.peer.incarnation, direction))
        for handler in self._link_handlers:
            self._nursery.start_soon(self._call_link_handler, handler, link)

    async def _run_link(self, link: MuxLink) -> None:
        peer = link.peer
        try:
            await link.run()
        finally:
            self._links[peer.vm].remove(link)
            if not self._links[peer.vm]:
                del self._links[peer.vm]
            LINKS_UP.add(-1)
            self.kernel.events.emit(LinkDown(peer.vm, peer.incarnation, link.cut_reason))

    def _on_stream_opened(self, stream: MuxStream, kind: type[Message]) -> None:
        if self._is_stopping:
            stream.close(PeersStopping.code, "the process stops")
        elif handler := self._stream_handlers.get(kind):
            self._nursery.start_soon(self._serve_stream, handler, stream)
        else:
            stream.close(NoHandler.code, f"no handler for {kind.__name__}")

    async def _serve_stream(self, handler: StreamHandler, stream: MuxStream) -> None:
        async with stream:
            try:
                await handler(stream, await stream.receive())
            except* (LinkCut, StreamEnded):
                pass  # The link is down, which has its own event, or the peer closed the stream.
            except* CodedError as group:
                cause = _first_coded_error(group)
                self.kernel.events.emit(StreamFailed(stream.peer.vm, cause.code, cause.detail))
                stream.close(cause.code, cause.detail)

    async def _on_notice(self, peer: PeerIdentity, message: Message) -> None:
        handler = self._notice_handlers.get(type(message))
        if handler is None:
            return
        try:
            await handler(peer, message)
        except* CodedError as group:
            self._emit_handler_failed(peer, group)

    async def _call_link_handler(self, handler: LinkHandler, link: MuxLink) -> None:
        try:
            await handler(link)
        except* LinkCut:
            pass  # Reported by the LinkDown event.
        except* CodedError as group:
            self._emit_handler_failed(link.peer, group)

    def _emit_handler_failed(
        self, peer: PeerIdentity, group: BaseExceptionGroup[CodedError]
    ) -> None:
        cause = _first_coded_error(group)
        self.kernel.events.emit(PeerHandlerFailed(peer.vm, cause.code, cause.detail))


def _first_coded_error(group: BaseExceptionGroup[CodedError]) -> CodedError:
    """Return the first error of a group; handlers that use nurseries raise groups."""
    first: BaseException = group
    while isinstance(first, BaseExceptionGroup):
        first = first.exceptions[0]
    assert isinstance(first, CodedError)
    return first


def _detail(cause: LinkRefused | OSError) -> str:
    return cause.detail if isinstance(cause, LinkRefused) else str(cause)
