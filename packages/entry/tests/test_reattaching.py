"""How long an entry tries to reach a sidecar whose link was lost, and what it reads then."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing

from sassafrastally.serving.outcome import AttemptState
from sassafrastally.testing.sidecar_scripts import THREE_EVENTS, cut_after_two, own_of, refusal_of
from sassafrastally.wire.messages import Attach, Cancel, Query, Refused, Reserve


class TestReattaching:
    @pytest.mark.parametrize("pause_s", [0.5, 5.0])
    async def test_reattached_run_is_read_to_its_end(
        self, world: Any, autojump_clock: Any, pause_s: float
    ) -> None:
        """Guards against a run that works and is cancelled after the time for reaching its
        sidecar, though that was reached."""

        async def slow_replay(sidecar: Any, end: Any, attach: Attach) -> None:
            await trio.sleep(pause_s)
            await sidecar.replay(end, attach)

        for sidecar in (world.s1, world.s2):
            sidecar.scripts = [cut_after_two, type(sidecar).behave, slow_replay]
        request = world.request(prompt_tokens=5_000)
        assert (await world.ask(request)).body == THREE_EVENTS
        assert len(world.s1.of(Reserve) + world.s2.of(Reserve)) == 1
        assert not world.s1.of(Cancel) + world.s2.of(Cancel)

    async def test_refused_reattachments_fail_over_after_the_time_for_contact(
        self, world: Any, autojump_clock: Any
    ) -> None:
        async def refuse_attach(sidecar: Any, end: Any, attach: Attach) -> None:
            await end.send(Refused(*own_of(attach), "overloaded"))

        started_s = trio.current_time()
        refusing_each = [script for _ in range(50) for script in (None, refuse_attach)]
        for sidecar in (world.s1, world.s2):
            behave = type(sidecar).behave
            sidecar.scripts = [cut_after_two, *(script or behave for script in refusing_each)]
        first_cut: list[Any] = []

        async def watch_first() -> None:
            while not first_cut:
                first_cut.extend(each for each in (world.s1, world.s2) if each.of(Query))
                await trio.sleep(0.01)
            other = world.s2 if first_cut[0] is world.s1 else world.s1
            other.scripts.clear()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_first)
            body = (await world.ask(world.request(prompt_tokens=5_000))).body
        assert body == THREE_EVENTS
        assert trio.current_time() - started_s < 3.0


class TestIncompleteChunks:
    @pytest.mark.parametrize("is_idempotent", [True, False])
    @pytest.mark.parametrize("is_streamed", [True, False])
    async def test_run_is_not_cancelled_before_it_is_read_again(
        self, world: Any, autojump_clock: Any, is_streamed: bool, is_idempotent: bool
    ) -> None:
        """Guards against a run that works and is cancelled for a missing chunk, so that there is
        nothing left to read when its sidecar is asked for that chunk."""

        async def gap(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await sidecar.accept(end, reserve)
            own = own_of(reserve)
            sidecar.ran.append(own)
            chunks = sidecar.chunks(own, sidecar.words)
            await end.send(chunks[0], chunks[2])
            if isinstance(await end.receive(), Cancel):
                sidecar.states[own] = AttemptState.FAILED
                sidecar.scripts = [type(sidecar).behave, cancelled] * 5

        async def cancelled(sidecar: Any, end: Any, attach: Attach) -> None:
            await end.send(sidecar.end(own_of(attach), 1, "failed", code="backend-failed"))

        world.s1.scripts, world.s2.scripts = [gap], [gap]
        request = world.request(
            prompt_tokens=5_000, is_idempotent=is_idempotent, is_streamed=is_streamed
        )
        assert (await world.ask(request)).body == THREE_EVENTS
        assert world.ran() == 1
        assert not world.s1.of(Cancel) + world.s2.of(Cancel)

    async def test_run_whose_chunks_stay_incomplete_is_cancelled(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """Guards against an engine that works on for nobody after the last try to read its run."""

        async def gap(sidecar: Any, end: Any, message: Any) -> None:
            if isinstance(message, Reserve):
                await sidecar.accept(end, message)
            if not isinstance(message, Reserve | Attach):
                await type(sidecar).behave(sidecar, end, message)
                return
            await end.send(*sidecar.chunks(own_of(message), sidecar.words[2:], 2))
            await end.receive()

        world.s1.scripts, world.s2.scripts = [gap] * 20, [gap] * 20
        refusal = await refusal_of(world, world.booking())
        assert refusal.kind.code == "backend-failed"
        assert len(world.s1.of(Attach) + world.s2.of(Attach)) == 2
        await trio.testing.wait_all_tasks_blocked()  # The cancellation is read.
        assert len(world.s1.of(Cancel) + world.s2.of(Cancel)) == 1
