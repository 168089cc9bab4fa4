"""What the placement holder knows of the engines."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import trio

from sassafrastally.control.placement_orders import PlacementState
from sassafrastally.control.placement_plan import EngineView

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sassafrastally.control.interfaces import Membership
    from sassafrastally.control.placement_orders import OrderSender
    from sassafrastally.control.placement_plan import EngineLine
    from sassafrastally.stores.interfaces import VmState
    from sassafrastally.wire.messages import PlacementReply

SIDECAR_ROLE = "sidecar"
SILENT_GAP_S = 5.0
"""A sidecar that gave no answer is asked again after so long, besides its turn."""
MAX_QUESTIONS = 32
"""Sidecars that are asked at the same time."""


class EngineFleet:
    """Asks sidecars what their engines serve and remembers the answers.

    Each tenure starts with an empty memory: an answer given to an earlier holder could be
    overtaken by an order of that holder, while one given to this holder can't, since the sidecar
    refuses older fencing numbers from then on.

    Parameters
    ----------
    membership
        Who exists and who leaves.
    sender
        Sends the questions.
    absent_s
        A sidecar that gave no answer for so long counts as gone.
    """

    def __init__(self, membership: Membership, sender: OrderSender, absent_s: float) -> None:
        self._membership = membership
        self._sender = sender
        self._absent_s = absent_s
        self._views: dict[str, EngineView] = {}
        self._silent_since_s: dict[str, float] = {}
        """When a sidecar first gave no answer since its last one."""
        self._asked_s: dict[str, float] = {}
        self._without_engine: set[str] = set()

    def states(self) -> dict[str, VmState]:
        """Return the sidecars that the VM list shows and that don't leave, by VM."""
        return {
            state.vm: state
            for state in self._membership.vms(SIDECAR_ROLE)
            if not state.leaving and not self._membership.is_leaving(state.vm)
        }

    def view(self, vm: str) -> EngineView | None:
        """Return the last answer about an engine."""
        return self._views.get(vm)

    def engines(self, lines: Mapping[str, EngineLine]) -> list[EngineView]:
        """Return the engines that count.

        One that has a line and doesn't answer keeps its place until it counts as gone, but isn't
        a ready replica: a short cut of the network moves nothing.
        """
        gone_before_s = trio.current_time() - self._absent_s
        engines = []
        for vm in sorted(self.states().keys() - self._without_engine):
            view = self._views.get(vm)
            if view is None and vm in lines:
                view = EngineView(vm, is_ready=False)
            # Counted from its silence: an engine's turn to be asked may come less often.
            if view is not None and self._silent_since_s.get(vm, inf) > gone_before_s:
                engines.append(view)
        return engines

    async def ask_next(self, count: int) -> None:
        """Ask those sidecars that were never asked or are silent, and some others in turn."""
        states = self.states()
        self._forget(states)
        again_s = trio.current_time() - SILENT_GAP_S
        due = [vm for vm in states if self._is_due(vm, again_s)]
        others = sorted(states.keys() - set(due), key=lambda vm: (self._asked_s[vm], vm))
        await self.ask([*due, *others[:count]])

    async def ask(self, vms: Iterable[str]) -> None:
        """Ask some sidecars now."""
        states = self.states()
        limiter = trio.CapacityLimiter(MAX_QUESTIONS)
        async with trio.open_nursery() as nursery:
            for vm in vms:
                if vm in states:
                    nursery.start_soon(self._ask, states[vm], limiter)

    def take(self, vm: str, reply: PlacementReply | None) -> None:
        """Take an answer in; ``None`` when none came."""
        self._asked_s[vm] = trio.current_time()
        if reply is not None and reply.state == PlacementState.NO_ENGINE:
            self._without_engine.add(vm)
        elif reply is None or not _tells_models(reply):
            self._silent_since_s.setdefault(vm, trio.current_time())
            if vm in self._views:
                self._views[vm] = self._views[vm]._replace(is_ready=False)
        else:
            self._without_engine.discard(vm)
            self._silent_since_s.pop(vm, None)
            self._views[vm] = EngineView(vm, reply.models, reply.role, reply.is_pinned)

    def _is_due(self, vm: str, again_s: float) -> bool:
        asked_s = self._asked_s.get(vm, -inf)
        return asked_s == -inf or (vm in self._silent_since_s and asked_s <= again_s)

    async def _ask(self, state: VmState, limiter: trio.CapacityLimiter) -> None:
        async with limiter:
            self.take(state.vm, await self._sender.observe(state))

    def _forget(self, states: Mapping[str, VmState]) -> None:
        for vm in self._asked_s.keys() - states.keys():
            self._asked_s.pop(vm)
            self._views.pop(vm, None)
            self._silent_since_s.pop(vm, None)
            self._without_engine.discard(vm)


def _tells_models(reply: PlacementReply) -> bool:
    return reply.state in (PlacementState.DONE, PlacementState.LAST_READY)
