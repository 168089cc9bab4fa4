"""Events and metrics of the request path."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import counter, event, gauge, histogram


@event(6001, "debug")
class RequestOpened(NamedTuple):
    """A request of a caller was admitted."""

    request_id: str
    customer: str
    target: str
    prompt_tokens: int
    time_limit_s: float


@event(6002, "debug")
class RequestEnded(NamedTuple):
    """The complete answer of a request was delivered."""

    request_id: str
    attempts: int
    output_tokens: int
    elapsed_s: float


@event(6003)
class RequestRefused(NamedTuple):
    """A request was refused or abandoned by the entry."""

    request_id: str
    customer: str
    code: str
    outcome: str
    limit: float
    measured: float
    elapsed_s: float


@event(6004)
class AttemptCut(NamedTuple):
    """The link to a sidecar was lost, or its answer violated the protocol, during an attempt."""

    request_id: str
    attempt: int
    vm: str
    committed: bool
    cause: str


@event(6005)
class AttemptResolved(NamedTuple):
    """A sidecar reported the state of an attempt after its link was lost, or for a claimed key."""

    request_id: str
    attempt: int
    vm: str
    state: str


@event(6006)
class AttemptRepeated(NamedTuple):
    """A request is retried after a failed attempt."""

    request_id: str
    attempt: int
    shown_tokens: int
    pause_s: float


@event(6007, "debug")
class AttemptRefused(NamedTuple):
    """A sidecar refused an attempt; the attempt hasn't run."""

    request_id: str
    attempt: int
    vm: str
    code: str


@event(6008)
class EntryDraining(NamedTuple):
    """The entry received a stop signal: it reports not ready but still accepts new requests."""

    open_requests: int
    drain_s: float


@event(6009)
class EntryClosed(NamedTuple):
    """The entry refuses new requests and finishes those in progress."""

    open_requests: int
    incomplete_bodies: int
    """Requests that are refused because their bodies haven't come whole."""


@event(6010, "warning")
class EntryHurried(NamedTuple):
    """A second stop signal arrived: requests still in progress at the limit are cancelled."""

    open_requests: int
    stop_limit_s: float


@event(6012)
class RequestAbandoned(NamedTuple):
    """The caller disconnected before its answer was complete."""

    request_id: str
    outcome: str
    elapsed_s: float


@event(6015)
class LostRunContinued(NamedTuple):
    """No other attempt succeeded, so a run whose sidecar was out of reach is queried again."""

    request_id: str
    attempt: int
    vm: str


@event(6016)
class ReservationLate(NamedTuple):
    """A sidecar hasn't answered a reservation in time; it stays open while others are asked."""

    request_id: str
    attempt: int
    vm: str


@event(6017, "warning")
class UnreadRunContinues(NamedTuple):
    """A run that nobody reads any more couldn't be cancelled; it ends at its time limit."""

    request_id: str
    attempt: int
    vm: str
    cause: str


@event(6030)
class HttpServerClosed(NamedTuple):
    """An HTTP server of the entry has closed its port and its connections."""

    interface: str
    """``callers`` or ``operators``."""
    accepted: int
    """Connections that were waiting to be accepted and still were."""
    unaccepted: int | None
    """Connections that the system reset unaccepted; ``None`` if it doesn't tell."""
    cut: int
    """Connections that were cut at the time limit of the close."""


@event(6031, "warning")
class ConnectionsUnaccepted(NamedTuple):
    """Connections wait to be accepted: the process or the system lacks resources for them."""

    interface: str
    cause: str
    occasions: int
    """How often since the last such line."""


@event(6032, "warning")
class ConnectionsGaveWay(NamedTuple):
    """Connections without a request were closed since more are open than the server may have."""

    interface: str
    use: str
    """``kept`` if something had been received on them, ``new`` if nothing had."""
    connections: int
    """Their number since the last such line."""


CONNECTIONS_CLOSED = counter(
    "sassafrastally.entry.connections_closed",
    "1",
    "Connections without a request closed for others, by interface and use: kept or new",
)
REQUESTS = counter("sassafrastally.entry.requests", "1", "Requests by outcome and code")
OPEN_REQUESTS = gauge("sassafrastally.entry.open_requests", "1", "Requests in progress")
RETRIES = counter("sassafrastally.entry.retries", "1", "Attempts after the first")
FIRST_DATA = histogram(
    "sassafrastally.entry.first_data", "s", "From arrival to the first data, by prompt length"
)
ELAPSED = histogram("sassafrastally.entry.elapsed", "s", "From arrival to the end, by outcome")
