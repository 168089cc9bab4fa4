"""Decisions without I/O: routes, retry budget, outlier ejection, events, load."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sassafrastally.core import Address
from sassafrastally.proxy.event_stream import EventSplitter
from sassafrastally.proxy.lanes import ServerView
from sassafrastally.proxy.leaving_servers import LeavingServers, is_probably_leaving
from sassafrastally.proxy.load import (
    MIN_UNFINISHED_PREFILL_MS,
    InFlightAttempt,
    Lane,
    Ledger,
    PrefillPart,
    Work,
    merge_work,
    server_hash,
)
from sassafrastally.proxy.model import (
    BackendServer,
    EngineProfile,
    Route,
    RouteKind,
    ServerLoad,
    ServiceShare,
)
from sassafrastally.proxy.outlier_ejection import OutlierEjection
from sassafrastally.proxy.plain_placement import place_plain
from sassafrastally.proxy.retry_budget import RetryBudget
from sassafrastally.proxy.routes import RouteTable, choose_service
from sassafrastally.proxy.store_watchers import (
    FIRST_TAKEOVER_COUNT,
    MAX_TAKEOVER_DELAY_S,
    WATCHER_TIMEOUT_S,
    WatchCandidate,
    must_watch_store,
)
from sassafrastally.proxy.turning_away import (
    retry_delay_after_failure_s,
    retry_delay_s,
    would_end_late,
    would_miss_deadline,
)
from sassafrastally.proxy.unreported_requests import UnreportedRequests

PROFILE = EngineProfile(8, 405_000, 1.31, 0.0018, 0.00213, 154.0, 0.162, 2048, 34, 0.1)


class TestRetryBudget:
    """Retries while many servers fail."""

    def test_all_entries_together_stay_within_the_budget(self):
        """All servers fail at once and every request needs a retry. Four entries, each with its
        part of the budget, must not exceed the configured budget together."""
        budgets = [RetryBudget(0.2, 100, 10.0) for _ in range(4)]
        sent = 0
        for step in range(1000):
            budget = budgets[step % 4]
            budget.count_request("s", step / 100)
            sent += budget.try_spend("s", 4, step / 100)
        assert 100 < sent <= 0.2 * 1000 + 100

    def test_budget_is_restored_as_the_window_slides(self):
        budget = RetryBudget(0.0, 10, 10.0)
        assert sum(budget.try_spend("s", 1, 0.0) for _ in range(20)) == 6
        assert budget.try_spend("s", 1, 11.0)


class TestOutlierEjection:
    """Outlier ejection after failures."""

    def test_one_failure_ejects_a_server_only_if_it_is_clear(self):
        outlier_ejection = OutlierEjection()
        outlier_ejection.record_failure("a", 0.0, is_conclusive=False)
        assert not outlier_ejection.is_suspect("a", 0.0)
        outlier_ejection.record_failure("b", 0.0, is_conclusive=True)
        assert outlier_ejection.is_suspect("b", 0.5)

    def test_ejection_time_doubles_up_to_a_bound_and_success_ends_it(self):
        outlier_ejection = OutlierEjection()
        times = [
            outlier_ejection.record_failure("a", 100.0 * n, is_conclusive=True) for n in range(6)
        ]
        assert times == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
        outlier_ejection.record_success("a")
        assert not outlier_ejection.is_suspect("a", 500.1)


class TestServices:
    """Choice of services and of servers of plain services."""

    @given(st.floats(0, 0.999), st.lists(st.floats(0.1, 100), min_size=1, max_size=5))
    def test_some_service_is_always_chosen(self, draw, weights):
        shares = tuple(ServiceShare(str(n), weight) for n, weight in enumerate(weights))
        assert choose_service(shares, draw) in {share.service for share in shares}

    def test_services_are_chosen_in_proportion_to_their_weights(self):
        shares = (ServiceShare("a", 90), ServiceShare("b", 10))
        chosen = [choose_service(shares, n / 1000) for n in range(1000)]
        assert chosen.count("a") == 900

    def test_plain_request_goes_to_the_least_busy_server_then_to_the_own_data_centre(self):
        def view(name: str, place: str, requests: int) -> ServerView:
            server = BackendServer(name, "desk", Address("10.0.0.1", 1), place, 6, False)
            return ServerView(server, Work(plain_requests=requests))

        both = [view("far", "there", 1), view("near", "here", 1)]
        assert place_plain(both, "here").server_id == "near"
        busy = [view("far", "there", 0), view("near", "here", 1)]
        assert place_plain(busy, "here").server_id == "far"
        assert place_plain([], "here") is None


class TestUnreportedRequests:
    """Requests of entries that can't be reached."""

    def test_excess_counts_until_it_expires(self):
        """An entry that is partitioned from its peers fills the same engines. The excess stated in
        an answer over the known requests counts as load until a newer answer states less."""
        unreported = UnreportedRequests()
        unreported.record("a", ServerLoad(7, 1, 8), known=2, now_s=0.0)
        assert unreported.count("a", 0.5) == 5
        assert unreported.count("a", 1.5) == 0
        unreported.record("a", ServerLoad(3, 0, 8), known=2, now_s=0.6)
        assert unreported.count("a", 0.7) == 0


