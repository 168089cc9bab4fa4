"""Detection of CPU overload of an entry, and what the entry still accepts during it."""

from __future__ import annotations

from sassafrastally.core.late_limits import LAST_READ_S, last_read_s
from sassafrastally.proxy.cpu_overload.crowding import is_crowded
from sassafrastally.proxy.cpu_overload.lag_window import (
    MAX_LAG_S,
    TIMER_S,
    WINDOW_S,
    LagWindow,
)
from sassafrastally.proxy.cpu_overload.late_timeouts import (
    StepTimeout,
    due_after_delay_s,
    read_until,
    sleep_until_read,
    was_late,
)
from sassafrastally.proxy.cpu_overload.loop_pace import LoopPace, Turn
from sassafrastally.proxy.cpu_overload.stream_limit import StreamLimit, shed_retry_delay_s
from sassafrastally.proxy.cpu_overload.turn_timer import timed_turns

__all__ = [
    "LAST_READ_S",
    "MAX_LAG_S",
    "TIMER_S",
    "WINDOW_S",
    "LagWindow",
    "LoopPace",
    "StepTimeout",
    "StreamLimit",
    "Turn",
    "due_after_delay_s",
    "is_crowded",
    "last_read_s",
    "read_until",
    "shed_retry_delay_s",
    "sleep_until_read",
    "timed_turns",
    "was_late",
]
