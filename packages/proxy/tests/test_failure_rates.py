"""Failures of servers counted over all entries."""

from __future__ import annotations

import random

from sassafrastally.proxy.failure_rates import (
    MAX_SENT_SERVERS,
    FailureCounts,
    FailureRates,
    SenderCounts,
    ServerState,
    is_beyond_chance,
    sum_of_centre,
)
from sassafrastally.proxy.peer_messages import Hello, decode_hello, encode_hello
from sassafrastally.proxy.relays import sum_hellos
from sassafrastally.proxy.store import StorePosition
from sassafrastally.proxy.store_watchers import WatchCandidate
from sassafrastally.testing.failure_replay import FailureReplay, Faults

SERVERS = [ServerState(key, slots=6, requests=0) for key in range(1, 9)]

HELLO = Hello(
    "10.0.0.1", 7, 3, StorePosition(1, 12), 0.5, False, {}, (), {}, {}, 0.0, 0.0, "here", 10
)


class Exchange:
    """Entries that exchange their counts without a delay."""

    def __init__(self, entries: int = 5, servers: list[ServerState] | None = None) -> None:
        self.entries = [FailureRates(random.Random(number)) for number in range(entries)]
        self.servers = servers or SERVERS
        self.now_s = 0.0

    def record(self, entry: int, key: int, failures: int, good: int = 0) -> None:
        for number in range(failures + good):
            self.entries[entry].record(key, self.now_s, is_failure=number < failures)

    def sent(self) -> list[dict[int, FailureCounts]]:
        """Return what each entry sends, after a first round that names the failing servers."""
        first = [SenderCounts(entry.to_send((), self.now_s)) for entry in self.entries]
        return [entry.to_send(first, self.now_s) for entry in self.entries]

    def avoided(self, entry: int = 0) -> set[int]:
        """Return what an entry avoids after a decision."""
        received = [
            SenderCounts(counts)
            for number, counts in enumerate(self.sent())
            if number != entry and counts
        ]
        rates = self.entries[entry]
        rates.decide([self.servers], received, len(self.entries), self.now_s)
        return set(rates.avoided)


class TestChance:
    """Failures that a healthy server doesn't have by chance."""

    def test_few_failures_are_chance(self):
        """Guards against avoiding healthy plain servers, which fail a few requests in a hundred."""
        assert not is_beyond_chance(FailureCounts(1, 1))
        assert not is_beyond_chance(FailureCounts(2, 5))
        assert not is_beyond_chance(FailureCounts(5, 100))

    def test_share_of_load_a_is_beyond_chance(self):
        """Guards against missing 40 % of the few responses of load A's engines in a window."""
        assert is_beyond_chance(FailureCounts(4, 9))
        assert not is_beyond_chance(FailureCounts(4, 9), common_share=0.4)

    def test_many_responses(self):
        """Guards against an overflow with the counts of a large deployment."""
        assert is_beyond_chance(FailureCounts(20_000, 65_535))
        assert not is_beyond_chance(FailureCounts(9_000, 65_535))
        assert not is_beyond_chance(FailureCounts(30_000, 60_000), common_share=1.0)


class TestCounting:
    """Counts of several entries."""

    def test_failures_of_several_entries_add_up(self):
        """Guards against faulty engines of which no entry sees two consecutive failures."""
        exchange = Exchange()
        for entry in range(4):
            exchange.record(entry, 1, failures=1)
        assert exchange.avoided(4) == {1}

    def test_good_responses_count_at_entries_without_a_failure(self):
        """Guards against counting only the entries that saw a failure: a server that fails one
        request in twenty would look like one that fails all."""
        exchange = Exchange(25)
        for entry in range(25):
            exchange.record(entry, 1, failures=int(entry < 3), good=int(entry >= 3) * 2)
        assert exchange.avoided() == set()

    def test_counts_expire(self):
        """Guards against avoiding a server for failures of long ago."""
        exchange = Exchange()
        for entry in range(4):
            exchange.record(entry, 1, failures=1)
        exchange.now_s = 10.6
        assert not any(exchange.sent())
        assert exchange.avoided() == set()

    def test_dead_sender_no_longer_counts(self):
        """A sender dies or its datagrams are lost: only the latest counts of live ones arrive."""
        exchange = Exchange(2)
        exchange.record(0, 1, failures=1, good=2)
        exchange.record(1, 1, failures=3)
        exchange.entries[0].decide([SERVERS], [], 1, 0.0)
        assert not exchange.entries[0].avoided
        assert exchange.avoided() == {1}  # The next datagram carries the counts again.

    def test_restarted_server_starts_at_zero(self):
        """A restarted server has another incarnation, thus another hash."""
        exchange = Exchange()
        for entry in range(4):
            exchange.record(entry, 1, failures=1)
        assert exchange.avoided() == {1}
        exchange.servers = [server._replace(key=server.key + 100) for server in SERVERS]
        assert exchange.avoided() == set()


