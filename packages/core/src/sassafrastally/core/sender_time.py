"""Time that a peer takes to send a message, without that of the process that reads it.

A process that reads late closes the window of a connection: what it hasn't read is held back at the
sender. A limit of the time since the first byte would call such a sender late.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple, TypeVar

import trio

from sassafrastally.core.late_limits import MAX_LAST_READS, last_read_s
from sassafrastally.core.unread_input import is_readable, last_received_s

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

T = TypeVar("T")


AGE_ERROR_S = 0.005
"""How much too old input may seem: the system counts its age in steps of some milliseconds."""

PART_S = 0.00002
"""Time in which a part of a message is parsed, however small it is. A body in chunks of a byte is
ready at once, and would take seconds of processor time."""

LEAST_WAIT_S = 0.001
"""Least time for a read: a scope that has ended before it is entered reads nothing, even if input
lies ready."""


class Wait(NamedTuple):
    """A wait for input; times on one clock."""

    begin_s: float
    end_s: float
    has_input: bool = True
    """Whether there was input at its end."""
    age_s: float | None = None
    """How long ago the latest input arrived; ``None`` if the system doesn't tell."""


def sender_share_s(wait: Wait) -> float:
    """Return the part of a wait that the sender has taken.

    What lies ready waits for the reader. The age of the latest input tells since when it has: a
    sender that sends little at a time is charged for all of the wait.
    """
    waited_s = wait.end_s - wait.begin_s
    if not wait.has_input or wait.age_s is None:
        return waited_s
    return max(0.0, waited_s - max(0.0, wait.age_s - AGE_ERROR_S))


class SenderTime:
    """Time that the sender of one message has taken so far."""

    def __init__(self) -> None:
        self.taken_s = 0.0
        self.last_reads = 0
        """How often was read once more after the limit: a message may be read in several calls."""

    async def receive(self, stream: trio.abc.ReceiveStream, max_bytes: int) -> bytes | bytearray:
        """Receive bytes and count the sender's part of the wait for them, also if it is cancelled.

        The wait ends before the read: a read makes room for what the sender holds back, which
        arrives at once and would seem to be what was waited for.

        Parameters
        ----------
        stream
            What is read. It isn't known of other streams than those of sockets what lies ready:
            all of the wait counts.
        max_bytes
            Most bytes to receive.
        """
        if not isinstance(stream, trio.SocketStream) or stream.socket.fileno() < 0:
            with self._waiting(stream):
                return await stream.receive_some(max_bytes)
        if not is_readable(stream):
            with self._waiting(stream):
                await trio.lowlevel.wait_readable(stream.socket)
        return await stream.receive_some(max_bytes)

    @contextmanager
    def _waiting(self, stream: trio.abc.ReceiveStream) -> Iterator[None]:
        begin_s, has_input = trio.current_time(), False
        try:
            yield
            has_input = True
        finally:
            has_input = has_input or is_readable(stream)
            wait = Wait(begin_s, trio.current_time(), has_input, last_received_s(stream))
            self.taken_s += sender_share_s(wait)

    def count_part(self) -> None:
        """Count a part of the message, for the processor time that it costs its reader."""
        self.taken_s += PART_S


async def read_in_time(
    read: Callable[[], Awaitable[T]], sender: SenderTime, time_limit_s: float
) -> T:
    """Read until the sender has taken too long.

    If the timer is late by then, it is read once more, as after each limit.

    Parameters
    ----------
    read
        Reads by `SenderTime.receive`; loses nothing when it is cancelled.
    sender
        Time of the sender.
    time_limit_s
        Longest time that the sender may take.

    Raises
    ------
    trio.TooSlowError
        If the sender has taken longer.
    """
    while True:
        due_s = trio.current_time() + max(LEAST_WAIT_S, time_limit_s - sender.taken_s)
        with trio.move_on_at(due_s):
            return await read()
        now_s = trio.current_time()
        if sender.taken_s < time_limit_s:
            continue
        extra_s = last_read_s(due_s, now_s)
        if not extra_s or sender.last_reads == MAX_LAST_READS:
            raise trio.TooSlowError
        sender.last_reads += 1
        time_limit_s = sender.taken_s + extra_s
