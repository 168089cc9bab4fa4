"""The holder's work on the engines: one task per engine that must change."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.control.placement_events import (
    ORDERS,
    PlacementHeldBack,
    PlacementOrdered,
    PlacementOrderFailed,
    WeightStoreLost,
)
from sassafrastally.control.placement_orders import PlacementAction, PlacementState
from sassafrastally.control.placement_plan import VERSION_MARK, may_unload, next_step, serves
from sassafrastally.stores.interfaces import PlatformUnavailable

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sassafrastally.control.bundle import Model
    from sassafrastally.control.placement_fleet import EngineFleet
    from sassafrastally.control.placement_orders import OrderSender
    from sassafrastally.control.placement_plan import EngineLine, Step
    from sassafrastally.control.placement_settings import PlacementSettings
    from sassafrastally.core import Kernel
    from sassafrastally.stores.interfaces import WeightStore
    from sassafrastally.wire.messages import PlacementReply

_LOADS = (PlacementAction.LOAD, PlacementAction.LOAD_ADAPTER)


class _Backoff(NamedTuple):
    """Backoff of an engine after failed orders."""

    until_s: float
    failures: int


class PlacementWork:
    """Sends orders to engines until they match their lines.

    Parameters
    ----------
    kernel
        The process.
    fleet
        Last known state of the engines.
    sender
        Sends the orders.
    weight_store
        Limits the rate of loads; without it nothing is loaded.
    settings
        Delays between attempts.
    """

    def __init__(
        self,
        kernel: Kernel,
        fleet: EngineFleet,
        sender: OrderSender,
        weight_store: WeightStore | None,
        settings: PlacementSettings,
    ) -> None:
        self._kernel = kernel
        self._fleet = fleet
        self._sender = sender
        self._weight_store = weight_store
        self._settings = settings
        self._models: Sequence[Model] = ()
        self._lines: Mapping[str, EngineLine] = {}
        self._busy: set[str] = set()
        self._backoffs: dict[str, _Backoff] = {}
        self._unload_lock = trio.Lock()
        """Held from counting the ready replicas until the reply to the unload. Without it, two
        engines that unload a model at the same time would each count the other as a replica."""

    def update(self, models: Sequence[Model], lines: Mapping[str, EngineLine]) -> None:
        """Set the bundle's models and the current lines of the record."""
        self._models = models
        self._lines = lines
        self._backoffs = {vm: backoff for vm, backoff in self._backoffs.items() if vm in lines}

    def claim_due(self) -> list[str]:
        """Claim and return the engines that don't match their line and have no task yet."""
        now_s = trio.current_time()
        states = self._fleet.states()
        due = [
            vm
            for vm in self._lines
            if vm in states
            and vm not in self._busy
            and (vm not in self._backoffs or self._backoffs[vm].until_s <= now_s)
            and self._next_step(vm) is not None
        ]
        self._busy.update(due)
        return due

    async def advance(self, vm: str) -> None:
        """Send orders to an engine until it matches its line or an order fails."""
        try:
            last: Step | None = None
            while (step := self._next_step(vm)) is not None:
                # An engine that reports success without effect would get the same order for ever.
                if step == last or not await self._execute_step(step):
                    self._back_off(vm)
                    return
                last = step
            self._backoffs.pop(vm, None)
        finally:
            self._busy.discard(vm)

    def _next_step(self, vm: str) -> Step | None:
        line, view = self._lines.get(vm), self._fleet.view(vm)
        if line is None or view is None or not view.is_ready:
            return None
        return next_step(line, view)

    async def _execute_step(self, step: Step) -> bool:
        """Execute a step; return whether to continue with the engine."""
        if step.action in _LOADS:
            if not await self._wait_for_weights(step):
                return False
            # The wait may have been long; the line or the engine's state may have changed.
            return self._next_step(step.vm) != step or await self._send_order(step)
        if step.action == PlacementAction.UNLOAD and not step.needed:
            async with self._unload_lock:
                return await self._has_enough_replicas(step) and await self._send_order(step)
        return await self._send_order(step)

    async def _wait_for_weights(self, step: Step) -> bool:
        if self._weight_store is None:
            self._kernel.events.emit(WeightStoreLost("no weight store in the settings"))
            return False
        subject = step.adapter or step.model
        try:
            wait_s = await self._weight_store.reserve_load(subject, step.version)
        except PlatformUnavailable as cause:
            self._kernel.events.emit(WeightStoreLost(cause.detail))
            return False
        await trio.sleep(wait_s)
        return True

    async def _has_enough_replicas(self, step: Step) -> bool:
        """Poll the other engines and return whether enough of them serve the model.

        A stored reply may be from an engine that has died since. Counting it could unload the last
        ready replica, and every request for the model would be refused.
        """
        model = next((model for model in self._models if model.name == step.model), None)
        if model is None:
            return True
        others = [
            vm
            for vm in self._fleet.states()
            if vm != step.vm and (view := self._fleet.view(vm)) and serves(view, model.name)
        ]
        await self._fleet.poll(others)
        views = [view for vm in others if (view := self._fleet.view(vm)) is not None]
        if may_unload(step, self._models, views):
            return True
        self._kernel.events.emit(PlacementHeldBack(step.vm, model.name, model.min_replicas))
        return False

    async def _send_order(self, step: Step) -> bool:
        state = self._fleet.states().get(step.vm)
        if state is None:
            return False
        began_s = trio.current_time()
        reply = await self._sender.order(state, step)
        self._fleet.record_reply(step.vm, reply)
        return self._record_outcome(step, reply, trio.current_time() - began_s)

    def _record_outcome(self, step: Step, reply: PlacementReply | None, elapsed_s: float) -> bool:
        fence = self._sender.fence
        subject = step.adapter or step.role or f"{step.model}{VERSION_MARK}{step.version}"
        outcome = reply.state if reply else "no-answer"
        ORDERS.add(1, {"action": step.action, "state": outcome})
        emit = self._kernel.events.emit
        if reply is not None and reply.state == PlacementState.DONE:
            emit(PlacementOrdered(fence, step.vm, step.action, subject, elapsed_s))
            return True
        detail = reply.detail if reply else ""
        emit(PlacementOrderFailed(fence, step.vm, step.action, subject, outcome, detail))
        return False

    def _back_off(self, vm: str) -> None:
        failures = self._backoffs[vm].failures + 1 if vm in self._backoffs else 1
        backoff_s = min(self._settings.retry_s * 2 ** (failures - 1), self._settings.retry_cap_s)
        self._backoffs[vm] = _Backoff(trio.current_time() + backoff_s, failures)
