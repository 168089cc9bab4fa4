"""Length-prefixed frames over a byte stream, with buffered reads and batched writes."""

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
"""Size of the big-endian length prefix of each frame."""

READ_BYTES = 256 * 1024
"""Maximum size of one read from the stream."""

BATCH_BYTES = 64 * 1024
"""Approximate size up to which queued frames are batched into one write."""

HIGH_WATERMARK_BYTES = 256 * 1024
"""Senders wait while at least this much is queued on a link."""

LOW_WATERMARK_BYTES = HIGH_WATERMARK_BYTES // 2
"""Waiting senders resume once less than this is queued."""

CONTROL_RESERVE_BYTES = 64 * 1024
"""Queue space above `HIGH_WATERMARK_BYTES` for control frames, which don't wait."""

_SENT_BYTES = counter("sassafrastally.peer.sent_bytes", "By", "Bytes sent to peers.")
_SENT_FRAMES = counter("sassafrastally.peer.sent_frames", "{frame}", "Frames sent to peers.")
_RECEIVED_BYTES = counter("sassafrastally.peer.received_bytes", "By", "Bytes got from peers.")
_RECEIVED_FRAMES = counter("sassafrastally.peer.received_frames", "{frame}", "Frames got.")


def frame_bytes(frame: Frame) -> bytes:
    """Encode a frame with its length prefix."""
    data = encode_frame(frame)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class FrameReader:
    """Reads frames from a stream.

    Parameters
    ----------
    stream
        Stream to read from.
    max_frame_bytes
        Maximum accepted frame size; may be raised once the peer is authenticated.
    """

    def __init__(
        self, stream: trio.abc.ReceiveStream, max_frame_bytes: int = MAX_FRAME_BYTES
    ) -> None:
        self.max_frame_bytes = max_frame_bytes
        self.frame_size_bytes = 0
        """Size of the last frame read."""
        self.last_read_s = trio.current_time()
        """Time of the last received bytes, on trio's clock."""
        self._stream = stream
        self._buffer = bytearray()
        self._start = 0

    async def read(self) -> Frame:
        """Read the next frame.

        Raises
        ------
        BadFrame
            If the length exceeds the limit, which is checked before the body is read, or the
            bytes aren't a valid frame.
        LinkCut
            If the stream ends or breaks.
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
    """Queues frames and sends the queued ones in batches.

    Parameters
    ----------
    stream
        Stream to write to.
    """

    def __init__(self, stream: trio.abc.SendStream) -> None:
        self._stream = stream
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._has_frames = trio.Event()
        self._writable = trio.lowlevel.ParkingLot()
        self._idle = trio.Event()
        self._idle.set()
        self._is_closed = False

    async def wait_writable(self) -> None:
        """Wait until the queue has room for another frame; always a checkpoint."""
        if self._queued_bytes < HIGH_WATERMARK_BYTES or self._is_closed:
            await trio.lowlevel.checkpoint()
        while self._queued_bytes >= HIGH_WATERMARK_BYTES and not self._is_closed:
            await self._writable.park()

    async def wait_idle(self) -> None:
        """Wait until all queued frames have been written to the stream."""
        await self._idle.wait()

    def put(self, frame: Frame) -> None:
        """Queue a frame; call `wait_writable` first.

        Raises
        ------
        BadFrame
            If it doesn't fit the schema or exceeds a limit.
        """
        data = frame_bytes(frame)
        self._queue.append(data)
        self._count_queued(data)

    def put_control(self, frame: Frame) -> None:
        """Queue a control frame without waiting for room.

        The reader task of the link responds with this method and must not wait: if the readers of
        both ends waited for room, neither would read and the link would deadlock.

        Raises
        ------
        LinkCut
            If the peer has stopped reading and the control reserve is exhausted.
        """
        self._check_control_reserve()
        self.put(frame)

    def put_first(self, frame: Frame) -> None:
        """Queue a ping or pong at the front of the queue, without waiting for room.

        At the end of a full queue on a slow connection it would arrive after the peer's time limit,
        and a healthy but busy link would be cut.

        Raises
        ------
        LinkCut
            As `put_control` does.
        """
        self._check_control_reserve()
        data = frame_bytes(frame)
        self._queue.appendleft(data)
        self._count_queued(data)

    def close(self) -> None:
        """Drop the queue and wake all waiting tasks."""
        self._is_closed = True
        self._queue.clear()
        self._queued_bytes = 0
        self._writable.unpark_all()
        self._idle.set()

    async def run(self) -> None:
        """Send queued frames until the stream breaks.

        Raises
        ------
        LinkCut
            If the stream breaks.
        """
        while True:
            await self._has_frames.wait()
            batch = self._take_batch()
            try:
                await self._stream.send_all(b"".join(batch))
            except (trio.BrokenResourceError, trio.ClosedResourceError) as cause:
                raise LinkCut("the connection broke") from cause
            _SENT_FRAMES.add(len(batch))
            if not self._queue:
                self._has_frames = trio.Event()
                self._idle.set()

    def _count_queued(self, data: bytes) -> None:
        self._queued_bytes += len(data)
        if not self._has_frames.is_set():
            self._has_frames.set()
            self._idle = trio.Event()

    def _check_control_reserve(self) -> None:
        if self._queued_bytes >= HIGH_WATERMARK_BYTES + CONTROL_RESERVE_BYTES:
            raise LinkCut("the peer doesn't read")

    def _take_batch(self) -> list[bytes]:
        batch: list[bytes] = []
        size = 0
        while self._queue and size < BATCH_BYTES:
            data = self._queue.popleft()
            batch.append(data)
            size += len(data)
        self._queued_bytes -= size
        # Waking all senders for each frame sent would cost more than sending it.
        if self._queued_bytes < LOW_WATERMARK_BYTES:
            self._writable.unpark_all()
        _SENT_BYTES.add(size)
        return batch


def count_received(frames: int) -> None:
    """Count frames received from peers."""
    _RECEIVED_FRAMES.add(frames)
