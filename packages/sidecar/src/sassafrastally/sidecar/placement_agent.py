"""Carries out the orders of placement on the engine beside this sidecar.

Engines that check fencing numbers refuse old orders themselves. Others have only this service: it
keeps the highest number that it has seen, and it compares what the engine runs with the record.
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
    """The sidecar's part of placement."""

    compare_interval_s: float = 5.0
    """How often what the engine runs is compared with the record."""
    describe_limit_s: float = 2.0
    """Longest wait for the engine to say what it runs."""


@event(7120)
class PlacementObeyed(NamedTuple):
    """The engine carried out an order of placement."""

    fence: int
    action: str
    subject: str


@event(7121, "warning")
class PlacementRefused(NamedTuple):
    """An order of placement was refused, or the engine didn't carry it out."""

    fence: int
    highest_fence: int
    action: str
    subject: str
    state: str
    detail: str


@event(7122, "warning")
class PlacementCorrected(NamedTuple):
    """The engine ran something else than the record says and was put right."""

    fence: int
    action: str
    subject: str


@event(7123)
class PlacementFenceLearned(NamedTuple):
    """The highest fencing number was read from the record, and what the engine is to run."""

    fence: int
    models: str


class _Overtaken(NamedTuple):
    """What stands in the way of an order."""

    state: PlacementState
    detail: str


