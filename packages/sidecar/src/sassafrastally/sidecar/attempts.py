"""The bounded table of attempts: reserved, running and settled ones that must not run again."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.serving.outcome import AttemptState
from sassafrastally.sidecar.attempt_key import AttemptKey

if TYPE_CHECKING:
    from sassafrastally.serving.scheduling import Work
    from sassafrastally.sidecar.answer import Answer
    from sassafrastally.sidecar.segment import Segment
    from sassafrastally.sidecar.settings import SidecarSettings
    from sassafrastally.wire.messages import Reserve

TABLE_FULL_RETRY_S = 1.0
"""Retry-after time when the table is full."""


class CancelReason(NamedTuple):
    """Why an attempt was cancelled."""

    code: str
    """Code of the refusal catalogue; empty when the caller or the entry cancelled it."""
    detail: str


class Attempt:
    """One attempt that is reserved, waiting or running.

    Parameters
    ----------
    reserve
        The message that requested the reservation.
    answer
        Buffer for the answer.
    now_s
        Arrival time on the sidecar's monotonic clock.
    lapse_s
        Time after which the reservation lapses.
    """

    def __init__(self, reserve: Reserve, answer: Answer, now_s: float, lapse_s: float) -> None:
        self.key = AttemptKey(reserve.request_id, reserve.attempt)
        self.reserve = reserve
        self.answer = answer
        self.state = AttemptState.RESERVED
        self.arrived_s = now_s
        self.lapses_at_s = now_s + lapse_s
        self.deadline_s = now_s + reserve.time_limit_s
        """When the time limit ends; a commit can only make it earlier."""
        self.work: Work | None = None
        """Work item of the scheduler; ``None`` for a plain service."""
        self.body: list[bytes] = []
        self.body_bytes = reserve.body_size_bytes
        """Bytes of request body that the process holds or must hold for it."""
        self.is_handed_over = False
        """Whether the body is complete and the attempt was passed to the runner."""
        self.stream_id = ""
        """Id of its stream on the engine."""
        self.segment: Segment | None = None
        """Its segment of a span; ``None`` when the engine computes the whole prompt."""
        self.has_started = False
        """Whether it was sent to the backend server; until then it has certainly not run."""
        self.settled = trio.Event()
        self.cancel_reason: CancelReason | None = None
        """Why it was cancelled; ``None`` if it wasn't."""
        self.scope = trio.CancelScope()
        """Cancels the wait and the run."""

    def commit(self, now_s: float, time_limit_s: float) -> None:
        """Turn the reservation into a commitment to run."""
        self.state = AttemptState.COMMITTED
        self.deadline_s = min(self.deadline_s, now_s + time_limit_s)

    def take_body(self) -> bytes:
        """Return the body and release the stored copy."""
        body = b"".join(self.body)
        self.body.clear()
        return body

    def give_up(self, reason: CancelReason) -> None:
        """Cancel the wait or the run; the first reason is kept."""
        self.cancel_reason = self.cancel_reason or reason
        self.scope.cancel()


class Mark(NamedTuple):
    """Tombstone of a settled attempt, which keeps the attempt from running again."""

    state: AttemptState
    settled_at_s: float


class LimitReached(NamedTuple):
    """A limit of the table that is reached."""

    items: str
    """What the limit counts."""
    limit: int
    measured: int
    retry_after_s: float


