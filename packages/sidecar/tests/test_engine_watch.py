"""When a sidecar gives up its engine, and the segments held there."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.sidecar.engine import EngineFailed, EngineUnavailable
from sassafrastally.wire.messages import End, Reserve, Reserved

SEGMENT = {"tokens": 6, "segment_tokens": 6, "answer": 0, "max_output_tokens": 0}


def fail_next_polls(rig, count, cause):
    """Let the next calls for the engine's description fail."""
    describe, left = rig.engine.describe, count

    async def failing():
        nonlocal left
        if left:
            left -= 1
            raise cause
        return await describe()

    rig.engine.describe = failing


class TestOneFailedPoll:
    @pytest.mark.parametrize(
        "cause", [EngineFailed("the answer was lost"), EngineUnavailable("no connection")]
    )
    async def test_segment_is_kept(self, rig, autojump_clock, cause):
        """Guards against a span that is broken off since one call to a sound engine failed."""
        async with rig.stream() as stream:
            await rig.begin(stream, rig.reserve(1, **SEGMENT, idempotent=True))
            await stream.receive()
            fail_next_polls(rig, 1, cause)
            with trio.move_on_after(10):
                ended = await stream.receive()
                raise AssertionError(f"the segment was given up: {ended}")

    @pytest.mark.parametrize(
        "cause", [EngineFailed("the answer was lost"), EngineUnavailable("no connection")]
    )
    async def test_requests_are_taken(self, rig, autojump_clock, cause):
        """Guards against refusals for a second since one call to a sound engine failed."""
        fail_next_polls(rig, 1, cause)
        for number in range(1, 21):
            async with rig.stream() as stream:
                await stream.send(rig.reserve(number, idempotent=True))
                assert isinstance(await stream.receive(), Reserved)
            await trio.sleep(0.1)


class TestSilenceThatEnds:
    @pytest.mark.parametrize("silence_s", [0.9, 1.5, 3.0])
    async def test_nothing_is_given_up(self, rig, autojump_clock, silence_s):
        """Guards against an engine that is given up while it is silent: its runs, the segments
        that it holds, and new requests for it."""
        async with rig.stream() as held, rig.stream() as running, rig.stream() as new:
            await rig.begin(held, rig.reserve(1, **SEGMENT, idempotent=True))
            await held.receive()
            await rig.begin(running, rig.reserve(2, answer=50, idempotent=True))
            await running.receive()
            rig.model.freeze()
            await trio.sleep(silence_s / 2)
            await new.send(rig.reserve(3, idempotent=True))
            assert isinstance(await new.receive(), Reserved)
            await trio.sleep(silence_s / 2)
            rig.model.thaw()
            assert (await rig.answer(running)).end.outcome == "completed"
            with trio.move_on_after(10):
                ended = await held.receive()
                raise AssertionError(f"the segment was given up: {ended}")


class TestLongDescription:
    @pytest.mark.parametrize(
        "models", [tuple(f"model-{number}" for number in range(30_000)), ("x" * 300_000,)]
    )
    async def test_engine_counts_as_lost_and_the_sidecar_goes_on(self, rig, autojump_clock, models):
        """Guards against a sidecar that ends, with all its runs, since the models that its engine
        names don't fit in a load report."""
        assert (await rig.run(rig.reserve(3))).end.outcome == "completed"
        describe = rig.engine.describe

        async def long_description():
            return (await describe())._replace(models=models)

        rig.engine.describe = long_description
        await trio.sleep(5)
        async with rig.stream() as stream:
            await stream.send(rig.reserve(1))
            assert (await stream.receive()).code == "no-replica"
        rig.engine.describe = describe
        await trio.sleep(5)
        assert (await rig.run(rig.reserve(2))).end.outcome == "completed"


class TestLostEngine:
    async def test_segment_of_a_dead_engine_is_given_up_in_time(self, rig, autojump_clock):
        """Guards against a leader that goes on for long on the memory of an engine that died."""
        async with rig.stream() as stream:
            await rig.begin(stream, rig.reserve(1, **SEGMENT, idempotent=True))
            await stream.receive()
            died_s = trio.current_time()
            rig.model.die()
            assert isinstance(await stream.receive(), End)
            assert trio.current_time() - died_s <= 1.1

    async def test_requests_for_a_dead_engine_are_refused(self, rig, autojump_clock):
        rig.model.die()
        await trio.sleep(1.1)
        async with rig.stream() as stream:
            await stream.send(rig.reserve(1, idempotent=True))
            refused = await stream.receive()
        assert not isinstance(refused, Reserve | Reserved)
        assert refused.code == "no-replica"
