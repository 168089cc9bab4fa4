"""Cold servers before running entries: records, health checks and restarts."""

from __future__ import annotations

import json

import pytest
import trio

from sassafrastally.platform.adapter import PlatformDialect
from sassafrastally.proxy.backpressure import Backpressure
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.model import NO_BACKPRESSURE
from sassafrastally.proxy.warm_up.warm_up_limits import JOIN_DELAY_S
from sassafrastally.stand_ins.documents import make_configuration, make_services
from sassafrastally.stand_ins.platform_fleet import wait_until
from sassafrastally.testing.backpressure_fleet import offer
from sassafrastally.testing.cold_fleet import most_in_a_second
from sassafrastally.testing.harmful_fleet import start_fleet

COLD_S = 2.0
COLD_PER_S = 4.0
ALLOWED = 1.5 * COLD_PER_S + 5
"""Requests in any second, with the bounds of the fleet's settings."""


def cold_document(version: int = 2, **fields: object) -> dict[str, object]:
    """Return a configuration whose services have cold servers."""
    cold = {"coldS": COLD_S, "coldPerS": COLD_PER_S, **fields}
    services = [{**service, **cold} for service in make_services()]
    return make_configuration(version, services=services)


async def start_cold_fleet(fleet, engines: int = 2) -> None:
    """Start three entries and warm servers of services with cold servers."""
    fleet.configure(cold_document())
    await start_fleet(fleet, entries=3, engines=engines)
    await trio.sleep(JOIN_DELAY_S)


def cold_at(fleet, server_id: str) -> list[bool]:
    """Return whether each entry takes a server for cold."""
    services = [kernel.get("backpressure", Backpressure) for kernel in fleet.kernels]
    return [service.is_cold(server_id) for service in services]


def statuses(answers) -> set[int]:
    """Return the statuses of all answers."""
    return {answer.status for answer in answers}


class TestNewServers:
    """Servers that start under load."""

    @pytest.mark.parametrize("seed", [1, 2])
    @pytest.mark.parametrize(("kind", "prompt"), [("engine", "1000,34"), ("desk", None)])
    async def test_bound_holds_over_all_entries_and_no_caller_notices(
        self, autojump_clock, seeded_fleet, seeded_network, seed, kind, prompt
    ):
        """Guards against crashing a server that has just started, by entries that each send it
        what would be right for one of them."""
        fleet = seeded_fleet
        await start_cold_fleet(fleet)
        service = "engines" if kind == "engine" else "desk"
        cold = await fleet.add_replica(f"{kind}-9", service, cold=(COLD_S, COLD_PER_S))
        for replica in fleet.replicas.values():
            replica.work_s = 0.2  # Otherwise, the warm servers are idle and take everything.
        path = "/note/x" if kind == "engine" else "/look/x"
        answers = await offer(fleet, path, per_s=40.0, for_s=3.0, entries=3, prompt=prompt)
        assert statuses(answers) == {200}
        assert not cold.has_crashed.is_set()
        while_cold = [at_s for at_s in cold.call_times_s if at_s < cold.cold_until_s]
        assert 0 < most_in_a_second(while_cold) <= ALLOWED
        assert len(cold.call_times_s) > len(while_cold)

    async def test_refusal_names_limited_servers_only_if_all_are(self, fleet):
        """Guards against a refusal for cold servers while a warm one accepts the request, and
        against one without the time at which a cold server accepts another request."""
        fleet.configure(cold_document(coldS=1.0, coldPerS=1.0))
        await fleet.add_replica("desk-1", "desk", cold=(3.0, 1.0))
        await fleet.add_entry(1)
        answers = await offer(fleet, "/look/x", per_s=20.0, for_s=0.5)
        assert statuses(answers) == {503}
        assert all(float(answer.headers["retry-after"]) <= 3.5 for answer in answers)
        assert json.loads(answers[0].body)["type"].endswith("servers-limited")
        await fleet.add_replica("desk-2", "desk")
        kernel = fleet.kernels[0]
        await wait_until(lambda: kernel.get("beliefs", object).servers.get("desk-2") is not None)
        await wait_until(lambda: cold_at(fleet, "desk-2") == [False])
        assert statuses(await offer(fleet, "/look/y", per_s=20.0, for_s=0.5)) == {200}

    async def test_without_a_rate_servers_are_used_at_once(self, fleet):
        """Guards against any effect on deployments that don't configure cold servers."""
        await start_fleet(fleet, entries=3, engines=2)
        await fleet.add_replica("desk-9", "desk", cold=(COLD_S, 1000.0))
        answers = await offer(fleet, "/look/x", per_s=40.0, for_s=0.5, entries=3)
        assert statuses(answers) == {200}
        assert cold_at(fleet, "desk-9") == [False, False, False]


