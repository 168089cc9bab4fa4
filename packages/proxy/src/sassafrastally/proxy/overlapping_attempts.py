"""Attempts of one request that are open at the same time, and which of them goes on."""

from __future__ import annotations

from contextlib import asynccontextmanager, contextmanager
from typing import TYPE_CHECKING, Generic, TypeVar

import trio

from sassafrastally.proxy.exception_groups import raise_first
from sassafrastally.proxy.failover_decision import (
    Handling,
    Received,
    Reserve,
    handling,
    is_dispensable,
    may_start_another,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

    from sassafrastally.proxy.open_attempt import OpenAttempt

Start = TypeVar("Start")
"""Where an attempt starts: a server, or a placement on engines."""


class OverlappingAttempts(Generic[Start]):
    """Runs an attempt and its successors until the response of one of them is complete.

    The attempt at a silent server stays open beside its successor, which may be rejected, find its
    server gone or fail later. Each writes to the caller only in its `turn`, and only that for which
    `receive` returns `Handling.FORWARD`. An attempt is closed between two events: by itself, or in
    the turn of another one.

    Parameters
    ----------
    make
        Makes one attempt; returns whether its response is complete.
    is_time_over
        Returns whether the time limit of the request has passed.
    """

    def __init__(
        self,
        make: Callable[[Start], Awaitable[bool]],
        is_time_over: Callable[[], bool] = lambda: False,
    ) -> None:
        self._make = make
        self._is_time_over = is_time_over
        self._open: list[OpenAttempt] = []
        self._starting: list[Start] = []
        """Successors that have been added and aren't open yet."""
        self._unfinished = 0
        """Attempts whose outcome isn't recorded yet."""
        self._nursery: trio.Nursery | None = None
        self._has_response = False
        self._leader: OpenAttempt | None = None
        """The attempt that forwarded an event last."""
        self._is_decided = True
        """Whether one has forwarded an event since another one was added."""
        self._writing = trio.Lock()

    def close(self) -> None:
        """Drop the references to their user after the last attempt.

        A cycle of references would hold the bodies of many requests until a garbage collection.
        """
        del self._make, self._is_time_over

    async def run(self, first: Start) -> bool:
        """Make an attempt and those that are added; return whether a response is complete."""
        self._has_response = False
        try:
            async with trio.open_nursery() as self._nursery:
                await self._run(first)
        except BaseExceptionGroup as errors:
            raise_first(errors)
        return self._has_response

    @contextmanager
    def open(self, attempt: OpenAttempt) -> Iterator[None]:
        """Count an attempt as open while the block runs; leave the block when it is closed."""
        self._open.append(attempt)
        try:
            with attempt.scope:
                yield
        finally:
            self._open.remove(attempt)

    @property
    def is_single(self) -> bool:
        """Whether one attempt is open and no other one begins."""
        return len(self._open) == 1 and not self._starting

    def has_others(self, attempt: OpenAttempt) -> bool:
        """Return whether other attempts are open or begin."""
        return bool(self._starting) or any(self._others(attempt))

    def is_contested(self, attempt: OpenAttempt) -> bool:
        """Return whether the next event may come from any of several attempts."""
        return not self._is_decided and any(one.is_sent for one in self._others(attempt))

    def silent(self, now_s: float) -> list[OpenAttempt]:
        """Return the open attempts if the silence of all of them allows another one.

        None is allowed before the outcome of the last one is recorded: it may have crashed its
        server, and a quarantine may have to be awaited.
        """
        remaining = [one for one in self._open if not one.is_closed]
        if self._starting or self._unfinished != len(remaining):
            return []
        return remaining if may_start_another(one.wait.silence(now_s) for one in remaining) else []

    def add(self, start: Start) -> None:
        """Make another attempt beside those that are open."""
        if self._nursery is None:
            raise RuntimeError("no attempt is open")
        self._starting.append(start)
        self._is_decided = False
        self._nursery.start_soon(self._run_added, start)

    @asynccontextmanager
    async def turn(self, attempt: OpenAttempt) -> AsyncIterator[None]:
        """Let no other attempt write to the caller while the block runs.

        Raises
        ------
        trio.Cancelled
            If the attempt has been closed.
        """
        try:
            self._writing.acquire_nowait()
        except trio.WouldBlock:
            await self._writing.acquire()
        try:
            yield
        finally:
            self._writing.release()

    async def receive(self, attempt: OpenAttempt, received: Received) -> Handling:
        """Return what becomes of what an attempt has received, and close those that it ends.

        Raises
        ------
        trio.Cancelled
            If the attempt has been closed.
        """
        if attempt.is_closed:
            await trio.lowlevel.checkpoint_if_cancelled()
        decision = handling(received, has_others=self.has_others(attempt))
        if decision is Handling.CLOSE:
            attempt.has_differed = True
            attempt.close(self._leader)
            await trio.lowlevel.checkpoint_if_cancelled()
        if decision is Handling.FORWARD and received is not Received.COMMENT:
            self._leader, self._is_decided = attempt, True
            self._close_dispensable(attempt, is_complete=received is Received.RESPONSE)
        return decision

    def close_all(self) -> None:
        """Close all attempts, since the caller gets something else."""
        self._starting.clear()
        for attempt in list(self._open):
            attempt.close(None)

    def _close_dispensable(self, leader: OpenAttempt, *, is_complete: bool) -> None:
        """Close the attempts that aren't needed beside one whose events are forwarded."""
        self._starting.clear()
        has_gone_on = leader.progress_since_silence.is_going_on
        for other in list(self._others(leader)):
            reserve = Reserve(other.is_sent, has_gone_on, self._is_time_over())
            if is_complete or is_dispensable(reserve):
                other.close(leader)

    def _others(self, attempt: OpenAttempt) -> Iterator[OpenAttempt]:
        return (one for one in self._open if one is not attempt and not one.is_closed)

    async def _run_added(self, start: Start) -> None:
        if start in self._starting:
            self._starting.remove(start)
            await self._run(start)

    async def _run(self, start: Start) -> None:
        self._unfinished += 1
        try:
            is_complete = await self._make(start)
        finally:
            self._unfinished -= 1
        self._has_response |= is_complete
        if self._has_response and not self._open and self._nursery is not None:
            # Those that are closed have been recorded; others only wait for what they record about
            # their servers.
            self._nursery.cancel_scope.cancel()
