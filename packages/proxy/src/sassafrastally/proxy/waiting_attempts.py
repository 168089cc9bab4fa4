"""Attempts that wait for their first event, and their notification of slow engines."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from sassafrastally.proxy.attempt_migration import is_overdue
from sassafrastally.proxy.pace import SLOW_PACE, slowest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from sassafrastally.proxy.fingerprint import Subjects
    from sassafrastally.proxy.silence_watch import ServerWait


class WaitingAttempt:
    """An attempt that waits for its first event.

    Attributes
    ----------
    incarnation_ids
        Engines that prefill its prompt.
    begin_s
        Start time of the attempt.
    predicted_s
        Time to the first event that was predicted at the start.
    wait
        The wait for its server.
    """

    def __init__(
        self,
        incarnation_ids: tuple[str, ...],
        begin_s: float,
        predicted_s: float,
        wait: ServerWait,
        on_slow: Callable[[WaitingAttempt, float], None],
        subjects: Subjects,
    ) -> None:
        self.incarnation_ids = incarnation_ids
        self.begin_s = begin_s
        self.predicted_s = predicted_s
        self.wait = wait
        self.on_slow = on_slow
        """Called repeatedly with the pace of the slowest engine while an engine is slow."""
        self.subjects = subjects
        """By what its request may be quarantined."""
        self.cancel_reason = ""
        """Why it was cancelled; empty if it wasn't."""

    def cancel(self, reason: str) -> None:
        """Cancel the wait."""
        self.cancel_reason = reason
        self.wait.scope.cancel()


class WaitingAttempts:
    """All waiting attempts of this process."""

    def __init__(self) -> None:
        self._attempts: set[WaitingAttempt] = set()

    @contextmanager
    def register(self, attempt: WaitingAttempt) -> Iterator[None]:
        """Register an attempt for notification of slow engines while the block runs."""
        self._attempts.add(attempt)
        try:
            yield
        finally:
            self._attempts.discard(attempt)

    def overdue_servers(self, now_s: float) -> set[str]:
        """Return the engines of attempts whose first event is overdue."""
        return {
            incarnation_id
            for attempt in self._attempts
            if is_overdue(now_s - attempt.begin_s, attempt.predicted_s)
            for incarnation_id in attempt.incarnation_ids
        }

    def cancel_quarantined(self, is_quarantined: Callable[[Subjects], bool]) -> None:
        """Cancel the attempts of quarantined requests that no server runs yet.

        Several callers can send the same request, or requests with the same part, at once. An
        attempt that still waits for a slot would crash its server as soon as it gets one. Once its
        connection is closed, the server drops it.

        Parameters
        ----------
        is_quarantined
            Returns whether a request is quarantined.
        """
        for attempt in list(self._attempts):
            if is_quarantined(attempt.subjects):
                attempt.cancel("its request is quarantined")

    def notify_slow_engines(self, paces: Mapping[str, float]) -> None:
        """Notify the attempts that wait for a part on a slow engine."""
        for attempt in list(self._attempts) if paces else ():
            pace = slowest(paces, attempt.incarnation_ids)
            if pace >= SLOW_PACE:
                attempt.on_slow(attempt, pace)
