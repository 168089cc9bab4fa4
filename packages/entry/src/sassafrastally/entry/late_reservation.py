"""Waits for a late reservation while other candidates are asked."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

import trio

from sassafrastally.serving.refusals import Refusal
from sassafrastally.wire.messages import Refused, Reserved

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sassafrastally.entry.commit_turn import CommitTurn

T = TypeVar("T")


class LateReservation(Generic[T]):
    """A reservation that stays open until another sidecar has taken the request.

    A sound sidecar may be silent for seconds. If its reservation were cancelled before another one
    is granted, a request could be refused although there is room for it.

    Parameters
    ----------
    attempt
        The attempt that waits.
    turn
        Turn to commit.
    is_retried
        Returns whether the request is to be tried again after the others have ended so, and the
        reservation may be used for it.
    """

    def __init__(
        self, attempt: object, turn: CommitTurn, is_retried: Callable[[T], bool] = lambda _: False
    ) -> None:
        self._attempt = attempt
        self._turn = turn
        self._is_retried = is_retried
        self._answered: Reserved | Refused | None = None
        self._lapses_s = 0.0
        """When the reservation lapses, on trio's clock."""
        self._refusal: Refusal | None = None

    async def wait(
        self,
        receive: Callable[[], Awaitable[Reserved | Refused | None]],
        ask_others: Callable[[], Awaitable[T | None]],
    ) -> Reserved | Refused | T | None:
        """Return the late reply, for a reservation with the turn, or how the others ended.

        Parameters
        ----------
        receive
            Returns the late reply; ``None`` if the link was lost.
        ask_others
            Asks the other candidates; returns ``None`` if none took the request.

        Raises
        ------
        Refusal
            If the request failed at another candidate.
        """
        ended: T | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive, receive, nursery.cancel_scope)
            try:
                ended = await ask_others()
            except Refusal as caught:
                # Raised outside the nursery, which would wrap it in an exception group.
                self._refusal = caught
            if ended is not None or self._refusal is not None:
                nursery.cancel_scope.cancel()
        if self._turn.is_held_by(self._attempt):
            return self._answered
        if ended is not None and self._is_held and self._is_retried(ended):
            # Given back, its room might be taken before the retry asks for it again.
            self._turn.take_over(self._attempt)
            return self._answered
        if self._refusal is not None:
            raise self._refusal
        return self._answered if ended is None else ended

    @property
    def _is_held(self) -> bool:
        """Whether the reservation is granted and hasn't lapsed."""
        is_granted = isinstance(self._answered, Reserved)
        return is_granted and trio.current_time() < self._lapses_s

    async def _receive(
        self, receive: Callable[[], Awaitable[Reserved | Refused | None]], scope: trio.CancelScope
    ) -> None:
        self._answered = await receive()
        if isinstance(self._answered, Reserved):
            self._lapses_s = trio.current_time() + self._answered.lapse_s
            await self._turn.take(self._attempt)
            scope.cancel()
