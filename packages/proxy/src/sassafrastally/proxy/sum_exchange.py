"""Sending and forwarding of data centres' sums; `relays` decides who gets them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import trio

from sassafrastally.proxy.load_exchange import (
    FULL_DATAGRAM_INTERVAL_S,
    MAX_SEND_INTERVAL_S,
    MIN_SEND_INTERVAL_S,
)
from sassafrastally.proxy.log_events import CentreHeard, CentreSilent, SumRouteChanged
from sassafrastally.proxy.metrics import SUMS_FORWARDED
from sassafrastally.proxy.peer_messages import encode_forwarded, encode_hello

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from sassafrastally.core import Kernel
    from sassafrastally.proxy.peer_messages import Hello
    from sassafrastally.proxy.peer_table import PeerTable
    from sassafrastally.proxy.relays import SumRoute


class SumSource(Protocol):
    """Composes the sum of the own data centre."""

    def __call__(self, *, is_full: bool) -> Hello:
        """Return the sum, with the addresses of its entries if it is full."""
        ...


class SumExchange:
    """Sends the sum of the own data centre while this entry is its relay, and forwards others'.

    Parameters
    ----------
    kernel
        Clock and log.
    table
        The other entries and data centres.
    compose
        Composes the sum to send.
    send
        Sends a datagram to hosts.
    """

    def __init__(
        self,
        kernel: Kernel,
        table: PeerTable,
        compose: SumSource,
        send: Callable[[Iterable[str], bytes], Awaitable[None]],
    ) -> None:
        self._kernel = kernel
        self._table = table
        self._compose = compose
        self._send = send
        self._changed = trio.Event()
        self._known_centres: set[str] = set()
        self._known_relays: tuple[str, ...] = ()

    def send_now(self) -> None:
        """Send the next sum without waiting for the next interval."""
        self._changed.set()

    async def run(self) -> None:
        """Send the data centre's sum to other data centres while this entry is its relay."""
        listed_s = float("-inf")
        while True:
            now_s = self._kernel.clock.now_s()
            route = self._table.receivers(now_s).sums
            if route.direct or route.forwarding:
                is_full = now_s - listed_s >= FULL_DATAGRAM_INTERVAL_S
                if is_full:
                    listed_s = now_s
                message = self._compose(is_full=is_full)
                # Composing and encoding take some milliseconds each for hundreds of entries.
                await trio.lowlevel.checkpoint()
                if route.direct:
                    await self._send(route.direct, encode_hello(message))
                if route.forwarding:
                    to_forward = message._replace(is_to_forward=True)
                    await self._send(route.forwarding, encode_hello(to_forward))
            self._log_route(route)
            self._log_data_centres()
            await trio.sleep(MIN_SEND_INTERVAL_S)
            with trio.move_on_after(MAX_SEND_INTERVAL_S - MIN_SEND_INTERVAL_S):
                await self._changed.wait()
            self._changed = trio.Event()

    async def forward(self, data: bytes) -> None:
        """Forward a sum of another data centre to the entries of the own one."""
        SUMS_FORWARDED.add(1)
        await self._send(self._table.forwarding_receivers(), encode_forwarded(data))

    def _log_route(self, route: SumRoute) -> None:
        """Log a change of the relays through which the own sum is sent."""
        relays = tuple(sorted(route.forwarding))
        if relays != self._known_relays:
            self._known_relays = relays
            self._kernel.events.emit(SumRouteChanged(relays, len(route.direct)))

    def _log_data_centres(self) -> None:
        """Log data centres whose sum starts or stops arriving."""
        sums, known = self._table.sums(self._kernel.clock.now_s()), self._known_centres
        for data_centre in sorted(sums.keys() - known):
            message = sums[data_centre].hello
            self._kernel.events.emit(CentreHeard(data_centre, message.host, message.entries))
        for data_centre in sorted(known - sums.keys()):
            self._kernel.events.emit(CentreSilent(data_centre))
        self._known_centres = set(sums)
