"""CPU time per log event, written and sampled out, in microseconds.

``python packages/proxy/benchmarks/log_lines.py``
"""

from __future__ import annotations

import time

import trio

from sassafrastally.core import Clock, Kernel
from sassafrastally.core.log_writer import LogWriter
from sassafrastally.core.logs import configure_logs
from sassafrastally.proxy.log_events import RequestAnswered

LINES = 3000
"""Below the capacity of the writer's queue, so that no line is dropped."""


async def measure() -> None:
    """Print both figures; the writer logs the first events of each second and drops the rest."""
    writer = LogWriter(len)
    configure_logs("info", writer)
    kernel = Kernel("vm", "here", Clock())
    times_s = (0.1234, 1.234, 0.0987)
    line = RequestAnswered("9c41d07be2a35f68", "route", "server-1", 200, 1, *times_s, "chunks")
    for name, allows in (("written", True), ("left out", False)):
        writer.allows_success = lambda allows=allows: allows  # type: ignore[method-assign]
        begin_s = time.process_time()
        for _ in range(LINES):
            kernel.events.emit(line)
        print(f"{name}: {(time.process_time() - begin_s) / LINES * 1e6:.1f} us")
        time.sleep(0.2)


if __name__ == "__main__":
    trio.run(measure)
