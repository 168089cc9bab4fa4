"""Share of one entry in a server's rate limit, which applies to all entries together.

An overloaded server may accept one request per second while seventy entries have work for it. If
each entry applied the limit by itself, the server would get seventy times as many requests. If each
entry took a seventieth, seventy single requests could still arrive within one second. Therefore
only a few entries share a server's limit. They are chosen by a hash of the server and the entry, so
that all entries with the same peers agree without any message per request. With many servers, each
entry shares the limits of some of them.
"""

from __future__ import annotations

import math
from bisect import insort
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.load import server_hash

if TYPE_CHECKING:
    from collections.abc import Collection

MIN_LIMIT_PER_S = 0.5
"""Lowest rate of requests to a limited server. Only its answers show when the limit has risen, and
until then callers are rejected."""

BASE_SENDERS = 3
SENDERS_PER_REQUEST = 1.5
"""Number of entries that share a limit: a base, plus this many per request per second of the limit.
All of them can send a request at the same moment, so their number bounds the overshoot."""


class _Window(NamedTuple):
    """A window over which requests are counted."""

    time_s: float
    min_requests: int
    """Requests that are always allowed, however small the share."""


WINDOWS = (_Window(1.0, 2), _Window(4.0, 1))
"""The long window enforces the limit, as servers count over some seconds. The short one prevents an
entry from sending the requests of the long one in a single burst."""

SENT_HISTORY_S = BASE_SENDERS / MIN_LIMIT_PER_S
"""How long sent requests are kept: the interval between two requests at the smallest share."""


def own_share_per_s(
    incarnation_id: str, most_per_s: float, own_host: str, others: Collection[str]
) -> float:
    """Return this entry's request rate to a server; 0 if other entries share the limit.

    Parameters
    ----------
    incarnation_id
        The server.
    most_per_s
        Requests per second that it accepts from all entries together.
    own_host
        This entry.
    others
        All other entries that can send to it.
    """
    accepted_per_s = max(MIN_LIMIT_PER_S, most_per_s)
    senders = min(int(BASE_SENDERS + SENDERS_PER_REQUEST * accepted_per_s), 1 + len(others))
    if senders <= len(others):
        own_rank = _rank(incarnation_id, own_host)
        before = sum(1 for host in others if _rank(incarnation_id, host) > own_rank)
        if before >= senders:
            return 0.0
    return accepted_per_s / senders


def _rank(incarnation_id: str, host: str) -> int:
    return server_hash(f"{host} {incarnation_id}")


def _max_requests(window: _Window, share_per_s: float) -> int:
    return max(window.min_requests, math.ceil(share_per_s * window.time_s - 1e-9))


class SentRequests:
    """Send times of this process's requests to one server."""

    def __init__(self) -> None:
        self._at_s: deque[float] = deque()

    def record(self, now_s: float) -> None:
        """Record a request that is sent now."""
        self._forget_old(now_s)
        if self._at_s and self._at_s[-1] > now_s:
            insort(self._at_s, now_s)
        else:
            self._at_s.append(now_s)

    def record_granted(self, until_s: float) -> None:
        """Record a request that another entry may send until a future time.

        Counted at that time, it also excludes a request of this entry in its place before.
        """
        insort(self._at_s, until_s)

    def count(self, now_s: float) -> int:
        """Return the number of recently sent requests."""
        self._forget_old(now_s)
        return len(self._at_s)

    def wait_s(self, share_per_s: float, now_s: float) -> float:
        """Return the time until one more request fits into a share of the server's limit.

        Requests sent before the limit was known count too, since the server has received them.
        """
        if share_per_s <= 0:
            return math.inf
        wait_s = 0.0
        for window in WINDOWS:
            max_requests = _max_requests(window, share_per_s)
            if len(self._at_s) >= max_requests:
                wait_s = max(wait_s, self._at_s[-max_requests] + max_requests / share_per_s - now_s)
        return wait_s

    def used(self, since_s: float, now_s: float) -> int:
        """Return the number of requests sent after a time, without granted ones."""
        return sum(1 for at_s in self._at_s if since_s < at_s <= now_s)

    def room(self, share_per_s: float, now_s: float) -> int:
        """Return how many requests fit into a share of the server's limit now."""
        if share_per_s <= 0:
            return 0
        return min(
            self.room_in_window(max_requests, max_requests / share_per_s, now_s)
            for max_requests in (_max_requests(window, share_per_s) for window in WINDOWS)
        )

    def room_in_window(self, max_requests: int, window_s: float, now_s: float) -> int:
        """Return how many requests a window has room for below a maximum."""
        sent = sum(1 for at_s in self._at_s if at_s > now_s - window_s)
        return max(0, max_requests - sent)

    def wait_in_window_s(self, max_requests: int, window_s: float, now_s: float) -> float:
        """Return the time until a window has fewer requests than a maximum; infinite for none."""
        if max_requests <= 0:
            return math.inf
        if len(self._at_s) < max_requests:
            return 0.0
        return max(0.0, self._at_s[-max_requests] + window_s - now_s)

    def _forget_old(self, now_s: float) -> None:
        while self._at_s and self._at_s[0] <= now_s - SENT_HISTORY_S:
            self._at_s.popleft()


class RetrySchedule:
    """Schedule of retry times for rejected callers, spaced one after the other.

    With a hundred callers per second and servers that accept ten, callers that were all given
    the next free time would retry at once, and nine out of ten would be rejected again.
    """

    def __init__(self) -> None:
        self._last_s: dict[str, float] = {}

    def next_retry_s(
        self,
        service: str,
        first_accepted_s: float,
        accepted_per_s: float,
        time_left_s: float | None,
        now_s: float,
    ) -> float:
        """Return the time until the next caller can be accepted.

        Parameters
        ----------
        service
            The requested service.
        first_accepted_s
            Time until a server accepts a request again.
        accepted_per_s
            Requests per second that are accepted from then on.
        time_left_s
            How long the caller waits for its answer. A later time is returned too, but isn't
            reserved for a caller that will have disconnected.
        now_s
            Present time.
        """
        last_s = self._last_s.get(service, -math.inf)
        at_s = max(now_s + first_accepted_s, last_s + 1 / accepted_per_s)
        if time_left_s is None or at_s - now_s < time_left_s:
            self._last_s[service] = at_s
        return at_s - now_s
