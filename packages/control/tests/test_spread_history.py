"""Random histories of faults: the active generation of a node never decreases."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.control.rolling import RollLost
from sassafrastally.stores import KvUnavailable, MaybeApplied
from sassafrastally.testing.kv_model import KvFaults
from sassafrastally.wire.link import LinkCut
from sassafrastally.wire.messages import HeadNotice

NODES = 6
STEPS = 30


class History:
    """A seeded random history of faults and rolls on a fleet."""

    def __init__(self, fleet, make_bundle):
        self.fleet = fleet
        self.random = fleet.random
        self.make_bundle = make_bundle
        self.old_heads: list[tuple[int, bytes]] = []
        self.ended_generations: list[list[int]] = []
        """Generations activated by each ended process."""
        self.steps = (
            self.roll,
            self.roll,
            self.roll,
            self.cut_node,
            self.heal_node,
            self.freeze,
            self.restart,
            self.send_stale_head,
            self.kv_faults,
        )

    async def roll(self):
        try:
            await self.fleet.roll(self.make_bundle(share=self.random.uniform(1, 2)))
        except (KvUnavailable, MaybeApplied, RollLost):
            return

    async def cut_node(self):
        one, other = self.random.sample(self.fleet.nodes, 2)
        self.fleet.network.partition(one.vm, other.vm)
        one.kv.cut()

    async def heal_node(self):
        for node in self.fleet.nodes:
            node.kv.is_cut = False
            for other in self.fleet.nodes:
                self.fleet.network.heal(node.vm, other.vm)

    async def freeze(self):
        node = self.random.choice(self.fleet.nodes)
        self.fleet.network.freeze(node.address)
        await trio.sleep(self.random.uniform(1, 60))
        self.fleet.network.thaw(node.address)

    async def restart(self):
        node = self.random.choice(self.fleet.nodes)
        self.ended_generations.append(node.generations)
        node.kill()
        await trio.sleep(0.1)
        await node.start()

    async def send_stale_head(self):
        """Send an old head from one node to all its peers."""
        relay = self.random.choice(self.fleet.nodes)
        if relay.service.in_force is None:
            return
        self.old_heads.append((relay.service.generation, relay.service._head_bytes))
        generation, data = self.random.choice(self.old_heads)
        for link in relay.peers.links():
            try:
                with trio.move_on_after(1):
                    await link.notify(HeadNotice(generation, "", data))
            except LinkCut:
                continue

    async def kv_faults(self):
        faults = self.random.choice(
            [
                KvFaults(),
                KvFaults(),
                KvFaults(down=True),
                KvFaults(delay_s=0.5),
                KvFaults(lose_probability=0.3, drop_probability=0.2),
            ]
        )
        self.fleet.model.set_faults(faults)


class TestNeverReverts:
    @pytest.mark.parametrize("seed", range(4))
    async def test_history(self, autojump_clock, fleet_of, make_bundle_of, seed):
        """Nodes are cut off, frozen or restarted, relays send old heads, the KV service fails.

        If a node reverted to an older bundle, a limit that was lifted would apply again. At the
        end all faults are healed, and the last accepted generation is active on all nodes.
        """
        fleet = fleet_of(seed)
        await fleet.add(NODES)
        history = History(fleet, make_bundle_of)
        await history.roll()
        for _ in range(STEPS):
            await fleet.random.choice(history.steps)()
            await trio.sleep(fleet.random.uniform(0, 5))
        fleet.model.set_faults(KvFaults())
        await history.heal_node()
        await trio.sleep(1)
        await history.roll()
        await fleet.wait_everywhere(fleet.generation, within_s=17)
        await trio.sleep(1)
        assert fleet.generation > 3
        for generations in [
            *history.ended_generations,
            *(node.generations for node in fleet.nodes),
        ]:
            assert generations == sorted(set(generations))
        assert {node.service.in_force.digest for node in fleet.nodes} == {
            fleet.nodes[0].service.in_force.digest
        }
