"""Reads the datagrams of peers, so that what is read is the latest that has arrived."""

from __future__ import annotations

from contextlib import closing
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import LogRate
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.latest_datagrams import select_latest
from sassafrastally.proxy.log_events import DatagramsDelayed
from sassafrastally.proxy.metrics import DATAGRAMS_SUPERSEDED
from sassafrastally.proxy.peer_messages import decode_header

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sassafrastally.core import Kernel
    from sassafrastally.proxy.datagram_port import DatagramPort

STEP_DATAGRAMS = 8
"""Number of datagrams that are applied in one step, which takes some milliseconds."""


class DatagramReader:
    """Passes on what has arrived at a port, without the states that later ones replace.

    Parameters
    ----------
    kernel
        Clock and log.
    port
        The port; closed at the end.
    apply
        Applies a datagram.
    peer_count
        Returns the number of live peers.
    """

    def __init__(
        self,
        kernel: Kernel,
        port: DatagramPort,
        apply: Callable[[bytes], Awaitable[None]],
        peer_count: Callable[[], int],
    ) -> None:
        self._kernel = kernel
        self._port = port
        self._apply = apply
        self._peer_count = peer_count
        self._containment = Containment(kernel, "datagram of a peer")
        self._log_rate = LogRate()

    async def run(self) -> None:
        """Read datagrams until cancelled."""
        # Closed together with this task: the garbage collector would keep the port in use longer.
        with closing(self._port):
            await self._containment.repeat(self._read_waiting)

    async def _read_waiting(self) -> None:
        for number, data in enumerate(self._select(await self._port.receive()), 1):
            with self._containment:
                await self._apply(data)
            if number % STEP_DATAGRAMS == 0:
                await trio.lowlevel.checkpoint()

    def _select(self, received: list[bytes]) -> list[bytes]:
        """Return the datagrams to apply."""
        if len(received) < 2:
            return received
        latest = select_latest([decode_header(data) for data in received])
        superseded = len(received) - len(latest)
        DATAGRAMS_SUPERSEDED.add(superseded)
        if superseded > self._peer_count():
            self._record_delayed(len(received), superseded)
        return [received[index] for index in latest]

    def _record_delayed(self, received: int, superseded: int) -> None:
        occasions = self._log_rate.count("delayed", self._kernel.clock.now_s())
        if occasions:
            self._kernel.events.emit(DatagramsDelayed(received, superseded, occasions))
