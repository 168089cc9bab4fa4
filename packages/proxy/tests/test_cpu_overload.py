"""CPU overload of an entry: detection, duties and shedding of streams."""

from __future__ import annotations

import math

import pytest

from sassafrastally.proxy.cpu_overload import MAX_LAG_S, LagWindow, StreamLimit, shed_retry_delay_s
from sassafrastally.proxy.load_exchange import RELAYS, Member, is_ranked_first, without_overloaded
from sassafrastally.proxy.store_watchers import WatchCandidate, must_watch_store, watchers
from sassafrastally.testing.exchange_rounds import Exchange


def window_of(lags_s: list[float]) -> LagWindow:
    """Return a window with the given delays, one each 0.05 s after the previous timer."""
    window, now_s = LagWindow(), 0.0
    for lag_s in lags_s:
        now_s += 0.05 + lag_s
        window.record(now_s, lag_s)
    return window


class TestLag:
    """Detection by the delays of a timer."""

    def test_single_pause_is_no_overload(self):
        """Guards against shedding after one long garbage collection or a large configuration."""
        assert not window_of([0.001] * 20 + [0.6] + [0.001] * 19).is_overloaded

    def test_lasting_delay_is_overload_until_a_window_later(self):
        assert window_of([0.15] * 10).is_overloaded
        assert not window_of([0.15] * 10 + [0.001] * 40).is_overloaded

    def test_first_timers_give_no_verdict(self):
        """Guards against shedding during the start of a process, which takes all its CPU time."""
        assert window_of([0.5] * 4).lag_s == 0.0

    @pytest.mark.parametrize(("lags_s", "is_stuck"), [([1.2] * 3, True), ([1.2] * 2, False)])
    def test_entry_is_not_ready_after_three_seconds_above_a_second(self, lags_s, is_stuck):
        window = window_of(lags_s)
        assert window.is_stuck(sum(lags_s) + 0.05 * len(lags_s)) is is_stuck

    def test_shorter_delay_ends_the_time_towards_not_ready(self):
        lags_s = [1.2] * 2 + [0.9] + [1.2] * 2
        assert not window_of(lags_s).is_stuck(sum(lags_s) + 0.05 * len(lags_s))


class TestStreamLimit:
    """Streams that an overloaded entry accepts."""

    def test_share_that_is_in_time_is_kept(self):
        limit = StreamLimit()
        limit.update(3 * MAX_LAG_S, 30, 10.0)
        assert limit.most_streams == 10
        assert limit.accepts(9)
        assert not limit.accepts(10)

    def test_limit_falls_only_after_a_full_window(self):
        """Guards against refusing everything because delays of the past still count."""
        limit = StreamLimit()
        for now_s in (10.0, 10.05, 11.9):
            limit.update(2 * MAX_LAG_S, 30, now_s)
        assert limit.most_streams == 15
        limit.update(2 * MAX_LAG_S, 14, 12.0)
        assert limit.most_streams == 7

    def test_last_stream_is_always_accepted_and_recovery_lifts_the_limit(self):
        limit = StreamLimit()
        limit.update(5.0, 3, 10.0)
        assert limit.accepts(0)
        limit.update(MAX_LAG_S, 1, 10.1)
        assert limit.most_streams == math.inf

    def test_retry_delay_is_short(self):
        assert shed_retry_delay_s(0.0) == 0.05
        assert shed_retry_delay_s(1.0) == pytest.approx(0.2)


class TestDuties:
    """Duties that an overloaded entry leaves to others."""

    def relays(self, members: list[Member]) -> list[str]:
        return [
            own.host
            for own in members
            if is_ranked_first(own, [other for other in members if other is not own], RELAYS)
        ]

    def test_overloaded_entry_is_no_relay(self):
        members = [Member("fast", 100, is_overloaded=True), Member("a", 50), Member("b", 7)]
        assert self.relays(members) == ["a", "b"]

    def test_duties_that_nobody_else_can_take_are_kept(self):
        """Guards against a data centre without relays when all of its entries are overloaded."""
        members = [Member(f"h{n}", 100 - n, is_overloaded=True) for n in range(3)]
        assert self.relays(members) == ["h0", "h1"]
        members[2] = members[2]._replace(is_overloaded=False)
        assert self.relays(members) == ["h0", "h2"]
        assert without_overloaded(members[:2]) == members[:2]
        assert without_overloaded(members) == members[2:]

    def test_relay_that_becomes_overloaded_is_replaced_without_a_gap(self):
        """Guards against a data centre that counts as idle while its relays change."""
        exchange = Exchange(38, 3, 7)
        exchange.introduce_all()
        exchange.run_rounds(12)
        overloaded = exchange.nodes["10.0.0.0"]
        overloaded.table.set_overloaded(is_overloaded=True)
        for _ in range(8):
            exchange.run_rounds(1)
            assert exchange.all_see_all()
        assert not overloaded.table.is_relay(exchange.now_s)
        local = [node for node in exchange.alive() if node.data_centre == "dc-0"]
        assert sum(node.table.is_relay(exchange.now_s) for node in local) == RELAYS

    def test_overloaded_entry_polls_no_engines_while_others_can(self):
        exchange = Exchange(6, 2, 7)
        exchange.introduce_all()
        observer, *others = exchange.nodes.values()
        others[1].table.set_overloaded(is_overloaded=True)
        exchange.run_rounds(2)
        hosts = observer.table.live_hosts_in(observer.data_centre, exchange.now_s)
        assert others[1].data_centre == observer.data_centre
        assert hosts == [others[3].host]
        others[3].table.set_overloaded(is_overloaded=True)
        exchange.run_rounds(2)
        hosts = observer.table.live_hosts_in(observer.data_centre, exchange.now_s)
        assert hosts is not None
        assert set(hosts) == {others[1].host, others[3].host}

    def test_overloaded_entry_leaves_the_store_watch(self):
        fast = WatchCandidate("fast", 0.1, 100)
        others = [WatchCandidate("a", 0.1, 50), WatchCandidate("b", 0.1, 7)]
        assert must_watch_store(fast, others)
        overloaded = fast._replace(is_overloaded=True)
        assert not must_watch_store(overloaded, others)
        assert all(must_watch_store(one, [overloaded]) for one in others)
        assert must_watch_store(overloaded, [one._replace(store_age_s=9.0) for one in others])
        assert [one.host for one in watchers([overloaded, *others])] == ["a", "b"]
