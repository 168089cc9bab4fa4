"""Bounds the lines of a recurring log event; those in between are summed up."""

from __future__ import annotations

LINE_INTERVAL_S = 5.0
"""Shortest time between two lines of an event with the same key."""

MAX_KEYS = 1024
"""Maximum number of keys that are remembered; the one logged longest ago is forgotten first."""


class LogRate:
    """Decides when a recurring event is logged: the first time at once, then summed up.

    What has happened since the last line is logged when it happens again after the interval.

    Parameters
    ----------
    interval_s
        Shortest time between two lines with the same key.
    """

    def __init__(self, interval_s: float = LINE_INTERVAL_S) -> None:
        self._interval_s = interval_s
        self._logged_s: dict[object, float] = {}
        self._unlogged: dict[object, int] = {}

    def count(self, key: object, now_s: float) -> int:
        """Count an event; return how many to log now, 0 if none.

        Parameters
        ----------
        key
            What the line is about.
        now_s
            Present time on a monotonic clock.
        """
        unlogged = self._unlogged.get(key, 0) + 1
        logged_s = self._logged_s.get(key)
        if logged_s is not None and now_s - logged_s < self._interval_s:
            self._unlogged[key] = unlogged
            return 0
        self._logged_s.pop(key, None)
        self._logged_s[key] = now_s
        self._unlogged[key] = 0
        if len(self._logged_s) > MAX_KEYS:
            forgotten = next(iter(self._logged_s))
            del self._logged_s[forgotten], self._unlogged[forgotten]
        return unlogged
