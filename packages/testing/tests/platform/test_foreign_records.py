"""Records under ``servers/`` that other writers put into the store."""

from __future__ import annotations

import json

import pytest

from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.stand_ins.platform_fleet import wait_until

GOOD = {
    "service": "desk",
    "address": "127.20.0.9:8080",
    "zone": "elsewhere",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldLeftMs": 0,
    "seqNo": 0,
}
"""A record that would name a server which doesn't exist."""


def changed(**fields: object) -> bytes:
    """Return the good record with other fields."""
    return json.dumps({**GOOD, **fields}).encode()


FOREIGN = {
    "missing fields": json.dumps({"service": "desk", "state": "ready"}).encode(),
    "empty object": b"{}",
    "a list": b"[]",
    "other types": changed(slots="6", address=8080),
    "unknown state": changed(state="asleep"),
    "unknown service": changed(service="nobody's"),
    "unreadable bytes": b"\xff\xfe\x00\x9f",
    "empty value": b"",
}


@pytest.mark.parametrize("value", FOREIGN.values(), ids=FOREIGN)
class TestForeignRecords:
    """Each kind of record that isn't a server's own."""

    async def test_names_no_server_while_the_others_hold(self, small_fleet, value):
        """Guards against requests to a server that a foreign record names, and against losing the
        records that came with it."""
        small_fleet.store.put("servers/aaa-foreign", value)
        small_fleet.store.put("servers/zzz/foreign", value)
        await self._check(small_fleet)

    async def test_is_skipped_in_a_full_read(self, fleet, value):
        """Guards against an entry that can't start beside a foreign record."""
        fleet.store.put("servers/aaa-foreign", value)
        for number in (1, 2):
            await fleet.add_replica(f"desk-{number}", "desk")
        await fleet.add_entry()
        await self._check(fleet)

    async def _check(self, fleet) -> None:
        state = fleet.kernels[0].get("beliefs", ClusterState)
        await wait_until(lambda: state.position.revision == fleet.store.revision)
        usable = [server.server_id for server in state.servers.of_service("desk")]
        assert sorted(usable) == ["desk-1", "desk-2"]
        assert not [
            one for one in state.servers.of_service("engines") if "foreign" in one.server_id
        ]
        for _ in range(4):
            assert (await fleet.call("/look/x")).status == 200


class TestOverwrittenRecord:
    """A foreign record in the place of a server's own."""

    async def test_takes_the_server_out_of_use_until_it_writes_again(self, small_fleet):
        """Guards against routing by an address and a state that nobody vouches for."""
        small_fleet.store.put("servers/desk-1", FOREIGN["unreadable bytes"])
        state = small_fleet.kernels[0].get("beliefs", ClusterState)
        await wait_until(lambda: len(state.servers.of_service("desk")) == 1)
        small_fleet.store.put("servers/desk-1", small_fleet.replicas["desk-1"].entry())
        await wait_until(lambda: len(state.servers.of_service("desk")) == 2)
