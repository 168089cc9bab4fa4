"""How long answers wait for further data before a send, by how busy the process is."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

LOOK_INTERVAL_S = 0.1
"""Time between two looks at the processor time used."""

EASY_SHARE = 0.5
"""Up to this share of a core data leaves at once."""

FULL_SHARE = 0.9
"""From this share on the pause is the longest."""

SMOOTHING = 0.5
"""Weight of the newest look."""


class Pace:
    """Pause before sends that grows with the process's load.

    A send costs the entry about as much as two tokens do. When it is busy, tokens queue up in the
    links before it, where they can't be joined any more; a pause before the send lets them come
    together, so that fewer and larger sends remain. An entry with time to spare sends at once.

    Parameters
    ----------
    max_linger_s
        Longest pause; 0 never pauses.
    processor_s
        Processor time that this thread has used, in seconds.
    """

    def __init__(
        self, max_linger_s: float, processor_s: Callable[[], float] = time.thread_time
    ) -> None:
        self.linger_s = 0.0
        """Pause at present."""
        self._max_linger_s = max_linger_s
        self._processor_s = processor_s
        self._busy_share = 0.0

    async def follow(self) -> None:
        """Keep the pause up to date until cancelled."""
        if not self._max_linger_s:
            return
        last_s, last_used_s = trio.current_time(), self._processor_s()
        while True:
            await trio.sleep(LOOK_INTERVAL_S)
            now_s, used_s = trio.current_time(), self._processor_s()
            self._look((used_s - last_used_s) / (now_s - last_s))
            last_s, last_used_s = now_s, used_s

    def _look(self, share: float) -> None:
        self._busy_share += SMOOTHING * (share - self._busy_share)
        over = (self._busy_share - EASY_SHARE) / (FULL_SHARE - EASY_SHARE)
        self.linger_s = self._max_linger_s * max(0.0, min(1.0, over))
