"""Requests that crash the backend servers that run them."""

from __future__ import annotations

import json
from functools import partial

import pytest
import trio

from sassafrastally.proxy.peers import Peers
from sassafrastally.proxy.quarantining import Quarantining
from sassafrastally.testing.platform_fleet import (
    RESTART_S,
    make_configuration,
    make_route,
    until,
)

HARMFUL = b"a prompt that crashes what runs it"

MOST_AFTER_THE_THIRD = 3
"""Servers that may still be sent such a request after three have crashed under it; what operators
allow."""


async def start_fleet(fleet, entries: int = 3, engines: int = 6) -> None:
    """Start entries that hear each other before engines and as many plain servers."""
    for number in range(1, engines + 1):
        await fleet.add_replica(f"engine-{number}")
        await fleet.add_replica(f"desk-{number}", "desk")
    for number in range(1, entries + 1):
        await fleet.add_entry(number)
    peers = [kernel.get("peers", Peers) for kernel in fleet.kernels]
    await until(lambda: all(peer.live_count() == entries - 1 for peer in peers))


def harmful_arrivals(fleet):
    """Return the harmful requests that reached a backend server, in their order."""
    found = [
        arrival
        for replica in fleet.replicas.values()
        for arrival in replica.arrivals
        if arrival.request.body in fleet.harmful_bodies
    ]
    return sorted(found, key=lambda arrival: arrival.at_s)


class TestRepeatedRequest:
    """A request that crashes servers, and that its caller repeats."""

    @pytest.mark.parametrize(
        ("path", "prompt"),
        [("/note/x", "1000,340"), ("/look/x", None), ("/book/x", None)],
        ids=["stream", "repeatable", "once"],
    )
    async def test_reaches_few_servers_whichever_entry_it_comes_to(self, fleet, path, prompt):
        """One prompt crashed each engine that began to run it. The entry sent it on to the next
        engine 1 ms later, which crashed after 0.2 s; the caller came back to another entry with a
        new request id, and two more engines crashed. Of 14 engines 22 were lost in nine seconds,
        all with "the answer broke off" and then "Connection refused". Each entry saw only its own
        attempts, and none compared what the lost engines had run."""
        fleet.harmful_bodies.add(HARMFUL)
        await start_fleet(fleet)
        for number in range(9):
            await fleet.call(path, entry=1 + number % 3, body=HARMFUL, prompt=prompt)
            await trio.sleep(0.3)
        assert len(harmful_arrivals(fleet)) <= 3 + MOST_AFTER_THE_THIRD
        assert len(fleet.crashed) <= 4

    async def test_caller_hears_the_true_reason_at_once(self, fleet):
        """The caller of such a request waited for two engines to crash, and got a broken answer
        that said nothing. It must hear at once that the request has not run now, why, and for how
        long that stays so; in the first second, that it may be cleared soon."""
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
        """The whole host goes down: no reset comes, and a connection isn't refused. The request was
        silent for its share of the time, and then the server's entry lapsed."""
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

    async def test_stream_that_is_taken_up_again_is_the_same_request(self, fleet):
        """The caller has some events and comes back to continue behind them. What crashes servers
        is the same prompt, though its header says something else each time."""
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
        """A long prompt is read by several engines and crashes the one that answers. It is
        quarantined like a short one, and those that only read for it live on."""
        fleet.harmful_bodies.add(HARMFUL)
        await start_fleet(fleet, entries=2, engines=8)
        for number in range(5):
            await fleet.call("/dossier/x", entry=1 + number % 2, body=HARMFUL, prompt="90000,340")
            await trio.sleep(0.1)
        helped = [arrival.request.headers.get("helpers") for arrival in harmful_arrivals(fleet)]
        assert any(helped)
        assert len(fleet.crashed) == 3

    async def test_many_callers_at_once_cost_few_servers(self, fleet):
        """Twelve callers ask for the same at one moment, at three entries. What runs already
        can't be called back; what still waits for a slot must not run any more, and all that
        comes later hears the reason."""
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


async def quarantine(fleet, entry: int = 1) -> None:
    """Let the harmful request crash servers until an entry runs it no more."""
    fleet.harmful_bodies.add(HARMFUL)
    for _ in range(4):
        await fleet.call("/note/x", entry=entry, body=HARMFUL, prompt="1000,340")
    assert len(fleet.crashed) == 3


def records(fleet) -> list[str]:
    """Return the keys of the verdicts in the store."""
    keys = fleet.store.keys()
    return [key for key in keys if key.startswith("quarantine/")]


async def assert_refused(
    fleet, entry: int, path: str = "/note/x", prompt: str | None = "1000,340"
) -> None:
    """Check that an entry refuses the harmful request."""
    before = len(harmful_arrivals(fleet))
    answer = await fleet.call(path, entry=entry, body=HARMFUL, prompt=prompt)
    assert json.loads(answer.body)["type"].endswith("quarantined")
    assert len(harmful_arrivals(fleet)) == before


