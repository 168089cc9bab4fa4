"""Runs with a missing chunk whose sidecar or caller is gone before they are read again."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from sassafrastally.core import Service
from sassafrastally.serving.outcome import AttemptState
from sassafrastally.testing.sidecar_scripts import THREE_EVENTS, own_of, refusal_of, refusing
from sassafrastally.wire.link import StreamEnded
from sassafrastally.wire.messages import Attach, Cancel, Query, Reserve


async def send_gap(sidecar: Any, end: Any, reserve: Reserve) -> None:
    """Commit an attempt and leave out a chunk of its answer."""
    await sidecar.accept(end, reserve)
    own = own_of(reserve)
    sidecar.ran.append(own)
    chunks = sidecar.chunks(own, sidecar.words)
    await end.send(chunks[0], chunks[2])


class TestIncompleteRun:
    @pytest.mark.parametrize("silence_s", [0.1, 1.6, 3.0])
    async def test_is_read_again_although_its_sidecar_is_out_of_reach(
        self, world: Any, autojump_clock: Any, silence_s: float
    ) -> None:
        """Guards against a refusal although a sidecar that was out of reach for 1.6 s after the gap
        has the whole answer, and no other one takes the request."""
        is_taken = False

        async def script(sidecar: Any, end: Any, message: Any) -> None:
            nonlocal is_taken
            if not isinstance(message, Reserve):
                await type(sidecar).behave(sidecar, end, message)
            elif is_taken:
                await refusing("no-span")(sidecar, end, message)
            else:
                is_taken = True
                await send_gap(sidecar, end, message)
                sidecar.is_down = True
                await trio.sleep(silence_s)
                sidecar.states[own_of(message)] = AttemptState.COMPLETED
                sidecar.is_down = False

        for sidecar in (world.s1, world.s2):
            sidecar.scripts = [script] * 50
        assert (await world.ask(world.request(prompt_tokens=5_000))).body == THREE_EVENTS

    async def test_is_cancelled_if_its_caller_leaves(self, world: Any, autojump_clock: Any) -> None:
        """Guards against a run that may not be repeated and goes on for nobody, since its caller
        left between the gap and the next try to read it."""

        async def script(sidecar: Any, end: Any, message: Any) -> None:
            if isinstance(message, Reserve):
                await send_gap(sidecar, end, message)
                while True:
                    await end.receive()
            if isinstance(message, Query):
                await trio.sleep(2.0)
            await type(sidecar).behave(sidecar, end, message)

        for sidecar in (world.s1, world.s2):
            sidecar.scripts = [script] * 50
        with trio.move_on_after(1.0):
            await world.ask(world.booking(prompt_tokens=5_000))
        await trio.sleep(5.0)
        assert world.ran() == 1
        assert len(world.s1.of(Cancel) + world.s2.of(Cancel)) == 1

    @pytest.mark.parametrize("has_gap", [True, False])
    async def test_is_cancelled_if_the_link_was_cut_before(
        self, world: Any, autojump_clock: Any, has_gap: bool
    ) -> None:
        """Guards against a run that may not be repeated and goes on for nobody: its link was cut
        before its caller left, so that nothing could be told to the sidecar then."""

        async def script(sidecar: Any, end: Any, message: Any) -> None:
            if isinstance(message, Reserve):
                if not has_gap:
                    await sidecar.accept(end, message)
                    sidecar.ran.append(own_of(message))
                    end.cut()
                    return
                await send_gap(sidecar, end, message)
                while True:
                    await end.receive()
            if isinstance(message, Attach):
                end.cut()
                return
            if isinstance(message, Query) and len(world.s1.of(Query) + world.s2.of(Query)) > 1:
                await trio.sleep(2.0)
            await type(sidecar).behave(sidecar, end, message)

        for sidecar in (world.s1, world.s2):
            sidecar.scripts = [script] * 50
        with trio.move_on_after(1.0):
            await world.ask(world.booking(prompt_tokens=5_000))
        await trio.sleep(5.0)
        assert world.ran() == 1
        assert len(world.s1.of(Cancel) + world.s2.of(Cancel)) == 1

    @pytest.mark.parametrize("has_gap", [False, True])
    async def test_isnt_waited_for_after_the_time_limit(
        self, world: Any, autojump_clock: Any, monkeypatch: Any, has_gap: bool
    ) -> None:
        """Guards against a refusal a second after the time limit: a VM that has lost power doesn't
        answer, and the cancellation of its run waits for a link."""
        peers = world.kernel.get("peers", Service)
        link_to = peers.link_to

        async def link_to_running(vm: str, address: Any) -> Any:
            if world.sidecars[vm].is_down:
                await trio.sleep(5.0)
            return await link_to(vm, address)

        monkeypatch.setattr(peers, "link_to", link_to_running)

        async def script(sidecar: Any, end: Any, message: Any) -> None:
            if has_gap:
                await send_gap(sidecar, end, message)
            else:
                await sidecar.accept(end, message)
            sidecar.is_down = True
            if not has_gap:
                end.cut()
            await end.receive()

        for sidecar in (world.s1, world.s2):
            sidecar.scripts = [script] * 50
        begin_s = trio.current_time()
        refusal = await refusal_of(world, world.booking(prompt_tokens=5_000, time_limit_s=2.0))
        assert refusal.kind.code == "time-limit-passed"
        assert trio.current_time() - begin_s <= 2.25


class TestUnreadEnd:
    """Answers whose end mark has been sent when the entry closes the stream.

    A sidecar drops the answer of a run that may be repeated once its reader has closed the stream
    without a code.
    """

    @pytest.mark.parametrize("is_streamed", [True, False])
    async def test_answer_is_kept_for_the_next_try_to_read_it(
        self, world: Any, autojump_clock: Any, is_streamed: bool
    ) -> None:
        """Guards against an answer that is dropped since its stream was closed after a gap, so that
        the next try to read it finds none."""

        async def script(sidecar: Any, end: Any, message: Any) -> None:
            if isinstance(message, Attach) and sidecar.is_dropped:
                own = own_of(message)
                await end.send(sidecar.end(own, 0, code="answer-not-kept"))
            elif isinstance(message, Reserve):
                await send_gap(sidecar, end, message)
                await end.send(sidecar.end(own_of(message), 3))
                sidecar.states[own_of(message)] = AttemptState.COMPLETED
                sidecar.is_dropped = await close_code(end) == 0
            else:
                await type(sidecar).behave(sidecar, end, message)

        for sidecar in (world.s1, world.s2):
            sidecar.scripts = [script] * 50
        request = world.request(prompt_tokens=5_000, is_streamed=is_streamed)
        assert (await world.ask(request)).body == THREE_EVENTS
        assert world.ran() == 1

    async def test_answer_that_was_read_is_given_back(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """Guards against sidecars that keep answers that their readers have."""
        codes = []

        async def script(sidecar: Any, end: Any, message: Any) -> None:
            await type(sidecar).behave(sidecar, end, message)
            codes.append(await close_code(end))

        for sidecar in (world.s1, world.s2):
            sidecar.scripts = [script]
        assert (await world.ask(world.request(prompt_tokens=5_000))).body == THREE_EVENTS
        await trio.sleep(0.1)
        assert codes == [0]


async def close_code(end: Any) -> int:
    """Return the code with which the entry closes its stream."""
    try:
        while True:
            await end.receive()
    except StreamEnded as ended:
        return ended.peer_code
