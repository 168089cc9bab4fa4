"""Questions to the home of a key, which may be gone, frozen or swamped."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.wire.link import LinkCut, LinkRefused, StreamEnded
from sassafrastally.wire.streams import TooManyStreams

if TYPE_CHECKING:
    from sassafrastally.stores.interfaces import VmState
    from sassafrastally.wire.link import Peers
    from sassafrastally.wire.messages import Message

CIRCUIT_OPEN_S = 1.0
"""How long a home that gave no answer isn't asked again."""


class HomeClient:
    """Asks homes, and leaves a home that gave no answer alone for a while.

    Without that pause each request would wait a whole time limit for a frozen home.

    Parameters
    ----------
    peers
        The links of the process.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._open_until_s: dict[str, float] = {}

    def is_circuit_open(self, home: VmState) -> bool:
        """Whether the home isn't asked at the moment."""
        return trio.current_time() < self._open_until_s.get(home.vm, 0.0)

    async def call(self, home: VmState, message: Message, time_limit_s: float) -> Message | None:
        """Return a home's answer; ``None`` when there is none, whatever became of the question."""
        if self.is_circuit_open(home):
            return None
        with trio.move_on_after(time_limit_s):
            try:
                link = await self._peers.link_to(home.vm, home.peer_address)
                return await link.call(message)
            except (LinkRefused, LinkCut, StreamEnded, TooManyStreams):
                pass
        self._open_circuit(home.vm)
        return None

    def _open_circuit(self, vm: str) -> None:
        now_s = trio.current_time()
        # VMs are replaced all the time: entries of the past are dropped on the way.
        self._open_until_s = {
            name: until_s for name, until_s in self._open_until_s.items() if until_s > now_s
        }
        self._open_until_s[vm] = now_s + CIRCUIT_OPEN_S
