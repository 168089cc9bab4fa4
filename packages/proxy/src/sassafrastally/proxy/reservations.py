"""Memory reserved at engines for parts of a prompt that no single engine can hold.

All engines are asked at once and never with waiting: each says yes or no on the spot, so that two
prompts can't each hold half of what they need and wait for the other. Leases are short and renewed
while the prompt is in use. Whatever goes wrong (a process that dies, an order whose answer is lost
or that is carried out seconds later, a release that doesn't arrive), the memory is free again when
the lease ends.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from itertools import count
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core import Address
from sassafrastally.proxy.attempt import AttemptNotRun
from sassafrastally.proxy.backpressure import CallKind
from sassafrastally.proxy.calls import CallClient
from sassafrastally.proxy.log_events import ReservationFailed, ReservationReleased
from sassafrastally.proxy.model import ReservationOutcome
from sassafrastally.proxy.store import AnswerLost

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping, Sequence

    from sassafrastally.core import Kernel
    from sassafrastally.proxy.backpressure import Backpressure
    from sassafrastally.proxy.beliefs import Beliefs
    from sassafrastally.proxy.dialect import Call, Dialect
    from sassafrastally.proxy.model import BackendServer
    from sassafrastally.proxy.plan import Holding

LEASE_S = 3.5
"""Operators want memory free four seconds after its last use, also when the process that reserved
it has died."""

RENEW_S = 1.2
"""Two renewals may be lost before a lease ends."""

SPARING_TURNS = 2
"""A server that wants no requests has each second renewal only; none may then be lost."""

ORDER_TIME_S = 0.4
"""Time for an order; an engine answers from memory within some milliseconds."""

RELEASE_TRIES = 2
"""Releases that are sent before the end of the lease is left to do it."""


class _Reservation(NamedTuple):
    holding: Holding
    reservation_id: str


class Reservations:
    """Reserves and releases memory.

    Parameters
    ----------
    dialect
        Translator of orders.
    kernel
        Clock, random source and log.
    beliefs
        Tells whether an engine has started again since.
    backpressure
        Counts the orders.
    nursery
        Where releases go on after the request has ended.
    """

    def __init__(
        self,
        dialect: Dialect,
        kernel: Kernel,
        beliefs: Beliefs,
        backpressure: Backpressure,
        nursery: trio.Nursery,
    ) -> None:
        self._dialect = dialect
        self._beliefs = beliefs
        self._backpressure = backpressure
        self._kernel = kernel
        self._nursery = nursery
        self._calls: dict[Address, CallClient] = {}

    @asynccontextmanager
    async def hold(self, holdings: Sequence[Holding]) -> AsyncIterator[Mapping[str, str]]:
        """Hold memory at all of these engines; give the reservation's id by server id.

        Raises
        ------
        AttemptNotRun
            When one of them has no room or doesn't answer.
        """
        if not holdings:
            yield {}
            return
        reservations = [
            _Reservation(holding, f"{self._kernel.random.getrandbits(64):016x}")
            for holding in holdings
        ]
        renewing = trio.CancelScope()
        try:
            await self._reserve_all(reservations)
            # Renewed by a task of the service and not of a nursery around the yield: that one would
            # wrap the errors of the attempt, which nobody expects in a group.
            self._nursery.start_soon(self._renew, reservations, renewing)
            yield {
                reservation.holding.server.life_id: reservation.reservation_id
                for reservation in reservations
            }
        finally:
            renewing.cancel()
            for reservation in reservations:
                self._nursery.start_soon(self._release, reservation)

    async def forget_gone(self, known: set[Address]) -> None:
        """Close the connections for orders to engines that no longer exist."""
        for address in self._calls.keys() - known:
            await self._calls.pop(address).close()

    async def _reserve_all(self, reservations: Sequence[_Reservation]) -> None:
        outcomes: list[ReservationOutcome] = []

        async def reserve(reservation: _Reservation) -> None:
            outcomes.append(await self._reserve(reservation))

        async with trio.open_nursery() as nursery:
            for reservation in reservations:
                nursery.start_soon(reserve, reservation)
        if any(outcome is not ReservationOutcome.HELD for outcome in outcomes):
            failure = AttemptNotRun("memory could not be reserved at all engines")
            failure.is_servers_fault = False
            raise failure

    async def _reserve(self, reservation: _Reservation) -> ReservationOutcome:
        holding, reservation_id = reservation
        call = self._dialect.reserve_call(holding.server, reservation_id, holding.tokens, LEASE_S)
        try:
            status, body = await self._send(holding.server, call)
            outcome = self._dialect.read_reservation(status, body)
        except AnswerLost:
            outcome = ReservationOutcome.UNKNOWN
        if outcome is not ReservationOutcome.HELD:
            self._kernel.events.emit(
                ReservationFailed(
                    reservation_id, holding.server.server_id, holding.tokens, outcome.value
                )
            )
        return outcome

    async def _renew(
        self, reservations: Sequence[_Reservation], renewing: trio.CancelScope
    ) -> None:
        with renewing:
            for turn in count():
                await trio.sleep(RENEW_S)
                async with trio.open_nursery() as nursery:
                    for reservation in reservations:
                        # An engine that has started again knows nothing of the reservation. Renewed
                        # there, it would set aside memory that no request will ever use.
                        server = reservation.holding.server
                        is_due = turn % SPARING_TURNS == 1 or self._backpressure.is_open(server)
                        if is_due and self._beliefs.is_current(server):
                            nursery.start_soon(self._reserve, reservation)

    async def _release(self, reservation: _Reservation) -> None:
        holding, reservation_id = reservation
        if not self._backpressure.is_open(holding.server):
            return  # It wants no request; the lease ends by itself.
        call = self._dialect.release_call(holding.server, reservation_id)
        status = 0
        for _ in range(RELEASE_TRIES):
            try:
                status, _body = await self._send(holding.server, call)
                break
            except AnswerLost:
                # The lease ends by itself if the release never arrives.
                continue
        self._kernel.events.emit(
            ReservationReleased(reservation_id, holding.server.server_id, status)
        )

    async def _send(self, server: BackendServer, call: Call) -> tuple[int, bytes]:
        self._backpressure.count_request(server, CallKind.ORDER)
        client = self._calls.setdefault(server.address, CallClient(server.address))
        return await client.exchange(
            call.method, call.target, call.headers, call.body, ORDER_TIME_S
        )
