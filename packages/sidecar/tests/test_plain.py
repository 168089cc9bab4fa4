"""Plain services: non-repeatable calls with limited concurrency."""

from __future__ import annotations

from contextlib import asynccontextmanager

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.sidecar.plain_client import PlainMaybeRan, PlainNotSent
from sassafrastally.sidecar.settings import PlainServiceSettings
from sassafrastally.wire.link import LinkCut
from sassafrastally.wire.messages import Attach


class _Answer:
    status = 201
    content_type = "application/json"

    def __init__(self, is_complete):
        self.is_complete = is_complete

    async def __aiter__(self):
        yield b'{"booked": '
        yield b"true}"


class FakeService:
    """A service that records its calls and their concurrency."""

    def __init__(self):
        self.calls = []
        self.at_once = self.most_at_once = 0
        self.failure = None
        self.is_complete = True

    @asynccontextmanager
    async def call(self, method, path, headers, body, timeout_s):
        if isinstance(self.failure, PlainNotSent):
            raise self.failure
        self.calls.append((method, path, body))
        self.at_once += 1
        self.most_at_once = max(self.most_at_once, self.at_once)
        try:
            await trio.sleep(0.5)
            if self.failure:
                raise self.failure
            yield _Answer(self.is_complete)
        finally:
            self.at_once -= 1


@pytest.fixture
def service():
    return FakeService()


@pytest.fixture
def start(make_rig, service):
    async def make():
        own = (PlainServiceSettings("bookings", Address("10.0.0.1", 8080), max_concurrent=2),)
        return await make_rig(callers={"bookings": service}, services=own)

    return make


def call(rig, number, **changes):
    operation = "POST /bookings"
    reserve = rig.reserve(number, model="", service="bookings", operation=operation)
    return reserve._replace(**changes)


class TestPlainService:
    async def test_answer_is_complete(self, autojump_clock, start, service):
        rig = await start()
        result = await rig.run(call(rig, 1))
        assert b"".join(chunk.data for chunk in result.chunks) == b'{"booked": true}'
        assert (result.end.outcome, result.end.status) == ("completed", 201)
        assert result.end.content_type == "application/json"
        assert [entry[:2] for entry in service.calls] == [("POST", "/bookings")]

    async def test_concurrent_calls_are_limited(self, autojump_clock, start, service):
        rig = await start()
        async with trio.open_nursery() as nursery:
            for number in range(1, 8):
                nursery.start_soon(rig.run, call(rig, number))
        assert (len(service.calls), service.most_at_once) == (7, 2)

    @pytest.mark.parametrize(
        ("failure", "outcome"),
        [(PlainNotSent("no connection"), "not_run"), (PlainMaybeRan("broke"), "unknown")],
    )
    async def test_failures_report_whether_the_call_may_have_run(
        self, autojump_clock, start, service, failure, outcome
    ):
        rig = await start()
        service.failure = failure
        assert (await rig.run(call(rig, 1))).end.outcome == outcome

    async def test_incomplete_answer_is_a_failure(self, autojump_clock, start, service):
        rig = await start()
        service.is_complete = False
        assert (await rig.run(call(rig, 1))).end.outcome == "failed"

    async def test_call_runs_once_when_the_link_is_cut(self, autojump_clock, start, service):
        """The link is cut during a call. The entry reconnects and tries to void the attempt, learns
        that it was committed, and gets the answer of the single call."""
        rig = await start()
        reserve = call(rig, 1)
        with pytest.raises(LinkCut):
            async with rig.stream() as stream:
                await rig.begin(stream, reserve)
                await trio.sleep(0.1)
                rig.cut()
                await rig.answer(stream)
        assert await rig.query(reserve, void=True) == "committed"
        async with rig.stream() as stream:
            await stream.send(Attach(*reserve[:2], rig.kernel.incarnation, 0, 60.0))
            assert (await rig.answer(stream)).end.outcome == "completed"
        assert len(service.calls) == 1

    async def test_time_limit_passes_while_waiting(self, autojump_clock, start, service):
        rig = await start()
        ends = []

        async def run(number):
            ends.append((await rig.run(call(rig, number, time_limit_s=0.9))).end)

        async with trio.open_nursery() as nursery:
            for number in range(1, 8):
                nursery.start_soon(run, number)
        assert {end.outcome for end in ends} == {"completed", "not_run", "failed"}
        assert len(service.calls) == sum(end.outcome != "not_run" for end in ends)
