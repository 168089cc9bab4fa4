"""One conversation on a link, with credit for chunks and bounds for the rest."""

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
"""Messages other than chunks that a stream holds unread."""

MAX_UNREAD_BYTES = 1024 * 1024
"""Bytes of such messages that a stream holds unread."""

MAX_CHUNK_COST_BYTES = MAX_CHUNK_BYTES + CHUNK_OVERHEAD_BYTES
"""What the longest chunk costs of a stream's credit."""

CREDIT_SHARES = 4
"""Credit goes back whenever this part of the window has been read."""


@error(2006)
class FlowViolation(CodedError):
    """The peer sent more on a stream than it was allowed to."""


@error(2007)
class TooManyStreams(CodedError):
    """A link has as many streams open as it may have; nothing of the new one has run."""


class StreamOwner(Protocol):
    """What a stream needs of its link."""

    peer: PeerIdentity
    writer: FrameWriter
    window_bytes: int

    def start_stream(self, stream: MuxStream) -> None:
        """Give a stream its number on the link. Raises `TooManyStreams`."""
        ...

    def put(self, stream_id: int, message: Message) -> None:
        """Queue a message."""
        ...

    def put_control(self, stream_id: int, message: Message) -> None:
        """Queue a message without waiting for room."""
        ...

    def forget_stream(self, stream: MuxStream) -> None:
        """Take a closed stream off the link."""
        ...


class _Unread(NamedTuple):
    message: Message
    cost_bytes: int


def chunk_cost_bytes(chunk: Chunk) -> int:
    """Return what a chunk costs of its stream's credit."""
    return len(chunk.data) + CHUNK_OVERHEAD_BYTES


class MuxStream:
    """A stream of a `MuxLink`; implements `sassafrastally.wire.link.Stream`.

    Parameters
    ----------
    link
        The link that carries it.
    stream_id
        Its number; 0 while nothing was sent on a stream that this end opens.
    credit_bytes
        What the peer takes at first.
    """

    def __init__(self, link: StreamOwner, stream_id: int, credit_bytes: int) -> None:
        self.stream_id = stream_id
        self._link = link
        self._credit_bytes = credit_bytes
        self._inbox: deque[_Unread] = deque()
        self._unread_chunk_bytes = 0
        self._unread_messages = 0
        self._unread_message_bytes = 0
        self._owed_credit_bytes = 0
        self._changed = trio.lowlevel.ParkingLot()
        self._end: LinkCut | StreamEnded | None = None
        self._is_closed = False

    @property
    def peer(self) -> PeerIdentity:
        """The other end."""
        return self._link.peer

    async def send(self, message: Message) -> None:
        """Send a message; a chunk waits for the peer's credit.

        Raises
        ------
        LinkCut
            When the link is gone.
        StreamEnded
            When the peer has closed the stream.
        BadFrame
            When the message is over a bound.
        """
        cost = chunk_cost_bytes(message) if isinstance(message, Chunk) else 0
        if cost > MAX_CHUNK_COST_BYTES:
            raise BadFrame(f"a chunk that costs {cost} bytes is over {MAX_CHUNK_COST_BYTES}")
        await self._link.writer.wait_room()
        while self._is_open() and cost > self._credit_bytes:
            await self._changed.park()
            await self._link.writer.wait_room()
        self._raise_end()
        if not self.stream_id:
            # The number is taken with the first frame: numbers then reach the peer in order, and
            # one that it has passed is known to be of a closed stream.
            self._link.start_stream(self)
        self._credit_bytes -= cost
        self._link.put(self.stream_id, message)

    async def receive_ready(self) -> list[Message]:
        """Return the next message and all that are there behind it; raises as `receive` does."""
        ready = [await self.receive()]
        while self._inbox:
            ready.append(self._take())
        return ready

    async def receive(self) -> Message:
        """Return the next message; what came before an end is still returned.

        Raises
        ------
        LinkCut
            When the link is gone.
        StreamEnded
            When the peer has closed the stream.
        """
        await trio.lowlevel.checkpoint()
        while not self._inbox:
            self._raise_end()
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
        """Close the stream and tell the peer unless it has closed it first."""
        if self._is_closed:
            return
        self._is_closed = True
        self._inbox.clear()
        self._changed.unpark_all()
        self._link.forget_stream(self)
        if self.stream_id and self._end is None:
            self._link.put_control(self.stream_id, StreamClosed(code, reason))

    def deliver(self, message: Message, size_bytes: int) -> None:
        """Take a message from the link's reader, which never waits here.

        Parameters
        ----------
        message
            What came.
        size_bytes
            Length of its frame.

        Raises
        ------
        FlowViolation
            When the peer breaks a bound. An honest one doesn't; one that does would have this
            process hold its data without end, or have the reader wait and so stop every other
            stream of the link.
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
        """Take credit from the peer."""
        self._credit_bytes += size_bytes
        self._changed.unpark_all()

    def end(self, end: LinkCut | StreamEnded) -> None:
        """End the stream from the other side: nothing more can be sent or will come."""
        if self._end is None:
            self._end = end
            self._changed.unpark_all()

    def _admit(self, message: Message, size_bytes: int) -> int:
        if isinstance(message, Chunk):
            cost = chunk_cost_bytes(message)
            self._unread_chunk_bytes += cost
            if self._unread_chunk_bytes + self._owed_credit_bytes > self._link.window_bytes:
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
            self._owe_credit(cost)
        else:
            self._unread_messages -= 1
            self._unread_message_bytes -= cost
        return message

    def _owe_credit(self, cost: int) -> None:
        self._owed_credit_bytes += cost
        if self._owed_credit_bytes * CREDIT_SHARES >= self._link.window_bytes and self._is_open():
            self._link.put_control(self.stream_id, Credit(self._owed_credit_bytes))
            self._owed_credit_bytes = 0

    def _is_open(self) -> bool:
        return self._end is None and not self._is_closed

    def _raise_end(self) -> None:
        if isinstance(self._end, StreamEnded):
            raise StreamEnded(self._end.detail, self._end.peer_code)
        if self._end is not None:
            raise LinkCut(self._end.detail)
        if self._is_closed:
            raise StreamEnded("closed by this end")
