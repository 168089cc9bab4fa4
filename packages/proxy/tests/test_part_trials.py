"""Trials of requests with a quarantined part, by entries that end and start again."""

from __future__ import annotations

import itertools
import json

import pytest

from sassafrastally.proxy.fingerprint import Subjects, part_key
from sassafrastally.proxy.part_causes import CRASHES_FOR_VERDICT
from sassafrastally.proxy.part_trials import (
    TRIAL_AFTER_S,
    TRIAL_INTERVAL_S,
    TrialState,
    turn_of,
)
from sassafrastally.proxy.peer_messages import Hello, decode_hello, encode_hello
from sassafrastally.proxy.quarantine import Quarantine
from sassafrastally.proxy.quarantine_exchange import QuarantineReport, VerdictReport
from sassafrastally.proxy.quarantine_records import decode_record, encode_record
from sassafrastally.proxy.store import StorePosition

PART = part_key("bad")
BEGIN_S = 10.0
CRASH_KNOWN_AFTER_S = 0.1

MAX_LATE_REQUESTS = 3
"""Requests with a harmful part that may reach servers later than three seconds after the fifth
crash."""


class TrialFleet:
    """Entries that share a record in the store, send each other news and start again."""

    def __init__(self, entries: int = 3, *, has_peers: bool = True, has_store: bool = True) -> None:
        self.entries = [Quarantine() for _ in range(entries)]
        self.record: bytes | None = None
        self.tries: list[float] = []
        self.number = 0
        self._has_peers = has_peers
        self._has_store = has_store
        for number in range(CRASHES_FOR_VERDICT):
            self.crash(number % entries, BEGIN_S + 0.2 * number)
        self.exchange(BEGIN_S + 0.6)

    def crash(self, entry: int, now_s: float) -> None:
        """Let a request of an entry crash its server."""
        self.number += 1
        self.entries[entry].record_crashed_run(self.request(), self.number, now_s)

    def request(self) -> Subjects:
        """Return a request like no other."""
        self.number += 1
        return Subjects(self.number, (PART,))

    def exchange(self, now_s: float) -> None:
        """Let entries hear each other, and the store hold what they know."""
        for sender in self.entries if self._has_peers else ():
            report = sender.report(now_s, is_full=True)
            for receiver in self.entries:
                if receiver is not sender:
                    receiver.apply(report, now_s)
        self.write(now_s)

    def write(self, now_s: float) -> None:
        """Let the store hold what the entries know."""
        for entry in self.entries if self._has_store else ():
            verdict = entry.verdict_on(PART, now_s)
            if verdict is not None:
                self.record = encode_record(verdict, "vm", verdict.until_s - now_s)
                self.read(now_s)

    def read(self, now_s: float) -> None:
        """Let all entries read the record in the store."""
        for entry in self.entries if self.record is not None else ():
            entry.apply_verdict(decode_record(PART, self.record), now_s)

    def restart(self, entries: list[int], now_s: float) -> None:
        """Kill some entries and start them again."""
        for entry in entries:
            self.entries[entry] = Quarantine()
        self.read(now_s)
        self.exchange(now_s)

    def try_at(self, now_s: float) -> int | None:
        """Let a request arrive at each entry; return the last one that tries it."""
        hosts = [f"10.0.0.{number}" for number in range(len(self.entries))]
        found = None
        for number, (own, entry) in enumerate(zip(hosts, self.entries, strict=True)):
            others = set(hosts) - {own}
            tried = entry.claim_trial(
                self.request(),
                now_s,
                lambda part, own=own, others=others: turn_of(part, own, others),
            )
            if tried is not None:
                found = number
                self.tries.append(now_s)
                self.exchange(now_s)
        return found


KILLED = {"the one that tried": False, "all at once": True}


