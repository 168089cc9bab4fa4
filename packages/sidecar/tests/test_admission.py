"""Immediate refusals by admission control and their figures."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.wire.messages import Reserved


async def refused(rig, reserve):
    async with rig.stream() as stream:
        await stream.send(reserve)
        return await stream.receive()


class TestAdmission:
    @pytest.mark.parametrize(
        ("changes", "code"),
        [
            ({"model": "other"}, "no-replica"),
            ({"model": "", "service": "bookings"}, "no-replica"),
            ({"prompt_tokens": 70_000}, "no-span"),
            ({"body_size_bytes": 101}, "body-too-large"),
        ],
    )
    async def test_permanently_unservable_attempt_is_refused(
        self, autojump_clock, make_rig, changes, code
    ):
        rig = await make_rig(max_body_bytes=100)
        answer = await refused(rig, rig.reserve(1)._replace(**{"body_size_bytes": 50, **changes}))
        assert (answer.code, answer.retry_after_s) == (code, 0.0)
        if code == "no-span":
            assert (answer.limit, answer.measured) == (4096 * 16, 70_008)

    @pytest.mark.parametrize("bound", [{"max_attempts": 1}, {"max_body_bytes": 80}])
    async def test_process_limits_refuse_until_freed(self, autojump_clock, make_rig, bound):
        """One reservation reaches a limit. The next one is refused with that limit, and admitted
        once the first is released."""
        rig = await make_rig(**bound)
        async with rig.stream() as stream:
            await rig.reserved(stream, rig.reserve(1, body_size_bytes=50))
            answer = await refused(rig, rig.reserve(2, body_size_bytes=50))
            assert answer.code == "overloaded"
            assert answer.limit == next(iter(bound.values()))
            assert answer.retry_after_s > 0
        assert isinstance(await refused(rig, rig.reserve(3, body_size_bytes=50)), Reserved)


class TestPredictions:
    @pytest.mark.parametrize("scheduler", ["lanes", "naive"])
    async def test_work_whose_turn_has_come_is_counted_once(
        self, autojump_clock, make_rig, scheduler
    ):
        """Guards against work that counts as running and as waiting until its task has noticed
        that its turn has come. A prediction in that turn of the loop was too long, and one for
        several short answers ended the process."""
        rig = await make_rig(scheduler=scheduler)
        backend, queue = rig.service.admission.engine, rig.service.queue
        counted = []

        def wait_turn_noted(work, stream_id, wait_turn=queue.wait_turn):
            counted.append(work)
            return wait_turn(work, stream_id)

        def start_noted(work, state, start=queue._start):
            has_started = start(work, state)
            running = [run.work for run in queue.state().running]
            assert not set(running) & set(backend.expected_work())
            return has_started

        queue.wait_turn, queue._start = wait_turn_noted, start_noted
        async with trio.open_nursery() as nursery:
            for number in range(1, 11):
                nursery.start_soon(rig.run, rig.reserve(number, answer=1))
        assert len(counted) == 10