class TestLeavingServers:
    """Rejections by servers that are leaving without a notice from the store."""

    def test_rejection_without_load_and_without_recent_news(self):
        """A quarter of the engines drain while the store is unavailable, so each long prompt is
        placed on one of them. A full engine rejects requests too and must not be avoided for
        seconds."""
        idle, full = Work(short_requests=1), Work(short_requests=3, prefill_requests=1)
        assert is_probably_leaving(idle, 5, update_age_s=3.0)
        assert not is_probably_leaving(full, 5, update_age_s=3.0)
        assert not is_probably_leaving(idle, 5, update_age_s=0.3)

    def test_is_avoided_until_it_is_gone_or_confirmed_to_stay(self):
        leaving = LeavingServers()
        leaving.record("a", 10.0)
        assert leaving.to_avoid(11.0, confirmed_s=8.0) == {"a": 7.0}
        assert leaving.to_avoid(12.5, confirmed_s=11.5) == {"a": 5.5}
        assert leaving.to_avoid(13.0, confirmed_s=12.5) == {}

    def test_is_avoided_no_longer_than_it_takes_to_leave(self):
        leaving = LeavingServers()
        leaving.record("a", 10.0)
        assert leaving.to_avoid(18.0, confirmed_s=8.0) == {}


class TestTurningAway:
    """Load shedding and retry delays."""

    def test_retry_delays_of_one_burst_are_spread_and_honoured_by_callers(self):
        """Guards against callers that retry within the burst that rejected them: a burst of six
        times the capacity of the engines lasts six seconds, and with a retry delay of 0.5 s all
        callers were rejected for good."""
        times_s = [retry_delay_s(9.9, n / 200) for n in range(200)]
        assert min(times_s) > 1.9
        assert max(times_s) <= 9.9 / 3
        assert max(times_s) - min(times_s) > 1.0

    def test_caller_that_would_disconnect_before_its_answer_is_rejected(self):
        """Ten long prompts are prefilled one after the other. The answer to an eleventh would start
        after 20 s, while its caller disconnects after 12 s. Its prefill would be wasted and delay
        the next prompts."""
        assert would_miss_deadline(20.0, 12.0, 14.9)
        assert would_miss_deadline(3.0, 12.0, 2.5)
        assert not would_miss_deadline(3.0, 12.0, 14.9)
        assert not would_miss_deadline(3.0, 12.0, None)

    def test_answer_that_other_work_makes_end_late_is_rejected(self):
        """A prompt is placed behind another long one, with 4 s left: its first event would come
        after 3.7 s and its answer take 0.7 s more. Its stream would be cut, and it delays the other
        prompt past its limit as well."""
        assert would_end_late(3.7, 1.9, 0.7, 4.0)
        assert not would_end_late(3.2, 1.9, 0.7, 4.0)
        assert not would_end_late(3.7, 1.9, 0.7, None)

    def test_answer_that_would_end_late_on_idle_engines_is_served(self):
        """Guards against a request that is rejected for ever since its declared size is large."""
        assert not would_end_late(3.7, 1.9, 60.0, 4.0)

    def test_short_time_limit_gets_a_short_delay(self):
        assert retry_delay_s(0.5, 1.0) < 0.17
        assert retry_delay_s(0.0, 0.5) > 0
        assert retry_delay_s(None, 0.5) > 1

    def test_long_goals_leave_time_until_failed_servers_are_known(self):
        """A quarter of the servers leaves unannounced. Guards against a long prompt whose caller
        comes back at once and meets further ones among its helpers, although its goal allows it to
        come a second later."""
        assert retry_delay_after_failure_s(15.0, 0.0, 8.0) == 0.8
        assert retry_delay_after_failure_s(15.0, 1.0, 8.0) == 1.6
        assert retry_delay_after_failure_s(10.0, 1.0, -0.1) == pytest.approx(0.3)


