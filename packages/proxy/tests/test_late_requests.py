"""Requests that a stopping entry reads when its callers have had time to move."""

from __future__ import annotations

import pytest

from sassafrastally.proxy.drain import Drain

ENDS_S = 10.0
WHOLE_AFTER_S = 5.0
DECLARED_S = 6.0


class TestLateRequests:
    """The time that a stopping entry needs for requests that come late in its drain."""

    @pytest.mark.parametrize("shares", [(0.3, 0.3), (0.3, 1.5), ()])
    def test_need_that_of_the_longest_response(self, shares):
        """Guards against a stream that begins and is cut at the end, since it is longer than most
        or its engine slower."""
        drain = Drain()
        drain.begin(ENDS_S, whole_after_s=WHOLE_AFTER_S)
        for share in shares:
            drain.response_lengths.record("note", share * DECLARED_S, DECLARED_S)
        longest_s = DECLARED_S * max((1.0, *shares))
        assert drain.needed_s("note", 0.0, DECLARED_S, 5.1) == pytest.approx(longest_s)

    def test_others_need_that_of_most_responses(self):
        """Guards against refusals of most streams at a stopping entry for their declared size."""
        drain = Drain()
        drain.begin(ENDS_S, whole_after_s=WHOLE_AFTER_S)
        drain.response_lengths.record("note", 1.8, DECLARED_S)
        assert drain.needed_s("note", 0.0, DECLARED_S, 4.9) == pytest.approx(1.8)

    def test_without_events_need_their_first_one(self):
        """Guards against refusals of late plain requests, whose responses have no declared size."""
        drain = Drain()
        drain.begin(ENDS_S, whole_after_s=WHOLE_AFTER_S)
        late_s, early_s = (drain.needed_s("look", 0.4, 0.0, one) for one in (5.1, 4.9))
        assert late_s == early_s == pytest.approx(0.5)
