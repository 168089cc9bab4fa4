"""What one entry may send a server that limits the requests of all entries together.

The load that it answers: a server in need takes one request a second, and seventy entries have work
for it. If each kept to the limit by itself, the server would get seventy times as many. If each
took a seventieth and sent when it likes, seventy single requests could still meet in one second. So
only a few entries share a server's limit: chosen by a hash of both names, alike at all entries that
know the same peers, without a message for a request. With many servers each entry has its own few.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.load import server_hash

if TYPE_CHECKING:
    from collections.abc import Collection

LEAST_PER_S = 0.5
"""Requests a second sent to a server that takes fewer: its answers alone show that it takes more
again, and callers are refused until they do."""

SENDERS = 3
SENDERS_PER_REQUEST = 1.5
"""Entries that share a limit: so many, and so many for each request a second of it. Each may have a
request to send at the same moment as all others, so that their number is the limit's overshoot."""


class _Window(NamedTuple):
    """A time over which requests are counted."""

    time_s: float
    least: int
    """Requests that always fit, however small the share."""


WINDOWS = (_Window(1.0, 2), _Window(4.0, 1))
"""The second keeps the limit, as servers count over some seconds; the first keeps an entry from
sending all of that at once."""

REMEMBERED_S = SENDERS / LEAST_PER_S
"""How long requests are remembered: the time between two of an entry with the smallest share."""


def own_share_per_s(
    life_id: str, most_per_s: float, own_host: str, others: Collection[str]
) -> float:
    """Return the requests a second that this entry may send a server; 0 if others share its limit.

    Parameters
    ----------
    life_id
        The server.
    most_per_s
        Requests a second that it takes from all entries together.
    own_host
        This entry.
    others
        All other entries that may send to it.
    """
    taken_per_s = max(LEAST_PER_S, most_per_s)
    senders = min(int(SENDERS + SENDERS_PER_REQUEST * taken_per_s), 1 + len(others))
    if senders <= len(others):
        own_rank = _rank(life_id, own_host)
        before = sum(1 for host in others if _rank(life_id, host) > own_rank)
        if before >= senders:
            return 0.0
    return taken_per_s / senders


def _rank(life_id: str, host: str) -> int:
    return server_hash(f"{host} {life_id}")


class SentRequests:
    """When this process sent requests to one server."""

    def __init__(self) -> None:
        self._at_s: deque[float] = deque()

    def note(self, now_s: float) -> None:
        """Note a request that is sent now."""
        self._forget_old(now_s)
        self._at_s.append(now_s)

    def count(self, now_s: float) -> int:
        """Return the requests that are remembered."""
        self._forget_old(now_s)
        return len(self._at_s)

    def room_in_s(self, share_per_s: float, now_s: float) -> float:
        """Return the time until one more fits into a share of the server's limit.

        Requests that were sent before the limit was known count too, since the server has got them.
        """
        if share_per_s <= 0:
            return math.inf
        room_s = 0.0
        for window in WINDOWS:
            most = max(window.least, math.ceil(share_per_s * window.time_s - 1e-9))
            if len(self._at_s) >= most:
                room_s = max(room_s, self._at_s[-most] + most / share_per_s - now_s)
        return room_s

    def _forget_old(self, now_s: float) -> None:
        while self._at_s and self._at_s[0] <= now_s - REMEMBERED_S:
            self._at_s.popleft()


class ReturnTimes:
    """When callers that were turned away are asked to come back, one after the other.

    The load that it answers: a hundred callers a second before servers that take ten. Asked to come
    back at the next moment with room they would all return at once, and nine of ten in vain.
    """

    def __init__(self) -> None:
        self._last_s: dict[str, float] = {}

    def next_s(
        self,
        service: str,
        first_room_s: float,
        room_per_s: float,
        time_left_s: float | None,
        now_s: float,
    ) -> float:
        """Return after how long the next caller finds room.

        Parameters
        ----------
        service
            The service that it asks for.
        first_room_s
            Time until a server takes a request again.
        room_per_s
            Requests a second that are taken from then on.
        time_left_s
            How long the caller waits for its answer. Room that comes later is named too, but not
            kept for a caller that will have left.
        now_s
            Present time.
        """
        last_s = self._last_s.get(service, -math.inf)
        at_s = max(now_s + first_room_s, last_s + 1 / room_per_s)
        if time_left_s is None or at_s - now_s < time_left_s:
            self._last_s[service] = at_s
        return at_s - now_s
