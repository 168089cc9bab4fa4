"""What engine and plain services have in common: the side of a run that touches the server."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from sassafrastally.serving.scheduling import Prediction
    from sassafrastally.sidecar.attempts import Attempt
    from sassafrastally.wire.messages import Reserve


class RunResult(NamedTuple):
    """What a run that came to its end mark says of itself."""

    status: int = 200
    """HTTP status."""
    content_type: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    finish_reason: str = ""


class Admitted(NamedTuple):
    """What a backend server promises to a reservation."""

    prediction: Prediction
    cached_tokens: int


class Backend(Protocol):
    """One engine or one plain service."""

    def admit(self, reserve: Reserve, now_s: float) -> Admitted:
        """Return the prediction for an attempt; raises `Refusal`."""
        ...

    def register(self, attempt: Attempt, admitted: Admitted) -> None:
        """Note a reservation that `admit` let in, before anything else is admitted."""
        ...

    async def run(self, attempt: Attempt) -> RunResult:
        """Wait for the attempt's turn and run it to its end mark.

        Sets `Attempt.has_started` just before the server is asked.

        Raises
        ------
        EngineUnavailable, EngineRefused
            The server took no part of it.
        EngineFailed
            It broke off or the server ended it without an end mark.
        """
        ...

    async def release(self, attempt: Attempt) -> None:
        """Free what the attempt holds on the server; called once on every way out of `run`."""
        ...
