"""Requests that wait for room at an entry, end to end."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.proxy.calls import CallClient
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.load import Lane
from sassafrastally.proxy.path import RequestPath
from sassafrastally.proxy.peers import Peers
from sassafrastally.stand_ins.documents import ENGINE, make_configuration, make_route, make_services
from sassafrastally.stand_ins.platform_fleet import wait_until

EQUAL_ROUTES = [
    make_route("note", "streaming", "engines", gapGoalMs=250),
    make_route("memo", "streaming", "engines", gapGoalMs=250),
]
UNEQUAL_ROUTES = [
    make_route("note", "streaming", "engines", gapGoalMs=250),
    make_route("dossier", "streaming", "engines", gapGoalMs=1000, goalMs=3000, priority=2),
    make_route("look", "idempotent", "desk"),
    make_route("book", "non_idempotent", "desk", maxAttempts=1),
]
ONE_SLOT = make_services({**ENGINE, "slots": 1})


def records(fleet, name: str) -> list[dict[str, object]]:
    """Return the fields of the entry's log records of one event."""
    every = fleet.kernels[0].events.records()
    return [record["fields"] for record in every if record["name"] == name]


@pytest.fixture
async def narrow_fleet(fleet):
    """One entry and one engine with one slot."""
    fleet.configure(make_configuration(2, routes=UNEQUAL_ROUTES, services=ONE_SLOT))
    await fleet.add_replica("engine-1", slots=1)
    await fleet.add_entry()
    return fleet


