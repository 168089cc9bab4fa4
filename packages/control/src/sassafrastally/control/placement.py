"""Placement: assigns models, versions, adapters and roles to engines.

One process, the holder, computes the placement, writes it to the KV service and sends orders to the
sidecars. During an outage of the KV service there is no holder: placement doesn't change, and
serving continues.
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
    """Competes for the placement lease and runs placement while this process holds it.

    Parameters
    ----------
    settings
        Timing and bounds.
    """

    name: ClassVar[str] = "placement"
    needs: ClassVar[tuple[str, ...]] = ("platform", "membership", "bundle", "peers")

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._tenure: Tenure | None = None
        self._lines: dict[str, EngineLine] = {}
        self._models: tuple[Model, ...] = ()
        self._unreadable = ""
        self._unchanged_for: tuple[int, list[EngineView]] | None = None
        """Generation and engines for which the lines were last found to need no change."""

    @property
    def fence(self) -> int:
        """Fencing number under which this process holds placement; 0 if it isn't the holder."""
        return self._tenure.fence if self._tenure else 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Start competing for the lease."""
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
        """Revoke the lease if this process holds it."""
        if self._tenure is not None:
            await self._tenure.resign()

    def status(self) -> dict[str, Any]:
        """Return the placement state that operators see."""
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
                self._report_unreadable(cause.detail)
                continue
            self._unreadable = ""
            if tenure is not None:
                await self._run_tenure(tenure)

    def _report_unreadable(self, detail: str) -> None:
        """Log once that the fence can't be decoded, not at each attempt."""
        if detail != self._unreadable:
            self._unreadable = detail
            self.kernel.events.emit(PlacementUnreadable(detail))

    def _is_candidate(self) -> bool:
        """Return whether this entry is one of the few that compete for the lease.

        This only saves calls: entries with different views of the VM list may all compete safely.
        """
        names = [
            state.vm
            for state in self._membership.vms(ENTRY_ROLE)
            if not self._membership.is_leaving(state.vm)
        ]
        names.sort(key=lambda vm: blake2b(vm.encode(), digest_size=RANK_BYTES).digest())
        return self.kernel.vm in names[: self._settings.candidates]

    async def _run_tenure(self, tenure: Tenure) -> None:
        self._tenure = tenure
        self.kernel.events.emit(PlacementHolderBegan(tenure.fence))
        reason = "the KV service doesn't respond"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(tenure.keep)
                nursery.start_soon(self._run_rounds, tenure)
        except* TenureOver as over:
            reason = _first_detail(over)
        except* (KvUnavailable, MaybeApplied):
            pass  # The outcome of the last write is unknown; the next tenure rereads the record.
        finally:
            self._tenure = None
        self.kernel.events.emit(PlacementHolderEnded(tenure.fence, reason))
        await tenure.resign()

    async def _run_rounds(self, tenure: Tenure) -> None:
        """Run rounds that poll engines, update the record and send orders."""
        settings = self._settings
        recorded = await read_lines(self._kv)
        self._lines, self._unchanged_for = recorded.lines, None
        for detail in recorded.unreadable:
            self.kernel.events.emit(PlacementUnreadable(detail))
        times = OrderTimes(settings.question_time_limit_s, settings.order_time_limit_s)
        sender = OrderSender(self._peers, tenure, times)
        fleet = EngineFleet(self._membership, sender, settings.absent_s)
        async with trio.open_nursery() as nursery:
            work = PlacementWork(self.kernel, fleet, sender, self._weight_store, settings)
            while True:
                await fleet.poll_next(settings.questions_per_round)
                await self._update_record(tenure, fleet)
                work.update(self._models, self._lines)
                for vm in work.claim_due():
                    nursery.start_soon(work.advance, vm)
                await trio.sleep(settings.round_s)
                tenure.check()

    async def _update_record(self, tenure: Tenure, fleet: EngineFleet) -> None:
        """Write the next lines; a bundle without models leaves placement unchanged."""
        in_force = self._bundle.in_force
        if in_force is None or not in_force.bundle.models:
            return
        self._models = in_force.bundle.models
        engines = fleet.engines(self._lines)
        if (in_force.generation, engines) == self._unchanged_for:
            return
        after = next_lines(self._models, engines, self._lines, self._settings.wave_share)
        changed = sum(
            1 for vm in after.keys() | self._lines.keys() if after.get(vm) != self._lines.get(vm)
        )
        if not changed:
            self._unchanged_for = (in_force.generation, engines)
            return
        self._unchanged_for = None
        tenure.check()
        await write_lines(tenure, self._lines, after)
        self._lines = after
        self.kernel.events.emit(PlacementRecorded(tenure.fence, in_force.generation, changed))


def _first_detail(group: BaseExceptionGroup[CodedError]) -> str:
    """Return the detail of the first error in a group."""
    first: BaseException = group
    while isinstance(first, BaseExceptionGroup):
        first = first.exceptions[0]
    assert isinstance(first, CodedError)
    return first.detail
