"""Backend servers that ask for fewer requests, before several entries."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.testing.backpressure_fleet import SETTLED_S, allowed, most_in_window, offer
from sassafrastally.testing.harmful_fleet import start_fleet


class TestRateLimit:
    """Servers that name the requests a second that they take."""

    @pytest.mark.parametrize(("kind", "prompt"), [("engine", "1000,34"), ("desk", None)])
    async def test_limit_holds_for_the_sum_over_all_entries(self, fleet, kind, prompt):
        """Guards against a server getting more than the limit that it names."""
        await start_fleet(fleet, entries=3, engines=2)
        limited = fleet.replicas[f"{kind}-1"]
        limited.most_per_s = 1.0
        begin_s = trio.current_time()
        path = "/note/x" if kind == "engine" else "/look/x"
        await offer(fleet, path, per_s=12.0, for_s=8.0, entries=3, prompt=prompt)
        most = most_in_window(limited.called_s, begin_s + SETTLED_S)
        assert most <= allowed(limited.most_per_s)
