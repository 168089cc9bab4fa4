"""Sends placement orders and engine polls over the links to the sidecars."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.core import time_limit
from sassafrastally.wire.codec import BadFrame
from sassafrastally.wire.link import LinkCut, LinkRefused, StreamEnded
from sassafrastally.wire.messages import PlacementOrder, PlacementReply
from sassafrastally.wire.streams import TooManyStreams

if TYPE_CHECKING:
    from sassafrastally.control.lease_holder import Tenure
    from sassafrastally.control.placement_plan import Step
    from sassafrastally.stores.interfaces import VmState
    from sassafrastally.wire.link import Peers


class PlacementAction(StrEnum):
    """Action that an order requests."""

    OBSERVE = "observe"
    """Only reply with the state; the sidecar rejects older fencing numbers from then on."""
    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


class PlacementState(StrEnum):
    """Outcome of an order."""

    DONE = "done"
    OUTDATED = "outdated"
    """The sidecar or its engine has seen a higher fencing number."""
    FENCE_UNKNOWN = "fence-unknown"
    """The sidecar restarted and can't read the highest fencing number; nothing was done."""
    LAST_READY = "last-ready"
    """The model version required for the unload isn't ready; nothing was done."""
    FAILED = "failed"
    """The engine refused, failed or didn't respond; the action may have been executed."""
    NO_ENGINE = "no-engine"
    """The sidecar has no model engine."""


class OrderTimes(NamedTuple):
    """Time limits for calls to sidecars."""

    observe_s: float
    order_s: float


class OrderSender:
    """Sends one tenure's orders.

    Parameters
    ----------
    peers
        Provides the links.
    tenure
        Tenure under whose fencing number the orders are sent; checked before each.
    times
        Time limits.
    """

    def __init__(self, peers: Peers, tenure: Tenure, times: OrderTimes) -> None:
        self._peers = peers
        self._tenure = tenure
        self._times = times

    @property
    def fence(self) -> int:
        """Fencing number of the tenure."""
        return self._tenure.fence

    async def observe(self, state: VmState) -> PlacementReply | None:
        """Return the state of a sidecar's engine; ``None`` if there is no reply in time."""
        order = PlacementOrder(fence=self._tenure.fence, action=PlacementAction.OBSERVE)
        return await self._call(state, order, self._times.observe_s)

    async def order(self, state: VmState, step: Step) -> PlacementReply | None:
        """Send an order; ``None`` if there is no reply, when it may have been executed."""
        order = PlacementOrder(
            self._tenure.fence,
            step.action,
            step.model,
            step.version,
            step.adapter,
            step.role,
            step.needed,
        )
        return await self._call(state, order, self._times.order_s)

    async def _call(
        self, state: VmState, order: PlacementOrder, time_limit_s: float
    ) -> PlacementReply | None:
        async with time_limit(trio.current_time() + time_limit_s) as limit:
            try:
                link = await self._peers.link_to(state.vm, state.peer_address)
                # The dial may have taken long, or this process may have been suspended during it.
                self._tenure.check()
                await limit.require_time()
                reply = await link.call(order)
            except (LinkRefused, LinkCut, StreamEnded, TooManyStreams, BadFrame):
                return None
            if not isinstance(reply, PlacementReply):
                return None
            if reply.fence > self._tenure.fence:
                self._tenure.end(f"{state.vm} has seen the higher fencing number {reply.fence}")
                self._tenure.check()
            return reply
        return None
