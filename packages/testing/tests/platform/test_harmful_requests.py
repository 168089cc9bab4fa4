"""Requests that crash the backend servers that run them, and good ones beside them."""

from __future__ import annotations

import json
from functools import partial

import pytest
import trio

from sassafrastally.proxy.backpressure import Backpressure
from sassafrastally.proxy.beliefs import Beliefs
from sassafrastally.proxy.model import ServerAsks
from sassafrastally.stand_ins.documents import make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import RESTART_S, until
from sassafrastally.testing.harmful_fleet import (
    CRASHES,
    HARMFUL,
    alive,
    assert_refused,
    harmful_arrivals,
    start_fleet,
)

MOST_AFTER_THE_THIRD = 3
"""Servers that may still be sent such a request after three have crashed under it; what operators
allow."""


class TestRepeatedRequest:
    """A request that crashes servers, and that its caller repeats."""

    @pytest.mark.parametrize(
        ("path", "prompt"),
        [("/note/x", "1000,340"), ("/look/x", None), ("/book/x", None)],
        ids=["stream", "repeatable", "once"],
    )
    async def test_reaches_few_servers_whichever_entry_it_comes_to(self, fleet, path, prompt):
        """Guards against the loss of a fleet when entries don't compare what lost servers ran."""
        fleet.harmful_bodies.add(HARMFUL)
        await start_fleet(fleet)
        for number in range(9):
            await fleet.call(path, entry=1 + number % 3, body=HARMFUL, prompt=prompt)
            await trio.sleep(0.3)
        assert len(harmful_arrivals(fleet)) <= 3 + MOST_AFTER_THE_THIRD
        assert len(fleet.crashed) <= 4

    async def test_caller_hears_the_true_reason_at_once(self, fleet):
        """Guards against a late or silent refusal; in the first second it may be cleared soon."""
        fleet.harmful_bodies.add(HARMFUL)
        await start_fleet(fleet, entries=1)
        for _ in range(4):
            answer = await fleet.call("/note/x", body=HARMFUL, prompt="1000,340")
        assert float(answer.headers["retry-after"]) <= 2.0
        await trio.sleep(1.1)
        begin_s = trio.current_time()
        answer = await fleet.call("/note/x", body=HARMFUL, prompt="1000,340")
        assert trio.current_time() - begin_s < 0.2
        assert answer.status == 503
        problem = json.loads(answer.body)
        assert problem["type"].endswith("quarantined")
        assert "3 backend servers" in problem["detail"]
        assert float(answer.headers["retry-after"]) > 60.0

    async def test_counts_servers_whose_hosts_go_silent_with_them(self, fleet):
        """Guards against crashes going unseen where a whole host falls silent."""
        fleet.harmful_bodies.add(HARMFUL)
        await start_fleet(fleet)
        for number in range(1, 7):
            fleet.replicas[f"desk-{number}"].crashes_silently = True
        routes = [make_route("look", "idempotent", "desk", timeoutMs=600)]
        fleet.configure(make_configuration(2, routes=routes))
        await trio.sleep(0.1)
        for number in range(5):
            await fleet.call("/look/x", entry=1 + number % 3, body=HARMFUL)
            await trio.sleep(RESTART_S)
        assert len(harmful_arrivals(fleet)) <= 4
        await assert_refused(fleet, 2, "/look/x", None)

    async def test_counts_servers_whose_ports_still_take_connections(self, fleet):
        """Guards against crashes going unseen where a supervisor holds the port of a server."""
        fleet.harmful_bodies.add(HARMFUL)
        fleet.drops_after_crash_s = 2.0
        await start_fleet(fleet)
        for number in range(9):
            await fleet.call("/note/x", entry=1 + number % 3, body=HARMFUL, prompt="1000,340")
            await trio.sleep(0.3)
        assert len(harmful_arrivals(fleet)) <= CRASHES + MOST_AFTER_THE_THIRD
        assert len(fleet.crashed) <= CRASHES + 1
        await trio.sleep(fleet.drops_after_crash_s)
        answer = await fleet.call("/note/x", body=HARMFUL, prompt="1000,340")
        assert float(answer.headers["retry-after"]) > 60.0

    async def test_stream_that_is_taken_up_again_is_the_same_request(self, fleet):
        """Guards against a caller's place in the stream making it another request."""
        fleet.harmful_bodies.add(HARMFUL)
        await start_fleet(fleet)
        for number in range(6):
            headers = {"Last-Event-Id": str(number)}
            await fleet.call(
                "/note/x", entry=1 + number % 3, body=HARMFUL, prompt="1000,340", headers=headers
            )
            await trio.sleep(0.1)
        assert len(fleet.crashed) == 3

    async def test_helpers_that_read_for_it_are_spared(self, fleet):
        """Guards against counting engines that only read for a long prompt."""
        fleet.harmful_bodies.add(HARMFUL)
        await start_fleet(fleet, entries=2, engines=8)
        for number in range(5):
            await fleet.call("/dossier/x", entry=1 + number % 2, body=HARMFUL, prompt="90000,340")
            await trio.sleep(0.1)
        helped = [arrival.request.headers.get("helpers") for arrival in harmful_arrivals(fleet)]
        assert any(helped)
        assert len(fleet.crashed) == 3

    async def test_many_callers_at_once_cost_few_servers(self, fleet):
        """Guards against running what still waits for a slot when its prompt is quarantined."""
        fleet.harmful_bodies.add(HARMFUL)
        await start_fleet(fleet, engines=10)
        async with trio.open_nursery() as nursery:
            for number in range(12):
                call = partial(
                    fleet.call, "/note/x", entry=1 + number % 3, body=HARMFUL, prompt="1000,340"
                )
                nursery.start_soon(call)
        arrived = len(harmful_arrivals(fleet))
        for number in range(6):
            answer = await fleet.call(
                "/note/x", entry=1 + number % 3, body=HARMFUL, prompt="1000,340"
            )
            assert answer.status == 503
        assert len(harmful_arrivals(fleet)) == arrived
        assert len(fleet.crashed) < 10


