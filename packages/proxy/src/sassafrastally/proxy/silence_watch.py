"""Watches attempts for silence of their servers."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import h11
import trio

from sassafrastally.proxy.answer import (
    INCOMPLETE_HEADER_DETAIL,
    NO_EVENT_DETAIL,
    SILENT_SHARE,
    TIMEOUT_DETAIL,
)
from sassafrastally.proxy.cpu_overload import due_after_delay_s, sleep_until_read
from sassafrastally.proxy.failover_decision import RECHECK_INTERVAL_S, Silence, next_check_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from sassafrastally.proxy.containment import Containment
    from sassafrastally.proxy.http_stream import HttpStream


class ServerWait:
    """One attempt's waits for its server.

    Attributes
    ----------
    scope
        Cancel scope of the wait for the header of the response.

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
        self._connection: HttpStream | None = None
        """The connection on which the request is sent."""
        self._header_s: float | None = None
        """When the header of the response was received."""

    def record_sending(self, now_s: float, connection: HttpStream) -> None:
        """Record that the request is sent, which a delayed entry does late."""
        self._connection = connection
        self._silent_since_s = due_after_delay_s(self._begin_s, self._begin_s, now_s)

    def record_header(self, now_s: float) -> None:
        """Record the header of the response; the wait for its body begins in `awaited`."""
        self._paused_s = self._header_s = now_s

    def record_event(self, now_s: float) -> None:
        """Record an event of the response."""
        self._silent_since_s = now_s
        self._limit_s = self.event_limit_s

    @contextmanager
    def awaited(self) -> Iterator[None]:
        """Wait for more of a response in the block.

        Only the time in such blocks counts: that of a write to the caller says nothing about the
        server.
        """
        if self._paused_s is not None:
            self._silent_since_s += trio.current_time() - self._paused_s
            self._paused_s = None
        yield
        self._paused_s = trio.current_time()

    def silence_detail(self, now_s: float) -> str:
        """Return what is missing from a server that is silent for longer than the limit.

        A server that sends bytes, but neither a whole header nor an event, isn't silent.
        """
        connection = self._connection
        if connection is None:
            return TIMEOUT_DETAIL
        if connection.http.their_state is h11.SEND_RESPONSE:
            has_part = bool(connection.http.trailing_data[0])
            return INCOMPLETE_HEADER_DETAIL if has_part else TIMEOUT_DETAIL
        is_receiving = now_s - connection.received_s < SILENT_SHARE * self._limit_s
        return NO_EVENT_DETAIL if is_receiving else TIMEOUT_DETAIL

    def silence(self, now_s: float) -> Silence:
        """Return how long the server has been silent."""
        silent_s = now_s - self._silent_since_s if self._paused_s is None else 0.0
        return Silence(silent_s, self._limit_s, has_successor=self.scope.cancel_called)

    def is_endless(self, now_s: float) -> bool:
        """Return whether bytes of the response keep coming without an event or an end.

        That is so while they are awaited, from the limit on, which is counted from the header at
        the earliest: before it, a slow server may be at work.
        """
        if self._connection is None or self._header_s is None or self._paused_s is not None:
            return False
        waited_s = now_s - max(self._silent_since_s, self._header_s)
        silent_s = now_s - self._connection.received_s
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
        on_silence: Callable[[float], None] | None,
        on_endless: Callable[[], None] = lambda: None,
    ) -> Iterator[None]:
        """Watch an attempt while the block runs.

        Parameters
        ----------
        wait
            The attempt's wait.
        on_silence
            Called with the time for which the server has been silent, once that is longer than the
            limit, and again at intervals. ``None`` for a last attempt.
        on_endless
            Called if the attempt is cancelled, at its request's time limit or since the caller has
            left, while bytes kept coming without an event or an end.
        """
        scope = trio.CancelScope()
        if on_silence is not None:
            self._nursery.start_soon(self._containment.run, self._run, wait, on_silence, scope)
        try:
            yield
        except trio.Cancelled:
            if wait.is_endless(trio.current_time()):
                on_endless()
            raise
        finally:
            scope.cancel()

    async def _run(
        self, wait: ServerWait, on_silence: Callable[[float], None], scope: trio.CancelScope
    ) -> None:
        with scope:
            while True:
                silence = wait.silence(trio.current_time())
                delay_s = next_check_s(silence)
                if not delay_s:
                    on_silence(silence.silent_s)
                    delay_s = RECHECK_INTERVAL_S
                # After an event, the limit may be shorter.
                next_s = trio.current_time() + min(delay_s, wait.event_limit_s)
                await sleep_until_read(next_s)
