"""Decides which troubles a soak brings, and when, by its seed alone."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence


class PlannedTrouble(NamedTuple):
    """A trouble of a soak."""

    at_s: float
    """Time from the begin of the soak."""
    name: str


def plan_troubles(
    seed: int, seconds: float, kinds: Sequence[str], gap_s: float
) -> list[PlannedTrouble]:
    """Return the troubles of a soak, in order.

    Each kind comes once in a round, so that a long soak brings all of them.

    Parameters
    ----------
    seed
        Decides all of it. Callers draw from a source of their own, in an order that varies.
    seconds
        How long troubles are brought.
    kinds
        Names of the troubles; one that is named twice comes twice in a round.
    gap_s
        Mean time between two troubles.
    """
    random_source = Random(f"troubles {seed}")
    planned: list[PlannedTrouble] = []
    at_s = random_source.expovariate(1 / gap_s)
    while at_s < seconds:
        position = len(planned) % len(kinds)
        if position == 0:
            round_kinds = random_source.sample(kinds, len(kinds))
        planned.append(PlannedTrouble(at_s, round_kinds[position]))
        at_s += random_source.expovariate(1 / gap_s)
    return planned
