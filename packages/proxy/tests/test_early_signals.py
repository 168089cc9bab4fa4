"""Tests of the signals that are recorded while the program is loaded."""

from __future__ import annotations

import signal
import time

import pytest

from sassafrastally.proxy.early_signals import HANDLED, EarlySignals


@pytest.fixture
def recording():
    """Records signals; the handlers are restored afterwards."""
    before = {number: signal.getsignal(number) for number in HANDLED}
    signals = EarlySignals()
    signals.record()
    yield signals
    for number, handler in before.items():
        signal.signal(number, handler)


class TestEarlySignals:
    """Signals without any other handler."""

    def test_are_taken_once_in_the_order_received(self, recording):
        """Guards against a stop signal that is lost, or handled twice."""
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            signal.raise_signal(number)
        assert [n for n, _ in recording.take()] == [signal.SIGHUP, signal.SIGTERM, signal.SIGINT]
        assert recording.take() == []

    def test_age_counts_from_the_first_of_a_kind(self, recording):
        """Guards against a repeated stop signal that extends the time to stop."""
        signal.raise_signal(signal.SIGTERM)
        time.sleep(0.05)
        signal.raise_signal(signal.SIGTERM)
        ((_, age_s),) = recording.take()
        assert age_s >= 0.05

    def test_repeated_reload_is_handled_once(self, recording):
        """Guards against a storm of signals that keeps a process from serving: each would read the
        settings."""
        for _ in range(1000):
            signal.raise_signal(signal.SIGHUP)
        assert [number for number, _ in recording.take()] == [signal.SIGHUP]

    def test_are_ignored_in_the_end(self, recording):
        """Guards against a late signal that changes the exit code."""
        recording.ignore()
        signal.raise_signal(signal.SIGTERM)
        assert recording.take() == []
        assert signal.getsignal(signal.SIGTERM) is signal.SIG_IGN
