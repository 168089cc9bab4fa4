"""Which backend server listens at an address that several records name.

A server that crashed and one that has started at its address are both registered until the first
one's record expires, several seconds later. A request that names the crashed server is rejected by
its successor, which costs the request one of its attempts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.incarnation_order import CONFIRMATION_SHARE
from sassafrastally.proxy.lease_lapses import UNKNOWN_EXPIRY_S

if TYPE_CHECKING:
    from sassafrastally.core import Address
    from sassafrastally.proxy.model import BackendServer


class AddressHolders:
    """The present server at each address.

    It is the one that started last, as far as start times tell. Those come from the wall clock of
    one machine, which may have gone back between the two starts; so a server that goes on writing
    while the holder is silent holds the address, whatever its start time.

    Parameters
    ----------
    registration_expiry_s
        Time without a heartbeat after which the platform removes a server's record; 0: unknown.
    """

    def __init__(self, registration_expiry_s: float) -> None:
        self._silence_s = CONFIRMATION_SHARE * (registration_expiry_s or UNKNOWN_EXPIRY_S)
        self._holders: dict[Address, BackendServer] = {}
        self._written_s: dict[Address, float] = {}
        """When the latest record of each holder was read."""
        self._replaced: set[str] = set()
        """Incarnations whose address a server with an earlier start time holds."""

    def record(
        self, server: BackendServer, now_s: float, since_s: float, returned_s: float
    ) -> bool:
        """Record that a server has written its record.

        Returns whether it holds the address from now on although it doesn't seem to be the later.

        Parameters
        ----------
        server
            The server.
        now_s
            Present time.
        since_s
            Earliest moment at which the record may have been written.
        returned_s
            When the store last returned from an outage, in which no server could write.
        """
        address = server.address
        holder = self._holders.get(address)
        takes_over = server.incarnation_id in self._replaced
        self._replaced.discard(server.incarnation_id)
        if holder is not None and _is_later(holder, server):
            if since_s - max(self._written_s[address], returned_s) < self._silence_s:
                return False
            self._replaced.add(holder.incarnation_id)
            takes_over = True
        self._holders[address] = server
        self._written_s[address] = now_s
        return takes_over

    def may_hold(self, server: BackendServer) -> bool:
        """Return whether no other server holds a server's address."""
        holder = self._holders.get(server.address)
        if holder is None or holder.incarnation_id == server.incarnation_id:
            return True
        return not _is_later(holder, server) and server.incarnation_id not in self._replaced

    def forget(self, server: BackendServer) -> None:
        """Forget a server that is gone."""
        self._replaced.discard(server.incarnation_id)
        holder = self._holders.get(server.address)
        if holder is not None and holder.incarnation_id == server.incarnation_id:
            del self._holders[server.address]
            del self._written_s[server.address]


def _is_later(one: BackendServer, other: BackendServer) -> bool:
    """Return whether a server has started after another one, by the clock of their machine.

    Servers that don't report their start can't be ordered: records of a crashed server may be
    written after its successor's.
    """
    if one.server_id == other.server_id or one.born_ms is None or other.born_ms is None:
        return False
    return one.born_ms > other.born_ms
