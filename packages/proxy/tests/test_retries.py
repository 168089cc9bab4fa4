"""Replays of the attempts of a request: how many servers its route still allows."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from sassafrastally.proxy.retries import Retries
from sassafrastally.proxy.task import Progress

MAX_SERVERS = 3


class TestServersLeft:
    """A route that allows three servers."""

    @pytest.mark.parametrize(
        ("sent", "has_left"),
        [
            ("", True),
            ("ab", True),
            ("aba", True),
            ("abab", True),
            ("abc", False),
            ("abac", False),
            ("abca", False),
        ],
    )
    def test_counts_each_server_once(self, sent, has_left):
        """Guards against a server that isn't asked since another one got the request twice, and
        against more servers than the route allows, whatever the order."""
        progress = Progress()
        progress.sent.extend(sent)
        task = SimpleNamespace(route=SimpleNamespace(max_attempts=MAX_SERVERS))
        assert Retries(None, task, progress).has_servers_left is has_left

    def test_earlier_attempt_counts_if_a_return_is_unsent(self):
        """Guards against a server more than the route allows, after an attempt that was closed
        before it was sent to a server that had got the request before."""
        progress = Progress()
        progress.sent.extend("abca")
        progress.sent.remove("a")
        task = SimpleNamespace(route=SimpleNamespace(max_attempts=MAX_SERVERS))
        assert not Retries(None, task, progress).has_servers_left
