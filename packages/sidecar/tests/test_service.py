"""Leaving, stopping and load reports."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.wire.link import LinkCut
from sassafrastally.wire.messages import Attach, LoadReport


class TestLeaving:
    """Guarantee: a backend server that is leaving receives no new work after a few seconds."""

    @pytest.mark.parametrize("source", ["VM list", "signal"])
    async def test_refuses_new_and_completes_reserved_attempts(self, autojump_clock, rig, source):
        """An entry that doesn't know yet that the VM is leaving sends another reserve, which is
        refused. Its earlier reservation still runs to completion."""
        reserve = rig.reserve(1)
        async with rig.stream() as stream, rig.stream() as other:
            await rig.reserved(stream, reserve)
            if source == "signal":
                rig.kernel.request_stop()
            else:
                rig.vm_list.put(rig.state._replace(leaving=True))
                await trio.sleep(2.6)
            await other.send(rig.reserve(2))
            assert (await other.receive()).code == "leaving"
            await rig.commit(stream, reserve)
            assert (await rig.answer(stream)).end.outcome == "completed"

    async def test_entries_are_notified_immediately(self, autojump_clock, rig):
        reports = []

        async def note(peer, report):
            reports.append((trio.current_time(), report))

        rig.entry.on_notice(LoadReport, note)
        await rig.query(rig.reserve(1))
        await trio.sleep(1)
        first = reports[0][1]
        assert (first.models, first.total_blocks, first.leaving) == (("small",), 4096, False)
        assert len(first.first_token_s) == 4
        rig.service.leaving.begin("test")
        start_s = trio.current_time()
        await trio.sleep(5)
        told_s = next(at_s for at_s, report in reports if report.leaving)
        assert told_s - start_s < 0.5


class TestStopping:
    """Guarantee: a graceful shutdown interrupts no request in progress."""

    async def test_stop_under_load_interrupts_nothing(self, autojump_clock, rig):
        """SIGTERM arrives while dozens of answers are streamed and more attempts are queued. Every
        caller still gets a complete answer."""
        results = []

        async def run(number):
            results.append(await rig.run(rig.reserve(number, tokens=3000, answer=100)))

        async with trio.open_nursery() as nursery:
            for number in range(1, 61):
                nursery.start_soon(run, number)
            await trio.sleep(0.5)
            rig.kernel.request_stop()
        assert [(r.end.outcome, r.tokens) for r in results] == [("completed", 100)] * 60

    async def test_second_signal_shortens_the_wait(self, autojump_clock, make_rig):
        """A second SIGTERM arrives during a long run. The run is ended after the short limit, its
        reader gets an end mark and its memory on the engine is freed."""
        rig = await make_rig(hurried_stop_limit_s=3.0)
        async with rig.stream() as stream:
            await rig.begin(stream, rig.reserve(1, answer=15_000))
            await stream.receive()
            rig.kernel.request_stop()
            await trio.sleep(20)
            rig.kernel.request_stop()
            start_s = trio.current_time()
            end = (await rig.answer(stream)).end
            assert trio.current_time() - start_s == pytest.approx(3.0, abs=0.2)
        assert (end.outcome, end.code) == ("failed", "backend-failed")
        await trio.sleep(1)
        assert rig.model.memory.free_blocks == rig.model.shape.total_blocks

    async def test_idle_sidecar_stops_immediately(self, autojump_clock, rig):
        await rig.query(rig.reserve(1))
        rig.kernel.request_stop()
        await trio.sleep(1)
        assert "ProcessStopped" in [record["name"] for record in rig.kernel.events.records()]

    async def test_answer_can_be_fetched_after_its_link_was_cut(self, autojump_clock, rig):
        """After SIGTERM, the link of a running attempt is cut and the run ends shortly afterwards.
        The answer exists only here, so the sidecar waits for the entry to fetch it."""
        reserve = rig.reserve(1, answer=100)
        with pytest.raises(LinkCut):
            async with rig.stream() as stream:
                await rig.begin(stream, reserve)
                rig.kernel.request_stop()
                await trio.sleep(0.1)
                rig.cut()
                await rig.answer(stream)
        await trio.sleep(1.5)
        assert rig.service.table.live_count == 0
        async with rig.stream() as stream:
            await stream.send(Attach(*reserve[:2], rig.kernel.incarnation, 0, 60.0))
            assert (await rig.answer(stream)).tokens == 100
