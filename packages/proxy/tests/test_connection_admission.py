"""What happens to new connections that can't be served."""

from __future__ import annotations

import pytest

from sassafrastally.core import UnreadInput
from sassafrastally.proxy.connection_admission import Admission, can_refuse, turn_away

CROSSING_S = 0.2


class TestTurnAway:
    """Connections of an entry that lacks CPU time or places."""

    @pytest.mark.parametrize(
        ("unread", "expected"),
        [
            (UnreadInput(), Admission.CLOSE),
            (UnreadInput(300, 0.0), Admission.CLOSE),
            (UnreadInput(300, 0.09), Admission.CLOSE),
            (UnreadInput(300, 0.1), Admission.REFUSE),
            (UnreadInput(300, 5.0), Admission.REFUSE),
            (UnreadInput(1, None), Admission.CLOSE),
        ],
    )
    def test_only_what_has_just_arrived_is_closed(self, unread, expected):
        """Guards against the reset of a request that has waited, and against a refusal of one that
        could be tried elsewhere at once."""
        assert turn_away(unread, CROSSING_S) is expected

    def test_without_resources_everything_is_closed(self):
        """Guards against refusals that take the descriptors of the requests in progress."""
        assert turn_away(UnreadInput(300, 5.0), CROSSING_S, can_refuse=False) is Admission.CLOSE
        assert can_refuse(1_000, 1_000.0)
        assert can_refuse(1_125, 1_000.0)
        assert not can_refuse(1_126, 1_000.0)
