"""Placement of short prompts: which engine answers them.

Handles bursts of 50 to 150 short prompts per second over several entries that learn of each other's
placements with a delay, next to engines that prefill long prompts.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sassafrastally.proxy.engine_time import MAX_HELPERS, prefill_ms
from sassafrastally.proxy.lanes import SHORT_FILL
from sassafrastally.proxy.load import Lane
from sassafrastally.proxy.plan import (
    SAFE_GOAL_SHARE,
    Holding,
    first_event_ms,
    has_room,
    make_placement,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.proxy.lanes import Lanes, PlacementRandomizer, ServerView
    from sassafrastally.proxy.model import EngineProfile, PromptSize
    from sassafrastally.proxy.plan import Placement
    from sassafrastally.proxy.prefill_limits import PrefillLimits

WINDOW_PER_UNSEEN_REQUEST = 4.0
"""Number of engines to draw from, per short request that other entries are estimated to have placed
since their latest reports."""


def place_short(
    lanes: Lanes,
    prompt: PromptSize,
    goal_s: float,
    profile: EngineProfile,
    limits: PrefillLimits,
    randomizer: PlacementRandomizer,
) -> Placement | None:
    """Return the placement of a short prompt; ``None`` when no engine has room.

    Engines are filled one after the other from the end of the order, as long as they have few
    requests and a small prefill backlog. The long lane starts at the other end, so that it grows
    into engines without short requests.

    When the mix changes from long to short prompts, the engines added to the short lane still
    prefill long prompts. An engine of the long lane without a prefill backlog is then preferred.
    """
    own_ms = prefill_ms(profile, prompt.prompt_tokens)
    fitting = [view for view in reversed(lanes.short) if has_room(view, prompt, profile)]
    ranked = _ranked_with_random_start(fitting, profile, limits, randomizer)
    latest_ms = SAFE_GOAL_SHARE * goal_s * 1000 - own_ms
    if not ranked or first_event_ms(ranked[0], 0.0, profile) > latest_ms:
        fitting += [view for view in reversed(lanes.long) if has_room(view, prompt, profile)]
        ranked = sorted(
            fitting, key=lambda view: (first_event_ms(view, 0.0, profile), view.is_cold)
        )
    if not ranked:
        return None
    helpers = [view for view in ranked[1:] if not view.is_limited]
    group_size = min(math.ceil(own_ms / limits.max_short_part_ms), MAX_HELPERS + 1)
    group = [ranked[0], *helpers[: max(0, group_size - 1)]]
    holdings = (Holding(group[0].server, prompt.prompt_tokens + prompt.output_tokens),)
    return make_placement(group, holdings, Lane.SHORT, own_ms / len(group), profile)


def _ranked_with_random_start(
    fitting: Sequence[ServerView],
    profile: EngineProfile,
    limits: PrefillLimits,
    randomizer: PlacementRandomizer,
) -> list[ServerView]:
    """Return the engines in the order of preference, the first of them randomized.

    Engines that aren't busy come first. Among the first ones, the order is drawn by the power of
    two choices: of two random engines the one with fewer requests is next.
    """
    ranked = sorted(fitting, key=lambda view: _short_rank(view, profile, limits))
    if not ranked:
        return []
    unreported_requests = randomizer.unreported_requests(
        sum(view.work.short_requests for view in fitting)
    )
    latest_ms = first_event_ms(ranked[0], 0.0, profile) + limits.max_short_part_ms
    width = 1 + math.ceil(WINDOW_PER_UNSEEN_REQUEST * unreported_requests)
    window = [view for view in ranked[:width] if first_event_ms(view, 0.0, profile) <= latest_ms]
    in_window = {id(view) for view in window}
    rest = [view for view in ranked if id(view) not in in_window]
    randomized = []
    while window:
        pair = randomizer.random.sample(window, min(2, len(window)))
        best = min(pair, key=lambda view: (view.work.requests, view.is_cold))
        window.remove(best)
        randomized.append(best)
    return randomized + rest


def _short_rank(
    view: ServerView, profile: EngineProfile, limits: PrefillLimits
) -> tuple[bool, float, bool]:
    """Return the sort key of an engine: if busy, by the time to the first event; then warm ones."""
    is_full = view.work.requests >= SHORT_FILL * profile.slots
    is_busy = is_full or view.work.prefill_ms > limits.max_short_part_ms
    return is_busy, first_event_ms(view, 0.0, profile) if is_busy else 0.0, view.is_cold
