"""Which backend servers get no work for a while, by what their answers show.

The load that it answers: a server that answers its health check but fails, hangs or is slow. It
looks idle, so that a choice by load alone sends it ever more work.
"""

from __future__ import annotations

from typing import NamedTuple

FIRST_TIME_S = 1.0
"""How long a server is left alone after a first failure: longer than a restart of its connections,
short enough to find a crashed one that is back."""

LONGEST_TIME_S = 8.0
"""Longest time between two probes; the time doubles with each failure in a row."""

FAILURES_IN_A_ROW = 2
"""Failed answers in a row that make a server suspect. One alone is usual: plain services fail some
of their requests in good health."""


class _Record(NamedTuple):
    failures: int = 0
    for_s: float = 0.0
    until_s: float = float("-inf")


class Suspicion:
    """Failures by backend server."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def is_suspect(self, life_id: str, now_s: float) -> bool:
        """Return whether the server is to be left alone."""
        record = self._records.get(life_id)
        return record is not None and now_s < record.until_s

    def suspects(self, now_s: float) -> dict[str, float]:
        """Return the servers to be left alone, with the seconds left."""
        return {
            life_id: record.until_s - now_s
            for life_id, record in self._records.items()
            if now_s < record.until_s
        }

    def succeeded(self, life_id: str) -> None:
        """Note a good answer: all failures are forgotten."""
        self._records.pop(life_id, None)

    def failed(self, life_id: str, now_s: float, *, is_clear: bool) -> float:
        """Note a failure; return for how long the server is suspect, 0 if it isn't.

        Parameters
        ----------
        life_id
            The backend server.
        now_s
            Present time.
        is_clear
            Whether one failure is enough: nobody answers at its address.
        """
        record = self._records.get(life_id, _Record())
        failures = record.failures + 1
        if not is_clear and failures < FAILURES_IN_A_ROW:
            self._records[life_id] = record._replace(failures=failures)
            return 0.0
        for_s = min(LONGEST_TIME_S, max(FIRST_TIME_S, 2 * record.for_s))
        self._records[life_id] = _Record(failures, for_s, now_s + for_s)
        return for_s

    def forget_gone(self, known: set[str]) -> None:
        """Forget servers that no longer exist."""
        for life_id in self._records.keys() - known:
            del self._records[life_id]