class TestSenderAtFault:
    """Failures that are the fault of the entry that reports them."""

    def test_failures_spread_over_servers_are_the_senders(self):
        """An entry's link loses packets. Guards against taking healthy servers out of use."""
        exchange = Exchange()
        for key in range(1, 9):
            exchange.record(0, key, failures=4, good=2)
            exchange.record(1, key, failures=0, good=2)
        assert exchange.avoided(0) == exchange.avoided(1) == set()

    def test_sum_leaves_out_a_sender_at_fault(self):
        """Guards against an entry at fault that hides in the sum of its data centre."""
        at_fault = SenderCounts({key: FailureCounts(4, 4) for key in range(1, 9)})
        good = SenderCounts({key: FailureCounts(0, 3) for key in range(1, 9)})
        assert not any(one.failures for one in sum_of_centre([at_fault, good]).values())

    def test_sum_carries_the_totals_of_its_entries(self):
        """Guards against losing the counts between data centres that exchange sums."""
        own = HELLO._replace(failures={1: FailureCounts(1, 2)})
        other = HELLO._replace(failures={1: FailureCounts(2, 3), 2: FailureCounts(0, 4)})
        entry = WatchCandidate("10.0.0.1", 0.0, 10)
        failures = sum_hellos(own, entry, [(other, 0.1)]).failures
        assert failures == {1: FailureCounts(3, 5), 2: FailureCounts(0, 4)}

    def test_single_sender_suffices_only_with_good_responses_from_others(self):
        """Guards against trusting one entry that sees failures of several servers."""
        exchange = Exchange()
        exchange.record(0, 1, failures=4)
        assert exchange.avoided(1) == {1}
        exchange = Exchange()
        exchange.record(0, 1, failures=4)
        exchange.record(0, 2, failures=1, good=3)
        assert exchange.avoided(1) == set()


class TestAvoidance:
    """Which of the failing servers are avoided, and for how long."""

    def fail(self, exchange: Exchange, keys: range, failures: int = 2) -> None:
        for entry in range(5):
            for key in keys:
                exchange.record(entry, key, failures=failures)

    def test_fault_common_to_all_servers_avoids_none(self):
        """Guards against taking the fleet out of use when callers gain nothing by it."""
        exchange = Exchange()
        self.fail(exchange, range(1, 9))
        assert exchange.avoided() == set()

    def test_remaining_servers_carry_the_load(self):
        """Guards against loading healthy servers beyond their slots; the worst is avoided first."""
        busy = [server._replace(requests=3) for server in SERVERS]
        exchange = Exchange(servers=busy)
        self.fail(exchange, range(1, 5))
        exchange.record(0, 1, failures=0, good=1)
        assert exchange.avoided() == {2, 3}

    def test_recovered_server_is_used_again(self):
        """Guards against avoiding a server for ever: trials show that it has recovered."""
        exchange = Exchange()
        self.fail(exchange, range(1, 2))
        for entry in range(5):
            assert exchange.avoided(entry) == {1}
        trials = 0
        while exchange.now_s < 60.0 and exchange.avoided(0):
            exchange.now_s += 0.5
            for number, entry in enumerate(exchange.entries):
                exchange.avoided(number)
                if 1 in entry.due_trials(exchange.now_s):
                    entry.record_sent(1, 5, exchange.now_s)
                    exchange.record(number, 1, failures=0, good=1)
                    trials += 1
        assert 10.0 < exchange.now_s < 40.0
        assert trials < exchange.now_s  # About one in two seconds over all entries.

    def test_failed_trial_keeps_it_avoided(self):
        """Guards against a server that is used again although its trials still fail."""
        exchange = Exchange()
        self.fail(exchange, range(1, 2))
        for step in range(80):
            exchange.now_s = step * 0.5
            exchange.record(step % 5, 1, failures=int(step % 5 == 0), good=1)
            assert exchange.avoided() == {1}


class TestMessages:
    """The field in the datagrams."""

    def test_nothing_is_added_without_failures(self):
        """Guards against longer datagrams where no failure is counted."""
        explicit = HELLO._replace(failures={})
        assert encode_hello(explicit) == encode_hello(HELLO)

    def test_datagram_stays_small(self):
        """Guards against datagrams that are too large to be received; the worst servers stay."""
        draw = random.Random(1)
        keys = [draw.getrandbits(64) for _ in range(200)]
        failures = {key: FailureCounts(200 - number, 300) for number, key in enumerate(keys)}
        hello = HELLO._replace(suspects=dict.fromkeys(keys, 1.0), failures=failures)
        data = encode_hello(hello)
        assert len(data) < 1400
        assert list(decode_hello(data).failures)[:8] == keys[:8]
        assert len(decode_hello(encode_hello(HELLO._replace(failures=failures))).failures) == (
            MAX_SENT_SERVERS
        )

    def test_implausible_counts_are_ignored(self):
        """Guards against a peer that reports more failures than responses."""
        data = encode_hello(HELLO._replace(failures={1: FailureCounts(3, 2)}))
        assert not decode_hello(data).failures


class TestReplay:
    """Load A with faulty servers, on the same arrivals with and without."""

    FAULTY = Faults(dict.fromkeys(range(0, 60, 7), 0.4), {0: 0.4, 1: 0.4})

    def test_fewer_callers_are_lost(self):
        """Guards against payouts lost to plain servers that answer 500, and against long prompts
        refused for engines that reject them although they are idle."""
        without = FailureReplay("none", self.FAULTY, 1).run(40.0)
        shared = FailureReplay("shares", self.FAULTY, 1).run(40.0)
        assert shared.lost.total() < 0.5 * without.lost.total()
        assert shared.late.total() <= without.late.total()

    def test_fault_of_one_entry_changes_nothing(self):
        """An entry loses half of its attempts. Guards against suspecting servers for it."""
        results = FailureReplay("shares", Faults(entries={0: 0.5}), 1).run(20.0)
        assert results.times_avoided == 0

    def test_calm_load_changes_nothing(self):
        """Guards against any effect without failures."""
        without, shared = (
            FailureReplay(method, Faults(), 1).run(10.0) for method in ("none", "shares")
        )
        assert without == shared
