"""Which word of a backend server about its limit is believed."""

from __future__ import annotations

import pytest

from sassafrastally.proxy.server_limits import LimitChange, ServerLimits

SERVER = 7


class TestWords:
    """What a server says itself."""

    def test_latest_word_holds(self):
        """Guards against a server that is spared after it has recovered."""
        limits = ServerLimits()
        assert limits.hear(SERVER, 2.0, 1.0) is LimitChange.NEWS
        assert limits.of(SERVER) == 2.0
        assert limits.hear(SERVER, None, 2.0) is LimitChange.NEWS
        assert limits.of(SERVER) is None

    def test_server_without_a_limit_is_not_noted(self):
        limits = ServerLimits()
        assert limits.hear(SERVER, None, 1.0) is LimitChange.NOTHING
        assert not limits

    @pytest.mark.parametrize(
        ("told", "change"),
        [(2.0, LimitChange.NOTHING), (2.3, LimitChange.SMALL), (1.5, LimitChange.NEWS)],
    )
    def test_small_changes_are_no_news(self, told, change):
        """Guards against datagrams and log lines for each answer of a server."""
        limits = ServerLimits()
        limits.hear(SERVER, 2.0, 1.0)
        assert limits.hear(SERVER, told, 2.0) is change
        assert limits.of(SERVER) == told


class TestHearsay:
    """What peers tell."""

    def test_old_word_that_goes_round_does_not_come_back(self):
        """Guards against two entries that keep a limit alive by telling each other of it."""
        first, second = ServerLimits(), ServerLimits()
        first.hear(SERVER, 1.0, 0.0)
        second.hear_from_peer(SERVER, first.news(0.0)[SERVER], 0.02)
        first.hear(SERVER, None, 0.3)
        for turn in range(1, 400):
            now_s = 0.3 + turn * 0.1
            way_s = 0.02
            for teller, listener in ((first, second), (second, first)):
                for key, news in teller.news(now_s).items():
                    listener.hear_from_peer(key, news, now_s + way_s)
        assert first.of(SERVER) is None
        assert second.of(SERVER) is None

    def test_word_that_is_newer_holds_whoever_heard_it(self):
        """Guards against an entry that keeps its own old word."""
        first, second = ServerLimits(), ServerLimits()
        first.hear(SERVER, 1.0, 0.0)
        second.hear(SERVER, 4.0, 2.0)
        first.hear_from_peer(SERVER, second.news(2.1)[SERVER], 2.1)
        assert first.of(SERVER) == 4.0

    def test_older_word_that_was_under_way_does_not_replace_a_newer_one(self):
        """Guards against an age that lacks the time of the way."""
        first, second = ServerLimits(), ServerLimits()
        first.hear(SERVER, 1.0, 0.0)
        second.hear(SERVER, 1.0, 0.0)
        second.hear(SERVER, None, 0.01)
        second.hear_from_peer(SERVER, first.news(0.0)[SERVER], 0.02)
        assert second.of(SERVER) is None