class TestWaitingStreams:
    """Streams that find no room."""

    async def test_request_waits_for_a_slot(self, narrow_fleet):
        """Guards against losing a caller that could have been served a moment later."""
        answers = []

        async def call() -> None:
            answers.append(await narrow_fleet.call("/note/x", prompt="1000,170"))

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(call)
        assert all(answer.status == 200 and answer.is_whole for answer in answers)
        assert len(records(narrow_fleet, "RequestQueued")) == 2
        placed = records(narrow_fleet, "RequestPlaced")
        assert sum(record["waited_s"] > 0 for record in placed) == 2

    async def test_stop_signal_does_not_end_a_wait(self, narrow_fleet):
        """Guards against refusing callers that the drain time is long enough to serve."""
        answers = []

        async def call() -> None:
            answers.append(await narrow_fleet.call("/note/x", prompt="1000,340"))

        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(call)
            await wait_until(lambda: records(narrow_fleet, "RequestQueued"))
            narrow_fleet.kernels[0].request_stop()
        assert [answer.status for answer in answers] == [200, 200]

    async def test_less_urgent_request_leaves_room_to_more_urgent_ones(self, narrow_fleet):
        """Guards against a long prompt that waits and takes the room of the next short one.

        The note ends after some tenths of a second; the dossier starts when no note has arrived for
        three seconds. Its customer has no priority of its own, so that those of the routes count.
        """
        document = make_configuration(3, routes=UNEQUAL_ROUTES, services=ONE_SLOT)
        del document["tenants"][0]["priority"]
        narrow_fleet.configure(document)
        entry = narrow_fleet.kernels[0].get("beliefs", ClusterState)
        await wait_until(lambda: entry.configuration and entry.configuration.version == 3)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: narrow_fleet.call("/note/x", prompt="1000,170"))
            await wait_until(lambda: narrow_fleet.replicas["engine-1"].received_requests)
            begin_s = trio.current_time()
            answer = await narrow_fleet.call("/dossier/x", prompt="1000,34")
            nursery.cancel_scope.cancel()
        assert answer.status == 200
        assert trio.current_time() - begin_s > 2.5
        (held_back,) = records(narrow_fleet, "RequestHeldBack")
        assert (held_back["route"], held_back["urgent_route"]) == ("dossier", "note")
        host = narrow_fleet.entry_settings(1)
        calls = CallClient(Address(host.host, host.metrics_port))
        _, _, page = await calls.exchange("GET", "/metrics", [], b"", 1.0)
        assert b"sassafrastally_proxy_requests_held_back_total{" in page

    async def test_gauge_counts_what_waits(self, narrow_fleet):
        queue = narrow_fleet.kernels[0].get("path", RequestPath).services.queue
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: narrow_fleet.call("/note/x", prompt="1000,1700"))
            await wait_until(lambda: narrow_fleet.replicas["engine-1"].received_requests)
            for _ in range(2):
                nursery.start_soon(lambda: narrow_fleet.call("/note/x", prompt="1000,34"))
            await wait_until(lambda: queue.count(Lane.SHORT) == 2)
            host = narrow_fleet.entry_settings(1)
            calls = CallClient(Address(host.host, host.metrics_port))
            _, _, page = await calls.exchange("GET", "/metrics", [], b"", 1.0)
            assert b"sassafrastally_waiting_requests_short 2" in page
            nursery.cancel_scope.cancel()

    async def test_request_that_finds_no_room_in_time_is_refused(self, narrow_fleet):
        """Guards against holding a caller beyond the time in which it can be served."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: narrow_fleet.call("/note/x", prompt="1000,3400"))
            await wait_until(lambda: narrow_fleet.replicas["engine-1"].received_requests)
            begin_s = trio.current_time()
            answer = await narrow_fleet.call("/note/x", prompt="1000,34")
            assert answer.status == 503
            assert trio.current_time() - begin_s < 2.0
            assert float(answer.headers["retry-after"]) > 0
            nursery.cancel_scope.cancel()
        (refused,) = records(narrow_fleet, "RequestRefused")
        assert refused["refusal"] == "no-room"
        assert refused["waited_s"] > 0.5

    async def test_equally_urgent_requests_are_refused_at_once(self, narrow_fleet):
        """Guards against a change for deployments in which no request can wait for another."""
        narrow_fleet.configure(make_configuration(3, routes=EQUAL_ROUTES, services=ONE_SLOT))
        await trio.sleep(0.1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: narrow_fleet.call("/note/x", prompt="1000,3400"))
            await wait_until(lambda: narrow_fleet.replicas["engine-1"].received_requests)
            assert (await narrow_fleet.call("/note/x", prompt="1000,34")).status == 503
            nursery.cancel_scope.cancel()
        assert not records(narrow_fleet, "RequestQueued")

    async def test_request_that_idle_engines_cannot_serve_is_refused_at_once(self, narrow_fleet):
        """Guards against holding a caller for room that can't come."""
        begin_s = trio.current_time()
        answer = await narrow_fleet.call("/dossier/x", prompt="900000,340")
        assert answer.status == 503
        assert trio.current_time() - begin_s < 0.5
        assert not records(narrow_fleet, "RequestQueued")

    async def test_request_waits_for_the_retry_budget(self, narrow_fleet, monkeypatch):
        """Guards against refusing a request that hasn't run and can soon be sent again."""
        await narrow_fleet.add_replica("engine-2")
        budget = narrow_fleet.kernels[0].get("path", RequestPath).services.budget
        narrow_fleet.replicas["engine-2"].refuses = True
        narrow_fleet.replicas["engine-1"].refuses = True
        with monkeypatch.context() as patch:
            patch.setattr(budget, "try_spend", lambda *_: False)
            async with trio.open_nursery() as nursery:
                answers = []

                async def call() -> None:
                    answers.append(await narrow_fleet.call("/note/x", prompt="1000,34"))

                nursery.start_soon(call)
                await wait_until(lambda: records(narrow_fleet, "RequestQueued"))
                for replica in narrow_fleet.replicas.values():
                    replica.refuses = False
                patch.undo()
        assert answers[0].status == 200