class TestWatchDuty:
    """Which entries watch the store."""

    HOSTS = tuple(f"10.0.0.{number}" for number in range(1, 28))

    def duties(
        self, ages_s: dict[str, float], links_mbps: dict[str, int] | None = None
    ) -> list[str]:
        """Return the entries that watch if each knows all others."""
        entries = [
            WatchCandidate(host, age_s, (links_mbps or {}).get(host, 100))
            for host, age_s in ages_s.items()
        ]
        return [
            entry.host
            for entry in entries
            if must_watch_store(entry, [other for other in entries if other is not entry])
        ]

    def test_two_of_many_watch(self):
        assert len(self.duties(dict.fromkeys(self.HOSTS, 0.5))) == 2

    def test_all_watch_when_the_store_answers_none(self):
        assert len(self.duties(dict.fromkeys(self.HOSTS, 9.0))) == 27

    def test_few_take_over_when_the_watchers_get_no_answer(self):
        """The store delays its answers to watches by two seconds. If all entries took over at once,
        each of them would watch, and would read everything again if the store has compacted its
        history."""
        hosts = [f"10.0.0.{n}" for n in range(68)]
        assert len(self.duties(dict.fromkeys(hosts, 1.6))) == FIRST_TAKEOVER_COUNT
        assert len(self.duties(dict.fromkeys(hosts, 1.9))) == 3 * FIRST_TAKEOVER_COUNT
        assert (
            len(self.duties(dict.fromkeys(hosts, WATCHER_TIMEOUT_S + MAX_TAKEOVER_DELAY_S))) == 68
        )

    def test_the_fastest_links_watch(self):
        """Twenty versions of 0.5 MB arrive within two seconds. A watcher on a link of 10 Mbit/s
        would receive the last one after nine seconds, and so would all entries that rely on it."""
        links_mbps = dict.fromkeys(self.HOSTS[:25], 10)
        watching = self.duties(dict.fromkeys(self.HOSTS, 0.5), links_mbps)
        assert sorted(watching) == sorted(self.HOSTS[25:])

    def test_next_entry_takes_over_from_a_partitioned_watcher(self):
        """One of the two watchers is partitioned from the store and still sends its peers what it
        knows. If they relied on it, no entry would get changes after a crash of the other one."""
        first, second = self.duties(dict.fromkeys(self.HOSTS, 0.5))
        ages_s = {**dict.fromkeys(self.HOSTS, 0.5), first: 5.0}
        watching = self.duties(ages_s)
        assert second in watching
        assert len(set(watching) - {first}) == 2


class TestEvents:
    """Splitting of a body into events."""

    @given(st.lists(st.integers(1, 60), min_size=1), st.integers(1, 20))
    def test_any_split_of_the_bytes_gives_the_same_events(self, sizes, step):
        body = b"".join(f"id: {n}\ndata: {'x' * size}\n\n".encode() for n, size in enumerate(sizes))
        splitter = EventSplitter()
        events = []
        for start in range(0, len(body), step):
            events += splitter.feed(body[start : start + step])
        assert [event.event_id for event in events] == list(range(len(sizes)))
        assert b"".join(event.data for event in events) == body
        assert splitter.rest == b""