class TestEntriesThatStart:
    """Entries that weren't there when servers crashed."""

    async def test_all_that_start_again_know_it_from_the_store(self, fleet):
        """All entries are killed at one moment, and with them all that they have seen. The caller
        comes back; each restart would cost three more servers."""
        await start_fleet(fleet)
        await quarantine(fleet)
        await until(lambda: records(fleet))
        for number in (1, 2, 3):
            fleet.kill_entry(number)
        await trio.sleep(0.05)
        for number in (1, 2, 3):
            await fleet.add_entry(number)
            await assert_refused(fleet, number)

    async def test_one_that_starts_without_the_store_hears_it_from_its_peers(self, fleet):
        """The store is away from before the first crash, so that nothing stands there; a new entry
        learns all from the others."""
        await start_fleet(fleet, entries=2)
        fleet.store.refuses_with = 503
        await quarantine(fleet)
        fleet.kill_entry(2)
        await trio.sleep(0.05)
        fleet.store.refuses_with = 0
        second = await fleet.add_entry(2)
        fleet.store.refuses_with = 503
        await until(lambda: second.get("quarantine", Quarantining).count == 1, 5.0)
        await assert_refused(fleet, 2)

    async def test_verdict_is_recorded_once_the_store_is_back(self, fleet):
        await start_fleet(fleet, entries=2)
        fleet.store.refuses_with = 503
        await quarantine(fleet)
        assert not records(fleet)
        fleet.store.refuses_with = 0
        await until(lambda: records(fleet), 8.0)
        assert len(records(fleet)) == 1

    async def test_verdict_survives_leases_that_an_outage_ended(self, fleet):
        """The store is away, and all leases run out with it. The verdict's time isn't over, and
        entries that start after the outage must find it again."""
        await start_fleet(fleet, entries=2)
        await quarantine(fleet)
        await until(lambda: records(fleet))
        fleet.store.refuses_with = 503
        await trio.sleep(2.5)
        fleet.store.remove(records(fleet)[0])
        fleet.store.refuses_with = 0
        await until(lambda: records(fleet), 15.0)
        await assert_refused(fleet, 2)


class TestManyEntries:
    """So many entries that data centres hear only sums of each other."""

    ENTRIES = 28

    async def test_other_data_centre_hears_of_crashes_and_verdict_by_the_sum(self, fleet):
        """The caller comes to one data centre's entries, then to the other one's, whose entries
        hear none of the first ones themselves. Three servers have crashed in all."""
        fleet.data_centres = ["east", "west"]
        for number in range(1, 7):
            await fleet.add_replica(f"engine-{number}")
        async with trio.open_nursery() as nursery:
            for number in range(1, self.ENTRIES + 1):
                nursery.start_soon(fleet.add_entry, number)
        peers = [kernel.get("peers", Peers) for kernel in fleet.kernels]
        await until(lambda: all(p.live_count() == self.ENTRIES - 1 for p in peers), 20.0)
        await until(lambda: all(p.hears_sums() for p in peers), 10.0)
        fleet.harmful_bodies.add(HARMFUL)
        await fleet.call("/note/x", entry=2, body=HARMFUL, prompt="1000,340")
        await trio.sleep(0.5)
        await fleet.call("/note/x", entry=3, body=HARMFUL, prompt="1000,340")
        await trio.sleep(0.5)
        assert len(fleet.crashed) == 3
        for entry in range(1, self.ENTRIES + 1):
            await assert_refused(fleet, entry)


class TestEndOfAVerdict:
    """How it ends before its time."""

    async def test_operator_ends_it_by_removing_its_record(self, fleet):
        """The cause is mended, and nobody wants to wait for ten minutes."""
        await start_fleet(fleet, entries=2)
        await quarantine(fleet)
        await until(lambda: records(fleet))
        fleet.harmful_bodies.clear()
        fleet.store.remove(records(fleet)[0])
        await trio.sleep(0.3)
        for entry in (1, 2):
            answer = await fleet.call("/note/x", entry=entry, body=HARMFUL, prompt="1000,340")
            assert answer.status == 200

    async def test_record_of_another_writer_is_passed_over(self, fleet):
        await start_fleet(fleet, entries=1)
        fleet.store.put("quarantine/0123", b"{}")
        fleet.store.put("quarantine/0123456789abcdef", b'{"crashes": "many"}')
        await trio.sleep(0.2)
        (kernel,) = fleet.kernels
        assert kernel.get("quarantine", Quarantining).count == 0
        rejected = [r for r in kernel.events.records() if r["name"] == "DocumentRejected"]
        assert len(rejected) == 2


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

    async def test_beside_a_harmful_one_are_answered_in_the_end(self, fleet):
        """Good prompts run on the servers that a harmful one crashes, and are sent on, some of them
        with it. Each is a prompt of its own; none may be refused for what its neighbour did."""
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
        """A link resets all connections to a server that lives on. Nothing speaks against what ran
        there."""
        await start_fleet(fleet, entries=1)
        for replica in fleet.replicas.values():
            replica.breaks_after_events = 2
        for _ in range(4):
            await fleet.call("/note/x", body=self.GOOD, prompt="1000,340")
        assert not self.crashes(fleet)

    async def test_server_that_leaves_by_plan_has_not_crashed(self, fleet):
        """A draining server ends with a long stream still on it. That was announced."""
        await start_fleet(fleet, entries=1, engines=8)

        async def drain(replica) -> None:
            fleet.store.put(f"servers/{replica.server_id}", replica.entry(is_draining=True))
            await trio.sleep(0.2)
            replica.crash()

        await self.ask_while(fleet, drain)
        assert len(fleet.crashed) == 3
        assert not self.crashes(fleet)

    async def test_server_that_is_killed_for_its_memory_counts_once(self, fleet):
        """Servers are killed one after the other while the same good prompt runs there; in between
        it is answered."""
        await start_fleet(fleet, entries=1, engines=8)

        async def kill(replica) -> None:
            replica.crash()

        await self.ask_while(fleet, kill)
        assert len(set(self.crashes(fleet))) == 3
        answer = await fleet.call("/note/x", body=self.GOOD, prompt="1000,34")
        assert answer.status == 200

    async def test_rack_that_is_lost_leaves_a_popular_prompt_free(self, fleet):
        """Many ask for one prompt, so that it runs on all six servers, three of which are lost at
        once. It had been answered before."""
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


def alive(fleet):
    """Return the backend servers that haven't crashed."""
    return [replica for replica in fleet.replicas.values() if not replica.has_crashed.is_set()]
