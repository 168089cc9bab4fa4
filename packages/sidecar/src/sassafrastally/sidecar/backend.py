"""Common interface of the model engine and plain services for running attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from sassafrastally.serving.scheduling import Prediction
    from sassafrastally.sidecar.attempts import Attempt
    from sassafrastally.wire.messages import Reserve


class RunResult(NamedTuple):
    """Result of a run that reached its end mark."""

    status: int = 200
    """HTTP status."""
    content_type: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    finish_reason: str = ""


class Admitted(NamedTuple):
    """Prediction and cache estimate for an admitted attempt."""

    prediction: Prediction
    cached_tokens: int


class Backend(Protocol):
    """One engine or one plain service."""

    def admit(self, reserve: Reserve, now_s: float) -> Admitted:
        """Return the prediction for an attempt; raises `Refusal`."""
        ...

    def register(self, attempt: Attempt, admitted: Admitted) -> None:
        """Record a reservation that `admit` accepted, before anything else is admitted."""
        ...

    async def run(self, attempt: Attempt) -> RunResult:
        """Wait for the attempt's turn and run it to its end mark.

        Sets `Attempt.has_started` just before the request is sent to the server.

        Raises
        ------
        EngineUnavailable, EngineRefused
            The server did not process any of it.
        EngineFailed
            The run was interrupted, or the server ended it without an end mark.
        """
        ...

    async def release(self, attempt: Attempt) -> None:
        """Free the attempt's resources on the server; called once, however `run` ends."""
        ...
