"""Tests of log lines that are emitted before the logging library is loaded."""

from __future__ import annotations

import json
import random
import time
from typing import Any, NamedTuple

from sassafrastally.core import Clock, EventLog, event, new_incarnation
from sassafrastally.core.held_lines import HELD_LINES
from sassafrastally.core.log_writer import MAX_QUEUED_LINES, MAX_SUCCESS_LINES_PER_S, LogWriter
from sassafrastally.core.logs import configure_logs


@event(9970, level="warning")
class LineNoted(NamedTuple):
    """A line of a test."""

    position: int


def make_log() -> tuple[EventLog, LogWriter, list[bytes]]:
    written: list[bytes] = []
    writer = LogWriter(written.append)
    HELD_LINES.hold(writer)
    log = EventLog("vm", new_incarnation(random.Random(1)), Clock())
    return log, writer, written


class TestHeldLines:
    """Lines of the first second of a process."""

    async def test_lines_keep_order_and_time(self):
        """Guards against lines of the start that are lost, reordered or dated at their release."""
        log, writer, written = make_log()
        before_s = time.time()
        for position in range(3):
            log.emit(LineNoted(position))
        after_s = time.time()
        time.sleep(0.05)
        configure_logs("info", writer)
        assert not HELD_LINES.release(2)
        log.emit(LineNoted(3))
        assert HELD_LINES.release(10)
        log.emit(LineNoted(4))
        writer.close()
        time.sleep(0.1)
        lines = [json.loads(line) for line in b"".join(written).splitlines()]
        assert [line["position"] for line in lines] == [0, 1, 2, 3, 4]
        assert {line["vm"] for line in lines} == {"vm"}
        assert {line["level"] for line in lines} == {"warning"}
        stamps = [line["timestamp"] for line in lines]
        as_text = [
            time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(at)) for at in (before_s, after_s)
        ]
        assert as_text[0] <= stamps[0][:19] <= as_text[1]
        assert stamps == sorted(stamps)
        assert all(stamp.endswith("Z") for stamp in stamps)

    async def test_held_lines_are_bounded(self):
        """Guards against memory that grows until the logs start; the loss is counted."""
        log, writer, _ = make_log()
        for position in range(MAX_QUEUED_LINES + 5):
            log.emit(LineNoted(position))
        assert writer.dropped == 5
        writer.dropped = -MAX_QUEUED_LINES
        configure_logs("critical", writer)
        assert HELD_LINES.release(2 * MAX_QUEUED_LINES)

    def test_rate_limit_applies_when_a_line_is_emitted(self):
        """Guards against lines about successes that are limited twice or not at all."""
        written: list[bytes] = []
        writer = LogWriter(written.append)
        HELD_LINES.hold(writer)
        passed_on: list[str] = []

        def write(level: str, name: str, fields: dict[str, Any]) -> None:
            passed_on.append(name)

        for _ in range(3 * int(MAX_SUCCESS_LINES_PER_S)):
            HELD_LINES.keep(write, "info", "answered", {})
        HELD_LINES.release(MAX_QUEUED_LINES)
        assert len(passed_on) == 3 * MAX_SUCCESS_LINES_PER_S - writer.sampled_out
        assert writer.sampled_out > MAX_SUCCESS_LINES_PER_S
