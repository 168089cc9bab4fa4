"""Client of the platform's VM list.

``GET /vms`` returns a JSON object ``{"vms": [...]}``; each entry has the fields of `VmState`, with
the peer address as ``IP:port``. At the target size the list has about 1,840 entries, and sending it
in full at each poll would exceed a node's share of the network many times over. The client
therefore accepts gzip and sends ``If-None-Match``; an unchanged list is a short ``304`` response.

An entry with a field that is missing, of the wrong type or out of range is ignored, and the entries
beside it are used.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypedDict

import httpx
import trio

from sassafrastally.core import Address, is_ip_address
from sassafrastally.core.json_documents import load_pruned_json
from sassafrastally.stores.bounded_transport import BoundedTransport
from sassafrastally.stores.ignored_entries import IgnoredEntries
from sassafrastally.stores.interfaces import PlatformUnavailable, VmState

if TYPE_CHECKING:
    from sassafrastally.stores.settings import VmListSettings

VMS_PATH = "/vms"

MAX_NAME_BYTES = 255
"""Maximum length of a name; claims and handshakes carry no longer ones."""

MAX_PORT_DIGITS = 5
MAX_PORT = 65535


class VmLine(TypedDict):
    """JSON object of a VM."""

    vm: str
    role: str
    data_centre: str
    region: str
    peer_address: str
    leaving: bool


class HttpVmList:
    """`VmList` implementation over HTTP.

    Parameters
    ----------
    settings
        Address and time limit.
    ignored
        Reports the entries that can't be decoded.
    """

    def __init__(self, settings: VmListSettings, ignored: IgnoredEntries | None = None) -> None:
        self._time_limit_s = settings.call_time_limit_s
        self._ignored = ignored or IgnoredEntries()
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
            vms = self._decode(response.content)
        except (httpx.HTTPError, trio.TooSlowError) as cause:
            raise PlatformUnavailable(f"the VM list doesn't respond: {cause!r}") from cause
        except (KeyError, TypeError, ValueError) as cause:
            raise PlatformUnavailable(f"invalid response from the VM list: {cause!r}") from cause
        self._etag = response.headers.get("ETag", "")
        self._last = vms
        return list(vms)

    def _decode(self, body: bytes) -> list[VmState]:
        """Return the VMs of a response; one whose entry can't be decoded keeps its last state.

        The links tell whether such a VM is still there. Without its last state, the process would
        give up a sound VM because its entry was spoiled.
        """
        lines = load_pruned_json(body)["vms"]
        if not isinstance(lines, list):
            raise TypeError("vms is not a list")
        last = {state.vm: state for state in self._last}
        states: dict[str, VmState] = {}
        spoiled: dict[str, VmState] = {}
        for line in lines:
            try:
                state = decode_vm(line)
                states[state.vm] = state
            except (KeyError, TypeError, ValueError) as cause:
                name = line.get("vm") if isinstance(line, dict) else None
                self._ignored.add("vm list", name, cause)
                if isinstance(name, str) and name in last:
                    spoiled[name] = last[name]
        return list((spoiled | states).values())


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


def decode_vm(line: Any) -> VmState:
    """Decode a VM from JSON; raises `KeyError`, `TypeError` or `ValueError` if it is invalid."""
    if not isinstance(line, dict):
        raise TypeError("not a JSON object")
    leaving = line.get("leaving", False)
    if not isinstance(leaving, bool):
        raise TypeError("leaving is neither true nor false")
    return VmState(
        vm=_name(line, "vm"),
        role=_name(line, "role"),
        data_centre=_name(line, "data_centre"),
        region=_name(line, "region"),
        peer_address=_address(line["peer_address"]),
        leaving=leaving,
    )


def _name(line: dict[str, Any], field: str) -> str:
    value = line[field]
    if not isinstance(value, str) or not value.isprintable():
        raise TypeError(f"{field} is not a printable text")
    if not 0 < len(value.encode()) <= MAX_NAME_BYTES:
        raise ValueError(f"{field} has not 1 to {MAX_NAME_BYTES} bytes")
    return value


def _address(value: object) -> Address:
    if not isinstance(value, str):
        raise TypeError("peer_address is not a text")
    host, _, port = value.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not is_ip_address(host):
        raise ValueError("peer_address is not that of an IP address")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not (is_number and 0 < int(port) <= MAX_PORT):
        raise ValueError("peer_address has no valid port")
    return Address(host, int(port))
