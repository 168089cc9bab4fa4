"""Tests of the stand-ins of the VM list and the weight store with their HTTP clients."""

from __future__ import annotations

import httpx
import pytest
import trio

from sassafrastally.core import Address, FindingsError
from sassafrastally.stores import (
    HttpVmList,
    HttpWeightStore,
    PlatformUnavailable,
    VmListSettings,
    VmState,
)
from sassafrastally.stores.vm_list import encode_vm
from sassafrastally.testing.http_serving import serve_app
from sassafrastally.testing.vm_list import VmListFaults, VmListModel, load_vms, make_vm_list_app
from sassafrastally.testing.weight_store import WeightStoreModel, make_weight_store_app

LOOPBACK = Address("127.0.0.1", 0)
VM = VmState("sala-prado-1", "sidecar", "sala-prado", "uy-sur", Address("10.0.0.1", 7001))

VMS_TOML = """
[[vms]]
vm = "sala-prado-1"
role = "sidecar"
data_centre = "sala-prado"
region = "uy-sur"
peer_address = "10.0.0.1:7001"
"""


class TestVmListModel:
    async def test_a_change_shows_after_the_lag(self, autojump_clock: object) -> None:
        model = VmListModel([VM], lag_s=5.0)
        model.mark_leaving(VM.vm)
        await trio.sleep(4.9)
        assert await model.poll() == [VM]
        await trio.sleep(0.1)
        assert await model.poll() == [VM._replace(leaving=True)]
        model.remove(VM.vm)
        await trio.sleep(5.0)
        assert await model.poll() == []

    def test_a_file_gives_the_vms_at_the_start(self) -> None:
        assert load_vms(VMS_TOML, "vms.toml") == [VM]

    def test_a_wrong_file_is_reported_with_its_places(self) -> None:
        with pytest.raises(FindingsError, match=r"vms\[0\]\.peer_address"):
            load_vms(VMS_TOML.replace("10.0.0.1:7001", "prado"), "vms.toml")


class TestHttpVmList:
    async def test_the_client_follows_the_list(self) -> None:
        model = VmListModel([VM])
        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve_app, make_vm_list_app(model), LOOPBACK)
            client = HttpVmList(VmListSettings(address))
            assert await client.list_vms() == [VM]
            assert await client.list_vms() == [VM]
            async with httpx.AsyncClient(base_url=f"http://{address}") as operator:
                leaving = VM._replace(leaving=True)
                await operator.put(f"/vms/{VM.vm}", json=encode_vm(leaving))
                assert await client.list_vms() == [leaving]
                await operator.delete(f"/vms/{VM.vm}")
                assert await client.list_vms() == []
            model.faults = VmListFaults(down=True)
            with pytest.raises(PlatformUnavailable):
                await client.list_vms()
            await client.aclose()
            nursery.cancel_scope.cancel()

    async def test_an_unchanged_list_is_short(self) -> None:
        """Every node polls the list; sent whole each time it would take more of the network than
        a node may spend on control."""
        vms = [VM._replace(vm=f"vm-{number}") for number in range(1840)]
        async with trio.open_nursery() as nursery:
            app = make_vm_list_app(VmListModel(vms))
            address = await nursery.start(serve_app, app, LOOPBACK)
            async with httpx.AsyncClient(base_url=f"http://{address}") as client:
                first = await client.get("/vms")
                again = await client.get("/vms", headers={"If-None-Match": first.headers["ETag"]})
            nursery.cancel_scope.cancel()
        assert again.status_code == 304
        assert int(first.headers["Content-Length"]) < 30_000


class TestHttpWeightStore:
    async def test_loads_wait_for_their_turn(self) -> None:
        async with trio.open_nursery() as nursery:
            model = WeightStoreModel(loads_per_s=0.1)
            address = await nursery.start(serve_app, make_weight_store_app(model), LOOPBACK)
            client = HttpWeightStore(address, time_limit_s=2.0)
            assert await client.reserve_load("m", "1") == 0.0
            assert 9.0 < await client.reserve_load("m", "1") <= 10.0
            model.down = True
            with pytest.raises(PlatformUnavailable):
                await client.reserve_load("m", "1")
            await client.aclose()
            nursery.cancel_scope.cancel()
