"""The VM list with entries that are odd: nested, out of range, of the wrong type."""

from __future__ import annotations

import json
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING, Any

import pytest
import trio

from sassafrastally.core import Address, Kernel
from sassafrastally.stores import (
    HttpVmList,
    PlatformService,
    PlatformUnavailable,
    VmListSettings,
    VmState,
)
from sassafrastally.stores.ignored_entries import MAX_REPORTED, IgnoredEntries

if TYPE_CHECKING:
    from collections.abc import Iterator

SOUND = {
    "vm": "sala-prado-1",
    "role": "sidecar",
    "data_centre": "sala-prado",
    "region": "uy-sur",
    "peer_address": "10.0.0.1:7001",
    "leaving": False,
}
SOUND_STATE = VmState("sala-prado-1", "sidecar", "sala-prado", "uy-sur", Address("10.0.0.1", 7001))

ODD_ADDRESSES: list[object] = [
    "10.0.0.2",
    "10.0.0.2:",
    "10.0.0.2:0",
    "10.0.0.2:-1",
    "10.0.0.2:65536",
    "10.0.0.2:7_0",
    "10.0.0.2: 80",
    "10.0.0.2:٨٠",
    "10.0.0.2:" + "9" * 5000,
    "prado:7001",
    ":7001",
    "[]:7001",
    "10.0.0.256:7001",
    "10.0.0.2\0:7001",
    "\ud800:7001",
    "x" * 100_000 + ":7001",
    "",
    None,
    80,
    True,
    ["10.0.0.2:7001"],
    {"host": "10.0.0.2"},
]

ODD_FIELDS: list[dict[str, object]] = [
    *({"peer_address": address} for address in ODD_ADDRESSES),
    *(
        {name: value}
        for name in ("vm", "role", "data_centre", "region")
        for value in (None, 1, True, "", "\ud800", "a\0b", "n" * 300, [], {})
    ),
    *({"leaving": value} for value in (None, 1, "false", [], 1e400)),
]

NESTED = b"[" * 30_000 + b"]" * 30_000
NESTED_OBJECTS = b'{"]":' * 30_000 + b'"}[\\""' + b"}" * 30_000
ODD_BYTES = [
    NESTED,
    NESTED_OBJECTS,
    b"9" * 5000,
    b"-" + b"9" * 5000,
    b"1e400",
    b"NaN",
    b"null",
    b'"text"',
    b"{}",
    b'{"vm": "odd-1", "vm": "odd-2", "peer_address": {"a": ' + NESTED + b"}}",
    json.dumps(SOUND).encode().replace(b"sala-prado-1", b"sala-\xff-1"),
    json.dumps(SOUND).encode().replace(b'"10.0.0.1:7001"', b"9" * 5000),
]
"""JSON of odd entries, with some that aren't UTF-8."""


def odd_entries() -> Iterator[bytes]:
    yield from ODD_BYTES
    for number, fields in enumerate(ODD_FIELDS):
        yield json.dumps({**SOUND, "vm": f"odd-{number}", **fields}).encode()
    for name in set(SOUND) - {"leaving"}:
        yield json.dumps({key: value for key, value in SOUND.items() if key != name}).encode()


def list_of(*entries: bytes) -> bytes:
    return b'{"vms": [' + b", ".join(entries) + b"]}"


SOUND_BYTES = json.dumps(SOUND).encode()


