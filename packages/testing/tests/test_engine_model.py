"""Tests of the model engine on trio's mock clock."""

from __future__ import annotations

import json
import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.sidecar.engine import (
    EngineFailed,
    EngineOrder,
    EngineRefused,
    EngineRequest,
    EngineUnavailable,
)
from sassafrastally.testing.engine_fake import FakeEngine
from sassafrastally.testing.engine_model import EngineModel, EngineShape

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SHAPE = EngineShape(total_blocks=128, event_gap_share=0.5)

HISTORIES = 1000


@asynccontextmanager
async def running(*models: EngineModel) -> AsyncIterator[None]:
    async with trio.open_nursery() as nursery:
        for model in models:
            await nursery.start(model.run)
        yield
        nursery.cancel_scope.cancel()


def asking(
    stream_id: str, prompt: str = "note", output: int = 8, **fields: object
) -> EngineRequest:
    body = json.dumps({"prompt": prompt, "stream": True}).encode()
    request = EngineRequest(
        stream_id, "small", "POST /v1/completions", body, len(prompt) // 4, output, 0
    )
    return request._replace(**fields)


async def answer(engine: FakeEngine, request: EngineRequest) -> str:
    async with engine.generate(request) as run:
        chunks = [json.loads(chunk.data)["choices"][0]["text"] async for chunk in run]
        assert run.usage is not None
        assert run.usage.output_tokens == len(chunks)
    return "".join(chunks)


class TestMemory:
    async def test_random_histories_leave_no_block_behind(self, autojump_clock: object) -> None:
        """A user would see an engine that answers ever more slowly and then not at all.

        Runs, exports and imports end in every order: finished, cancelled, left, cut and
        cancelled late, lost with the engine. After each history the engine's own count must be
        what it was at the start.
        """
        for seed in range(HISTORIES):
            coarse = SHAPE._replace(decode_stride=1 + seed % 8)
            models = [EngineModel(coarse, seed), EngineModel(coarse, seed + 1)]
            async with running(*models):
                await random_history(models, random.Random(seed))
            for model in models:
                assert model.memory.free_blocks == SHAPE.total_blocks, seed
                assert model.streams() == [], seed

    async def test_refuses_what_can_never_fit(self, autojump_clock: object) -> None:
        model = EngineModel(SHAPE)
        async with running(model):
            with pytest.raises(EngineRefused, match="129 blocks of 128"):
                await answer(FakeEngine(model), asking("long", "x" * 4 * 2048, 1))

    async def test_cached_prefix_skips_prefill_and_counts_as_free(
        self, autojump_clock: object
    ) -> None:
        model = EngineModel(SHAPE)
        engine = FakeEngine(model)
        async with running(model):
            await answer(engine, asking("first", "x" * 400))
            assert model.memory.cached_blocks == 6
            assert model.memory.free_blocks == SHAPE.total_blocks
            async with engine.generate(asking("second", "x" * 400)) as run:
                assert [chunk.tokens async for chunk in run] == [1] * 8
                assert run.usage and run.usage.cached_tokens == 96

    async def test_cache_events_come_late_with_gaps_that_show(self, autojump_clock: object) -> None:
        model = EngineModel(SHAPE, seed=1)
        engine = FakeEngine(model)
        async with running(model):
            await answer(engine, asking("first", "y" * 2000))
            assert await engine.cache_events(0) == []
            await trio.sleep(SHAPE.event_lag_s)
            sequences = [item.sequence for item in await engine.cache_events(0)]
        assert 0 < len(sequences) < 31
        assert sequences[-1] > len(sequences)


