"""Exponential backoff with full jitter, and a circuit breaker for outages.

Notes
-----
M. Brooker, "Exponential Backoff And Jitter" (2015): of the variants compared there, full jitter
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
"""Largest exponent of the backoff; keeps the power of two finite before the cap applies."""


TOLERATED_FAILURES = 1
"""Consecutive failures that don't open the breaker. A single failure, such as one lost connection,
doesn't mean that the service is down; a second one without a success in between does."""


class BackoffLimits(NamedTuple):
    """Bounds of the delays during and after an outage."""

    base_s: float
    cap_s: float
    reentry_s: float


def full_jitter(attempt: int, base_s: float, cap_s: float, random: Random) -> float:
    """Return a random delay up to the exponential bound of an attempt, counted from 0."""
    bound_s = min(cap_s, base_s * 2.0 ** min(attempt, MAX_DOUBLINGS))
    return random.uniform(0.0, bound_s)


class CircuitBreaker:
    """Circuit breaker for the calls of one purpose.

    While the breaker is open, calls fail immediately with a retry delay, and one probe at a time
    checks whether the service has recovered. After an outage the first calls are spread randomly
    over a recovery period, so that clients which all waited for the recovery don't overload the
    service again.

    Parameters
    ----------
    limits
        Bounds of the delays.
    random
        Random number generator for the jitter.
    """

    def __init__(self, limits: BackoffLimits, random: Random) -> None:
        self._limits = limits
        self._random = random
        self._epoch = 0
        self._failures = 0
        self._is_probing = False
        self._open_until_s = 0.0
        self._recovery_until_s = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the service is considered down."""
        return self._failures > TOLERATED_FAILURES

    @contextmanager
    def admit(self) -> Iterator[float]:
        """Admit one call and record its outcome.

        Yields
        ------
        float
            Delay in seconds before the call may be sent.

        Raises
        ------
        KvUnavailable
            If the breaker is open and this call is not the probe.
        """
        wait_s = self._check_state()
        is_probe = self._is_probing = self.is_open
        epoch = self._epoch
        try:
            yield wait_s
        except KvBudgetSpent:
            raise
        except (KvUnavailable, MaybeApplied):
            self._record_failure(epoch)
            raise
        except (KvConflict, LeaseLost):
            # An error response still shows that the service is up.
            self._record_success(epoch)
            raise
        else:
            self._record_success(epoch)
        finally:
            if is_probe:
                self._is_probing = False

    def report_failure(self) -> None:
        """Record a failure after the call was admitted, such as an interrupted watch."""
        self._record_failure(self._epoch)

    def _check_state(self) -> float:
        now_s = trio.current_time()
        if self.is_open and (self._is_probing or now_s < self._open_until_s):
            remaining_s = max(self._open_until_s - now_s, 0.0)
            unavailable = KvUnavailable("the KV service is down; the call was not sent")
            unavailable.retry_after_s = remaining_s or self._limits.base_s
            raise unavailable
        if self.is_open or now_s >= self._recovery_until_s:
            return 0.0
        return self._random.uniform(0.0, self._recovery_until_s - now_s)

    def _record_failure(self, epoch: int) -> None:
        # Concurrent calls that fail together count as one failure.
        if epoch != self._epoch:
            return
        self._epoch += 1
        self._failures += 1
        if self.is_open:
            probes = self._failures - TOLERATED_FAILURES - 1
            limits = self._limits
            wait_s = full_jitter(probes, limits.base_s, limits.cap_s, self._random)
            self._open_until_s = trio.current_time() + wait_s

    def _record_success(self, epoch: int) -> None:
        # A response to a call sent before the outage doesn't show that the outage is over.
        if epoch != self._epoch or not self._failures:
            return
        if self.is_open:
            self._recovery_until_s = trio.current_time() + self._limits.reentry_s
        self._epoch += 1
        self._failures = 0
