"""Which entries watch the store, and which hear of its changes from them.

The load that it answers: every watch that waits costs calls of the store, whose rate grows more
slowly than the fleet. A few entries watch and tell the others by datagrams. Nobody appoints them:
each entry counts those of higher rank that the store has answered lately.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.sharing import link_rank

if TYPE_CHECKING:
    from collections.abc import Iterable

WATCHERS = 2
"""Entries that watch at the same time. One that is cut off or dies leaves another at work."""

FRESH_S = 1.5
"""A watch that waits has an answer each second. One without for longer than this doesn't count,
and the next entry steps in, in time for changes to be in force two seconds after them."""


STEP_S = 0.3
FIRST_STEP = 6
LAST_STEP_S = 0.9
"""When the watchers have no answers, the first six entries step in at once, twice as many after a
further 0.3 s, and all 0.9 s later: enough for the first of them to be answered and heard. When all
stepped in together, a pause of the store of two seconds cost three calls of each of 68 entries."""


class OtherEntry(NamedTuple):
    """Another entry, as it tells of itself."""

    host: str
    store_age_s: float
    """Time since the store answered it."""
    link_mbps: int = 0
    """Speed of its link. A watch brings each version of the configuration whole, and twenty of half
    a megabyte in two seconds take a link of ten megabits nine seconds; so the fastest links watch.
    """
    way_s: float = 0.0
    """How much longer its news takes than those of an entry that tells of itself. Without it, an
    entry that hears of the watchers by way of others would step in and out all the time."""

    def is_answered(self, within_s: float = FRESH_S) -> bool:
        """Return whether the store has answered it lately."""
        return self.store_age_s - self.way_s < within_s


def has_duty(own: OtherEntry, others: Iterable[OtherEntry]) -> bool:
    """Return whether an entry has to watch the store itself.

    Parameters
    ----------
    own
        The entry.
    others
        The entries that it hears.
    """
    own_rank = link_rank(own.host, own.link_mbps)
    before = [other for other in others if link_rank(other.host, other.link_mbps) < own_rank]
    within_s = FRESH_S + stepping_in_s(len(before))
    return sum(1 for other in before if other.is_answered(within_s)) < WATCHERS


def stepping_in_s(place: int) -> float:
    """Return how much longer than the first ones an entry waits before it steps in."""
    wait_s, last = 0.0, FIRST_STEP
    while place >= last and wait_s < LAST_STEP_S:
        wait_s += STEP_S
        last *= 3  # Twice as many more.
    return min(wait_s, LAST_STEP_S)


def watchers(entries: Iterable[OtherEntry]) -> list[OtherEntry]:
    """Return those of some entries that may watch for all: the first that the store answers."""
    fresh = (entry for entry in entries if entry.is_answered())
    return sorted(fresh, key=lambda entry: link_rank(entry.host, entry.link_mbps))[:WATCHERS]
