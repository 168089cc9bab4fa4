"""Failing servers as this entry knows them: own and received counts, avoidance and trials."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.proxy.failure_rates.avoidance import (
    ServerState,
    common_share,
    is_beyond_chance,
    is_worse_than_common,
    servers_to_avoid,
)
from sassafrastally.proxy.failure_rates.failure_counts import (
    MAX_SENT_SERVERS,
    NO_COUNTS,
    WINDOW_S,
    FailureCounts,
    OwnFailureCounts,
    add_counts,
    counts_to_send,
    sum_by_server,
)
from sassafrastally.proxy.failure_rates.sender_faults import (
    SenderCounts,
    credible_senders,
    is_confirmed,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping, Sequence

DECISION_INTERVAL_S = 0.2
"""Time between two decisions: 25 entries send a datagram every 0.24 s, so most decisions have new
counts."""

TRIAL_INTERVAL_S = 2.0
"""Mean time between trial requests to a server that is avoided, over all entries."""

RECOVERED_RESPONSES = 8
"""Good responses without a failure after which a server is used again. One that fails 40 % passes
eight trials in a row once in 60 times."""

UNTRIED_S = 60.0
"""Time without a failure after which a server is used again although it got too few trials, as when
no request may be repeated."""

REUSE_S = 5.0
"""Time for which a server isn't avoided after it was used again because the others fail as often or
can't carry the load: the length of a burst of load A."""


class AvoidanceChange(NamedTuple):
    """A server is avoided, or is used again."""

    key: int
    is_avoided: bool
    counts: FailureCounts
    entries: int
    """Number of senders with a failure of it."""


class _Failing(NamedTuple):
    last_failure_s: float
    """When a failure was last in the window."""
    trial_s: float
    """When this entry sends the next trial request."""
    good_responses: float = 0.0
    """Responses since the last failure left the window."""


