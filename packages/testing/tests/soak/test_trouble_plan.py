"""Which troubles a seed of the soak brings, and when."""

from __future__ import annotations

from collections import Counter

from sassafrastally.testing.soak.trouble_plan import plan_troubles

KINDS = ["store-restored", "store-restored", "configured", "server-drained"]
SECONDS = 30.0
GAP_S = 4.0


class TestPlan:
    """Plans of troubles."""

    def test_is_the_same_for_the_same_seed(self):
        """Guards against a seed whose troubles depend on how fast callers are answered."""
        first, second = (plan_troubles(7, SECONDS, KINDS, GAP_S) for _ in range(2))
        assert first == second
        assert first != plan_troubles(8, SECONDS, KINDS, GAP_S)

    def test_brings_each_kind_in_each_round(self):
        """Guards against a soak that never brings the trouble that it is for."""
        for seed in range(50):
            planned = plan_troubles(seed, 100 * GAP_S, KINDS, GAP_S)
            assert Counter(one.name for one in planned[: len(KINDS)]) == Counter(KINDS)

    def test_is_as_dense_as_asked_and_ends_in_time(self):
        """Guards against troubles after the end, or hardly any."""
        planned = plan_troubles(7, 1000 * GAP_S, KINDS, GAP_S)
        assert 900 < len(planned) < 1100
        times_s = [one.at_s for one in planned]
        assert times_s == sorted(times_s)
        assert times_s[-1] < 1000 * GAP_S
