"""Refusals at once, each with figures that were true."""

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
    async def test_what_can_never_be_served_here(self, autojump_clock, make_rig, changes, code):
        rig = await make_rig(max_body_bytes=100)
        answer = await refused(rig, rig.reserve(1)._replace(**{"body_size_bytes": 50, **changes}))
        assert (answer.code, answer.retry_after_s) == (code, 0.0)
        if code == "no-span":
            assert (answer.limit, answer.measured) == (4096 * 16, 70_008)

    @pytest.mark.parametrize("bound", [{"max_attempts": 1}, {"max_body_bytes": 80}])
    async def test_bounds_of_the_process(self, autojump_clock, make_rig, bound):
        """One reservation fills a bound. The next is refused with the bound, and taken once the
        first has gone."""
        rig = await make_rig(**bound)
        async with rig.stream() as stream:
            await rig.reserved(stream, rig.reserve(1, body_size_bytes=50))
            answer = await refused(rig, rig.reserve(2, body_size_bytes=50))
            assert answer.code == "overloaded"
            assert answer.limit == next(iter(bound.values()))
            assert answer.retry_after_s > 0
        assert isinstance(await refused(rig, rig.reserve(3, body_size_bytes=50)), Reserved)
