"""Back-off with full jitter, and the gate that keeps calls back in an outage.

Notes
-----
M. Brooker, "Exponential Backoff And Jitter" (2015): of the variants weighed there, full jitter
spreads competing clients best.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core.kv import KvBudgetSpent, KvConflict, KvUnavailable, LeaseLost, MaybeApplied

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

MAX_DOUBLINGS = 30
"""Beyond this the cap decides; it bounds the power of two."""


TOLERATED_FAILURES = 1
"""A lone failure, such as one cut connection, doesn't show that the service is down; the next one
without a success between them does."""


class BackoffLimits(NamedTuple):
    """Bounds of the waits in and after an outage."""

    base_s: float
    cap_s: float
    reentry_s: float


def full_jitter(attempt: int, base_s: float, cap_s: float, random: Random) -> float:
    """Return a wait between 0 and the exponential bound of an attempt counted from 0."""
    bound_s = min(cap_s, base_s * 2.0 ** min(attempt, MAX_DOUBLINGS))
    return random.uniform(0.0, bound_s)


class Gate:
    """Stands before the calls of one purpose.

    While the service is known to be down, calls fail at once with the time to come back; one
    probe at a time finds out whether it answers again. After the outage the first calls are spread
    at random over a time, so that the clients which all waited for the same moment don't bring the
    service down again.

    Parameters
    ----------
    limits
        Bounds of the waits.
    random
        Source of the jitter.
    """

    def __init__(self, limits: BackoffLimits, random: Random) -> None:
        self._limits = limits
        self._random = random
        self._epoch = 0
        self._failures = 0
        self._probing = False
        self._closed_until_s = 0.0
        self._reentry_until_s = 0.0

    @property
    def is_closed(self) -> bool:
        """Whether the service is known to be down."""
        return self._failures > TOLERATED_FAILURES

    @contextmanager
    def admit(self) -> Iterator[float]:
        """Let one call through and judge the service by its end.

        Yields
        ------
        float
            Seconds that the call must wait before it is sent.

        Raises
        ------
        KvUnavailable
            When the service is known to be down and this call is not the probe.
        """
        wait_s = self._enter()
        is_probe = self._probing = self.is_closed
        epoch = self._epoch
        try:
            yield wait_s
        except KvBudgetSpent:
            raise
        except (KvUnavailable, MaybeApplied):
            self._failed(epoch)
            raise
        except (KvConflict, LeaseLost):
            # A refusal by the service is an answer all the same.
            self._succeeded(epoch)
            raise
        else:
            self._succeeded(epoch)
        finally:
            if is_probe:
                self._probing = False

    def report_failure(self) -> None:
        """Count a failure that shows after the call was let through, such as a cut watch."""
        self._failed(self._epoch)

    def _enter(self) -> float:
        now_s = trio.current_time()
        if self.is_closed and (self._probing or now_s < self._closed_until_s):
            remaining_s = max(self._closed_until_s - now_s, 0.0)
            closed = KvUnavailable("the KV service is down; the call was not sent")
            closed.retry_after_s = remaining_s or self._limits.base_s
            raise closed
        if self.is_closed or now_s >= self._reentry_until_s:
            return 0.0
        return self._random.uniform(0.0, self._reentry_until_s - now_s)

    def _failed(self, epoch: int) -> None:
        # Calls that were under way together fail together: they count as one failure.
        if epoch != self._epoch:
            return
        self._epoch += 1
        self._failures += 1
        if self.is_closed:
            probes = self._failures - TOLERATED_FAILURES - 1
            limits = self._limits
            wait_s = full_jitter(probes, limits.base_s, limits.cap_s, self._random)
            self._closed_until_s = trio.current_time() + wait_s

    def _succeeded(self, epoch: int) -> None:
        # An answer to a call from before the outage doesn't show that the outage is over.
        if epoch != self._epoch or not self._failures:
            return
        if self.is_closed:
            self._reentry_until_s = trio.current_time() + self._limits.reentry_s
        self._epoch += 1
        self._failures = 0
