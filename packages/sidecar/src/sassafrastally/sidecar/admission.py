"""Admission control: decides whether an attempt is reserved or refused immediately."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.serving.outcome import AttemptState
from sassafrastally.serving.refusals import Figures, Refusal
from sassafrastally.sidecar.attempt_key import AttemptKey
from sassafrastally.sidecar.attempts import TABLE_FULL_RETRY_S, Attempt
from sassafrastally.sidecar.segments import SEGMENT_LAPSE_FACTOR

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sassafrastally.core import Clock
    from sassafrastally.sidecar.answer import AnswerStore
    from sassafrastally.sidecar.attempts import AttemptTable
    from sassafrastally.sidecar.backend import Admitted, Backend
    from sassafrastally.sidecar.leaving import Leaving
    from sassafrastally.sidecar.settings import SidecarSettings
    from sassafrastally.wire.messages import Reserve


class Reservation(NamedTuple):
    """Capacity reserved for an attempt."""

    attempt: Attempt
    backend: Backend
    admitted: Admitted


class Admission:
    """Decides on reservations.

    No method awaits, so two concurrent reservations can't take the same capacity.

    Parameters
    ----------
    clock
        The process's clock.
    settings
        The limits.
    table
        All attempts.
    answers
        Store for the answers of admitted attempts.
    leaving
        Whether the backend server is leaving.
    """

    def __init__(
        self,
        clock: Clock,
        settings: SidecarSettings,
        table: AttemptTable,
        answers: AnswerStore,
        leaving: Leaving,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._table = table
        self._answers = answers
        self._leaving = leaving
        self.engine: Backend | None = None
        """The model engine, if this sidecar has one."""
        self.services: Mapping[str, Backend] = {}
        """Plain services, by name."""

    def backend_of(self, reserve: Reserve) -> Backend:
        """Return the backend that an attempt targets; raises `Refusal` when there is none."""
        if reserve.service:
            if (service := self.services.get(reserve.service)) is not None:
                return service
        elif self.engine is not None:
            return self.engine
        target = reserve.service or reserve.model
        raise Refusal("no-replica", Figures(detail=f"{target} is not served here"))

    def reserve(self, reserve: Reserve) -> Reservation:
        """Reserve capacity for an attempt; raises `Refusal` when it isn't admitted."""
        now_s = self._clock.now_s()
        self._check_known(AttemptKey(reserve.request_id, reserve.attempt), now_s)
        if self._leaving.is_leaving:
            raise Refusal("leaving")
        if reserve.commit_now and not reserve.idempotent:
            raise Refusal("bad-request", Figures(detail="commit_now is for idempotent requests"))
        self._check_bounds(reserve, now_s)
        backend = self.backend_of(reserve)
        admitted = backend.admit(reserve, now_s)
        answer = self._answers.begin(AttemptKey(reserve.request_id, reserve.attempt))
        attempt = Attempt(reserve, answer, now_s, self._settings.reservation_lapse_s)
        backend.register(attempt, admitted)
        if attempt.segment is not None:
            wait_s = SEGMENT_LAPSE_FACTOR * reserve.starts_in_s
            attempt.lapses_at_s = min(attempt.lapses_at_s + wait_s, attempt.deadline_s)
        self._table.add(attempt)
        return Reservation(attempt, backend, admitted)

    def refuse_commit(self, key: AttemptKey) -> Refusal:
        """Return the refusal for a commit without a matching reservation.

        An absent attempt is marked as voided, so that it never runs.
        """
        now_s = self._clock.now_s()
        state = self._table.state(key, now_s)
        if state is AttemptState.ABSENT:
            self._table.void_absent(key, now_s)
        return _refusal_for_state(state)

    def _check_known(self, key: AttemptKey, now_s: float) -> None:
        state = self._table.state(key, now_s)
        # An attempt that is no longer known is admitted: it was idempotent, or it is new.
        if state not in (AttemptState.ABSENT, AttemptState.OTHER_INCARNATION):
            raise _refusal_for_state(state)

    def _check_bounds(self, reserve: Reserve, now_s: float) -> None:
        if (reached := self._table.limit_reached(now_s)) is not None:
            raise Refusal(
                "overloaded",
                Figures(reached.limit, reached.measured, reached.retry_after_s, reached.items),
            )
        body_bytes = self._table.body_bytes + reserve.body_size_bytes
        limit_bytes = self._settings.max_body_bytes
        if reserve.body_size_bytes > limit_bytes:
            raise Refusal("body-too-large", Figures(limit_bytes, reserve.body_size_bytes))
        if body_bytes > limit_bytes:
            raise Refusal(
                "overloaded", Figures(limit_bytes, body_bytes, TABLE_FULL_RETRY_S, "body bytes")
            )


def _refusal_for_state(state: AttemptState) -> Refusal:
    """Return the refusal for reserving or committing an attempt in the given state.

    An attempt that is already reserved or committed may be running or may have run, so its refusal
    must not be taken as proof that it has not run.
    """
    if state is AttemptState.ABSENT:
        return Refusal("no-replica", Figures(detail="no reservation"))
    if state is AttemptState.VOIDED:
        return Refusal("no-replica", Figures(detail="reservation lapsed or voided"))
    if state is AttemptState.RESERVED:
        return Refusal("outcome-unknown", Figures(detail="already reserved"))
    if state is AttemptState.OTHER_INCARNATION:
        return Refusal("outcome-unknown", Figures(detail="no longer known"))
    return Refusal("outcome-unknown", Figures(detail="already committed"))
