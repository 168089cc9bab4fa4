"""Tests of the log writer when the reader of standard output stalls."""

from __future__ import annotations

import errno
import json
import threading
import time

import structlog

from sassafrastally.core.held_lines import HELD_LINES
from sassafrastally.core.log_writer import MAX_QUEUED_LINES, MAX_SUCCESS_LINES_PER_S, LogWriter
from sassafrastally.core.logs import configure_logs


class TestStalledReader:
    """Standard output that isn't read."""

    def test_lines_are_dropped_and_counted_without_blocking(self):
        """Guards against a stalled log collector blocking the process.

        The pipe is full, so a blocking write would stop all request handling. Lines are dropped
        instead, and a later line reports how many."""
        stalled = threading.Event()
        written: list[bytes] = []

        def write(data: bytes) -> int:
            stalled.wait(60)
            written.append(data)
            return len(data)

        writer = LogWriter(write)
        writer.write("first\n")
        time.sleep(0.15)
        for _ in range(MAX_QUEUED_LINES + 100):
            writer.write("line\n")
        assert written == [], "the stalled reader received data: writes may have blocked until then"
        assert writer.dropped >= 100
        stalled.set()
        writer.close()
        time.sleep(0.2)
        lines = b"".join(written).decode().splitlines()
        missing = [json.loads(line) for line in lines if "LogLinesMissing" in line]
        assert missing[-1]["dropped"] == writer.dropped


class TestFailedWrites:
    """Standard output that takes no bytes for a while."""

    def test_lines_are_written_again_after_it_takes_some(self):
        """Guards against a process without a log for the rest of its life after one failed write,
        of a full disk or a pipe that its reader has set to non-blocking."""
        written: list[bytes] = []
        failures = [OSError(errno.ENOSPC, "full"), BlockingIOError(errno.EAGAIN, "full")]

        def write(data: bytes) -> int:
            if failures:
                raise failures.pop()
            written.append(data)
            return len(data)

        writer = LogWriter(write)
        for count in range(3):
            writer.write(f"line {count}\n")
            time.sleep(0.15)
        lines = b"".join(written).decode().splitlines()
        assert "line 2" in lines
        missing = [json.loads(line) for line in lines if "LogLinesMissing" in line]
        assert missing[-1]["dropped"] == writer.dropped == 2


class TestSampling:
    """Rate limit of lines about successes."""

    def test_successes_are_rate_limited(self):
        writer = LogWriter(lambda data: len(data))
        allowed = sum(writer.allows_success() for _ in range(5 * int(MAX_SUCCESS_LINES_PER_S)))
        assert MAX_SUCCESS_LINES_PER_S <= allowed < 2 * MAX_SUCCESS_LINES_PER_S
        assert writer.sampled_out == 5 * MAX_SUCCESS_LINES_PER_S - allowed

    def test_lines_about_the_process_are_never_left_out(self):
        """Guards against a busy process whose stop, reload or lost dependency isn't logged, as
        lines about its requests have used up the rate."""
        written: list[bytes] = []
        writer = LogWriter(written.append)
        HELD_LINES.hold(writer)
        configure_logs("info", writer)
        HELD_LINES.release(MAX_QUEUED_LINES)
        logger = structlog.get_logger("sassafrastally")
        for _ in range(3 * int(MAX_SUCCESS_LINES_PER_S)):
            logger.info("RequestAnswered", request_id="1")
        logger.info("ProcessDraining", requests=2)
        writer.close()
        time.sleep(0.1)
        assert writer.sampled_out > MAX_SUCCESS_LINES_PER_S
        assert b"ProcessDraining" in b"".join(written)
