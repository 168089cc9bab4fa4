"""Log events about the process itself."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import event


@event(10019)
class ProcessDraining(NamedTuple):
    """The process received a stop signal; it is no longer ready and finishes in-flight requests."""

    requests: int
    stop_time_s: float


@event(10096)
class DrainEnded(NamedTuple):
    """A stopping process has waited for responses until its end; open requests are answered now."""

    requests: int
    late_s: float
    """How late the end was noticed."""
    left_s: float
    """Time until the process is killed."""
    slowdown: float = 1.0
    """How much longer its work took than the work's processor time while it stopped."""


@event(10084)
class ListenerClosed(NamedTuple):
    """A stopping process has closed the callers' port."""

    accepted: int
    """Connections that were waiting and were still accepted."""
    unaccepted: int | None
    """Connections that were reset for lack of resources to accept them; empty if not known."""
    open_connections: int


@event(10094, "warning")
class AcceptFailed(NamedTuple):
    """Callers' connections can't be accepted for lack of resources; they wait meanwhile."""

    cause: str
    open_connections: int
    occasions: int
    """How often since the last such line."""


@event(10095, "warning")
class ConnectionsTurnedAway(NamedTuple):
    """New callers' connections weren't served; written at most once a second for each cause."""

    cause: str
    closed: int = 0
    """Connections that were closed unread."""
    closed_with_input: int = 0
    """Those of them on which something had arrived."""
    longest_closed_s: float = 0.0
    """Longest time for which it had been there; 0 if not known."""
    refused: int = 0
    """Connections whose requests were refused."""
    longest_refused_s: float = 0.0
    """Longest time for which these had been there."""


@event(10085)
class IdleConnectionsClosed(NamedTuple):
    """A stopping process has closed the callers' connections that were idle."""

    connections: int
    requests: int


@event(10123, "warning")
class PortInUse(NamedTuple):
    """Another process has a port of this one, maybe the one before it, which still stops."""

    cause: str
    is_given_up: bool
    """Whether this process stops, as the port wasn't released in time."""


@event(10122, "warning")
class ConnectionsCut(NamedTuple):
    """Callers' connections were closed before everything on them was done.

    Written at most once a second.
    """

    is_stopping: bool
    connections: int = 0
    unacknowledged: int = 0
    """Those whose caller hadn't acknowledged everything that was sent to it."""
    most_unacknowledged_bytes: int = 0
    unserved: int = 0
    """Those on which bytes had arrived between two requests that weren't read, or discarded."""
    most_unserved_bytes: int = 0
    request_ids: tuple[str, ...] = ()
    """IDs of the latest requests on the first of them."""


@event(10023)
class ReadinessChanged(NamedTuple):
    """The readiness that the process reports has changed."""

    is_ready: bool
    reason: str


@event(10020)
class SettingsReloaded(NamedTuple):
    """The settings file was reloaded."""

    has_changed: bool


@event(10021, "error")
class SettingsRejected(NamedTuple):
    """The settings file is invalid; the previous settings stay in effect."""

    findings: str


@event(10080, "error")
class ErrorContained(NamedTuple):
    """An unexpected error ended a unit of work, but not the process; a fault of this program."""

    work: str
    traceback: str


@event(10066, "warning")
class EntryOverloaded(NamedTuple):
    """This entry's tasks run late; it leaves duties to others and refuses new streams."""

    lag_s: float
    requests: int
    most_streams: int


@event(10067)
class EntryRecovered(NamedTuple):
    """This entry's tasks run in time again."""

    lag_s: float
    overloaded_s: float
