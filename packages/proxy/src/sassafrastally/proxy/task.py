"""One request on its way, and how far it has come."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sassafrastally.proxy.attempt import Request
    from sassafrastally.proxy.model import BackendServer, Configuration, Customer, Route
    from sassafrastally.proxy.refusals import Refusal

NO_LIMIT_S = 600.0
"""Time limit where neither the caller nor the route sets one."""


class Stopped(NamedTuple):
    """A request ends without the answer of a backend server."""

    refusal: Refusal
    detail: str
    retry_after_s: float | None = None


class RequestTask(NamedTuple):
    """A request with what was decided about it once."""

    request: Request
    route: Route
    configuration: Configuration
    customer: Customer | None
    service: str
    fingerprint: int
    """Names the request across its caller's retries."""

    @property
    def time_limit_s(self) -> float:
        """Time from the arrival to the end of the answer: the caller's or the route's."""
        limits = (self.request.facts.time_left_s, self.route.time_limit_s)
        return min((limit for limit in limits if limit is not None), default=NO_LIMIT_S)

    @property
    def deadline_s(self) -> float:
        """Moment at which the answer must have ended."""
        return self.request.arrived_s + self.time_limit_s

    def time_left_s(self, now_s: float) -> float | None:
        """Return what a backend server is told; ``None`` where there is no limit."""
        if self.request.facts.time_left_s is None and self.route.time_limit_s is None:
            return None
        return self.deadline_s - now_s

    @property
    def customer_name(self) -> str | None:
        """Name of the customer, if any."""
        return self.customer.name if self.customer else None


class Progress:
    """How far a request has come; read when its time is over."""

    def __init__(self) -> None:
        self.attempts = 0
        """Attempts begun."""
        self.sent = 0
        """Attempts whose request reached a server, or may have."""
        self.unreachable = 0
        """Attempts at servers that nobody answered at."""
        self.pending: BackendServer | None = None
        """Where an attempt is under way."""
        self.may_have_run = False
        """Whether an earlier attempt may have run."""
        self.last_event_id = 0
        """Last event of the stream that was passed on."""
        self.tried: set[str] = set()
        """Backend servers that were tried."""
