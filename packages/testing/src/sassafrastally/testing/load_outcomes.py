"""How replayed requests ended, and what their answers are worth."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

# At run time too: it is a field of a named tuple.
from sassafrastally.testing.load_arrivals import Arrival

if TYPE_CHECKING:
    from collections.abc import Sequence


class Outcome(NamedTuple):
    """How a request ended."""

    arrival: Arrival
    predicted_s: float | None
    """Time to the first event that was predicted at the last attempt; ``None`` without one."""
    first_s: float | None
    """Time from the first arrival to the first event; ``None`` when it was never answered."""
    longest_pause_s: float
    is_whole: bool
    refusals: int
    waited_s: float = 0.0
    """Time that it waited for room at entries."""

    @property
    def is_timely(self) -> bool:
        """Whether its caller had a whole answer in time and without a long pause."""
        kind = self.arrival.kind
        return (
            self.is_whole
            and self.first_s is not None
            and self.first_s <= kind.goal_s
            and self.longest_pause_s <= kind.pause_goal_s
        )

    @property
    def value(self) -> float:
        """What the answer is worth."""
        if not self.is_whole:
            return 0.0
        return self.arrival.kind.value if self.is_timely else self.arrival.kind.late_value


def share_of_value(outcomes: Sequence[Outcome], kind: str = "") -> float:
    """Return the share of what all answers could be worth, of one kind or of all."""
    chosen = [one for one in outcomes if kind in ("", one.arrival.kind.name)]
    most = sum(one.arrival.kind.value for one in chosen)
    return sum(one.value for one in chosen) / most if most else 1.0
