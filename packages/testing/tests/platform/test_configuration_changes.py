"""Changes of the configuration beside servers that fall silent and go on."""

from __future__ import annotations

import random

import pytest
import trio

from sassafrastally.platform.adapter import PlatformDialect
from sassafrastally.proxy import cluster_state
from sassafrastally.proxy.path import RequestPath
from sassafrastally.stand_ins.documents import (
    CUSTOMER,
    make_configuration,
    make_customers,
    make_route,
)

DAY_S = 12.0
CHANGE_INTERVAL_S = 0.33
KINDS = [("/note/x", "1000,340"), ("/dossier/x", "60000,340"), ("/look/x", None), ("/book/x", None)]


@pytest.fixture
def seed():
    """Seed of the in-memory network and of the entries."""
    return 5


def draw_configuration(version: int, draw: random.Random):
    """Return a configuration with other routes, services and customers than the one before."""
    routes = [
        make_route(
            "note", "streaming", "engines", gapGoalMs=250, timeoutMs=draw.choice([10_000, 15_000])
        ),
        make_route(
            "dossier", "streaming", "engines", gapGoalMs=1000, goalMs=3000, timeoutMs=15_000
        ),
        make_route("look", "idempotent", "desk", timeoutMs=draw.choice([5000, 10_000])),
        make_route("book", "non_idempotent", "desk", maxAttempts=draw.choice([1, 2])),
    ]
    for route in routes:
        if draw.random() < 0.3:
            route["service"] = "other"
    document = make_configuration(version, routes=[one for one in routes if draw.random() < 0.8])
    document["services"].append({"name": "other", "maxConns": 50})
    document["tenants"] = make_customers([CUSTOMER] if draw.random() < 0.8 else ["other"])
    document["limits"]["maxBodyBytes"] = draw.choice([1, *[100_000] * 9])
    return document


class TestSilentServers:
    """Configurations that change three times a second while servers fall silent."""

    @pytest.mark.parametrize("day", range(6))
    async def test_leave_no_request_without_an_answer(self, autojump_clock, seeded_fleet, day):
        """Guards against requests that are cut when a configuration removes what they use while
        their server is silent for 0.5 to 1.5 s, also with the retry budget spent."""
        fleet, draw = seeded_fleet, random.Random(day)
        for number in (1, 2, 3):
            await fleet.add_replica(f"engine-{number}")
            await fleet.add_replica(f"desk-{number}", "desk")
        (await fleet.add_replica("other-1", "other")).sends_plain_streams = True
        kernel = await fleet.add_entry()
        budget = kernel.get("path", RequestPath).services.budget
        await trio.sleep(1.0)
        cut: list[tuple[str, int]] = []
        answered: list[int] = []

        async def change() -> None:
            for version in range(2, 2 + int(DAY_S / CHANGE_INTERVAL_S)):
                await trio.sleep(CHANGE_INTERVAL_S)
                fleet.configure(draw_configuration(version, draw))

        async def fall_silent() -> None:
            for _ in range(int(DAY_S / 0.5)):
                await trio.sleep(0.5)
                replica = draw.choice(list(fleet.replicas.values()))
                replica.silence.begin(draw.uniform(0.5, 1.5), cut_share=draw.choice([0.0, 0.5]))
                if draw.random() < 0.5:
                    while budget.try_spend(replica.service, 1, kernel.clock.now_s()):
                        pass

        async def call(path: str, prompt: str | None) -> None:
            headers = {"Deadline-Ms": "14000"}
            answer = await fleet.call(path, prompt=prompt, headers=headers)
            answered.append(answer.status)
            if not answer.is_whole:
                cut.append((path, answer.status))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change)
            nursery.start_soon(fall_silent)
            for _ in range(int(DAY_S / 0.05)):
                nursery.start_soon(call, *draw.choice(KINDS))
                await trio.sleep(0.05)
        assert cut == []
        assert answered.count(200) > len(answered) / 4
        assert not {502, 504} & set(answered)


class TestFailedChange:
    """An unexpected error while a configuration is applied."""

    async def test_leaves_no_mixture_of_two_versions(
        self, autojump_clock, seeded_fleet, monkeypatch
    ):
        """Guards against an entry that counts as up to date with the routes of the version before:
        it fails what both versions allow, and answers 404 for a route that was added."""
        fleet = seeded_fleet
        fleet.expects_errors = True
        await fleet.add_replica("desk-1", "desk")
        (await fleet.add_replica("other-1", "other")).work_s = 0.0
        old = make_configuration(2, routes=[make_route("look", "idempotent", "desk")])
        fleet.configure(old)
        kernel = await fleet.add_entry()
        await trio.sleep(1.0)
        assert (await fleet.call("/look/x")).status == 200
        make_table, failures = cluster_state.RouteTable, [MemoryError()]

        def fail_once(routes):
            if failures:
                raise failures.pop()
            return make_table(routes)

        monkeypatch.setattr(cluster_state, "RouteTable", fail_once)
        routes = [
            make_route("look", "idempotent", "other"),
            make_route("see", "idempotent", "other"),
        ]
        new = make_configuration(3, routes=routes)
        new["services"] = [one for one in new["services"] if one["name"] != "desk"]
        new["services"].append({"name": "other", "maxConns": 50})
        fleet.configure(new)
        await trio.sleep(3.0)
        assert not failures
        version = kernel.get("beliefs", cluster_state.ClusterState).configuration_version
        statuses = [(await fleet.call(path)).status for path in ("/look/x", "/see/x")]
        assert (version, statuses) == (3, [200, 200])


class TestUndecodableConfiguration:
    """An unexpected error while a configuration is decoded ahead of its use."""

    @pytest.mark.parametrize("fails", [False, True])
    async def test_keeps_no_other_change_from_entries(
        self, autojump_clock, seeded_fleet, monkeypatch, fails
    ):
        """Guards against an entry that goes on sending requests to a server that is draining, since
        a fault of its decoder ends the watch at each try, before other records are applied."""
        fleet = seeded_fleet
        fleet.expects_errors = True
        for number in (1, 2):
            await fleet.add_replica(f"desk-{number}", "desk")
        kernel = await fleet.add_entry()
        await trio.sleep(1.0)
        decode = PlatformDialect.configuration_steps

        def fail_to_decode(dialect, value):
            if fails:
                raise ZeroDivisionError
            return decode(dialect, value)

        monkeypatch.setattr(PlatformDialect, "configuration_steps", fail_to_decode)
        fleet.configure(make_configuration(2))
        await trio.sleep(1.0)
        leaving = fleet.replicas["desk-1"]
        fleet.store.put("servers/desk-1", leaving.entry(is_draining=True))
        await trio.sleep(3.0)
        known = kernel.get("beliefs", cluster_state.ClusterState).servers.get("desk-1")
        assert known is None or known.is_draining
        statuses = {(await fleet.call("/look/x")).status for _ in range(10)}
        assert statuses == {200}
        assert not leaving.received_requests
