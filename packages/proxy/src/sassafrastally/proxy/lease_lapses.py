"""Which removed records may be those of live servers whose leases lapsed in an outage of the store.

A server that leaves without reporting it removes its record, and so does the store when a lease
lapses. The first must get no more requests at once; the second is live and registers again within
two seconds. The lease of a record runs from its last write, and a live server misses its heartbeats
only while the store is unavailable to all, so a removal is a departure unless the record is old
enough and nobody heard from the store for several heartbeats.
"""

from __future__ import annotations

UNKNOWN_EXPIRY_S = 3.0
"""Time without a heartbeat after which a record lapses, if the settings name no interval of
heartbeats: three of a second each, about what platforms have."""

CLOCK_SLACK_S = 0.5
"""How much later than in fact a write may have been noted: datagrams and fetched changes are in
transit, and may wait while this process is short of CPU time."""

MIN_OUTAGE_SHARE = 0.5
"""Shortest outage that can make a lease lapse, as a share of the time without a heartbeat after
which it does. A lapse needs three missed heartbeats, so an outage longer than two intervals; the
rest allows for heartbeats that came late."""


def may_lapse_leases(gap_s: float, registration_expiry_s: float) -> bool:
    """Return whether leases may have lapsed while nobody heard from the store.

    It answers for the loss of all entries that watch the store, after which another one takes over:
    the gap of the takeover alone, about 1.5 s, is no outage.

    Parameters
    ----------
    gap_s
        Time between the last two answers of the store to any entry known here.
    registration_expiry_s
        Time without a heartbeat after which the platform removes a server's record; 0: unknown.
    """
    return gap_s >= MIN_OUTAGE_SHARE * (registration_expiry_s or UNKNOWN_EXPIRY_S)


class LeaseLapses:
    """The earliest moment at which each server's record may lapse.

    It answers for planned departures during a gap in this process's own knowledge: they may not be
    taken for lapses because this process, or one of its peers, couldn't reach the store.

    Parameters
    ----------
    registration_expiry_s
        Time without a heartbeat after which the platform removes a server's record; 0: unknown.
    """

    def __init__(self, registration_expiry_s: float) -> None:
        self._registration_expiry_s = registration_expiry_s or UNKNOWN_EXPIRY_S
        self._written_since_s: dict[str, float] = {}

    def record_written(self, server_id: str, since_s: float) -> None:
        """Record a server's record.

        Parameters
        ----------
        server_id
            The server.
        since_s
            Earliest moment at which the record may have been written; minus infinity if unknown.
        """
        self._written_since_s[server_id] = since_s

    def may_have_lapsed(self, server_id: str, now_s: float) -> bool:
        """Return whether a record that is gone may have lapsed."""
        written_s = self._written_since_s.get(server_id, float("-inf"))
        return now_s - written_s >= self._registration_expiry_s - CLOCK_SLACK_S

    def forget(self, server_id: str) -> None:
        """Forget a server that is gone."""
        self._written_since_s.pop(server_id, None)

    def forget_all(self) -> None:
        """Forget all writes: a restored store may have lost them."""
        self._written_since_s.clear()
