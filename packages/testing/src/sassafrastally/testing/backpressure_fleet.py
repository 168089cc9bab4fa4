"""Load on a fleet in small whose backend servers ask for fewer requests, and what they got."""

from __future__ import annotations

from bisect import bisect_left
from functools import partial
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.stand_ins.caller_requests import ReceivedResponse
    from sassafrastally.stand_ins.platform_fleet import PlatformFleet

WINDOW_S = 4.0
"""Time over which operators count a server's requests."""

TOLERANCE = 1.5
"""Times its limit that a server may get in a window, beside the extra requests."""

EXTRA_REQUESTS = 5

SETTLED_S = 3.0
"""Time after a server first names a limit from which on it must hold."""


def allowed(most_per_s: float) -> float:
    """Return how many requests a server with a limit may get in a window."""
    return TOLERANCE * most_per_s * WINDOW_S + EXTRA_REQUESTS


def most_in_window(call_times_s: Sequence[float], settled_s: float) -> int:
    """Return the most requests in a window that ends after a moment."""
    times = sorted(call_times_s)
    return max(
        (
            1 + place - bisect_left(times, end_s - WINDOW_S)
            for place, end_s in enumerate(times)
            if end_s >= settled_s
        ),
        default=0,
    )


async def offer(
    fleet: PlatformFleet,
    path: str,
    per_s: float,
    for_s: float,
    *,
    entries: int = 1,
    prompt: str | None = None,
) -> list[ReceivedResponse]:
    """Send requests at a steady rate, to the entries in turn; return all answers."""
    answers: list[ReceivedResponse] = []

    async def call(number: int) -> None:
        entry = 1 + number % entries
        answers.append(await fleet.call(f"{path}{number}", entry=entry, prompt=prompt))

    async with trio.open_nursery() as nursery:
        begin_s = trio.current_time()
        for number in range(int(per_s * for_s)):
            await trio.sleep_until(begin_s + number / per_s)
            nursery.start_soon(partial(call, number))
    return answers
