"""The checks of late answers, of servers that leave, and of entries beside long prompts."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
import trio

from sassafrastally.testing.soak import leaving, many_parts
from sassafrastally.testing.soak.harmful import PART_NAME
from sassafrastally.testing.soak.promises import DRAIN_S, Judge
from sassafrastally.testing.soak.proxying import LoopbackProxy
from sassafrastally.testing.soak.record import CALM_AFTER_S, Attempt, Kind, Record
from sassafrastally.testing.soak.scheduling import Look, Scheduling


class TestInTime:
    """The check of the time of each answer."""

    @pytest.mark.parametrize(
        ("took_s", "waited_from_s", "waited_s", "is_broken"),
        [
            (4.6, 0.0, 0.0, False),
            (4.8, 0.0, 0.0, True),
            (4.8, 4.1, 0.2, False),
            (5.2, 4.1, 0.4, True),
            (5.2, 4.1, 0.6, False),
            (4.8, 2.0, 0.5, True),
        ],
    )
    async def test_only_a_processor_that_lacks_after_the_limit_isnt_counted(
        self, autojump_clock, took_s, waited_from_s, waited_s, is_broken
    ):
        """Guards against blaming an entry for a lost processor, and against excusing it for longer
        than it lacked one, or for another time."""
        fleet = SimpleNamespace(record=Record(), scheduling=Scheduling())
        attempt = Attempt("1", Kind.LOOK, 1, 0)
        attempt.status, attempt.is_whole = 504, True
        begin_s = trio.current_time()
        fleet.scheduling.note(1, Look(begin_s + waited_from_s, 0, "R", 1.0, 5.0))
        looked_s = begin_s + waited_from_s + waited_s
        fleet.scheduling.note(1, Look(looked_s, 0, "S", 1.0, 5.0 + waited_s))
        await trio.sleep(took_s)
        attempt.ended_s = trio.current_time()
        Judge(fleet)._judge_answered(attempt, [])
        assert bool(fleet.record.broken) is is_broken


class TestManyParts:
    """The check of answers beside prompts of many parts."""

    @pytest.mark.parametrize(
        ("took_s", "waited_s", "kind", "beside", "is_broken"),
        [
            (4.9, 0.0, Kind.LOOK, many_parts.MANY_PARTS, True),
            (4.5, 0.0, Kind.LOOK, many_parts.MANY_PARTS, False),
            (4.9, 0.4, Kind.LOOK, many_parts.MANY_PARTS, False),
            (5.4, 0.4, Kind.BOOK, many_parts.MANY_PARTS, True),
            (5.4, 0.0, Kind.NOTE, many_parts.MANY_PARTS, False),
            (5.4, 0.0, Kind.LOOK, PART_NAME, False),
        ],
    )
    async def test_only_late_answers_of_an_entry_that_ran_break_the_promise(
        self, autojump_clock, took_s, waited_s, kind, beside, is_broken
    ):
        """Guards against a check that finds nothing, or blames an entry for a lost processor, for
        engines that crash, or where no such prompts are sent."""
        fleet = SimpleNamespace(record=Record(), scheduling=Scheduling())
        attempt = Attempt("1", kind, 1, 0)
        begin_s = trio.current_time()
        with fleet.record.trouble(beside, []):
            await trio.sleep(took_s)
        attempt.ended_s = trio.current_time()
        fleet.scheduling.note(1, Look(begin_s + 1.0, 0, "R", 1.0, 5.0))
        fleet.scheduling.note(1, Look(begin_s + 2.0, 0, "R", 1.0, 5.0 + waited_s))
        many_parts.judge_many_parts(fleet, attempt)
        assert bool(fleet.record.broken) is is_broken

    async def test_other_trouble_excuses_a_late_answer(self, autojump_clock):
        """Guards against blaming the parts for what another trouble has done."""
        fleet = SimpleNamespace(record=Record(), scheduling=Scheduling())
        attempt = Attempt("1", Kind.LOOK, 1, 0)
        beside = fleet.record.trouble(many_parts.MANY_PARTS, [])
        with beside, fleet.record.trouble("entry-paused", [1]):
            await trio.sleep(5.4)
        attempt.ended_s = trio.current_time()
        many_parts.judge_many_parts(fleet, attempt)
        assert not fleet.record.broken


class TestLeaving:
    """The check of servers that have left."""

    @pytest.mark.parametrize(
        ("late_s", "beside", "is_broken"),
        [
            (0.2, "", True),
            (-0.2, "", False),
            (0.2, leaving.CLOCK_BACK, True),
            (0.2, leaving.REPLACED, True),
            (0.2, "store-away", False),
            (0.2, leaving.TAKEOVER, False),
        ],
    )
    async def test_requests_after_the_time_to_leave_break_the_promise(
        self, autojump_clock, late_s, beside, is_broken
    ):
        """Guards against a check that finds nothing, or blames an entry that was without power, and
        against excusing entries by another life of a server."""
        record = Record()
        with record.trouble(
            beside or "configured", [1] if beside == leaving.TAKEOVER else None, planned=not beside
        ):
            await trio.sleep(CALM_AFTER_S + DRAIN_S + late_s)
        attempt = Attempt("1", Kind.BOOK, 1, 0)
        record.attempts["1"] = attempt
        arrival = SimpleNamespace(request_id="1", at_s=trio.current_time())
        replica = SimpleNamespace(server_id="desk-1", received_requests=[arrival])
        drained_s = trio.current_time() - DRAIN_S - late_s
        fleet = SimpleNamespace(
            record=record, all_replicas=[replica], drained={"desk-1": drained_s}
        )
        Judge(fleet)._judge_drains()
        assert bool(record.broken) is is_broken

    async def test_entries_that_watch_the_store_are_those_that_call_it(self, autojump_clock):
        """Guards against a takeover of which no watcher is a part."""
        proxies = {number: LoopbackProxy(None) for number in (1, 2, 3)}
        fleet = SimpleNamespace(store_proxies=proxies)
        await trio.sleep(5.0)
        proxies[1].watched_s = trio.current_time() - 0.9
        proxies[2].watched_s = trio.current_time() - 2.0
        assert leaving.watching_entries(fleet) == [1]