async def random_history(models: list[EngineModel], draw: random.Random) -> None:
    addresses = [Address("192.0.2.1", 1), Address("192.0.2.2", 1)]
    directory = dict(zip(addresses, models, strict=True))
    engines = [FakeEngine(model, directory) for model in models]

    async def user(name: str) -> None:
        side = draw.randrange(2)
        engine, other = engines[side], engines[1 - side]
        output = draw.choice([0, 3, 12])
        request = asking(name, draw.choice("abc") * draw.randrange(1, 4800), output)
        engine.faults.cut_after_chunks = draw.choice([None, None, 0, 2])
        try:
            await trio.sleep(draw.random())
            with trio.move_on_after(draw.uniform(0.0, 1.0)):
                async with engine.generate(request) as run:
                    async for _ in run:
                        if draw.random() < 0.1:
                            break
                    blocks = await engine.export_kv(name, f"kv-{name}")
                    await other.import_kv(f"kv-{name}", addresses[side], blocks)
        except (EngineFailed, EngineRefused, EngineUnavailable):
            pass

    async with trio.open_nursery() as nursery:
        for number in range(3):
            nursery.start_soon(user, str(number))
        if draw.random() < 0.3:
            await trio.sleep(draw.random())
            models[0].die()
            models[0].revive()
    for engine in engines:
        engine.faults.unsent = engine.faults.lost = 0
        for stream in await engine.list_streams():
            freed = engine.cancel if stream.kind == "run" else engine.free_export
            assert await freed(stream.stream_id)


class TestResume:
    @pytest.mark.parametrize("shown", [1, 7, 19])
    async def test_goes_on_exactly_on_another_engine(
        self, autojump_clock: object, shown: int
    ) -> None:
        models = EngineModel(SHAPE, 1), EngineModel(SHAPE._replace(decode_stride=4), 2)
        async with running(*models):
            whole = await answer(FakeEngine(models[0]), asking("whole", output=20))
            resumed = asking("rest", output=20, resume_from_tokens=shown)
            parts = []
            async with FakeEngine(models[1]).generate(resumed) as run:
                async for chunk in run:
                    parts.append(json.loads(chunk.data)["choices"][0]["text"])
                assert run.usage and run.usage.output_tokens == 20 - shown
        assert " ".join(whole.split()[shown:]) == "".join(parts).strip()


class TestPriorities:
    async def test_lower_number_starts_first_and_arrival_decides_among_equals(
        self, autojump_clock: object
    ) -> None:
        model = EngineModel(SHAPE._replace(max_streams=1))
        order: list[str] = []

        async def user(name: str, priority: int) -> None:
            await answer(FakeEngine(model), asking(name, priority=priority))
            order.append(name)

        async with running(model), trio.open_nursery() as nursery:
            for name, priority in [("running", 9), ("last", 5), ("second", 1), ("third", 1)]:
                nursery.start_soon(user, name, priority)
                await trio.testing.wait_all_tasks_blocked()
        assert order == ["running", "second", "third", "last"]


class TestSpan:
    async def test_three_engines_hold_a_prompt_of_more_than_twice_one_memory(
        self, autojump_clock: object
    ) -> None:
        models = [EngineModel(SHAPE, seed) for seed in range(3)]
        addresses = [Address("192.0.2.1", port) for port in range(3)]
        directory = dict(zip(addresses, models, strict=True))
        engines = [FakeEngine(model, directory) for model in models]
        prompt = "z" * 4 * 5200
        handles: list[str] = []
        async with running(*models):
            with pytest.raises(EngineRefused):
                await answer(engines[0], asking("alone", prompt, 8))
            for number, end in enumerate((1900, 3700)):
                segment = asking(f"s{number}", prompt, 0)._replace(
                    prompt_tokens=end, import_handles=tuple(handles)
                )
                member = engines[number + 1]
                async with member.generate(segment) as run:
                    assert [chunk async for chunk in run] == []
                    blocks = await member.export_kv(f"s{number}", f"kv{number}")
                handles.append(f"kv{number}")
                for engine in (engines[0], *engines[number + 2 :]):
                    await engine.import_kv(handles[-1], addresses[number + 1], blocks)
            await answer(engines[0], asking("led", prompt, 8, import_handles=tuple(handles)))
            for engine in engines:
                for handle in handles:
                    await engine.free_export(handle)
        assert [model.memory.free_blocks for model in models] == [SHAPE.total_blocks] * 3


