"""Which entries watch the store, and which hear of its changes from them.

The load that it answers: every watch that waits costs calls of the store, whose rate grows more
slowly than the fleet. A few entries watch and tell the others by datagrams. Nobody appoints them:
each entry counts those of higher rank that the store has answered lately.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.load import server_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

WATCHERS = 2
"""Entries that watch at the same time. One that is cut off or dies leaves another at work."""

FRESH_S = 1.5
"""A watch that waits has an answer each second. One without for longer than this doesn't count,
and the next entry steps in, in time for changes to be in force two seconds after them."""


class OtherEntry(NamedTuple):
    """Another entry, as it tells of itself."""

    host: str
    store_age_s: float
    """Time since the store answered it."""
    link_mbps: int = 0
    """Speed of its link. A watch brings each version of the configuration whole, and twenty of half
    a megabyte in two seconds take a link of ten megabits nine seconds; so the fastest links watch.
    """


def has_duty(own: OtherEntry, others: Iterable[OtherEntry]) -> bool:
    """Return whether an entry has to watch the store itself.

    Parameters
    ----------
    own
        The entry.
    others
        The entries that it hears.
    """
    own_rank = _rank(own)
    watching = sum(1 for other in others if other.store_age_s < FRESH_S and _rank(other) < own_rank)
    return watching < WATCHERS


def _rank(entry: OtherEntry) -> tuple[int, int]:
    return -entry.link_mbps, server_hash(entry.host)
