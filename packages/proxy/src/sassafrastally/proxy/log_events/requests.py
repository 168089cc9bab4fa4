"""Log events of requests, attempts and callers."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import event


@event(10012)
class RequestPlaced(NamedTuple):
    """A request goes to a backend server."""

    request_id: str
    route: str
    version: int
    """Version of the configuration by which the request was routed."""
    customer: str
    server_id: str
    attempt: int
    prompt_tokens: int
    helpers: tuple[str, ...]
    """Ids of the engines that help to read the prompt."""
    lanes: str
    """Engines of the long and of the short lane; empty for plain services."""
    predicted_s: float
    """Predicted time to the first event; 0 when none is made."""
    time_left_s: float
    beliefs_age_s: float
    """Time since the store or a peer last confirmed what is known of the backend servers."""
    peers: int
    """Peers whose load was counted."""
    fingerprint: str
    """Names the request across its caller's retries."""


@event(10013)
class RequestAnswered(NamedTuple):
    """A request got the whole answer of a backend server."""

    request_id: str
    route: str
    server_id: str
    status: int
    attempts: int
    first_s: float
    """Time to the first event or to the answer's header."""
    total_s: float
    longest_pause_s: float


@event(10014, "warning")
class RequestRefused(NamedTuple):
    """A request was turned away without having run."""

    request_id: str
    route: str
    refusal: str
    status: int
    retry_after_s: float
    attempts: int
    held_s: float
    detail: str
    fingerprint: str
    """Names the request across its caller's retries; empty where it wasn't routed."""


@event(10015, "warning")
class RequestFailed(NamedTuple):
    """A request that may have run gets no answer of a backend server."""

    request_id: str
    route: str
    status: int
    attempts: int
    held_s: float
    detail: str


@event(10024, "warning")
class RequestMalformed(NamedTuple):
    """A caller's bytes are not a proper request; nothing was passed on."""

    status: int
    problem: str


@event(10016, "warning")
class AttemptFailed(NamedTuple):
    """An attempt at a backend server brought no answer."""

    request_id: str
    server_id: str
    attempt: int
    is_proved_not_run: bool
    elapsed_s: float
    cause: str


@event(10017, "warning")
class StreamBroken(NamedTuple):
    """A stream ends midway, because it can't be continued elsewhere."""

    request_id: str
    route: str
    attempts: int
    last_event_id: int
    detail: str


@event(10018)
class CallerLeft(NamedTuple):
    """The caller closed its connection before the answer was complete."""

    request_id: str
    route: str
    held_s: float


@event(10022, "warning")
class RetryBudgetSpent(NamedTuple):
    """A repeat isn't sent because the shared budget of repeats is spent."""

    request_id: str
    service: str
    repeats: int
    allowed: float


@event(10025, "warning")
class ReservationFailed(NamedTuple):
    """An engine didn't reserve or renew memory."""

    reservation_id: str
    server_id: str
    tokens: int
    outcome: str


@event(10026)
class ReservationReleased(NamedTuple):
    """Reserved memory was given back; without a status the end of its lease frees it."""

    reservation_id: str
    server_id: str
    status: int


@event(10027, "error")
class ConnectionCrashed(NamedTuple):
    """A fault of the program ended one caller's connection."""

    trace: str
