from __future__ import annotations

import pytest
import trio

from sassafrastally.serving.naive import NaiveScheduler
from sassafrastally.serving.scheduling import EngineState, Work
from sassafrastally.serving.spans import decode_done
from sassafrastally.sidecar.attempt_key import AttemptKey
from sassafrastally.sidecar.segments import Promise, backfill_candidates
from sassafrastally.wire.messages import Cancel, Chunk, Refused

SEGMENT = {"tokens": 6, "segment_tokens": 6, "answer": 0, "max_output_tokens": 0}


class TestPromises:
    async def test_promise_lapses_on_the_sidecars_clock(self, rig, autojump_clock):
        """An entry is frozen after reserving a segment. Its link stays open, so only the sidecar's
        own clock can release the promised memory for other work."""
        async with rig.stream() as stream:
            reserve = rig.reserve(1, **SEGMENT, starts_in_s=2.0, idempotent=True)
            reserved = await rig.reserved(stream, reserve)
            assert reserved.lapse_s == pytest.approx(3.0 + 3 * 2.0)
            await trio.sleep(reserved.lapse_s - 0.5)
            assert len(rig.service._engine_backend.promises.open()) == 1
            await trio.sleep(1.0)
            assert rig.service._engine_backend.promises.open() == []
            assert isinstance(await stream.receive(), Refused)

    async def test_second_span_is_refused_with_a_retry_time(self, rig, autojump_clock):
        blocks = rig.model.shape.total_blocks
        tokens = blocks * rig.model.shape.block_tokens // 2
        part = {"tokens": tokens, "segment_tokens": tokens, "max_output_tokens": 0}
        async with rig.stream() as first, rig.stream() as second:
            await rig.reserved(first, rig.reserve(1, **part))
            await second.send(rig.reserve(2, **part))
            refused = await second.receive()
        assert refused.code == "memory-full"
        assert refused.limit == blocks * 7 // 8
        assert refused.measured == blocks
        assert refused.retry_after_s > 0


class TestExport:
    async def test_export_is_held_until_cancelled(self, rig, autojump_clock):
        async with rig.stream() as stream:
            reserve = rig.reserve(1, **SEGMENT, idempotent=True)
            await rig.begin(stream, reserve)
            announced = await stream.receive()
            assert isinstance(announced, Chunk)
            done = decode_done(announced.data)
            await trio.sleep(60)
            assert [s.stream_id for s in rig.model.streams()] == [done.handle]
            await stream.send(Cancel(*reserve[:2], "over"))
            await stream.receive()
        await trio.sleep(1)
        rig.check_memory()

    async def test_unconfirmed_free_is_retried(self, rig, autojump_clock):
        """The engine is unreachable when an export must be freed. Without the sweep, its blocks
        would be lost until the engine restarts."""
        async with rig.stream() as stream:
            reserve = rig.reserve(1, **SEGMENT, idempotent=True)
            await rig.begin(stream, reserve)
            await stream.receive()
            rig.engine.faults.unsent = 1
            await stream.send(Cancel(*reserve[:2], "over"))
            await stream.receive()
        await trio.sleep(12)
        rig.check_memory()

    async def test_restarted_sidecar_frees_the_export(self, rig, autojump_clock):
        async with rig.stream() as stream:
            await rig.begin(stream, rig.reserve(1, **SEGMENT, idempotent=True))
            await stream.receive()
            await rig.kill()
        await rig.restart()
        assert rig.model.streams() == []

    async def test_missing_import_means_not_run(self, rig, autojump_clock):
        imports = {
            "import_handles": ("span-x-1",),
            "import_sources": ("10.0.0.7:9000",),
            "import_tokens": (64,),
        }
        ended = await rig.run(rig.reserve(1, tokens=70, segment_tokens=6, **imports))
        assert (ended.end.outcome, ended.end.code) == ("not_run", "no-replica")
        await trio.sleep(1)
        rig.check_memory()


class TestBackfill:
    def allowed(self, *, prompt_tokens, arrived_s=1.0, starts_at_s):
        work = Work("r", 1, "c", prompt_tokens, 0, 10, 0, arrived_s, 600.0)
        promise = Promise(AttemptKey("span", 1), 80, 1.0, starts_at_s)
        cost = NaiveScheduler(None).cost
        return backfill_candidates([work], EngineState(1.0, 16, 100, 100, ()), [promise], cost)

    def test_work_that_fits_beside_the_promise(self):
        assert self.allowed(prompt_tokens=300, starts_at_s=1.0)
        assert not self.allowed(prompt_tokens=400, starts_at_s=1.0)

    def test_work_that_ends_before_the_segment_starts(self):
        assert self.allowed(prompt_tokens=400, starts_at_s=1_000.0)

    def test_work_admitted_before_the_promise(self):
        assert self.allowed(prompt_tokens=400, arrived_s=0.5, starts_at_s=1.0)
