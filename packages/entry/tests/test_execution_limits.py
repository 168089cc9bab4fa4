"""Time limits, entry limits and shutdown with requests in progress."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from sassafrastally.serving.outcome import Outcome
from sassafrastally.testing.sidecar_scripts import (
    THREE_EVENTS,
    hang,
    refusal_of,
    sending,
    silent,
)
from sassafrastally.wire.link import StreamEnded
from sassafrastally.wire.messages import (
    Cancel,
    Reserve,
)


class TestTimeLimits:
    async def test_run_is_cancelled_explicitly_at_the_limit(
        self, world: Any, autojump_clock: Any
    ) -> None:
        world.s1.scripts, world.s2.scripts = [hang], [hang]
        started_s = trio.current_time()
        refusal = await refusal_of(world, world.request(time_limit_s=2.0))
        assert refusal.kind.code == "time-limit-passed"
        assert refusal.figures[:2] == (2.0, 2.0)
        assert refusal.outcome == Outcome.UNKNOWN
        assert trio.current_time() == pytest.approx(started_s + 2.0)
        assert len(world.s1.of(Cancel) + world.s2.of(Cancel)) == 1

    async def test_limit_is_told_whatever_its_figures_round_to(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """Guards against "stopping" for a request whose time limit has passed, as the time since
        its arrival rounds to less."""
        for _ in range(200):
            world.s1.scripts, world.s2.scripts = [silent], [silent]
            refusal = await refusal_of(world, world.booking(time_limit_s=0.3))
            assert refusal.kind.code == "time-limit-passed", trio.current_time()

    async def test_limit_before_any_commit_is_not_run(
        self, world: Any, autojump_clock: Any
    ) -> None:
        world.s1.scripts, world.s2.scripts = [silent], [silent]
        refusal = await refusal_of(world, world.booking(time_limit_s=1.0))
        assert (refusal.kind.code, refusal.outcome) == ("time-limit-passed", Outcome.NOT_RUN)
        assert len(world.s1.of(Cancel) + world.s2.of(Cancel)) == 1

    async def test_abandoned_reservation_is_released(self, world: Any, autojump_clock: Any) -> None:
        """A frozen sidecar doesn't answer a reservation in time and the entry tries another one. If
        it didn't cancel the first reservation, memory would stay reserved there."""
        world.s1.scripts, world.s2.scripts = [silent], []
        for _ in range(2):
            assert (await world.ask(world.booking())).status == 200
        await trio.sleep(1.0)  # The cancellation is on its way when the other one's answer ends.
        assert len(world.s1.of(Cancel)) == 1

    async def test_no_backoff_exceeds_the_time_limit(self, world: Any, autojump_clock: Any) -> None:
        hint = {"code": "backend-failed", "retry_after_s": 10.0}
        script = sending(lambda s, own: [s.end(own, 0, "failed", **hint)])
        world.s1.scripts, world.s2.scripts = [script], [script]
        started_s = trio.current_time()
        refusal = await refusal_of(world, world.request(time_limit_s=5.0, prompt_tokens=0))
        assert refusal.figures.retry_after_s == 10.0
        assert "time left" in refusal.figures.detail
        assert trio.current_time() == started_s

    async def test_limit_holds_over_all_retries(self, world: Any, autojump_clock: Any) -> None:
        world.s1.is_down = world.s2.is_down = True
        started_s = trio.current_time()
        refusal = await refusal_of(world, world.request(time_limit_s=0.2))
        assert refusal.kind.code in ("no-replica", "time-limit-passed")
        assert refusal.outcome == Outcome.NOT_RUN
        assert trio.current_time() <= started_s + 0.2

    async def test_disconnect_of_the_caller_cancels_its_run(
        self, world: Any, autojump_clock: Any
    ) -> None:
        world.s1.scripts, world.s2.scripts = [hang], [hang]
        with trio.move_on_after(1.0):
            await world.ask(world.request())
        await trio.sleep(0.1)
        assert len(world.s1.of(Cancel) + world.s2.of(Cancel)) == 1
        assert world.path.open_requests == 0


class TestBounds:
    async def test_open_requests(self, world: Any, autojump_clock: Any) -> None:
        bounded = world.path._settings._replace(max_open_requests=1)
        world.path._settings = bounded
        world.s1.scripts, world.s2.scripts = [hang], [hang]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(refusal_of, world, world.request(time_limit_s=2.0))
            await trio.sleep(0.1)
            refusal = await refusal_of(world, world.request())
            assert refusal.kind.code == "overloaded"
            assert refusal.figures[:2] == (1, 1)

    async def test_bodies_held(self, world: Any, autojump_clock: Any) -> None:
        world.path._settings = world.path._settings._replace(max_held_body_bytes=10)
        refusal = await refusal_of(world, world.request())
        assert refusal.kind.code == "overloaded"


class TestStopping:
    async def test_requests_in_progress_complete_and_new_ones_are_refused(
        self, world: Any, autojump_clock: Any
    ) -> None:
        async def slow(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await sidecar.accept(end, reserve)
            await trio.sleep(5)
            await sidecar.answer(end, reserve)

        world.s1.scripts, world.s2.scripts = [slow], [slow]
        results: list[Any] = []

        async def ask() -> None:
            results.append(await world.ask(world.request()))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(1)
            world.kernel.request_stop()
            await trio.sleep(1)
            assert not world.path.is_ready
            refusal = await refusal_of(world, world.request())
            assert (refusal.kind.code, refusal.outcome) == ("stopping", Outcome.NOT_RUN)
        assert results[0].body == THREE_EVENTS

    async def test_second_signal_shortens_the_time_left(
        self, world: Any, autojump_clock: Any
    ) -> None:
        world.s1.scripts, world.s2.scripts = [hang], [hang]
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(refusal_of, world, world.request())
            await trio.sleep(1)
            world.kernel.request_stop()
            world.kernel.request_stop()
        assert trio.current_time() == pytest.approx(started_s + 11.0)


async def test_stream_closed_by_the_sidecar_is_not_taken_as_success(
    world: Any, autojump_clock: Any
) -> None:
    async def close(sidecar: Any, end: Any, reserve: Reserve) -> None:
        await sidecar.accept(end, reserve)
        raise StreamEnded("closed")

    world.s1.scripts, world.s2.scripts = [close], [close]
    assert (await world.ask(world.booking())).body == THREE_EVENTS
    assert world.ran() == 1
