"""Responses to an entry's own calls that are broken off, at each byte."""

from __future__ import annotations

import json

import pytest
import trio

from sassafrastally.core import Address, KvUnavailable, MaybeApplied
from sassafrastally.core.kv import KvEntry, KvWrite
from sassafrastally.platform.reports import decode_report
from sassafrastally.platform.store import StoreClient
from sassafrastally.proxy import calls
from sassafrastally.proxy.calls import CallClient, CallResponse, ResponseBounds
from sassafrastally.proxy.delta_messages import decode_delta, encode_delta
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.proxy.store import AnswerLost, StorePosition
from sassafrastally.proxy.store_records import Delta

from .test_cut_heads import BREAKS, CLOSES, Break, BreakingStream

TIME_LIMIT_S = 1.0
BOUNDS = ResponseBounds(size_bytes=100_000, time_s=5.0)
BEGIN = b"HTTP/1.1 200 OK\r\nstore-era: 1\r\n"
WHOLE = {
    "length": BEGIN + b"content-length: 2\r\n\r\n{}",
    "length first": b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nstore-era: 1\r\n\r\n{}",
    "chunks": BEGIN + b"transfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    "lines end with LF": BEGIN.replace(b"\r", b"") + b"content-length: 2\n\n{}",
    "interim response": b"HTTP/1.1 103 -\r\n\r\n" + BEGIN + b"content-length: 2\r\n\r\n{}",
    "no content": b"HTTP/1.1 404 -\r\ncontent-length: 0\r\n\r\n",
}
TRAILER_BYTES = {"chunks": 2}
"""Bytes at the end without which a response is complete."""

ITEM = {"key": "servers/a", "value": "eA==", "revision": 4}
POSITION = StorePosition(1, 5)


@pytest.fixture
def exchange(monkeypatch):
    """Return a function that calls a server whose last response is broken off."""

    async def exchange(responses: list[bytes], how: Break) -> CallResponse:
        stream = BreakingStream(list(responses), how)

        async def connect(address, time_limit_s):
            await trio.lowlevel.checkpoint()
            return stream

        monkeypatch.setattr(calls, "connect", connect)
        client = CallClient(Address("127.0.0.1", 1))
        for _ in responses:
            response = await client.exchange("GET", "/", [], b"", TIME_LIMIT_S, BOUNDS)
        return response

    return exchange


@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("form", WHOLE)
async def test_cut_response_is_lost(autojump_clock, exchange, form, is_reused):
    """Guards against a call that counts as answered by a part of its response."""
    whole = WHOLE[form]
    earlier = [WHOLE["length"]] if is_reused else []
    for end in range(len(whole) - TRAILER_BYTES.get(form, 0)):
        for how in BREAKS:
            with pytest.raises(AnswerLost):
                await exchange([*earlier, whole[:end]], how)
    assert (await exchange([*earlier, whole], Break())).status in (200, 404)


class TestDocuments:
    """Documents without length and chunks, which only their content shows to be whole."""

    async def test_of_the_store_are_not_empty_ranges(self, autojump_clock, exchange):
        """Guards against servers or keys that vanish with the end of a page, and against a write
        that counts as rejected or applied."""
        page = {"items": [ITEM], "currentRev": 5, "revision": 5, "events": [], "lease": 7}
        body = json.dumps(page).encode()
        for how in CLOSES:
            for end in range(len(body)):

                async def lose(*_, cut=body[:end], how=how) -> CallResponse:
                    return await exchange([BEGIN + b"\r\n" + cut], how)

                client = StoreClient(lose, TIME_LIMIT_S)
                with pytest.raises(KvUnavailable):
                    await client.read_prefix("servers/")
                with pytest.raises(KvUnavailable):
                    await client.watch("servers/", POSITION, 0.0)
                with pytest.raises(MaybeApplied):
                    await client.write([KvWrite("a", b"", -1)])
                with pytest.raises(MaybeApplied):
                    await client.grant_lease(1.0)

    async def test_of_engines_are_not_empty_reports(self):
        """Guards against a slow engine that counts as one of the usual speed."""
        body = b'{"running": 1, "pace": 25.0}'
        assert decode_report(200, body).pace == 25.0
        for end in range(len(body)):
            with pytest.raises(DocumentInvalid):
                decode_report(200, body[:end])

    async def test_of_peers_are_not_empty_changes(self):
        """Guards against a peer's state without its last servers."""
        delta = Delta((KvEntry("servers/a", b"x", 4, 0),), (), POSITION)
        body = encode_delta(delta)
        assert await decode_delta(body) == delta
        for end in range(len(body)):
            with pytest.raises(DocumentInvalid):
                await decode_delta(body[:end])
