"""Tells whether a request of httpx may have been sent, and sends none past its time limit."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from sassafrastally.core import TimeLimit

SEND_STARTED_EVENT = "send_request_headers.started"
"""Suffix of the transport's trace event after which the request may have been sent."""


class SendTracker:
    """Tracks whether the transport has started to send a request, which it does in time only."""

    def __init__(self) -> None:
        self.may_have_been_sent = False

    def extensions(self, limit: TimeLimit) -> dict[str, Any]:
        """Return the extensions of a request that is sent within a limit."""
        return {"trace": partial(self._trace, limit)}

    async def _trace(self, limit: TimeLimit, event_name: str, _info: dict[str, Any]) -> None:
        if event_name.endswith(SEND_STARTED_EVENT):
            # Another call's connection may become free, or a new one open, while the limit acts.
            await limit.require_time()
            self.may_have_been_sent = True
