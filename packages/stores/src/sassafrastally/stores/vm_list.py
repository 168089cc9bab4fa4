"""Client of the platform's VM list.

``GET /vms`` returns a JSON object ``{"vms": [...]}``; each entry has the fields of `VmState`, with
the peer address as ``IP:port``. At the target size the list has about 1,840 entries, and sending it
in full at each poll would exceed a node's share of the network many times over. The client
therefore accepts gzip and sends ``If-None-Match``; an unchanged list is a short ``304`` response.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypedDict

import httpx
import trio

from sassafrastally.core import Address
from sassafrastally.stores.bounded_transport import BoundedTransport
from sassafrastally.stores.interfaces import PlatformUnavailable, VmState

if TYPE_CHECKING:
    from sassafrastally.stores.settings import VmListSettings

VMS_PATH = "/vms"


class VmLine(TypedDict):
    """JSON object of a VM."""

    vm: str
    role: str
    data_centre: str
    region: str
    peer_address: str
    leaving: bool


class HttpVmList:
    """`VmList` implementation over HTTP."""

    def __init__(self, settings: VmListSettings) -> None:
        self._time_limit_s = settings.call_time_limit_s
        self._etag = ""
        self._last: list[VmState] = []
        self._client = httpx.AsyncClient(
            base_url=f"http://{settings.address}",
            timeout=None,
            transport=BoundedTransport(),
            trust_env=False,
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def list_vms(self) -> list[VmState]:
        """Return the running and leaving VMs; raises `PlatformUnavailable`."""
        try:
            with trio.fail_after(self._time_limit_s):
                headers = {"If-None-Match": self._etag} if self._etag else {}
                response = await self._client.get(VMS_PATH, headers=headers)
            if self._etag and response.status_code == httpx.codes.NOT_MODIFIED:
                return list(self._last)
            response.raise_for_status()
            vms = [decode_vm(line) for line in response.json()["vms"]]
        except (httpx.HTTPError, trio.TooSlowError) as cause:
            raise PlatformUnavailable(f"the VM list doesn't respond: {cause!r}") from cause
        except (KeyError, TypeError, ValueError) as cause:
            raise PlatformUnavailable(f"invalid response from the VM list: {cause!r}") from cause
        self._etag = response.headers.get("ETag", "")
        self._last = vms
        return list(vms)


def encode_vm(state: VmState) -> VmLine:
    """Encode a VM as JSON."""
    return VmLine(
        vm=state.vm,
        role=state.role,
        data_centre=state.data_centre,
        region=state.region,
        peer_address=str(state.peer_address),
        leaving=state.leaving,
    )


def decode_vm(line: dict[str, Any]) -> VmState:
    """Decode a VM from JSON; raises `KeyError` or `ValueError` if it is invalid."""
    host, _, port = str(line["peer_address"]).rpartition(":")
    return VmState(
        vm=str(line["vm"]),
        role=str(line["role"]),
        data_centre=str(line["data_centre"]),
        region=str(line["region"]),
        peer_address=Address(host.strip("[]"), int(port)),
        leaving=bool(line.get("leaving", False)),
    )
