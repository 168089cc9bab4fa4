"""How long an entry tries to reach a sidecar whose link was lost, and what it reads then."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from sassafrastally.testing.sidecar_scripts import THREE_EVENTS, cut_after_two, own_of
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
