"""Log events of how backend servers behave and what they ask."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import event


@event(10011, "warning")
class ServerSuspected(NamedTuple):
    """A backend server gets no work for a while because of what its answers show."""

    server_id: str
    reason: str
    for_s: float
    request_id: str


@event(10031, "warning")
class EngineSlow(NamedTuple):
    """An engine's report says that it works slower than its figures."""

    server_id: str
    pace: float
    """How many times slower."""


@event(10032)
class EngineUsual(NamedTuple):
    """An engine that was slow works by its figures again."""

    server_id: str
    pace: float


@event(10033, "warning")
class ReportFailed(NamedTuple):
    """An engine's report didn't come, or can't be understood."""

    server_id: str
    cause: str
    request_id: str
    """Request whose silence asked for it; empty for a regular report."""


@event(10036, "warning")
class ServerCrashed(NamedTuple):
    """A backend server's process ended in the middle of a request: nobody has its port any more."""

    server_id: str
    request_id: str
    fingerprint: str
    """Names the request across its caller's retries."""
    cause: str
    """How the answer broke off."""


@event(10044, "warning")
class ServerCrashPresumed(NamedTuple):
    """An answer broke off, and the server's address ends new connections at once."""

    server_id: str
    request_id: str
    fingerprint: str
    """Names the request across its caller's retries."""
    cause: str
    """How the answer broke off."""


@event(10040)
class ServerLimited(NamedTuple):
    """A backend server names the requests that it takes from all entries together."""

    server_id: str
    most_per_s: float
    own_per_s: float
    """What this entry may send of them; 0 where others share the limit."""
    sent: int
    """Requests that this process sent it in the last seconds."""
    entries: int
    """Entries that may send to it, this one included."""
    source: str
    """Whether this entry has heard it itself, or which peer told."""


@event(10041)
class ServerLimitEnded(NamedTuple):
    """A backend server no longer names a limit."""

    server_id: str
    source: str


@event(10042)
class ServerLeaving(NamedTuple):
    """A backend server says that it leaves."""

    server_id: str


@event(10043)
class ServerCoolingDown(NamedTuple):
    """A backend server wants no request of this process for a while."""

    server_id: str
    for_s: float