class TestInnocentRequests:
    """Good requests on servers that are lost."""

    GOOD = b"a good prompt"

    def crashes(self, fleet) -> list[str]:
        """Return the servers that entries found to have crashed under a request."""
        return [
            record["fields"]["server_id"]
            for kernel in fleet.kernels
            for record in kernel.events.records()
            if record["name"] == "ServerCrashed"
        ]

    async def ask_while(self, fleet, harm) -> None:
        """Ask for a good prompt three times, each time harming the server that runs it."""
        for _ in range(3):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    partial(fleet.call, "/note/x", body=self.GOOD, prompt="1000,1700")
                )
                await until(lambda: any(r.engine and r.engine.running for r in alive(fleet)))
                await trio.sleep(0.1)
                busy = next(r for r in alive(fleet) if r.engine and r.engine.running)
                await harm(busy)
            await trio.sleep(0.1)

    @pytest.mark.parametrize("seed", [*range(12), 28, 41, 48, 49, 62, 71, 72, 88])
    async def test_beside_a_harmful_one_are_answered_in_the_end(self, autojump_clock, seeded_fleet):
        """Guards against refusing good prompts that are sent on beside the harmful one."""
        fleet = seeded_fleet
        fleet.harmful_bodies.add(HARMFUL)
        await start_fleet(fleet, engines=8)
        statuses: list[int] = []

        async def ask(number: int) -> None:
            body = f"good prompt {number}".encode()
            await trio.sleep(0.02 * number)
            for attempt in range(4):
                entry = 1 + (number + attempt) % 3
                answer = await fleet.call("/note/x", entry=entry, body=body, prompt="1000,680")
                if answer.status == 200 and answer.is_whole:
                    statuses.append(200)
                    return
                assert b"quarantined" not in answer.body
                await trio.sleep(0.1)
            statuses.append(answer.status)

        async with trio.open_nursery() as nursery:
            for number in range(24):
                nursery.start_soon(ask, number)
            for number in range(6):
                await trio.sleep(0.1)
                await fleet.call("/note/x", entry=1 + number % 3, body=HARMFUL, prompt="1000,340")
        assert statuses == [200] * 24

    async def test_server_that_only_resets_its_connections_has_not_crashed(self, fleet):
        """Guards against taking a link's resets for a crash."""
        await start_fleet(fleet, entries=1)
        for replica in fleet.replicas.values():
            replica.breaks_after_events = 2
        for _ in range(4):
            await fleet.call("/note/x", body=self.GOOD, prompt="1000,340")
        assert not self.crashes(fleet)

    async def test_server_that_leaves_by_plan_has_not_crashed(self, fleet):
        """Guards against holding the end of a draining server against what it still ran."""
        await start_fleet(fleet, entries=1, engines=8)

        async def drain(replica) -> None:
            fleet.store.put(f"servers/{replica.server_id}", replica.entry(is_draining=True))
            await trio.sleep(0.2)
            replica.crash()

        await self.ask_while(fleet, drain)
        assert len(fleet.crashed) == 3
        assert not self.crashes(fleet)

    async def test_server_that_has_said_that_it_leaves_has_not_crashed(self, fleet):
        """Guards against holding a server's announced end against what it still ran."""
        await start_fleet(fleet, entries=1, engines=8)
        backpressure = fleet.kernels[0].get("backpressure", Backpressure)
        beliefs = fleet.kernels[0].get("beliefs", Beliefs)

        async def leave(replica) -> None:
            server = beliefs.server(replica.server_id)
            backpressure.note_answer(server, ServerAsks(is_leaving=True))
            replica.crash()

        await self.ask_while(fleet, leave)
        assert len(fleet.crashed) == 3
        assert not self.crashes(fleet)

    async def test_server_that_is_killed_for_its_memory_counts_once(self, fleet):
        """Guards against adding up crashes of a prompt that is answered in between."""
        await start_fleet(fleet, entries=1, engines=8)

        async def kill(replica) -> None:
            replica.crash()

        await self.ask_while(fleet, kill)
        assert len(set(self.crashes(fleet))) == 3
        answer = await fleet.call("/note/x", body=self.GOOD, prompt="1000,34")
        assert answer.status == 200

    async def test_rack_that_is_lost_leaves_a_popular_prompt_free(self, fleet):
        """Guards against a verdict on a popular prompt when servers are lost together."""
        await start_fleet(fleet, entries=2)
        for entry in (1, 2):
            await fleet.call("/note/x", entry=entry, body=self.GOOD, prompt="1000,34")
        async with trio.open_nursery() as nursery:
            for number in range(36):
                call = partial(
                    fleet.call, "/note/x", entry=1 + number % 2, body=self.GOOD, prompt="1000,1700"
                )
                nursery.start_soon(call)
            await trio.sleep(0.3)
            busy = [r for r in alive(fleet) if r.engine and r.engine.running]
            for replica in busy[:3]:
                replica.crash()
        assert len(set(self.crashes(fleet))) == 3
        for entry in (1, 2):
            answer = await fleet.call("/note/x", entry=entry, body=self.GOOD, prompt="1000,34")
            assert answer.status == 200
