"""Engines, prompts and routes by which placement is tested."""

from __future__ import annotations

import random

from sassafrastally.core import Address
from sassafrastally.proxy.lanes import PlacementRandomizer, ServerView
from sassafrastally.proxy.load import Work
from sassafrastally.proxy.model import (
    BackendServer,
    EngineProfile,
    PromptSize,
    Route,
    RouteKind,
    ServiceShare,
)
from sassafrastally.proxy.prefill_limits import PrefillLimits

PROFILE = EngineProfile(
    slots=8,
    memory_tokens=405_000,
    step_ms=1.31,
    per_request_ms=0.0018,
    context_ms_per_k=0.00213,
    prefill_tokens_per_ms=154.0,
    attention_ms_per_million_pairs=0.162,
    chunk_tokens=2048,
    steps_per_pass=34,
    distributed_step_overhead_ms=0.1,
)

ALONE = PlacementRandomizer(random.Random(1))
"""An entry that sees all requests."""

LIMITS = PrefillLimits(
    strict_pause_ms=250.0,
    max_short_part_ms=60.0,
    min_long_part_ms=40.0,
    short_pauses_ms=(170.0, 260.0),
    long_pauses_ms=(450.0, 900.0),
    longest_goal_s=3.0,
)
"""Limits of routes that allow pauses of 250, 600 and 1,000 ms."""

SHORT = PromptSize(5000, 1300)
LONG = PromptSize(182_000, 650)


def server(number: int) -> BackendServer:
    """Return an engine."""
    return BackendServer(f"e{number}", "engines", Address("10.0.0.1", number), "here", 8, False)


def views(works: list[Work]) -> list[ServerView]:
    """Return engines with this work, in the shared order."""
    return [ServerView(server(number), work) for number, work in enumerate(works)]


def route(pause_goal_s: float) -> Route:
    """Return a route of streams."""
    shares = (ServiceShare("engines", 1.0),)
    return Route(
        "r", "h", "/", RouteKind.STREAM, shares, 10.0, 3.0, pause_goal_s, 1, 2, False, True
    )
