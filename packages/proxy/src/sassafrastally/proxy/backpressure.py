"""What backend servers ask of their callers: fewer requests, a pause, none any more."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, ClassVar

from sassafrastally.core import Service
from sassafrastally.proxy.log_events import (
    ServerCoolingDown,
    ServerLeaving,
    ServerLimited,
    ServerLimitEnded,
)
from sassafrastally.proxy.metrics import SERVER_CALLS
from sassafrastally.proxy.model import NOTHING_ASKED
from sassafrastally.proxy.peers import Peers

if TYPE_CHECKING:
    from sassafrastally.proxy.model import BackendServer, ServerAsks

REMEMBERED_S = 4.0
"""How long requests that were sent are remembered, as a server that names a limit counts them."""


class CallKind(Enum):
    """What a request to a backend server is for."""

    ATTEMPT = "attempt"
    REPORT = "report"
    ORDER = "order"


class Backpressure(Service):
    """Takes what backend servers ask in their answers."""

    name: ClassVar[str] = "backpressure"
    needs: ClassVar[tuple[str, ...]] = ("peers",)

    def __init__(self) -> None:
        self._asked: dict[str, ServerAsks] = {}
        self._sent: dict[str, deque[float]] = {}

    async def start(self, nursery: object) -> None:
        """Find the service that counts the entries."""
        self._peers = self.kernel.get("peers", Peers)

    def count(self, server: BackendServer, kind: CallKind) -> None:
        """Count a request that is about to be sent."""
        SERVER_CALLS.add(1, {"kind": kind.value})
        self._sent_lately(server).append(self.kernel.clock.now_s())

    def note_answer(self, server: BackendServer, asks: ServerAsks) -> None:
        """Note what a server asks in an answer."""
        known = self._asked.get(server.life_id, NOTHING_ASKED)
        self._asked[server.life_id] = asks
        emit = self.kernel.events.emit
        if asks.most_per_s is not None and asks.most_per_s != known.most_per_s:
            sent, entries = len(self._sent_lately(server)), self._peers.live_count() + 1
            emit(ServerLimited(server.server_id, asks.most_per_s, sent, entries))
        elif asks.most_per_s is None and known.most_per_s is not None:
            emit(ServerLimitEnded(server.server_id))
        if asks.is_leaving and not known.is_leaving:
            emit(ServerLeaving(server.server_id))
        if asks.cool_down_s is not None:
            emit(ServerCoolingDown(server.server_id, asks.cool_down_s))

    def _sent_lately(self, server: BackendServer) -> deque[float]:
        sent = self._sent.setdefault(server.life_id, deque())
        while sent and sent[0] <= self.kernel.clock.now_s() - REMEMBERED_S:
            sent.popleft()
        return sent
