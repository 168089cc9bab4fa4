"""Decisions about slow engines: slow events, pace, and moving a prefill."""

from __future__ import annotations

import pytest

from sassafrastally.proxy.attempt_migration import remaining_s, should_move_attempt
from sassafrastally.proxy.engine_time import pass_ms, prefill_ms
from sassafrastally.proxy.model import (
    EngineProfile,
)
from sassafrastally.proxy.pace import REPORT_VALID_S, PaceReports
from sassafrastally.proxy.report_duty import polls_engine
from sassafrastally.proxy.slow_event_detection import (
    SlowEventDetector,
    event_time_s,
    slow_event_time_s,
)

PROFILE = EngineProfile(8, 405_000, 1.31, 0.0018, 0.00213, 154.0, 0.162, 2048, 34, 0.1)


class TestSlowEventDetector:
    """Detection of engines that are slower than their figures."""

    def test_consecutive_slow_events_eject_an_engine_for_a_while(self):
        """An engine becomes four times slower. It still answers, so no request fails, but each long
        prompt that it prefills a part of waits for that part."""
        detector = SlowEventDetector()
        found = [detector.record_slow("a", 8, 0.2 * n) for n in range(4)]
        assert found == [False, False, False, True]
        assert "a" in detector.slow_servers(1.0)
        assert detector.slow_servers(9.0) == {}

    def test_events_that_arrive_together_are_not_slow(self):
        """Guards against suspecting engines because this entry ran late: an engine writes an event
        every 45 ms, and the entry reads four or more of them at a time."""
        limit_s = slow_event_time_s(PROFILE)
        assert limit_s < 0.2
        assert event_time_s(0.2, 4) < limit_s
        assert event_time_s(3.0, 67) < limit_s
        assert event_time_s(0.2, 1) == event_time_s(0.2, 0) == 0.2

    def test_one_usual_event_resets_the_count(self):
        detector = SlowEventDetector()
        for n in range(20):
            if n % 4 == 3:
                detector.record_usual("a")
            else:
                assert not detector.record_slow("a", 8, 0.2 * n)

    def test_most_engines_are_never_ejected(self):
        """All engines seem slow when this process is starved of CPU or its link loses packets.
        Ejecting most of them would overload the rest."""
        detector = SlowEventDetector()
        names = [f"e{n}" for n in range(8)] * 6
        assert sum(detector.record_slow(name, 8, 0.01 * n) for n, name in enumerate(names)) == 2
        assert len(detector.slow_servers(1.0)) == 2

    def test_events_during_the_prefill_of_a_short_prompt_are_not_slow(self):
        """A full engine decodes eight requests and prefills a short prompt in some passes."""
        busiest_s = (pass_ms(PROFILE, 8, 405_000) + prefill_ms(PROFILE, 5000)) / 1000
        assert busiest_s < slow_event_time_s(PROFILE)


class TestPace:
    """Paces from the reports of engines."""

    def test_each_engine_is_polled_by_one_entry_and_few_are_reassigned(self):
        hosts = [f"10.0.0.{n}" for n in range(6)]
        engines = [f"i-{n}" for n in range(200)]

        def polled_by(present: list[str]) -> dict[str, list[str]]:
            return {
                engine: [host for host in present if polls_engine(engine, host, present)]
                for engine in engines
            }

        before, after = polled_by(hosts), polled_by(hosts[1:])
        assert all(len(pollers) == 1 for pollers in before.values())
        changed = [engine for engine in engines if before[engine] != after[engine]]
        assert all(before[engine] == [hosts[0]] for engine in changed)

    def test_report_expires(self):
        paces = PaceReports()
        paces.record("a", 5.0, 10.0)
        paces.record("b", 1.1, 10.0)
        assert paces.slow(10.5) == {"a": 5.0}
        assert paces.slow(10.0 + REPORT_VALID_S) == {}

    def test_prefill_moves_when_it_misses_its_goal_here_and_is_much_sooner_elsewhere(self):
        """A prompt was predicted within 0.5 s, and one of its engines became five times slower."""
        assert remaining_s(1.0, 0.5, 5.0) == pytest.approx(1.5)
        assert should_move_attempt(2.4, 0.5, goal_left_s=1.5)
        assert not should_move_attempt(1.2, 0.5, goal_left_s=1.5)
        assert not should_move_attempt(2.4, 2.0, goal_left_s=1.5)

    def test_prefill_that_has_just_started_takes_its_whole_time_at_the_pace(self):
        assert remaining_s(0.0, 0.5, 4.0) == pytest.approx(2.0)
