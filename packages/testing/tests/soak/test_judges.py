"""The soak's checks."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
import trio

from sassafrastally.testing.soak.promises import SEVERAL, Judge
from sassafrastally.testing.soak.record import Attempt, Kind, Record


class TestGone:
    """Requests that reach a server after their caller has left."""

    @pytest.mark.parametrize("is_calm", [False, True])
    async def test_only_a_calm_entry_breaks_the_promise(self, autojump_clock, is_calm):
        """Guards against blaming an entry that didn't run when its callers left."""
        autojump_clock.jump(10.0)
        fleet, arrivals = SimpleNamespace(record=Record()), {}
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
