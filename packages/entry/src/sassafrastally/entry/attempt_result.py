"""How an attempt at a request ended."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from sassafrastally.serving.claims import Placement
    from sassafrastally.wire.messages import End, Refused


class Completed(NamedTuple):
    """The complete answer arrived, confirmed by its end mark."""

    end: End


class Rejected(NamedTuple):
    """The attempt is proved not to have run and never to run."""

    refused: Refused


class Unreachable(NamedTuple):
    """The sidecar wasn't reached, or its link was lost before the commit."""

    cause: str


class Failed(NamedTuple):
    """The attempt ran without a complete answer, or how it ended is unknown."""

    end: End
    is_adopted: bool = False
    """Whether the run belongs to another request with the same key."""


class ContactLost(NamedTuple):
    """The link was lost after the commit, or the answer violated the protocol."""

    cause: str
    is_protocol_error: bool = False
    """Whether the answer violated the protocol."""


class IncarnationGone(NamedTuple):
    """The incarnation that held the attempt is gone, so its outcome can't be determined."""

    vm: str


class KeyOwnedElsewhere(NamedTuple):
    """Another placement owns the idempotency key; the reservation of this attempt is released."""

    owner: Placement


class TakenElsewhere(NamedTuple):
    """Another sidecar took the request while the reservation of this attempt was late."""

    is_complete: bool
    """Whether the other sidecar gave the complete answer."""


AttemptResult: TypeAlias = (
    Completed
    | Rejected
    | Unreachable
    | Failed
    | ContactLost
    | IncarnationGone
    | KeyOwnedElsewhere
    | TakenElsewhere
)
