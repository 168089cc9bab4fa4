"""Entries that admit requests of one customer, for tests on the mock clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sassafrastally.control.bundle import Bundle, BundleInForce
from sassafrastally.serving.limits import LimitService
from sassafrastally.serving.refusals import Refusal
from sassafrastally.serving.rendezvous import home_of
from sassafrastally.testing.entry_fleet import EntryFleet

if TYPE_CHECKING:
    from sassafrastally.control.bundle import Customer

NAMES = tuple(f"entry-{number}" for number in range(5))


class LimitFleet:
    """Entries with their limit services, and a count of what they admit together.

    Parameters
    ----------
    nursery
        Runs the entries.
    customer
        The one customer of the bundle.
    """

    def __init__(self, nursery: trio.Nursery, customer: Customer) -> None:
        self.customer = customer
        self.fleet = EntryFleet(nursery)
        self.services: dict[str, LimitService] = {}
        self.open_requests = 0
        self.most_open = 0
        self.admitted_tokens = 0
        self.refused = 0

    async def start(self) -> LimitFleet:
        """Start the entries."""
        bundle = BundleInForce(1, "00" * 32, Bundle("b", (), (self.customer,)))
        for name in NAMES:
            self.services[name] = LimitService()
            await self.fleet.start(name, NAMES, [self.services[name]], bundle=bundle)
        return self

    async def request(
        self, entry: str, duration_s: float, tokens: int = 1, actual_tokens: int | None = None
    ) -> None:
        """Have a request open for a time, or count its refusal."""
        try:
            async with self.services[entry].admit(self.customer, tokens) as admission:
                self.open_requests += 1
                self.most_open = max(self.most_open, self.open_requests)
                self.admitted_tokens += tokens
                await trio.sleep(duration_s)
                self.open_requests -= 1
                if actual_tokens is not None:
                    admission.settle(actual_tokens)
        except Refusal:
            self.refused += 1

    def home(self) -> str:
        """Return the customer's home as the first entry sees it."""
        home = home_of(f"limits/{self.customer.name}", self.fleet.entries[NAMES[0]].membership)
        assert home is not None
        return home.vm

    def remove(self, vm: str, *viewers: str) -> None:
        """Let some entries, or all, believe that one entry is gone and all others live."""
        for viewer in viewers or NAMES:
            membership = self.fleet.entries[viewer].membership
            membership.names = [name for name in NAMES if name != vm]

    def isolate(self, *names: str) -> None:
        """Cut the links between some entries and all others."""
        others = [name for name in NAMES if name not in names]
        self.fleet.cuts = {frozenset((a, b)) for a in names for b in others}
