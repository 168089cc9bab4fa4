"""Which of several reported limits of a backend server is in effect."""

from __future__ import annotations

import pytest

from sassafrastally.proxy.rate_limits import LimitChange, ServerLimits

SERVER = 7


class TestAnswers:
    """Limits in the answers of a server."""

    def test_latest_limit_is_in_effect(self):
        """Guards against a limit that stays in effect after its server has recovered."""
        limits = ServerLimits()
        assert limits.record_answer_limit(SERVER, 2.0, 1.0) is LimitChange.NEWS
        assert limits.of(SERVER) == 2.0
        assert limits.record_answer_limit(SERVER, None, 2.0) is LimitChange.NEWS
        assert limits.of(SERVER) is None

    def test_server_without_a_limit_is_not_recorded(self):
        limits = ServerLimits()
        assert limits.record_answer_limit(SERVER, None, 1.0) is LimitChange.NOTHING
        assert not limits

    @pytest.mark.parametrize(
        ("new_limit_per_s", "change"),
        [(2.0, LimitChange.NOTHING), (2.3, LimitChange.SMALL), (1.5, LimitChange.NEWS)],
    )
    def test_small_changes_are_not_significant(self, new_limit_per_s, change):
        """Guards against a datagram and a log line for each answer of a server."""
        limits = ServerLimits()
        limits.record_answer_limit(SERVER, 2.0, 1.0)
        assert limits.record_answer_limit(SERVER, new_limit_per_s, 2.0) is change
        assert limits.of(SERVER) == new_limit_per_s


class TestPeerReports:
    """Limits reported by peers."""

    def test_outdated_limit_does_not_circulate(self):
        """Guards against two entries that keep an ended limit by reporting it to each other."""
        first, second = ServerLimits(), ServerLimits()
        first.record_answer_limit(SERVER, 1.0, 0.0)
        second.record_peer_limit(SERVER, first.limits_to_send(0.0)[SERVER], 0.02)
        first.record_answer_limit(SERVER, None, 0.3)
        for turn in range(1, 400):
            now_s = 0.3 + turn * 0.1
            network_delay_s = 0.02
            for sender, receiver in ((first, second), (second, first)):
                for key, report in sender.limits_to_send(now_s).items():
                    receiver.record_peer_limit(key, report, now_s + network_delay_s)
        assert first.of(SERVER) is None
        assert second.of(SERVER) is None

    def test_newer_limit_from_a_peer_replaces_the_own_one(self):
        """Guards against an entry that keeps the outdated limit that it received itself."""
        first, second = ServerLimits(), ServerLimits()
        first.record_answer_limit(SERVER, 1.0, 0.0)
        second.record_answer_limit(SERVER, 4.0, 2.0)
        first.record_peer_limit(SERVER, second.limits_to_send(2.1)[SERVER], 2.1)
        assert first.of(SERVER) == 4.0

    def test_older_limit_in_flight_does_not_replace_a_newer_one(self):
        """Guards against a reported age that doesn't include the network delay."""
        first, second = ServerLimits(), ServerLimits()
        first.record_answer_limit(SERVER, 1.0, 0.0)
        second.record_answer_limit(SERVER, 1.0, 0.0)
        second.record_answer_limit(SERVER, None, 0.01)
        second.record_peer_limit(SERVER, first.limits_to_send(0.0)[SERVER], 0.02)
        assert second.of(SERVER) is None
