"""The real program as a process of its own."""

from __future__ import annotations

import random
import signal
import time

import pytest

from sassafrastally.core import Address
from sassafrastally.testing.soak.entry_process import EntryProcess


def wait_until(condition, what: str, limit_s: float = 10.0) -> None:
    """Wait until a condition holds."""
    until_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < until_s, what
        time.sleep(0.002)


@pytest.fixture
def entry(tmp_path):
    """An entry whose store nobody answers at."""
    host = f"127.20.{1 + random.randrange(250)}.9"
    process = EntryProcess(1, host, tmp_path, 22_000, Address("127.0.0.1", 9))
    process.start()
    yield process
    process.kill()


class TestStart:
    """A process that still loads."""

    def test_settings_change_during_the_start_does_not_end_it(self, entry):
        """A process is restarted and the settings change while it loads. The signal's default is to
        end the process, so that callers who wait in its accept queue are cut off."""
        wait_until(entry.accepts_callers, "the callers' port opens")
        entry.signal(signal.SIGHUP)
        wait_until(lambda: "ProcessStarted" in entry.log_file.read_text(), "it starts")
        entry.signal(signal.SIGHUP)
        wait_until(lambda: "SettingsReloaded" in entry.log_file.read_text(), "it reads settings")
        assert entry.is_running
