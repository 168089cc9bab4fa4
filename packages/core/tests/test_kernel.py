"""Services start in order of need, stop in reverse and find each other by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from sassafrastally.core import Kernel, KernelError, Service

if TYPE_CHECKING:
    import trio


class Recorder(Service):
    """Notes when it is started and stopped."""

    def __init__(self, name: str, needs: tuple[str, ...], notes: list[str]) -> None:
        self.name = name  # type: ignore[misc]
        self.needs = needs  # type: ignore[misc]
        self.notes = notes

    async def start(self, nursery: trio.Nursery) -> None:
        self.notes.append(f"start {self.name}")

    async def stop(self) -> None:
        self.notes.append(f"stop {self.name}")


class TestKernel:
    """`Kernel`."""

    async def test_services_start_in_order_of_need_and_stop_in_reverse(self):
        notes: list[str] = []
        kernel = Kernel("vm-1", "dc-1", seed=1)
        kernel.add(Recorder("b", ("a",), notes))
        kernel.add(Recorder("a", (), notes))
        kernel.request_stop()
        await kernel.run()
        assert notes == ["start a", "start b", "stop b", "stop a"]

    async def test_missing_need_is_named(self):
        kernel = Kernel("vm-1", "dc-1", seed=1)
        kernel.add(Recorder("b", ("a",), []))
        with pytest.raises(KernelError, match="needs 'a'"):
            await kernel.run()

    async def test_cycle_is_named(self):
        kernel = Kernel("vm-1", "dc-1", seed=1)
        kernel.add(Recorder("a", ("b",), []))
        kernel.add(Recorder("b", ("a",), []))
        with pytest.raises(KernelError, match="cycle"):
            await kernel.run()

    async def test_name_can_be_taken_once(self):
        kernel = Kernel("vm-1", "dc-1", seed=1)
        kernel.add(Recorder("a", (), []))
        with pytest.raises(KernelError, match="taken"):
            kernel.add(Recorder("a", (), []))

    async def test_second_request_to_stop_asks_to_hurry(self):
        kernel = Kernel("vm-1", "dc-1", seed=1)
        kernel.request_stop()
        assert not kernel.hurrying.is_set()
        kernel.request_stop()
        assert kernel.hurrying.is_set()