class AttemptTable:
    """Attempts by request id and number, with a limit on each kind of entry.

    Parameters
    ----------
    settings
        The limits.

    Notes
    -----
    A mark (tombstone) blocks a late reserve or commit. Without it, a message delayed by a frozen
    sender or a slow link would run an attempt that was reported to the caller as not run. Marks
    are therefore never evicted before ``mark_age_s``; when their limit is reached, new
    reservations are refused. Only marks of idempotent attempts that ran may be evicted early,
    because repeating them is harmless. Until the evicted mark would have expired, no unknown
    attempt is reported as absent.
    """

    def __init__(self, settings: SidecarSettings) -> None:
        self._settings = settings
        self._live: dict[AttemptKey, Attempt] = {}
        self._marks: OrderedDict[AttemptKey, Mark] = OrderedDict()
        self._ran_marks: OrderedDict[AttemptKey, Mark] = OrderedDict()
        self._closed_until_s = float("-inf")
        self._absence_unknown_until_s = float("-inf")
        self.body_bytes = 0
        """Bytes of request bodies that are held or reserved for live attempts."""

    @property
    def live(self) -> tuple[Attempt, ...]:
        """Attempts that are not settled yet."""
        return tuple(self._live.values())

    @property
    def live_count(self) -> int:
        """Number of attempts that are not settled yet."""
        return len(self._live)

    @property
    def mark_count(self) -> int:
        """Number of marks kept."""
        return len(self._marks) + len(self._ran_marks)

    def find(self, key: AttemptKey, now_s: float) -> Attempt | None:
        """Return a live attempt; a lapsed reservation is voided and not returned."""
        attempt = self._live.get(key)
        if attempt is not None and self._is_lapsed(attempt, now_s):
            self.void(attempt, now_s)
            return None
        return attempt

    def mark(self, key: AttemptKey) -> Mark | None:
        """Return the mark of a settled attempt."""
        return self._marks.get(key) or self._ran_marks.get(key)

    def state(self, key: AttemptKey, now_s: float) -> AttemptState:
        """Return the known state of an attempt.

        After marks of attempts that ran were evicted early, an unknown attempt may be one of them.
        "Absent" would be taken as proof that it has not run, so the state is reported as that of
        another incarnation, whose outcome is unknown.
        """
        if (attempt := self.find(key, now_s)) is not None:
            return attempt.state
        if (mark := self.mark(key)) is not None:
            return mark.state
        if now_s < self._absence_unknown_until_s:
            return AttemptState.OTHER_INCARNATION
        return AttemptState.ABSENT

    def limit_reached(self, now_s: float) -> LimitReached | None:
        """Return the limit that prevents adding an attempt or its later mark, if any."""
        self.expire(now_s)
        live, marks = len(self._live), len(self._live) + len(self._marks)
        if live >= self._settings.max_attempts:
            return LimitReached("attempts", self._settings.max_attempts, live, TABLE_FULL_RETRY_S)
        if marks >= self._settings.max_marks:
            oldest = next(iter(self._marks.values()), None)
            since_s = oldest.settled_at_s if oldest else now_s
            wait_s = max(TABLE_FULL_RETRY_S, since_s + self._settings.mark_age_s - now_s)
            return LimitReached("marks", self._settings.max_marks, marks, wait_s)
        if now_s < self._closed_until_s:
            limit = self._settings.max_marks
            return LimitReached("marks", limit, limit, self._closed_until_s - now_s)
        return None

    def add(self, attempt: Attempt) -> None:
        """Add a reserved attempt; the caller has checked `limit_reached` and that it is absent."""
        self._live[attempt.key] = attempt
        self.body_bytes += attempt.body_bytes

    def release_body(self, attempt: Attempt) -> None:
        """Release the memory accounted for the body: the backend server has all of it."""
        self.body_bytes -= attempt.body_bytes
        attempt.body_bytes = 0

    def settle(self, attempt: Attempt, state: AttemptState, now_s: float) -> None:
        """Replace a live attempt by a mark; further calls have no effect."""
        if self._live.pop(attempt.key, None) is None:
            return
        attempt.state = state
        attempt.body.clear()
        self.release_body(attempt)
        mark = Mark(state, now_s)
        if state is not AttemptState.VOIDED and attempt.reserve.idempotent:
            self._ran_marks[attempt.key] = mark
            while len(self._ran_marks) > self._settings.max_ran_marks:
                _, forgotten = self._ran_marks.popitem(last=False)
                self._absence_unknown_until_s = forgotten.settled_at_s + self._settings.mark_age_s
        else:
            self._marks[attempt.key] = mark
        attempt.settled.set()

    def void(self, attempt: Attempt, now_s: float) -> None:
        """Settle an attempt that was not committed or whose body was never complete."""
        self.settle(attempt, AttemptState.VOIDED, now_s)

    def void_absent(self, key: AttemptKey, now_s: float) -> None:
        """Add a mark for an attempt that never arrived, so that a late arrival is refused.

        When there is no room for the mark, all reservations are refused for as long as it would
        have been kept, which gives the same guarantee without using memory.
        """
        self.expire(now_s)
        if len(self._live) + len(self._marks) >= self._settings.max_marks:
            self._closed_until_s = now_s + self._settings.mark_age_s
            return
        self._marks[key] = Mark(AttemptState.VOIDED, now_s)

    def expire(self, now_s: float) -> None:
        """Void lapsed reservations and drop marks that have reached their maximum age."""
        for attempt in [a for a in self._live.values() if self._is_lapsed(a, now_s)]:
            self.void(attempt, now_s)
        oldest_s = now_s - self._settings.mark_age_s
        for marks in (self._marks, self._ran_marks):
            while marks and next(iter(marks.values())).settled_at_s < oldest_s:
                marks.popitem(last=False)

    def _is_lapsed(self, attempt: Attempt, now_s: float) -> bool:
        return attempt.state is AttemptState.RESERVED and now_s >= attempt.lapses_at_s
