"""Engines that fail at once in a load replay, and when entries know of it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

NEWS_S = 0.1
"""Time after a failed attempt until all entries avoid the engine."""

REPORT_INTERVAL_S = 1.0
"""Time after which a failed engine is avoided although no request has met it: an entry asks each
engine for a report from time to time, and gives up after 0.4 s."""


class Failure(NamedTuple):
    """Time in which some engines reject all connections."""

    from_s: float
    until_s: float
    engines: frozenset[str]
    """Their incarnations."""


class EngineFailures:
    """Failures of engines, and what entries know of them.

    Requests that run when an engine begins to fail are answered; new attempts fail at once, also
    those for which it is a helper. An attempt shows one failed engine only.

    Parameters
    ----------
    failures
        The failures; each engine is in one at a time.
    """

    def __init__(self, failures: Iterable[Failure] = ()) -> None:
        self._failures = tuple(failures)
        self._known_s: dict[tuple[str, float], float] = {}

    def is_avoided(self, engine: str, now_s: float) -> bool:
        """Return whether entries know that an engine fails."""
        failure = self._current(engine, now_s)
        if failure is None:
            return False
        reported_s = failure.from_s + REPORT_INTERVAL_S
        return now_s >= min(reported_s, self._known_s.get((engine, failure.from_s), reported_s))

    def meets_failure(self, engines: Sequence[str], now_s: float) -> bool:
        """Return whether an attempt at these engines fails; entries then learn of the first one."""
        for engine in engines:
            failure = self._current(engine, now_s)
            if failure is not None:
                self._known_s.setdefault((engine, failure.from_s), now_s + NEWS_S)
                return True
        return False

    def _current(self, engine: str, now_s: float) -> Failure | None:
        for failure in self._failures:
            if failure.from_s <= now_s < failure.until_s and engine in failure.engines:
                return failure
        return None
