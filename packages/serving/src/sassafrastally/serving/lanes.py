"""Earliest-due-first scheduler with lanes by prompt length.

Lanes let short and long prompts share an engine. Each lane has an allowed delay: how much later
than on an idle engine the first token may come. The due time, which is the arrival plus the allowed
delay, orders both the queue and the prefills on the engine. Later arrivals get later due times, so
no work waits without bound.
"""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.serving.cost import OnlineCostModel
from sassafrastally.serving.forecast import (
    PrefillProgress,
    QueueSimulation,
    blocks_needed,
    service_s,
)
from sassafrastally.serving.scheduling import SCHEDULERS, Prediction

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.control.bundle import Weights
    from sassafrastally.serving.scheduling import CostModel, EngineState, Work

SHORT, MEDIUM, LARGE, LONG = range(4)

LANES = 4
"""Number of lanes; `LoadReport.first_token_s` has one value per lane."""

MAX_PREFILLS = (8, 4, 2, 1)
"""Maximum number of unfinished prefills of each lane on the engine. The engine computes one prefill
at a time, so more of them would only allocate memory earlier. The rest stays in this queue, where
it can be reordered and is proved not to have run."""

ALLOWED_DELAY_SHARES = (0.1, 0.3, 1.0)
"""Allowed delays of all lanes except the long one, as shares of the prefill time."""

EVEN_LONG_DELAY_SHARE = 0.5
"""Allowed delay of the long lane with equal weights, as a share of the prefill time."""

WEIGHT_RATIO_EXPONENT = 1.5
"""Exponent of the weight ratio by which the allowed delay of the long lane is divided."""

MAX_DELAY_SHARE = 8.0

PRIORITY_STEP = 0.5
PRIORITY_STEP_S = 0.5
"""Added to the due time per step of the customer's priority: a share of the prefill time, and a
fixed time."""

RESERVED_SHARE = 0.6
"""Share of the prefill time that is reserved for the lanes' guarantees; the rest is assigned by due
time."""

GUARANTEE_LEAD_S = 86_400.0
"""Subtracted from the rank of work within its lane's guarantee, which places it before all other
work."""

SHARE_HALF_LIFE_S = 20.0
"""Half-life of the served prefill time that counts towards a lane's share."""

SLACK_MARGIN = 0.1
"""Safety margin before the time limit, as a share of the expected run time."""

MAX_RANKS = 256
"""Number of stored ranks beyond which those of finished work are dropped."""

PRIORITY_STEPS_PER_S = 100
"""Resolution of the engine priority. Due times are rounded down to it, so that queue, engine and
prediction use the same order."""

FEATURES = ("aging", "slack", "shares", "long-bound", "backfill", "engine-priority")
"""Features of `LanesScheduler` that can be disabled by name."""


def lane_of(prompt_tokens: int, weights: Weights) -> int:
    """Return the lane of a prompt; 0 is the shortest."""
    if prompt_tokens <= weights.short_tokens:
        return SHORT
    if prompt_tokens >= weights.long_tokens:
        return LONG
    middle = (weights.short_tokens * weights.long_tokens) ** 0.5
    return MEDIUM if prompt_tokens <= middle else LARGE


def lane_probe_tokens(weights: Weights) -> tuple[int, ...]:
    """Return the representative prompt length of each lane for load reports."""
    middle = int((weights.short_tokens * weights.long_tokens) ** 0.5)
    return weights.short_tokens, middle, max(middle, weights.long_tokens - 1), weights.long_tokens


class _Need(NamedTuple):
    """Requirements of some work, constant during a prediction."""

    lane: int
    due_s: float
    blocks: int
    idle_prefill_s: float


class _Plan(NamedTuple):
    """Waiting work with its position in the picking order."""

    rank: float
    """Due time; one day earlier within the lane's guarantee."""
    arrived_s: float
    request_id: str
    need: _Need
    work: Work


