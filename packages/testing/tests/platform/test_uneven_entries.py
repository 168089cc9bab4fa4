"""Entries with uneven links in several data centres, on an in-memory network."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import pytest
import trio

from sassafrastally.proxy.backpressure import Backpressure
from sassafrastally.proxy.peers import Peers
from sassafrastally.stand_ins.documents import make_configuration, make_services
from sassafrastally.stand_ins.platform_fleet import wait_until

if TYPE_CHECKING:
    from sassafrastally.core import Kernel

ENTRIES = 38
CENTRES = ["a", "b", "c"]
UNEVEN_LINKS_MBPS = [100, 7, 25, 50, 12, 80, 10]
EVEN_LINKS_MBPS = [100, 50, 80, 25]
OBSERVED_S = 3.0


async def start_entries(fleet, links_mbps: list[int]) -> list[Peers]:
    """Start all entries together and wait until each knows all others."""
    fleet.data_centres, fleet.links_mbps = CENTRES, links_mbps
    async with trio.open_nursery() as nursery:
        for number in range(1, ENTRIES + 1):
            nursery.start_soon(fleet.add_entry, number)
    peers = [kernel.get("peers", Peers) for kernel in fleet.kernels]
    await wait_until(lambda: all(one.live_count() == ENTRIES - 1 for one in peers), 4.0)
    await trio.sleep(2.0)
    return peers


async def remote_traffic(fleet, network) -> tuple[float, float]:
    """Return datagrams and bytes per second between data centres while nothing is requested."""
    centre_by_host = {
        settings.host: settings.data_centre
        for settings in map(fleet.entry_settings, range(1, ENTRIES + 1))
    }

    def remote(sent: Counter[tuple[str, str]]) -> int:
        return sum(
            count
            for (sender, receiver), count in sent.items()
            if centre_by_host.get(sender) != centre_by_host.get(receiver)
        )

    network.datagrams_sent.clear()
    network.datagram_bytes_sent.clear()
    await trio.sleep(OBSERVED_S)
    return (
        remote(network.datagrams_sent) / OBSERVED_S,
        remote(network.datagram_bytes_sent) / OBSERVED_S,
    )


def missing_centres(peers: list[Peers]) -> int:
    """Return how many entries lack the sum of another data centre."""
    return sum(len(one.centres_heard()) < len(CENTRES) - 1 for one in peers)


@pytest.mark.parametrize("seed", range(1))
class TestSumsByRelays:
    """Sums between data centres, with the entries' real services."""

    async def test_uneven_links_send_few_datagrams_between_data_centres(
        self, autojump_clock, seeded_fleet, seeded_network
    ):
        """Guards against the price of direct sending, 608 datagrams and 97 KB per second between
        data centres without any load."""
        peers = await start_entries(seeded_fleet, UNEVEN_LINKS_MBPS)
        datagrams_per_s, bytes_per_s = await remote_traffic(seeded_fleet, seeded_network)
        assert datagrams_per_s < 60
        assert bytes_per_s < 10_000
        assert missing_centres(peers) == 0

    async def test_even_links_send_sums_directly(
        self, autojump_clock, seeded_fleet, seeded_network
    ):
        peers = await start_entries(seeded_fleet, EVEN_LINKS_MBPS)
        datagrams_per_s, _ = await remote_traffic(seeded_fleet, seeded_network)
        assert datagrams_per_s > 500
        assert missing_centres(peers) == 0

    async def test_crash_of_both_relays_leaves_no_entry_uninformed_for_a_second(
        self, autojump_clock, seeded_fleet, seeded_network
    ):
        """Both relays of a data centre are killed at one moment; the entries there must not take
        the other data centres for idle."""
        fleet = seeded_fleet
        await start_entries(fleet, UNEVEN_LINKS_MBPS)
        relays = [kernel.vm for kernel in fleet.kernels if is_relay_of(kernel, "a")]
        assert len(relays) == 2
        for vm in relays:
            fleet.kill_entry(int(vm.removeprefix("entry-")))
        peers = [kernel.get("peers", Peers) for kernel in fleet.kernels]
        local = [
            kernel.get("peers", Peers) for kernel in fleet.kernels if kernel.data_centre == "a"
        ]
        for _ in range(60):
            await trio.sleep(0.05)
            assert missing_centres(local) == 0
        assert all(one.live_count() == ENTRIES - 3 for one in peers)

    async def test_cold_server_is_known_in_all_data_centres_within_half_a_second(
        self, autojump_clock, seeded_fleet
    ):
        """Guards against entries of other data centres that send a cold server their full load
        until they read a response of its own: one entry reads its report, and the store is away."""
        fleet = seeded_fleet
        services = [{**service, "coldS": 3.0, "coldPerS": 32.0} for service in make_services()]
        fleet.configure(make_configuration(2, services=services))
        engine = await fleet.add_replica("engine-1", data_centre="a")
        await start_entries(fleet, UNEVEN_LINKS_MBPS)
        fleet.entries_without_store = set(range(1, ENTRIES + 1))
        services_of = [kernel.get("backpressure", Backpressure) for kernel in fleet.kernels]
        engine.turn_cold(3.0, 32.0)
        await wait_until(lambda: any(one.is_cold("engine-1") for one in services_of))
        await trio.sleep(0.5)
        assert all(one.is_cold("engine-1") for one in services_of)
        announced = sum(one.gauges()["cold_servers_announced"] for one in services_of)
        assert announced <= len(CENTRES)


def is_relay_of(kernel: Kernel, data_centre: str) -> bool:
    """Return whether an entry sends the sum of a data centre."""
    return kernel.data_centre == data_centre and kernel.get("peers", Peers).is_relay()
