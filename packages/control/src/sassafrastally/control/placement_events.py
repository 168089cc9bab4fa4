"""Events and metrics of placement."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import counter, event


@event(4401)
class PlacementHolderBegan(NamedTuple):
    """This process holds placement from now on."""

    fence: int


@event(4402)
class PlacementHolderEnded(NamedTuple):
    """This process no longer holds placement."""

    fence: int
    reason: str


@event(4403)
class PlacementRecorded(NamedTuple):
    """The lines of some engines were changed in the record."""

    fence: int
    generation: int
    changed: int
    """Engines whose line is another than before."""


@event(4404)
class PlacementOrdered(NamedTuple):
    """An order was carried out by a sidecar."""

    fence: int
    peer: str
    action: str
    subject: str
    elapsed_s: float


@event(4405, "warning")
class PlacementOrderFailed(NamedTuple):
    """An order was not carried out, or no answer came; it is tried again later."""

    fence: int
    peer: str
    action: str
    subject: str
    state: str
    detail: str


@event(4406, "warning")
class PlacementHeldBack(NamedTuple):
    """An unload waits: it would leave a model fewer ready replicas than the bundle demands."""

    peer: str
    model: str
    min_replicas: int


@event(4407, "warning")
class WeightStoreLost(NamedTuple):
    """The weight store doesn't answer: nothing is loaded until it does."""

    detail: str


@event(4408, "warning")
class PlacementUnreadable(NamedTuple):
    """The KV service holds something else than a fence or a record of placement."""

    detail: str


ORDERS = counter(
    "sassafrastally.placement.orders", "{order}", "Orders to sidecars, by action and state."
)
