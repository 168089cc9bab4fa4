"""Log events about requests, attempts and callers."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import event


@event(10012)
class RequestPlaced(NamedTuple):
    """A request is sent to a backend server."""

    request_id: str
    route: str
    version: int
    """Version of the configuration used to route the request."""
    customer: str
    server_id: str
    attempt: int
    prompt_tokens: int
    helpers: tuple[str, ...]
    """IDs of the engines that help to prefill the prompt."""
    lanes: str
    """Number of engines in the long and in the short lane; empty for plain services."""
    predicted_s: float
    """Predicted time to the first event; 0 without a prediction."""
    time_left_s: float
    beliefs_age_s: float
    """Time since the store or a peer last confirmed the list of backend servers."""
    peers: int
    """Number of peers whose load was counted."""
    fingerprint: str
    """Identifies the request across the caller's retries."""
    waited_s: float = 0.0
    """Time that it waited for room at this entry."""
    prompt_parts: tuple[str, ...] = ()
    """IDs of the first parts that its prompt shares with others."""


@event(10060)
class RequestQueued(NamedTuple):
    """A request waits for room at this entry."""

    request_id: str
    route: str
    customer: str
    lane: str
    priority: int
    is_early: bool
    """Whether the caller has come back before the time that it was given."""
    longest_wait_s: float
    waiting: int
    """Number of requests of its lane that wait already."""
    reason: str


@event(10073)
class RequestHeldBack(NamedTuple):
    """A request that waits could start, but leaves the room to more urgent ones; logged once."""

    request_id: str
    route: str
    lane: str
    priority: int
    urgent_route: str
    """Route that would lack room."""
    timely: int
    """Prompts of that route that engines could still start in time."""
    needed: int
    """Prompts of that route for which room is kept."""
    longest_wait_s: float
    """Time after which it starts in any case if an engine has room."""


@event(10013)
class RequestAnswered(NamedTuple):
    """A request got a complete response from a backend server."""

    request_id: str
    route: str
    server_id: str
    status: int
    attempts: int
    first_s: float
    """Time to the first event or to the response header."""
    total_s: float
    longest_pause_s: float
    delimited_by: str
    """What delimited the server's response; see `BodyFraming`."""
    unfinished_bytes: int = 0
    """Bytes after the last complete event of a stream."""


@event(10014, "warning")
class RequestRefused(NamedTuple):
    """A request was rejected without having run."""

    request_id: str
    route: str
    refusal: str
    status: int
    retry_after_s: float
    attempts: int
    held_s: float
    detail: str
    fingerprint: str
    """Identifies the request across the caller's retries; empty if it wasn't routed."""
    waited_s: float = 0.0
    """Time that it waited for room at this entry."""


@event(10015, "warning")
class RequestFailed(NamedTuple):
    """A request that may have run got no complete response from a backend server."""

    request_id: str
    route: str
    status: int
    attempts: int
    held_s: float
    detail: str
    late_s: float = 0.0
    """How long after its time limit it was ended; 0 if the limit isn't the reason."""


@event(10024, "warning")
class RequestMalformed(NamedTuple):
    """A request was rejected before it was read as a whole; nothing was forwarded."""

    status: int
    problem: str


@event(10016, "warning")
class AttemptFailed(NamedTuple):
    """An attempt got no complete response, or fell silent and is open beside the next attempt."""

    request_id: str
    server_id: str
    attempt: int
    is_proved_not_run: bool
    elapsed_s: float
    cause: str


@event(10081, "warning")
class SilenceTolerated(NamedTuple):
    """A request stays at a silent server, as no other attempt is possible; logged for each reason.

    It goes on to look for another server.
    """

    request_id: str
    server_id: str
    attempt: int
    silent_s: float
    reason: str


@event(10082)
class AttemptClosed(NamedTuple):
    """An attempt was closed since another one of its request goes on or is complete."""

    request_id: str
    server_id: str
    attempt: int
    events: int
    """Number of events received, new to the caller or not."""
    silent_s: float
    """Time since its last event, or since it began."""
    closed_by: int
    """Number of the attempt that goes on."""
    closed_by_events: int
    """Number of events received by that one."""
    reason: str


@event(10083, "warning")
class AttemptBroken(NamedTuple):
    """An attempt whose silence or slow engine was logged has ended without a whole response."""

    request_id: str
    server_id: str
    attempt: int
    events: int
    """Number of events received, new to the caller or not."""
    elapsed_s: float
    cause: str


@event(10017, "warning")
class StreamBroken(NamedTuple):
    """A stream broke and can't be resumed on another server."""

    request_id: str
    route: str
    attempts: int
    last_event_id: int
    detail: str
    sent_bytes: int = 0
    """Bytes of the response that were passed to the operating system."""
    late_s: float = 0.0
    """How long after its time limit it was ended; 0 if the limit isn't the reason."""


@event(10018)
class CallerLeft(NamedTuple):
    """The caller closed its connection before the response was complete."""

    request_id: str
    route: str
    held_s: float


@event(10120, "warning")
class RequestCut(NamedTuple):
    """A request has ended with the process, before its response was complete."""

    request_id: str
    route: str
    attempts: int
    held_s: float
    sent_bytes: int
    """Bytes of the response that were passed to the operating system."""


@event(10121, "warning")
class AcceptedRequestCut(NamedTuple):
    """A stopping entry has cut a request that it had sent to a server as there was time."""

    request_id: str
    route: str
    needed_s: float
    """Time that the response should have taken."""
    left_s: float
    """Time until the end of the drain when it was sent."""
    took_s: float
    """Time from then on until it was cut."""


@event(10065)
class CallerDisconnected(NamedTuple):
    """The caller was disconnected because it read nothing of its response."""

    request_id: str
    route: str
    cause: str


@event(10022, "warning")
class RetryBudgetSpent(NamedTuple):
    """A retry isn't sent because the shared retry budget is exhausted."""

    request_id: str
    service: str
    repeats: int
    allowed: float


@event(10025, "warning")
class ReservationFailed(NamedTuple):
    """An engine didn't reserve memory or renew a reservation."""

    reservation_id: str
    server_id: str
    tokens: int
    outcome: str


@event(10026)
class ReservationReleased(NamedTuple):
    """A memory reservation was released; with status 0, it is freed when its lease expires."""

    reservation_id: str
    server_id: str
    status: int


@event(10027, "error")
class ConnectionCrashed(NamedTuple):
    """An unexpected exception ended one caller's connection."""

    trace: str
