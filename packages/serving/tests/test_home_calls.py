"""Tests of claims and limits over real peer links between entries."""

from __future__ import annotations

from contextlib import AsyncExitStack
from random import Random

import trio

from sassafrastally.control.bundle import Bundle, BundleInForce, Customer
from sassafrastally.core import Address, Clock, Kernel
from sassafrastally.core.secret import Secret
from sassafrastally.serving.claims import ClaimService
from sassafrastally.serving.limits import LimitService
from sassafrastally.serving.refusals import Refusal
from sassafrastally.stores.interfaces import VmState
from sassafrastally.stores.service import PlatformService
from sassafrastally.testing.claim_fleet import BODY, NAMES, placement
from sassafrastally.testing.entry_fleet import EPOCH_S, FakeBundle, FakeMembership
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.kv_model import KvModel
from sassafrastally.testing.network import MemoryNetwork
from sassafrastally.wire.peers import PeerService
from sassafrastally.wire.settings import PeerSettings


class TestRealLinks:
    async def test_claims_and_limits_over_links(self, nursery, autojump_clock):
        """Linked entries agree on a claimed key and share the concurrency limit of a customer."""
        kernels = await _linked_entries(nursery, MemoryNetwork(0.001), CONCURRENT)
        for number in range(10):
            results = []
            for index, kernel in enumerate(kernels):
                claims = kernel.get("claims", ClaimService)
                new = placement(10 * number + index)
                results.append(await claims.claim("yeso", f"k{number}", BODY, new, 5.0))
            assert [result.is_granted for result in results] == [True, False, False]
        refused = 0
        async with AsyncExitStack() as stack:
            for kernel in (*kernels, *kernels):
                try:
                    limits = kernel.get("limits", LimitService)
                    await stack.enter_async_context(limits.admit(CONCURRENT, 1))
                except Refusal:
                    refused += 1
        assert refused == 2

    async def test_more_calls_than_a_link_has_streams(self, nursery, autojump_clock):
        """A paused home must not fail requests when its link runs out of streams.

        Hundreds of requests arrive during the pause and use up all streams of the link. All of them
        must proceed without the home instead of failing with a link error.
        """
        network = MemoryNetwork(0.001)
        kernels = await _linked_entries(nursery, network, CONCURRENT)
        services = [kernel.get("claims", ClaimService) for kernel in kernels]
        for index, service in enumerate(services):
            await service.claim("yeso", f"warm{index}", BODY, placement(2000 + index), 5.0)
        for number in (1, 2):
            network.freeze(Address("10.0.0.1", 9000 + number))
        async with trio.open_nursery() as claiming:
            for number in range(900):
                claiming.start_soon(_claim_and_admit, kernels[0], number)


CONCURRENT = Customer("yeso", (), max_concurrent=4)


async def _claim_and_admit(kernel, number):
    result = await kernel.get("claims", ClaimService).claim(
        "yeso", f"k{number}", BODY, placement(number), 10.0
    )
    assert result.is_granted
    customer = CONCURRENT._replace(name=f"c{number}")
    async with kernel.get("limits", LimitService).admit(customer, 1):
        pass


async def _linked_entries(nursery, network, customer):
    customers = (customer, *(customer._replace(name=f"c{number}") for number in range(900)))
    bundle = BundleInForce(1, "00" * 32, Bundle("b", (), customers))
    model = KvModel(Random(1))
    states = [
        VmState(name, "entry", "dc", "region", Address("10.0.0.1", 9000 + number))
        for number, name in enumerate(NAMES)
    ]
    kernels = []
    for state in states:
        kernel = Kernel(state.vm, "dc", Clock(epoch_s=EPOCH_S), seed=state.peer_address.port)
        links = PeerSettings(state.peer_address, Secret("s" * 16))
        kernel.add(PeerService(links, network.host(state.vm), "entry"))
        kernel.add(FakeMembership(NAMES)).vms = lambda role: states
        kernel.add(FakeBundle(bundle))
        kernel.add(PlatformService(FakeKv(model), None))
        kernel.add(ClaimService())
        kernel.add(LimitService())
        await nursery.start(kernel.run)
        kernels.append(kernel)
    return kernels
