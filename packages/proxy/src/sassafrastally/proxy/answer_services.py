"""What the answer to a request is made with."""

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
    """The services that answers share."""

    kernel: Kernel
    """Clock, random source and log."""
    dialect: Dialect
    """Translator of headers."""
    attempts: Attempts
    """Sends requests to backend servers."""
    budget: RetryBudget
    """The shared budget of repeats."""
    sight: Sight
    """What is known of the backend servers."""
    backpressure: Backpressure
    """What servers ask of their callers."""
    quarantine: Quarantining
    """Requests that are run no more."""
    crashes: Crashes
    """Looks after servers that broke an answer off."""
    reservations: Reservations
    """Memory reserved at engines."""
    limits: KnownReadingLimits
    """What reading may add to the engines' passes."""