class TestOrders:
    async def test_old_fence_is_refused_only_where_it_is_checked(
        self, autojump_clock: object
    ) -> None:
        for checks, roles in [(True, "new"), (False, "old")]:
            engine = FakeEngine(EngineModel(SHAPE._replace(checks_fencing=checks)))
            await engine.order(EngineOrder(7, "set_role", "small", role="new"))
            old = EngineOrder(6, "set_role", "small", role="old")
            if checks:
                with pytest.raises(EngineRefused):
                    await engine.order(old)
            else:
                await engine.order(old)
            assert (await engine.describe()).role == roles

    async def test_load_takes_time_and_an_older_one_under_way_gives_up(
        self, autojump_clock: object
    ) -> None:
        """Operators would see a model come back that they had replaced.

        A holder of the placement orders a load and is followed by a new holder while the load
        is under way; the late end of the old load must not count.
        """
        model = EngineModel(SHAPE)
        engine = FakeEngine(model)
        refused = trio.Event()

        async def order_old() -> None:
            with pytest.raises(EngineRefused, match="overtaken"):
                await engine.order(EngineOrder(1, "load", "large", "2"))
            refused.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(order_old)
            await trio.sleep(1)
            assert (await engine.describe()).models == ("small",)
            await engine.order(EngineOrder(2, "load", "large", "3"))
            await refused.wait()
        await trio.sleep(60)
        assert model.placement.models == ("small", "large@3")

    async def test_load_goes_on_when_its_caller_leaves(self, autojump_clock: object) -> None:
        model = EngineModel(SHAPE)
        with trio.move_on_after(1):
            await FakeEngine(model).order(EngineOrder(1, "load", "large", "2"))
        assert model.placement.models == ("small",)
        await trio.sleep(60)
        assert model.placement.models == ("small", "large@2")


class TestFailures:
    async def test_death_breaks_runs_and_begins_a_new_incarnation(
        self, autojump_clock: object
    ) -> None:
        model = EngineModel(SHAPE)
        engine = FakeEngine(model)
        before = (await engine.describe()).incarnation
        async with running(model):
            async with engine.generate(asking("cut")) as run:
                await anext(aiter(run))
                model.die()
                with pytest.raises(EngineFailed):
                    async for _ in run:
                        pass
            with pytest.raises(EngineUnavailable):
                await engine.describe()
            model.revive()
            assert (await engine.describe()).incarnation != before
            assert await answer(engine, asking("after"))

    async def test_frozen_engine_goes_on_after_the_thaw(self, autojump_clock: object) -> None:
        model = EngineModel(SHAPE)
        engine = FakeEngine(model)
        async with running(model):
            model.freeze()
            with trio.move_on_after(60) as scope:
                await answer(engine, asking("frozen"))
            assert scope.cancelled_caught
            model.thaw()
            assert await answer(engine, asking("thawed"))

    async def test_end_without_mark_leaves_the_usage_out(self, autojump_clock: object) -> None:
        model = EngineModel(SHAPE)
        model.ends_without_mark = True
        async with running(model), FakeEngine(model).generate(asking("short")) as run:
            assert len([chunk async for chunk in run]) == 8
            assert run.usage is None

    async def test_lost_answer_is_told_apart_from_a_call_not_sent(
        self, autojump_clock: object
    ) -> None:
        model = EngineModel(SHAPE)
        engine = FakeEngine(model)
        async with running(model):
            engine.faults.unsent = 1
            with pytest.raises(EngineUnavailable):
                await answer(engine, asking("unsent"))
            engine.faults.lost = 1
            with pytest.raises(EngineFailed):
                await answer(engine, asking("lost"))
            await trio.sleep(5)
        assert dict(model.started_streams) == {"lost": 1}
