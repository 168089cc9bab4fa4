"""Counts of servers' failures and responses in the last seconds.

Load A sends a server 0.7 requests a second over 25 entries, so each entry alone sees one response
of it in half a minute. Only the sums over all entries tell a failing server from a healthy one.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from collections.abc import Set as AbstractSet

WINDOW_S = 10.0
"""Time over which failures count: about nine responses of each engine of load A, long prompts that
it shares included; four failures among nine aren't chance for a healthy server."""

BUCKET_S = 0.5
"""Time resolution of the window."""

MAX_SENT_SERVERS = 20
"""Maximum number of servers in one datagram, of 12 to 14 bytes each."""


class FailureCounts(NamedTuple):
    """Outcomes of requests that a server got."""

    failures: int = 0
    responses: int = 0
    """Failed ones included."""

    @property
    def share(self) -> float:
        """Share of failures; 0 without a response."""
        return self.failures / self.responses if self.responses else 0.0


NO_COUNTS = FailureCounts()


class OwnFailureCounts:
    """This entry's counts by hash of the server's incarnation id."""

    def __init__(self) -> None:
        self._buckets: deque[tuple[int, dict[int, FailureCounts]]] = deque()

    def record(self, key: int, now_s: float, *, is_failure: bool) -> None:
        """Count a response or a failure of a server."""
        number = int(now_s / BUCKET_S)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, {}))
        bucket = self._buckets[-1][1]
        bucket[key] = add_counts((bucket.get(key, NO_COUNTS), FailureCounts(is_failure, 1)))

    def has_failure(self, now_s: float) -> bool:
        """Return whether the window contains a failure."""
        self._forget_old(now_s)
        return any(one.failures for _, bucket in self._buckets for one in bucket.values())

    def counts(self, now_s: float) -> dict[int, FailureCounts]:
        """Return the counts of the window."""
        self._forget_old(now_s)
        return sum_by_server(bucket for _, bucket in self._buckets)

    def _forget_old(self, now_s: float) -> None:
        oldest = int(now_s / BUCKET_S) - round(WINDOW_S / BUCKET_S)
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()


def add_counts(counts: Iterable[FailureCounts]) -> FailureCounts:
    """Return the sum of counts of one server."""
    failures = responses = 0
    for one in counts:
        failures += one.failures
        responses += one.responses
    return FailureCounts(failures, responses)


def sum_by_server(counts: Iterable[Mapping[int, FailureCounts]]) -> dict[int, FailureCounts]:
    """Return the sum of several entries' counts, by server."""
    failures: dict[int, int] = {}
    responses: dict[int, int] = {}
    for by_server in counts:
        for key, (failed, received) in by_server.items():
            failures[key] = failures.get(key, 0) + failed
            responses[key] = responses.get(key, 0) + received
    return {key: FailureCounts(failed, responses[key]) for key, failed in failures.items()}


def counts_to_send(
    own: Mapping[int, FailureCounts],
    received: Iterable[Mapping[int, FailureCounts]],
    on_trial: AbstractSet[int] = frozenset(),
) -> dict[int, FailureCounts]:
    """Return the own counts to send, those with the most failures over all entries first.

    Responses of a server count at all entries as soon as one of them has seen a failure. If only
    entries with a failure sent theirs, a server that fails one request in twenty would look like
    one that fails all, as most entries see a single response of it. Those of servers on trial count
    also without a failure, so that all entries learn of their recovery.
    """
    failures: dict[int, int] = {key: one.failures for key, one in own.items()}
    for by_server in received:
        for key in by_server.keys() & failures.keys():
            failures[key] += by_server[key].failures
    order = sorted((-count, key) for key, count in failures.items() if count or key in on_trial)
    return {key: own[key] for _, key in order[:MAX_SENT_SERVERS]}


def with_most_failures(counts: Mapping[int, FailureCounts]) -> dict[int, FailureCounts]:
    """Return the counts of the servers with the most failures, as many as a datagram holds."""
    order = sorted(counts, key=lambda key: (-counts[key].failures, key))
    return {key: counts[key] for key in order[:MAX_SENT_SERVERS]}
