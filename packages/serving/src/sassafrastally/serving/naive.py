"""First-come, first-served scheduler, the baseline for other schedulers."""

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
    """Starts the oldest work as soon as enough blocks are free.

    Parameters
    ----------
    weights
        Unused; part of the common constructor signature of schedulers.
    """

    def __init__(self, weights: Weights) -> None:
        self.cost: CostModel = OnlineCostModel()
        self._progress = PrefillProgress(_constant_rank)

    def pick(self, waiting: Sequence[Work], state: EngineState) -> Work | None:
        """Return the oldest work if it fits, otherwise ``None``; no other work overtakes it."""
        if not waiting:
            return None
        oldest = min(waiting, key=_arrival)
        fits = blocks_needed(oldest, state.block_tokens) <= state.free_blocks
        return oldest if fits else None

    def engine_priority(self, work: Work, now_s: float) -> int:
        """Return the same priority for all work."""
        return 0

    def predict(self, work: Work, waiting: Sequence[Work], state: EngineState) -> Prediction:
        """Predict when new work would be served after all waiting and running work."""
        remaining_s = self._progress.update(state, self.cost)
        simulation = QueueSimulation(state, remaining_s, self.cost, _constant_rank)
        return simulation.predict(work, waiting, self.pick)


def _arrival(work: Work) -> tuple[float, str, int]:
    return work.arrived_s, work.request_id, work.attempt


def _constant_rank(work: Work) -> float:
    return 0.0
