"""The soak's checks, and what counts as calm."""

from __future__ import annotations

import math
from collections import Counter
from types import SimpleNamespace

import pytest
import trio

from sassafrastally.stand_ins.metadata_store import MetadataStore
from sassafrastally.testing.soak import breaking, contention, long_uploads, starving, troubles
from sassafrastally.testing.soak.callers import GIVES_UP_S
from sassafrastally.testing.soak.probing import STORE_WINDOW_S, most_store_calls, watch_store_calls
from sassafrastally.testing.soak.promises import SEVERAL, Judge
from sassafrastally.testing.soak.proxying import CutHead, LoopbackProxy
from sassafrastally.testing.soak.record import Attempt, HarmedSpan, Kind, Record
from sassafrastally.testing.soak.scheduling import Look, Scheduling
from sassafrastally.testing.soak.uploading import SentUpload, Upload

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: 1f\r\nContent-Length: 2\r\n\r\n"


def make_fleet(successes: int = 0) -> SimpleNamespace:
    """Return a fleet with one server that broke off the heads of some successes."""
    proxy = SimpleNamespace(cut_successes=Counter({"1f": successes}))
    return SimpleNamespace(record=Record(), servers=[SimpleNamespace(proxy=proxy)])


class TestCutHead:
    """Heads that a proxy ends before their end."""

    @pytest.mark.parametrize("share", [0.0, 0.5, 0.999])
    @pytest.mark.parametrize("is_reset", [False, True])
    async def test_passes_a_part_and_ends(self, nursery, share, is_reset):
        """Guards against a trouble that harms nothing."""

        async def answer(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(HEAD + b"{}")

        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, answer, [listener])
        target = SimpleNamespace(host="127.0.0.1", port=listener.socket.getsockname()[1])
        proxy = LoopbackProxy(target)
        proxy.cut_head = CutHead(share, 0.0, is_reset)
        stream = await trio.open_tcp_stream("127.0.0.1", await proxy.start("127.0.0.1", 0, nursery))
        await stream.send_all(b"request")
        received = b""
        try:
            while data := await stream.receive_some():
                received += data
        except trio.BrokenResourceError:
            assert is_reset
        assert received == HEAD[: len(received)]
        assert len(received) < len(HEAD)
        assert received or is_reset
        assert proxy.cut_successes == {"1f": 1}

    @pytest.mark.parametrize(
        ("status", "runs", "cut", "is_broken"),
        [(200, 1, 1, True), (200, 2, 1, False), (200, 1, 0, False), (502, 1, 1, False)],
    )
    async def test_only_a_success_without_a_whole_head_breaks_the_promise(
        self, status, runs, cut, is_broken
    ):
        """Guards against a check that finds nothing, or blames an answer of another server."""
        fleet, attempt = make_fleet(cut), Attempt("1f", Kind.LOOK, 1, 0)
        attempt.status = status
        breaking.judge_cut_heads(fleet, attempt, [SimpleNamespace(has_run=True)] * runs)
        assert bool(fleet.record.broken) is is_broken


class TestStarving:
    """Requests that end without an answer at an entry short of CPU time."""

    @pytest.mark.parametrize(
        ("took_s", "status", "is_sent", "lag_s", "is_broken"),
        [
            (0.25, 0, True, 0.0, True),
            (0.15, 0, True, 0.0, False),
            (0.25, 503, True, 0.0, False),
            (0.25, 0, False, 0.0, False),
            (0.25, 0, True, 0.1, False),
            (0.35, 0, True, 0.1, True),
        ],
    )
    async def test_only_a_whole_request_cut_late_breaks_the_promise(
        self, autojump_clock, took_s, status, is_sent, lag_s, is_broken
    ):
        """Guards against a check that finds nothing, or blames an entry for a part of a request or
        for the delay of the soak itself."""
        fleet = make_fleet()
        with fleet.record.trouble(starving.STARVED, [1]):
            attempt = Attempt("1f", Kind.NOTE, 1, 3)
            attempt.is_direct, attempt.is_sent, attempt.status = True, is_sent, status
            await trio.sleep(took_s)
        attempt.ended_s = trio.current_time()
        fleet.record.lags.append(HarmedSpan("", attempt.ended_s - lag_s, attempt.ended_s))
        starving.judge_starving(fleet, attempt)
        assert bool(fleet.record.broken) is is_broken


