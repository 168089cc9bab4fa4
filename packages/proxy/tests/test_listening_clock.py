"""Time by which peers are taken for dead."""

from __future__ import annotations

import random

import pytest

from sassafrastally.proxy.listening_clock import LATE_S, ListeningClock
from sassafrastally.proxy.load_exchange import MAX_SEND_INTERVAL_S, PEER_TIMEOUT_S


class TestListeningClock:
    """Replays of runs and pauses of one entry."""

    def test_is_the_present_time_for_an_entry_that_runs(self):
        """Guards against dead peers that count longer at entries that are never paused."""
        clock = ListeningClock()
        assert clock.listened_s(50.0) == 50.0
        for step in range(100):
            now_s = 10.0 + step * MAX_SEND_INTERVAL_S
            clock.note_running(now_s)
            assert clock.listened_s(now_s) == now_s
            assert clock.listened_s(now_s + 0.9 * LATE_S) == now_s + 0.9 * LATE_S

    @pytest.mark.parametrize("seed", range(20))
    def test_never_takes_a_live_peer_for_dead(self, seed):
        """Guards against peers that time out although their datagrams are only unread: a peer
        sends all the time, and this entry reads whenever it runs."""
        clock, draw = ListeningClock(), random.Random(seed)
        now_s = received_s = 0.0
        for _ in range(200):
            clock.note_running(now_s)
            received_s = now_s  # Reads after it has run.
            now_s += draw.choice([MAX_SEND_INTERVAL_S, draw.uniform(0.0, 5.0)])
            assert clock.listened_s(now_s) - received_s <= PEER_TIMEOUT_S

    @pytest.mark.parametrize("pause_s", [0.5, 3.0, 60.0])
    def test_is_the_present_time_again_soon_after_a_pause(self, pause_s):
        """Guards against a dead peer that counts on since this entry was paused once."""
        clock = ListeningClock()
        clock.note_running(1.0)
        clock.note_running(1.0 + pause_s)
        now_s = 1.0 + pause_s + MAX_SEND_INTERVAL_S
        clock.note_running(now_s)
        assert clock.listened_s(now_s) < now_s
        now_s += MAX_SEND_INTERVAL_S
        clock.note_running(now_s)
        assert clock.listened_s(now_s) == now_s

    def test_tells_the_pause_from_which_the_entry_has_just_resumed(self):
        """Guards against a signal during a pause that is taken for one after it, and against a
        pause that counts on, whichever task runs first."""
        clock = ListeningClock()
        assert clock.latest_pause_s(1.0) == 0.0
        clock.note_running(1.0)
        assert clock.latest_pause_s(1.0 + 0.9 * LATE_S) == 0.0
        assert clock.latest_pause_s(3.0) == 2.0
        clock.note_running(3.0)
        assert clock.latest_pause_s(3.0) == 2.0
        clock.note_running(3.0 + 0.9 * LATE_S)
        assert clock.latest_pause_s(3.0 + 1.1 * LATE_S) == 0.0
