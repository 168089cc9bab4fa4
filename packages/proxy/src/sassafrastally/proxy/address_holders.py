"""Which backend server listens at an address that several records name.

A server that crashed and one that has started at its address are both registered until the first
one's record expires, several seconds later. A request that names the crashed server is rejected by
its successor, which costs the request one of its attempts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafrastally.core import Address
    from sassafrastally.proxy.model import BackendServer


class AddressHolders:
    """The latest server at each address: the one that started last."""

    def __init__(self) -> None:
        self._holders: dict[Address, BackendServer] = {}

    def record(self, server: BackendServer) -> None:
        """Record a server's address, as its record names it."""
        holder = self._holders.get(server.address)
        if holder is None or not _is_later(holder, server):
            self._holders[server.address] = server

    def may_hold(self, server: BackendServer) -> bool:
        """Return whether no later server has registered at a server's address."""
        holder = self._holders.get(server.address)
        return holder is None or not _is_later(holder, server)

    def forget(self, server: BackendServer) -> None:
        """Forget a server that is gone."""
        holder = self._holders.get(server.address)
        if holder is not None and holder.incarnation_id == server.incarnation_id:
            del self._holders[server.address]


def _is_later(one: BackendServer, other: BackendServer) -> bool:
    """Return whether a server has certainly started after another one.

    Start times of servers at one address come from the same VM's clock. Servers that don't report
    theirs can't be ordered: records of a crashed server may be written after its successor's.
    """
    if one.server_id == other.server_id or one.born_ms is None or other.born_ms is None:
        return False
    return one.born_ms > other.born_ms
