"""A model of the platform's VM list, in process and over HTTP.

The list lags: a change shows after `VmListModel.lag_s`. Over HTTP, ``GET /vms`` is the list,
``PUT /vms/NAME`` sets a VM, ``DELETE /vms/NAME`` removes it and ``POST /faults`` sets the
`VmListFaults`.
"""

from __future__ import annotations

import argparse
import gzip
import json
import tomllib
from functools import partial
from hashlib import blake2b
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import trio
from quart import Response, request
from quart_trio import QuartTrio

from sassafrastally.core import Finding, FindingsError, Place
from sassafrastally.core.settings import check_table
from sassafrastally.stores import PlatformUnavailable, VmState
from sassafrastally.stores.vm_list import VMS_PATH, decode_vm, encode_vm
from sassafrastally.testing.http_serving import run_program, serve_app
from sassafrastally.testing.listen_option import add_listen_option

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrastally.core import Address

Answer = tuple[dict[str, Any], int]
"""JSON body and HTTP status."""


ETAG_BYTES = 8


class VmListFaults(NamedTuple):
    """Switches of the faults."""

    down: bool = False
    """Every poll fails."""
    delay_s: float = 0.0
    """Time that each poll takes."""


class _Version(NamedTuple):
    since_s: float
    vms: dict[str, VmState]


class VmListModel:
    """The VMs and what of them shows already.

    Parameters
    ----------
    vms
        VMs that show from the start.
    lag_s
        Time after which a change shows.
    """

    def __init__(self, vms: Iterable[VmState] = (), lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.faults = VmListFaults()
        self.polls = 0
        """Polls since the start."""
        self._versions = [_Version(float("-inf"), {state.vm: state for state in vms})]

    def put(self, state: VmState) -> None:
        """Add a VM or change it."""
        self._change({**self._versions[-1].vms, state.vm: state})

    def mark_leaving(self, vm: str) -> None:
        """Mark a VM as leaving."""
        self.put(self._versions[-1].vms[vm]._replace(leaving=True))

    def remove(self, vm: str) -> None:
        """Remove a VM."""
        vms = self._versions[-1].vms
        self._change({name: state for name, state in vms.items() if name != vm})

    async def poll(self) -> list[VmState]:
        """Return the VMs that show now; raises `PlatformUnavailable` when the list is down."""
        self.polls += 1
        await trio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise PlatformUnavailable("the VM list is down")
        seen_s = trio.current_time() - self.lag_s
        while len(self._versions) > 1 and self._versions[1].since_s <= seen_s:
            del self._versions[0]
        return sorted(self._versions[0].vms.values())

    def _change(self, vms: dict[str, VmState]) -> None:
        self._versions.append(_Version(trio.current_time(), vms))


class FakeVmList:
    """The VM list in process."""

    def __init__(self, model: VmListModel) -> None:
        self.model = model

    async def list_vms(self) -> list[VmState]:
        """Return the live and leaving VMs; raises `PlatformUnavailable`."""
        return await self.model.poll()


def make_vm_list_app(model: VmListModel) -> QuartTrio:
    """Return the HTTP application of a model."""
    app = QuartTrio(__name__)
    app.add_url_rule(VMS_PATH, "list", partial(_list, model), methods=["GET"])
    app.add_url_rule(f"{VMS_PATH}/<name>", "put", partial(_put, model), methods=["PUT"])
    app.add_url_rule(f"{VMS_PATH}/<name>", "remove", partial(_remove, model), methods=["DELETE"])
    app.add_url_rule("/faults", "faults", partial(_set_faults, model), methods=["POST"])
    return app


def load_vms(text: str, file: str) -> list[VmState]:
    """Return the VMs of a TOML file with an array of tables ``vms``.

    Raises
    ------
    FindingsError
        With everything that is wrong in the file.
    """
    vms: list[VmState] = []
    findings: list[Finding] = []
    for number, table in enumerate(tomllib.loads(text).get("vms", [])):
        state, problems = check_table(table, VmState)
        place = f"vms[{number}]"
        findings += [Finding(Place(file, 0, f"{place}.{key}"), why) for key, why in problems]
        vms += [state] if state else []
    if findings:
        raise FindingsError(findings)
    return vms


def main() -> None:
    """Run the stand-in as a program."""
    parser = argparse.ArgumentParser(description="Stand-in of the VM list.")
    add_listen_option(parser)
    parser.add_argument("--file", type=Path, help="TOML file with the VMs at the start")
    parser.add_argument("--lag-s", type=float, default=0.0, help="time until a change shows")
    options = parser.parse_args()
    vms = load_vms(options.file.read_text(), options.file.name) if options.file else []
    run_program(partial(_serve, options.listen, vms, options.lag_s))


async def _serve(address: Address, vms: list[VmState], lag_s: float) -> None:
    await serve_app(make_vm_list_app(VmListModel(vms, lag_s)), address)


async def _list(model: VmListModel) -> Response | Answer:
    try:
        vms = await model.poll()
    except PlatformUnavailable as cause:
        return {"problem": cause.detail}, 503
    body = json.dumps({"vms": [encode_vm(state) for state in vms]}).encode()
    etag = f'"{blake2b(body, digest_size=ETAG_BYTES).hexdigest()}"'
    if request.headers.get("If-None-Match") == etag:
        return Response(b"", status=304, headers={"ETag": etag})
    headers = {"ETag": etag, "Content-Type": "application/json"}
    if "gzip" in request.headers.get("Accept-Encoding", ""):
        headers["Content-Encoding"] = "gzip"
        body = gzip.compress(body, mtime=0)
    return Response(body, headers=headers)


async def _put(model: VmListModel, name: str) -> Answer:
    try:
        state = decode_vm({**await request.get_json(force=True), "vm": name})
    except (KeyError, TypeError, ValueError) as cause:
        return {"problem": repr(cause)}, 400
    model.put(state)
    return dict(encode_vm(state)), 200


async def _remove(model: VmListModel, name: str) -> Answer:
    model.remove(name)
    return {}, 200


async def _set_faults(model: VmListModel) -> Answer:
    faults, problems = check_table(await request.get_json(force=True), VmListFaults)
    if faults is None:
        return {"problems": [f"{key}: {message}" for key, message in problems]}, 400
    model.faults = faults
    return dict(faults._asdict()), 200


if __name__ == "__main__":
    main()
