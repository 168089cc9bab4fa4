"""Link that multiplexes many streams over one authenticated connection.

Separate tasks read, write, monitor liveness and dispatch notices. The reader only waits for bytes:
a stream can only overflow if the peer violates its flow-control limits.
"""

from __future__ import annotations

from collections import deque
from itertools import count
from typing import TYPE_CHECKING

import trio

from sassafrastally.core.late_limits import LAST_READ_S, deliver_received
from sassafrastally.wire.codec import BadFrame
from sassafrastally.wire.events import NoticeDropped, StreamFailed
from sassafrastally.wire.framing import FrameWriter, count_received
from sassafrastally.wire.link import LinkCut, StreamEnded
from sassafrastally.wire.messages import (
    Credit,
    Frame,
    Hello,
    HelloAck,
    HelloConfirm,
    Ping,
    Pong,
    StreamClosed,
)
from sassafrastally.wire.streams import FlowViolation, MuxStream, TooManyStreams

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sassafrastally.core import EventLog
    from sassafrastally.wire.framing import FrameReader
    from sassafrastally.wire.link import PeerIdentity
    from sassafrastally.wire.messages import Message
    from sassafrastally.wire.settings import PeerSettings

CONTROL_STREAM_ID = 0
"""Stream of the link's control messages and notices."""

FIRST_DIALLED_STREAM_ID = 1
FIRST_ACCEPTED_STREAM_ID = 2
STREAM_ID_STEP = 2

CLOSE_TIME_LIMIT_S = 1.0
"""Time allowed for the peer to close its end after the closing message."""

MAX_READ_FRAMES = 64
"""Number of frames after which other tasks run. One read may hold ten thousand small ones."""

MAX_QUEUED_NOTICES = 256
"""Maximum number of notices queued for their handler; the oldest are dropped first."""


