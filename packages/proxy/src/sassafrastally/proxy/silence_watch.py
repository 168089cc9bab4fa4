"""Watches attempts for silence of their servers and ends those that another server takes over."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from sassafrastally.proxy.answer import AttemptUnknown, timeout_error
from sassafrastally.proxy.answer_events import NO_EVENT_DETAIL, SILENT_SHARE
from sassafrastally.proxy.cpu_overload import due_after_delay_s, sleep_until_read
from sassafrastally.proxy.failover_decision import RECHECK_INTERVAL_S, Silence, next_check_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from sassafrastally.proxy.answer import Answer
    from sassafrastally.proxy.containment import Containment


class ServerWait:
    """One attempt's waits for its server.

    Attributes
    ----------
    scope
        Cancel scope of the present wait; the first one is for the header of the response.

    Parameters
    ----------
    begin_s
        Start time of the attempt.
    first_limit_s
        Silence before the first event after which another server should take over.
    event_limit_s
        The same between events; not longer than `first_limit_s`.
    """

    def __init__(self, begin_s: float, first_limit_s: float, event_limit_s: float) -> None:
        self.scope = trio.CancelScope()
        self.event_limit_s = event_limit_s
        self._limit_s = first_limit_s
        self._begin_s = begin_s
        self._silent_since_s = begin_s
        self._paused_s: float | None = None
        self._header_s = begin_s
        self._answer: Answer | None = None

    def record_sending(self, now_s: float) -> None:
        """Record that the request is sent, which a delayed entry does late."""
        self._silent_since_s = due_after_delay_s(self._begin_s, self._begin_s, now_s)

    def record_header(self, now_s: float) -> None:
        """Record the header of the response; the wait for its body begins in `awaited`."""
        self._paused_s = self._header_s = now_s

    def record_event(self, now_s: float) -> None:
        """Record an event of the response."""
        self._silent_since_s = now_s
        self._limit_s = self.event_limit_s

    @contextmanager
    def awaited(self, answer: Answer) -> Iterator[None]:
        """Wait for more of a response in the block.

        Only this wait is cancelled, and only its time counts. A write to the caller cancelled
        halfway would leave a partial chunk on the connection, followed by the bytes of the next
        attempt, and its time says nothing about the server.

        Raises
        ------
        AttemptUnknown
            If another server takes over; not as a timeout if bytes keep coming, since the server
            isn't silent then.
        """
        if self._paused_s is not None:
            self._silent_since_s += trio.current_time() - self._paused_s
            self._paused_s = None
        self._answer = answer
        with trio.CancelScope() as self.scope:
            yield
        self._paused_s = trio.current_time()
        if self.scope.cancelled_caught:
            if trio.current_time() - answer.received_s < SILENT_SHARE * self._limit_s:
                raise AttemptUnknown(NO_EVENT_DETAIL)
            raise timeout_error()

    def silence(self, now_s: float) -> Silence:
        """Return how long the server has been silent."""
        silent_s = now_s - self._silent_since_s if self._paused_s is None else 0.0
        return Silence(silent_s, self._limit_s, has_successor=self.scope.cancel_called)

    def is_endless(self, now_s: float) -> bool:
        """Return whether bytes of the response keep coming without an event or an end.

        That is so while they are awaited, from the limit on, which is counted from the header at
        the earliest: before it, a slow server may be at work.
        """
        if self._answer is None or self._paused_s is not None:
            return False
        waited_s = now_s - max(self._silent_since_s, self._header_s)
        silent_s = now_s - self._answer.received_s
        return waited_s >= self._limit_s and silent_s < SILENT_SHARE * self._limit_s


class SilenceWatch:
    """Watches the attempts of one process.

    Parameters
    ----------
    nursery
        Runs a task for each attempt that may be repeated.
    containment
        Contains errors of these tasks.
    """

    def __init__(self, nursery: trio.Nursery, containment: Containment) -> None:
        self._nursery = nursery
        self._containment = containment

    @contextmanager
    def watch(
        self,
        wait: ServerWait,
        claim_successor: Callable[[float], bool] | None,
        on_endless: Callable[[], None] = lambda: None,
    ) -> Iterator[None]:
        """Watch an attempt while the block runs.

        Parameters
        ----------
        wait
            The attempt's wait; cancelled once another server takes over.
        claim_successor
            Makes the next attempt certain if it can; returns whether it is. Called with the time
            for which the server has been silent. ``None`` for a last attempt.
        on_endless
            Called if the attempt is cancelled, at its request's time limit or since the caller has
            left, while bytes kept coming without an event or an end.
        """
        scope = trio.CancelScope()
        if claim_successor is not None:
            self._nursery.start_soon(self._containment.run, self._run, wait, claim_successor, scope)
        try:
            yield
        except trio.Cancelled:
            if wait.is_endless(trio.current_time()):
                on_endless()
            raise
        finally:
            scope.cancel()

    async def _run(
        self, wait: ServerWait, claim_successor: Callable[[float], bool], scope: trio.CancelScope
    ) -> None:
        with scope:
            while True:
                silence = wait.silence(trio.current_time())
                delay_s = next_check_s(silence)
                if not delay_s:
                    if claim_successor(silence.silent_s):
                        wait.scope.cancel()
                    delay_s = RECHECK_INTERVAL_S
                # After an event, the limit may be shorter.
                next_s = trio.current_time() + min(delay_s, wait.event_limit_s)
                await sleep_until_read(next_s)
