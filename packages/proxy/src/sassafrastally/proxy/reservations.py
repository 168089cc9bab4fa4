"""Reserves memory on engines for parts of a prompt that no single engine can hold.

All engines are asked concurrently, and each accepts or rejects at once without queueing. Otherwise
two prompts could each hold half of the memory that they need and wait for each other (deadlock).
Reservations are short leases, renewed while the prompt is in use. If the process dies, the response
to a call is lost, a call takes effect seconds late or a release doesn't arrive, the memory is freed
when the lease expires.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from itertools import count
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core import Address
from sassafrastally.proxy.attempt import AttemptNotRun
from sassafrastally.proxy.backpressure import CallKind
from sassafrastally.proxy.calls import CallClient, CallResponse, ResponseBounds
from sassafrastally.proxy.containment import Containment
from sassafrastally.proxy.log_events import ReservationFailed, ReservationReleased
from sassafrastally.proxy.model import ReservationOutcome
from sassafrastally.proxy.store import AnswerLost

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable, Mapping, Sequence

    from sassafrastally.core import Kernel
    from sassafrastally.proxy.backpressure import Backpressure
    from sassafrastally.proxy.cluster_state import ClusterState
    from sassafrastally.proxy.dialect import Call, Dialect
    from sassafrastally.proxy.model import BackendServer, Helper
    from sassafrastally.proxy.plan import Holding

LEASE_S = 3.5
"""Lease duration. Operators require memory to be free four seconds after its last use, even if the
process that reserved it has died."""

RENEWAL_INTERVAL_S = 1.2
"""Renewal interval; two renewals may be lost before a lease expires."""

LIMITED_RENEWAL_STRIDE = 2
"""Only every second renewal is sent to a server that currently accepts no requests; then no renewal
may be lost."""

CALL_TIMEOUT_S = 0.4
"""Timeout of a reservation call; an engine responds from memory within a few milliseconds."""

RESPONSE_BOUNDS = ResponseBounds(size_bytes=16_384, time_s=1.0)
"""Bounds of a response as a whole: a number, or why the call was rejected."""

MAX_RELEASE_ATTEMPTS = 2
"""Number of attempts to release a reservation before it is left to expire."""


class _Reservation(NamedTuple):
    holding: Holding
    reservation_id: str


class Reservations:
    """Reserves and releases memory on engines.

    Parameters
    ----------
    dialect
        Translates reservation calls.
    kernel
        Clock, random source and log.
    cluster_state
        Tells whether an engine has restarted since the reservation.
    backpressure
        Counts the calls towards the servers' limits.
    nursery
        Runs releases, which outlive the request.
    """

    def __init__(
        self,
        dialect: Dialect,
        kernel: Kernel,
        cluster_state: ClusterState,
        backpressure: Backpressure,
        nursery: trio.Nursery,
    ) -> None:
        self._dialect = dialect
        self._cluster_state = cluster_state
        self._backpressure = backpressure
        self._kernel = kernel
        self._nursery = nursery
        self._calls: dict[Address, CallClient] = {}
        self._containment = Containment(kernel, "reservation")

    @asynccontextmanager
    async def hold(self, holdings: Sequence[Holding]) -> AsyncIterator[Mapping[str, str]]:
        """Hold memory on all of these engines; yield the reservation ID by `incarnation_id`.

        Raises
        ------
        AttemptNotRun
            If an engine has no free memory or doesn't respond.
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
            # Renewals run in the service's nursery: a nursery around the yield would wrap errors of
            # the attempt in an exception group, which no caller expects.
            self._nursery.start_soon(self._containment.run, self._renew, reservations, renewing)
            yield {
                reservation.holding.server.incarnation_id: reservation.reservation_id
                for reservation in reservations
            }
        finally:
            renewing.cancel()
            for reservation in reservations:
                self._nursery.start_soon(self._containment.run, self._release, reservation)

    async def forget_gone(self, known: set[Address]) -> None:
        """Close connections to engines that no longer exist."""
        for address in self._calls.keys() - known:
            await self._calls.pop(address).close()

    async def close_idle(self, addresses: Iterable[Address]) -> None:
        """Close the idle connections to engines; those that are held renew on new ones."""
        for address in addresses:
            if (client := self._calls.get(address)) is not None:
                await client.close()

    async def _reserve_all(self, reservations: Sequence[_Reservation]) -> None:
        outcomes: list[ReservationOutcome] = []

        async def reserve(reservation: _Reservation) -> None:
            server = reservation.holding.server
            if self._backpressure.is_cold(server.incarnation_id) and not (
                self._backpressure.is_open(server)
            ):
                outcomes.append(ReservationOutcome.UNKNOWN)  # Nothing may be sent to it now.
                return
            outcomes.append(await self._reserve(reservation))

        async with trio.open_nursery() as nursery:
            for reservation in reservations:
                nursery.start_soon(reserve, reservation)
        if any(outcome is not ReservationOutcome.HELD for outcome in outcomes):
            failure = AttemptNotRun("memory could not be reserved on all required engines")
            failure.counts_against_server = False
            raise failure

    async def _reserve(self, reservation: _Reservation) -> ReservationOutcome:
        holding, reservation_id = reservation
        call = self._dialect.make_reserve_call(
            holding.server, reservation_id, holding.tokens, LEASE_S
        )
        try:
            status, _, body = await self._send(holding.server, call)
            outcome = self._dialect.decode_reservation(status, body)
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
            for renewal_round in count():
                await trio.sleep(RENEWAL_INTERVAL_S)
                async with trio.open_nursery() as nursery:
                    for reservation in reservations:
                        # A restarted engine has lost the reservation. A renewal would reserve
                        # memory there that no request will ever use.
                        server = reservation.holding.server
                        is_due = (
                            renewal_round % LIMITED_RENEWAL_STRIDE == 1
                            or self._backpressure.is_open(server)
                        )
                        if is_due and self._cluster_state.servers.is_current(server):
                            nursery.start_soon(self._reserve, reservation)

    async def _release(self, reservation: _Reservation) -> None:
        holding, reservation_id = reservation
        if not self._backpressure.is_open(holding.server):
            return  # The server accepts no requests now; the lease expires.
        call = self._dialect.make_release_call(holding.server, reservation_id)
        status = 0
        for _ in range(MAX_RELEASE_ATTEMPTS):
            try:
                status = (await self._send(holding.server, call)).status
                break
            except AnswerLost:
                # The lease expires even if the release never arrives.
                continue
        self._kernel.events.emit(
            ReservationReleased(reservation_id, holding.server.server_id, status)
        )

    async def _send(self, server: BackendServer, call: Call) -> CallResponse:
        self._backpressure.count_request(server, CallKind.ORDER)
        client = self._calls.setdefault(server.address, CallClient(server.address))
        return await client.exchange(
            call.method, call.target, call.headers, call.body, CALL_TIMEOUT_S, RESPONSE_BOUNDS
        )


def with_reservations(
    helpers: tuple[Helper, ...], reserved: Mapping[str, str]
) -> tuple[Helper, ...]:
    """Return the helpers, those with reserved memory first: memory is filled in this order."""
    named = [
        helper._replace(reservation_id=reserved.get(helper.server.incarnation_id))
        for helper in helpers
    ]
    return tuple(sorted(named, key=lambda helper: helper.reservation_id is None))
