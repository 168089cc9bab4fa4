"""How replayed callers react to refusals."""

from __future__ import annotations

import random
from typing import NamedTuple

HASTY_RETRIES = 3
"""Retries of a caller that ignores Retry-After; any other caller retries once."""

HASTY_DELAY_S = 0.01
"""Time until a caller that ignores Retry-After is back: a round trip and a new connection."""


class Callers(NamedTuple):
    """Callers of a replay."""

    hasty_share: float = 0.0
    """Share of the callers that ignore Retry-After and retry at once."""

    def is_hasty(self, seed: int, number: int) -> bool:
        """Return whether a caller ignores Retry-After; drawn apart from the replay's own draws."""
        return random.Random(seed * 1_000_003 + number).random() < self.hasty_share

    def retries(self, *, is_hasty: bool) -> int:
        """Return how often a caller retries."""
        return HASTY_RETRIES if is_hasty else 1

    def delay_s(self, told_s: float, *, is_hasty: bool) -> float:
        """Return when a caller retries.

        Parameters
        ----------
        told_s
            Time that the refusal named.
        is_hasty
            Whether the caller ignores it.
        """
        return min(HASTY_DELAY_S, told_s) if is_hasty else told_s


PATIENT_CALLERS = Callers()
