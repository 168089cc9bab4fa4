"""Engines that turn slow, go silent or leave unheard, before one entry."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial

import trio

from sassafrastally.proxy.attempt import AttemptNotRun
from sassafrastally.proxy.path import RequestPath
from sassafrastally.proxy.sight import Sight
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import failure_causes, until


class TestSlowServers:
    """Engines that turn slow."""

    async def test_slow_engine_is_left_alone_while_others_are_there(self, served):
        """One engine of four turns six times slower. Without a failure it would keep getting its
        share of the prompts, each late by a second."""
        for number in (3, 4):
            await served.add_replica(f"engine-{number}")
        slow = served.replicas["engine-1"]
        slow.engine.pace = 6.0
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(partial(served.call, "/note/x", prompt="1000,340"))
                await trio.sleep(0.15)
        met = len(slow.seen)
        for _ in range(6):
            await served.call("/note/x", prompt="1000,34")
        assert met > 0
        assert len(slow.seen) == met


class TestSilentEngines:
    """Engines on which nothing comes in time."""

    async def test_engine_that_only_lags_stays_in_use(self, served):
        """Under a flood two engines are silent for longer than callers wait. Two silent requests in
        a row made such an engine suspect for up to eight seconds, told to all peers; the others got
        its load and went silent as well."""
        kernel = served.kernels[0]
        sight = kernel.get("sight", Sight)
        engines = [replica.engine for replica in served.replicas.values() if replica.engine]
        for engine in engines:
            engine.is_stalled = True
        async with trio.open_nursery() as nursery:
            for number in range(4):
                path = f"/note/{number}"
                nursery.start_soon(partial(served.call, path, prompt="1000,340"))
        silent = [arrival for arrival in served.arrivals() if arrival.finished_s is None]
        assert len(silent) >= 4
        assert sight.suspicion.suspects(kernel.clock.now_s()) == {}

    async def test_engine_that_reports_nothing_is_left_alone_before_a_request_meets_it(
        self, served
    ):
        """An engine goes dark. Each entry would learn it from two prompts that wait in vain, for
        more than a second each."""
        kernel = served.kernels[0]
        sight = kernel.get("sight", Sight)
        served.replicas["engine-1"].reports_nothing = True
        await until(lambda: "engine-1" in sight.suspicion.suspects(kernel.clock.now_s()), 5.0)
        await served.call("/note/x", prompt="1000,34")
        assert not served.replicas["engine-1"].seen

    async def test_entry_that_hears_no_engine_suspects_none(self, served):
        """An entry is cut off from the engines, but not from its peers. Told to them, its suspicion
        of all engines would keep the peers from engines that are well."""
        kernel = served.kernels[0]
        for replica in served.replicas.values():
            replica.reports_nothing = True

        def failures() -> int:
            return sum(record["name"] == "ReportFailed" for record in kernel.events.records())

        await until(lambda: failures() >= 5, 9.0)
        assert kernel.get("sight", Sight).suspicion.suspects(kernel.clock.now_s()) == {}


class TestSlowHelpers:
    """Engines that turn slow while they only help to read."""

    async def test_dossier_that_waits_for_a_slow_helper_is_read_elsewhere(self, served):
        """One engine of eight turns twenty times slower while a dossier is read by all of them. It
        answers nothing itself, so no stream shows it; the caller would wait for its part until he
        leaves. Its report shows it, and the others read the dossier again without it."""
        for number in range(3, 9):
            await served.add_replica(f"engine-{number}")
        answers = []

        async def call() -> None:
            headers = {"Deadline-Ms": "12000"}
            answers.append(await served.call("/dossier/x", prompt="182000,340", headers=headers))

        routes = [
            make_route(
                "dossier", "streaming", "engines", gapGoalMs=1000, goalMs=1500, timeoutMs=15_000
            )
        ]
        served.configure(make_configuration(2, routes=routes))
        await trio.sleep(0.1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await until(lambda: any(replica.seen for replica in served.replicas.values()))
            (first,) = served.arrivals()
            helper = next(
                replica
                for replica in served.replicas.values()
                if str(replica.address) in first.request.headers["helpers"]
            )
            helper.engine.pace = 20.0
        assert answers[0].is_whole
        _, second = served.arrivals()
        assert str(helper.address) not in second.request.headers["helpers"]
        (cause,) = failure_causes(served.kernels[0])
        assert "20.0 times slower" in cause

    async def test_move_that_came_to_nothing_does_not_excuse_the_next_failure(
        self, served, monkeypatch
    ):
        """While memory is being reserved for a dossier, one of its engines turns slow, and the
        dossier is to move. The reservation fails by itself, so that nothing moves. The next engine
        resets the connection; logged as the move, that failure would name a wrong cause and
        wouldn't count against its engine."""
        for number in range(3, 9):
            await served.add_replica(f"engine-{number}")
        kernel = served.kernels[0]
        path, sight = kernel.get("path", RequestPath), kernel.get("sight", Sight)
        hold = path.services.reservations.hold
        tries = []

        @asynccontextmanager
        async def hold_after_a_slow_engine_is_known(holdings):
            tries.append(holdings)
            if len(tries) == 1:
                placed = kernel.events.records()[-1]
                assert placed["name"] == "RequestPlaced"
                helper = served.replicas[placed["fields"]["helpers"][0]]
                helper.engine.pace = 20.0
                await until(sight.paces, 5.0)
                await trio.sleep(0.5)
                failure = AttemptNotRun("no memory")
                failure.is_servers_fault = False
                raise failure
            async with hold(holdings) as reserved:
                yield reserved

        async def reset(_arrival, connection) -> None:
            await connection.reset()

        monkeypatch.setattr(path.services.reservations, "hold", hold_after_a_slow_engine_is_known)
        for replica in served.replicas.values():
            monkeypatch.setattr(replica, "_stream", reset)
        await served.call("/dossier/x", prompt="182000,340", headers={"Deadline-Ms": "5000"})
        causes = failure_causes(kernel)
        assert len(causes) == 2
        assert "slower" not in causes[1]


class TestLeavingUnheard:
    """Engines that drain while the store is away."""

    async def test_each_is_met_once(self, served):
        """Three of twelve engines drain and nobody hears of it. A dossier that names one of them as
        a helper is turned away; they are met again by one after the other if they count as failed
        for a second only, and most dossiers are refused."""
        for number in range(3, 13):
            await served.add_replica(f"engine-{number}")
        kernel = served.kernels[0]
        await until(lambda: len(kernel.get("sight", Sight).views("engines", set())) == 12)
        served.store.is_silent = True
        await trio.sleep(2.2)
        for number in (4, 7, 10):
            served.replicas[f"engine-{number}"].refuses = True
        statuses = []
        for _ in range(5):
            answer = await served.call("/dossier/x", prompt="100000,34")
            statuses.append(answer.status)
            await trio.sleep(1.1)
        assert statuses[2:] == [200, 200, 200]
        assert len(failure_causes(kernel)) <= 3