class TestHarmfulPart:
    """Guards against a server lost to a harmful part at each start of an entry."""

    @pytest.mark.parametrize("kills_all", KILLED.values(), ids=KILLED)
    @pytest.mark.parametrize("has_store", [True, False])
    def test_crash_at_a_trial_ends_the_trials_for_good(self, kills_all, has_store):
        fleet = TrialFleet(has_store=has_store or kills_all)
        for second in range(120):
            now_s = BEGIN_S + 1.0 + second
            entry = fleet.try_at(now_s)
            if entry is not None:
                fleet.crash(entry, now_s + CRASH_KNOWN_AFTER_S)
                fleet.exchange(now_s + 2 * CRASH_KNOWN_AFTER_S)
                killed = list(range(3)) if kills_all else [entry]
                fleet.restart(killed, now_s + 0.5)
        assert len(fleet.tries) == 1

    @pytest.mark.parametrize("kills_all", KILLED.values(), ids=KILLED)
    def test_trials_of_entries_that_end_before_the_outcome_are_few(self, kills_all):
        """Guards also against trials whose crash nobody has seen."""
        fleet = TrialFleet()
        for second in range(300):
            now_s = BEGIN_S + 1.0 + second
            entry = fleet.try_at(now_s)
            if entry is not None:
                fleet.restart(list(range(3)) if kills_all else [entry], now_s + 0.5)
        assert 1 <= len(fleet.tries) <= MAX_LATE_REQUESTS

    def test_trials_are_known_without_the_store(self):
        """Guards against trials that peers don't learn of during an outage of the store."""
        fleet = TrialFleet(has_store=False)
        for second in range(300):
            now_s = BEGIN_S + 1.0 + second
            entry = fleet.try_at(now_s)
            if entry is not None:
                fleet.restart([entry], now_s + 0.5)
        assert 1 <= len(fleet.tries) <= MAX_LATE_REQUESTS

    def test_restored_store_gets_the_outcome_again(self):
        """Guards against a copy of the store from before the trial."""
        fleet = TrialFleet()
        copy = fleet.record
        entry = fleet.try_at(BEGIN_S + 31.0)
        fleet.crash(entry, BEGIN_S + 31.1)
        fleet.exchange(BEGIN_S + 31.2)
        fleet.record = copy
        fleet.read(BEGIN_S + 32.0)
        fleet.restart([entry], BEGIN_S + 32.0)
        fleet.restart([0, 1, 2], BEGIN_S + 33.0)
        assert all(fleet.try_at(BEGIN_S + 34.0 + second) is None for second in range(100))

    def test_outcome_outlasts_the_verdict(self):
        """Guards against a trial after each crash that brings an expired verdict back."""
        fleet = TrialFleet()
        entry = fleet.try_at(BEGIN_S + 31.0)
        fleet.crash(entry, BEGIN_S + 31.1)
        fleet.exchange(BEGIN_S + 31.2)
        end_s = BEGIN_S + 600.7
        assert fleet.entries[entry].verdict(1, end_s, (PART,)) is None
        fleet.crash(entry, end_s + 1.0)
        assert fleet.entries[entry].verdict(1, end_s + 1.0, (PART,)) is not None
        assert all(fleet.try_at(end_s + 2.0 + second) is None for second in range(100))


class TestSoundPart:
    """Guards against sound parts that stay refused as their trials count as tried."""

    @pytest.mark.parametrize("interval_s", [15, 23, 40])
    def test_is_cleared_by_entries_that_start_again(self, interval_s):
        fleet = TrialFleet()
        for second in range(300):
            now_s = BEGIN_S + 1.0 + second
            if second % interval_s == interval_s - 1:
                fleet.restart([second // interval_s % 3], now_s)
            entry = fleet.try_at(now_s)
            if entry is not None:
                fleet.entries[entry].record_answered(PART, now_s + 0.6)
                break
        assert fleet.tries
        assert fleet.entries[entry].verdict(1, now_s + 1.0, (PART,)) is None

    def test_trials_without_an_outcome_go_on(self):
        """Guards against trials that found no room, while the entries that made them run on."""
        fleet = TrialFleet()
        for second in range(200):
            fleet.try_at(BEGIN_S + 1.0 + second)
            fleet.exchange(BEGIN_S + 1.5 + second)
        gaps_s = [later - before for before, later in itertools.pairwise(fleet.tries)]
        assert len(fleet.tries) >= (200 - TRIAL_AFTER_S) / TRIAL_INTERVAL_S - 3
        assert max(gaps_s) <= 3 * TRIAL_INTERVAL_S


class TestRecords:
    """Records of verdicts in the store."""

    def test_trials_are_in_the_record(self):
        fleet = TrialFleet()
        entry = fleet.try_at(BEGIN_S + 31.0)
        first = decode_record(PART, fleet.record)
        fleet.crash(entry, BEGIN_S + 31.1)
        fleet.exchange(BEGIN_S + 31.2)
        second = decode_record(PART, fleet.record)
        assert (first.trials.begun, first.trials.has_crashed) == (1, False)
        assert (second.trials.begun, second.trials.has_crashed) == (1, True)

    def test_record_without_trials_is_read(self):
        """Guards against entries that don't understand the record of an earlier version."""
        received = decode_record(PART, b'{"crashes": 3, "seen_by": "vm"}')
        assert received.trials.begun == 0
        assert received.trials.may_try()

    @pytest.mark.parametrize(
        "trials", [7, "a", [1], [1, -1, False], [1, 0, 1], [1.5, 0, False], [True, 0, False]]
    )
    def test_odd_trials_are_rejected(self, trials):
        """Guards against an odd record that ends the task that reads it."""
        value = json.dumps({"crashes": 3, "trials": trials}).encode()
        with pytest.raises(ValueError, match="trials"):
            decode_record(PART, value)

    def test_time_left_is_in_the_record(self):
        """Guards against verdicts that last longer with each entry that reads and writes them."""
        fleet = TrialFleet()
        verdict = fleet.entries[0].verdict_on(PART, BEGIN_S + 500.0)
        received = decode_record(PART, encode_record(verdict, "vm", 100.0))
        assert received.left_s == pytest.approx(100.0, abs=1.0)

    def test_datagrams_tell_of_trials(self):
        """Guards against peers that don't learn what came of a trial."""
        trials = TrialState(3, 2, True)
        hello = Hello(
            "10.0.0.1", 7, 3, StorePosition(1, 12), 0.5, False, {}, (), {}, {}, 0.0, 0.0, "here", 10
        )
        report = QuarantineReport(verdicts=(VerdictReport(PART, 5.0, 3, (), trials),))
        data = encode_hello(hello._replace(quarantine=report))
        assert decode_hello(data).quarantine.verdicts[0].trials == trials
