"""Selection of the entries that watch the store for all others.

Every waiting watch costs store calls, and the store's capacity grows more slowly than the fleet. So
a few entries watch and notify the others by datagrams. There is no election: each entry counts the
entries of higher rank that the store has answered recently.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.load_exchange import link_rank

if TYPE_CHECKING:
    from collections.abc import Iterable

WATCHERS = 2
"""Number of entries that watch at the same time. If one is cut off or dies, another still
watches."""

WATCHER_TIMEOUT_S = 1.5
"""A waiting watch gets an answer each second. A watcher without one for longer than this doesn't
count, and the next entry takes over, early enough for changes to be in force within two seconds."""


TAKEOVER_STEP_S = 0.3
FIRST_TAKEOVER_COUNT = 6
MAX_TAKEOVER_DELAY_S = 0.9
"""When the watchers get no answers, the first six entries take over at once, twice as many more
after another 0.3 s, and all after 0.9 s. This leaves time for the first of them to get an answer
and notify the others. When all took over together, a store pause of two seconds cost three calls of
each of 68 entries."""


class WatchCandidate(NamedTuple):
    """An entry as a candidate for watching the store."""

    host: str
    store_age_s: float
    """Time since the store last answered it."""
    link_mbps: int = 0
    """Speed of its link. A watch transfers each configuration version in full, and twenty versions
    of half a megabyte within two seconds take nine seconds on a link of ten megabits; so the
    entries with the fastest links watch."""
    relay_delay_s: float = 0.0
    """Additional delay of its state if it arrives by way of a relay. Without this allowance, an
    entry that learns of the watchers from a relay would take over and stop again all the time."""
    is_overloaded: bool = False
    """Whether it leaves the watch to others that can take it."""

    @property
    def rank(self) -> tuple[bool, int, int]:
        """Sort key for the assignment of the watch."""
        return self.is_overloaded, *link_rank(self.host, self.link_mbps)

    def has_recent_answer(self, within_s: float = WATCHER_TIMEOUT_S) -> bool:
        """Return whether the store has answered it recently."""
        return self.store_age_s - self.relay_delay_s < within_s


def must_watch_store(own: WatchCandidate, others: Iterable[WatchCandidate]) -> bool:
    """Return whether an entry has to watch the store itself.

    Parameters
    ----------
    own
        The entry.
    others
        The other entries whose state it receives.
    """
    higher_ranked = [other for other in others if other.rank < own.rank]
    within_s = WATCHER_TIMEOUT_S + takeover_delay_s(len(higher_ranked))
    return sum(1 for other in higher_ranked if other.has_recent_answer(within_s)) < WATCHERS


def takeover_delay_s(position: int) -> float:
    """Return the additional takeover delay of an entry by its position in the ranking, from 0."""
    wait_s, takeover_count = 0.0, FIRST_TAKEOVER_COUNT
    while position >= takeover_count and wait_s < MAX_TAKEOVER_DELAY_S:
        wait_s += TAKEOVER_STEP_S
        takeover_count *= 3  # Twice as many more.
    return min(wait_s, MAX_TAKEOVER_DELAY_S)


def watchers(entries: Iterable[WatchCandidate]) -> list[WatchCandidate]:
    """Return the highest-ranked entries that the store answers, which may watch for all."""
    fresh = (entry for entry in entries if entry.has_recent_answer())
    return sorted(fresh, key=lambda entry: entry.rank)[:WATCHERS]
