"""Tests of the network in memory, on which other tests rely."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.testing.network import PIPE_BYTES, MemoryNetwork

ADDRESS = Address("10.0.0.1", 0)


class TestMemoryNetwork:
    @pytest.fixture
    def network(self):
        return MemoryNetwork(latency_s=0.5)

    async def connect(self, network, nursery):
        accepted = []

        async def accept(stream):
            accepted.append(stream)

        address = await network.host("b").listen(ADDRESS, accept, nursery)
        stream = await network.host("a").connect(address)
        await trio.testing.wait_all_tasks_blocked()
        return address, stream, accepted[0]

    async def test_bytes_take_the_latency_and_keep_their_order(
        self, network, nursery, autojump_clock
    ):
        _, near, far = await self.connect(network, nursery)
        assert trio.current_time() == 1.0
        await near.send_all(b"one")
        await trio.sleep(0.2)
        await near.send_all(b"two")
        assert await far.receive_some(2) == b"on"
        assert trio.current_time() == 1.5
        assert await far.receive_some() == b"e"
        assert await far.receive_some() == b"two"
        assert trio.current_time() == pytest.approx(1.7)
        await near.aclose()
        assert await far.receive_some() == b""

    async def test_sender_waits_for_a_reader(self, network, nursery, autojump_clock):
        _, near, far = await self.connect(network, nursery)
        with trio.move_on_after(9) as scope:
            await near.send_all(bytes(PIPE_BYTES + 1))
        assert scope.cancelled_caught
        assert len(await far.receive_some()) == PIPE_BYTES

    async def test_closing_frees_both_ends(self, network, nursery, autojump_clock):
        _, near, far = await self.connect(network, nursery)
        await far.aclose()
        with pytest.raises(trio.BrokenResourceError):
            await near.send_all(b"x")
        with pytest.raises(trio.ClosedResourceError):
            await far.receive_some()

    async def test_cut_and_partition(self, network, nursery, autojump_clock):
        address, near, far = await self.connect(network, nursery)
        await near.send_all(b"lost")
        network.cut("b", "a")
        for end in (near, far):
            with pytest.raises(trio.BrokenResourceError):
                await end.receive_some()
        await network.host("a").connect(address)
        network.partition("a", "b")
        with pytest.raises(OSError):
            await network.host("a").connect(address)
        network.heal("a", "b")
        await network.host("a").connect(address)

    async def test_refuse(self, network, nursery, autojump_clock):
        address, near, far = await self.connect(network, nursery)
        network.refuse(address)
        with pytest.raises(OSError):
            await network.host("a").connect(address)
        await near.send_all(b"stays")
        assert await far.receive_some() == b"stays"
        network.admit(address)
        await network.host("a").connect(address)

    async def test_frozen_vm_holds_all_bytes(self, network, nursery, autojump_clock):
        address, near, far = await self.connect(network, nursery)
        network.freeze(address)
        late = await network.host("a").connect(address)
        await near.send_all(b"held")
        await far.send_all(b"back")
        for end in (near, far, late):
            with trio.move_on_after(100) as scope:
                await end.receive_some()
            assert scope.cancelled_caught
        network.thaw(address)
        assert await far.receive_some() == b"held"
        assert await near.receive_some() == b"back"