class TestNotices:
    """Servers that turn cold again."""

    async def test_record_and_health_check_tell_the_entries(self, fleet):
        """Guards against an entry that learns of a cold server only from the store."""
        await start_cold_fleet(fleet)
        engine = fleet.replicas["engine-1"]
        fleet.entries_without_store = {1, 2, 3}
        engine.turn_cold(3.0, COLD_PER_S)
        await wait_until(lambda: any(cold_at(fleet, "engine-1")))
        fleet.entries_without_store = set()
        fleet.store.put("servers/engine-1", engine.entry())
        await wait_until(lambda: all(cold_at(fleet, "engine-1")))
        await wait_until(lambda: not any(cold_at(fleet, "engine-1")), 5.0)

    async def test_restart_under_the_same_id_is_cold(self, fleet):
        """Guards against the full load on a server that has crashed and started again."""
        await start_cold_fleet(fleet)
        before = fleet.replicas["desk-1"]
        restarted = await fleet.add_replica(
            "desk-1", "desk", predecessor=before, cold=(COLD_S, COLD_PER_S)
        )
        answers = await offer(fleet, "/look/x", per_s=60.0, for_s=1.5, entries=3)
        assert statuses(answers) == {200}
        assert most_in_a_second(restarted.call_times_s) <= ALLOWED


class TestAnnouncements:
    """Cold times that entries tell each other."""

    async def learn_by_report(self, fleet, cold_s: float) -> list[bool]:
        """Let an engine turn cold and one entry read it in a report; return which entry has."""
        await start_cold_fleet(fleet, engines=1)
        fleet.entries_without_store = {1, 2, 3}
        fleet.replicas["engine-1"].turn_cold(cold_s, COLD_PER_S)
        await wait_until(lambda: any(cold_at(fleet, "engine-1")))
        await wait_until(lambda: all(cold_at(fleet, "engine-1")), 0.5)
        sources = [
            [
                record["fields"]["source"]
                for record in events.records()
                if record["name"] == "ServerCold"
            ]
            for events in (kernel.events for kernel in fleet.kernels)
        ]
        learned = [source == ["answer"] for source in sources]
        teller = fleet.entry_settings(1 + learned.index(True)).host
        assert sorted(sources) == [[teller], [teller], ["answer"]]
        return learned

    async def test_peers_know_of_a_report_within_half_a_second(self, fleet):
        """Guards against entries that send a cold server their full load until each has read a
        response of its own: an engine's report is read by one entry only."""
        learned = await self.learn_by_report(fleet, 2.0)
        gauges = [kernel.get("backpressure", Backpressure).gauges() for kernel in fleet.kernels]
        assert [one["cold_servers_announced"] for one in gauges] == learned
        assert [one["cold_servers_from_peers"] for one in gauges] == [not one for one in learned]

    async def test_end_holds_although_its_sender_has_died(self, fleet):
        """Guards against peers that forget a cold server with the entry that told them."""
        learned = await self.learn_by_report(fleet, 3.0)
        fleet.kill_entry(1 + learned.index(True))
        await trio.sleep(1.2)
        assert cold_at(fleet, "engine-1") == [True, True]
        await wait_until(lambda: not any(cold_at(fleet, "engine-1")), 4.0)


class TestStandIn:
    """The stand-in that the other tests rely on."""

    async def test_cold_server_crashes_well_above_its_rate(self, fleet):
        """Guards against a stand-in that takes any load while cold."""
        await fleet.add_replica("desk-1", "desk", cold=(5.0, 1.0))
        await fleet.add_replica("desk-2", "desk")
        await fleet.add_entry(1)
        await offer(fleet, "/look/x", per_s=40.0, for_s=1.0)
        assert fleet.crashed == ["desk-1"]


class TestDecoding:
    """Cold times in headers and configurations."""

    @pytest.mark.parametrize(("value", "left_s"), [(b"1500", 1.5), (b"0", 0.0), (b"-1", -0.001)])
    def test_header_of_any_response_is_decoded(self, value, left_s):
        decoded = PlatformDialect().decode_response(200, [(b"cold-ms", value)])
        assert decoded.backpressure.cold_left_s == left_s

    def test_header_of_another_server_does_not_apply(self):
        """Guards against a cold time that a restarted neighbour states at the same address."""
        decoded = PlatformDialect().decode_response(421, [(b"cold-ms", b"1500")])
        assert decoded.backpressure == NO_BACKPRESSURE

    @pytest.mark.parametrize("value", [-1, "3", True, [3], float("inf"), float("nan")])
    def test_configuration_with_an_invalid_rate_is_rejected(self, value):
        """Guards against cold servers without a limit because of a mistyped configuration."""
        for name in ("coldS", "coldPerS"):
            document = json.dumps(cold_document(**{name: value})).encode()
            with pytest.raises(DocumentInvalid):
                PlatformDialect().decode_configuration(document)

    async def test_implausible_record_is_logged_and_its_server_is_used(self, fleet):
        """Guards against losing a server, or its load, by an invalid cold time in its record."""
        await start_cold_fleet(fleet)
        fields = json.loads(fleet.replicas["desk-1"].entry())
        fleet.store.put("servers/desk-1", json.dumps({**fields, "coldLeftMs": -5}).encode())
        events = fleet.kernels[0].events
        await wait_until(
            lambda: any(record["name"] == "ColdTimeRejected" for record in events.records())
        )
        assert cold_at(fleet, "desk-1")[0] is False
        assert statuses(await offer(fleet, "/look/x", per_s=20.0, for_s=0.5)) == {200}
