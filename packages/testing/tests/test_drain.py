"""Backend servers leave when a bundle says so."""

from __future__ import annotations

import trio

from sassafrastally.control.bundle import Bundle, Customer, Drain, Model
from sassafrastally.core import Service
from sassafrastally.testing.deployment import (
    DeploymentShape,
    VmSpec,
    key_digest,
    open_deployment,
)
from sassafrastally.testing.network import MemoryNetwork

BUNDLE = Bundle("b", (Model("small", "1", 100_000),), (Customer("c", (key_digest("k"),)),))
SHAPE = DeploymentShape(
    (VmSpec("entry-1", "entry"), VmSpec("model-1", "sidecar"), VmSpec("model-2", "sidecar")), BUNDLE
)


class TestDrain:
    """Promise: a backend server that is leaving receives no new work after a few seconds."""

    async def test_entry_and_sidecar_heed_the_bundle_each_by_itself(self, autojump_clock: object):
        """Requests still reach a server that operators have drained.

        A bundle that lists the VM is rolled; the VM list doesn't show it as leaving. The entry
        must pass it over, and the sidecar must refuse also an entry that hasn't heard.
        """
        async with open_deployment(SHAPE, MemoryNetwork(latency_s=0.001)) as deployment:
            await trio.sleep(5)
            entry, sidecar = (deployment.node(vm).kernel for vm in ("entry-1", "model-2"))
            assert not entry.get("membership", Service).is_leaving("model-2")
            # Cut off, so that the entry can't learn it from the sidecar's own report.
            deployment.memory_network.partition("entry-1", "model-2")
            await deployment.roll(BUNDLE._replace(drain=Drain(("model-2",))))
            await trio.sleep(5)
            assert entry.get("membership", Service).is_leaving("model-2")
            assert not entry.get("membership", Service).is_leaving("model-1")
            assert sidecar.get("sidecar", Service).leaving.is_leaving
