"""Which entry tries a request with a quarantined part, and when.

Nothing else would clear a sound part that was taken for the cause of crashes: none of its requests
runs. A right verdict costs one more server for each trial, so the entries take turns, in an order
that all of them compute from the part and their hosts. Each waits long enough to hear of the trial
before its own; an entry that has ended since the verdict only loses its turn.

An entry may end during a trial and start again. So a trial is told to peers and written to the
store before it begins, and its outcome afterwards: a harmful part must not cost a server for each
start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.load import server_hash

if TYPE_CHECKING:
    from collections.abc import Collection

TRIAL_AFTER_S = 10.0
"""Time after a verdict on a part until the first trial: the servers are back by then."""

TRIAL_INTERVAL_S = 10.0
"""Time between the turns of two entries. A crash of a host that leaves its connections open is
known after eight seconds at the latest."""


TRIAL_CRASHES_AFTER_S = TRIAL_AFTER_S / 2
"""Time after a verdict from which a crash counts as that of a trial. What was running before has
ended by then, and entries learn of a verdict at most a few seconds apart."""


MAX_OPEN_TRIALS = 2
"""Number of trials without a known outcome after which there are no more: their entries have ended,
and each may have cost a server. A second one is for a sound part whose first trial had the bad
luck. Callers' operators allow three requests with a harmful part after its fifth crash."""

MAX_TRIALS_TOLD = 255
"""Maximum number of trials in a datagram; there are fewer while a verdict is in force."""


class TrialState(NamedTuple):
    """What has come of the trials of a part, of all entries together.

    No field ever gets less, so that entries can combine what they know in any order.
    """

    begun: int = 0
    without_crash: int = 0
    """Trials whose entry has seen no server crash at it."""
    has_crashed: bool = False
    """Whether a server has crashed at a trial."""

    def with_another(self) -> TrialState:
        """Return the state with one more trial."""
        return self._replace(begun=self.begun + 1)

    def may_try(self) -> bool:
        """Return whether there may be a further trial."""
        return not self.has_crashed and self.begun - self.without_crash < MAX_OPEN_TRIALS

    def combined(self, other: TrialState) -> TrialState:
        """Return what is known from both."""
        return TrialState(
            max(self.begun, other.begun),
            max(self.without_crash, other.without_crash),
            self.has_crashed or other.has_crashed,
        )


UNTRIED = TrialState()


class Turn(NamedTuple):
    """Place of an entry in the order of the trials of a part."""

    rank: int
    entries: int


FIRST_OF_ONE = Turn(0, 1)


def turn_of(part: int, own_host: str, others: Collection[str]) -> Turn:
    """Return the place of an entry among all entries.

    Parameters
    ----------
    part
        Key of the part.
    own_host, others
        The entry, and all other entries.
    """
    own_key = _key(part, own_host)
    return Turn(sum(_key(part, host) > own_key for host in others), 1 + len(others))


def trial_due_s(since_s: float, tried_s: float, known_s: float, turn: Turn) -> float:
    """Return when an entry may try a request.

    Parameters
    ----------
    since_s
        When the entry learned of the verdict.
    tried_s
        When it made its last trial; negative infinity if it hasn't made any.
    known_s
        When it learned of the last trial of any entry; negative infinity if there was none. Entries
        whose turns have all come, as there was no request, must not try at the same moment.
    turn
        Its place.
    """
    first_s = since_s + TRIAL_AFTER_S + turn.rank * TRIAL_INTERVAL_S
    return max(first_s, tried_s + turn.entries * TRIAL_INTERVAL_S, known_s + TRIAL_INTERVAL_S)


def is_trial_crash(since_s: float, at_s: float) -> bool:
    """Return whether a crash at a quarantined part was that of a trial."""
    return at_s >= since_s + TRIAL_CRASHES_AFTER_S


def _key(part: int, host: str) -> int:
    return server_hash(f"{part:016x} {host}")
