"""Executes placement orders on the engine of this sidecar.

Engines that check fencing tokens reject outdated orders themselves. For other engines, this service
is the only protection: it remembers the highest token it has seen and compares what the engine runs
with the placement record.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, ClassVar, NamedTuple, cast

import trio

from sassafrastally.control.canonical import BadEncoding
from sassafrastally.control.placement_orders import PlacementAction, PlacementState
from sassafrastally.control.placement_plan import EngineView, Step, base_name, next_step
from sassafrastally.control.placement_record import read_line
from sassafrastally.core import Service, counter, event
from sassafrastally.core.kv import KvUnavailable
from sassafrastally.core.settings import section
from sassafrastally.sidecar.engine import (
    EngineFailed,
    EngineOrder,
    EngineRefused,
    EngineUnavailable,
)
from sassafrastally.stores.interfaces import PlatformUnavailable
from sassafrastally.stores.service import PlatformService
from sassafrastally.wire.messages import PlacementOrder, PlacementReply

if TYPE_CHECKING:
    from sassafrastally.control.placement_plan import EngineLine
    from sassafrastally.sidecar.engine import Engine, EngineInfo
    from sassafrastally.wire.link import Peers, Stream
    from sassafrastally.wire.messages import Message

_ENGINE_ERRORS = (EngineUnavailable, EngineFailed, EngineRefused)
_LOADS = (PlacementAction.LOAD, PlacementAction.LOAD_ADAPTER)

CORRECTIONS = counter(
    "sassafrastally.placement.corrections",
    "{order}",
    "Orders that a sidecar gave its engine to put it right, by action.",
)


@section("placement_agent", "sidecar")
class PlacementAgentSettings(NamedTuple):
    """Settings of the sidecar's placement agent."""

    compare_interval_s: float = 5.0
    """Interval at which what the engine runs is compared with the placement record."""
    describe_limit_s: float = 2.0
    """Timeout for the engine to describe what it runs."""


@event(7120)
class PlacementObeyed(NamedTuple):
    """The engine executed a placement order."""

    fence: int
    action: str
    subject: str


@event(7121, "warning")
class PlacementRefused(NamedTuple):
    """A placement order was rejected, or the engine failed to execute it."""

    fence: int
    highest_fence: int
    action: str
    subject: str
    state: str
    detail: str


@event(7122, "warning")
class PlacementCorrected(NamedTuple):
    """The engine did not match the placement record and was sent a correcting order."""

    fence: int
    action: str
    subject: str


@event(7123)
class PlacementFenceLearned(NamedTuple):
    """The highest fencing token and the engine's intended models were read from the record."""

    fence: int
    models: str


class _Rejection(NamedTuple):
    """Why an order is rejected."""

    state: PlacementState
    detail: str


