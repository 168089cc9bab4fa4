"""How many times slower than their figures engines work, as their own reports say.

The load that it answers: a sixth to a half of the engines turn two to five times slower for some
seconds. They answer, so nothing fails; but a prompt that is read in parts waits for its slowest
part, whoever answers it. Streams alone don't show an engine that only helps to read, and slow
events don't tell slowness from reading that nobody has told of yet. The engine's report tells both.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

USUAL_PACE = 1.0
"""An engine that works by its figures."""

SLOW_PACE = 1.3
"""From this on an engine counts as slow; less can't be told from the error of predictions."""

BELIEVED_S = 2.5
"""How long a report is believed: two may be lost."""


class _Seen(NamedTuple):
    pace: float
    at_s: float


class Paces:
    """The latest pace of each engine that this process has asked."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def note(self, life_id: str, pace: float, now_s: float) -> None:
        """Note the pace that a report says."""
        self._seen[life_id] = _Seen(pace, now_s)

    def slow(self, now_s: float) -> dict[str, float]:
        """Return the engines that are slow, with their pace."""
        return {
            life_id: seen.pace
            for life_id, seen in self._seen.items()
            if seen.pace >= SLOW_PACE and now_s - seen.at_s < BELIEVED_S
        }

    def forget_gone(self, known: set[str]) -> None:
        """Forget engines that no longer exist."""
        for life_id in self._seen.keys() - known:
            del self._seen[life_id]


def slowest(paces: Mapping[str, float], life_ids: Sequence[str]) -> float:
    """Return the pace of the slowest of some engines."""
    return max((paces.get(life_id, USUAL_PACE) for life_id in life_ids), default=USUAL_PACE)
