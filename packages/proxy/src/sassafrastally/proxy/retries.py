"""Whether a request may be sent to another backend server, and the charge for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.failover_decision import Obstacle
from sassafrastally.proxy.log_events import RetryBudgetSpent

if TYPE_CHECKING:
    from sassafrastally.proxy.request_services import RequestServices
    from sassafrastally.proxy.task import Progress, RequestTask

MAX_UNREACHABLE_SERVERS = 3
"""Number of unreachable servers after which a request is rejected. So many connection failures mean
that this VM's network is broken rather than the servers."""


class Retries:
    """Attempts of one request beyond the first.

    Parameters
    ----------
    services, task, progress
        The request and the services of its handler.
    """

    def __init__(self, services: RequestServices, task: RequestTask, progress: Progress) -> None:
        self._services = services
        self._task = task
        self._progress = progress
        self._unsent_charges_s: list[float] = []
        """When the attempts were charged that aren't sent yet, oldest first."""

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run again, from its begin or after the last event."""
        return self._task.route.is_repeatable and not self._progress.has_unnumbered_events

    def can_fail_over(self) -> bool:
        """Return whether the request may still fail over to another server."""
        return self.failover_obstacle() is None

    def failover_obstacle(self) -> Obstacle | None:
        """Return why the route allows no other attempt after the present one, if it doesn't."""
        if not self.is_repeatable:
            return Obstacle.REPETITION
        return None if self._has_attempt else Obstacle.ATTEMPTS

    @property
    def has_servers_left(self) -> bool:
        """Whether the route allows a server that hasn't got the request."""
        # A server that gets the request again takes the place of no other one.
        return len(set(self._progress.sent)) < self._task.route.max_attempts

    @property
    def _has_attempt(self) -> bool:
        return self.has_servers_left or bool(self._progress.resumable)

    def claim(self) -> Obstacle | None:
        """Charge another attempt to the retry budget; return what prevents it, if anything."""
        if (obstacle := self.find_obstacle()) is not None:
            return obstacle
        if self._progress.unreachable > 0 and not self._progress.sent:
            has_network = self._progress.unreachable < MAX_UNREACHABLE_SERVERS
            return None if has_network else Obstacle.NETWORK
        return None if self.charge_budget() else Obstacle.BUDGET

    def find_obstacle(self) -> Obstacle | None:
        """Return why the route allows no other attempt, if it doesn't."""
        if self._progress.may_have_run and not self.is_repeatable:
            return Obstacle.REPETITION
        return None if self._has_attempt else Obstacle.ATTEMPTS

    def may_wait_for_budget(self) -> bool:
        """Return whether only the retry budget prevents another attempt at what hasn't run."""
        has_run_nowhere = bool(self._progress.sent) and not self._progress.may_have_run
        return has_run_nowhere and self.find_obstacle() is None

    def has_budget(self) -> bool:
        """Return whether the budget of all entries allows a retry now."""
        service, budget = self._task.service, self._services.budget
        now_s = self._services.kernel.clock.now_s()
        allowance = budget.retry_allowance(service, self._services.fleet_view.known_entries, now_s)
        return budget.retry_count(service, now_s) + 1 <= allowance

    def charge_budget(self, *, is_logged: bool = True) -> bool:
        """Charge a retry to the budget of all entries; return whether it allows it."""
        service = self._task.service
        now_s = self._services.kernel.clock.now_s()
        budget = self._services.budget
        entries = self._services.fleet_view.known_entries
        if budget.try_spend(service, entries, now_s):
            self._unsent_charges_s.append(now_s)
            return True
        if not is_logged:
            return False
        self._services.kernel.events.emit(
            RetryBudgetSpent(
                self._task.request.facts.request_id,
                service,
                budget.retry_count(service, now_s),
                round(budget.retry_allowance(service, entries, now_s), 1),
            )
        )
        return False

    def record_sent(self) -> None:
        """Record that a charged attempt is sent, so that its charge stays."""
        if self._unsent_charges_s:
            self._unsent_charges_s.pop(0)

    def refund_unsent(self) -> None:
        """Take back the last charge for an attempt that isn't sent, if there is one."""
        if self._unsent_charges_s:
            self._services.budget.refund(self._task.service, self._unsent_charges_s.pop())

    def refund_all_unsent(self) -> None:
        """Take back all charges for attempts that aren't sent."""
        while self._unsent_charges_s:
            self.refund_unsent()