class TestWaitingForPrefill:
    """Long prompts that have room, but would overtake others in prefill; links are uneven."""

    ROUTES = (*EQUAL_ROUTES, make_route("dossier", "streaming", "engines", goalMs=3000))

    async def call_two(
        self, fleet, before=lambda: None, after=lambda: None, links_mbps=(1000, 7), routes=ROUTES
    ) -> list[int]:
        """Send a long prompt and, while it is in prefill, another; return the statuses.

        Callbacks run before the second prompt is sent, and when it waits.
        """
        fleet.configure(make_configuration(2, routes=list(routes)))
        fleet.links_mbps = list(links_mbps)
        statuses = []

        async def call(path: str) -> None:
            statuses.append((await fleet.call(path, prompt="30000,34")).status)

        await fleet.add_replica("engine-1")
        for number in (1, 2):
            await fleet.add_entry(number)
        peers = fleet.kernels[0].get("peers", Peers)
        await wait_until(lambda: peers.live_count() == 1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, "/dossier/first")
            await wait_until(lambda: records(fleet, "RequestPlaced"))
            before()
            nursery.start_soon(call, "/dossier/second")
            if after is not None:
                await wait_until(lambda: records(fleet, "RequestQueued"))
                after()
        return statuses

    async def test_second_prompt_waits_for_the_first(self, fleet):
        """Guards against a first event that comes late because a later prompt is read first."""
        assert await self.call_two(fleet) == [200, 200]
        (queued,) = records(fleet, "RequestQueued")
        assert "of others' work first" in queued["reason"]
        first, second = records(fleet, "RequestPlaced")
        assert first["waited_s"] == 0.0
        assert 0.0 < second["waited_s"] < 1.0

    async def test_wait_ends_if_the_first_prompt_makes_no_progress(self, fleet):
        """Guards against waiting without end for parts on an engine that has stopped."""
        with trio.move_on_after(6.0):
            await self.call_two(
                fleet, lambda: setattr(fleet.replicas["engine-1"].engine, "is_stalled", True)
            )
        (queued,) = records(fleet, "RequestQueued")
        ends = [*records(fleet, "RequestPlaced")[1:], *records(fleet, "RequestRefused")]
        assert ends
        assert all(end["waited_s"] <= queued["longest_wait_s"] + 0.2 for end in ends)

    async def test_wait_ends_if_the_engine_of_the_first_prompt_crashes(self, fleet):
        """Guards against waiting for parts that died with their engine."""
        await fleet.add_replica("engine-2")
        await self.call_two(fleet, after=lambda: fleet.replicas["engine-1"].crash())
        (second,) = (
            record
            for record in records(fleet, "RequestAnswered")
            if record["request_id"] == records(fleet, "RequestQueued")[0]["request_id"]
        )
        assert second["first_s"] < 3.0

    @pytest.mark.parametrize("routes", [ROUTES, UNEQUAL_ROUTES])
    async def test_prompts_start_at_once_where_links_are_even(self, fleet, routes):
        """Guards against a change for deployments in which the rule doesn't apply."""
        statuses = await self.call_two(fleet, after=None, links_mbps=(1000, 1000), routes=routes)
        assert statuses == [200, 200]
        assert not records(fleet, "RequestQueued")


class TestWaitingPlainRequests:
    """Plain requests while all slots of all servers are taken and as many again wait."""

    @pytest.mark.parametrize("seed", range(3))
    async def test_request_waits_at_the_entry(self, autojump_clock, seeded_fleet, seed):
        """Guards against attempts at servers that must reject them."""
        fleet = seeded_fleet
        for name in ("desk-1", "desk-2"):
            replica = await fleet.add_replica(name, "desk")
            replica.work_s = 0.3
        kernel = await fleet.add_entry()
        fleet.configure(make_configuration(2, routes=UNEQUAL_ROUTES))
        cluster_state = kernel.get("beliefs", ClusterState)
        await wait_until(lambda: cluster_state.configuration_version == 2)
        places = 2 * 2 * 6
        answers = []

        async def call() -> None:
            answers.append(await fleet.call("/look/x"))

        async with trio.open_nursery() as nursery:
            for _ in range(places + 2):
                nursery.start_soon(call)
        assert len(answers) == places + 2
        assert all(answer.status == 200 for answer in answers)
        assert len(records(fleet, "RequestQueued")) == 2
