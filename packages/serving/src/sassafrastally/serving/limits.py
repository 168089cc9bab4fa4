"""Customer limits across all entries, without a KV service write in the request path.

One entry is the home of each customer and grants slices of its limits to the other entries, which
request more when a slice does not suffice. An entry that cannot reach the home falls back to an
equal share of the limits.
"""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING, ClassVar, NamedTuple, cast

import trio

from sassafrastally.core import Service, counter, event
from sassafrastally.serving.home_calls import HomeClient
from sassafrastally.serving.refusals import Refusal
from sassafrastally.serving.rendezvous import home_of, live_entries, rendezvous_order
from sassafrastally.serving.slice_use import CustomerUse, Share
from sassafrastally.serving.slice_wire import (
    decode_demands,
    decode_grants,
    encode_demands,
    encode_grants,
)
from sassafrastally.serving.slices import CustomerSlices
from sassafrastally.wire.messages import SliceReply, SliceRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence
    from contextlib import AbstractAsyncContextManager

    from sassafrastally.control.bundle import Customer
    from sassafrastally.control.interfaces import BundleSource, Membership
    from sassafrastally.serving.slices import SliceDemand, SliceGrant
    from sassafrastally.stores.interfaces import VmState
    from sassafrastally.wire.link import Peers, Stream
    from sassafrastally.wire.messages import Message

ASK_TIME_LIMIT_S = 0.25
"""Time limit of a call to a customer's home, after which the entry uses its equal share."""

TICK_S = 1.0
"""Interval at which an entry checks which customers to report to their homes."""

RELAXED_REPORT_INTERVAL_S = 5.0
"""Report interval of customers far below their limits."""

REFUSED = counter(
    "sassafrastally.limits.refused", "requests", "Requests over a customer's limit, by code."
)
ON_SHARE = counter(
    "sassafrastally.limits.on_share", "requests", "Requests judged by the entry's equal share."
)


@event(5111, "warning")
class LimitHomeUnreachable(NamedTuple):
    """A customer's home does not respond; this entry uses its equal share of the limits."""

    customer: str
    home: str


class Admission:
    """One admitted request of a customer."""

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        """Number of tokens that the request was admitted with."""
        self.actual_tokens = tokens

    def settle(self, actual_tokens: int) -> None:
        """Set the number of tokens used; the rest is returned when the request ends."""
        self.actual_tokens = actual_tokens