class PlacementAgent(Service):
    """Obeys placement orders of the highest fencing number only.

    Parameters
    ----------
    settings
        Intervals.
    engine
        Client of the engine; ``None`` when only plain services stand here.
    pinned
        Models that the sidecar's settings name; empty when placement may choose.
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
        """``None`` until it was read from the record in this life."""
        self._line: EngineLine | None = None
        self._reached: EngineLine | None = None
        """Last line that the engine was seen to run; loads that go missing later are repaired."""
        self._adapters: set[str] = set()
        """Adapters that placement has named; the settings pin models and not these."""
        self._order_lock = trio.Lock()
        """One order at a time goes to the engine."""

    @property
    def highest_fence(self) -> int:
        """Highest fencing number known in this life; 0 when none is."""
        return self._highest or 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Take orders."""
        platform = self.kernel.get("platform", PlatformService)
        self._kv = platform.kv
        self._weight_store = platform.weight_store
        peers = cast("Peers", self.kernel.get("peers", Service))
        peers.on_stream(PlacementOrder, self._on_order)
        if self._engine is not None:
            nursery.start_soon(self._keep_comparing)

    def status(self) -> dict[str, Any]:
        """Return figures for the operators."""
        line = self._line
        models = [placed.versioned_name for placed in line.models] if line else []
        return {"fence": self.highest_fence, "models": models}

    async def _on_order(self, stream: Stream, message: Message) -> None:
        await stream.send(await self.obey(cast("PlacementOrder", message)))

    async def obey(self, order: PlacementOrder) -> PlacementReply:
        """Carry out an order, or say why not."""
        if self._engine is None:
            return PlacementReply(PlacementState.NO_ENGINE, self.highest_fence)
        try:
            if self._highest is None:
                await self._learn()
        except (KvUnavailable, BadEncoding) as cause:
            # After a restart the highest number is forgotten: an order of a holder that was
            # replaced long ago would look new. Nothing is obeyed until the record was read.
            return self._refuse(order, _Overtaken(PlacementState.FENCE_UNKNOWN, cause.detail))
        if (overtaken := self._admit(order)) is not None:
            return self._refuse(order, overtaken)
        if order.action == PlacementAction.OBSERVE:
            return await self._report(PlacementState.DONE)
        async with self._order_lock:
            return await self._carry_out(order)

    def _admit(self, order: PlacementOrder) -> _Overtaken | None:
        """Raise the highest number to an order's; say when the order is older."""
        if order.fence < self.highest_fence:
            return _Overtaken(PlacementState.OUTDATED, "a later holder has spoken")
        self._highest = order.fence
        return None

    async def _carry_out(self, order: PlacementOrder) -> PlacementReply:
        # Another order was under way: a later holder may have spoken meanwhile.
        if (overtaken := self._admit(order)) is not None:
            return self._refuse(order, overtaken)
        try:
            info = await self._describe()
            if order.needed and order.needed not in info.models:
                missing = _Overtaken(PlacementState.LAST_READY, f"{order.needed} isn't ready")
                return self._refuse(order, missing)
            # Asking the engine took time, in which a later holder may have spoken as well.
            if (overtaken := self._admit(order)) is not None:
                return self._refuse(order, overtaken)
            if order.action == PlacementAction.LOAD_ADAPTER:
                self._adapters.add(order.adapter)
            if not _is_done(order, info):
                await self._give(order.fence, _step_of(self.kernel.vm, order))
        except _ENGINE_ERRORS as cause:
            return self._refuse(order, _Overtaken(PlacementState.FAILED, cause.detail))
        self.kernel.events.emit(PlacementObeyed(order.fence, order.action, _subject(order)))
        if order.fence < self.highest_fence:
            # The engine took the order and a later holder spoke meanwhile: the next comparison
            # puts right what this order did to an engine that ignores fencing.
            outdated = _Overtaken(PlacementState.OUTDATED, "overtaken while it was carried out")
            return self._refuse(order, outdated)
        return await self._report(PlacementState.DONE)

    def _refuse(self, order: PlacementOrder, overtaken: _Overtaken) -> PlacementReply:
        highest = self.highest_fence
        self.kernel.events.emit(
            PlacementRefused(order.fence, highest, order.action, _subject(order), *overtaken)
        )
        return PlacementReply(overtaken.state, highest, detail=overtaken.detail)

    async def _report(self, state: PlacementState) -> PlacementReply:
        """Answer with what the engine runs, without the models that may not be served here."""
        try:
            info = await self._describe()
        except _ENGINE_ERRORS as cause:
            return PlacementReply(PlacementState.FAILED, self.highest_fence, detail=cause.detail)
        return PlacementReply(
            state, self.highest_fence, self._allowed(info), info.role, bool(self._pinned)
        )

    async def _give(self, fence: int, step: Step) -> None:
        assert self._engine is not None
        await self._engine.order(
            EngineOrder(fence, step.action, step.model, step.version, step.adapter, step.role)
        )

    async def _describe(self) -> EngineInfo:
        assert self._engine is not None
        with trio.move_on_after(self._settings.describe_limit_s):
            return await self._engine.describe()
        raise EngineFailed("the engine doesn't say what it runs")

    def _allowed(self, info: EngineInfo) -> tuple[str, ...]:
        if not self._pinned:
            return info.models
        allowed = {*self._pinned, *self._adapters}
        return tuple(name for name in info.models if base_name(name) in allowed)

    async def _learn(self) -> None:
        """Read the highest fencing number and this engine's line from the record."""
        recorded = await read_line(self._kv, self.kernel.vm)
        if self._highest is None:
            placed = recorded.line.models if recorded.line else ()
            models = ", ".join(model.versioned_name for model in placed)
            self.kernel.events.emit(PlacementFenceLearned(recorded.fence, models))
        self._highest = max(self.highest_fence, recorded.fence)
        self._line = recorded.line
        self._adapters.update(recorded.line.adapters if recorded.line else ())

    async def _keep_comparing(self) -> None:
        while True:
            await trio.sleep(self._settings.compare_interval_s)
            try:
                await self.compare()
            except (*_ENGINE_ERRORS, KvUnavailable, PlatformUnavailable, BadEncoding):
                continue  # Compared again at the next interval.

    async def compare(self) -> None:
        """Compare what the engine runs with the record and put it right.

        Guards an engine that ignores fencing: an old order that was on its way, such as one that
        an earlier life of this sidecar had sent, leaves an old version beside the new one, or
        takes the new one away. The record is read again before anything is done, so that a line
        that this sidecar has not yet heard of is never undone.

        Raises
        ------
        EngineUnavailable, EngineFailed, EngineRefused
            When the engine doesn't do it.
        KvUnavailable, BadEncoding
            When the record can't be read; nothing is done.
        PlatformUnavailable
            When the weight store doesn't answer; nothing is loaded.
        """
        if self._highest is None:
            await self._learn()
        if await self._difference() is None:
            return
        paid: Step | None = None
        while (load := await self._correct(paid)) is not None:
            await self._wait_for_weights(load)
            paid = load

    async def _correct(self, paid: Step | None) -> Step | None:
        """Give the engine what is missing; return a load for which weights must be booked first.

        Parameters
        ----------
        paid
            The load for which weights were booked.
        """
        async with self._order_lock:
            # Read under the lock: a holder's orders come after its line, so none of them can be
            # undone by a line that was read before.
            try:
                await self._learn()
            except KvUnavailable:
                # An engine that restarted empty serves nobody until the outage is over. The line
                # that it had reached is the last word that was heard, and there is nothing to undo.
                if not await self._is_empty():
                    raise
            while (step := await self._difference()) is not None:
                if not self._is_own_work(step):
                    return None
                if step.action in _LOADS and step != paid:
                    return step
                await self._give(self.highest_fence, step)
                CORRECTIONS.add(1, {"action": step.action})
                subject = step.adapter or step.role or f"{step.model}@{step.version}"
                self.kernel.events.emit(
                    PlacementCorrected(self.highest_fence, step.action, subject)
                )
                paid = None
            return None

    async def _is_empty(self) -> bool:
        return not self._allowed(await self._describe())

    def _is_own_work(self, step: Step) -> bool:
        """Return whether a correction is this sidecar's to do, not the holder's.

        Loads towards a line that the engine has not yet come to are spread by the holder, and an
        unload that takes a model away altogether needs a count of the ready replicas.
        """
        if step.action in _LOADS:
            return self._line == self._reached and self._weight_store is not None
        return step.action != PlacementAction.UNLOAD or bool(step.needed)

    async def _wait_for_weights(self, load: Step) -> None:
        assert self._weight_store is not None
        wait_s = await self._weight_store.reserve_load(load.adapter or load.model, load.version)
        await trio.sleep(wait_s)

    async def _difference(self) -> Step | None:
        """Return the next step towards the line; ``None`` when there is no line or none is due."""
        line = self._line
        if line is None:
            return None
        info = await self._describe()
        step = next_step(line, EngineView(self.kernel.vm, self._allowed(info), info.role))
        if step is None:
            self._reached = line
        return step


def _is_done(order: PlacementOrder, info: EngineInfo) -> bool:
    """Return whether an order has nothing left to do, such as a repeat after a lost answer."""
    if order.action == PlacementAction.SET_ROLE:
        return info.role == order.role
    model = f"{order.model}@{order.version}" if order.version else order.model
    return (order.action in _LOADS) == ((order.adapter or model) in info.models)


def _step_of(vm: str, order: PlacementOrder) -> Step:
    return Step(vm, order.action, order.model, order.version, order.adapter, order.role)


def _subject(order: PlacementOrder) -> str:
    return order.adapter or order.role or f"{order.model}@{order.version}"
