"""Services that request handlers use."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sassafrastally.core import Kernel
    from sassafrastally.proxy.admission_queue import AdmissionQueue, QueueingCache
    from sassafrastally.proxy.attempt import AttemptSender
    from sassafrastally.proxy.backpressure import Backpressure
    from sassafrastally.proxy.crash_detector import CrashDetector
    from sassafrastally.proxy.dialect import Dialect
    from sassafrastally.proxy.drain import Drain
    from sassafrastally.proxy.fleet_view import FleetView
    from sassafrastally.proxy.prefill_limits import PrefillLimitsCache
    from sassafrastally.proxy.quarantine_service import QuarantineService
    from sassafrastally.proxy.reservations import Reservations
    from sassafrastally.proxy.retry_budget import RetryBudget
    from sassafrastally.proxy.silence_watch import SilenceWatch


class RequestServices(NamedTuple):
    """Services shared by all request handlers."""

    kernel: Kernel
    """Clock, random number generator and log."""
    dialect: Dialect
    """Translates headers."""
    attempt_sender: AttemptSender
    """Sends requests to backend servers."""
    budget: RetryBudget
    """Retry budget shared by all requests."""
    fleet_view: FleetView
    """Current view of the backend servers."""
    backpressure: Backpressure
    """Rate limits, cool-downs and departures that backend servers announce."""
    quarantine: QuarantineService
    """Requests that are no longer run because they crash servers."""
    crash_detector: CrashDetector
    """Checks whether servers that interrupted a response have crashed."""
    reservations: Reservations
    """Memory reservations on engines."""
    limits: PrefillLimitsCache
    """Limits on how much prefill may lengthen the engines' passes."""
    queueing: QueueingCache
    """Services whose requests may wait for room."""
    queue: AdmissionQueue
    """Requests that wait for room at this entry."""
    silence_watch: SilenceWatch
    """Watches attempts for silence of their servers."""
    drain: Drain
    """Time left if this entry is stopping."""
