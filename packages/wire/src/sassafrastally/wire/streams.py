"""Streams of a link, with credit-based flow control for chunks and limits for other messages."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple, Protocol

import trio

from sassafrastally.core import CodedError, error
from sassafrastally.wire.codec import BadFrame
from sassafrastally.wire.link import LinkCut, StreamEnded
from sassafrastally.wire.messages import MAX_CHUNK_BYTES, Chunk, Credit, StreamClosed
from sassafrastally.wire.settings import CHUNK_OVERHEAD_BYTES

if TYPE_CHECKING:
    from types import TracebackType

    from sassafrastally.wire.framing import FrameWriter
    from sassafrastally.wire.link import PeerIdentity
    from sassafrastally.wire.messages import Message

MAX_UNREAD_MESSAGES = 64
"""Maximum number of unread messages other than chunks in a stream."""

MAX_UNREAD_BYTES = 1024 * 1024
"""Maximum size of unread messages other than chunks in a stream."""

MAX_CHUNK_COST_BYTES = MAX_CHUNK_BYTES + CHUNK_OVERHEAD_BYTES
"""Credit charged for the longest chunk."""

CREDIT_RETURNS_PER_WINDOW = 4
"""Credit is returned each time this fraction (1/4) of the window has been read."""


@error(2006)
class FlowViolation(CodedError):
    """The peer exceeded the flow-control limits of a stream."""


@error(2007)
class TooManyStreams(CodedError):
    """The link has reached its limit of open streams; nothing of the new stream was executed."""


class StreamOwner(Protocol):
    """Interface of the link that a stream uses."""

    peer: PeerIdentity
    writer: FrameWriter
    window_bytes: int

    def assign_stream_id(self, stream: MuxStream) -> None:
        """Assign an id to a stream. Raises `TooManyStreams`."""
        ...

    def put(self, stream_id: int, message: Message) -> None:
        """Queue a message."""
        ...

    def put_control(self, stream_id: int, message: Message) -> None:
        """Queue a message without waiting for room."""
        ...

    def remove_stream(self, stream: MuxStream) -> None:
        """Remove a closed stream from the link."""
        ...


class _Unread(NamedTuple):
    message: Message
    cost_bytes: int


def chunk_cost_bytes(chunk: Chunk) -> int:
    """Return the credit charged for a chunk."""
    return len(chunk.data) + CHUNK_OVERHEAD_BYTES


class MuxStream:
    """A stream of a `MuxLink`; implements `sassafrastally.wire.link.Stream`.

    Parameters
    ----------
    link
        Link of the stream.
    stream_id
        Id of the stream; 0 until the first message is sent on a stream opened by this end.
    credit_bytes
        Initial credit granted by the peer.
    """

    def __init__(self, link: StreamOwner, stream_id: int, credit_bytes: int) -> None:
        self.stream_id = stream_id
        self._link = link
        self._credit_bytes = credit_bytes
        self._inbox: deque[_Unread] = deque()
        self._unread_chunk_bytes = 0
        self._unread_messages = 0
        self._unread_message_bytes = 0
        self._unreturned_credit_bytes = 0
        self._changed = trio.lowlevel.ParkingLot()
        self._end: LinkCut | StreamEnded | None = None
        self._is_closed = False

    @property
    def peer(self) -> PeerIdentity:
        """Identity of the peer."""
        return self._link.peer

    async def send(self, message: Message) -> None:
        """Send a message; a chunk waits for credit.

        Raises
        ------
        LinkCut
            If the link was cut.
        StreamEnded
            If the peer has closed the stream.
        BadFrame
            If the message exceeds a limit.
        """
        cost = chunk_cost_bytes(message) if isinstance(message, Chunk) else 0
        if cost > MAX_CHUNK_COST_BYTES:
            raise BadFrame(f"a chunk that costs {cost} bytes is over {MAX_CHUNK_COST_BYTES}")
        await self._link.writer.wait_writable()
        while self._is_open() and cost > self._credit_bytes:
            await self._changed.park()
            await self._link.writer.wait_writable()
        self._raise_if_ended()
        if not self.stream_id:
            # The id is assigned with the first frame, so ids reach the peer in increasing order and
            # an unknown lower id always belongs to a closed stream.
            self._link.assign_stream_id(self)
        self._credit_bytes -= cost
        self._link.put(self.stream_id, message)

    async def receive_ready(self) -> list[Message]:
        """Return the next message and all others already received; raises as `receive` does."""
        ready = [await self.receive()]
        while self._inbox:
            ready.append(self._take())
        return ready

    async def receive(self) -> Message:
        """Return the next message; messages received before the end are still returned.

        Raises
        ------
        LinkCut
            If the link was cut.
        StreamEnded
            If the peer has closed the stream.
        """
        await trio.lowlevel.checkpoint()
        while not self._inbox:
            self._raise_if_ended()
            await self._changed.park()
        return self._take()

    async def __aenter__(self) -> MuxStream:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self, code: int = 0, reason: str = "") -> None:
        """Close the stream and notify the peer unless the stream has already ended."""
        if self._is_closed:
            return
        self._is_closed = True
        self._inbox.clear()
        self._changed.unpark_all()
        self._link.remove_stream(self)
        if self.stream_id and self._end is None:
            self._link.put_control(self.stream_id, StreamClosed(code, reason))

    def deliver(self, message: Message, size_bytes: int) -> None:
        """Deliver a message from the link's reader without blocking.

        Parameters
        ----------
        message
            Received message.
        size_bytes
            Size of its frame.

        Raises
        ------
        FlowViolation
            If the peer exceeds a limit, which a correct peer never does. Otherwise the process
            would have to buffer without bound, or block the reader and with it all other streams
            of the link.
        """
        if self._is_closed or self._end:
            return
        if isinstance(message, Credit):
            self.add_credit(message.size_bytes)
            return
        if isinstance(message, StreamClosed):
            self.end(StreamEnded(message.reason or "closed by the peer", message.code))
            return
        cost = self._admit(message, size_bytes)
        self._inbox.append(_Unread(message, cost))
        self._changed.unpark_all()

    def add_credit(self, size_bytes: int) -> None:
        """Add credit granted by the peer."""
        self._credit_bytes += size_bytes
        self._changed.unpark_all()

    def end(self, end: LinkCut | StreamEnded) -> None:
        """Mark the stream as ended: no more messages can be sent or received."""
        if self._end is None:
            self._end = end
            self._changed.unpark_all()

    def _admit(self, message: Message, size_bytes: int) -> int:
        if isinstance(message, Chunk):
            cost = chunk_cost_bytes(message)
            self._unread_chunk_bytes += cost
            if self._unread_chunk_bytes + self._unreturned_credit_bytes > self._link.window_bytes:
                raise FlowViolation("chunks beyond the stream's credit")
            return cost
        self._unread_messages += 1
        self._unread_message_bytes += size_bytes
        if (
            self._unread_messages > MAX_UNREAD_MESSAGES
            or self._unread_message_bytes > MAX_UNREAD_BYTES
        ):
            raise FlowViolation(f"over {MAX_UNREAD_MESSAGES} messages or their bytes unread")
        return size_bytes

    def _take(self) -> Message:
        message, cost = self._inbox.popleft()
        if isinstance(message, Chunk):
            self._unread_chunk_bytes -= cost
            self._return_credit(cost)
        else:
            self._unread_messages -= 1
            self._unread_message_bytes -= cost
        return message

    def _return_credit(self, cost: int) -> None:
        self._unreturned_credit_bytes += cost
        if (
            self._unreturned_credit_bytes * CREDIT_RETURNS_PER_WINDOW >= self._link.window_bytes
            and self._is_open()
        ):
            self._link.put_control(self.stream_id, Credit(self._unreturned_credit_bytes))
            self._unreturned_credit_bytes = 0

    def _is_open(self) -> bool:
        return self._end is None and not self._is_closed

    def _raise_if_ended(self) -> None:
        if isinstance(self._end, StreamEnded):
            raise StreamEnded(self._end.detail, self._end.peer_code)
        if self._end is not None:
            raise LinkCut(self._end.detail)
        if self._is_closed:
            raise StreamEnded("closed by this end")
