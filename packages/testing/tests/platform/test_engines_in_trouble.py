"""Engines that become slow, stop responding or drain during a store outage, with one entry."""

from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial

import trio

from sassafrastally.proxy.attempt import AttemptNotRun
from sassafrastally.proxy.fleet_view import FleetView
from sassafrastally.proxy.path import RequestPath
from sassafrastally.stand_ins.connection_end import ConnectionEnd
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import attempt_failure_causes, wait_until


class TestSlowServers:
    """Engines that become slow."""

    async def test_slow_engine_gets_no_requests_while_others_are_available(self, small_fleet):
        """Guards against routing prompts to a slow engine while faster ones are available.

        One of four engines becomes 6 times slower without failing. With its usual share of the
        prompts, each of them would be 1 s late.
        """
        for number in (3, 4):
            await small_fleet.add_replica(f"engine-{number}")
        slow = small_fleet.replicas["engine-1"]
        slow.engine.pace = 6.0
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(partial(small_fleet.call, "/note/x", prompt="1000,340"))
                await trio.sleep(0.15)
        received = len(slow.seen)
        for _ in range(6):
            await small_fleet.call("/note/x", prompt="1000,34")
        assert received > 0
        assert len(slow.seen) == received


class TestUnresponsiveEngines:
    """Engines that don't respond in time."""

    async def test_overloaded_engine_is_not_suspected(self, small_fleet):
        """Guards against ejecting engines that are only overloaded.

        During an overload two engines take longer than callers wait. Two timeouts in a row made an
        engine suspect for up to 8 s at all peers; its load moved to the other engines, which then
        timed out as well.
        """
        kernel = small_fleet.kernels[0]
        fleet_view = kernel.get("sight", FleetView)
        engines = [replica.engine for replica in small_fleet.replicas.values() if replica.engine]
        for engine in engines:
            engine.is_stalled = True
        async with trio.open_nursery() as nursery:
            for number in range(4):
                path = f"/note/{number}"
                nursery.start_soon(partial(small_fleet.call, path, prompt="1000,340"))
        unfinished = [
            arrival for arrival in small_fleet.received_requests() if arrival.finished_s is None
        ]
        assert len(unfinished) >= 4
        assert fleet_view.outlier_ejection.suspects(kernel.clock.now_s()) == {}

    async def test_engine_without_reports_is_suspected_before_it_gets_a_request(self, small_fleet):
        """Guards against detecting an unresponsive engine only by requests.

        Each entry would lose two prompts to the engine, which wait for more than 1 s each.
        """
        kernel = small_fleet.kernels[0]
        fleet_view = kernel.get("sight", FleetView)
        small_fleet.replicas["engine-1"].ignores_report_calls = True
        await wait_until(
            lambda: "engine-1" in fleet_view.outlier_ejection.suspects(kernel.clock.now_s()), 5.0
        )
        await small_fleet.call("/note/x", prompt="1000,34")
        assert not small_fleet.replicas["engine-1"].seen

    async def test_entry_disconnected_from_all_engines_suspects_none(self, small_fleet):
        """Guards against an entry that is disconnected from all engines, but not from its peers.

        If it gossiped suspicions of all engines, its peers would stop using healthy engines.
        """
        kernel = small_fleet.kernels[0]
        for replica in small_fleet.replicas.values():
            replica.ignores_report_calls = True

        def failures() -> int:
            return sum(record["name"] == "ReportFailed" for record in kernel.events.records())

        await wait_until(lambda: failures() >= 5, 9.0)
        assert kernel.get("sight", FleetView).outlier_ejection.suspects(kernel.clock.now_s()) == {}


