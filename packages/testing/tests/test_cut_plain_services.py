"""Responses of plain services that are cut at each byte."""

from __future__ import annotations

import pytest
import trio

from sassafrastally.sidecar.plain_client import PlainClient, PlainMaybeRan
from sassafrastally.testing.cut_server import CLOSE, FRAMINGS, HEAD_END, CutServer, open_cut_server

JSON = b"application/json; charset=utf-8"
EVENTS = b"text/event-stream"
DOCUMENT = b' {"booked": [1, "a\\"}", {}], "rest": 2.5}'
STREAM = b": c\n\nid: 1\r\ndata: x\r\n\r\ndata: y\n\n"
LONG_BODY = b"x" * 300_000


async def is_whole(server: CutServer, request_body: bytes = b"{}") -> bool:
    """Return whether the client takes the present response for a complete one."""
    client = PlainClient(server.address)
    try:
        with trio.fail_after(5):
            async with client.call("POST", "/book", {}, request_body, 5.0) as answer:
                async for _ in answer:
                    pass
                return answer.is_complete
    except PlainMaybeRan:
        return False
    finally:
        await client.aclose()


class TestCutResponses:
    @pytest.mark.parametrize("framing", FRAMINGS, ids=lambda framing: framing.name)
    @pytest.mark.parametrize(("kind", "content"), [(JSON, DOCUMENT), (EVENTS, STREAM)])
    async def test_none_is_complete(self, framing, kind, content):
        """Guards against a success with an empty or short body after a service has crashed."""
        response = framing.respond(content, kind)
        regular_ends = set()
        if framing is CLOSE and kind == EVENTS:
            first_event_end = response.index(b"data: y")
            regular_ends = {first_event_end - 1, first_event_end}
        async with open_cut_server() as server:
            for cut_at in server.cuts(response):
                is_regular = cut_at in regular_ends and not server.is_reset
                assert await is_whole(server) == is_regular, response[:cut_at]
            server.cut_at, server.is_reset = None, False
            assert await is_whole(server)

    async def test_none_is_complete_after_a_long_request(self):
        """As above, for a service whose connection has carried a long body."""
        async with open_cut_server() as server:
            for framing in FRAMINGS:
                response = framing.respond(DOCUMENT, JSON)
                end = response.index(HEAD_END) + len(HEAD_END)
                server.response = response
                for server.cut_at in (0, 1, end - 2, end - 1, end, end + 1, len(response) - 1):
                    assert not await is_whole(server, LONG_BODY)
                server.cut_at = None
                assert await is_whole(server, LONG_BODY)


class TestResponsesThatEndWithTheirConnection:
    """Whole heads without a length and chunks, and then a regular close."""

    HEAD = b"HTTP/1.1 %s\r\n%s\r\n"

    @pytest.mark.parametrize(
        ("status", "header", "content"),
        [
            (b"200 OK", b"", b""),
            (b"200 OK", b"", b"x"),
            (b"204 No Content", b"Content-Type: application/json\r\n", b""),
            (b"503 Busy", b"Content-Type: application/json\r\n", b""),
            (b"200 OK", b"Content-Type: application/octet-stream\r\n", b"x"),
            (b"200 OK", b"Content-Type: application/json\r\n", b"null"),
            (b"200 OK", b"Content-Type: application/problem+json\r\n", b"\r\n[[],{}]\n"),
            (b"200 OK", b"Content-Type: application/json\r\n", b"not JSON"),
        ],
    )
    async def test_is_complete(self, status, header, content):
        """Guards against the loss of responses of services that close to end them."""
        async with open_cut_server() as server:
            server.response = self.HEAD % (status, header) + content
            assert await is_whole(server)

    @pytest.mark.parametrize(
        ("kind", "content"),
        [
            (EVENTS, b""),
            (EVENTS, b": comment\n\n"),
            (EVENTS, b"data: x\n\n: com"),
            (EVENTS, b"data: " + b"x" * 3_000_000),
            (EVENTS, b"data: " + b"x" * 3_000_000 + b"\n"),
            (EVENTS, b"data: " + b"x" * 1_048_570 + b":\n"),
            (b"application/json", b""),
            (b"application/json", b" \r\n"),
            (b"application/problem+json", b'{"a": {"b": 1}'),
            (b"application/json", b'"text'),
            (b"application/octet-stream", b""),
        ],
    )
    async def test_is_not_complete_without_what_its_type_announces(self, kind, content):
        """Guards against a success without content from a service that has died."""
        async with open_cut_server() as server:
            server.response = CLOSE.respond(content, kind)
            assert not await is_whole(server)
