"""Tests of the start of an entry: what is loaded before it serves, and what afterwards."""

from __future__ import annotations

import subprocess
import sys

LATE = ("structlog", "opentelemetry", "capnp", "asyncio")

SCRIPT = f"""
import sys
import sassafrastally.platform.process
print([name for name in {LATE!r} if name in sys.modules])
"""

VALUES_SCRIPT = """
import trio, trio.testing
from sassafrastally.core import Clock, Kernel, Service
from sassafrastally.core.metrics import hold_values
from sassafrastally.proxy.deferred_loading import DeferredLoading
from sassafrastally.proxy.metrics import DURATION, REQUESTS

class Answering(Service):
    name = "answering"

async def main():
    hold_values()
    REQUESTS.add(2, {"outcome": "answered"})
    DURATION.record(0.07, {"lane": "short"})
    kernel = Kernel("vm", "here", Clock())
    kernel.add(Answering())
    kernel.add(DeferredLoading(None))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(kernel.run)
        await trio.sleep(30)
        REQUESTS.add(1, {"outcome": "answered"})
        kernel.request_stop()
    from sassafrastally.proxy.metrics_page import metrics_page
    print(metrics_page({}))

trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
"""


def run_script(script: str) -> str:
    return subprocess.run(
        [sys.executable, "-P", "-c", script], capture_output=True, text=True, check=True
    ).stdout


class TestStart:
    """What an entry imports before it serves."""

    def test_libraries_that_first_requests_do_not_need_are_not_loaded(self):
        """Guards against an import that lengthens the start: callers wait for it after a loss of
        power of all entries."""
        assert run_script(SCRIPT).strip() == "[]"

    def test_values_recorded_before_are_on_the_page(self):
        """Guards against the loss of what was counted before the metrics were loaded."""
        page = run_script(VALUES_SCRIPT)
        assert 'sassafrastally_proxy_requests_total{outcome="answered"} 3' in page
        assert 'sassafrastally_proxy_duration_bucket{lane="short",le="0.1"} 1' in page
        assert 'sassafrastally_proxy_duration_count{lane="short"} 1' in page