class ListServer:
    """A VM list that answers each poll with the present body."""

    def __init__(self, body: bytes) -> None:
        self.body = body

    async def serve(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            while await stream.receive_some(65536):
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n\r\n"
                await stream.send_all(head.encode() + self.body)


@pytest.fixture
def server() -> ListServer:
    """Return a list with one sound VM."""
    return ListServer(list_of(SOUND_BYTES))


@pytest.fixture
async def address(server: ListServer, nursery: trio.Nursery) -> Address:
    """Return the address of the list."""
    serve = partial(trio.serve_tcp, server.serve, 0, host="127.0.0.1")
    [listener] = await nursery.start(serve)
    return Address("127.0.0.1", listener.socket.getsockname()[1])


class Reader:
    """A process that reads the list."""

    def __init__(self, address: Address) -> None:
        ignored = IgnoredEntries()
        self.kernel = Kernel("entry-1", "sala-prado")
        self.vm_list = HttpVmList(VmListSettings(address), ignored)
        self.kernel.add(PlatformService(Any, self.vm_list, ignored=ignored))  # type: ignore[arg-type]

    def reports(self) -> list[dict[str, Any]]:
        records = self.kernel.events.records()
        return [record["fields"] for record in records if record["name"] == "EntryIgnored"]


class TestOddVms:
    """Odd entries of the list beside sound ones."""

    async def test_each_is_ignored_and_the_sound_one_beside_it_used(
        self, server: ListServer, address: Address
    ) -> None:
        """Guards against processes that end, or stop following the list, by one odd entry.

        A nested entry ended the process that read it, and a host that can't be encoded the one that
        dialled it. A missing field or a port that is no number made the whole list invalid.
        """
        reader = Reader(address)
        for entry in odd_entries():
            for body in (list_of(entry, SOUND_BYTES), list_of(SOUND_BYTES, entry)):
                server.body = body
                assert await reader.vm_list.list_vms() == [SOUND_STATE], entry[:200]

    async def test_many_at_once_are_reported_within_a_bound(
        self, server: ListServer, address: Address
    ) -> None:
        """Guards against a log that grows with each poll, or with each odd entry."""
        reader = Reader(address)
        server.body = list_of(*odd_entries(), SOUND_BYTES, *odd_entries())
        for _ in range(3):
            assert await reader.vm_list.list_vms() == [SOUND_STATE]
        count = len(reader.reports())
        assert 0 < count <= MAX_REPORTED
        for number in range(2 * MAX_REPORTED):
            odd = json.dumps({**SOUND, "vm": f"vm-{number}", "peer_address": "x"}).encode()
            server.body = list_of(odd, SOUND_BYTES)
            assert await reader.vm_list.list_vms() == [SOUND_STATE]
        assert len(reader.reports()) == MAX_REPORTED
        assert all(len(str(report)) < 1000 for report in reader.reports())

    async def test_a_known_vm_whose_entry_turns_odd_keeps_its_last_sound_one(
        self, server: ListServer, address: Address
    ) -> None:
        """Guards against a fleet that loses sound VMs because the list spoils their entries."""
        reader = Reader(address)
        assert await reader.vm_list.list_vms() == [SOUND_STATE]
        spoiled = json.dumps({**SOUND, "peer_address": "10.0.0.1:70000"}).encode()
        leaving = json.dumps({**SOUND, "leaving": True}).encode()
        left = SOUND_STATE._replace(leaving=True)
        for body, expected in (
            (list_of(spoiled), [SOUND_STATE]),
            (list_of(leaving), [left]),
            (list_of(spoiled, NESTED), [left]),
            (list_of(), []),
            (list_of(spoiled), []),
            (list_of(spoiled, SOUND_BYTES), [SOUND_STATE]),
        ):
            server.body = body
            assert await reader.vm_list.list_vms() == expected
        assert [report["entry"] for report in reader.reports()].count("sala-prado-1") == 1

    @pytest.mark.parametrize(
        "body",
        [
            b"[" * 30_000,
            NESTED,
            b'{"vms": ' + NESTED_OBJECTS + b"}",
            b'{"vms": 5}',
            b'{"vms": {"vm": "a"}}',
            b"9" * 5000,
            b"\xff\xfe",
            b"",
            b"[" * 2_000_000,
        ],
        ids=lambda body: f"{body[:12]!r}-{len(body)}",
    )
    async def test_a_document_that_is_no_list_is_an_outage(
        self, server: ListServer, address: Address, body: bytes
    ) -> None:
        """Guards against processes that end by a spoiled answer of the VM list."""
        reader = Reader(address)
        server.body = body
        with pytest.raises(PlatformUnavailable):
            await reader.vm_list.list_vms()
        server.body = b"\xef\xbb\xbf" + list_of(SOUND_BYTES)
        assert await reader.vm_list.list_vms() == [SOUND_STATE]