class TestSlowHelpers:
    """Engines that become slow while they act as prefill helpers."""

    async def test_long_prompt_moves_away_from_a_slow_helper(self, small_fleet):
        """Guards against waiting for a slow prefill helper until the caller gives up.

        One of eight engines becomes 20 times slower while all of them prefill a long prompt. A
        helper has no response stream that shows the slowdown, but its status report does; the
        prompt is prefilled again without it.
        """
        for number in range(3, 9):
            await small_fleet.add_replica(f"engine-{number}")
        answers = []

        async def call() -> None:
            headers = {"Deadline-Ms": "12000"}
            answers.append(
                await small_fleet.call("/dossier/x", prompt="182000,340", headers=headers)
            )

        routes = [
            make_route(
                "dossier", "streaming", "engines", gapGoalMs=1000, goalMs=1500, timeoutMs=15_000
            )
        ]
        small_fleet.configure(make_configuration(2, routes=routes))
        await trio.sleep(0.1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: any(replica.seen for replica in small_fleet.replicas.values()))
            (first,) = small_fleet.received_requests()
            helper = next(
                replica
                for replica in small_fleet.replicas.values()
                if str(replica.address) in first.request.headers["helpers"]
            )
            helper.engine.pace = 20.0
        assert answers[0].is_whole
        _, second = small_fleet.received_requests()
        assert str(helper.address) not in second.request.headers["helpers"]
        (cause,) = attempt_failure_causes(small_fleet.kernels[0])
        assert "20.0 times slower" in cause

    async def test_cancelled_move_is_not_the_cause_of_the_next_failure(
        self, small_fleet, monkeypatch
    ):
        """Guards against attributing a later failure to an earlier, pending move.

        While memory is reserved for a long prompt, one of its engines becomes slow and a move is
        requested. The reservation fails for another reason, so the move doesn't take place. If the
        connection reset by the next engine were logged as the move, its cause would be wrong and
        the failure wouldn't count against that engine.
        """
        for number in range(3, 9):
            await small_fleet.add_replica(f"engine-{number}")
        kernel = small_fleet.kernels[0]
        path, fleet_view = kernel.get("path", RequestPath), kernel.get("sight", FleetView)
        hold = path.services.reservations.hold
        attempts = []

        @asynccontextmanager
        async def hold_after_slowdown_is_reported(holdings):
            attempts.append(holdings)
            if len(attempts) == 1:
                placed = kernel.events.records()[-1]
                assert placed["name"] == "RequestPlaced"
                helper = small_fleet.replicas[placed["fields"]["helpers"][0]]
                helper.engine.pace = 20.0
                await wait_until(fleet_view.paces, 5.0)
                await trio.sleep(0.5)
                failure = AttemptNotRun("no memory")
                failure.counts_against_server = False
                raise failure
            async with hold(holdings) as reserved:
                yield reserved

        async def reset(_arrival, connection) -> None:
            await connection.break_off(ConnectionEnd.CLOSE)

        monkeypatch.setattr(path.services.reservations, "hold", hold_after_slowdown_is_reported)
        for replica in small_fleet.replicas.values():
            monkeypatch.setattr(replica, "_stream", reset)
        await small_fleet.call("/dossier/x", prompt="182000,340", headers={"Deadline-Ms": "5000"})
        causes = attempt_failure_causes(kernel)
        assert len(causes) == 2
        assert "slower" not in causes[1]


class TestDrainingDuringStoreOutage:
    """Engines that drain during a store outage."""

    async def test_each_draining_engine_is_tried_once(self, small_fleet):
        """Guards against retrying draining engines after only 1 s.

        Three of twelve engines drain, which the unavailable store can't report. A long prompt with
        one of them as a helper is rejected. If they counted as failed for only 1 s, prompts would
        hit one after the other again and most long prompts would be refused.
        """
        for number in range(3, 13):
            await small_fleet.add_replica(f"engine-{number}")
        kernel = small_fleet.kernels[0]
        await wait_until(lambda: len(kernel.get("sight", FleetView).views("engines", set())) == 12)
        small_fleet.store.is_unresponsive = True
        await trio.sleep(2.2)
        for number in (4, 7, 10):
            small_fleet.replicas[f"engine-{number}"].refuses = True
        statuses = []
        for _ in range(5):
            answer = await small_fleet.call("/dossier/x", prompt="100000,34")
            statuses.append(answer.status)
            await trio.sleep(1.1)
        assert statuses[2:] == [200, 200, 200]
        assert len(attempt_failure_causes(kernel)) <= 3
