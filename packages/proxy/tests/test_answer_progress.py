"""Progress of the answer to one attempt."""

from __future__ import annotations

import pytest

from sassafrastally.proxy.answer_progress import (
    GOING_ON_EVENTS,
    GOING_ON_S,
    MAX_GAP_S,
    AnswerProgress,
)


def goes_on(events_s: list[float]) -> bool:
    """Return whether an answer goes on after events at these times."""
    progress = AnswerProgress()
    for event_s in events_s:
        progress.record_event(event_s)
    return progress.is_going_on


class TestGoingOn:
    """When an answer counts as going on."""

    @pytest.mark.parametrize("pause_s", [0.416, 2.0])
    def test_own_pause_doesnt_count(self, pause_s):
        """Guards against an attempt whose whole response lies in the socket and that is closed
        right after a pause of this entry, for one that has only begun."""
        before_s = [0.0, 0.06, 0.12, 0.18]
        after_s = [before_s[-1] + pause_s] * 5
        assert not goes_on(before_s + after_s)

    @pytest.mark.parametrize("interval_s", [0.02, 0.1, MAX_GAP_S, 1.0])
    def test_answer_at_any_pace_goes_on(self, interval_s):
        """An answer that arrives steadily goes on after the time and the number of events."""
        events = max(GOING_ON_EVENTS, round(GOING_ON_S / interval_s) + 2)
        assert goes_on([number * interval_s for number in range(events)])
        assert not goes_on([number * interval_s for number in range(GOING_ON_EVENTS - 1)])
