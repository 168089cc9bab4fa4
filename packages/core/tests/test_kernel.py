"""Tests of service start and stop order and of lookup by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sassafrastally.core import Kernel, KernelError, Service

if TYPE_CHECKING:
    import trio


class Recorder(Service):
    """Service that records when it is started and stopped."""

    def __init__(self, name: str, needs: tuple[str, ...], calls: list[str]) -> None:
        self.name = name  # type: ignore[misc]
        self.needs = needs  # type: ignore[misc]
        self.calls = calls

    async def start(self, nursery: trio.Nursery) -> None:
        self.calls.append(f"start {self.name}")

    async def stop(self) -> None:
        self.calls.append(f"stop {self.name}")


class TestKernel:
    """`Kernel`."""

    async def test_services_start_in_dependency_order_and_stop_in_reverse(self):
        calls: list[str] = []
        kernel = Kernel("vm-1", "dc-1", seed=1)
        kernel.add(Recorder("b", ("a",), calls))
        kernel.add(Recorder("a", (), calls))
        kernel.request_stop()
        await kernel.run()
        assert calls == ["start a", "start b", "stop b", "stop a"]

    async def test_missing_dependency_is_reported(self):
        kernel = Kernel("vm-1", "dc-1", seed=1)
        kernel.add(Recorder("b", ("a",), []))
        with pytest.raises(KernelError, match="needs 'a'"):
            await kernel.run()

    async def test_dependency_cycle_is_reported(self):
        kernel = Kernel("vm-1", "dc-1", seed=1)
        kernel.add(Recorder("a", ("b",), []))
        kernel.add(Recorder("b", ("a",), []))
        with pytest.raises(KernelError, match="cycle"):
            await kernel.run()

    async def test_duplicate_name_is_rejected(self):
        kernel = Kernel("vm-1", "dc-1", seed=1)
        kernel.add(Recorder("a", (), []))
        with pytest.raises(KernelError, match="taken"):
            kernel.add(Recorder("a", (), []))

    async def test_second_stop_request_sets_hurrying(self):
        kernel = Kernel("vm-1", "dc-1", seed=1)
        kernel.request_stop()
        assert not kernel.hurrying.is_set()
        kernel.request_stop()
        assert kernel.hurrying.is_set()
