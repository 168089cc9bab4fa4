"""Writes log lines without ever making the process wait.

A reader of standard output that stalls blocks whoever writes to the pipe. Lines go into a bounded
queue, and a thread of its own writes them; when the queue is full, lines are left out and counted.
Lines about what went well are also bounded by rate, so that a flood of requests can't drown those
about failures.
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

QUEUE_LINES = 4000
"""Lines that wait for the writer, about 2 MB: some ten seconds of a busy entry."""

FREE_LINES_PER_S = 200.0
"""Lines about successes in a second, beyond which they are left out. A line costs 24 us of
processor time, one that is left out 8 us (packages/proxy/benchmarks/log_lines.py), so this is half
a percent of a core."""

BATCH_S = 0.05
"""Pause of the writer between two batches; a wake-up for each line costs more than the line."""

END_S = 0.2
"""Time for the last lines when the process ends."""


class LogWriter:
    """A text file for the logger.

    Parameters
    ----------
    write
        Writes bytes and may block; standard output by default.
    """

    def __init__(self, write: Callable[[bytes], object] | None = None) -> None:
        self.dropped = 0
        """Lines left out because the queue was full."""
        self.sampled_out = 0
        """Lines about successes left out because there were too many."""
        self._write = write or (lambda data: os.write(1, data))
        self._queue: deque[str] = deque()
        self._has_lines = threading.Event()
        self._told = (0, 0)
        self._tokens = FREE_LINES_PER_S
        self._refilled_s = time.monotonic()
        threading.Thread(target=self._run, daemon=True, name="log-writer").start()

    def write(self, line: str) -> None:
        """Take a line; returns at once."""
        if len(self._queue) >= QUEUE_LINES:
            self.dropped += 1
            return
        self._queue.append(line)
        self._has_lines.set()

    def flush(self) -> None:
        """Do nothing; the writer decides when it writes."""

    def allows_success(self) -> bool:
        """Return whether one more line about a success may be written."""
        now_s = time.monotonic()
        self._tokens += (now_s - self._refilled_s) * FREE_LINES_PER_S
        self._tokens = min(self._tokens, FREE_LINES_PER_S)
        self._refilled_s = now_s
        if self._tokens < 1:
            self.sampled_out += 1
            return False
        self._tokens -= 1
        return True

    def close(self) -> None:
        """Wait a moment for the last lines."""
        until_s = time.monotonic() + END_S
        while self._queue and time.monotonic() < until_s:
            time.sleep(END_S / 20)

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            time.sleep(BATCH_S)
            self._write_batch()

    def _write_batch(self) -> None:
        lines = [self._queue.popleft() for _ in range(len(self._queue))]
        missing = self._missing_line()
        data = "".join([*lines, missing]).encode()
        view = memoryview(data)
        while view:
            written = self._write(bytes(view))
            view = view[written if isinstance(written, int) else len(view) :]

    def _missing_line(self) -> str:
        """Return a line that tells how many lines are missing, if more are than last time."""
        counts = (self.dropped, self.sampled_out)
        if counts == self._told:
            return ""
        self._told = counts
        figures = {"event": "LogLinesMissing", "dropped": counts[0], "sampled_out": counts[1]}
        return json.dumps(figures) + "\n"
