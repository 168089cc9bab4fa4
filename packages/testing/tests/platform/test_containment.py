"""What one message or request does ends with it: the process and the other requests go on."""

from __future__ import annotations

import json
import math
import random

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.fleet_view import FleetView
from sassafrastally.proxy.path import RequestPath
from sassafrastally.proxy.peers import Peers
from sassafrastally.stand_ins.platform_fleet import wait_until

FIELDS = ("Server-Limit", "Retry-After", "Cold-Ms", "Replica-Load", "At-Server")

REGISTRATION = {
    "service": "desk",
    "address": "127.20.0.9:8080",
    "zone": "here",
    "version": "v1",
    "slots": 6,
    "state": "draining",
    "coldLeftMs": 0,
    "seqNo": 0,
}


def odd_number(draw: random.Random) -> str:
    """Return the text of a number, in or beyond any useful range."""
    digits = draw.choice([1, 3, 20, 310, 4500])
    return draw.choice(
        [
            f"{draw.uniform(0, 10) * 10 ** draw.randint(-300, 300):g}",
            "".join(draw.choice("0123456789") for _ in range(digits)),
            draw.choice(
                [
                    "inf",
                    "-inf",
                    "nan",
                    "-1",
                    "1e308",
                    "1.7e308",
                    "1e400",
                    "1_0",
                    "1,x,3",
                    "1," + 9 * "9",
                ]
            ),
        ]
    )


def fail(*_: object, **__: object) -> None:
    """Raise an error that nothing expects."""
    raise ArithmeticError("unexpected")


class TestValues:
    """Values of one server, caller or writer."""

    async def test_engine_with_an_infinite_pace_ends_no_entry(self, small_fleet):
        """Guards against the loss of all requests at an entry that reads such a report."""
        await small_fleet.add_entry(2)
        views = [kernel.get("sight", FleetView) for kernel in small_fleet.kernels]
        # From then on, one of the two entries polls the engine.
        await wait_until(lambda: all(view.entries == 2 for view in views))
        small_fleet.replicas["engine-1"].engine.pace = math.inf

        def failed() -> list[str]:
            return [
                record["fields"]["server_id"]
                for kernel in small_fleet.kernels
                for record in kernel.events.records()
                if record["name"] == "ReportFailed" and not record["fields"]["request_id"]
            ]

        await wait_until(lambda: bool(failed()))
        await trio.sleep(1.5)
        assert failed() == ["engine-1"]
        for entry in (1, 2):
            assert (await small_fleet.call("/look/x", entry=entry)).status == 200
            assert (await small_fleet.call("/note/x", entry=entry, prompt="900,34")).status == 200

    @pytest.mark.parametrize("seed", range(4))
    async def test_fields_of_a_server_end_no_later_request(self, small_fleet, seed):
        """Guards against a service that is closed to all callers after one response."""
        await small_fleet.add_entry(2)
        draw, desk = random.Random(seed), small_fleet.replicas["desk-1"]
        for _ in range(12):
            desk.extra_fields = {draw.choice(FIELDS): odd_number(draw)}
            desk.refuses = draw.random() < 0.3
            await small_fleet.call("/look/x")
            desk.extra_fields, desk.refuses = {}, False
            for entry in (1, 2):
                answer = await small_fleet.call("/look/y", entry=entry)
                assert answer.is_whole
                assert answer.status in (200, 503)
        await trio.sleep(1.0)
        assert (await small_fleet.call("/look/z")).status == 200

    @pytest.mark.parametrize("name", ["Deadline-Ms", "Last-Event-Id", "Token-Counts"])
    async def test_fields_of_a_caller_get_400(self, small_fleet, name):
        """Guards against a connection that is closed without an answer."""
        for value in ("9" * 400, "9" * 3000 if name == "Deadline-Ms" else "1e3", "-1"):
            answer = await small_fleet.call("/look/x", headers={name: value})
            assert answer.status == 400

    async def test_entries_of_other_writers_end_no_entry(self, small_fleet):
        """Guards against the end of all processes by names that can't be encoded or resolved."""
        await small_fleet.add_entry(2)
        odd = {**REGISTRATION, "service": "\ud800x", "zone": "\ud800"}
        store = small_fleet.store
        store.put("servers/odd", json.dumps(odd).encode())
        store.put("entries/" + "a" * 70 + ".b", b"here")
        store.put("quarantine/00000000000000ab", b"[" * 100_000)
        store.put("servers/deep", b"[" * 50_000)
        for desk in ("desk-1", "desk-2"):
            small_fleet.replicas[desk].most_per_s = 0.5
        for _ in range(8):
            for entry in (1, 2):
                assert (await small_fleet.call("/look/x", entry=entry)).status in (200, 503)
        await trio.sleep(1.0)
        assert (await small_fleet.call("/note/x", entry=2, prompt="900,34")).status == 200

    async def test_odd_calls_of_peers_end_no_entry(self, small_fleet):
        """Guards against the end of a process by a call for changes."""
        settings = small_fleet.entry_settings(1)
        address = Address(settings.host, settings.peer_port)
        for target in ("/changes?after=%C2%B2", "/changes?after=" + "9" * 5000, "//[x"):
            answer = await small_fleet.call_at(
                address, target, {"Host": "x"}, method="GET", body=b""
            )
            assert answer.status == 400
        assert (await small_fleet.call("/look/x")).status == 200