class MuxLink:
    """Authenticated connection to a peer; implements `link.Link`.

    Parameters
    ----------
    stream
        Connection to the peer.
    reader
        Frame reader of the connection after the handshake.
    peer
        Identity of the peer.
    first_stream_id
        `FIRST_DIALLED_STREAM_ID` or `FIRST_ACCEPTED_STREAM_ID`.
    settings
        Limits and timeouts.
    events
        Event log of the process.
    on_stream
        Called with each stream that the peer opens and the type of its first message; must not
        block.
    on_notice
        Handler of notices, called for one at a time.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        reader: FrameReader,
        peer: PeerIdentity,
        first_stream_id: int,
        settings: PeerSettings,
        events: EventLog,
        on_stream: Callable[[MuxStream, type[Message]], None],
        on_notice: Callable[[PeerIdentity, Message], Awaitable[None]],
    ) -> None:
        self.peer = peer
        self.writer = FrameWriter(stream)
        self.window_bytes = settings.window_bytes
        self.cut_reason = ""
        """Why the link was cut; empty while it is up."""
        self._stream = stream
        self._reader = reader
        self._settings = settings
        self._events = events
        self._on_stream = on_stream
        self._on_notice = on_notice
        self._next_stream_id = first_stream_id
        self._peer_parity = (first_stream_id + 1) % STREAM_ID_STEP
        self._last_peer_stream_id = 0
        self._peer_window_bytes = 0
        self._streams: dict[int, MuxStream] = {}
        self._unstarted_streams: set[MuxStream] = set()
        self._notices: deque[Message] = deque()
        self._has_notices = trio.Event()
        self._received_frames = 0
        self._ping_nonce = 0
        self._scope = trio.CancelScope()
        self._drained = trio.lowlevel.ParkingLot()
        self._down = trio.Event()
        self._write_failure = ""
        """Why nothing more can be sent; the link is cut once what has arrived is read."""

    @property
    def is_up(self) -> bool:
        """Whether the link is up and can send."""
        return not (self.cut_reason or self._write_failure)

    @property
    def is_cut(self) -> bool:
        """Whether the link was cut, so that nothing more is received either."""
        return bool(self.cut_reason)

    @property
    def stream_count(self) -> int:
        """Number of open streams."""
        return len(self._streams) + len(self._unstarted_streams)

    def open_stream(self) -> MuxStream:
        """Open a stream; used as ``async with link.open_stream() as stream``."""
        stream = MuxStream(self, 0, self._peer_window_bytes)
        if self.is_up:
            self._unstarted_streams.add(stream)
        else:
            stream.end(LinkCut(self.cut_reason or self._write_failure))
        return stream

    async def call(self, message: Message) -> Message:
        """Send a message on a new stream and return the single response.

        Raises
        ------
        LinkCut
            If the link was cut.
        StreamEnded
            If the peer closes the stream without a response.
        """
        async with self.open_stream() as stream:
            await stream.send(message)
            return await stream.receive()

    async def notify(self, message: Message) -> None:
        """Send a one-way notice.

        Raises
        ------
        LinkCut
            If the link was cut.
        """
        await self.writer.wait_writable()
        if not self.is_up:
            raise LinkCut(self.cut_reason or self._write_failure)
        self.put(CONTROL_STREAM_ID, message)

    def cut(self, reason: str) -> None:
        """Cut the link; all streams immediately raise `LinkCut`."""
        if self.is_cut:
            return
        self.cut_reason = reason
        self._scope.cancel()
        self.writer.close()
        for stream in (*self._streams.values(), *self._unstarted_streams):
            stream.end(LinkCut(reason))
        self._streams.clear()
        self._unstarted_streams.clear()
        self._drained.unpark_all()
        self._down.set()

    async def close(self, time_limit_s: float) -> None:
        """Wait for open streams to end, then close the link gracefully.

        Parameters
        ----------
        time_limit_s
            Time allowed for the streams to end.

        Notes
        -----
        Closing a socket with unread data resets the connection and discards data in flight, so the
        end of a response could be lost in a graceful stop. The peer therefore closes first, after
        it has read everything up to the closing message.
        """
        with trio.move_on_after(time_limit_s):
            await self._wait_drained()
        with trio.move_on_after(CLOSE_TIME_LIMIT_S):
            self.put_control(CONTROL_STREAM_ID, StreamClosed())
            await self._down.wait()
        self.cut("this process has closed the link")

    async def _wait_drained(self) -> None:
        while self.stream_count:
            await self._drained.park()
        await self.writer.wait_idle()

    async def run(self) -> None:
        """Run the link until it is cut."""
        self.put(CONTROL_STREAM_ID, Credit(self.window_bytes))
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._run_until_cut, self._read)
                    nursery.start_soon(self._run_until_cut, self._write)
                    nursery.start_soon(self._run_until_cut, self._monitor_liveness)
                    nursery.start_soon(self._dispatch_notices)
        finally:
            self.cut("this process has closed the link")
            await trio.aclose_forcefully(self._stream)

    def assign_stream_id(self, stream: MuxStream) -> None:
        """Assign an id to a stream opened by this end."""
        if len(self._streams) >= self._settings.max_streams:
            raise TooManyStreams(f"{self._settings.max_streams} streams are open")
        stream.stream_id = self._next_stream_id
        self._next_stream_id += STREAM_ID_STEP
        self._unstarted_streams.discard(stream)
        self._streams[stream.stream_id] = stream

    def put(self, stream_id: int, message: Message) -> None:
        """Queue a message."""
        self.writer.put(Frame(stream_id, self._events.hybrid.tick(), message))

    def put_control(self, stream_id: int, message: Message) -> None:
        """Queue a message without waiting; cuts the link if the peer has stopped reading."""
        self._put_or_cut(self.writer.put_control, stream_id, message)

    def remove_stream(self, stream: MuxStream) -> None:
        """Remove a closed stream from the link."""
        self._unstarted_streams.discard(stream)
        self._streams.pop(stream.stream_id, None)
        if not self.stream_count:
            self._drained.unpark_all()

    def _put_or_cut(self, put: Callable[[Frame], None], stream_id: int, message: Message) -> None:
        if not self.is_up:
            return
        try:
            put(Frame(stream_id, self._events.hybrid.tick(), message))
        except LinkCut as cause:
            self.cut(cause.detail)

    async def _run_until_cut(self, task: Callable[[], Awaitable[None]]) -> None:
        try:
            await task()
        except (LinkCut, BadFrame) as cause:
            self.cut(cause.detail)

    async def _write(self) -> None:
        try:
            await self.writer.run()
        except LinkCut as cause:
            # A peer that has closed the connection may have sent an answer before. The reader cuts
            # the link once it has read everything. New streams need another link meanwhile.
            self._write_failure = cause.detail
            due_s = trio.current_time() + LAST_READ_S
            await trio.sleep_until(due_s)
            await deliver_received(due_s, lambda: self._received_frames)
            raise

    async def _read(self) -> None:
        for number in count():
            if number % MAX_READ_FRAMES == 0:
                await trio.lowlevel.checkpoint()
            frame = await self._reader.read()
            self._received_frames += 1
            count_received(1)
            self._events.hybrid.observe(frame.stamp)
            if frame.stream == CONTROL_STREAM_ID:
                self._on_link_message(frame.message)
                continue
            stream = self._streams.get(frame.stream) or self._accept(frame.stream, frame.message)
            if stream is not None:
                self._deliver(stream, frame.message)

    def _deliver(self, stream: MuxStream, message: Message) -> None:
        try:
            stream.deliver(message, self._reader.frame_size_bytes)
        except FlowViolation as violation:
            self.fail_stream(stream, violation)

    def fail_stream(self, stream: MuxStream, cause: FlowViolation) -> None:
        """Close one stream after a protocol violation by the peer; other streams continue."""
        self._events.emit(StreamFailed(self.peer.vm, cause.code, cause.detail))
        stream.close(cause.code, cause.detail)
        stream.end(StreamEnded(cause.detail, cause.code))

    def _accept(self, stream_id: int, message: Message) -> MuxStream | None:
        """Accept a stream opened by the peer; ``None`` for a late message on a closed stream."""
        is_new = (
            stream_id % STREAM_ID_STEP == self._peer_parity
            and stream_id > self._last_peer_stream_id
        )
        if not is_new or isinstance(message, Credit | StreamClosed):
            return None
        self._last_peer_stream_id = stream_id
        if len(self._streams) >= self._settings.max_streams:
            self.put_control(stream_id, StreamClosed(TooManyStreams.code, "too many streams"))
            return None
        stream = MuxStream(self, stream_id, self._peer_window_bytes)
        self._streams[stream_id] = stream
        self._on_stream(stream, type(message))
        return stream

    def _on_link_message(self, message: Message) -> None:
        match message:
            case Ping(nonce):
                self._put_or_cut(self.writer.put_first, CONTROL_STREAM_ID, Pong(nonce))
            case Pong():
                pass
            case Credit(size_bytes):
                self._set_initial_credit(size_bytes)
            case StreamClosed():
                raise LinkCut("the peer has closed the link")
            case Hello() | HelloAck() | HelloConfirm():
                raise BadFrame(f"{type(message).__name__} on a link that stands")
            case _:
                self._queue_notice(message)

    def _set_initial_credit(self, size_bytes: int) -> None:
        """Set the initial credit of every stream to the peer's window."""
        if self._peer_window_bytes:
            raise BadFrame("the peer's window came twice")
        self._peer_window_bytes = size_bytes
        for stream in (*self._streams.values(), *self._unstarted_streams):
            stream.add_credit(size_bytes)

    def _queue_notice(self, message: Message) -> None:
        if len(self._notices) == MAX_QUEUED_NOTICES:
            dropped = self._notices.popleft()
            self._events.emit(NoticeDropped(self.peer.vm, type(dropped).__name__))
        self._notices.append(message)
        self._has_notices.set()

    async def _dispatch_notices(self) -> None:
        while True:
            await self._has_notices.wait()
            self._has_notices = trio.Event()
            while self._notices:
                await self._on_notice(self.peer, self._notices.popleft())

    async def _monitor_liveness(self) -> None:
        """Ping the peer whenever nothing was received for an interval.

        A frozen peer keeps its connection open, so callers would wait for their whole time limit.
        It is detected after the ping interval plus the ping time limit.
        """
        interval_s = self._settings.ping_interval_s
        while True:
            due_s = self._reader.last_read_s + interval_s
            if trio.current_time() < due_s:
                await trio.sleep_until(due_s)
            else:
                await self._check_liveness(interval_s, self._settings.ping_time_limit_s)

    async def _check_liveness(self, interval_s: float, limit_s: float) -> None:
        pinged_s = self._ping()
        while self._reader.last_read_s < pinged_s:
            deadline_s = pinged_s + limit_s
            wake_s = min(trio.current_time() + interval_s, deadline_s)
            await trio.sleep_until(wake_s)
            if self._reader.last_read_s >= pinged_s or trio.current_time() < deadline_s:
                continue
            # After a pause of this process the time limit has passed, but the peer's response may
            # still be unread, or be in transit to a VM that was paused. Ping again after a long one
            # instead of cutting a healthy link.
            if trio.current_time() - wake_s > limit_s:
                pinged_s = self._ping()
                continue
            await deliver_received(wake_s)
            if self._reader.last_read_s < pinged_s:
                raise LinkCut(f"the peer gave no sign of life for {interval_s + limit_s:g} s")

    def _ping(self) -> float:
        self._ping_nonce += 1
        ping = Ping(self._ping_nonce)
        self._put_or_cut(self.writer.put_first, CONTROL_STREAM_ID, ping)
        return trio.current_time()
