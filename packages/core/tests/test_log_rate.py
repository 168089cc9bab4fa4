"""The rate of the lines of a recurring event."""

from __future__ import annotations

from sassafrastally.core.log_rate import LINE_INTERVAL_S, MAX_KEYS, LogRate


class TestLogRate:
    def test_lines_are_bounded_and_sum_up_what_was_left_out(self):
        """Guards against a log that grows with a flood, and against one that hides its size."""
        rate = LogRate()
        counts = [rate.count("closed", now_s / 100) for now_s in range(1001)]
        assert sum(count > 0 for count in counts) == 1 + 1000 / 100 // LINE_INTERVAL_S
        assert sum(counts) == 1001
        assert counts[0] == 1

    def test_keys_have_lines_of_their_own(self):
        """Guards against a frequent cause that hides a rare one."""
        rate = LogRate()
        assert [rate.count(key, 0.0) for key in ("idle", "idle", "request")] == [1, 0, 1]

    def test_keys_are_bounded(self):
        """Guards against memory that grows with each peer that has ever failed."""
        rate = LogRate()
        assert all(rate.count(key, 0.0) for key in range(2 * MAX_KEYS))
        assert len(rate._logged_s) == len(rate._unlogged) == MAX_KEYS
        assert not rate.count(2 * MAX_KEYS - 1, 0.0)
