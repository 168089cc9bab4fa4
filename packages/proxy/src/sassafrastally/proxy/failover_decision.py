"""When a request at a silent server goes on at another server.

A sound server may fall silent for a second or two and go on. A dead one is as silent. An attempt
given up before it is certain that another one follows costs the caller its answer if no other one
is possible: the retry budget is exhausted, no server has room or none is left. A certain one may be
rejected as well, its server may be gone, or fail after the first events of its response. So the
attempt at the silent server stays open beside the next one, until one of them has gone on.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

RECHECK_INTERVAL_S = 0.1
"""Interval at which a request that stays at a silent server looks for another one: room, servers
and the retry budget change within about as long."""

FAILURE_MARGIN_S = 0.25
"""How long before the caller leaves it gets a failure that a server has answered, if all others are
silent: as long as a limit may act late."""

TIMER_PRECISION_S = 0.001
"""Time by which a timer may fire early."""


class Obstacle(Enum):
    """What prevents another attempt at a request."""

    REPETITION = "it may have run and must not run twice"
    ATTEMPTS = "all attempts of its route are used"
    NETWORK = "too many servers were unreachable"
    BUDGET = "the retry budget is exhausted"
    ROOM = "no other server takes it"
    QUEUE = "others wait for room before it"
    QUARANTINE = "it is quarantined"
    STOP = "this entry stops too soon"

    @property
    def is_for_room(self) -> bool:
        """Whether waiting for room may remove it."""
        return self in (Obstacle.ROOM, Obstacle.QUEUE)


class Received(Enum):
    """What an open attempt has received, as far as it decides which attempt goes on."""

    COMMENT = "comments between events"
    NEW_EVENT = "an event that the caller lacks, after all that it has"
    KNOWN_EVENT = "an event that the caller has"
    OTHER_EVENT = "an event in whose place the caller has another one"
    RESPONSE = "a complete response, or the end of a stream after all events that the caller has"
    OTHER_RESPONSE = "the end of a stream without all events that the caller has"
    FAILURE = "a server's failure, in place of which another attempt may succeed"


class Handling(Enum):
    """What becomes of what an open attempt has received."""

    FORWARD = "it goes to the caller"
    HOLD = "it waits until the attempt is the only one or receives a new event"
    DROP = "it goes nowhere"
    KEEP = "it is forwarded only if no other attempt succeeds"
    CLOSE = "the attempt is closed"


class Reserve(NamedTuple):
    """An open attempt beside the one whose events are forwarded."""

    is_sent: bool
    """Whether its request has been sent."""
    has_leader_gone_on: bool
    """Whether the other one's server has gone on since the last silence of all servers."""
    is_time_over: bool = False
    """Whether the request's limit has passed, so that only what has arrived counts."""


class Silence(NamedTuple):
    """A wait for a server that sends nothing."""

    silent_s: float
    """Time since the last event, or since the request was sent."""
    limit_s: float
    """Silence after which another server should take over."""
    has_successor: bool = False
    """Whether the next attempt is already certain."""

    @property
    def is_over_limit(self) -> bool:
        """Whether it has lasted for as long as an attempt is given."""
        return self.silent_s >= self.limit_s - TIMER_PRECISION_S


class SuccessorFacts(NamedTuple):
    """What the next attempt of a request at a silent server depends on."""

    route_obstacle: Obstacle | None
    """Why the route allows no other attempt, if it doesn't."""
    is_quarantined: bool
    is_stopping: bool
    """Whether this entry stops before the response could be complete."""
    is_behind_others: bool
    """Whether others wait for the room that it would take."""
    has_server: bool
    """Whether another server has room."""


def next_check_s(silence: Silence) -> float:
    """Return after how long to look for another server; 0 for now.

    The load is a fleet of which a few servers are silent, for a moment or for good. A request at a
    sound server costs one timer. At a silent one it looks for another server at a fixed time and,
    while there is none, ten times a second: a placement takes a fraction of a millisecond.
    """
    if silence.has_successor:
        return RECHECK_INTERVAL_S
    left_s = silence.limit_s - silence.silent_s
    return left_s if left_s > TIMER_PRECISION_S else 0.0


def handling(received: Received, *, has_others: bool) -> Handling:
    """Return what becomes of what an attempt has received.

    The load is requests of which a few wait for a silent server and for its successor at once.
    Whichever has the caller's next event first forwards it; what the caller has already is only
    compared, and an attempt whose run differs is closed, so that the caller never gets pieces of
    two runs. Comments wait while there are others: their write could delay an event of another
    attempt.

    Parameters
    ----------
    received
        What the attempt has received.
    has_others
        Whether other attempts of the request are open.
    """
    if received is Received.COMMENT and has_others:
        return Handling.HOLD
    return _HANDLING.get(received, Handling.FORWARD)


_HANDLING = {
    Received.KNOWN_EVENT: Handling.DROP,
    Received.OTHER_EVENT: Handling.CLOSE,
    Received.OTHER_RESPONSE: Handling.CLOSE,
    Received.FAILURE: Handling.KEEP,
}


def is_dispensable(reserve: Reserve) -> bool:
    """Return whether an attempt is closed since another one forwards events.

    The load is sound servers that pause, dead ones, and servers that fail soon after they have
    begun to answer. The first event of a successor doesn't make it certain: it may crash on the
    request or fall silent itself. Once it has gone on for a while, it is no more likely to fail
    than a server whose request has no other attempt, and a second one only costs an engine time.
    A limit that has passed ends both in a moment: the response that is whole by then may be either.
    """
    return not reserve.is_sent or (reserve.has_leader_gone_on and not reserve.is_time_over)


def may_start_another(open_attempts: Iterable[Silence]) -> bool:
    """Return whether silence allows another attempt beside those that are open.

    A successor gets as much time as the first attempt: the load is a few dead servers in a row, and
    an attempt started sooner would take a request's last attempts from it.
    """
    return all(one.is_over_limit for one in open_attempts)


def successor_obstacle(facts: SuccessorFacts) -> Obstacle | None:
    """Return what prevents a successor, apart from the retry budget.

    The budget is charged last: what is charged for an attempt that can't be made is missing for
    others.
    """
    if facts.route_obstacle is not None:
        return facts.route_obstacle
    if facts.is_quarantined:
        return Obstacle.QUARANTINE
    if facts.is_stopping:
        return Obstacle.STOP
    if facts.is_behind_others:
        return Obstacle.QUEUE
    return None if facts.has_server else Obstacle.ROOM


def reaches_caller(now_s: float, predicted_s: float, caller_leaves_s: float) -> bool:
    """Return whether a successor's next event comes before the caller leaves.

    The load is long prompts, whose prefill elsewhere takes longer than the caller still waits: the
    silent server may go on before. A caller that hasn't left in time waits longer than others.

    Parameters
    ----------
    now_s, predicted_s
        Present time, and time to the next event from the successor.
    caller_leaves_s
        When the caller closes the stream unless an event comes.
    """
    return now_s >= caller_leaves_s or now_s + predicted_s < caller_leaves_s


def must_forward_failure(now_s: float, caller_leaves_s: float) -> bool:
    """Return whether a failure that is kept is forwarded although silent servers may go on.

    The load is a silent server and a successor that has answered with a failure. The silent one may
    be dead; a caller that leaves before the limit would get neither the failure nor its reason.

    Parameters
    ----------
    now_s
        Present time.
    caller_leaves_s
        When the caller closes the stream unless something comes.
    """
    return now_s >= caller_leaves_s - FAILURE_MARGIN_S
