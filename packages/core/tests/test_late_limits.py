"""Tests of time limits that act only after received input has been delivered."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing

from sassafrastally.core.late_limits import (
    DELIVERY_TURNS,
    LAST_READ_S,
    LATE_TIMER_S,
    MAX_DELIVERY_S,
    MAX_LAST_READS,
    TimeLimit,
    last_read_s,
    time_limit,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterable, AsyncIterator

LIMIT_S = 5.0
RELAYS = 5


@pytest.fixture
async def relayed(nursery: trio.Nursery) -> AsyncIterator[tuple[trio.SocketStream, list[bytes]]]:
    """A socket whose bytes pass through several tasks, the last one with a time limit."""
    sender, receiver = (trio.SocketStream(each) for each in trio.socket.socketpair())
    received: list[bytes] = []

    async def relay(source: AsyncIterable[bytes], target: trio.MemorySendChannel[bytes]) -> None:
        async for data in source:
            await target.send(data)

    async def wait_for_all(source: AsyncIterable[bytes]) -> None:
        async with time_limit(trio.current_time() + LIMIT_S):
            async for data in source:
                received.append(data)

    source: AsyncIterable[bytes] = receiver
    for _ in range(RELAYS):
        target, next_source = trio.open_memory_channel[bytes](0)
        nursery.start_soon(relay, source, target)
        source = next_source
    nursery.start_soon(wait_for_all, source)
    yield sender, received
    await sender.aclose()


class TestLastRead:
    @pytest.mark.parametrize(
        ("lag_s", "extra_s"),
        [(0.0, 0.0), (LATE_TIMER_S, 0.0), (LATE_TIMER_S * 1.01, LAST_READ_S), (30.0, LAST_READ_S)],
    )
    def test_only_a_late_timer_reads_once_more(self, lag_s: float, extra_s: float) -> None:
        assert last_read_s(0.0, lag_s) == extra_s

    @pytest.mark.parametrize(
        ("reads_end_s", "extra_s"), [(2.0, LAST_READ_S), (1.04, 0.04), (1.0, 0.0), (0.5, 0.0)]
    )
    def test_nothing_is_read_after_the_end(self, reads_end_s: float, extra_s: float) -> None:
        assert last_read_s(0.0, 1.0, reads_end_s) == pytest.approx(extra_s)


class TestTimeLimit:
    @pytest.mark.parametrize("lag_s", [0.0, 0.01, 0.05, 1.0, 100.0])
    async def test_delivers_what_lies_ready(
        self,
        mock_clock: trio.testing.MockClock,
        relayed: tuple[trio.SocketStream, list[bytes]],
        lag_s: float,
    ) -> None:
        """Guards against an answer that is discarded since the limit passed in the same turn."""
        sender, received = relayed
        await trio.testing.wait_all_tasks_blocked()
        await sender.send_all(b"ready")
        mock_clock.jump(LIMIT_S + lag_s)
        await trio.testing.wait_all_tasks_blocked()
        assert received == [b"ready"]

    @pytest.mark.parametrize("lag_s", [0.0, LATE_TIMER_S])
    async def test_delivers_all_parts_that_lie_ready(
        self, mock_clock: trio.testing.MockClock, nursery: trio.Nursery, lag_s: float
    ) -> None:
        """Guards against a stream of several parts of which only those are delivered that are
        passed on in the first turns after a timer that is on time."""
        target, source = trio.open_memory_channel[int](math.inf)
        delivered: list[int] = []

        async def deliver() -> None:
            async with time_limit(LIMIT_S) as limit:
                async for part in source:
                    await trio.lowlevel.checkpoint()
                    delivered.append(part)
                    limit.record_delivery()

        nursery.start_soon(deliver)
        await trio.testing.wait_all_tasks_blocked()
        for part in range(100):
            target.send_nowait(part)
        mock_clock.jump(LIMIT_S + lag_s)
        await trio.testing.wait_all_tasks_blocked()
        assert delivered == list(range(100))

    @pytest.mark.parametrize("turn_s", [0.001, 1.0])
    async def test_acts_within_a_bound_beside_parts_without_end(
        self, mock_clock: trio.testing.MockClock, turn_s: float
    ) -> None:
        """Guards against a limit that never acts since more arrives all the time, and against one
        that lasts as long as many pauses of the process."""
        turns = 0
        async with time_limit(LIMIT_S) as limit:
            mock_clock.jump(LIMIT_S)
            while True:
                await trio.lowlevel.checkpoint()
                limit.record_delivery()
                turns += 1
                mock_clock.jump(turn_s)
        assert limit.scope.cancelled_caught
        assert turns <= DELIVERY_TURNS + max(MAX_DELIVERY_S / turn_s, 2 * DELIVERY_TURNS)

    @pytest.mark.parametrize(("lag_s", "reads"), [(0.0, 0), (1.0, 1)])
    async def test_acts_within_a_bound(
        self, autojump_clock: trio.testing.MockClock, lag_s: float, reads: int
    ) -> None:
        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_jump_at, autojump_clock, start_s, LIMIT_S + lag_s)
            async with time_limit(start_s + LIMIT_S) as limit:
                await trio.sleep_forever()
        assert limit.scope.cancelled_caught
        elapsed_s = trio.current_time() - start_s
        assert elapsed_s == pytest.approx(LIMIT_S + lag_s + reads * LAST_READ_S)

    @pytest.mark.parametrize("reads_end_s", [0.0, LIMIT_S + 0.04])
    async def test_acts_at_once_when_late_beyond_the_end_of_reads(
        self, mock_clock: trio.testing.MockClock, nursery: trio.Nursery, reads_end_s: float
    ) -> None:
        """Guards against a limit that waits for more until its process is killed."""
        limit = TimeLimit(LIMIT_S)
        limit.reads_end_s = reads_end_s
        nursery.start_soon(limit.watch)
        await trio.testing.wait_all_tasks_blocked()
        mock_clock.jump(LIMIT_S + 0.05)
        await trio.testing.wait_all_tasks_blocked()
        assert limit.scope.cancel_called

    async def test_acts_within_a_bound_when_paused_again_and_again(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        """Guards against a limit that never acts since the process pauses repeatedly."""
        limit = TimeLimit(LIMIT_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(limit.watch)
            for _ in range(1 + MAX_LAST_READS):
                await trio.testing.wait_all_tasks_blocked()
                assert not limit.scope.cancel_called
                mock_clock.jump(LIMIT_S + 1.0)
            await trio.testing.wait_all_tasks_blocked()
            assert limit.scope.cancel_called

    async def test_can_be_shortened_but_not_extended(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        start_s = trio.current_time()
        async with time_limit(start_s + LIMIT_S) as limit:
            await trio.sleep(1.0)
            limit.shorten(start_s + 2.0)
            limit.shorten(start_s + 9.0)
            await trio.sleep_forever()
        assert trio.current_time() - start_s == pytest.approx(2.0)

    async def test_raises_exceptions_unwrapped(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        with pytest.raises(KeyError):
            async with time_limit(trio.current_time() + LIMIT_S):
                raise KeyError

    async def test_leaves_cancellation_to_the_outer_scope(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        with trio.move_on_after(1.0) as outer:
            async with time_limit(trio.current_time() + LIMIT_S) as limit:
                await trio.sleep_forever()
        assert outer.cancelled_caught
        assert not limit.scope.cancelled_caught


async def _jump_at(clock: trio.testing.MockClock, start_s: float, jump_s: float) -> None:
    await trio.sleep_until(start_s)
    await trio.lowlevel.checkpoint()
    clock.jump(jump_s)
