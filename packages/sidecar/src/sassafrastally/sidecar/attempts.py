"""The bounded table of attempts: who has reserved, who runs, and what must not run again."""

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

RETRY_FULL_S = 1.0
"""When to come back to a table that is full."""


class GivenUp(NamedTuple):
    """Why an attempt was cancelled."""

    code: str
    """Code of the refusal catalogue; empty when the caller's side gave it up."""
    detail: str


class Attempt:
    """One attempt that is reserved, waits or runs.

    Parameters
    ----------
    reserve
        The message that asked for it.
    answer
        Where its answer grows.
    now_s
        When it came, on the sidecar's monotonic clock.
    lapse_s
        After how long the reservation lapses.
    """

    def __init__(self, reserve: Reserve, answer: Answer, now_s: float, lapse_s: float) -> None:
        self.key = AttemptKey(reserve.request_id, reserve.attempt)
        self.reserve = reserve
        self.answer = answer
        self.state = AttemptState.RESERVED
        self.arrived_s = now_s
        self.lapses_at_s = now_s + lapse_s
        self.deadline_s = now_s + reserve.time_limit_s
        """When the time limit ends; a commit may only bring it nearer."""
        self.work: Work | None = None
        """What the scheduler sees of it; ``None`` for a plain service."""
        self.body: list[bytes] = []
        self.body_bytes = reserve.body_size_bytes
        """Bytes of body that the process has to hold for it."""
        self.is_handed_over = False
        """Whether the body came whole and its run has begun to wait for its turn."""
        self.stream_id = ""
        """Name of its stream on the engine."""
        self.segment: Segment | None = None
        """Its part of a span; ``None`` when the engine computes the whole prompt."""
        self.has_started = False
        """Whether it was handed to the backend server; before that it has certainly not run."""
        self.settled = trio.Event()
        self.given_up: GivenUp | None = None
        """Why it was cancelled; ``None`` while it wasn't."""
        self.scope = trio.CancelScope()
        """Ends the waiting and the run."""

    def commit(self, now_s: float, time_limit_s: float) -> None:
        """Spend the reservation."""
        self.state = AttemptState.COMMITTED
        self.deadline_s = min(self.deadline_s, now_s + time_limit_s)

    def take_body(self) -> bytes:
        """Return the body and keep no copy."""
        body = b"".join(self.body)
        self.body.clear()
        return body

    def give_up(self, reason: GivenUp) -> None:
        """Cancel the waiting or the run."""
        self.given_up = self.given_up or reason
        self.scope.cancel()


class Mark(NamedTuple):
    """What is kept of a settled attempt, so that it never runs again."""

    state: AttemptState
    settled_at_s: float


class BoundReached(NamedTuple):
    """A bound of the table that is reached."""

    items: str
    """What is counted."""
    limit: int
    measured: int
    retry_after_s: float