class _ServedPrefill:
    """Recent prefill seconds of each lane, with exponential decay."""

    def __init__(self) -> None:
        self.seconds = [0.0] * LANES
        self._at_s = 0.0

    def add(self, lane: int, seconds: float, now_s: float) -> None:
        self.decay(now_s)
        self.seconds[lane] += seconds

    def decay(self, now_s: float) -> None:
        factor = 0.5 ** (max(0.0, now_s - self._at_s) / SHARE_HALF_LIFE_S)
        self.seconds = [value * factor for value in self.seconds]
        self._at_s = max(self._at_s, now_s)

    def has_room(self, lane: int, seconds: float, share: float) -> bool:
        """Return whether the lane stays within its share after the given additional seconds."""
        total = sum(self.seconds) + seconds
        return self.seconds[lane] + seconds <= share * total

    def copy(self) -> _ServedPrefill:
        other = _ServedPrefill()
        other.seconds = list(self.seconds)
        other._at_s = self._at_s
        return other


class _PickState(NamedTuple):
    """State that picking modifies; a prediction works on a copy."""

    served: _ServedPrefill
    ranks: dict[tuple[str, int], float]
    needs: dict[tuple[str, int], _Need]
    """Cache of requirements, which a prediction looks up at each of its steps."""


class LanesScheduler:
    """Schedules the earliest due work first, with delays, limits and shares per lane.

    Parameters
    ----------
    weights
        Weights of the deployment, which determine the lanes' allowed delays and shares.
    without
        Names out of `FEATURES` that are disabled, to measure the effect of each.
    """

    def __init__(self, weights: Weights, without: Sequence[str] = ()) -> None:
        self.cost: CostModel = OnlineCostModel()
        self._weights = weights
        self._without = frozenset(without)
        self._delay_share = _delay_shares(weights)
        self._guarantee = _guarantees(weights)
        self._served = _ServedPrefill()
        self._ranks: dict[tuple[str, int], float] = {}
        self._progress = PrefillProgress(self._rank)

    def pick(self, waiting: Sequence[Work], state: EngineState) -> Work | None:
        """Return the work to start on the engine now, or ``None`` to wait."""
        self._drop_stale_ranks(state)
        return self._pick(waiting, state, _PickState(self._served, self._ranks, {}))

    def engine_priority(self, work: Work, now_s: float) -> int:
        """Return the rank as an integer, so that the engine orders prefills like the queue."""
        return round(self._rank(work) * PRIORITY_STEPS_PER_S)

    def predict(self, work: Work, waiting: Sequence[Work], state: EngineState) -> Prediction:
        """Predict when new work would be served after the waiting and running work."""
        remaining_s = self._progress.update(state, self.cost)
        pick_state = _PickState(self._served.copy(), dict(self._ranks), {})
        simulation = QueueSimulation(
            state, remaining_s, self.cost, lambda item: self._rank_with(pick_state, item)
        )
        return simulation.predict(work, waiting, lambda q, s: self._pick(q, s, pick_state))

    def due_s(self, work: Work) -> float:
        """Return the time at which the first token of the work is due."""
        idle_prefill_s = service_s(work, self.cost)
        lane = lane_of(work.prompt_tokens, self._weights)
        run_s = idle_prefill_s + work.output_tokens * self.cost.token_s(1)
        latest_s = work.deadline_s - run_s * (1 + SLACK_MARGIN)
        due_s = work.arrived_s + idle_prefill_s * self._delay_share[lane]
        due_s += work.priority * (PRIORITY_STEP * idle_prefill_s + PRIORITY_STEP_S)
        if "aging" in self._without:
            due_s = latest_s
        elif "slack" not in self._without:
            due_s = min(due_s, latest_s)
        return math.floor(due_s * PRIORITY_STEPS_PER_S) / PRIORITY_STEPS_PER_S

    def _rank(self, work: Work) -> float:
        return self._rank_with(_PickState(self._served, self._ranks, {}), work)

    def _rank_with(self, pick_state: _PickState, work: Work) -> float:
        """Return the rank that the work got when it was picked; before that, its due time."""
        if "engine-priority" in self._without:
            return 0.0
        rank = pick_state.ranks.get((work.request_id, work.attempt))
        return self.due_s(work) if rank is None else rank

    def _drop_stale_ranks(self, state: EngineState) -> None:
        if len(self._ranks) > MAX_RANKS:
            present = {(run.work.request_id, run.work.attempt) for run in state.running}
            self._ranks = {key: rank for key, rank in self._ranks.items() if key in present}

    def _pick(
        self, waiting: Sequence[Work], state: EngineState, pick_state: _PickState
    ) -> Work | None:
        if not waiting:
            return None
        pick_state.served.decay(state.now_s)
        slots = self._free_slots(state)
        order = [
            self._plan(work, need, pick_state.served)
            for work in waiting
            if slots[(need := self._need(work, state, pick_state)).lane] > 0
        ]
        order.sort(key=lambda plan: plan[:3])
        chosen = self._choose(order, state)
        if chosen is None:
            return None
        work, need = chosen.work, chosen.need
        pick_state.served.add(need.lane, need.idle_prefill_s, state.now_s)
        pick_state.ranks[work.request_id, work.attempt] = chosen.rank
        return work

    def _need(self, work: Work, state: EngineState, pick_state: _PickState) -> _Need:
        key = work.request_id, work.attempt
        need = pick_state.needs.get(key)
        if need is None:
            need = pick_state.needs[key] = _Need(
                lane_of(work.prompt_tokens, self._weights),
                self.due_s(work),
                blocks_needed(work, state.block_tokens),
                service_s(work, self.cost),
            )
        return need

    def _plan(self, work: Work, need: _Need, served: _ServedPrefill) -> _Plan:
        rank = need.due_s
        guarantee = self._guarantee[need.lane]
        if "shares" not in self._without and served.has_room(
            need.lane, need.idle_prefill_s, guarantee
        ):
            rank -= GUARANTEE_LEAD_S
        return _Plan(rank, work.arrived_s, work.request_id, need, work)

    def _free_slots(self, state: EngineState) -> list[float]:
        """Return how many more prefills of each lane may run."""
        if "long-bound" in self._without:
            return [math.inf] * LANES
        slots: list[float] = list(MAX_PREFILLS)
        for run in state.running:
            if run.first_token_s is None:
                slots[lane_of(run.work.prompt_tokens, self._weights)] -= 1
        return slots

    def _choose(self, order: Sequence[_Plan], state: EngineState) -> _Plan | None:
        if not order:
            return None
        head = order[0]
        if head.need.blocks <= state.free_blocks:
            return head
        if head.rank <= state.now_s and "backfill" not in self._without:
            return self._backfill(head, order, state)
        return next((plan for plan in order if plan.need.blocks <= state.free_blocks), None)

    def _backfill(self, head: _Plan, order: Sequence[_Plan], state: EngineState) -> _Plan | None:
        """Return work that ends before the overdue work at the head can get its blocks.

        Without this limit, short work would take every block that becomes free, and there would
        never be enough free blocks for a long prompt.
        """
        free, open_s = state.free_blocks, 0.0
        pace_s = self.cost.token_s(len(state.running))
        ends = sorted(
            (
                max(0, run.work.output_tokens - run.shown_tokens) * pace_s
                + (service_s(run.work, self.cost) if run.first_token_s is None else 0.0),
                blocks_needed(run.work, state.block_tokens),
            )
            for run in state.running
        )
        for end_s, blocks in ends:
            if free >= head.need.blocks:
                break
            free, open_s = free + blocks, end_s
        for plan in order:
            run_s = plan.need.idle_prefill_s + plan.work.output_tokens * pace_s
            fits = plan.need.blocks <= state.free_blocks and run_s <= open_s
            if plan is not head and fits:
                return plan
        return None


SCHEDULERS.register("lanes")(LanesScheduler)
for _feature in FEATURES:
    SCHEDULERS.register(f"lanes-without-{_feature}")(partial(LanesScheduler, without=(_feature,)))


def _delay_shares(weights: Weights) -> tuple[float, ...]:
    """Return the allowed delay of each lane as a share of the prefill time."""
    ratio = max(1e-3, weights.long_first_token) / max(1e-3, weights.short_slowdown)
    return (
        *ALLOWED_DELAY_SHARES,
        min(MAX_DELAY_SHARE, EVEN_LONG_DELAY_SHARE / ratio**WEIGHT_RATIO_EXPONENT),
    )


def _guarantees(weights: Weights) -> tuple[float, ...]:
    """Return the share of the prefill time reserved for each lane."""
    short, long = weights.short_slowdown, weights.long_first_token
    parts = [short + (long - short) * lane / (LANES - 1) for lane in range(LANES)]
    total = sum(parts) or 1.0
    return tuple(RESERVED_SHARE * part / total for part in parts)
