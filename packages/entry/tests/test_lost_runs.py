"""Runs whose sidecars aren't reached in time, when no other attempt gives the answer."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from sassafrastally.core import RequestId
from sassafrastally.entry.relay import Answer
from sassafrastally.entry.settings import EntrySettings
from sassafrastally.serving.outcome import AttemptState, Outcome
from sassafrastally.serving.refusals import Refusal
from sassafrastally.testing.sidecar_scripts import (
    THREE_EVENTS,
    hang,
    own_of,
    refusal_of,
    refusing,
)
from sassafrastally.wire.messages import Attach, Cancel, End, Reserve

SILENCE_S = 1.6
"""Longer than an idempotent request tries to reach a lost sidecar before it fails over."""


def unreached_after(shown: int, silence_s: float = SILENCE_S) -> Any:
    """Return a script that cuts the link after some chunks and accepts no link for a while.

    The run goes on meanwhile, and its answer is kept."""

    async def script(sidecar: Any, end: Any, reserve: Reserve) -> None:
        await sidecar.accept(end, reserve)
        own = own_of(reserve)
        sidecar.ran.append(own)
        await end.send(*sidecar.chunks(own, sidecar.words[:shown]))
        await trio.sleep(0.01)
        sidecar.is_down = True
        end.cut()
        await trio.sleep(silence_s)
        sidecar.states[own] = AttemptState.COMPLETED
        sidecar.is_down = False

    return script


async def fail_without_data(sidecar: Any, end: Any, reserve: Reserve) -> None:
    """Commit the attempt and report that its engine failed before the first token."""
    await sidecar.accept(end, reserve)
    await end.send(sidecar.end(own_of(reserve), 0, "failed", code="backend-failed"))


async def fail_after_one(sidecar: Any, end: Any, reserve: Reserve) -> None:
    """Send one more token than was shown, then report that the engine failed."""
    await sidecar.accept(end, reserve)
    own, word = own_of(reserve), sidecar.words[reserve.shown_tokens]
    await end.send(*sidecar.chunks(own, (word,)))
    await end.send(sidecar.end(own, 1, "failed", code="backend-failed"))


async def forget(sidecar: Any, end: Any, reserve: Reserve) -> None:
    """Commit the attempt, cut the link and start again as a new incarnation."""
    await sidecar.accept(end, reserve)
    sidecar.incarnation = f"life-2-of-{sidecar.vm}"
    end.cut()


def slow_when_read_again(first: Any, pause_s: float) -> Any:
    """Return a script of a sidecar that sends a chunk at a time when its run is read again."""

    async def script(sidecar: Any, end: Any, reserve: Reserve) -> None:
        sidecar.chunk_pause_s = pause_s
        await first(sidecar, end, reserve)

    return script


async def replay_slowly(sidecar: Any, end: Any, attach: Attach) -> None:
    """Send the rest of an answer, with a pause before each chunk, unless it is cancelled."""
    own = own_of(attach)
    for chunk in sidecar.chunks(own, sidecar.words)[attach.from_sequence :]:
        with trio.move_on_after(sidecar.chunk_pause_s):
            await end.receive()
            sidecar.words = ()  # The run is cancelled: nothing is left to be read.
        await end.send(chunk)
    await end.send(sidecar.end(own, len(sidecar.words)))


def set_scripts(world: Any, first: Any, successor: Any, later: Any = None) -> None:
    """Let whichever sidecar is asked first play one script and the other one the second.

    All further reservations play `later`, or the second script if there is none."""
    played: list[Any] = []

    async def script(sidecar: Any, end: Any, message: Any) -> None:
        if isinstance(message, Attach) and hasattr(sidecar, "chunk_pause_s"):
            await replay_slowly(sidecar, end, message)
        elif not isinstance(message, Reserve):
            await type(sidecar).behave(sidecar, end, message)
        else:
            order = (first, successor, later or successor)
            played.append(order[min(len(played), 2)])
            await played[-1](sidecar, end, message)

    for sidecar in (world.s1, world.s2):
        sidecar.scripts = [script] * 50


def long_request(world: Any, **fields: Any) -> Any:
    """Return an idempotent request that reserves before it commits."""
    return world.request(**{"prompt_tokens": 5_000, **fields})


class TestLostRuns:
    @pytest.mark.parametrize("shown", [0, 2])
    @pytest.mark.parametrize("is_streamed", [True, False])
    @pytest.mark.parametrize(
        "successor",
        [
            pytest.param(refusing("no-span"), id="refuses"),
            pytest.param(refusing("outcome-unknown"), id="refuses without proof"),
            pytest.param(fail_without_data, id="fails"),
            pytest.param(forget, id="is replaced"),
            pytest.param(unreached_after(0, 60.0), id="is lost too"),
        ],
    )
    async def test_run_is_read_when_its_successors_fail(
        self, world: Any, autojump_clock: Any, successor: Any, is_streamed: bool, shown: int
    ) -> None:
        """Guards against a refusal although a sidecar that was out of reach for 1.6 s has the
        whole answer: the attempt there was abandoned before another one had succeeded."""
        set_scripts(world, unreached_after(shown), successor)
        request = long_request(world, is_streamed=is_streamed)
        assert (await world.ask(request)).body == THREE_EVENTS

    @pytest.mark.parametrize("is_streamed", [True, False])
    async def test_run_is_read_beside_a_silent_successor(
        self, world: Any, autojump_clock: Any, is_streamed: bool
    ) -> None:
        """Guards against a refusal at the time limit although the first sidecar, out of reach for
        1.6 s, has the whole answer: its successor has the commit and is silent until its link is
        cut, and the first run isn't read meanwhile."""
        set_scripts(world, unreached_after(0), hang)
        request = long_request(world, is_streamed=is_streamed, time_limit_s=6.0)
        assert (await world.ask(request)).body == THREE_EVENTS

    @pytest.mark.parametrize("is_streamed", [True, False])
    @pytest.mark.parametrize("silence_s", [2.5, 3.5, 4.4])
    @pytest.mark.parametrize("pause_s", [0.0, 4.0])
    async def test_tokens_of_two_runs_are_not_mixed(
        self,
        world: Any,
        autojump_clock: Any,
        pause_s: float,
        silence_s: float,
        is_streamed: bool,
    ) -> None:
        """Guards against an answer of pieces of two runs, or one that is sent twice: the first run
        is being read when its successor begins to answer."""

        async def late(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await sidecar.accept(end, reserve)
            await trio.sleep(silence_s - SILENCE_S)
            own = own_of(reserve)
            chunks = sidecar.chunks(own, sidecar.words)
            await end.send(chunks[0])
            await trio.sleep(pause_s)
            await end.send(*chunks[1:], sidecar.end(own, 3))

        first = slow_when_read_again(unreached_after(0), pause_s=1.0)
        set_scripts(world, first, late)
        request = long_request(world, is_streamed=is_streamed)
        assert (await world.ask(request)).body == THREE_EVENTS

    async def test_run_that_is_half_read_goes_on_when_its_successor_fails(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """Guards against chunks that are held back and lost, and against a run that is cancelled,
        when the other attempt fails while the first run is being read."""

        async def fail_late(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await sidecar.accept(end, reserve)
            await trio.sleep(2.0)
            await end.send(sidecar.end(own_of(reserve), 0, "failed", code="backend-failed"))

        first = slow_when_read_again(unreached_after(0), pause_s=1.0)
        set_scripts(world, first, fail_late, refusing("no-span"))
        parts: list[bytes] = []
        async with world.path.open(long_request(world)) as answer:
            async for data in answer:
                parts.append(data)
        assert b"".join(parts) == THREE_EVENTS
        assert len(parts) > 1  # What comes after the failure isn't held back.
        assert not world.s1.of(Cancel) + world.s2.of(Cancel)

    async def test_run_isnt_read_after_a_successor_has_shown_tokens(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """Guards against tokens that the caller gets twice: the first run's next chunk is one that
        its successor has sent already."""
        set_scripts(world, unreached_after(1), fail_after_one)
        request = long_request(world, max_output_tokens=5_000)
        shown = b""
        async with world.path.open(request) as answer:
            with pytest.raises(Refusal):
                async for data in answer:
                    shown += data
        assert THREE_EVENTS.startswith(shown)
        assert not world.s1.of(Attach) + world.s2.of(Attach)

    async def test_run_that_is_never_reached_ends_at_the_time_limit(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """Guards against an outcome that isn't true, and against a request without an end."""
        set_scripts(world, unreached_after(2, 60.0), refusing("no-span"))
        started_s = trio.current_time()
        refusal = await refusal_of(world, long_request(world, time_limit_s=8.0, is_streamed=False))
        assert refusal.outcome == Outcome.FAILED
        assert trio.current_time() == pytest.approx(started_s + 8.0)

    async def test_run_on_a_removed_vm_isnt_waited_for(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """Guards against callers that wait until their time limit for a VM that is gone."""
        set_scripts(world, unreached_after(0, 60.0), refusing("no-span"))

        async def remove() -> None:
            await trio.sleep(0.5)
            for vm in [vm for vm, sidecar in world.sidecars.items() if sidecar.is_down]:
                del world.sidecars[vm]

        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(remove)
            refusal = await refusal_of(world, long_request(world))
        assert (refusal.kind.code, refusal.outcome) == ("no-span", Outcome.UNKNOWN)
        assert trio.current_time() - started_s < 6.0

    async def test_run_that_a_sidecar_has_forgotten_ends_the_wait(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """Guards against callers that wait until their time limit for a sidecar that has told that
        it can't know the run."""
        set_scripts(world, unreached_after(0), refusing("no-span"))

        async def restart() -> None:
            await trio.sleep(1.0)
            for sidecar in (world.s1, world.s2):
                sidecar.incarnation = f"life-2-of-{sidecar.vm}"

        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(restart)
            refusal = await refusal_of(world, long_request(world))
        assert (refusal.kind.code, refusal.outcome) == ("no-span", Outcome.UNKNOWN)
        assert trio.current_time() - started_s < 6.0


class TestBeforeTheReply:
    @pytest.mark.parametrize("is_streamed", [True, False])
    async def test_short_request_is_read_when_its_successor_fails(
        self, world: Any, autojump_clock: Any, is_streamed: bool
    ) -> None:
        """Guards against a short request's run that is given up for good if the link is lost
        before the reply that names the sidecar's incarnation."""

        async def cut_before_the_reply(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await end.body(reserve.body_size_bytes)
            sidecar.ran.append(own_of(reserve))
            sidecar.states[own_of(reserve)] = AttemptState.COMPLETED
            end.cut()

        set_scripts(world, cut_before_the_reply, refusing("no-span"))
        request = world.request(is_streamed=is_streamed)
        assert (await world.ask(request)).body == THREE_EVENTS
        assert world.ran() == 1

    async def test_run_that_never_began_is_no_answer(self, world: Any, autojump_clock: Any) -> None:
        """Guards against an answer, or a wait, for a request that was lost with the link."""

        async def cut_unread(sidecar: Any, end: Any, reserve: Reserve) -> None:
            end.cut()

        set_scripts(world, cut_unread, refusing("no-span"))
        refusal = await refusal_of(world, world.request())
        assert refusal.kind.code == "no-span"
        assert world.ran() == 0
        states = {**world.s1.states, **world.s2.states}
        assert AttemptState.VOIDED in states.values()


class TestNoRetryLeft:
    @pytest.fixture
    def entry_settings(self) -> EntrySettings:
        return EntrySettings(routing_policy="round-robin", retry_burst=0.0)

    @pytest.mark.parametrize("shown", [0, 2])
    @pytest.mark.parametrize("silence_s", [1.1, 1.6, 5.0])
    async def test_run_is_read_when_the_retry_budget_is_spent(
        self, world: Any, autojump_clock: Any, silence_s: float, shown: int
    ) -> None:
        """Guards against a refusal after a second of silence where no other attempt may follow."""
        set_scripts(world, unreached_after(shown, silence_s), refusing("overloaded"))
        assert (await world.ask(long_request(world))).body == THREE_EVENTS
        assert world.ran() == 1

    async def test_only_one_sidecar(self, world: Any, autojump_clock: Any) -> None:
        """As above, where the sidecar that is out of reach is the only one."""
        del world.sidecars["s2"]
        world.s1.scripts = [unreached_after(1)]
        assert (await world.ask(long_request(world))).body == THREE_EVENTS
        assert world.ran() == 1


class TestTwoEnds:
    async def test_first_end_counts(self, autojump_clock: Any) -> None:
        """Guards against an answer that is sent twice if two attempts are complete at once."""
        answer = Answer(RequestId("1" * 32), 1000)
        answer.finish(End("1", 1), answer.head, b"whole")
        answer.finish(End("1", 2), answer.head, b"whole")
        await answer.put(b"more", 1)
        assert [data async for data in answer] == [b"whole"]
        assert (answer.end, answer.shown_tokens) == (End("1", 1), 0)
