"""Runs that nobody reads any more, cancelled in the background."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import trio

from sassafrastally.entry.attempt_result import ContactLost
from sassafrastally.entry.events import UnreadRunContinues
from sassafrastally.wire.link import LinkCut, LinkRefused, StreamEnded
from sassafrastally.wire.messages import Cancel
from sassafrastally.wire.streams import TooManyStreams

if TYPE_CHECKING:
    from sassafrastally.core import EventLog
    from sassafrastally.entry.attempt import Attempt
    from sassafrastally.entry.attempt_result import AttemptResult
    from sassafrastally.entry.site import Site
    from sassafrastally.wire.link import Peers

CANCEL_LIMIT_S = 1.0
"""Time limit of a cancellation, also for those that are pending when the service stops."""


class _UnreadRun(NamedTuple):
    """A run to cancel; without its attempt, which holds the bodies of the request."""

    site: Site
    deadline_s: float
    """When the run ends by itself."""


class UnreadRuns:
    """Cancels runs that nobody reads any more, in tasks of the service.

    The request itself must not wait for that: it has ended, maybe at its time limit, and the
    sidecar may be out of reach.

    Parameters
    ----------
    peers
        The links of the process.
    events
        Event log of the process.
    max_pending
        Maximum number of cancellations in progress.
    """

    def __init__(self, peers: Peers, events: EventLog, max_pending: int) -> None:
        self._peers = peers
        self._events = events
        self._max_pending = max_pending
        self._pending = 0
        self._idle = trio.lowlevel.ParkingLot()
        self._stopping = trio.Event()
        self._nursery: trio.Nursery | None = None
        """``None`` while no task can be started."""

    @property
    def pending(self) -> int:
        """Number of cancellations in progress."""
        return self._pending

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Run the cancellations until `stop`."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                task_status.started()
                await self._stopping.wait()
            finally:
                # A request may outlive the service. In a nursery that has ended, a task can't be
                # started.
                self._nursery = None
            nursery.cancel_scope.cancel()

    async def stop(self) -> None:
        """Wait a limited time for the cancellations in progress, then end them."""
        with trio.move_on_after(CANCEL_LIMIT_S):
            while self._pending:
                await self._idle.park()
        self._stopping.set()

    def after_attempt(self, attempt: Attempt, result: AttemptResult | None) -> None:
        """Cancel the run of an attempt that its request has left, unless it may be read later.

        Parameters
        ----------
        attempt
            The attempt.
        result
            Its result; ``None`` if the request ended before.
        """
        if not is_given_up(attempt, result):
            return
        run = _UnreadRun(attempt.site, attempt.plan.request.deadline_s)
        if self._nursery is None:
            self._emit_continues(run, "the entry stops")
        elif self._pending >= self._max_pending:
            self._emit_continues(run, f"{self._pending} cancellations are in progress")
        else:
            self._pending += 1
            self._nursery.start_soon(self._cancel, run)

    async def _cancel(self, run: _UnreadRun) -> None:
        cause = "the entry stops"
        try:
            with trio.move_on_after(CANCEL_LIMIT_S) as scope:
                cause = await self._send(run.site)
            if scope.cancelled_caught:
                cause = "its sidecar wasn't reached in time"
        finally:
            self._pending -= 1
            if not self._pending:
                self._idle.unpark_all()
            if cause:
                self._emit_continues(run, cause)

    async def _send(self, site: Site) -> str:
        """Send the cancellation on a stream of its own; return why that failed, or ``""``."""
        try:
            link = await self._peers.link_to(site.vm, site.address)
            async with link.open_stream() as stream:
                await stream.send(Cancel(site.request_id, site.attempt, "given up"))
        except (LinkRefused, LinkCut, StreamEnded, TooManyStreams) as cause:
            return cause.detail
        return ""

    def _emit_continues(self, run: _UnreadRun, cause: str) -> None:
        if trio.current_time() < run.deadline_s:
            site = run.site
            event = UnreadRunContinues(site.request_id, site.attempt, site.vm, cause)
            self._events.emit(event)


def is_given_up(attempt: Attempt, result: AttemptResult | None) -> bool:
    """Return whether the run of an attempt is to be cancelled, since nobody will read it.

    An idempotent run whose sidecar is out of reach may still be read, by `LostRuns`; if it isn't,
    its sidecar ends it.
    """
    if result is None:
        return attempt.runs_unread
    return isinstance(result, ContactLost) and result.is_protocol_error and attempt.runs_unread
