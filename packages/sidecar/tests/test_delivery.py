"""When an answer counts as delivered: once its reader has closed the stream."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.sidecar.attempt_key import AttemptKey
from sassafrastally.wire.link import LinkCut
from sassafrastally.wire.messages import Attach

UNREAD_CODE = 6001
"""Code with which an entry closes the stream of an answer that it hasn't read to its end."""

TURNS_TO_SEND = 10
"""Turns of the loop after which the end mark is on its way; it arrives a millisecond later."""


async def lose_end_mark(rig, reserve):
    """Read an answer and lose the link while its end mark is on its way."""

    async def cut_when_complete():
        answer = rig.service.answers.find(AttemptKey(*reserve[:2]))
        while answer.end is None:
            await answer.wait_change()
        for _ in range(TURNS_TO_SEND):
            await trio.lowlevel.checkpoint()
        rig.cut()

    async with trio.open_nursery() as nursery:
        with pytest.raises(LinkCut):
            async with rig.stream() as stream:
                await rig.begin(stream, reserve)
                await stream.receive()
                nursery.start_soon(cut_when_complete)
                while True:
                    await stream.receive()


async def attach(rig, reserve):
    """Return the whole answer as read by a reader that attaches."""
    async with rig.stream() as stream:
        await stream.send(Attach(*reserve[:2], rig.kernel.incarnation, 0, 60.0))
        return await rig.answer(stream)


class TestDelivery:
    async def test_answer_whose_end_mark_is_lost_is_kept(self, autojump_clock, rig):
        """Guards against an answer that is dropped when its end mark is queued, and lost with the
        link: the request would run again, though it has succeeded."""
        reserve = rig.reserve(1, answer=100, idempotent=True)
        await lose_end_mark(rig, reserve)
        await trio.sleep(0.5)
        result = await attach(rig, reserve)
        assert (result.end.outcome, result.end.code) == ("completed", "")
        assert result.tokens == 100
        assert rig.executions(1) == 1

    async def test_stopping_sidecar_waits_for_the_reader_to_come_back(self, autojump_clock, rig):
        """Guards against a sidecar that exits with an answer that nobody has got."""
        reserve = rig.reserve(1, answer=100, idempotent=False)
        await rig.run(rig.reserve(2))
        rig.nursery.start_soon(_stop_when_running, rig, reserve)
        await lose_end_mark(rig, reserve)
        await trio.sleep(0.5)
        assert (await attach(rig, reserve)).tokens == 100

    async def test_answer_whose_reader_has_not_got_its_end_is_kept(self, autojump_clock, rig):
        """Guards against an answer that is dropped although its reader has closed the stream before
        it got the end mark, to read it again: a request with its key would run again."""
        reserve = rig.reserve(1, answer=100, idempotent=True)
        async with rig.stream() as stream:
            await rig.begin(stream, reserve)
            while rig.service.answers.find(AttemptKey(*reserve[:2])).end is None:
                await stream.receive()
            stream.close(UNREAD_CODE, "a chunk is missing")
        await trio.sleep(0.5)
        result = await attach(rig, reserve)
        assert (result.end.outcome, result.end.code, result.tokens) == ("completed", "", 100)
        assert rig.executions(1) == 1

    async def test_answer_that_was_read_is_dropped(self, autojump_clock, rig):
        reserve = rig.reserve(1, answer=100, idempotent=True)
        assert (await rig.run(reserve)).tokens == 100
        await trio.sleep(0.1)
        assert rig.service.answers.find(AttemptKey(*reserve[:2])) is None
        assert rig.service.answers.size_bytes == 0


async def _stop_when_running(rig, reserve):
    while rig.service.answers.find(AttemptKey(*reserve[:2])) is None:
        await trio.sleep(0.01)
    await trio.sleep(0.1)
    rig.kernel.request_stop()
