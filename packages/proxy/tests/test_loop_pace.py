"""Pace of an event loop, from its turns."""

from __future__ import annotations

import time

import pytest
import trio

from sassafrastally.proxy.cpu_overload import LoopPace, Turn, timed_turns

PROCESSOR_S = 0.002


class TestSlowdown:
    """What turns of an event loop tell about its pace."""

    def test_is_none_of_an_idle_loop(self):
        """Guards against a pace from timers that are late by less than anyone notices."""
        pace = LoopPace()
        for number in range(200):
            due_s = 0.02 * number
            pace.record(Turn(due_s, due_s + 0.003, due_s + 0.0031, 0.0001))
        assert pace.slowdown(4.0) == pytest.approx(1.0)

    def test_of_a_loop_that_shares_its_processor(self):
        """Guards against the pace of a quick entry for one that takes ten times as long for the
        requests of a burst, and whose timers fire on time afterwards."""
        pace = LoopPace()
        for number in range(100):
            begin_s = 0.02 * number
            pace.record(Turn(begin_s, begin_s, begin_s + 10 * PROCESSOR_S, PROCESSOR_S))
        for number in range(100, 300):
            due_s = 0.02 * number
            pace.record(Turn(due_s, due_s, due_s + 0.0001, 0.0001))
        assert 8.0 < pace.slowdown(6.0) <= 10.0

    def test_of_a_loop_that_runs_in_turns(self):
        """Guards against the same for a process that doesn't run for seven tenths of the time and
        has had little to do."""
        pace = LoopPace()
        for number in range(20):
            due_s = 0.1 * number + 0.01
            pace.record(Turn(due_s, due_s + 0.07, due_s + 0.0701, 0.0001))
        assert 3.0 < pace.slowdown(2.0) < 4.0

    def test_forgets_a_single_lag(self):
        """Guards against a lag of half a second that shortens a stop which it was long before."""
        pace = LoopPace()
        pace.record(Turn(1.0, 1.5, 1.5001, 0.0001))
        assert pace.slowdown(1.6) == pytest.approx(2.0)
        assert pace.slowdown(3.0) == 1.0


class TestTimedTurns:
    """Turns of a real event loop."""

    async def test_loop_that_stands_still_is_seen(self):
        """Guards against a loop that counts as quick since its turns are measured only from when
        it runs."""
        pace = LoopPace()
        with timed_turns(pace):
            for _ in range(11):
                await trio.sleep(0.01)
                time.sleep(0.1)
        assert pace.slowdown(trio.current_time()) > 3.0
