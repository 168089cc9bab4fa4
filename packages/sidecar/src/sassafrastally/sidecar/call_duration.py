"""Expected duration of a service's calls, by which calls that can't be in time are refused."""

from __future__ import annotations

import math

INITIAL_CALL_S = 0.05
"""Expected duration before any call was measured."""

LATEST_WEIGHT = 0.2
"""Weight of the latest call in the moving average."""

VALID_S = 5.0
"""Time without a call after which the average no longer tells how fast the service is. Refused
calls measure nothing: a service that was slow once, or whose sidecar was paused, would be refused
without end."""


class CallDuration:
    """Moving average of the duration of calls.

    The load is a service that is slow for a while, beside callers with limits on both sides of its
    duration. Calls that would be late are refused at once, and one each `VALID_S` finds out whether
    they still would be.
    """

    def __init__(self) -> None:
        self.expected_s = INITIAL_CALL_S
        """Expected duration of a call."""
        self._begun_s = -math.inf
        """When the latest call began."""
        self._tried_s = -math.inf
        """When the latest call began that found no valid average."""

    def is_valid(self, now_s: float) -> bool:
        """Return whether calls may be refused by the average."""
        return now_s - self._begun_s < VALID_S

    def begin(self, now_s: float) -> None:
        """Record that a call begins."""
        if not self.is_valid(now_s):
            self._tried_s = now_s
        self._begun_s = now_s

    def record(self, begun_s: float, elapsed_s: float) -> None:
        """Record a call that got its answer.

        Parameters
        ----------
        begun_s
            When it began. If it found no valid average and is faster, it takes the place of the
            average. A slower one doesn't: this process itself may not have run meanwhile.
        elapsed_s
            Its duration.
        """
        is_faster = begun_s == self._tried_s and elapsed_s < self.expected_s
        weight = 1.0 if is_faster else LATEST_WEIGHT
        self.expected_s += weight * (elapsed_s - self.expected_s)
