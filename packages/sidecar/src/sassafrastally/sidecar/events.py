"""Log events and metrics of the sidecar."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.core import counter, event, gauge


@event(7101, "debug")
class AttemptReserved(NamedTuple):
    """Capacity was reserved for an attempt."""

    request_id: str
    attempt: int
    predicted_total_s: float


@event(7102)
class AttemptRefused(NamedTuple):
    """A reserve, commit or attach message was refused; it did not run the attempt and won't."""

    request_id: str
    attempt: int
    refusal: str
    limit: float
    measured: float
    detail: str


@event(7103, "debug")
class AttemptCommitted(NamedTuple):
    """A reservation was committed and the whole body was received."""

    request_id: str
    attempt: int


@event(7104, "debug")
class AttemptStarted(NamedTuple):
    """The attempt was sent to the backend server."""

    request_id: str
    attempt: int
    waited_s: float


@event(7105)
class AttemptSettled(NamedTuple):
    """The attempt has ended."""

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
    """The engine did not confirm a cancellation; its blocks stay held until the sweep."""

    stream_id: str


@event(7108, "warning")
class OrphanFreed(NamedTuple):
    """The sweep freed memory on the engine that had no owner."""

    stream_id: str
    kind: str
    blocks: int


@event(7109, "warning")
class EngineRestarted(NamedTuple):
    """The engine restarted with empty memory; the holds of the old incarnation are dropped."""

    engine_incarnation: str
    dropped_holds: int


@event(7110, "warning")
class EngineLost(NamedTuple):
    """The engine is unreachable."""

    detail: str


@event(7111)
class EngineFound(NamedTuple):
    """The engine is reachable."""

    engine_incarnation: str
    total_blocks: int
    models: str


@event(7112)
class LeavingBegan(NamedTuple):
    """The backend server is leaving; new reservations are refused from now on."""

    reason: str


@event(7113, "warning")
class StopCutWork(NamedTuple):
    """The stop time limit passed while attempts were still in flight; they are cancelled."""

    attempts: int


@event(7115)
class SegmentExported(NamedTuple):
    """A segment of a span was computed and its KV cache can be fetched."""

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
