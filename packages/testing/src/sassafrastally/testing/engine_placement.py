"""Models, adapters and role of the model engine, and the orders that change them."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import trio

from sassafrastally.sidecar.engine import EngineRefused

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.sidecar.engine import EngineOrder


class _Load(NamedTuple):
    ready_s: float
    order: EngineOrder


class Placement:
    """What one life of an engine serves.

    Parameters
    ----------
    models
        Models that are loaded from the start.
    checks_fencing
        Whether an order with an older fencing number than one seen is refused.
    load_s
        How long a load takes.
    """

    def __init__(self, models: Iterable[str], checks_fencing: bool, load_s: float) -> None:
        self.role = "general"
        self.highest_fence = 0
        self.orders: list[EngineOrder] = []
        """Orders that were carried out, oldest first."""
        self._models = list(models)
        self._checks_fencing = checks_fencing
        self._load_s = load_s
        self._loads: deque[_Load] = deque()

    @property
    def models(self) -> tuple[str, ...]:
        """Models and adapters ready to serve."""
        self._finish_loads()
        return tuple(self._models)

    def serves(self, model: str) -> bool:
        """Return whether a run may name the model, with or without its version."""
        return any(model in (name, name.partition("@")[0]) for name in self.models)

    async def carry_out(self, order: EngineOrder) -> None:
        """Carry out an order; a load takes its time and goes on if its caller leaves.

        Raises
        ------
        EngineRefused
            When the fencing number is old and this engine checks it, before or after the load.
        """
        self._finish_loads()
        if self._is_old(order):
            raise EngineRefused(f"fencing number {order.fence} is below {self.highest_fence}")
        self.highest_fence = max(self.highest_fence, order.fence)
        if order.action not in ("load", "load_adapter"):
            self._apply(order)
            return
        self._loads.append(_Load(trio.current_time() + self._load_s, order))
        await trio.sleep(self._load_s)
        self._finish_loads()
        if self._is_old(order):
            raise EngineRefused(f"fencing number {order.fence} was overtaken during the load")

    def _is_old(self, order: EngineOrder) -> bool:
        return self._checks_fencing and order.fence < self.highest_fence

    def _finish_loads(self) -> None:
        while self._loads and self._loads[0].ready_s <= trio.current_time():
            order = self._loads.popleft().order
            if not self._is_old(order):
                self._apply(order)

    def _apply(self, order: EngineOrder) -> None:
        name = f"{order.model}@{order.version}" if order.version else order.model
        subject = order.adapter if order.action.endswith("_adapter") else name
        match order.action:
            case "load" | "load_adapter":
                if subject not in self._models:
                    self._models.append(subject)
            case "unload" | "unload_adapter":
                if subject in self._models:
                    self._models.remove(subject)
            case "set_role":
                self.role = order.role
            case _:
                raise EngineRefused(f"no such action: {order.action}")
        self.orders.append(order)
