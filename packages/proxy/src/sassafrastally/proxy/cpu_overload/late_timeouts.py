"""Timeouts of an entry whose tasks run late, as on a VM that is paused or short of CPU time.

When such an entry runs again, a timeout has expired although the server may have answered: the
entry hasn't read yet, or had not even sent the request. Taken for silence of the server, this would
eject healthy servers at all entries and answer callers that their request may have run. No delay is
measured: a timer that fires late shows it. Timers of an entry that isn't delayed fire on time, so
that nothing changes there.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeVar

import trio

from sassafrastally.core.late_limits import LAST_READ_S, MAX_LAST_READS, last_read_s
from sassafrastally.proxy.cpu_overload.lag_window import MAX_LAG_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

T = TypeVar("T")


def was_late(due_s: float, now_s: float) -> bool:
    """Return whether a timer was so late that its expiry says nothing about a server."""
    return now_s - due_s > MAX_LAG_S


def due_after_delay_s(due_s: float, begin_s: float, sent_s: float) -> float:
    """Return when a response is due whose request was sent later than planned.

    Parameters
    ----------
    due_s
        Time at which it was due when the attempt began.
    begin_s
        Time at which the attempt began.
    sent_s
        Time at which the request is sent. Connecting takes milliseconds; more than `MAX_LAG_S` is
        the entry's own delay, or that of the network, and isn't taken from the server's time.
    """
    delay_s = sent_s - begin_s
    return due_s + delay_s if delay_s > MAX_LAG_S else due_s


async def read_until(read: Callable[[], Awaitable[T]], due_s: float) -> T:
    """Read until a time, and once more if the timer fires late; again if that one does, too.

    Parameters
    ----------
    read
        Reads; loses nothing when it is cancelled.
    due_s
        Time by which it must be done.

    Raises
    ------
    trio.TooSlowError
        If it isn't done in time.
    """
    for _ in range(1 + MAX_LAST_READS):
        with trio.move_on_at(due_s):
            return await read()
        now_s = trio.current_time()
        extra_s = last_read_s(due_s, now_s)
        if not extra_s:
            break
        due_s = now_s + extra_s
    raise trio.TooSlowError


async def sleep_until_read(due_s: float, reads_end_s: float = math.inf) -> None:
    """Sleep until a time; longer if the timer fires late, to read what has arrived meanwhile.

    Parameters
    ----------
    due_s
        The time.
    reads_end_s
        Time from which it doesn't sleep longer.
    """
    await trio.sleep_until(due_s)
    for _ in range(MAX_LAST_READS):
        now_s = trio.current_time()
        extra_s = last_read_s(due_s, now_s, reads_end_s)
        if not extra_s:
            return
        due_s = now_s + extra_s
        await trio.sleep_until(due_s)


class StepTimeout:
    """Timeout of an exchange of several steps, of which each one may run late.

    A step that begins when little time is left, since earlier ones ran late, still gets
    `LAST_READ_S`: within it, a server that works responds.

    Parameters
    ----------
    time_limit_s
        Time for all steps.
    """

    def __init__(self, time_limit_s: float) -> None:
        self.due_s = trio.current_time() + time_limit_s

    def extend(self, time_limit_s: float) -> None:
        """Allow at least this time from now."""
        self.due_s = max(self.due_s, trio.current_time() + time_limit_s)

    async def run(self, step: Callable[[], Awaitable[T]]) -> T:
        """Run a step that can't be repeated; raises `trio.TooSlowError`."""
        with trio.fail_at(self._step_due_s()):
            return await step()

    async def read(self, step: Callable[[], Awaitable[T]]) -> T:
        """Run a step that loses nothing when it is cancelled, once more if its timer fires late.

        Raises
        ------
        trio.TooSlowError
            If it doesn't complete in time.
        """
        return await read_until(step, self._step_due_s())

    def _step_due_s(self) -> float:
        return max(self.due_s, trio.current_time() + LAST_READ_S)
