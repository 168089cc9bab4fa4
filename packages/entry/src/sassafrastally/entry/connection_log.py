"""Log and count of connections that an HTTP server can't accept or closes for others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.core import LogRate
from sassafrastally.entry.events import (
    CONNECTIONS_CLOSED,
    ConnectionsGaveWay,
    ConnectionsUnaccepted,
)

if TYPE_CHECKING:
    from sassafrastally.core import Kernel


class ConnectionLog:
    """Counts what happens to the connections of one server, and logs it at a bounded rate.

    Parameters
    ----------
    kernel
        Clock and log.
    interface
        Name of the server in events.
    """

    def __init__(self, kernel: Kernel, interface: str) -> None:
        self._kernel = kernel
        self._interface = interface
        self._rate = LogRate()

    def record_shortage(self, cause: str) -> None:
        """Record that connections can't be accepted."""
        if occasions := self._rate.count("shortage", self._kernel.clock.now_s()):
            self._kernel.events.emit(ConnectionsUnaccepted(self._interface, cause, occasions))

    def record_gave_way(self, is_new: bool) -> None:
        """Record that a connection without a request was closed for another one."""
        use = "new" if is_new else "kept"
        CONNECTIONS_CLOSED.add(1, {"interface": self._interface, "use": use})
        if connections := self._rate.count(use, self._kernel.clock.now_s()):
            self._kernel.events.emit(ConnectionsGaveWay(self._interface, use, connections))
