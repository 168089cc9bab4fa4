"""Backend servers that leave, by what their answers say or look like, while the store can't tell.

The load that it answers: a quarter of the engines drain while the store is away. A long prompt is
read by up to seventeen engines, and one that drains turns the whole prompt away; nearly none came
through. A refusal names one such engine; left alone for a second like one that failed, it was asked
again by the next entry, so that none of them was ever known for long.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from sassafrastally.proxy.load import Work

NEWS_AGE_S = 1.0
"""Age from which on what is known of the servers may lack one that leaves: a watch brings something
each second."""

LEAVING_S = 8.0
"""How long such a server is left alone; one that drains is gone by then."""

FORGOTTEN_S = 600.0
"""How long a server's own word is remembered once its entry is gone."""

CONFIRMED_S = 2.0
"""When what is known of the servers is confirmed this long after, one that is still there doesn't
leave: its word to the store has arrived by then."""

FULL_SHARE = 0.5
"""Share of its slots known to be taken from which on a server may have been full: in a burst, up to
half of its requests haven't been heard of yet."""


def looks_leaving(work: Work, slots: int, news_age_s: float) -> bool:
    """Return whether a refusal is best explained by a server that leaves.

    Parameters
    ----------
    work
        What is known of the work at the server.
    slots
        Requests that it runs at once.
    news_age_s
        Age of what is known of the servers.
    """
    is_loaded = work.requests + work.reading_requests >= FULL_SHARE * slots
    return news_age_s > NEWS_AGE_S and not is_loaded


class LeavingServers:
    """Those that this process has met."""

    def __init__(self) -> None:
        self._since_s: dict[str, float] = {}

    def note(self, life_id: str, now_s: float) -> None:
        """Note a refusal that looks like leaving."""
        self._since_s[life_id] = now_s

    def left_alone(self, now_s: float, confirmed_s: float) -> dict[str, float]:
        """Return the servers to be left alone, with the seconds left.

        Parameters
        ----------
        now_s
            Present time.
        confirmed_s
            When what is known of the servers was last confirmed.
        """
        self._since_s = {
            life_id: since_s
            for life_id, since_s in self._since_s.items()
            if now_s - since_s < LEAVING_S and confirmed_s < since_s + CONFIRMED_S
        }
        return {life_id: since_s + LEAVING_S - now_s for life_id, since_s in self._since_s.items()}


class DeclaredLeaving:
    """Servers that have said so themselves; they leave for good.

    A server's entry in the store may lapse with an outage and come back; what it has said still
    holds then.
    """

    def __init__(self) -> None:
        self._said_s: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._said_s)

    def __contains__(self, life_id: object) -> bool:
        return life_id in self._said_s

    def note(self, life_id: str, now_s: float) -> bool:
        """Note a server's word; return whether it is the first."""
        is_first = life_id not in self._said_s
        self._said_s[life_id] = now_s
        return is_first

    def told(self, now_s: float) -> dict[str, float]:
        """Return the servers that peers are told to leave alone, with the seconds left.

        By the end of these a server has gone, or tells the peers itself.
        """
        left = {life_id: said_s + LEAVING_S - now_s for life_id, said_s in self._said_s.items()}
        return {life_id: left_s for life_id, left_s in left.items() if left_s > 0}

    def forget_gone(self, known: Collection[str], now_s: float) -> None:
        """Forget servers that nobody has told of for a long time."""
        for life_id in self._said_s.keys() - known:
            if now_s - self._said_s[life_id] > FORGOTTEN_S:
                del self._said_s[life_id]