class TestFaults:
    """Faults of the program itself, wherever they are."""

    @pytest.fixture
    async def faulty_fleet(self, small_fleet):
        """Two entries, with errors that the tests cause."""
        await small_fleet.add_entry(2)
        small_fleet.expects_errors = True
        peers = [kernel.get("peers", Peers) for kernel in small_fleet.kernels]
        await wait_until(lambda: all(one.live_count() == 1 for one in peers))
        return small_fleet

    async def test_in_a_datagram_ends_neither_the_entry_nor_the_exchange(self, faulty_fleet):
        """Guards against the end of the process by one datagram."""
        peers = faulty_fleet.kernels[0].get("peers", Peers)
        peers.limits.apply = fail
        await trio.sleep(1.0)
        assert peers.live_count() == 1
        assert len(faulty_fleet.unexpected_errors()) == 1
        assert (await faulty_fleet.call("/look/x")).status == 200

    async def test_in_the_own_state_is_tried_again(self, faulty_fleet):
        """Guards against an entry that ends, or falls silent for good, by its own state."""
        first, second = (kernel.get("peers", Peers) for kernel in faulty_fleet.kernels)
        own_paces, first.own_paces = first.own_paces, fail
        await wait_until(lambda: second.live_count() == 0, 6.0)
        first.own_paces = own_paces
        await wait_until(lambda: second.live_count() == 1)

    async def test_in_a_report_ends_its_poll(self, faulty_fleet):
        """Guards against the end of the process by one engine's report."""
        for kernel in faulty_fleet.kernels:
            kernel.get("sight", FleetView).record_pace = fail
        await wait_until(lambda: bool(faulty_fleet.unexpected_errors()))
        assert (await faulty_fleet.call("/look/x")).status == 200

    async def test_in_a_record_leaves_the_others(self, faulty_fleet):
        """Guards against a store of which one record ends the process or hides the rest."""
        state = faulty_fleet.kernels[0].get("beliefs", ClusterState)
        apply = state.servers.apply

        def apply_most(server, *args) -> None:
            if server.server_id == "odd":
                fail()
            apply(server, *args)

        state.servers.apply = apply_most
        faulty_fleet.store.put("servers/odd", json.dumps(REGISTRATION).encode())
        await faulty_fleet.add_replica("desk-3", "desk")
        await wait_until(lambda: len(state.servers.of_service("desk")) == 3)

    async def test_before_a_request_is_sent_gives_503(self, faulty_fleet):
        """Guards against a connection that is closed without an answer, on one route or on all."""
        path = faulty_fleet.kernels[0].get("path", RequestPath)
        views = path.services.fleet_view.views

        def some_views(service, *rest):
            return fail() if service == "desk" else views(service, *rest)

        path.services.fleet_view.views = some_views
        answer = await faulty_fleet.call("/book/x")
        assert (answer.status, json.loads(answer.body)["type"]) == (
            503,
            "urn:sassafrastally:refusal:internal-error",
        )
        assert float(answer.headers["retry-after"]) > 0
        assert not any(faulty_fleet.replicas[f"desk-{number}"].runs for number in (1, 2))
        assert (await faulty_fleet.call("/note/x", prompt="900,34")).status == 200

    async def test_after_a_request_is_sent_promises_nothing(self, faulty_fleet):
        """Guards against a 503 for a request that has run."""
        fleet_view = faulty_fleet.kernels[0].get("sight", FleetView)
        fleet_view.record_success = fail
        assert (await faulty_fleet.call("/book/x")).status == 502
