"""When the watch of a silent server may claim a successor."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.failover_decision import TIMER_PRECISION_S
from sassafrastally.proxy.silence_watch import ServerWait, SilenceWatch


class DirectContainment:
    """Runs tasks without containing their errors."""

    async def run(self, task, *arguments):
        """Run a task once."""
        await task(*arguments)


@pytest.mark.parametrize("run", range(8))
async def test_attempt_that_ends_at_the_limit_claims_no_successor(autojump_clock, run):
    """Guards against a retry that is charged, and a successor that is kept, for an attempt that has
    already ended."""
    claims = []
    async with trio.open_nursery() as nursery:
        watch = SilenceWatch(nursery, DirectContainment())
        for _ in range(20):
            begin_s = trio.current_time()
            wait = ServerWait(begin_s, 1.0, 1.0)
            has_ended = []

            def claim(silent_s, has_ended=has_ended):
                claims.append(bool(has_ended))

            with watch.watch(wait, claim):
                await trio.sleep_until(begin_s + 1.0)
            has_ended.append(True)
            await trio.sleep(0.5)
        nursery.cancel_scope.cancel()
    assert not any(claims), claims


async def test_blocked_header_claims_no_successor(autojump_clock):
    """Guards against a successor that is claimed between the header of a response and the wait for
    its body, while the header is written to a slow caller: two attempts would write to it."""
    claims = []
    async with trio.open_nursery() as nursery:
        watch = SilenceWatch(nursery, DirectContainment())
        wait = ServerWait(trio.current_time(), 1.0, 1.0)
        body = trio.CancelScope()

        def claim(silent_s):
            claims.append((trio.current_time(), silent_s))
            body.cancel()

        with watch.watch(wait, claim):
            with wait.scope:
                await trio.sleep(0.1)
            wait.record_header(trio.current_time())
            await trio.sleep(1.5)  # The header is written to the caller.
            body_since_s = trio.current_time()
            with body, wait.awaited():
                await trio.sleep(5.0)
            assert body.cancelled_caught
        nursery.cancel_scope.cancel()
    assert len(claims) == 1
    at_s, silent_s = claims[0]
    assert at_s > body_since_s
    assert silent_s >= 1.0 - TIMER_PRECISION_S


class DrippingConnection:
    """A connection on which the bytes of a response keep coming."""

    @property
    def received_s(self):
        return trio.current_time()


class SilentConnection:
    """A connection on which nothing comes any more."""

    received_s = 0.0


@pytest.mark.parametrize(
    ("connection", "header_s", "events_s", "ends_s", "is_endless"),
    [
        (DrippingConnection(), 0.1, (), 2.0, True),
        (DrippingConnection(), 0.1, (), 0.9, False),
        (DrippingConnection(), 1.9, (), 2.0, False),
        (DrippingConnection(), 0.1, (1.5,), 2.0, False),
        (DrippingConnection(), 0.1, (0.5,), 2.0, True),
        (SilentConnection(), 0.1, (), 2.0, False),
    ],
)
async def test_last_attempt_fails_if_bytes_keep_coming_without_an_event(
    autojump_clock, connection, header_s, events_s, ends_s, is_endless
):
    """Guards against servers that stay in use although their responses never end, and against
    counting as failed the ones that are silent, have just begun or send events."""
    found = []
    async with trio.open_nursery() as nursery:
        watch = SilenceWatch(nursery, DirectContainment())
        wait = ServerWait(trio.current_time(), 1.0, 1.0)
        with (
            trio.move_on_after(ends_s),
            watch.watch(wait, None, lambda: found.append(True)),
        ):
            wait.record_sending(trio.current_time(), connection)
            await trio.sleep(header_s)
            wait.record_header(trio.current_time())
            for event_s in events_s:
                with wait.awaited():
                    await trio.sleep(event_s - header_s)
                wait.record_event(trio.current_time())
            with wait.awaited():
                await trio.sleep_forever()
        nursery.cancel_scope.cancel()
    assert found == [True] * is_endless
