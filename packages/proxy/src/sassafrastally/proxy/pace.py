"""Paces of engines: by what factor they are slower than their figures, from their own reports.

A sixth to a half of the engines can become two to five times slower for some seconds. They still
answer, so no request fails, but a prompt that is prefilled in parts waits for its slowest part.
Response streams alone don't reveal a slow engine that only helps with prefill, and slow events
don't distinguish a slow engine from prefill work that hasn't been reported yet. The engine's report
shows both.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

USUAL_PACE = 1.0
"""Pace of an engine that matches its published figures."""

SLOW_PACE = 1.3
"""Pace from which an engine counts as slow. Smaller values are within the prediction error."""

REPORT_VALID_S = 2.5
"""How long a report is valid, so that two lost reports are tolerated."""


class _PaceReport(NamedTuple):
    pace: float
    at_s: float


class PaceReports:
    """Latest pace of each engine that this process polls."""

    def __init__(self) -> None:
        self._reports: dict[str, _PaceReport] = {}

    def record(self, incarnation_id: str, pace: float, now_s: float) -> None:
        """Note the pace in a report."""
        self._reports[incarnation_id] = _PaceReport(pace, now_s)

    def slow(self, now_s: float) -> dict[str, float]:
        """Return the slow engines with their pace."""
        return {
            incarnation_id: report.pace
            for incarnation_id, report in self._reports.items()
            if report.pace >= SLOW_PACE and now_s - report.at_s < REPORT_VALID_S
        }

    def forget_gone(self, known: set[str]) -> None:
        """Forget engines that no longer exist."""
        for incarnation_id in self._reports.keys() - known:
            del self._reports[incarnation_id]


def slowest(paces: Mapping[str, float], incarnation_ids: Sequence[str]) -> float:
    """Return the pace of the slowest of these engines."""
    return max(
        (paces.get(incarnation_id, USUAL_PACE) for incarnation_id in incarnation_ids),
        default=USUAL_PACE,
    )
