"""What the request path works with: configuration, backend servers, requests and answers.

Nothing here knows how these are spelled on a wire; a `Dialect` translates.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

# Address at run time too: a named tuple's fields are checked when settings are read.
from sassafrastally.core import Address


class RouteKind(Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """Part of a route's requests that goes to one service."""

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
    """Longest time that the operator wants a caller kept waiting; ``None``: no limit."""
    goal_s: float | None
    """Time within which an answer (of a stream: its first event) counts as timely."""
    pause_goal_s: float | None
    """Longest pause between events of a stream that still counts as timely."""
    priority: int
    """0 is the most urgent."""
    max_attempts: int
    """Number of backend servers to which one request may be sent."""
    is_public: bool
    """Whether requests need no key."""
    is_resumable: bool
    """Whether a stream may be continued at another backend server."""

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


class EngineFigures(NamedTuple):
    """Published speeds and sizes of the model engines of one service."""

    slots: int
    """Requests that an engine runs at once."""
    memory_tokens: int
    step_ms: float
    """Fixed time of one token step."""
    per_request_ms: float
    """Time that each writing request adds to a step."""
    context_ms_per_k: float
    """Time that each 1,000 tokens of a writing request's context add to a step."""
    read_tokens_per_ms: float
    pairs_ms_per_million: float
    """Reading time for a million pairs of a token and an earlier one."""
    chunk_tokens: int
    """Prompt tokens that one step reads at most."""
    stride_steps: int
    """Steps of a pass in which some request writes; also the tokens of one event."""
    hop_ms: float
    """Time that each step takes longer when a prompt lies on several engines."""


class Service(NamedTuple):
    """One service of the configuration."""

    name: str
    max_connections: int
    """Connections that one backend server takes from all callers together."""
    engine: EngineFigures | None
    """``None`` for a plain service."""


class RequestLimits(NamedTuple):
    """Bounds of what a caller may send."""

    header_bytes: int
    body_bytes: int
    header_time_s: float
    idle_time_s: float


class Customer(NamedTuple):
    """A customer, as found by one of its keys."""

    name: str
    priority: int | None
    """Goes before the priority of the route."""


class Configuration(NamedTuple):
    """One version of what operators have put in force."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: RequestLimits
    customers_by_key: dict[str, Customer] | None
    """``None`` when the configuration knows no customers: no request needs a key."""


class BackendServer(NamedTuple):
    """One life of a backend server, as discovery tells of it."""

    server_id: str
    """Its id; a server that starts again may keep it."""
    service: str
    address: Address
    data_centre: str
    slots: int
    is_draining: bool
    born_ms: int | None = None
    """When it started, in Unix milliseconds; tells the lives of one id apart. ``None`` where the
    server doesn't say."""

    @property
    def life_id(self) -> str:
        """Names this life: what is known of an earlier one under the same id says nothing of it."""
        return self.server_id if self.born_ms is None else f"{self.server_id}@{self.born_ms}"


class PromptSize(NamedTuple):
    """Token counts that a caller declares."""

    prompt_tokens: int
    output_tokens: int
    """Most output tokens."""


class RequestFacts(NamedTuple):
    """What the path needs to know of a request's header."""

    request_id: str
    """The caller's id of this attempt; empty when it sent none."""
    host: str
    time_left_s: float | None
    """How long the caller waits, counted from its sending."""
    key: str | None
    prompt: PromptSize | None
    last_event_id: int | None
    """Last event that the caller has of an earlier answer to this request."""


class Helper(NamedTuple):
    """An engine that reads a part of another engine's prompt."""

    server: BackendServer
    reservation_id: str | None = None
    """Memory reserved there for its part; ``None``: it lies at the first engine."""


class AttemptTerms(NamedTuple):
    """What is set for one attempt at a backend server, beside the caller's own header."""

    server: BackendServer
    time_left_s: float | None
    customer: str | None
    last_event_id: int | None
    helpers: tuple[Helper, ...] = ()
    urgency: int | None = None
    """Rank among the requests that wait at the engine, 0 first to 9; ``None``: the engine's."""


class ServerLoad(NamedTuple):
    """Load that a backend server reports with an answer."""

    running: int
    waiting: int
    slots: int


class EngineReport(NamedTuple):
    """What an engine reports of itself, as of some hundred milliseconds ago."""

    pace: float
    """How many times slower than its figures it works."""
    born_ms: int | None
    """When it started; ``None`` where it doesn't say."""


class ServerAsks(NamedTuple):
    """What a backend server asks of its callers, as one of its answers says."""

    most_per_s: float | None = None
    """Requests a second that it takes from all entries together; ``None``: it names no limit."""
    is_leaving: bool = False
    """Whether it leaves, for good in this life."""
    cool_down_s: float | None = None
    """How long it wants no further request of this process; ``None``: it doesn't ask for that."""


NOTHING_ASKED = ServerAsks()


class AnswerFacts(NamedTuple):
    """What the path needs to know of the header of a backend server's answer."""

    is_proved_not_run: bool
    """The backend server states that it has not run the request and never will."""
    request_id: str | None
    """Request that the answer belongs to; ``None`` when it doesn't say."""
    load: ServerLoad | None
    server_at_fault: Address | None
    """Address of the backend server because of which the request failed."""
    asks: ServerAsks = NOTHING_ASKED


class ReservationOutcome(Enum):
    """Answer to an order to reserve memory."""

    HELD = "held"
    WAITING = "waiting"
    NO_ROOM = "no room"
    TOO_LARGE = "too large"
    UNKNOWN = "unknown"
    """No clear answer; the memory may have been reserved, or may be later."""
