"""Responses of engines to a streaming request that aren't a success."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.proxy.answer import AttemptUnknown
from sassafrastally.proxy.buffered_response import BufferedResponse
from sassafrastally.proxy.failover_decision import Received, must_forward_failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.proxy.answer import Answer
    from sassafrastally.proxy.attempt_records import AttemptRecords
    from sassafrastally.proxy.open_attempt import OpenAttempt
    from sassafrastally.proxy.overlapping_attempts import OverlappingAttempts, Start
    from sassafrastally.proxy.reply import Reply

SERVER_ERROR_STATUS = 500
"""Lowest HTTP status that means that the backend server failed."""


class EngineFailures:
    """Keeps what engines have answered instead of a stream while another attempt may do better.

    Parameters
    ----------
    reply
        The response to the caller.
    attempts, records
        All attempts of the request, and what is recorded about them.
    claims_successor
        Chooses and charges another attempt; returns whether one follows.
    """

    def __init__(
        self,
        reply: Reply,
        attempts: OverlappingAttempts[Start],
        records: AttemptRecords,
        claims_successor: Callable[[], bool],
    ) -> None:
        self._reply = reply
        self._has_others = attempts.has_others
        self._receive = attempts.receive
        self._records = records
        self._claims_successor = claims_successor
        self._kept: BufferedResponse | None = None

    def close(self) -> None:
        """Drop the references to their user after the last attempt, as `OverlappingAttempts`."""
        del self._has_others, self._receive, self._claims_successor

    def has_kept(self) -> bool:
        """Return whether a failure is kept that may be forwarded."""
        return self.kept is not None

    @property
    def kept(self) -> BufferedResponse | None:
        """The failure that is forwarded unless another attempt succeeds."""
        return self._kept if self._reply.can_complete else None

    @property
    def is_rejected(self) -> bool:
        """Whether no other attempt begins, since an engine has rejected the request."""
        return self.kept is not None and self.kept.status < SERVER_ERROR_STATUS

    def must_forward(self, now_s: float, caller_leaves_s: float) -> bool:
        """Return whether a failure is forwarded now although silent servers may go on."""
        return self.kept is not None and must_forward_failure(now_s, caller_leaves_s)

    async def receive(self, attempt: OpenAttempt, answer: Answer) -> bool:
        """Read and keep a failure; return whether it goes to the caller now.

        Raises
        ------
        AttemptUnknown
            If it is a failure of the engine, and another attempt is open or follows.
        """
        with attempt.wait.awaited():
            body = await answer.read()
        status, server = answer.status, attempt.server
        detail = f"the engine responded with status {status}"
        is_failure = status >= SERVER_ERROR_STATUS
        self._kept = BufferedResponse(
            status, answer.headers, body, server.server_id, answer.framing
        )
        if is_failure:
            if self._has_others(attempt) or self._claims_successor():
                raise AttemptUnknown(detail)
            if self._reply.has_begun:
                raise AttemptUnknown(f"{detail} to a resumed stream")
        elif self._reply.has_begun or self._has_others(attempt):
            # The engine is sound, and may be the only one that rejects the request.
            self._records.outcome(server, is_failure=False)
            self._records.rejected(attempt, detail)
            return False
        await self._receive(attempt, Received.RESPONSE)
        self._records.outcome(server, is_failure=is_failure)
        return True
