"""Odd records of another writer among those of placement in the KV service."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import pytest
import trio

from sassafrastally.control.bundle import Bundle, Customer, Model
from sassafrastally.control.lease_holder import decode_fence
from sassafrastally.control.placement import PlacementService
from sassafrastally.control.placement_record import (
    KEYS,
    PART_PREFIX,
    PARTS,
    part_key,
    part_of,
    read_line,
)
from sassafrastally.control.placement_settings import PlacementSettings
from sassafrastally.sidecar.placement_agent import PlacementAgent, PlacementAgentSettings
from sassafrastally.stores import ANY_REVISION, KvWrite
from sassafrastally.testing.deployment import Deployment, DeploymentShape, VmSpec, key_digest
from sassafrastally.testing.engine_model import EngineShape
from sassafrastally.testing.kv_fake import FakeKv
from sassafrastally.testing.network import MemoryNetwork

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sassafrastally.core import Kernel, Service

ODD_FENCES = [
    b"",
    b"\xff",
    b"[]",
    b"{}",
    b"[" * 1_000,
    *(
        json.dumps({"number": number, "vm": "x", "token": "x"}).encode()
        for number in (-5, 2**64, 2**63, 10**400, True, None, "1", 1.5, 1e400, [])
    ),
    b'{"number": 1, "vm": "\\ud800", "token": "x"}',
]
ODD_PARTS = [
    b"",
    b"\xff",
    b"[]",
    b"[" * 30_000 + b"]" * 30_000,
    b'{"lines": ' + b"9" * 5_000 + b"}",
    b'{"lines": [{"vm": "\\ud800"}]}',
    b'{"lines": [{"vm": 5}]}',
    b'{"lines": [{"vm": "engine-0", "models": [{"model": "a", "version": "1", "name": []}]}]}',
    b'{"lines": "' + b"x" * 900_000 + b'"}',
]


def bundle(number: str) -> Bundle:
    customers = (Customer("one", (key_digest("key"),)),)
    return Bundle("test", (Model("reader", number, 10_000, 2),), customers)


class PlacedDeployment(Deployment):
    """A deployment whose processes run placement."""

    async def _build(self, spec: VmSpec) -> Kernel:
        kernel = await super()._build(spec)
        service: Service = PlacementService(PlacementSettings())
        if spec.role == "sidecar":
            service = PlacementAgent(PlacementAgentSettings(), self.engine_clients.get(spec.vm))
        if not kernel.has(service.name):
            kernel.add(service)
        return kernel

    def put(self, key: str, value: bytes | None) -> None:
        """Write as another writer does."""
        self.kv.transact([KvWrite(key, value, ANY_REVISION)])

    def unreadable(self) -> list[str]:
        """Return the details of all reports of malformed records."""
        return [
            record["fields"]["detail"]
            for node in self.nodes.values()
            for record in node.kernel.events.records()
            if record["name"] == "PlacementUnreadable"
        ]

    async def wait_versions(self, name: str) -> None:
        """Wait until every engine runs exactly this model."""
        with trio.fail_after(300.0):
            while {engine.placement.models for engine in self.engines.values()} != {(name,)}:
                await trio.sleep(0.25)


@asynccontextmanager
async def deployed() -> AsyncIterator[PlacedDeployment]:
    vms = [VmSpec(f"entry-{i}", "entry") for i in range(2)]
    vms += [VmSpec(f"engine-{i}", "sidecar") for i in range(3)]
    shape = DeploymentShape(tuple(vms), bundle("1"), EngineShape(models=("reader@1",)))
    async with trio.open_nursery() as nursery:
        deployment = PlacedDeployment(shape, nursery, MemoryNetwork(0.001))
        await deployment.roll(shape.bundle)
        for spec in vms:
            await deployment.start(spec.vm)
        yield deployment
        nursery.cancel_scope.cancel()


class TestOddFence:
    @pytest.mark.parametrize("odd", ODD_FENCES, ids=range(len(ODD_FENCES)))
    async def test_an_odd_fence_ends_no_entry_until_it_is_mended(
        self, autojump_clock: Any, odd: bytes
    ) -> None:
        """Guards against entries that end one after the other by a fence of another writer.

        A number that no order can carry raised an error in the task of each holder in turn.
        """
        async with deployed() as deployment:
            deployment.put(KEYS.fence, odd)
            await trio.sleep(120.0)
            assert 1 <= len(deployment.unreadable()) <= 2
            assert all(len(detail) < 2_000 for detail in deployment.unreadable())
            deployment.put(KEYS.fence, b'{"number": 7, "vm": "x", "token": "x"}')
            await deployment.roll(bundle("2"))
            await deployment.wait_versions("reader@2")
            entry = deployment.kv.range(KEYS.fence)
            assert entry is not None
            assert decode_fence(entry.value).number >= 8


class TestOddHolder:
    async def test_an_entry_without_a_lease_holds_no_placement(self, autojump_clock: Any) -> None:
        """Guards against models that are never placed.

        An entry of another writer under the holder's key never expires, and no process became the
        holder while it was there.
        """
        async with deployed() as deployment:
            deployment.put(KEYS.holder, b"\xff")
            await deployment.roll(bundle("2"))
            await deployment.wait_versions("reader@2")


class TestOddParts:
    @pytest.mark.parametrize("odd", ODD_PARTS, ids=range(len(ODD_PARTS)))
    async def test_odd_parts_stop_no_change_of_models(
        self, autojump_clock: Any, odd: bytes
    ) -> None:
        """Guards against a placement that stops for all engines by one odd part of its record."""
        async with deployed() as deployment:
            for index in range(PARTS):
                deployment.put(part_key(index), odd)
            for key in (PART_PREFIX + "99", PART_PREFIX + "odd", PART_PREFIX + "00/1"):
                deployment.put(key, odd)
            await deployment.roll(bundle("2"))
            await deployment.wait_versions("reader@2")
            assert 0 < len(deployment.unreadable()) <= PARTS
            assert all(len(detail) < 1_000 for detail in deployment.unreadable())
            for vm in deployment.engines:
                recorded = await read_line(FakeKv(deployment.kv), vm)
                assert recorded.line is not None

    async def test_a_line_in_the_part_of_another_engine_is_ignored(
        self, autojump_clock: Any
    ) -> None:
        """Guards against an engine that gets the models of a line outside of its part."""
        vm = "engine-0"
        odd = {"lines": [{"vm": vm, "models": [], "role": "odd"}]}
        async with deployed() as deployment:
            for index in range(PARTS):
                if index != part_of(vm):
                    deployment.put(part_key(index), json.dumps(odd).encode())
            deployment.put(PART_PREFIX + "99", json.dumps(odd).encode())
            await deployment.roll(bundle("2"))
            await deployment.wait_versions("reader@2")
            assert deployment.engines[vm].placement.role == "general"
