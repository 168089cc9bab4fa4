"""Callers of entries that are killed in memory."""

from __future__ import annotations

import trio
from trio.testing import MockClock

from sassafrastally.core.logs import configure_logs
from sassafrastally.testing.scenario_sent import SERVICE, Asked, Sent
from sassafrastally.testing.scenario_stage import Stage

WITH_KEY = Asked("r0", is_idempotent=False, key="key-0", time_limit_s=6.0)


class TestKilledEntry:
    """Requests that meet the end of their entry's process."""

    async def _kill_beside(self, asked: Asked, after_turns: int) -> tuple[Sent, int]:
        """Return a request whose entry is killed some turns after it was sent, and its runs."""
        configure_logs("critical")
        async with trio.open_nursery() as nursery:
            stage = Stage(nursery, seed=0)
            await stage.open(entries=2, engines=1, services=1, blocks=0)
            stage.send("r0", asked, "entry-1")
            for _ in range(after_turns):
                await trio.lowlevel.checkpoint()
            await stage.deployment.kill("entry-1")
            sent = stage.sent["r0"]
            with trio.fail_after(asked.time_limit_s):
                await sent.over.wait()
            runs = stage.executions(asked.marker)
            nursery.cancel_scope.cancel()
        return sent, runs

    def test_request_on_its_way_reaches_no_process_that_has_ended(self) -> None:
        """Guards against a caller's task that begins after its entry was killed and runs the
        request in services whose tasks have ended (seed of 300 pairs)."""
        for asked in (WITH_KEY, WITH_KEY._replace(service=SERVICE), Asked("r0")):
            sent, runs = trio.run(
                self._kill_beside, asked, 0, clock=MockClock(autojump_threshold=0)
            )
            assert (sent.verdict, runs) == ("connection lost", 0)

    def test_request_that_has_begun_ends_with_its_process(self) -> None:
        """Guards against a request that goes on, or fails in another way, in the turns around the
        end of its entry."""
        for turns in range(1, 12):
            clock = MockClock(autojump_threshold=0)
            sent, _ = trio.run(self._kill_beside, WITH_KEY, turns, clock=clock)
            assert sent.verdict == "connection lost", turns
