"""Log and count of connections at an internal port that are closed without a response."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from sassafrastally.core import LogRate
from sassafrastally.proxy.log_events import InternalAcceptFailed, InternalConnectionsClosed
from sassafrastally.proxy.metrics import INTERNAL_CONNECTIONS_CLOSED
from sassafrastally.proxy.open_connections import ConnectionUse

if TYPE_CHECKING:
    from sassafrastally.core import Kernel


class CloseCause(enum.Enum):
    """Why an entry closes a connection at an internal port."""

    ROOM = "too many connections"
    TIME = "time limit"
    INPUT = "invalid input"
    SHORTAGE = "lack of resources"


class InternalConnectionLog:
    """Counts all connections that an entry closes at one port, and logs them at a bounded rate.

    Parameters
    ----------
    kernel
        Clock and log.
    port
        The port.
    """

    def __init__(self, kernel: Kernel, port: int) -> None:
        self._kernel = kernel
        self._port = port
        self._rate = LogRate()

    def record_close(self, use: ConnectionUse, cause: CloseCause) -> None:
        """Record that a connection was closed; one that was idle for too long isn't logged."""
        INTERNAL_CONNECTIONS_CLOSED.add(1, {"use": use.value, "cause": cause.value})
        if use is ConnectionUse.IDLE and cause is CloseCause.TIME:
            return
        if count := self._rate.count((use, cause), self._kernel.clock.now_s()):
            self._kernel.events.emit(
                InternalConnectionsClosed(self._port, use.value, cause.value, count)
            )

    def record_shortage(self, cause: str, open_connections: int) -> None:
        """Record that connections can't be accepted."""
        if count := self._rate.count("shortage", self._kernel.clock.now_s()):
            self._kernel.events.emit(
                InternalAcceptFailed(self._port, cause, open_connections, count)
            )
