"""Shares of the entries in the rate limit of a backend server."""

from __future__ import annotations

import random

import pytest

from sassafrastally.proxy.rate_limits import (
    MIN_LIMIT_PER_S,
    RetrySchedule,
    SentRequests,
    own_share_per_s,
)
from sassafrastally.testing.backpressure_fleet import (
    SETTLED_S,
    WINDOW_S,
    allowed,
    most_in_window,
)

STEP_S = 0.05
"""Interval at which a greedy entry tries to send."""


def hosts_of(count: int) -> list[str]:
    """Return the entries of a deployment."""
    return [f"10.{number % 3}.0.{number}" for number in range(count)]


class GreedyEntries:
    """Entries that always have more requests for one server than their share of its limit."""

    def __init__(
        self, hosts: list[str], most_per_s: float, incarnation_id: str = "engine-1"
    ) -> None:
        self.hosts = hosts
        self.most_per_s = most_per_s
        self.incarnation_id = incarnation_id
        self.known = {host: set(hosts) - {host} for host in hosts}
        """Other entries that each entry knows as possible senders."""
        self.sent = {host: SentRequests() for host in hosts}
        self.sent_s: list[float] = []

    def run(self, begin_s: float, end_s: float) -> None:
        """Let all entries send whenever their share has room."""
        shares = {
            host: own_share_per_s(self.incarnation_id, self.most_per_s, host, self.known[host])
            for host in self.hosts
        }
        for step in range(int((end_s - begin_s) / STEP_S)):
            now_s = begin_s + step * STEP_S
            for host, share in shares.items():
                while self.sent[host].wait_s(share, now_s) <= 0:
                    self.send(host, now_s)

    def send(self, host: str, now_s: float) -> None:
        """Let an entry send a request."""
        self.sent[host].record(now_s)
        self.sent_s.append(now_s)


class TestShares:
    """Shares of a server's limit."""

    @pytest.mark.parametrize("most_per_s", [0.0, 0.3, 1.0, 2.5, 8.0, 50.0])
    @pytest.mark.parametrize("entries", [1, 2, 5, 27, 68, 340])
    def test_greedy_entries_use_the_limit_without_exceeding_it(self, entries, most_per_s):
        """Guards against entries that together exceed a server's limit, or hardly use it."""
        greedy = GreedyEntries(hosts_of(entries), most_per_s)
        greedy.run(0.0, 30.0)
        assert most_in_window(greedy.sent_s, 0.0) <= allowed(most_per_s)
        accepted_per_s = max(MIN_LIMIT_PER_S, most_per_s)
        assert len(greedy.sent_s) >= 0.85 * accepted_per_s * 30.0

    def test_requests_before_the_limit_was_known_count(self):
        """Guards against requests beyond those that a busy server has when it states a limit."""
        greedy = GreedyEntries(hosts_of(5), 1.0)
        for number in range(8):
            greedy.send(greedy.hosts[number % 5], -1.0 + number / 8)
        greedy.run(0.3, 10.0)
        assert most_in_window(greedy.sent_s, SETTLED_S) <= allowed(1.0)

    @pytest.mark.parametrize("entries", [5, 27, 68])
    def test_entry_unknown_to_the_others_sends_few_requests(self, entries):
        """Guards against exceeding a limit while no other entry knows a new one yet."""
        hosts = hosts_of(entries)
        greedy = GreedyEntries(hosts, 1.0)
        for host in hosts[1:]:
            greedy.known[host].discard(hosts[0])
        greedy.run(0.0, 12.0)
        assert most_in_window(greedy.sent_s, 0.0) <= allowed(1.0)

    def test_limit_holds_during_a_rolling_replacement_of_entries(self):
        """Guards against using the share of a leaving entry twice within a few seconds."""
        greedy = GreedyEntries(hosts_of(27), 1.0)
        for turn in range(10):
            greedy.run(turn * 2.0, (turn + 1) * 2.0)
            gone, new = greedy.hosts.pop(0), f"10.9.0.{turn}"
            greedy.hosts.append(new)
            greedy.sent[new] = SentRequests()
            for host in greedy.hosts:
                greedy.known[host] = set(greedy.hosts) - {host}
            assert gone not in greedy.hosts
        assert most_in_window(greedy.sent_s, 0.0) <= allowed(1.0)

    def test_each_entry_shares_the_limit_of_some_server(self):
        """Guards against an entry without any share while all servers accept requests."""
        hosts = hosts_of(68)
        for host in hosts:
            others = set(hosts) - {host}
            shares = [own_share_per_s(f"engine-{n}", 1.0, host, others) for n in range(195)]
            assert sum(shares) > 0

    def test_burst_of_one_entry_is_spread(self):
        """Guards against one entry sending the requests of several seconds at once."""
        sent = SentRequests()
        for _ in range(10):
            sent.record(0.0)
        assert sent.wait_s(10.0, 0.0) == pytest.approx(1.0)


class TestRetrySchedule:
    """Retry delays of rejected callers."""

    def test_retries_are_spaced(self):
        """Guards against all rejected callers retrying at the same time."""
        times = RetrySchedule()
        delays_s = [times.next_retry_s("engines", 0.2, 4.0, 10.0, 0.0) for _ in range(4)]
        assert delays_s == pytest.approx([0.2, 0.45, 0.7, 0.95])

    def test_no_time_is_reserved_for_callers_that_will_have_disconnected(self):
        """Guards against retry delays of minutes after one second of overload."""
        times = RetrySchedule()
        for _ in range(1000):
            delay_s = times.next_retry_s("engines", 0.2, 4.0, 2.0, 0.0)
        assert delay_s < 2.5

    def test_retries_of_a_random_load_are_accepted(self):
        """Guards against retries that are rejected again."""
        draw = random.Random(5)
        times, sent = RetrySchedule(), SentRequests()
        share = own_share_per_s("engine-1", 4.0, "a", [])
        retry_at_s: list[float] = []
        accepted = rejected = 0
        for step in range(2000):
            now_s = step * 0.01
            while retry_at_s and retry_at_s[0] <= now_s:
                retry_at_s.pop(0)
                if sent.wait_s(share, now_s) <= 0:
                    sent.record(now_s)
                    accepted += 1
                else:
                    rejected += 1
            if draw.random() < 0.1:
                back_s = times.next_retry_s("s", sent.wait_s(share, now_s), 4.0, WINDOW_S, now_s)
                if back_s < WINDOW_S:
                    retry_at_s = sorted([*retry_at_s, now_s + back_s + 0.001])
        assert accepted > 0.9 * (accepted + rejected)
