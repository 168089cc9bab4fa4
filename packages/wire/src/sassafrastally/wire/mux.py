"""A link: many streams on one authenticated connection.

One task reads, one writes, one watches for signs of life and one hands out notices. The reader
waits for nothing but bytes: what a stream can't take is the fault of a peer that broke its bound.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

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

LINK_STREAM = 0
"""Carries the link's own messages and the notices."""

FIRST_DIALLED_STREAM = 1
FIRST_ACCEPTED_STREAM = 2
STREAM_STEP = 2

GOODBYE_TIME_LIMIT_S = 1.0
"""How long a peer may take to close its end after the goodbye."""

MAX_WAITING_NOTICES = 256
"""Notices of a peer that wait for their handler; the oldest leave first."""


class MuxLink:
    """A connection to a peer that both ends have proved; implements `link.Link`.

    Parameters
    ----------
    stream
        The connection.
    reader
        Its reader as the handshake left it.
    peer
        Who is at the other end.
    first_stream
        `FIRST_DIALLED_STREAM` or `FIRST_ACCEPTED_STREAM`.
    settings
        Bounds and time limits.
    events
        The process's events.
    on_stream
        Takes each stream that the peer opens, with its first message's type; it must not wait.
    on_notice
        Handles notices, one at a time.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        reader: FrameReader,
        peer: PeerIdentity,
        first_stream: int,
        settings: PeerSettings,
        events: EventLog,
        on_stream: Callable[[MuxStream, type[Message]], None],
        on_notice: Callable[[PeerIdentity, Message], Awaitable[None]],
    ) -> None:
        self.peer = peer
        self.writer = FrameWriter(stream)
        self.window_bytes = settings.window_bytes
        self.cut_reason = ""
        """Why the link was cut; empty while it stands."""
        self._stream = stream
        self._reader = reader
        self._settings = settings
        self._events = events
        self._on_stream = on_stream
        self._on_notice = on_notice
        self._next_stream = first_stream
        self._peer_parity = (first_stream + 1) % STREAM_STEP
        self._last_peer_stream = 0
        self._peer_window_bytes = 0
        self._streams: dict[int, MuxStream] = {}
        self._fresh: set[MuxStream] = set()
        self._notices: deque[Message] = deque()
        self._noticed = trio.Event()
        self._ping_nonce = 0
        self._scope = trio.CancelScope()
        self._quiet = trio.lowlevel.ParkingLot()
        self._down = trio.Event()

    @property
    def is_up(self) -> bool:
        """Whether the link still stands."""
        return not self.cut_reason

    @property
    def stream_count(self) -> int:
        """How many streams are open."""
        return len(self._streams) + len(self._fresh)

    def open_stream(self) -> MuxStream:
        """Open a stream; used as ``async with link.open_stream() as stream``."""
        stream = MuxStream(self, 0, self._peer_window_bytes)
        if self.is_up:
            self._fresh.add(stream)
        else:
            stream.end(LinkCut(self.cut_reason))
        return stream

    async def call(self, message: Message) -> Message:
        """Send a message on a stream of its own and return the one answer.

        Raises
        ------
        LinkCut
            When the link is gone.
        StreamEnded
            When the peer closes the stream without an answer.
        """
        async with self.open_stream() as stream:
            await stream.send(message)
            return await stream.receive()

    async def notify(self, message: Message) -> None:
        """Send a notice that has no answer.

        Raises
        ------
        LinkCut
            When the link is gone.
        """
        await self.writer.wait_room()
        if not self.is_up:
            raise LinkCut(self.cut_reason)
        self.put(LINK_STREAM, message)

    def cut(self, reason: str) -> None:
        """Cut the link: every stream gets `LinkCut` at once."""
        if not self.is_up:
            return
        self.cut_reason = reason
        self._scope.cancel()
        self.writer.close()
        for stream in (*self._streams.values(), *self._fresh):
            stream.end(LinkCut(reason))
        self._streams.clear()
        self._fresh.clear()
        self._quiet.unpark_all()
        self._down.set()

    async def close(self, time_limit_s: float) -> None:
        """Let the streams in progress end, say goodbye and cut the link.

        Parameters
        ----------
        time_limit_s
            How long the streams may take.

        Notes
        -----
        A socket that is closed while bytes of the peer are unread resets the connection, and what
        was sent last is lost on the way: the end of an answer would be missing now and then after
        a graceful stop. So the peer, which reads the goodbye after all else, closes first.
        """
        with trio.move_on_after(time_limit_s):
            await self._wait_quiet()
        with trio.move_on_after(GOODBYE_TIME_LIMIT_S):
            self.put_control(LINK_STREAM, StreamClosed())
            await self._down.wait()
        self.cut("this process has closed the link")

    async def _wait_quiet(self) -> None:
        while self.stream_count:
            await self._quiet.park()
        await self.writer.wait_idle()

    async def run(self) -> None:
        """Carry the link until it is cut."""
        self.put(LINK_STREAM, Credit(self.window_bytes))
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._run_until_cut, self._read)
                    nursery.start_soon(self._run_until_cut, self.writer.run)
                    nursery.start_soon(self._run_until_cut, self._watch)
                    nursery.start_soon(self._hand_out_notices)
        finally:
            self.cut("this process has closed the link")
            await trio.aclose_forcefully(self._stream)

    def start_stream(self, stream: MuxStream) -> None:
        """Give a stream that this end opens its number."""
        if len(self._streams) >= self._settings.max_streams:
            raise TooManyStreams(f"{self._settings.max_streams} streams are open")
        stream.stream_id = self._next_stream
        self._next_stream += STREAM_STEP
        self._fresh.discard(stream)
        self._streams[stream.stream_id] = stream

    def put(self, stream_id: int, message: Message) -> None:
        """Queue a message."""
        self.writer.put(Frame(stream_id, self._events.hybrid.tick(), message))

    def put_control(self, stream_id: int, message: Message) -> None:
        """Queue a message without waiting; a peer that doesn't read loses the link."""
        self._put_unless_stuck(self.writer.put_control, stream_id, message)

    def forget_stream(self, stream: MuxStream) -> None:
        """Take a closed stream off the link."""
        self._fresh.discard(stream)
        self._streams.pop(stream.stream_id, None)
        if not self.stream_count:
            self._quiet.unpark_all()

    def _put_unless_stuck(
        self, put: Callable[[Frame], None], stream_id: int, message: Message
    ) -> None:
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

    async def _read(self) -> None:
        while True:
            frame = await self._reader.read()
            count_received(1)
            self._events.hybrid.observe(frame.stamp)
            if frame.stream == LINK_STREAM:
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
        """Close one stream for a fault of the peer; the others go on."""
        self._events.emit(StreamFailed(self.peer.vm, cause.code, cause.detail))
        stream.close(cause.code, cause.detail)
        stream.end(StreamEnded(cause.detail, cause.code))

    def _accept(self, stream_id: int, message: Message) -> MuxStream | None:
        """Open a stream for the peer; ``None`` for a late message of a closed one."""
        is_new = stream_id % STREAM_STEP == self._peer_parity and stream_id > self._last_peer_stream
        if not is_new or isinstance(message, Credit | StreamClosed):
            return None
        self._last_peer_stream = stream_id
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
                self._put_unless_stuck(self.writer.put_first, LINK_STREAM, Pong(nonce))
            case Pong():
                pass
            case Credit(size_bytes):
                self._open_windows(size_bytes)
            case StreamClosed():
                raise LinkCut("the peer has closed the link")
            case Hello() | HelloAck() | HelloConfirm():
                raise BadFrame(f"{type(message).__name__} on a link that stands")
            case _:
                self._keep_notice(message)

    def _open_windows(self, size_bytes: int) -> None:
        """Take the window that every stream starts with at the peer."""
        if self._peer_window_bytes:
            raise BadFrame("the peer's window came twice")
        self._peer_window_bytes = size_bytes
        for stream in (*self._streams.values(), *self._fresh):
            stream.add_credit(size_bytes)

    def _keep_notice(self, message: Message) -> None:
        if len(self._notices) == MAX_WAITING_NOTICES:
            dropped = self._notices.popleft()
            self._events.emit(NoticeDropped(self.peer.vm, type(dropped).__name__))
        self._notices.append(message)
        self._noticed.set()

    async def _hand_out_notices(self) -> None:
        while True:
            await self._noticed.wait()
            self._noticed = trio.Event()
            while self._notices:
                await self._on_notice(self.peer, self._notices.popleft())

    async def _watch(self) -> None:
        """Ask the peer for a sign of life whenever none has come for an interval.

        A frozen peer breaks no connection: callers would wait for their whole time limit. It is
        found an interval and a time limit after its last byte.
        """
        interval_s = self._settings.ping_interval_s
        while True:
            due_s = self._reader.last_read_s + interval_s
            if trio.current_time() < due_s:
                await trio.sleep_until(due_s)
            else:
                await self._expect_sign_of_life(interval_s, self._settings.ping_time_limit_s)

    async def _expect_sign_of_life(self, interval_s: float, limit_s: float) -> None:
        asked_s = self._ping()
        while self._reader.last_read_s < asked_s:
            cut_s = asked_s + limit_s
            wake_s = min(trio.current_time() + interval_s, cut_s)
            await trio.sleep_until(wake_s)
            # A process that was itself paused wakes with its time limit over and the peer's
            # answer still unread. It asks once more instead of cutting a sound link.
            if trio.current_time() - wake_s > limit_s:
                asked_s = self._ping()
            elif self._reader.last_read_s < asked_s and trio.current_time() >= cut_s:
                raise LinkCut(f"the peer gave no sign of life for {interval_s + limit_s:g} s")

    def _ping(self) -> float:
        self._ping_nonce += 1
        ping = Ping(self._ping_nonce)
        self._put_unless_stuck(self.writer.put_first, LINK_STREAM, ping)
        return trio.current_time()