class TestLongUploads:
    """Long requests that callers have handed over at an entry short of CPU time."""

    def fleet(self, status: int, handed_over_s: float | None, took_s: float, waited_s: float = 0.0):
        """Return a fleet with one long request, sent at 10 s."""
        fleet = make_fleet()
        fleet.scheduling = Scheduling()
        upload = Upload(
            connected_s=10.0,
            handed_over_s=None if handed_over_s is None else 10.0 + handed_over_s,
            ended_s=10.0 + took_s,
            status=status,
            request_id="1f",
            waited_s=waited_s,
        )
        fleet.uploads = [SentUpload(1, Kind.BOOK, upload)]
        return fleet

    @pytest.mark.parametrize(
        ("status", "handed_over_s", "took_s", "waited_s", "is_broken"),
        [
            (408, 0.01, 1.0, 0.0, True),
            (408, 0.3, 1.0, 0.0, False),
            (408, None, 1.0, 0.0, False),
            (413, 0.01, 1.0, 0.0, True),
            (503, 0.01, 1.0, 0.0, False),
            (200, 0.01, 1.0, 0.0, False),
            (0, 0.01, 0.3, 0.0, True),
            (0, 0.01, 0.15, 0.0, False),
            (0, 0.01, 0.3, 0.1, False),
        ],
    )
    async def test_only_requests_handed_over_in_time_break_the_promise(
        self, autojump_clock, status, handed_over_s, took_s, waited_s, is_broken
    ):
        """Guards against a check that finds nothing, or blames an entry for a slow caller or for a
        connection that counts as unread."""
        fleet = self.fleet(status, handed_over_s, took_s, waited_s)
        long_uploads.judge_uploads(fleet, {"1f": []})
        assert bool(fleet.record.broken) is is_broken

    @pytest.mark.parametrize(
        ("status", "runs", "is_broken"),
        [(503, 1, True), (503, 0, False), (200, 2, True), (200, 1, False)],
    )
    async def test_refusals_are_true_and_nothing_runs_twice(
        self, autojump_clock, status, runs, is_broken
    ):
        """Guards against a check of long requests that finds nothing, or too much."""
        fleet = self.fleet(status, None, 1.0)
        long_uploads.judge_uploads(fleet, {"1f": [SimpleNamespace(has_run=True)] * runs})
        assert bool(fleet.record.broken) is is_broken

    @pytest.mark.parametrize("name", ["entry-paused", long_uploads.UPLOADS, troubles.STARTED])
    async def test_only_other_troubles_excuse_it(self, autojump_clock, name):
        """Guards against blaming an entry that another trouble has kept from running."""
        fleet = self.fleet(408, 0.01, 1.0)
        with fleet.record.trouble(name, [1]):
            await trio.sleep(12.0)
        long_uploads.judge_uploads(fleet, {"1f": []})
        assert bool(fleet.record.broken) is (name != "entry-paused")


class TestGone:
    """Requests that reach a server after their caller has left."""

    @pytest.mark.parametrize("is_calm", [False, True])
    async def test_only_a_calm_entry_breaks_the_promise(self, autojump_clock, is_calm):
        """Guards against blaming an entry that didn't run when its callers left."""
        autojump_clock.jump(10.0)
        fleet, arrivals = make_fleet(), {}
        with fleet.record.trouble("entry-paused", [2 if is_calm else 1]):
            for number in range(SEVERAL + 1):
                attempt = Attempt(f"{number}", Kind.NOTE, 1, 3)
                attempt.has_left, attempt.ended_s = True, trio.current_time()
                fleet.record.attempts[attempt.attempt_id] = attempt
                late_s = trio.current_time() + 1.0
                arrivals[attempt.attempt_id] = [SimpleNamespace(at_s=late_s, finished_s=None)]
            await trio.sleep(2.0)
        Judge(fleet)._judge_gone(arrivals)
        assert bool(fleet.record.broken) is is_calm


class TestContention:
    """The checks of evacuations and cold servers."""

    def fleet(self, arrivals_s: list[float]) -> SimpleNamespace:
        """Return what the checks read of a fleet with one server and calm entries."""
        record = Record()
        arrivals = []
        for number, at_s in enumerate(arrivals_s):
            record.attempts[str(number)] = Attempt(str(number), Kind.NOTE, 1, 1)
            arrivals.append(SimpleNamespace(request_id=str(number), at_s=at_s))
        replica = SimpleNamespace(
            server_id="engines-1", data_centre="there", received_requests=arrivals
        )
        return SimpleNamespace(
            record=record,
            all_replicas=[replica],
            evacuations=[HarmedSpan("there", 100.0, 110.0)],
            cold=[HarmedSpan("engines-1", 100.0, 103.0)],
            cold_per_s=8.0,
        )

    async def test_late_requests_to_an_evacuated_data_centre_are_found(self, autojump_clock):
        """Guards against a check that finds nothing, or counts requests within the bound."""
        for arrivals_s, is_broken in (([101.0, 105.2, 111.0], False), ([106.0], True)):
            fleet = self.fleet(arrivals_s)
            contention._judge_evacuations(fleet)
            assert bool(fleet.record.broken) is is_broken

    async def test_seconds_above_the_cold_bound_are_found(self, autojump_clock):
        """Guards against a check that finds nothing, or counts more than a second."""
        for count, is_broken in ((17, False), (18, True)):
            fleet = self.fleet([101.5 + number / 20 for number in range(count)])
            contention._judge_cold(fleet)
            assert bool(fleet.record.broken) is is_broken

    async def test_waits_are_judged_by_what_harms_the_entry_and_the_callers_link(
        self, autojump_clock
    ):
        """Guards against blaming an entry whose answer a silenced link of its caller has kept, and
        against a check that finds no endless wait."""
        for name, is_broken in (("callers-links: silence", False), ("server-crashed", True)):
            fleet = self.fleet([])
            attempt = fleet.record.attempts["1"] = Attempt("1", Kind.LOOK, 1, 0)
            with fleet.record.trouble(name, [1]):
                await trio.sleep(GIVES_UP_S)
            attempt.ended_s = trio.current_time()
            contention._judge_waits(fleet)
            assert bool(fleet.record.broken) is is_broken


