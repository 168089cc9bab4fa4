"""Log events about faults and backpressure signals of backend servers."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import event


@event(10011, "warning")
class ServerSuspected(NamedTuple):
    """A backend server is ejected for a while because of its responses or failures."""

    server_id: str
    reason: str
    for_s: float
    request_id: str


@event(10031, "warning")
class EngineSlow(NamedTuple):
    """An engine's status report shows that it is slower than its published performance."""

    server_id: str
    pace: float
    """Slowdown factor."""


@event(10032)
class EngineUsual(NamedTuple):
    """An engine that was slow reaches its published performance again."""

    server_id: str
    pace: float


@event(10033, "warning")
class ReportFailed(NamedTuple):
    """An engine's status report is missing or invalid."""

    server_id: str
    cause: str
    request_id: str
    """Request whose silence caused the report to be requested; empty for a regular report."""


@event(10036, "warning")
class ServerCrashed(NamedTuple):
    """A backend server's process ended during a request: its port refuses connections."""

    server_id: str
    request_id: str
    fingerprint: str
    """Identifies the request across the caller's retries."""
    cause: str
    """How the response was interrupted."""
    events: int
    """Number of events of the answer that had arrived."""
    prompt_parts: tuple[str, ...]
    """IDs of the first parts that the prompt shares with others."""


@event(10044, "warning")
class ServerCrashPresumed(NamedTuple):
    """A response was interrupted, and the server closes new connections at once."""

    server_id: str
    request_id: str
    fingerprint: str
    """Identifies the request across the caller's retries."""
    cause: str
    """How the response was interrupted."""
    events: int
    """Number of events of the answer that had arrived."""
    prompt_parts: tuple[str, ...]
    """IDs of the first parts that the prompt shares with others."""


@event(10040)
class ServerLimited(NamedTuple):
    """A backend server announced a rate limit for all entries together."""

    server_id: str
    most_per_s: float
    own_per_s: float
    """This entry's share of the limit; 0 if only other entries share it."""
    sent: int
    """Number of requests that this process sent it in the last seconds."""
    entries: int
    """Number of entries that may send to it, including this one."""
    source: str
    """Source of the limit: the server's response to this entry, or the peer that reported it."""


@event(10041)
class ServerLimitEnded(NamedTuple):
    """A backend server no longer has a rate limit."""

    server_id: str
    source: str


@event(10042)
class ServerLeaving(NamedTuple):
    """A backend server announced that it is shutting down."""

    server_id: str


@event(10043)
class ServerCoolingDown(NamedTuple):
    """A backend server asked this process to send no requests for a while."""

    server_id: str
    for_s: float


@event(10055)
class ServerCold(NamedTuple):
    """A backend server is cold: it accepts few requests for some seconds."""

    server_id: str
    for_s: float
    most_per_s: float
    """Requests per second that it accepts from all entries together."""
    own_requests: int
    """Requests that this entry may send in a window; 0 if only other entries may."""
    sent: int
    """Number of requests that this process sent it in the last seconds."""
    entries: int
    """Number of entries that share the rate, including this one."""
    source: str
    """Source of the news: the server's answer, the store, or the peer that passed it on."""


@event(10056)
class ServerWarm(NamedTuple):
    """A backend server is no longer cold."""

    server_id: str
    sent: int
    """Number of requests that this process sent it in the last seconds."""


@event(10057, "warning")
class ColdTimeRejected(NamedTuple):
    """A backend server states a cold time that is negative, above an hour or not a number."""

    server_id: str
    stated_s: float
    source: str


@event(10079, "warning")
class FieldIgnored(NamedTuple):
    """A backend server's responses have a field with an invalid value, which counts as absent."""

    server_id: str
    field: str
    problem: str


@event(10058)
class SharesGranted(NamedTuple):
    """This entry leaves a part of its shares of servers' limits to another entry."""

    peer: str
    unmet: int
    """Requests of the peer that found no share since its previous report."""
    granted: int
    spare: int
    """Requests that this entry could have sent."""
    kept: int
    """Requests that it sent in the last second, and keeps for itself."""


@event(10090, "warning")
class ResponseTooLong(NamedTuple):
    """A backend server's response was given up because a part of it exceeded a bound."""

    server_id: str
    place: str
    """The part, with the unit of the amount and the bound."""
    amount: int
    bound: int
