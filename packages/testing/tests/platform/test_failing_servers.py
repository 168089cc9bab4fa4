"""Servers that fail part of their requests although they look healthy, with several entries."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.proxy.failure_monitor import FailureMonitor
from sassafrastally.proxy.fleet_view import FleetView
from sassafrastally.proxy.load import server_hash
from sassafrastally.proxy.path import RequestPath
from sassafrastally.proxy.peers import Peers
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import wait_until

ENTRIES = 3


def routes(dossier_priority: int) -> list[dict[str, object]]:
    return [
        make_route("note", "streaming", "engines", gapGoalMs=250),
        make_route("dossier", "streaming", "engines", gapGoalMs=1000, priority=dossier_priority),
        make_route("look", "idempotent", "desk"),
        make_route("book", "non_idempotent", "desk", maxAttempts=1),
    ]


@pytest.fixture
async def start(fleet):
    """Start entries, three engines and three plain servers."""

    async def start(*, dossier_priority: int, entries: int = ENTRIES) -> None:
        fleet.configure(make_configuration(2, routes=routes(dossier_priority)))
        for number in (1, 2, 3):
            await fleet.add_replica(f"engine-{number}")
            await fleet.add_replica(f"desk-{number}", "desk")
        for number in range(1, entries + 1):
            await fleet.add_entry(number)
        for kernel in fleet.kernels:
            peers = kernel.get("peers", Peers)
            await wait_until(lambda peers=peers: peers.live_count() == entries - 1)

    return start


async def book(fleet, requests: int) -> list[int]:
    """Call all entries in turn; return the statuses."""
    statuses = []
    for number in range(requests):
        answer = await fleet.call(f"/book/{number}", entry=number % ENTRIES + 1)
        statuses.append(answer.status)
        await trio.sleep(0.15)  # All entries know again that no server is busy.
    return statuses


def first_desk(fleet):
    """Return the plain server that got the latest request."""
    return next(one for one in fleet.replicas.values() if one.service == "desk" and one.seen)


class TestPlainServers:
    """Plain servers that answer 500."""

    async def test_requests_that_run_once_avoid_a_failing_server(self, fleet, start):
        """Guards against payouts lost to a server of which each entry sees one failure at a time.

        An entry's own ejection doesn't count a status of 500 of a plain server.
        """
        await start(dossier_priority=2)
        assert await book(fleet, 1) == [200]
        faulty = first_desk(fleet)
        faulty.response_status = 500
        statuses = await book(fleet, 12)
        assert statuses.count(500) <= 5
        assert statuses[-5:] == [200] * 5
        views = fleet.kernels[0].get("sight", FleetView).views("desk", set())
        assert faulty.server_id not in {view.server.server_id for view in views}
        records = [record["name"] for record in fleet.kernels[0].events.records()]
        assert records.count("ServerAvoided") == 1

    async def test_trial_goes_to_a_server_that_has_room(self, fleet, start, monkeypatch):
        """Guards against servers that get no trials since another one that is due takes nothing."""
        await start(dossier_priority=2, entries=1)
        fleet_view = fleet.kernels[0].get("sight", FleetView)
        servers = [view.server for view in fleet_view.views("desk", set())]
        due = {server_hash(server.incarnation_id) for server in servers}
        monkeypatch.setattr(FailureMonitor, "due_trials", lambda _: due)
        without_room = {server.incarnation_id for server in servers[:2]}
        trials = fleet_view.trial_views("desk", without_room)
        assert [view.server for view in trials] == servers[2:]

    async def test_trial_needs_the_retry_budget(self, fleet, start, monkeypatch):
        """Guards against a caller whose request is the trial of a failing server, while the retry
        budget doesn't allow the attempt that makes up for its failure."""
        await start(dossier_priority=2, entries=1)
        kernel = fleet.kernels[0]
        faulty = fleet.replicas["desk-1"]
        faulty.response_status = 500
        server = next(
            view.server
            for view in kernel.get("sight", FleetView).views("desk", set())
            if view.server.server_id == faulty.server_id
        )
        key = server_hash(server.incarnation_id)
        monkeypatch.setattr(FailureMonitor, "due_trials", lambda _: {key})
        monkeypatch.setattr(FailureMonitor, "avoided", lambda *_: {key})
        assert (await fleet.call("/look/x")).status == 200
        assert len(faulty.received_requests) == 1
        budget = kernel.get("path", RequestPath).services.budget
        while budget.try_spend("desk", 1, kernel.clock.now_s()):
            pass
        assert (await fleet.call("/look/x")).status == 200
        assert len(faulty.received_requests) == 1

    async def test_nothing_changes_where_routes_are_equally_urgent(self, fleet, start):
        """Guards against an effect on deployments that don't ask for it."""
        await start(dossier_priority=1)
        await book(fleet, 1)
        first_desk(fleet).response_status = 500
        assert await book(fleet, 12) == [500] * 12
        for kernel in fleet.kernels:
            assert not kernel.get("peers", Peers).hello().failures


class TestEngines:
    """Engines that reject requests although they are idle."""

    async def test_helper_at_fault_is_counted_and_not_the_first_engine(
        self, fleet, start, monkeypatch
    ):
        """Guards against avoiding the first engine of a long prompt for a rejection by another.

        Without the random order of equally good engines, engine-3 is always a helper.
        """
        await start(dossier_priority=2, entries=1)
        kernel = fleet.kernels[0]
        monkeypatch.setattr(kernel.random, "shuffle", lambda _candidates: None)
        fleet.replicas["engine-3"].refuses = True
        await fleet.call("/dossier/x", prompt="200000,34")
        failed = [
            record["fields"]["server_id"]
            for record in kernel.events.records()
            if record["name"] == "AttemptFailed"
        ]
        assert failed == ["engine-2"]
        counted = kernel.get("peers", Peers).hello().failures
        assert {key for key, one in counted.items() if one.failures} == {server_hash("engine-3")}
