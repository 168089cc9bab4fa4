"""The placement holder's view of the engines."""

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
UNRESPONSIVE_RETRY_S = 5.0
"""Delay before an unresponsive sidecar is polled again out of turn."""
MAX_CONCURRENT_POLLS = 32
"""Maximum number of sidecars polled concurrently."""


class EngineFleet:
    """Polls sidecars for the state of their engines and stores the replies.

    Each tenure starts without stored replies. A reply to an earlier holder could be outdated by a
    later order of that holder. A reply to this holder can't, since from then on the sidecar
    rejects older fencing numbers.

    Parameters
    ----------
    membership
        The known VMs and which of them are leaving.
    sender
        Sends the polls.
    absent_s
        Time without a reply after which a sidecar counts as gone.
    """

    def __init__(self, membership: Membership, sender: OrderSender, absent_s: float) -> None:
        self._membership = membership
        self._sender = sender
        self._absent_s = absent_s
        self._views: dict[str, EngineView] = {}
        self._unresponsive_since_s: dict[str, float] = {}
        """Time of each sidecar's first unanswered poll since its last reply."""
        self._polled_s: dict[str, float] = {}
        self._without_engine: set[str] = set()

    def states(self) -> dict[str, VmState]:
        """Return the listed sidecars that aren't leaving, by VM."""
        return {
            state.vm: state
            for state in self._membership.vms(SIDECAR_ROLE)
            if not state.leaving and not self._membership.is_leaving(state.vm)
        }

    def view(self, vm: str) -> EngineView | None:
        """Return the last known state of an engine."""
        return self._views.get(vm)

    def engines(self, lines: Mapping[str, EngineLine]) -> list[EngineView]:
        """Return the engines to consider for placement.

        An unresponsive engine with a line keeps its models until it counts as gone, but isn't a
        ready replica, so a short network partition moves nothing.
        """
        gone_before_s = trio.current_time() - self._absent_s
        engines = []
        for vm in sorted(self.states().keys() - self._without_engine):
            view = self._views.get(vm)
            if view is None and vm in lines:
                view = EngineView(vm, is_ready=False)
            # Measured from the first unanswered poll, not from the last reply: an engine may be
            # polled less often than every `absent_s`.
            if view is not None and self._unresponsive_since_s.get(vm, inf) > gone_before_s:
                engines.append(view)
        return engines

    async def poll_next(self, count: int) -> None:
        """Poll new and unresponsive sidecars, and `count` of the others in turn."""
        states = self.states()
        self._prune(states)
        retry_before_s = trio.current_time() - UNRESPONSIVE_RETRY_S
        due = [vm for vm in states if self._is_due(vm, retry_before_s)]
        others = sorted(states.keys() - set(due), key=lambda vm: (self._polled_s[vm], vm))
        await self.poll([*due, *others[:count]])

    async def poll(self, vms: Iterable[str]) -> None:
        """Poll the given sidecars now."""
        states = self.states()
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_POLLS)
        async with trio.open_nursery() as nursery:
            for vm in vms:
                if vm in states:
                    nursery.start_soon(self._poll_one, states[vm], limiter)

    def record_reply(self, vm: str, reply: PlacementReply | None) -> None:
        """Record a sidecar's reply; ``None`` if there was none."""
        self._polled_s[vm] = trio.current_time()
        if reply is not None and reply.state == PlacementState.NO_ENGINE:
            self._without_engine.add(vm)
        elif reply is None or not _reports_models(reply):
            self._unresponsive_since_s.setdefault(vm, trio.current_time())
            if vm in self._views:
                self._views[vm] = self._views[vm]._replace(is_ready=False)
        else:
            self._without_engine.discard(vm)
            self._unresponsive_since_s.pop(vm, None)
            self._views[vm] = EngineView(vm, reply.models, reply.role, reply.is_pinned)

    def _is_due(self, vm: str, retry_before_s: float) -> bool:
        polled_s = self._polled_s.get(vm, -inf)
        return polled_s == -inf or (vm in self._unresponsive_since_s and polled_s <= retry_before_s)

    async def _poll_one(self, state: VmState, limiter: trio.CapacityLimiter) -> None:
        async with limiter:
            self.record_reply(state.vm, await self._sender.observe(state))

    def _prune(self, states: Mapping[str, VmState]) -> None:
        for vm in self._polled_s.keys() - states.keys():
            self._polled_s.pop(vm)
            self._views.pop(vm, None)
            self._unresponsive_since_s.pop(vm, None)
            self._without_engine.discard(vm)


def _reports_models(reply: PlacementReply) -> bool:
    return reply.state in (PlacementState.DONE, PlacementState.LAST_READY)
