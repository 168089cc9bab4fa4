"""Log of the store's documents that are rejected because they can't be decoded."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.log_events import DocumentRejected

if TYPE_CHECKING:
    from sassafrastally.core import Kernel

MAX_REMEMBERED = 4096
"""Maximum number of keys that are remembered as logged."""

MIN_INTERVAL_S = 60.0
"""Shortest time between two lines about one key. A server whose registration is rejected writes it
again with each heartbeat, and another writer may change a document at any rate."""


class _Logged(NamedTuple):
    reason: str
    logged_s: float


class RejectedDocumentLog:
    """Logs a rejected document when it is first found and when the reason has changed."""

    def __init__(self) -> None:
        self._logged: dict[str, _Logged] = {}

    def record(self, kernel: Kernel, event: DocumentRejected) -> None:
        """Log the rejection of a document, unless a line about its key is recent or the same."""
        now_s = kernel.clock.now_s()
        last = self._logged.get(event.key)
        if last is not None:
            if last.reason == event.problem or now_s - last.logged_s < MIN_INTERVAL_S:
                return
            del self._logged[event.key]
        self._logged[event.key] = _Logged(event.problem, now_s)
        if len(self._logged) > MAX_REMEMBERED:
            del self._logged[next(iter(self._logged))]
        kernel.events.emit(event)
