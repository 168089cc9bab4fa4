"""First come, first served: the plain scheduler that others are measured against."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.serving.cost import OnlineCostModel
from sassafrastally.serving.forecast import PrefillProgress, QueueSimulation, blocks_needed
from sassafrastally.serving.scheduling import SCHEDULERS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.control.bundle import Weights
    from sassafrastally.serving.scheduling import CostModel, EngineState, Prediction, Work


@SCHEDULERS.register("naive")
class NaiveScheduler:
    """Hands over the oldest work as soon as its blocks are free.

    Parameters
    ----------
    weights
        Not looked at; every scheduler is made with them.
    """

    def __init__(self, weights: Weights) -> None:
        self.cost: CostModel = OnlineCostModel()
        self._progress = PrefillProgress(_same_rank)

    def pick(self, waiting: Sequence[Work], state: EngineState) -> Work | None:
        """Return the oldest work if it fits, otherwise ``None``: nothing overtakes it."""
        if not waiting:
            return None
        oldest = min(waiting, key=_arrival)
        fits = blocks_needed(oldest, state.block_tokens) <= state.free_blocks
        return oldest if fits else None

    def engine_priority(self, work: Work, now_s: float) -> int:
        """Return the same priority for all."""
        return 0

    def predict(self, work: Work, waiting: Sequence[Work], state: EngineState) -> Prediction:
        """Return when new work would be served behind all that waits and runs."""
        remaining_s = self._progress.update(state, self.cost)
        simulation = QueueSimulation(state, remaining_s, self.cost, _same_rank)
        return simulation.predict(work, waiting, self.pick)


def _arrival(work: Work) -> tuple[float, str, int]:
    return work.arrived_s, work.request_id, work.attempt


def _same_rank(work: Work) -> float:
    return 0.0
