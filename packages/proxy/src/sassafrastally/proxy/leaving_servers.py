"""Detection of leaving backend servers from their answers, for when the store is unavailable.

With a quarter of the engines draining during a store outage, nearly no long prompt succeeded: up to
seventeen engines share a prompt's prefill, and a single draining one refuses the whole prompt. Its
refusal names one such engine. Avoided only for a second, like a failed server, that engine was
tried again by the next entry, so that no entry knew the draining engines for long.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from sassafrastally.proxy.load import Work

MAX_FRESH_AGE_S = 1.0
"""Age above which the view of the servers may miss one that is leaving; a watch returns at least
once per second."""

LEAVING_S = 8.0
"""How long a server that looks like leaving is avoided; a draining one is gone by then."""

FORGOTTEN_S = 600.0
"""How long a server's announcement is remembered after its store record is gone."""

CONFIRMATION_DELAY_S = 2.0
"""If the view of the servers is confirmed this long after the refusal, the server is no longer
avoided: a leaving one would have updated its store record by then."""

FULL_SHARE = 0.5
"""Known share of used slots from which a server may have been full: in a burst, up to half of its
requests aren't known here yet."""


def is_probably_leaving(work: Work, slots: int, update_age_s: float) -> bool:
    """Return whether a refusal most likely means that the server is leaving.

    Parameters
    ----------
    work
        Known work at the server.
    slots
        Number of requests that it runs concurrently.
    update_age_s
        Age of the view of the servers.
    """
    is_loaded = work.requests + work.prefill_requests >= FULL_SHARE * slots
    return update_age_s > MAX_FRESH_AGE_S and not is_loaded


def is_explained_by_load(work: Work, slots: int) -> bool:
    """Return whether the load of a server explains that it refused an attempt.

    Parameters
    ----------
    work
        Known work at the server, the refused attempt included.
    slots
        Number of requests that it runs concurrently.
    """
    return work.requests - 1 >= FULL_SHARE * slots


class LeavingServers:
    """Servers whose refusals to this process look like leaving."""

    def __init__(self) -> None:
        self._since_s: dict[str, float] = {}

    def record(self, incarnation_id: str, now_s: float) -> None:
        """Record a refusal that looks like leaving."""
        self._since_s[incarnation_id] = now_s

    def to_avoid(self, now_s: float, confirmed_s: float) -> dict[str, float]:
        """Return the servers to avoid, with the remaining seconds.

        Parameters
        ----------
        now_s
            Present time.
        confirmed_s
            When the view of the servers was last confirmed.
        """
        self._since_s = {
            incarnation_id: since_s
            for incarnation_id, since_s in self._since_s.items()
            if now_s - since_s < LEAVING_S and confirmed_s < since_s + CONFIRMATION_DELAY_S
        }
        return {
            incarnation_id: since_s + LEAVING_S - now_s
            for incarnation_id, since_s in self._since_s.items()
        }


class DeclaredLeaving:
    """Servers that have announced that they are leaving, which is final.

    A server's store record may expire during an outage and be written again; its announcement
    remains valid.
    """

    def __init__(self) -> None:
        self._announced_s: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._announced_s)

    def __contains__(self, incarnation_id: object) -> bool:
        return incarnation_id in self._announced_s

    def record(self, incarnation_id: str, now_s: float) -> bool:
        """Record a server's announcement; return whether it is the first."""
        is_first = incarnation_id not in self._announced_s
        self._announced_s[incarnation_id] = now_s
        return is_first

    def to_announce(self, now_s: float) -> dict[str, float]:
        """Return the servers that peers should avoid, with the remaining seconds.

        After that time, a server is gone or has announced it to the peers itself.
        """
        left = {
            incarnation_id: said_s + LEAVING_S - now_s
            for incarnation_id, said_s in self._announced_s.items()
        }
        return {incarnation_id: left_s for incarnation_id, left_s in left.items() if left_s > 0}

    def forget_gone(self, known: Collection[str], now_s: float) -> None:
        """Remove unknown servers whose last announcement is older than `FORGOTTEN_S`."""
        for incarnation_id in self._announced_s.keys() - known:
            if now_s - self._announced_s[incarnation_id] > FORGOTTEN_S:
                del self._announced_s[incarnation_id]
