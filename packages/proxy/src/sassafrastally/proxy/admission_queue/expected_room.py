"""When a queue is expected to have room, from the rate at which its requests started lately."""

from __future__ import annotations

from collections import deque

RATE_WINDOW_S = 3.0
"""Time over which starts count: several passes and the prefill of the largest prompts."""

HOPELESS_FACTOR = 3.0
"""A wait is hopeless if the expected one is this many times longer. Room can come at several times
the rate of the last seconds when a flood of more urgent requests ends."""


class RoomRate:
    """Work that one queue has started in the last seconds."""

    def __init__(self) -> None:
        self._starts: deque[tuple[float, float]] = deque()
        self._begin_s: float | None = None

    def note_waiting(self, now_s: float) -> None:
        """Record that requests wait; the rate counts from the first moment of a shortage."""
        if self._begin_s is None:
            self._begin_s = now_s

    def note_empty(self) -> None:
        """Record that no request waits any more."""
        self._begin_s = None

    def record_start(self, work_ms: float, now_s: float) -> None:
        """Count the work of a request that starts."""
        self._starts.append((now_s, work_ms))
        self._drop_old(now_s)

    def expected_wait_s(self, ahead_ms: float, now_s: float) -> float | None:
        """Return how long work needs to start behind other work; ``None`` if the rate is unknown.

        Parameters
        ----------
        ahead_ms
            Engine time of the requests that wait before it.
        now_s
            Current time.
        """
        self._drop_old(now_s)
        if self._begin_s is None or now_s - self._begin_s < RATE_WINDOW_S:
            return None
        started_ms = sum(work_ms for _, work_ms in self._starts)
        return ahead_ms * RATE_WINDOW_S / started_ms if started_ms else None

    def _drop_old(self, now_s: float) -> None:
        while self._starts and self._starts[0][0] < now_s - RATE_WINDOW_S:
            self._starts.popleft()


def is_wait_hopeless(expected_s: float | None, longest_s: float) -> bool:
    """Return whether a request certainly can't start in time.

    Parameters
    ----------
    expected_s
        Expected wait; ``None`` if unknown.
    longest_s
        Longest time that the request may wait.
    """
    if longest_s <= 0:
        return True
    return expected_s is not None and expected_s > HOPELESS_FACTOR * longest_s