class PlacementAgent(Service):
    """Executes only placement orders that carry the highest known fencing token.

    Parameters
    ----------
    settings
        Comparison interval and timeout.
    engine
        Client of the engine; ``None`` when this sidecar has only plain services.
    pinned
        Models listed in the sidecar's settings; empty when placement may choose them.
    """

    name: ClassVar[str] = "placement-agent"
    needs: ClassVar[tuple[str, ...]] = ("platform", "peers")

    def __init__(
        self,
        settings: PlacementAgentSettings,
        engine: Engine | None,
        pinned: tuple[str, ...] = (),
    ) -> None:
        self._settings = settings
        self._engine = engine
        self._pinned = pinned
        self._highest: int | None = None
        """Highest known fencing token; ``None`` until the record was read in this incarnation."""
        self._line: EngineLine | None = None
        self._reached: EngineLine | None = None
        """Last record line that the engine fully matched; models missing later are loaded again."""
        self._adapters: set[str] = set()
        """Adapters named by placement; the settings pin models but not adapters."""
        self._order_lock = trio.Lock()
        """Ensures that only one order at a time is sent to the engine."""

    @property
    def highest_fence(self) -> int:
        """Highest fencing token known in this incarnation; 0 when none is."""
        return self._highest or 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Register the order handler and start the periodic comparison."""
        platform = self.kernel.get("platform", PlatformService)
        self._kv = platform.kv
        self._weight_store = platform.weight_store
        peers = cast("Peers", self.kernel.get("peers", Service))
        peers.on_stream(PlacementOrder, self._on_order)
        if self._engine is not None:
            nursery.start_soon(self._compare_periodically)

    def status(self) -> dict[str, Any]:
        """Return the placement status for operators."""
        line = self._line
        models = [placed.versioned_name for placed in line.models] if line else []
        return {"fence": self.highest_fence, "models": models}

    async def _on_order(self, stream: Stream, message: Message) -> None:
        await stream.send(await self.obey(cast("PlacementOrder", message)))

    async def obey(self, order: PlacementOrder) -> PlacementReply:
        """Execute an order or report why it was rejected."""
        if self._engine is None:
            return PlacementReply(PlacementState.NO_ENGINE, self.highest_fence)
        try:
            if self._highest is None:
                await self._read_record()
        except (KvUnavailable, BadEncoding) as cause:
            # A restart loses the highest fencing token, so an order of a lease holder that was
            # replaced long ago would look current. No order is executed until the record is read.
            return self._refuse(order, _Rejection(PlacementState.FENCE_UNKNOWN, cause.detail))
        if (rejection := self._admit(order)) is not None:
            return self._refuse(order, rejection)
        if order.action == PlacementAction.OBSERVE:
            return await self._report(PlacementState.DONE)
        async with self._order_lock:
            return await self._carry_out(order)

    def _admit(self, order: PlacementOrder) -> _Rejection | None:
        """Raise the highest fencing token to the order's; return a rejection when it is older."""
        if order.fence < self.highest_fence:
            return _Rejection(PlacementState.OUTDATED, "a later lease holder has sent an order")
        self._highest = order.fence
        return None

    async def _carry_out(self, order: PlacementOrder) -> PlacementReply:
        # Another order was under way: a later holder may have spoken meanwhile.
        if (rejection := self._admit(order)) is not None:
            return self._refuse(order, rejection)
        try:
            info = await self._describe()
            if order.needed and order.needed not in info.models:
                rejection = _Rejection(PlacementState.LAST_READY, f"{order.needed} isn't ready")
                return self._refuse(order, rejection)
            # A later lease holder may have sent an order while the engine was being queried.
            if (rejection := self._admit(order)) is not None:
                return self._refuse(order, rejection)
            if order.action == PlacementAction.LOAD_ADAPTER:
                self._adapters.add(order.adapter)
            if not _is_done(order, info):
                await self._send_order(order.fence, _step_of(self.kernel.vm, order))
        except _ENGINE_ERRORS as cause:
            return self._refuse(order, _Rejection(PlacementState.FAILED, cause.detail))
        self.kernel.events.emit(PlacementObeyed(order.fence, order.action, _subject(order)))
        if order.fence < self.highest_fence:
            # A later lease holder sent an order while the engine executed this one. The next
            # comparison reverts what this order did on an engine that ignores fencing.
            rejection = _Rejection(
                PlacementState.OUTDATED, "superseded by a later lease holder while it was executed"
            )
            return self._refuse(order, rejection)
        return await self._report(PlacementState.DONE)

    def _refuse(self, order: PlacementOrder, rejection: _Rejection) -> PlacementReply:
        highest = self.highest_fence
        self.kernel.events.emit(
            PlacementRefused(order.fence, highest, order.action, _subject(order), *rejection)
        )
        return PlacementReply(rejection.state, highest, detail=rejection.detail)

    async def _report(self, state: PlacementState) -> PlacementReply:
        """Reply with what the engine runs, excluding models that may not be served here."""
        try:
            info = await self._describe()
        except _ENGINE_ERRORS as cause:
            return PlacementReply(PlacementState.FAILED, self.highest_fence, detail=cause.detail)
        return PlacementReply(
            state, self.highest_fence, self._allowed(info), info.role, bool(self._pinned)
        )

    async def _send_order(self, fence: int, step: Step) -> None:
        assert self._engine is not None
        await self._engine.order(
            EngineOrder(fence, step.action, step.model, step.version, step.adapter, step.role)
        )

    async def _describe(self) -> EngineInfo:
        assert self._engine is not None
        with trio.move_on_after(self._settings.describe_limit_s):
            return await self._engine.describe()
        raise EngineFailed("the engine did not describe what it runs in time")

    def _allowed(self, info: EngineInfo) -> tuple[str, ...]:
        if not self._pinned:
            return info.models
        allowed = {*self._pinned, *self._adapters}
        return tuple(name for name in info.models if base_name(name) in allowed)

    async def _read_record(self) -> None:
        """Read the highest fencing token and this engine's line from the record."""
        recorded = await read_line(self._kv, self.kernel.vm)
        if self._highest is None:
            placed = recorded.line.models if recorded.line else ()
            models = ", ".join(model.versioned_name for model in placed)
            self.kernel.events.emit(PlacementFenceLearned(recorded.fence, models))
        self._highest = max(self.highest_fence, recorded.fence)
        if recorded.is_readable:  # Otherwise the holder writes the part again.
            self._line = recorded.line
        self._adapters.update(recorded.line.adapters if recorded.line else ())

    async def _compare_periodically(self) -> None:
        while True:
            await trio.sleep(self._settings.compare_interval_s)
            try:
                await self.compare()
            except (*_ENGINE_ERRORS, KvUnavailable, PlatformUnavailable, BadEncoding):
                continue  # Retried at the next interval.

    async def compare(self) -> None:
        """Compare what the engine runs with the record and correct differences.

        This protects an engine that ignores fencing: a delayed outdated order, such as one sent by
        an earlier incarnation of this sidecar, may load an old version beside the new one or
        unload the new one. The record is read again before any correction, so that a newer line
        that this sidecar has not seen yet is never reverted.

        Raises
        ------
        EngineUnavailable, EngineFailed, EngineRefused
            When the engine doesn't execute a correction.
        KvUnavailable, BadEncoding
            When the record can't be read; nothing is changed.
        PlatformUnavailable
            When the weight store is unavailable; nothing is loaded.
        """
        if self._highest is None:
            await self._read_record()
        if await self._difference() is None:
            return
        booked: Step | None = None
        while (load := await self._correct(booked)) is not None:
            await self._wait_for_weights(load)
            booked = load

    async def _correct(self, booked: Step | None) -> Step | None:
        """Send correcting orders; return a load that needs a weight store reservation first.

        Parameters
        ----------
        booked
            The load for which the weight store was reserved.
        """
        async with self._order_lock:
            # The record is read under the lock. A lease holder sends orders only after writing its
            # line, so an order can't be reverted because of a line that was read earlier.
            try:
                await self._read_record()
            except KvUnavailable:
                # An engine that restarted empty would serve nothing until the KV outage ends. The
                # line it had reached is the latest known state, and there is nothing to revert.
                if not await self._is_empty():
                    raise
            while (step := await self._difference()) is not None:
                if not self._may_correct(step):
                    return None
                if step.action in _LOADS and step != booked:
                    return step
                await self._send_order(self.highest_fence, step)
                CORRECTIONS.add(1, {"action": step.action})
                subject = step.adapter or step.role or f"{step.model}@{step.version}"
                self.kernel.events.emit(
                    PlacementCorrected(self.highest_fence, step.action, subject)
                )
                booked = None
            return None

    async def _is_empty(self) -> bool:
        return not self._allowed(await self._describe())

    def _may_correct(self, step: Step) -> bool:
        """Return whether this sidecar, not the lease holder, may make a correction.

        Loads for a line that the engine has not reached yet are scheduled by the holder. Unloading
        a model without a replacement requires knowing the number of ready replicas.
        """
        if step.action in _LOADS:
            return self._line == self._reached and self._weight_store is not None
        return step.action != PlacementAction.UNLOAD or bool(step.needed)

    async def _wait_for_weights(self, load: Step) -> None:
        assert self._weight_store is not None
        wait_s = await self._weight_store.reserve_load(load.adapter or load.model, load.version)
        await trio.sleep(wait_s)

    async def _difference(self) -> Step | None:
        """Return the next step towards the line; ``None`` without a line or when it is reached."""
        line = self._line
        if line is None:
            return None
        info = await self._describe()
        step = next_step(line, EngineView(self.kernel.vm, self._allowed(info), info.role))
        if step is None:
            self._reached = line
        return step


def _is_done(order: PlacementOrder, info: EngineInfo) -> bool:
    """Return whether an order is already fulfilled, such as a repeat after a lost reply."""
    if order.action == PlacementAction.SET_ROLE:
        return info.role == order.role
    model = f"{order.model}@{order.version}" if order.version else order.model
    return (order.action in _LOADS) == ((order.adapter or model) in info.models)


def _step_of(vm: str, order: PlacementOrder) -> Step:
    return Step(vm, order.action, order.model, order.version, order.adapter, order.role)


def _subject(order: PlacementOrder) -> str:
    return order.adapter or order.role or f"{order.model}@{order.version}"
