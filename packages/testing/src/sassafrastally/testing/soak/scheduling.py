"""How entries were scheduled, as the operating system counts it; evidence of lost CPU time."""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from itertools import pairwise
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from sassafrastally.testing.soak.entry_process import EntryProcess

LOOK_S = 0.05

KEPT = 1_200
"""Looks at an entry that are kept; attempts are judged long before."""


class Look(NamedTuple):
    """What the operating system says of an entry's first thread, which runs its event loop."""

    at_s: float
    life: int
    """Number of the entry's processes that had ended."""
    state: str
    """A letter: R runs or is ready to, S sleeps, D waits for a device, T is stopped."""
    ran_s: float
    waited_s: float
    """Time in which it was ready to run without a processor, since its start."""


class Scheduling:
    """Looks at all entries at short intervals."""

    def __init__(self) -> None:
        self._looks: dict[int, deque[Look]] = defaultdict(lambda: deque(maxlen=KEPT))

    async def watch(self, entries: dict[int, EntryProcess]) -> None:
        """Look at entries until cancelled."""
        while True:
            for number, entry in entries.items():
                times = entry.scheduling()
                if times is not None:
                    self.note(number, Look(trio.current_time(), entry.ends, *times))
            await trio.sleep(LOOK_S)

    def note(self, entry: int, look: Look) -> None:
        """Note a look at an entry, later than the ones before."""
        self._looks[entry].append(look)

    def waited_s(self, entry: int, begin_s: float, end_s: float) -> float:
        """Return how long an entry was ready to run without a processor within a time.

        A wait is known when it ends; what lies before the time isn't counted.
        """
        looks = list(self._looks[entry])
        waited_s = 0.0
        for before, look in pairwise(looks):
            if look.life == before.life and look.at_s >= begin_s and before.at_s <= end_s:
                wait_s = look.waited_s - before.waited_s
                begun_s = max(look.at_s - wait_s, begin_s)
                waited_s += max(0.0, min(wait_s, min(look.at_s, end_s) - begun_s))
        return waited_s

    def describe(self, entry: int, begin_s: float, end_s: float) -> str:
        """Return what was seen of an entry in a time."""
        looks = [look for look in self._looks[entry] if begin_s <= look.at_s <= end_s]
        if not looks:
            return "no look at the entry"
        states = Counter(look.state for look in looks)
        ran_s = looks[-1].ran_s - looks[0].ran_s
        seen = ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
        return (
            f"entry's states {seen}, ran {ran_s:.3f} s, ready without a processor "
            f"{self.waited_s(entry, begin_s, end_s):.3f} s"
        )


def describe_lags(
    scheduling: Scheduling, own_lag_s: float, entry: int, begin_s: float, end_s: float
) -> str:
    """Return how an entry, and the soak itself, were scheduled in a time."""
    seen = scheduling.describe(entry, begin_s, end_s)
    return f"{seen}; the soak itself ran late by {own_lag_s:.3f} s"