class LimitService(Service):
    """Admits requests within the limits of their customers."""

    name: ClassVar[str] = "limits"
    needs: ClassVar[tuple[str, ...]] = ("peers", "membership", "bundle")

    def __init__(self) -> None:
        self._uses: dict[str, CustomerUse] = {}
        self._homes: dict[str, CustomerSlices] = {}
        self._home_client: HomeClient

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to serve slice requests of other entries and to report to the homes."""
        self._home_client = HomeClient(self._peers)
        self._peers.on_stream(SliceRequest, self._on_request)
        nursery.start_soon(self._report)

    def admit(self, customer: Customer, tokens: int) -> AbstractAsyncContextManager[Admission]:
        """Return a context manager that admits a request and counts it as open.

        Parameters
        ----------
        customer
            The customer as defined in the bundle in force.
        tokens
            Prompt tokens plus the maximum number of output tokens.

        Raises
        ------
        Refusal
            On entering the context: ``rate-limit`` or ``concurrency-limit``, with the limit, the
            measured value and the retry delay.
        """
        return self._admitted(customer, tokens)

    @asynccontextmanager
    async def _admitted(self, customer: Customer, tokens: int) -> AsyncIterator[Admission]:
        use = self._uses.setdefault(customer.name, CustomerUse(customer))
        use.customer = customer
        use.waiting_requests += 1
        try:
            await self._acquire(use, tokens)
        except Refusal as refusal:
            REFUSED.add(1, {"code": refusal.kind.code})
            raise
        finally:
            use.waiting_requests -= 1
        admission = Admission(tokens)
        opened_s = trio.current_time()
        try:
            yield admission
        finally:
            use.close(tokens, admission.actual_tokens, trio.current_time() - opened_s)

    async def _acquire(self, use: CustomerUse, tokens: int) -> None:
        sent_before = use.demands_sent
        if use.can_admit(tokens, trio.current_time()):
            use.admit(tokens, 0.0)
            return
        # Calls to the home are serialized: if two replies arrived out of order, the older one would
        # revoke what the newer one granted. The next call covers all requests waiting meanwhile.
        async with use.home_lock:
            now_s = trio.current_time()
            was_covered = use.demands_sent > sent_before and use.has_no_room(now_s)
            if was_covered or use.can_admit(tokens, now_s):
                use.admit(tokens, 0.0)
                return
            grant = await self._request_slice(use, tokens)
            if grant is None:
                ON_SHARE.add(1)
                use.admit_on_share(tokens, self._share(use.customer), trio.current_time())
            else:
                use.admit(tokens, grant.retry_after_s)

    async def _request_slice(self, use: CustomerUse, tokens: int) -> SliceGrant | None:
        home = home_of(_home_key(use.customer.name), self._membership)
        sent_s = trio.current_time()
        demand = use.make_demand(tokens, sent_s)
        grants = await self._call_home(home, [demand]) if home else {}
        grant = grants.get(use.customer.name)
        use.apply_grant(home.vm if home else "", grant, sent_s)
        return grant

    async def _call_home(
        self, home: VmState, demands: Sequence[SliceDemand]
    ) -> dict[str, SliceGrant]:
        """Return the grants of a home by customer; empty when it does not respond."""
        if home.vm == self.kernel.vm:
            return {grant.customer: grant for grant in self._grant(home.vm, demands)}
        was_open = self._home_client.is_circuit_open(home)
        reply = await self._home_client.call(home, encode_demands(demands), ASK_TIME_LIMIT_S)
        if isinstance(reply, SliceReply):
            return {grant.customer: grant for grant in decode_grants(reply)}
        if not was_open:
            self.kernel.events.emit(LimitHomeUnreachable(demands[0].customer, home.vm))
        return {}

    def _share(self, customer: Customer) -> Share:
        order = rendezvous_order(_home_key(customer.name), live_entries(self._membership))
        names = [state.vm for state in order]
        count = max(len(names), 1)
        rank = names.index(self.kernel.vm) if self.kernel.vm in names else count
        rest = customer.max_concurrent % count
        return Share(customer.max_concurrent // count + (1 if rank < rest else 0), 1 / count)

    def _grant(self, entry: str, demands: Sequence[SliceDemand]) -> list[SliceGrant]:
        """Grant slices as a home; customers missing from the local bundle in force are omitted."""
        in_force = self._bundle.in_force
        known = {item.name: item for item in in_force.bundle.customers} if in_force else {}
        now_s = trio.current_time()
        grants = []
        for demand in demands:
            if (customer := known.get(demand.customer)) is None:
                continue
            slices = self._homes.setdefault(customer.name, CustomerSlices(customer, now_s))
            slices.update(customer, now_s)
            grants.append(slices.grant(entry, demand, now_s))
        return grants

    async def _on_request(self, stream: Stream, message: Message) -> None:
        if isinstance(message, SliceRequest):
            await stream.send(encode_grants(self._grant(stream.peer.vm, decode_demands(message))))

    async def _report(self) -> None:
        while True:
            await trio.sleep(TICK_S)
            now_s = trio.current_time()
            await self._report_due(now_s)
            self._drop_idle(now_s)

    async def _report_due(self, now_s: float) -> None:
        """Report the customers that are due, with one message per home."""
        due: dict[VmState, list[CustomerUse]] = {}
        for use in self._uses.values():
            home = home_of(_home_key(use.customer.name), self._membership)
            if home is not None and not use.is_idle(now_s) and self._is_due(use, home, now_s):
                due.setdefault(home, []).append(use)
        async with trio.open_nursery() as nursery:
            for home, uses in due.items():
                nursery.start_soon(self._report_to, home, uses, now_s)

    async def _report_to(self, home: VmState, uses: Sequence[CustomerUse], now_s: float) -> None:
        async with AsyncExitStack() as stack:
            for use in uses:
                await stack.enter_async_context(use.home_lock)
            demands = [use.make_demand(0, now_s) for use in uses]
            grants = await self._call_home(home, demands)
            for use in uses:
                use.apply_grant(home.vm, grants.get(use.customer.name), now_s)

    def _is_due(self, use: CustomerUse, home: VmState, now_s: float) -> bool:
        # A new home learns the slices granted by the old one only from reports: report immediately.
        is_near_limit = 2 * use.held_requests > use.customer.max_concurrent > 0
        interval_s = TICK_S if is_near_limit else RELAXED_REPORT_INTERVAL_S
        return home.vm != use.home or now_s - use.last_demand_s >= interval_s

    def _drop_idle(self, now_s: float) -> None:
        self._uses = {name: use for name, use in self._uses.items() if not use.is_idle(now_s)}
        self._homes = {
            name: slices for name, slices in self._homes.items() if not slices.is_idle(now_s)
        }

    @property
    def _peers(self) -> Peers:
        return cast("Peers", self.kernel.get("peers", Service))

    @property
    def _membership(self) -> Membership:
        return cast("Membership", self.kernel.get("membership", Service))

    @property
    def _bundle(self) -> BundleSource:
        return cast("BundleSource", self.kernel.get("bundle", Service))


def _home_key(customer: str) -> str:
    return f"limits/{customer}"