class FailureRates:
    """Failure shares of servers over all entries.

    Parameters
    ----------
    draw
        Spreads the trial requests of the entries.
    """

    def __init__(self, draw: random.Random) -> None:
        self._draw = draw
        self._own = OwnFailureCounts()
        self._failing: dict[int, _Failing] = {}
        self._avoided: set[int] = set()
        self._used_until_s: dict[int, float] = {}
        """Until when servers that are used again aren't avoided."""
        self._decided_s = float("-inf")

    @property
    def avoided(self) -> frozenset[int]:
        """The servers that are avoided, by hash of the incarnation id."""
        return frozenset(self._avoided)

    def record(self, key: int, now_s: float, *, is_failure: bool) -> None:
        """Count the outcome of a request that a server got from this entry."""
        self._own.record(key, now_s, is_failure=is_failure)

    def to_send(self, received: Iterable[SenderCounts], now_s: float) -> dict[int, FailureCounts]:
        """Return the own counts to send."""
        own = self._own.counts(now_s)
        return counts_to_send(own, (one.counts for one in received), self._failing.keys())

    def is_due(self, now_s: float) -> bool:
        """Return whether it is time to decide again."""
        return now_s - self._decided_s >= DECISION_INTERVAL_S

    def is_idle(self, received: Sequence[SenderCounts], now_s: float) -> bool:
        """Return whether there is nothing to decide: no entry has seen a failure lately."""
        return not (received or self._failing or self._avoided or self._own.has_failure(now_s))

    def note_idle(self, now_s: float) -> None:
        """Note that there was nothing to decide."""
        self._decided_s = now_s

    def decide(
        self,
        services: Iterable[Sequence[ServerState]],
        received: Sequence[SenderCounts],
        entries: int,
        now_s: float,
    ) -> list[AvoidanceChange]:
        """Decide which servers are avoided; return the changes.

        Parameters
        ----------
        services
            The servers of each service.
        received
            The latest counts of each live peer or data centre.
        entries
            Number of live entries.
        now_s
            Present time.
        """
        elapsed_s = min(now_s - self._decided_s, WINDOW_S)
        self._decided_s = now_s
        own = self._own.counts(now_s)
        senders = credible_senders([SenderCounts(own), *received])
        listed = {key for sender in received for key in sender.counts}
        # Full datagrams hold the worst servers only; this entry's own responses tell about others.
        is_truncated = any(len(sender.counts) >= MAX_SENT_SERVERS for sender in received)
        unlisted = add_counts(one for key, one in own.items() if is_truncated and key not in listed)
        counts = sum_by_server(sender.counts for sender in senders)
        counts = {
            key: one
            for key, one in counts.items()
            if key in listed or one.failures or key in self._failing
        }
        avoided: set[int] = set()
        self._note_outcomes(counts, elapsed_s, now_s)
        for servers in services:
            common = common_share(servers, counts, unlisted.share)
            self._update_failing(servers, senders, counts, common, entries, now_s)
            candidates = self._failing.keys() - self._used_until_s.keys()
            avoided |= servers_to_avoid(servers, counts, candidates)
        for key in self._avoided & self._failing.keys() - avoided:
            self._used_until_s[key] = now_s + REUSE_S
        changes = [
            AvoidanceChange(
                key,
                key in avoided,
                counts.get(key, NO_COUNTS),
                sum(1 for one in senders if one.counts.get(key, NO_COUNTS).failures),
            )
            for key in sorted(avoided ^ self._avoided)
        ]
        self._avoided = avoided
        return changes

    def due_trials(self, now_s: float) -> set[int]:
        """Return the avoided servers that may get a trial request from this entry."""
        return {key for key in self._avoided if now_s >= self._failing[key].trial_s}

    def record_sent(self, key: int, entries: int, now_s: float) -> None:
        """Note a request to a server; one to an avoided server is its trial."""
        if key in self._avoided:
            trial_s = self._next_trial_s(entries, now_s)
            self._failing[key] = self._failing[key]._replace(trial_s=trial_s)

    def _update_failing(
        self,
        servers: Sequence[ServerState],
        senders: Sequence[SenderCounts],
        counts: Mapping[int, FailureCounts],
        common: float,
        entries: int,
        now_s: float,
    ) -> None:
        """Find the servers of a service that fail too much to be healthy."""
        for key in (server.key for server in servers):
            one = counts.get(key, NO_COUNTS)
            if key in self._failing:
                if not is_worse_than_common(one, common):
                    del self._failing[key]
                    self._used_until_s[key] = now_s + REUSE_S
            elif (
                is_beyond_chance(one, common)
                and is_worse_than_common(one, common)
                and is_confirmed(key, senders)
            ):
                self._failing[key] = _Failing(now_s, self._first_trial_s(entries, now_s))

    def _note_outcomes(
        self, counts: Mapping[int, FailureCounts], elapsed_s: float, now_s: float
    ) -> None:
        """Note outcomes of trials; forget servers that have recovered."""
        for key, failing in self._failing.items():
            one = counts.get(key, NO_COUNTS)
            if one.failures:
                self._failing[key] = failing._replace(last_failure_s=now_s, good_responses=0.0)
            else:
                # Each response is in the window for its length, so that it adds up to one.
                good = failing.good_responses + one.responses * elapsed_s / WINDOW_S
                self._failing[key] = failing._replace(good_responses=good)
        self._failing = {
            key: failing
            for key, failing in self._failing.items()
            if failing.good_responses < RECOVERED_RESPONSES
            and now_s - failing.last_failure_s < UNTRIED_S
        }
        self._used_until_s = {
            key: until_s for key, until_s in self._used_until_s.items() if until_s > now_s
        }

    def _next_trial_s(self, entries: int, now_s: float) -> float:
        return now_s + TRIAL_INTERVAL_S * entries * (0.5 + self._draw.random())

    def _first_trial_s(self, entries: int, now_s: float) -> float:
        return now_s + TRIAL_INTERVAL_S * entries * self._draw.random()
