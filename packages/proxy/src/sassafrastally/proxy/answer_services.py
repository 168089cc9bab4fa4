"""Services that request handlers use."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sassafrastally.core import Kernel
    from sassafrastally.proxy.attempt import Attempts
    from sassafrastally.proxy.backpressure import Backpressure
    from sassafrastally.proxy.budget import RetryBudget
    from sassafrastally.proxy.crashes import Crashes
    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.quarantining import Quarantining
    from sassafrastally.proxy.reading_limits import KnownReadingLimits
    from sassafrastally.proxy.reservations import Reservations
    from sassafrastally.proxy.sight import Sight


class AnswerServices(NamedTuple):
    """Services shared by all request handlers."""

    kernel: Kernel
    """Clock, random number generator and log."""
    dialect: Dialect
    """Translates headers."""
    attempts: Attempts
    """Sends requests to backend servers."""
    budget: RetryBudget
    """Retry budget shared by all requests."""
    sight: Sight
    """Current view of the backend servers."""
    backpressure: Backpressure
    """Rate limits, cool-downs and departures that backend servers announce."""
    quarantine: Quarantining
    """Requests that are no longer run because they crash servers."""
    crashes: Crashes
    """Checks whether servers that interrupted a response have crashed."""
    reservations: Reservations
    """Memory reservations on engines."""
    limits: KnownReadingLimits
    """Limits on how much prefill may lengthen the engines' passes."""
