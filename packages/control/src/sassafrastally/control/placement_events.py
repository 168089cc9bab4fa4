"""Events and metrics of placement."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import counter, event


@event(4401)
class PlacementHolderBegan(NamedTuple):
    """This process became the placement holder."""

    fence: int


@event(4402)
class PlacementHolderEnded(NamedTuple):
    """This process is no longer the placement holder."""

    fence: int
    reason: str


@event(4403)
class PlacementRecorded(NamedTuple):
    """The placement record was updated for some engines."""

    fence: int
    generation: int
    changed: int
    """Number of engines whose line changed."""


@event(4404)
class PlacementOrdered(NamedTuple):
    """A sidecar executed an order."""

    fence: int
    peer: str
    action: str
    subject: str
    elapsed_s: float


@event(4405, "warning")
class PlacementOrderFailed(NamedTuple):
    """An order failed or got no reply; it is retried later."""

    fence: int
    peer: str
    action: str
    subject: str
    state: str
    detail: str


@event(4406, "warning")
class PlacementHeldBack(NamedTuple):
    """An unload is delayed: the model would have fewer ready replicas than the bundle requires."""

    peer: str
    model: str
    min_replicas: int


@event(4407, "warning")
class WeightStoreLost(NamedTuple):
    """The weight store is unavailable; nothing is loaded until it recovers."""

    detail: str


@event(4408, "warning")
class PlacementUnreadable(NamedTuple):
    """The fence or the placement record in the KV service is malformed."""

    detail: str


ORDERS = counter(
    "sassafrastally.placement.orders", "{order}", "Orders to sidecars, by action and state."
)
