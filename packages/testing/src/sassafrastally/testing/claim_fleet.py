"""Entries that claim idempotency keys over one KV service, for tests on the mock clock."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, NamedTuple, TypeVar

import trio

from sassafrastally.core import Incarnation, RequestId
from sassafrastally.serving.claim_layout import ClaimSettings
from sassafrastally.serving.claims import ClaimResult, ClaimService, Placement
from sassafrastally.serving.refusals import Refusal
from sassafrastally.serving.rendezvous import home_of
from sassafrastally.stores import KvWrite
from sassafrastally.testing.entry_fleet import EntryFleet
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvFaults, KvModel

if TYPE_CHECKING:
    from collections.abc import Awaitable, Iterable

T = TypeVar("T")

NAMES = ("entry-1", "entry-2", "entry-3")
DEFAULTS = ClaimSettings()
KEY = "booking-77"
BODY = b"body"
FAULTS = {
    "lose": KvFaults(lose_answers=2),
    "drop": KvFaults(drop_writes=2),
    "down": KvFaults(down=True),
    "slow": KvFaults(delay_s=1.0),
}


class HistoryAsk(NamedTuple):
    """One claim or replacement of a history."""

    entry: str
    key: str
    new: Placement
    old: Placement | None
    """Placement to be replaced; ``None`` for a claim."""
    delay_s: float


class Answer(NamedTuple):
    """What came of a `HistoryAsk`."""

    ask: HistoryAsk
    result: ClaimResult | None
    """``None`` when it was refused."""


def placement(number: int) -> Placement:
    """Return the placement of a number."""
    return Placement(
        f"sidecar-{number % 5}", Incarnation("ab" * 16), RequestId(f"{number:032x}"), 1
    )


class ClaimFleet:
    """Entries with their claim services over one KV service.

    Parameters
    ----------
    nursery
        Runs the entries.
    settings
        Settings of the entries that are started.
    """

    def __init__(self, nursery: trio.Nursery, settings: ClaimSettings = DEFAULTS) -> None:
        self.model = KvModel(Random(1))
        self.fleet = EntryFleet(nursery)
        self.settings = settings
        self.services: dict[str, ClaimService] = {}

    async def start(self, *names: str) -> ClaimFleet:
        """Start entries, each with a view of them alone; those of `NAMES` by default."""
        for name in names or NAMES:
            self.services[name] = ClaimService(self.settings)
            await self.fleet.start(name, names or NAMES, [self.services[name]], FakeKv(self.model))
        return self

    async def claim(
        self,
        entry: str,
        number: int,
        key: str = KEY,
        body: bytes = BODY,
        time_limit_s: float = 5.0,
    ) -> ClaimResult:
        """Claim a key through an entry for a placement of a number."""
        return await self.services[entry].claim("yeso", key, body, placement(number), time_limit_s)

    async def replace(self, entry: str, old: int, new: int) -> ClaimResult:
        """Replace the placement of a number by another."""
        return await self.services[entry].replace(
            "yeso", KEY, placement(old), placement(new), BODY, 5.0
        )

    async def lookup(self, entry: str) -> ClaimResult:
        """Look the key up."""
        return await self.services[entry].lookup("yeso", KEY, BODY)

    async def ask(self, ask: HistoryAsk) -> Answer:
        """Claim or replace as a history says."""
        await trio.sleep(ask.delay_s)
        service, result = self.services[ask.entry], None
        try:
            if ask.old is None:
                result = await service.claim("yeso", ask.key, BODY, ask.new, 3.0)
            else:
                result = await service.replace("yeso", ask.key, ask.old, ask.new, BODY, 3.0)
        except Refusal:
            pass  # Kept as an answer that leaves open what became of the claim.
        return Answer(ask, result)

    async def together(self, calls: Iterable[Awaitable[T]]) -> list[T]:
        """Run calls at the same moment and return their results as they come."""
        results: list[T] = []

        async def run(call: Awaitable[T]) -> None:
            results.append(await call)

        async with trio.open_nursery() as nursery:
            for call in calls:
                nursery.start_soon(run, call)
        return results

    def home_of_key(self) -> str:
        """Return the home of the key's shard; the layout must be known."""
        layout = self.services["entry-1"].layout
        assert layout is not None
        shard = layout.shard_of(layout.key_hash("yeso", KEY))
        home = home_of(f"claims/{shard}", self.fleet.entries["entry-1"].membership)
        assert home is not None
        return home.vm

    def stranger_to_key(self) -> str:
        """Return an entry that isn't the home of the key's shard."""
        return next(name for name in NAMES if name != self.home_of_key())

    def break_heads(self) -> None:
        """Overwrite all values of the shards."""
        for entry in self.model.range_prefix("claims/0"):
            self.model.transact([KvWrite(entry.key, b"h1 by hand", -1)])

    def delete_segments(self) -> None:
        """Delete the segments of the first shard."""
        for entry in self.model.range_prefix("claims/0000/segment/"):
            self.model.transact([KvWrite(entry.key, None, -1)])

    def apply(self, fault: str) -> None:
        """Switch on one fault by name, and all others off."""
        self.model.set_faults(FAULTS.get(fault, KvFaults()))
        self.fleet.cuts = {frozenset(NAMES[:2]), frozenset(NAMES[1:])} if fault == "cut" else set()
        self.fleet.lose_answers = 2 if fault == "late" else 0
        for name in NAMES:
            self.view(name, *([name] if fault == "views" else NAMES))

    def view(self, entry: str, *names: str) -> None:
        """Let an entry believe that these entries live."""
        self.fleet.entries[entry].membership.names = list(names)