class AttemptTable:
    """Attempts by request id and number, with a bound on each kind of entry.

    Parameters
    ----------
    settings
        The bounds.

    Notes
    -----
    A mark stops a late reserve or commit: without it a message that was held up, by a frozen
    sender or a slow link, would run what the caller was told had not run. So a mark that must
    hold is never thrown out while it is young; at the bound new reservations are refused. Marks
    of idempotent attempts that ran may leave early, since a further run does no harm there; while
    one of these would still be young, nothing unknown is said to be absent.
    """

    def __init__(self, settings: SidecarSettings) -> None:
        self._settings = settings
        self._live: dict[AttemptKey, Attempt] = {}
        self._marks: OrderedDict[AttemptKey, Mark] = OrderedDict()
        self._ran_marks: OrderedDict[AttemptKey, Mark] = OrderedDict()
        self._closed_until_s = float("-inf")
        self._unsure_until_s = float("-inf")
        self.body_bytes = 0
        """Bytes of request bodies promised to live attempts that still need them."""

    @property
    def live(self) -> tuple[Attempt, ...]:
        """Attempts that are not settled."""
        return tuple(self._live.values())

    @property
    def live_count(self) -> int:
        """How many attempts are not settled."""
        return len(self._live)

    @property
    def mark_count(self) -> int:
        """How many marks are kept."""
        return len(self._marks) + len(self._ran_marks)

    def find(self, key: AttemptKey, now_s: float) -> Attempt | None:
        """Return a live attempt, after voiding its reservation if that has lapsed."""
        attempt = self._live.get(key)
        if attempt is not None and self._is_lapsed(attempt, now_s):
            self.void(attempt, now_s)
            return None
        return attempt

    def mark(self, key: AttemptKey) -> Mark | None:
        """Return the mark of a settled attempt."""
        return self._marks.get(key) or self._ran_marks.get(key)

    def state(self, key: AttemptKey, now_s: float) -> AttemptState:
        """Return what is known of an attempt.

        While marks of attempts that ran have left early, an unknown attempt may be one of them:
        "absent" would be taken as proof that it has not run, so the answer is the same as of
        another incarnation, that nobody can tell.
        """
        if (attempt := self.find(key, now_s)) is not None:
            return attempt.state
        if (mark := self.mark(key)) is not None:
            return mark.state
        if now_s < self._unsure_until_s:
            return AttemptState.OTHER_INCARNATION
        return AttemptState.ABSENT

    def bound_reached(self, now_s: float) -> BoundReached | None:
        """Return the bound that keeps one more attempt, or the mark that it leaves, out."""
        self.expire(now_s)
        live, marks = len(self._live), len(self._live) + len(self._marks)
        if live >= self._settings.max_attempts:
            return BoundReached("attempts", self._settings.max_attempts, live, RETRY_FULL_S)
        if marks >= self._settings.max_marks:
            oldest = next(iter(self._marks.values()), None)
            since_s = oldest.settled_at_s if oldest else now_s
            wait_s = max(RETRY_FULL_S, since_s + self._settings.mark_age_s - now_s)
            return BoundReached("marks", self._settings.max_marks, marks, wait_s)
        if now_s < self._closed_until_s:
            limit = self._settings.max_marks
            return BoundReached("marks", limit, limit, self._closed_until_s - now_s)
        return None

    def add(self, attempt: Attempt) -> None:
        """Take in a reserved attempt; `bound_reached` was asked and its key is absent."""
        self._live[attempt.key] = attempt
        self.body_bytes += attempt.body_bytes

    def release_body(self, attempt: Attempt) -> None:
        """Note that the backend server has the whole body."""
        self.body_bytes -= attempt.body_bytes
        attempt.body_bytes = 0

    def settle(self, attempt: Attempt, state: AttemptState, now_s: float) -> None:
        """Turn a live attempt into a mark; a second call changes nothing."""
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
                self._unsure_until_s = forgotten.settled_at_s + self._settings.mark_age_s
        else:
            self._marks[attempt.key] = mark
        attempt.settled.set()

    def void(self, attempt: Attempt, now_s: float) -> None:
        """Settle an attempt that was not committed or whose body never came whole."""
        self.settle(attempt, AttemptState.VOIDED, now_s)

    def void_absent(self, key: AttemptKey, now_s: float) -> None:
        """Leave a mark for an attempt that never came, so that it is refused if it comes late.

        When there is no room for it, all reservations are refused for as long as the mark would
        have been kept: the promise holds without memory for it.
        """
        self.expire(now_s)
        if len(self._live) + len(self._marks) >= self._settings.max_marks:
            self._closed_until_s = now_s + self._settings.mark_age_s
            return
        self._marks[key] = Mark(AttemptState.VOIDED, now_s)

    def expire(self, now_s: float) -> None:
        """Void what has lapsed and drop marks that are old enough."""
        for attempt in [a for a in self._live.values() if self._is_lapsed(a, now_s)]:
            self.void(attempt, now_s)
        oldest_s = now_s - self._settings.mark_age_s
        for marks in (self._marks, self._ran_marks):
            while marks and next(iter(marks.values())).settled_at_s < oldest_s:
                marks.popitem(last=False)

    def _is_lapsed(self, attempt: Attempt, now_s: float) -> bool:
        return attempt.state is AttemptState.RESERVED and now_s >= attempt.lapses_at_s
