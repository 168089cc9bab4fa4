"""Hundreds of odd records at once, and records that turn odd and sound in quick succession."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any

import trio

from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.stand_ins.platform_fleet import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

PREFIXES = ("servers/", "entries/", "quarantine/", "op/evacuate/", "op/", "odd/")
NESTED = b"[" * 30_000 + b"]" * 30_000
SERVER: dict[str, Any] = {
    "service": "desk",
    "address": "127.20.0.9:8080",
    "zone": "elsewhere",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldLeftMs": 0,
    "seqNo": 0,
}
ODD_ADDRESSES = (
    "127.20.0.9:0",
    "127.20.0.9:-1",
    "127.20.0.9:65536",
    "127.20.0.9:" + "9" * 5_000,
    "127.20.0.9:٨٠",
    "[::1]:80",
    "desk:80",
    "\ud800:80",
    "\0:80",
    ":80",
    "",
)
ODD_VALUES = (True, -1, 2**64, 10**400, 1e400, float("nan"), "80", None, [], {})


def odd_values() -> Iterator[bytes]:
    """Yield values that no writer of the system or of the platform writes."""
    yield from (b"", b"\0", b"\xff\xfe", b"\xef\xbb\xbf{}", b"null", b"[]", b"{}", NESTED)
    yield from (b"9" * 5_000, b'{"slots": ' + b"9" * 5_000 + b"}", b'{"a": 1, "a": NaN}')
    yield b'{"address": ' + NESTED + b"}"
    for address in ODD_ADDRESSES:
        yield json.dumps({**SERVER, "address": address}).encode()
    for name in SERVER.keys() - {"coldLeftMs"}:  # Its range is checked by its users.
        for value in ODD_VALUES:
            if not (isinstance(value, str) and isinstance(SERVER[name], str)):
                yield json.dumps({**SERVER, name: value}).encode()


def put_everywhere(store: Any, values: list[bytes]) -> int:
    """Write each value under each prefix, with sound and odd keys; return how many were written."""
    keys = [
        f"{prefix}{key}"
        for prefix in PREFIXES
        for number in range(len(values))
        for key in (f"odd-{number}", f"ä\ud7ff/{number}", f"{number}" + "k" * 150)
    ]
    for number, key in enumerate(keys):
        store.put(key, values[number % len(values)])
    return len(keys)


def desk_servers(kernel: Any) -> list[str]:
    servers = kernel.get("beliefs", ClusterState).servers.of_service("desk")
    return sorted(server.server_id for server in servers)


def warnings_of(kernel: Any) -> int:
    return sum(1 for record in kernel.events.records() if record["level"] in ("warning", "error"))


class TestManyOddRecords:
    async def test_leave_the_sound_ones_in_use_and_the_entries_following(self, small_fleet):
        """Guards against entries that end, or stop following, beside hundreds of odd records."""
        values = list(odd_values())
        written = put_everywhere(small_fleet.store, values)
        assert written > 1_000
        state = small_fleet.kernels[0].get("beliefs", ClusterState)
        await wait_until(lambda: state.position.revision == small_fleet.store.revision)
        for _ in range(4):
            assert (await small_fleet.call("/look/x")).status == 200
        await small_fleet.add_replica("desk-3", "desk")
        wanted = ["desk-1", "desk-2", "desk-3"]
        for kernel in small_fleet.kernels:
            await wait_until(lambda kernel=kernel: desk_servers(kernel) == wanted)
        for kernel in small_fleet.kernels:
            assert warnings_of(kernel) <= written  # One line a record.

    async def test_are_read_by_an_entry_that_starts(self, fleet):
        """Guards against an entry that ends again and again while it reads the records."""
        put_everywhere(fleet.store, list(odd_values()))
        for number in (1, 2):
            await fleet.add_replica(f"desk-{number}", "desk")
        await fleet.add_entry()
        await wait_until(lambda: desk_servers(fleet.kernels[0]) == ["desk-1", "desk-2"])
        assert (await fleet.call("/look/x")).status == 200


class TestFastChanges:
    async def test_of_odd_and_sound_records_lose_no_request(self, small_fleet):
        """Guards against a lost request, or a server out of use, after a record that was odd for a
        moment; the same watch brings odd and sound states of one key in any order."""
        store = small_fleet.store
        sound = base64.b64decode(store._items["servers/desk-1"]["value"])
        state = small_fleet.kernels[0].get("beliefs", ClusterState)
        before = [warnings_of(kernel) for kernel in small_fleet.kernels]
        for number, odd in enumerate(odd_values()):
            for value in (odd, sound, odd, sound):
                store.put("servers/desk-1", value)
                store.put(f"servers/odd-{number % 5}", odd)
                if number % 3 == 0:
                    await trio.sleep(0.002)
            if number % 10 == 0:
                assert (await small_fleet.call("/look/x")).status == 200
        await wait_until(lambda: state.position.revision == store.revision)
        for kernel in small_fleet.kernels:
            await wait_until(lambda kernel=kernel: desk_servers(kernel) == ["desk-1", "desk-2"])
        for _ in range(4):
            assert (await small_fleet.call("/look/x")).status == 200
        for kernel, count in zip(small_fleet.kernels, before, strict=True):
            assert warnings_of(kernel) - count <= 6  # One a key, however often it changes.
