"""Log lines when nobody reads them."""

from __future__ import annotations

import json
import threading
import time

from sassafrastally.core.log_writer import FREE_LINES_PER_S, QUEUE_LINES, LogWriter


class TestStalledReader:
    """A standard output that isn't read."""

    def test_lines_are_left_out_and_counted_and_nobody_waits(self):
        """The collector of logs stalls and the pipe is full. A process that waits for it would
        answer no request; instead lines are missing, and the next ones say how many."""
        stalled = threading.Event()
        written: list[bytes] = []

        def write(data: bytes) -> int:
            stalled.wait(60)
            written.append(data)
            return len(data)

        writer = LogWriter(write)
        writer.write("first\n")
        time.sleep(0.15)
        for _ in range(QUEUE_LINES + 100):
            writer.write("line\n")
        assert written == [], "the reader is back: the lines may have waited for it"
        assert writer.dropped >= 100
        stalled.set()
        writer.close()
        time.sleep(0.2)
        lines = b"".join(written).decode().splitlines()
        missing = [json.loads(line) for line in lines if "LogLinesMissing" in line]
        assert missing[-1]["dropped"] == writer.dropped


class TestSampling:
    """More successes than lines."""

    def test_successes_are_bounded_by_rate(self):
        writer = LogWriter(lambda data: len(data))
        allowed = sum(writer.allows_success() for _ in range(5 * int(FREE_LINES_PER_S)))
        assert FREE_LINES_PER_S <= allowed < 2 * FREE_LINES_PER_S
        assert writer.sampled_out == 5 * FREE_LINES_PER_S - allowed