class TestStoreCalls:
    """The check of calls to the store."""

    def test_changes_of_the_store_are_no_loop(self):
        """Guards against blaming entries that wait again after each of many changes, and against
        allowing more while the store doesn't change."""
        assert most_store_calls(entries=2, changes=16) >= 40
        assert most_store_calls(entries=2, changes=0) == 36

    @pytest.mark.parametrize("is_loop", [False, True])
    async def test_calls_around_a_restore_are_judged_by_the_changes_made(
        self, autojump_clock, nursery, is_loop
    ):
        """Guards against taking a revision that a restore sets back for the lack of changes, and
        against a restore that excuses a loop."""
        store, record = MetadataStore(), Record()
        copy = store.copy()
        for _ in range(200):
            store.put("others/odd", b"")
        nursery.start_soon(
            watch_store_calls, SimpleNamespace(store=store, record=record, entries=[1, 2])
        )
        await trio.sleep(STORE_WINDOW_S / 2)
        store.restore(copy)
        for _ in range(30):
            store.calls += ["/kv-watch"] * 2
            if not is_loop:
                store.put("others/odd", b"")
        await trio.sleep(STORE_WINDOW_S)
        assert bool(record.broken) is is_loop


class TestScheduling:
    """How long an entry was ready to run without a processor."""

    def scheduling(self) -> Scheduling:
        """Return looks at an entry that waits for 0.3 s, and a look at its next process."""
        scheduling = Scheduling()
        for at_s, life, waited_s in (
            (10.0, 0, 1.0),
            (10.5, 0, 1.3),
            (11.0, 0, 1.3),
            (11.5, 1, 9.0),
        ):
            scheduling.note(1, Look(at_s, life, "R", 0.0, waited_s))
        return scheduling

    @pytest.mark.parametrize(
        ("begin_s", "end_s", "waited_s"),
        [
            (10.0, 11.5, 0.3),
            (10.3, 11.5, 0.2),
            (10.0, 10.3, 0.1),
            (10.6, 11.5, 0.0),
            (9.0, 10.1, 0.0),
        ],
    )
    def test_only_waits_within_the_time_count(self, begin_s, end_s, waited_s):
        """Guards against an excuse by what an entry, or the process before it, lost at another
        time."""
        assert self.scheduling().waited_s(1, begin_s, end_s) == pytest.approx(waited_s)

    def test_entry_that_was_not_looked_at_has_no_excuse(self):
        assert Scheduling().waited_s(1, 0.0, 100.0) == 0.0

    def test_states_and_times_are_told(self):
        assert self.scheduling().describe(1, 10.0, 11.0) == (
            "entry's states 3 R, ran 0.000 s, ready without a processor 0.300 s"
        )


class TestRecord:
    """What counts as calm."""

    async def test_trouble_and_a_while_after_it_excuse_only_whom_they_harm(self, autojump_clock):
        record = Record()
        with record.trouble("entry-paused", [1]):
            await trio.sleep(1.0)
        assert not record.is_calm(1, 2.0, 2.5)
        assert record.is_calm(1, 4.5, 5.0)
        assert record.is_calm(2, 0.5, 0.9)

    async def test_planned_work_excuses_no_lost_answer(self, autojump_clock):
        record = Record()
        with record.trouble("entry-stopped", [1], planned=True):
            await trio.sleep(1.0)
        assert record.is_calm(1, 0.2, 0.4)
        assert not record.is_calm(1, 0.2, 0.4, with_planned=True)

    async def test_calm_begins_a_while_after_the_last_trouble(self, autojump_clock):
        record = Record()
        with record.trouble("store-away", at_store=True):
            await trio.sleep(1.0)
        assert record.calm_since_s(1, 3.9) == math.inf
        assert record.calm_since_s(1, 4.5) == pytest.approx(4.0)
        assert record.calm_since_s(1, -1.0) == -math.inf

    async def test_target_names_the_attempt(self):
        assert Attempt("abc", Kind.BOOK, 1, 0).target == "/book/abc"
