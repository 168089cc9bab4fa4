"""Length-framed messages over a byte stream, read through a buffer and sent in batches."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import counter
from sassafrastally.wire.codec import BadFrame, decode_frame, encode_frame
from sassafrastally.wire.link import LinkCut
from sassafrastally.wire.messages import MAX_FRAME_BYTES

if TYPE_CHECKING:
    from sassafrastally.wire.messages import Frame

LENGTH_BYTES = 4
"""Size of the big-endian length before each frame."""

READ_BYTES = 256 * 1024
"""Most bytes that one read from the stream returns."""

BATCH_BYTES = 64 * 1024
"""Frames that wait together are joined up to about this size for one send."""

QUEUE_BYTES = 256 * 1024
"""Senders wait while this much is queued on a link."""

ROOM_BYTES = QUEUE_BYTES // 2
"""Waiting senders are woken once less than this is queued."""

CONTROL_BYTES = 64 * 1024
"""What the link itself may queue beyond `QUEUE_BYTES` without waiting."""

_SENT_BYTES = counter("sassafrastally.peer.sent_bytes", "By", "Bytes sent to peers.")
_SENT_FRAMES = counter("sassafrastally.peer.sent_frames", "{frame}", "Frames sent to peers.")
_RECEIVED_BYTES = counter("sassafrastally.peer.received_bytes", "By", "Bytes got from peers.")
_RECEIVED_FRAMES = counter("sassafrastally.peer.received_frames", "{frame}", "Frames got.")


def frame_bytes(frame: Frame) -> bytes:
    """Return a frame with its length before it."""
    data = encode_frame(frame)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class FrameReader:
    """Reads frames from a stream.

    Parameters
    ----------
    stream
        Where the bytes come from.
    max_frame_bytes
        Longest frame that is accepted; it may be raised once the peer is authenticated.
    """

    def __init__(
        self, stream: trio.abc.ReceiveStream, max_frame_bytes: int = MAX_FRAME_BYTES
    ) -> None:
        self.max_frame_bytes = max_frame_bytes
        self.frame_size_bytes = 0
        """Size of the frame that was read last."""
        self.last_read_s = trio.current_time()
        """When bytes last came, on trio's clock."""
        self._stream = stream
        self._buffer = bytearray()
        self._start = 0

    async def read(self) -> Frame:
        """Return the next frame.

        Raises
        ------
        BadFrame
            When the length is over the bound, which is found before the body is read, or the
            bytes are no frame.
        LinkCut
            When the stream ends or breaks.
        """
        await self._fill(LENGTH_BYTES)
        head = self._buffer[self._start : self._start + LENGTH_BYTES]
        size = int.from_bytes(head, "big")
        if size > self.max_frame_bytes:
            raise BadFrame(f"frame of {size} bytes is over {self.max_frame_bytes}")
        await self._fill(LENGTH_BYTES + size)
        begin = self._start + LENGTH_BYTES
        self._start = begin + size
        self.frame_size_bytes = size
        return decode_frame(bytes(self._buffer[begin : self._start]))

    async def _fill(self, size: int) -> None:
        while len(self._buffer) - self._start < size:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as cause:
                raise LinkCut("the connection broke") from cause
            if not data:
                raise LinkCut("the peer closed the connection")
            self.last_read_s = trio.current_time()
            _RECEIVED_BYTES.add(len(data))
            del self._buffer[: self._start]
            self._start = 0
            self._buffer += data


class FrameWriter:
    """Queues frames and sends those that are ready together in one piece.

    Parameters
    ----------
    stream
        Where the bytes go.
    """

    def __init__(self, stream: trio.abc.SendStream) -> None:
        self._stream = stream
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._work = trio.Event()
        self._room = trio.lowlevel.ParkingLot()
        self._idle = trio.Event()
        self._idle.set()
        self._is_closed = False

    async def wait_room(self) -> None:
        """Wait until the queue takes another frame; always a checkpoint."""
        if self._queued_bytes < QUEUE_BYTES or self._is_closed:
            await trio.lowlevel.checkpoint()
        while self._queued_bytes >= QUEUE_BYTES and not self._is_closed:
            await self._room.park()

    async def wait_idle(self) -> None:
        """Wait until all that was queued has been handed to the stream."""
        await self._idle.wait()

    def put(self, frame: Frame) -> None:
        """Queue a frame; wait for room before.

        Raises
        ------
        BadFrame
            When it doesn't fit the schema or its bounds.
        """
        data = frame_bytes(frame)
        self._queue.append(data)
        self._count_queued(data)

    def put_control(self, frame: Frame) -> None:
        """Queue a frame of the link itself without waiting for room.

        The link's reader answers through here. It must not wait: if both ends' readers waited for
        room, neither would read what the other sends, and the link would stand still.

        Raises
        ------
        LinkCut
            When the peer has not read for so long that even the spare room is used up.
        """
        self._check_spare()
        self.put(frame)

    def put_first(self, frame: Frame) -> None:
        """Queue a sign of life before all else, without waiting for room.

        Behind a full queue on a slow connection it would come after the peer's time limit, and a
        link that does nothing wrong but carry much would be cut.

        Raises
        ------
        LinkCut
            As `put_control` does.
        """
        self._check_spare()
        data = frame_bytes(frame)
        self._queue.appendleft(data)
        self._count_queued(data)

    def close(self) -> None:
        """Drop what is queued and wake who waits."""
        self._is_closed = True
        self._queue.clear()
        self._queued_bytes = 0
        self._room.unpark_all()
        self._idle.set()

    async def run(self) -> None:
        """Send what is queued, for ever.

        Raises
        ------
        LinkCut
            When the stream breaks.
        """
        while True:
            await self._work.wait()
            batch = self._take_batch()
            try:
                await self._stream.send_all(b"".join(batch))
            except (trio.BrokenResourceError, trio.ClosedResourceError) as cause:
                raise LinkCut("the connection broke") from cause
            _SENT_FRAMES.add(len(batch))
            if not self._queue:
                self._work = trio.Event()
                self._idle.set()

    def _count_queued(self, data: bytes) -> None:
        self._queued_bytes += len(data)
        if not self._work.is_set():
            self._work.set()
            self._idle = trio.Event()

    def _check_spare(self) -> None:
        if self._queued_bytes >= QUEUE_BYTES + CONTROL_BYTES:
            raise LinkCut("the peer doesn't read")

    def _take_batch(self) -> list[bytes]:
        batch: list[bytes] = []
        size = 0
        while self._queue and size < BATCH_BYTES:
            data = self._queue.popleft()
            batch.append(data)
            size += len(data)
        self._queued_bytes -= size
        # Waking all senders for each frame that leaves would cost more than the sending.
        if self._queued_bytes < ROOM_BYTES:
            self._room.unpark_all()
        _SENT_BYTES.add(size)
        return batch


def count_received(frames: int) -> None:
    """Add to the count of frames that came from peers."""
    _RECEIVED_FRAMES.add(frames)
