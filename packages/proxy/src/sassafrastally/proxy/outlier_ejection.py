"""Outlier ejection: backend servers that get no requests for a while after failures.

A server can pass its health check and still fail requests, hang or be slow. It looks idle, so
placement by load alone would send it more and more requests.
"""

from __future__ import annotations

from typing import NamedTuple

FIRST_EJECTION_S = 1.0
"""First ejection time of a server: longer than reconnecting takes, and short enough to notice soon
that a crashed server is back."""

MAX_EJECTION_S = 8.0
"""Longest ejection time; the time doubles with each consecutive failure."""

MAX_CONSECUTIVE_FAILURES = 2
"""Consecutive failed answers from which a server is suspect. A single failure is normal: healthy
servers of plain services fail some of their requests."""


class _Record(NamedTuple):
    failures: int = 0
    for_s: float = 0.0
    until_s: float = float("-inf")


class OutlierEjection:
    """Consecutive failures and ejection times by backend server."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def is_suspect(self, incarnation_id: str, now_s: float) -> bool:
        """Return whether the server is ejected."""
        record = self._records.get(incarnation_id)
        return record is not None and now_s < record.until_s

    def suspects(self, now_s: float) -> dict[str, float]:
        """Return the ejected servers with the remaining time in seconds."""
        return {
            incarnation_id: record.until_s - now_s
            for incarnation_id, record in self._records.items()
            if now_s < record.until_s
        }

    def record_success(self, incarnation_id: str) -> None:
        """Note a successful answer, which clears the failures."""
        self._records.pop(incarnation_id, None)

    def record_failure(self, incarnation_id: str, now_s: float, *, is_conclusive: bool) -> float:
        """Note a failure; return how long the server is ejected, 0 if it isn't.

        Parameters
        ----------
        incarnation_id
            The backend server.
        now_s
            Present time.
        is_conclusive
            Whether a single failure is sufficient, as when nothing listens at its address.
        """
        record = self._records.get(incarnation_id, _Record())
        failures = record.failures + 1
        if not is_conclusive and failures < MAX_CONSECUTIVE_FAILURES:
            self._records[incarnation_id] = record._replace(failures=failures)
            return 0.0
        for_s = min(MAX_EJECTION_S, max(FIRST_EJECTION_S, 2 * record.for_s))
        self._records[incarnation_id] = _Record(failures, for_s, now_s + for_s)
        return for_s

    def forget_gone(self, known: set[str]) -> None:
        """Forget servers that no longer exist."""
        for incarnation_id in self._records.keys() - known:
            del self._records[incarnation_id]
