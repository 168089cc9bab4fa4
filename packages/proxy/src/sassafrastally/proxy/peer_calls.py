"""Clients for calls to peers, one for each address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.core import Address
from sassafrastally.proxy.calls import CallClient

if TYPE_CHECKING:
    from sassafrastally.proxy.input_limits import InputBudget


class PeerCalls:
    """Clients for calls to the peers' common port.

    Parameters
    ----------
    port
        Port on which entries answer their peers.
    input_budget
        Budget of the process for responses that aren't complete; by default without a bound.
    """

    def __init__(self, port: int, input_budget: InputBudget | None = None) -> None:
        self._port = port
        self._input_budget = input_budget
        self._clients: dict[str, CallClient] = {}

    def client(self, host: str) -> CallClient:
        """Return the client for calls to a peer."""
        if host not in self._clients:
            address = Address(host, self._port)
            self._clients[host] = CallClient(address, input_budget=self._input_budget)
        return self._clients[host]

    async def forget(self, host: str) -> None:
        """Close the connections to a peer that is gone."""
        if host in self._clients:
            await self._clients.pop(host).close()
