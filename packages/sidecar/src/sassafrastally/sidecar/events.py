"""Events and metrics of the sidecar."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import counter, event, gauge


@event(7101, "debug")
class AttemptReserved(NamedTuple):
    """Room was promised to an attempt."""

    request_id: str
    attempt: int
    predicted_total_s: float


@event(7102)
class AttemptRefused(NamedTuple):
    """An attempt was refused; it has not run and won't."""

    request_id: str
    attempt: int
    refusal: str
    limit: float
    measured: float
    detail: str


@event(7103, "debug")
class AttemptCommitted(NamedTuple):
    """A reservation was spent and the whole body is here."""

    request_id: str
    attempt: int


@event(7104, "debug")
class AttemptStarted(NamedTuple):
    """The attempt was handed to the backend server."""

    request_id: str
    attempt: int
    waited_s: float


@event(7105)
class AttemptSettled(NamedTuple):
    """The attempt is over."""

    request_id: str
    attempt: int
    outcome: str
    refusal: str
    detail: str
    elapsed_s: float


@event(7106)
class ReservationVoided(NamedTuple):
    """A reservation was released, lapsed or voided; a late commit is refused."""

    request_id: str
    attempt: int
    reason: str


@event(7107, "warning")
class CancelUnconfirmed(NamedTuple):
    """The engine didn't confirm a cancellation; the blocks stay counted until the sweep."""

    stream_id: str


@event(7108, "warning")
class OrphanFreed(NamedTuple):
    """The sweep freed memory that had no owner."""

    stream_id: str
    kind: str
    blocks: int


@event(7109, "warning")
class EngineRestarted(NamedTuple):
    """The engine has a new incarnation with empty memory; the ledger starts anew."""

    engine_incarnation: str
    dropped_holds: int


@event(7110, "warning")
class EngineLost(NamedTuple):
    """The engine can't be reached."""

    detail: str


@event(7111)
class EngineFound(NamedTuple):
    """The engine answers."""

    engine_incarnation: str
    total_blocks: int
    models: str


@event(7112)
class LeavingBegan(NamedTuple):
    """The backend server leaves: new reservations are refused from now on."""

    reason: str


@event(7113, "warning")
class StopCutWork(NamedTuple):
    """The limit for stopping passed while attempts were still under way."""

    attempts: int


@event(7115)
class SegmentExported(NamedTuple):
    """A segment of a span is computed and its KV cache can be fetched."""

    request_id: str
    attempt: int
    tokens: int
    blocks: int


RESERVATIONS = counter("sassafrastally.sidecar.reservations", "{attempt}", "Reservations made.")
REFUSALS = counter(
    "sassafrastally.sidecar.refusals", "{attempt}", "Reservations and commits refused, by code."
)
SETTLED = counter("sassafrastally.sidecar.settled", "{attempt}", "Attempts settled, by outcome.")
HELD_BLOCKS = gauge(
    "sassafrastally.sidecar.held_blocks", "{block}", "KV-cache blocks held by the ledger."
)
ORPHANS = counter(
    "sassafrastally.sidecar.orphans_freed", "{stream}", "Streams and exports freed by the sweep."
)
