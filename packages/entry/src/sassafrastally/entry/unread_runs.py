"""Runs that nobody reads any more, cancelled in the background."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Any, NamedTuple

import trio

from sassafrastally.entry.attempt_result import ContactLost
from sassafrastally.entry.events import UnreadRunContinues
from sassafrastally.entry.resolution import CONTACT_BACKOFF
from sassafrastally.serving.retries import backoff_s
from sassafrastally.wire.link import LinkCut, LinkRefused, StreamEnded
from sassafrastally.wire.messages import Cancel
from sassafrastally.wire.streams import TooManyStreams

if TYPE_CHECKING:
    from random import Random

    from sassafrastally.core import EventLog
    from sassafrastally.entry.attempt import Attempt
    from sassafrastally.entry.attempt_result import AttemptResult
    from sassafrastally.entry.site import Site
    from sassafrastally.wire.link import Peers

MIN_CANCEL_LIMIT_S = 1.0
"""Time limit of a cancellation if the run is about to end by itself."""

MAX_CANCEL_LIMIT_S = 30.0
"""Time limit of a cancellation: enough to cut a silent link (5 s) and for several dials (5 s)."""

STOP_LIMIT_S = 1.0
"""How long a stop of the service waits for the cancellations in progress."""


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
    random
        Random source for jitter.
    max_pending
        Maximum number of cancellations in progress.
    """

    def __init__(self, peers: Peers, events: EventLog, random: Random, max_pending: int) -> None:
        self._peers = peers
        self._events = events
        self._random = random
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
        with trio.move_on_after(STOP_LIMIT_S):
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
            with trio.move_on_after(cancel_limit_s(run.deadline_s - trio.current_time())) as scope:
                await self._send_until_taken(run.site)
                cause = ""
            if scope.cancelled_caught:
                cause = "its sidecar didn't confirm it in time"
        finally:
            self._pending -= 1
            if not self._pending:
                self._idle.unpark_all()
            if cause:
                self._emit_continues(run, cause)

    async def _send_until_taken(self, site: Site) -> None:
        for tries in count():
            if await self._is_taken(site):
                return
            await trio.sleep(backoff_s(CONTACT_BACKOFF, tries, 0.0, self._random))

    async def _is_taken(self, site: Site) -> bool:
        """Send the cancellation; return whether the sidecar has read it."""
        try:
            link = await self._peers.link_to(site.vm, site.address)
            await link.call(Cancel(site.request_id, site.attempt, "given up"))
        except StreamEnded as cause:
            return not cause.peer_code  # A code means that the sidecar refused the stream unread.
        except (LinkRefused, LinkCut, TooManyStreams):
            return False
        return True

    def _emit_continues(self, run: _UnreadRun, cause: str) -> None:
        if trio.current_time() < run.deadline_s:
            site = run.site
            event = UnreadRunContinues(site.request_id, site.attempt, site.vm, cause)
            self._events.emit(event)


def is_given_up(attempt: Attempt, result: AttemptResult | None) -> bool:
    """Return whether the run of an attempt is to be cancelled, since nobody will read it.

    An idempotent run whose sidecar is out of reach may still be read, by `LostRuns`; if it isn't,
    its sidecar ends it. It doesn't end a run that may not be repeated.
    """
    if result is None:
        return attempt.runs_unread
    if not isinstance(result, ContactLost):
        return False
    is_kept = attempt.plan.request.is_idempotent and not result.is_protocol_error
    return attempt.runs_unread and not is_kept


def cancel_limit_s(time_left_s: float) -> float:
    """Return how long to try to cancel a run that ends by itself after a time."""
    return min(max(time_left_s, MIN_CANCEL_LIMIT_S), MAX_CANCEL_LIMIT_S)
