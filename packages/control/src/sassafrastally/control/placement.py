"""Placement: which engine serves which model, version, adapter and role.

One holder computes it, writes it to the KV service and sends orders to the sidecars. In an outage
of the KV service there is no holder: placement stands still and serving goes on.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, Any, ClassVar, cast

import trio

from sassafrastally.control.canonical import BadEncoding
from sassafrastally.control.lease_holder import LeaseHolder, TenureOver
from sassafrastally.control.placement_events import (
    PlacementHolderBegan,
    PlacementHolderEnded,
    PlacementRecorded,
    PlacementUnreadable,
)
from sassafrastally.control.placement_fleet import EngineFleet
from sassafrastally.control.placement_orders import OrderSender, OrderTimes
from sassafrastally.control.placement_plan import next_lines
from sassafrastally.control.placement_record import KEYS, read_lines, write_lines
from sassafrastally.control.placement_settings import PlacementSettings
from sassafrastally.control.placement_work import PlacementWork
from sassafrastally.core import CodedError, Service
from sassafrastally.core.kv import KvUnavailable, LeaseLost, MaybeApplied
from sassafrastally.stores.service import PlatformService

if TYPE_CHECKING:
    from sassafrastally.control.bundle import Model
    from sassafrastally.control.interfaces import BundleSource, Membership
    from sassafrastally.control.lease_holder import Tenure
    from sassafrastally.control.placement_plan import EngineLine, EngineView
    from sassafrastally.wire.link import Peers

ENTRY_ROLE = "entry"
RANK_BYTES = 8


class PlacementService(Service):
    """Takes part in choosing the holder and does its work while this process is it.

    Parameters
    ----------
    settings
        Times and bounds.
    """

    name: ClassVar[str] = "placement"
    needs: ClassVar[tuple[str, ...]] = ("platform", "membership", "bundle", "peers")

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._tenure: Tenure | None = None
        self._lines: dict[str, EngineLine] = {}
        self._models: tuple[Model, ...] = ()
        self._settled: tuple[int, list[EngineView]] | None = None
        """Generation and engines for which the lines were found to stand."""

    @property
    def fence(self) -> int:
        """Fencing number under which this process holds placement; 0 when it doesn't."""
        return self._tenure.fence if self._tenure else 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Begin to look for a holder."""
        kernel = self.kernel
        platform = kernel.get("platform", PlatformService)
        self._kv = platform.kv
        self._weight_store = platform.weight_store
        self._membership = cast("Membership", kernel.get("membership", Service))
        self._bundle = cast("BundleSource", kernel.get("bundle", Service))
        self._peers = cast("Peers", kernel.get("peers", Service))
        self._holder = LeaseHolder(kernel, self._kv, KEYS, self._settings.lease_s)
        nursery.start_soon(self._run)

    async def stop(self) -> None:
        """Give the lease back."""
        if self._tenure is not None:
            await self._tenure.resign()

    def status(self) -> dict[str, Any]:
        """Return figures for the operators."""
        return {"fence": self.fence, "lines": len(self._lines) if self._tenure else 0}

    async def _run(self) -> None:
        while True:
            jitter = self.kernel.random.uniform(0.5, 1.5)
            await trio.sleep(self._settings.attempt_s * jitter)
            if not self._is_candidate() or self.kernel.stopping.is_set():
                continue
            try:
                tenure = await self._holder.acquire()
            except (KvUnavailable, MaybeApplied, LeaseLost, TenureOver):
                continue
            except BadEncoding as cause:
                self.kernel.events.emit(PlacementUnreadable(cause.detail))
                continue
            if tenure is not None:
                await self._hold(tenure)

    def _is_candidate(self) -> bool:
        """Return whether this entry is among the few that look for a holder's lease.

        It saves calls and decides nothing: entries that differ on who is listed may all try.
        """
        names = [
            state.vm
            for state in self._membership.vms(ENTRY_ROLE)
            if not self._membership.is_leaving(state.vm)
        ]
        names.sort(key=lambda vm: blake2b(vm.encode(), digest_size=RANK_BYTES).digest())
        return self.kernel.vm in names[: self._settings.candidates]

    async def _hold(self, tenure: Tenure) -> None:
        self._tenure = tenure
        self.kernel.events.emit(PlacementHolderBegan(tenure.fence))
        reason = "the KV service doesn't answer"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(tenure.keep)
                nursery.start_soon(self._place, tenure)
        except* TenureOver as over:
            reason = _first(over)
        except* (KvUnavailable, MaybeApplied):
            pass  # What was written isn't known for sure: the next tenure reads it again.
        except* BadEncoding as cause:
            self.kernel.events.emit(PlacementUnreadable(_first(cause)))
        finally:
            self._tenure = None
        self.kernel.events.emit(PlacementHolderEnded(tenure.fence, reason))
        await tenure.resign()

    async def _place(self, tenure: Tenure) -> None:
        """Look again and again at what the engines run and what they are to run."""
        settings = self._settings
        self._lines, self._settled = await read_lines(self._kv), None
        times = OrderTimes(settings.question_time_limit_s, settings.order_time_limit_s)
        sender = OrderSender(self._peers, tenure, times)
        fleet = EngineFleet(self._membership, sender, settings.absent_s)
        async with trio.open_nursery() as nursery:
            work = PlacementWork(self.kernel, fleet, sender, self._weight_store, settings)
            while True:
                await fleet.ask_next(settings.questions_per_round)
                await self._update_record(tenure, fleet)
                work.adopt(self._models, self._lines)
                for vm in work.due():
                    nursery.start_soon(work.advance, vm)
                await trio.sleep(settings.round_s)
                tenure.check()

    async def _update_record(self, tenure: Tenure, fleet: EngineFleet) -> None:
        """Write the next lines; a bundle without models says nothing about placement."""
        in_force = self._bundle.in_force
        if in_force is None or not in_force.bundle.models:
            return
        self._models = in_force.bundle.models
        engines = fleet.engines(self._lines)
        if (in_force.generation, engines) == self._settled:
            return
        after = next_lines(self._models, engines, self._lines, self._settings.wave_share)
        changed = sum(
            1 for vm in after.keys() | self._lines.keys() if after.get(vm) != self._lines.get(vm)
        )
        if not changed:
            self._settled = (in_force.generation, engines)
            return
        self._settled = None
        tenure.check()
        await write_lines(tenure, self._lines, after)
        self._lines = after
        self.kernel.events.emit(PlacementRecorded(tenure.fence, in_force.generation, changed))


def _first(group: BaseExceptionGroup[CodedError]) -> str:
    """Return the detail of the first error of a group."""
    first: BaseException = group
    while isinstance(first, BaseExceptionGroup):
        first = first.exceptions[0]
    assert isinstance(first, CodedError)
    return first.detail
