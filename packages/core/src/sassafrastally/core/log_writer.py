"""Non-blocking log writer.

If the reader of standard output stalls, writes to the pipe block. Log lines therefore go into a
bounded queue that a separate thread writes out; when the queue is full, lines are dropped and
counted. Lines about successes are also rate-limited, so that a flood of requests doesn't displace
lines about failures.
"""

from __future__ import annotations

import json
import os
import threading
import time
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_QUEUED_LINES = 4000
"""Queue capacity: about 2 MB, or ten seconds of log lines from a busy entry."""

MAX_SUCCESS_LINES_PER_S = 200.0
"""Rate above which lines about successes are dropped. A written line costs 24 us of CPU time and a
dropped one 8 us (packages/proxy/benchmarks/log_lines.py), so this rate uses half a percent of a
core."""

BATCH_INTERVAL_S = 0.05
"""Interval between batches; waking the writer for each line costs more than writing it."""

CLOSE_TIME_LIMIT_S = 0.2
"""Time allowed for writing the remaining lines when the process exits."""


class LogWriter:
    """File-like object for the logger that never blocks the caller.

    Parameters
    ----------
    write
        Function that writes bytes and may block; writes to standard output by default.
    """

    def __init__(self, write: Callable[[bytes], object] | None = None) -> None:
        self.dropped = 0
        """Lines dropped because the queue was full or a write failed."""
        self.sampled_out = 0
        """Lines about successes dropped by the rate limit."""
        self._write = write or (lambda data: os.write(1, data))
        self._queue: deque[str] = deque()
        self._has_lines = threading.Event()
        self._reported_counts = (0, 0)
        self._tokens = MAX_SUCCESS_LINES_PER_S
        self._refilled_s = time.monotonic()
        threading.Thread(target=self._run, daemon=True, name="log-writer").start()

    def write(self, line: str) -> None:
        """Queue a line without blocking."""
        if len(self._queue) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._queue.append(line)
        self._has_lines.set()

    def flush(self) -> None:
        """Do nothing; the writer thread decides when to write."""

    def allows_success(self) -> bool:
        """Take a token for a line about a success; return whether there was one."""
        now_s = time.monotonic()
        self._tokens += (now_s - self._refilled_s) * MAX_SUCCESS_LINES_PER_S
        self._tokens = min(self._tokens, MAX_SUCCESS_LINES_PER_S)
        self._refilled_s = now_s
        if self._tokens < 1:
            self.sampled_out += 1
            return False
        self._tokens -= 1
        return True

    def close(self) -> None:
        """Wait up to `CLOSE_TIME_LIMIT_S` for the queue to drain."""
        deadline_s = time.monotonic() + CLOSE_TIME_LIMIT_S
        while self._queue and time.monotonic() < deadline_s:
            time.sleep(CLOSE_TIME_LIMIT_S / 20)

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            time.sleep(BATCH_INTERVAL_S)
            self._write_batch()

    def _write_batch(self) -> None:
        lines = [self._queue.popleft() for _ in range(len(self._queue))]
        missing = self._loss_record()
        data = "".join([*lines, missing]).encode()
        view = memoryview(data)
        try:
            while view:
                written = self._write(bytes(view))
                view = view[written if isinstance(written, int) else len(view) :]
        except OSError:
            # A full disk, or a pipe that is full and non-blocking or has no reader: the thread goes
            # on, as there may be room for later lines.
            self.dropped += bytes(view).count(b"\n") - bool(missing)

    def _loss_record(self) -> str:
        """Return a log line with the drop counts if they changed since the last one."""
        counts = (self.dropped, self.sampled_out)
        if counts == self._reported_counts:
            return ""
        self._reported_counts = counts
        record = {"event": "LogLinesMissing", "dropped": counts[0], "sampled_out": counts[1]}
        return json.dumps(record) + "\n"