class TestLoad:
    """Accounting of work by backend server."""

    def test_prefill_counts_until_the_first_event_and_memory_until_the_end(self):
        ledger = Ledger()
        in_flight = InFlightAttempt(
            "a", Lane.LONG, {"a": 100, "b": 50}, (PrefillPart("a", 500.0), PrefillPart("b", 500.0))
        )
        ledger.add(in_flight, 0.0)
        work = ledger.work(0.1)
        assert work["b"] == Work(prefill_requests=1, tokens=50, prefill_ms=400.0)
        ledger.first_event(in_flight, 0.4)
        assert ledger.work(0.4)["a"] == Work(long_requests=1, tokens=100, decoding_tokens=100)
        ledger.remove(in_flight, 0.5)
        assert ledger.work(0.5) == {}

    def test_overdue_prefill_keeps_its_engines_busy(self):
        """A long prompt is still in prefill after its predicted 3 s, because later parts are
        prefilled first. If its engines counted as idle, a burst of short prompts would be placed
        there and wait."""
        ledger = Ledger()
        ledger.add(
            InFlightAttempt("a", Lane.LONG, {"a": 100}, (PrefillPart("a", 2900.0),), due_s=3.0), 0.0
        )
        assert ledger.work(2.8)["a"].prefill_ms == pytest.approx(100.0)
        assert ledger.work(3.05)["a"].prefill_ms == pytest.approx(MIN_UNFINISHED_PREFILL_MS)
        assert ledger.work(3.6)["a"].prefill_ms == pytest.approx(500.0)

    def test_parts_of_two_entries_on_one_engine_are_prefilled_in_sequence(self):
        """Two entries have placed a part of 0.5 s each on one engine. Guards against each entry
        counting down its own part separately: after 0.6 s the engine would look idle with 0.4 s of
        prefill left, and get the next prompt."""
        first, second = Ledger(), Ledger()
        for ledger, other in ((first, second), (second, first)):
            ledger.others = lambda other=other: [{server_hash("a"): Work(prefill_ms=left(other))}]
            ledger.add(
                InFlightAttempt("a", Lane.LONG, {}, (PrefillPart("a", 500.0),), due_s=1.0), 0.0
            )

        def left(ledger: Ledger) -> float:
            return sum(
                part_ms
                for in_flight in ledger._attempts
                for part_ms in in_flight.remaining_ms.values()
            )

        for tenth in range(1, 7):
            backlogs_ms = [ledger.work(tenth / 10)["a"].prefill_ms for ledger in (first, second)]
        assert sum(backlogs_ms) == pytest.approx(400.0, rel=0.1)

    def test_one_late_part_does_not_mark_all_engines_of_a_prompt_as_busy(self):
        """A long prompt is prefilled by 17 engines and waits for one of them for 1.9 s longer than
        predicted. Guards against counting that delay on each of the 17 engines: in an overload this
        gave a backlog of 550 s instead of 30 s, and callers were rejected while 25 of 78 engines
        were idle."""
        ledger = Ledger()
        parts = tuple(PrefillPart(f"e{number}", 300.0) for number in range(17))
        ledger.add(InFlightAttempt("e0", Lane.LONG, {}, parts, due_s=0.4), 0.0)
        backlog_ms = sum(work.prefill_ms for work in ledger.work(2.4).values())
        assert backlog_ms == pytest.approx(1900.0)

    def test_lost_answers_of_one_engine_do_not_add_up(self):
        """A third of the answers are lost on the network. Three prompts on one engine are late by a
        second each while it is idle. Guards against adding them up to a backlog of three seconds:
        with that on all engines, one caller in fourteen was rejected."""
        ledger = Ledger()
        for number in range(3):
            part = PrefillPart("a", 30.0)
            ledger.add(InFlightAttempt("a", Lane.SHORT, {}, (part,), due_s=0.1 + number / 100), 0.0)
        assert ledger.work(1.2)["a"].prefill_ms <= 1000.0

    def test_work_of_peers_is_added(self):
        own = {"a": Work(short_requests=1)}
        peers = [{server_hash("a"): Work(short_requests=2)}, {server_hash("b"): Work(tokens=7)}]
        view = merge_work(own, peers)
        assert view.at("a").short_requests == 3
        assert view.at("b").tokens == 7
        assert view.at("c") == Work()


class TestRouteTable:
    """Lookup of the route of a path."""

    PARTS = ("", "a", "b", "ab")

    def route(self, host: str, prefix: str) -> Route:
        """Return a route."""
        shares = (ServiceShare("s", 1.0),)
        return Route(
            "r", host, prefix, RouteKind.IDEMPOTENT, shares, 1.0, 1.0, None, 0, 1, False, False
        )

    def linear(self, routes: list[Route], host: str, path: str) -> Route | None:
        """Search all routes linearly, as the description of the configuration specifies."""
        fitting = [r for r in routes if r.host == host and path.startswith(r.path_prefix)]
        return max(fitting, key=lambda route: len(route.path_prefix), default=None)

    @given(
        st.lists(st.tuples(st.sampled_from("hg"), st.lists(st.sampled_from(PARTS), max_size=3))),
        st.lists(st.sampled_from(PARTS), max_size=4),
    )
    def test_matches_a_linear_search(self, declared, parts):
        prefixes = dict.fromkeys((h, "/" + "".join(p + "/" for p in ps)) for h, ps in declared)
        routes = [self.route(host, prefix) for host, prefix in prefixes]
        path = "/" + "/".join(parts)
        assert RouteTable(routes).find("h", path) == self.linear(routes, "h", path)
