"""Data types of the request path: configuration, backend servers, requests and responses.

The types are independent of any wire format; a `Dialect` translates.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

# Imported at run time too, because the field types of named tuples are checked on loading settings.
from sassafrastally.core import Address


class RouteKind(Enum):
    """Which requests of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """Share of a route's requests that goes to one service."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route of the configuration."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    time_limit_s: float | None
    """Longest time that a caller may be kept waiting, set by the operator; ``None``: no limit."""
    goal_s: float | None
    """Latency goal: time to the response or, for a stream, to the first event."""
    pause_goal_s: float | None
    """Latency goal for the pauses between events of a stream."""
    priority: int
    """0 is the highest priority."""
    max_attempts: int
    """Maximum number of backend servers to which one request may be sent."""
    is_public: bool
    """Whether requests need no API key."""
    is_resumable: bool
    """Whether a stream may be resumed on another backend server."""
    home_regions: frozenset[str] | None = None
    """Regions in which requests may run; ``None`` for all."""

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


class EngineProfile(NamedTuple):
    """Published performance and capacity of the model engines of one service."""

    slots: int
    """Maximum number of requests that an engine runs concurrently."""
    memory_tokens: int
    step_ms: float
    """Base time of one decode step."""
    per_request_ms: float
    """Time that each decoding request adds to a step."""
    context_ms_per_k: float
    """Time that each 1,000 tokens of a decoding request's context add to a step."""
    prefill_tokens_per_ms: float
    attention_ms_per_million_pairs: float
    """Prefill attention time per million pairs of a token and an earlier token."""
    chunk_tokens: int
    """Maximum number of prompt tokens that one step prefills."""
    steps_per_pass: int
    """Number of steps in a pass with at least one decoding request; also the tokens per event."""
    distributed_step_overhead_ms: float
    """Time added to each step when a prompt is distributed over several engines."""


class Service(NamedTuple):
    """One service of the configuration."""

    name: str
    max_connections: int
    """Maximum number of connections that one backend server accepts from all clients together."""
    engine: EngineProfile | None
    """``None`` for a plain service."""
    cold_s: float = 0.0
    """How long a backend server is cold after its start."""
    cold_per_s: float = 0.0
    """Requests per second that a cold backend server accepts from all entries together; 0: the
    service has no cold servers."""


class RequestLimits(NamedTuple):
    """Size and time limits for callers' requests."""

    header_bytes: int
    body_bytes: int
    header_time_s: float
    idle_time_s: float


class Customer(NamedTuple):
    """A customer, identified by one of its API keys."""

    name: str
    priority: int | None
    """Overrides the priority of the route, if set."""
    home_regions: frozenset[str] | None = None
    """Regions in which its requests may run; ``None`` for all."""


class Configuration(NamedTuple):
    """One version of the configuration published by operators."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: RequestLimits
    customers_by_key: dict[str, Customer] | None
    """``None`` if the configuration defines no customers; then no request needs a key."""

    @property
    def has_home_regions(self) -> bool:
        """Whether any route or customer has home regions."""
        customers = (self.customers_by_key or {}).values()
        return any(route.home_regions is not None for route in self.routes) or any(
            customer.home_regions is not None for customer in customers
        )


class BackendServer(NamedTuple):
    """One incarnation of a backend server, as reported by service discovery."""

    server_id: str
    """ID of the server; it may stay the same across restarts."""
    service: str
    address: Address
    data_centre: str
    slots: int
    is_draining: bool
    born_ms: int | None = None
    """Start time in Unix milliseconds, distinguishes incarnations with the same ID. ``None`` if
    the server doesn't report it."""
    cold_left_s: float = 0.0
    """Remaining cold time when the record was written, not validated; 0 once it is registered."""

    @property
    def incarnation_id(self) -> str:
        """ID of this incarnation; state recorded for an earlier one doesn't apply to it."""
        return self.server_id if self.born_ms is None else f"{self.server_id}@{self.born_ms}"


class PromptSize(NamedTuple):
    """Token counts declared by the caller."""

    prompt_tokens: int
    output_tokens: int
    """Maximum number of output tokens."""


class RequestMetadata(NamedTuple):
    """Information from a request's header that the request path needs."""

    request_id: str
    """Caller's ID of this attempt, which changes with each retry; empty if it sent none."""
    host: str
    time_left_s: float | None
    """Caller's timeout, counted from the moment it sent the request."""
    key: str | None
    prompt: PromptSize | None
    last_event_id: int | None
    """ID of the last event that the caller got in an earlier response to this request."""
    prompt_parts: tuple[str, ...] = ()
    """IDs of the parts that the prompt shares with others, in order. The last part isn't included:
    it belongs to the request or its session."""


class Helper(NamedTuple):
    """An engine that prefills a part of a prompt for another engine."""

    server: BackendServer
    reservation_id: str | None = None
    """ID of the memory reservation for its part; ``None``: the first engine holds that memory."""


class AttemptParameters(NamedTuple):
    """Parameters of one attempt at a backend server, in addition to the caller's header."""

    server: BackendServer
    time_left_s: float | None
    customer: str | None
    last_event_id: int | None
    helpers: tuple[Helper, ...] = ()
    urgency: int | None = None
    """Priority in the engine's queue, from 0 (first) to 9; ``None``: the engine's default."""


class ServerLoad(NamedTuple):
    """Load that a backend server reports with a response."""

    running: int
    waiting: int
    slots: int


class EngineReport(NamedTuple):
    """An engine's status report, which is a few hundred milliseconds old."""

    pace: float
    """Slowdown factor relative to the engine's published performance."""
    born_ms: int | None
    """Start time in Unix milliseconds; ``None`` if the engine doesn't report it."""


class BackpressureSignals(NamedTuple):
    """Backpressure signals of a backend server, taken from one of its responses."""

    most_per_s: float | None = None
    """Rate limit for all entries together, in requests per second; ``None``: no limit."""
    is_leaving: bool = False
    """Whether it is shutting down; final for this incarnation."""
    cool_down_s: float | None = None
    """Time for which this process must send it no requests; ``None``: no cool-down."""
    cold_left_s: float = 0.0
    """Remaining time for which it is cold, not validated."""


NO_BACKPRESSURE = BackpressureSignals()


class IgnoredField(NamedTuple):
    """A header field that counts as absent because of its value."""

    name: str
    problem: str


class ResponseMetadata(NamedTuple):
    """Information from a backend server's response header that the request path needs."""

    is_proved_not_run: bool
    """The backend server states that it has not run the request and never will."""
    request_id: str | None
    """ID of the request that the response belongs to; ``None`` if not given."""
    load: ServerLoad | None
    failed_server_address: Address | None
    """Address of another backend server that caused the request to fail."""
    backpressure: BackpressureSignals = NO_BACKPRESSURE
    ignored_fields: tuple[IgnoredField, ...] = ()
    is_sealed: bool = True
    """Whether it bears the server's mark, without which a success isn't the server's own."""


class ReservationOutcome(Enum):
    """Outcome of a call that reserves memory."""

    HELD = "held"
    WAITING = "waiting"
    NO_ROOM = "no room"
    TOO_LARGE = "too large"
    UNKNOWN = "unknown"
    """No clear response; the memory may have been reserved or may still be reserved later."""
