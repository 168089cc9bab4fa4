"""Immediate refusals by admission control and their figures."""

from __future__ import annotations

import pytest

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
