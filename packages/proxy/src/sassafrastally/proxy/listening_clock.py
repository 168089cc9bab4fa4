"""Time by which peers are taken for dead, without the time in which this entry didn't run.

An entry that was paused finds that all its peers have timed out, although their datagrams lie in
its socket or come within the next interval. Without their state it would place the requests that
arrived meanwhile on servers that are busy with the peers', count the retry budget of all entries as
its own, request the reports of all engines and take over the watch of the store.
"""

from __future__ import annotations

import math

from sassafrastally.proxy.cpu_overload import MAX_LAG_S
from sassafrastally.proxy.load_exchange import MAX_SEND_INTERVAL_S

LATE_S = MAX_SEND_INTERVAL_S + MAX_LAG_S
"""Time without a run after which this entry was paused, or had no CPU time."""


class ListeningClock:
    """The clock of one entry; `note_running` is called each `MAX_SEND_INTERVAL_S` at least."""

    def __init__(self) -> None:
        self._ran_s = math.inf
        """When the entry last ran; infinite before its start."""
        self._resumed_s = -math.inf
        """When it last noticed a pause."""
        self._paused_s = 0.0
        """How long that pause was."""

    def note_running(self, now_s: float) -> None:
        """Record that this entry runs and reads its datagrams."""
        gap_s = now_s - self._ran_s
        if gap_s > LATE_S:
            self._resumed_s, self._paused_s = now_s, gap_s
        self._ran_s = now_s

    def listened_s(self, now_s: float) -> float:
        """Return the time up to which datagrams that were sent have been read.

        After a pause it stands still until each live peer has sent another datagram; it then is the
        present time again, at which peers that are dead time out.
        """
        if now_s - self._ran_s > LATE_S:
            return self._ran_s
        if now_s - self._resumed_s < LATE_S:
            return now_s - self._paused_s
        return now_s

    def latest_pause_s(self, now_s: float) -> float:
        """Return the length of the pause from which this entry has just resumed; 0 if from none."""
        if now_s - self._ran_s > LATE_S:
            return now_s - self._ran_s
        return self._paused_s if now_s - self._resumed_s < LATE_S else 0.0
