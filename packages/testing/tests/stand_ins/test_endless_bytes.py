"""Servers and a store that send bytes without end, without an entry before them."""

from __future__ import annotations

import json
from itertools import product

import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.proxy.calls import CallClient
from sassafrastally.proxy.http_stream import connect
from sassafrastally.stand_ins.caller_requests import request_fields
from sassafrastally.stand_ins.endless_bytes import (
    CALL_PLACES,
    STREAM_PLACES,
    EndlessBytes,
    EndlessPace,
    EndlessPlace,
)
from sassafrastally.stand_ins.platform_fleet import platform_fleet, wait_until

PROMPT = "1000,340"
ENOUGH_BYTES = {EndlessPace.FAST: 2_000_000, EndlessPace.SLOW: 1}

SIGNS = {
    EndlessPlace.HEADER_LINE: b"X-Filler: xxxxxxxx",
    EndlessPlace.HEADER_FIELDS: b"X-Filler: x\r\nX-Filler: x\r\n",
    EndlessPlace.INTERIM_RESPONSES: b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 103",
    EndlessPlace.EVENT: b"id: 2\ndata: ",
    EndlessPlace.COMMENTS: b": x",
    EndlessPlace.REPEATED_EVENTS: b"id: 0",
    EndlessPlace.BODY: b"\r\n\r\nxxxxxxxx",
    EndlessPlace.TINY_CHUNKS: b"\r\n\r\n1\r\nx\r\n1\r\nx\r\n",
    EndlessPlace.REJECTION_BODY: b"Not-Executed: 1\r\n\r\nxxxxxxxx",
    EndlessPlace.FAILURE_BODY: b"HTTP/1.1 503 -",
    EndlessPlace.TRAILERS: b"\r\n0\r\nX-Filler: x\r\n",
    EndlessPlace.AFTER_RESPONSE: b"}xxxxxxxx",
}
"""Bytes by which each place is recognized."""


@pytest.fixture
async def servers():
    """A fleet with an engine and a plain server."""
    async with platform_fleet() as fleet:
        await fleet.add_replica("engine-1")
        await fleet.add_replica("desk-1", "desk")
        yield fleet


async def read_endlessly(address: Address, target: str, endless, prompt=None) -> None:
    """Send a request and check that what comes is at its place and doesn't end."""
    stream = await connect(address, 1.0)
    fields = request_fields({"Content-Length": "0"}, prompt)
    method = "GET" if target.startswith(("/kv", "/report")) else "POST"
    head = [f"{method} {target} HTTP/1.1", *(f"{name}: {fields[name]}" for name in fields), "", ""]
    await stream.send_all("\r\n".join(head).encode())
    received = bytearray()
    with trio.fail_after(5.0):
        while SIGNS[endless.place] not in received or len(received) < ENOUGH_BYTES[endless.pace]:
            data = await stream.receive_some()
            assert data
            received += data
    await trio.aclose_forcefully(stream)


@pytest.mark.parametrize(("place", "pace"), list(product(EndlessPlace, EndlessPace)))
class TestRequests:
    """Bytes in responses to requests."""

    async def test_bytes_come_until_the_caller_closes(self, servers, place, pace):
        """Guards against bytes at another place, bytes that end, and tasks that outlive their
        connection."""
        replica = servers.replicas["engine-1" if place in STREAM_PLACES else "desk-1"]
        replica.endless = EndlessBytes(place, pace, events=2)
        tasks = trio.lowlevel.current_statistics().tasks_living
        prompt = PROMPT if replica.engine else None
        await read_endlessly(replica.address, "/note/x", replica.endless, prompt)
        (arrival,) = replica.received_requests
        assert arrival.is_endless
        assert arrival.has_run is (place is not EndlessPlace.REJECTION_BODY)
        await wait_until(lambda: trio.lowlevel.current_statistics().tasks_living <= tasks)


@pytest.mark.parametrize("pace", EndlessPace)
class TestCalls:
    """Bytes in reports and in responses of the store."""

    @pytest.mark.parametrize("place", CALL_PLACES)
    async def test_reports(self, servers, place, pace):
        """Guards against places that a report can't have, and requests that get the bytes too."""
        engine = servers.replicas["engine-1"]
        engine.endless_reports = EndlessBytes(place, pace)
        await read_endlessly(engine.address, "/report", engine.endless_reports)
        assert not engine.received_requests

    @pytest.mark.parametrize("place", CALL_PLACES)
    async def test_store(self, servers, place, pace):
        """Guards against places that a response of the store can't have."""
        servers.store.endless = EndlessBytes(place, pace)
        target = "/kv-range?pathPrefix=servers/"
        await read_endlessly(servers.store_address, target, servers.store.endless)


class TestPages:
    """A range of the store that doesn't end."""

    async def test_keys_go_on_without_end(self, servers):
        """Guards against a reader that sees the end of the pages."""
        servers.store.has_endless_pages = True
        calls = CallClient(servers.store_address)
        after = ""
        keys = []
        for _ in range(5):
            target = f"/kv-range?pathPrefix=servers/&after={after}"
            page = await calls.exchange("GET", target, [], b"", 1.0)
            keys += [item["key"] for item in json.loads(page.body)["items"]]
            after = keys[-1]
        await calls.close()
        assert keys == sorted(set(keys))
        assert len(keys) == 6
