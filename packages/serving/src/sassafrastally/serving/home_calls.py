"""Calls to the home of a key, protected by a circuit breaker per home."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.core import time_limit
from sassafrastally.wire.link import LinkCut, LinkRefused, StreamEnded
from sassafrastally.wire.streams import TooManyStreams

if TYPE_CHECKING:
    from sassafrastally.stores.interfaces import VmState
    from sassafrastally.wire.link import Peers
    from sassafrastally.wire.messages import Message

CIRCUIT_OPEN_S = 1.0
"""How long calls to a home fail immediately after one got no reply."""


class HomeClient:
    """Calls the homes of keys and skips a home for a while after it gave no reply.

    A home may be gone, paused or overloaded. Without the circuit breaker, every request would wait
    for its full time limit on an unresponsive home.

    Parameters
    ----------
    peers
        Peer links of the process.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._open_until_s: dict[str, float] = {}

    def is_circuit_open(self, home: VmState) -> bool:
        """Return whether calls to the home currently fail immediately."""
        return trio.current_time() < self._open_until_s.get(home.vm, 0.0)

    async def call(self, home: VmState, message: Message, time_limit_s: float) -> Message | None:
        """Return a home's reply; ``None`` when none arrived, even if the home handled the call."""
        if self.is_circuit_open(home):
            return None
        async with time_limit(trio.current_time() + time_limit_s) as limit:
            try:
                link = await self._peers.link_to(home.vm, home.peer_address)
                await limit.require_time()
                return await link.call(message)
            except (LinkRefused, LinkCut, StreamEnded, TooManyStreams):
                pass
        self._open_circuit(home.vm)
        return None

    def _open_circuit(self, vm: str) -> None:
        now_s = trio.current_time()
        # VMs are replaced frequently, so expired items are removed here to bound the dictionary.
        self._open_until_s = {
            name: until_s for name, until_s in self._open_until_s.items() if until_s > now_s
        }
        self._open_until_s[vm] = now_s + CIRCUIT_OPEN_S
