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


class Service:
    """A service and its client."""

    def __init__(self, server: CutServer) -> None:
        self.server = server
        self.client = PlainClient(server.address)

    async def is_whole(self, request_body: bytes = b"{}") -> bool:
        """Return whether the client takes the present response for a complete one."""
        try:
            with trio.fail_after(5):
                async with self.client.call("POST", "/book", {}, request_body, 5.0) as answer:
                    async for _ in answer:
                        pass
                    return answer.is_complete
        except PlainMaybeRan:
            return False


@pytest.fixture
async def service():
    async with open_cut_server() as server:
        service = Service(server)
        yield service
        await service.client.aclose()


class TestCutResponses:
    @pytest.mark.parametrize("framing", FRAMINGS, ids=lambda framing: framing.name)
    @pytest.mark.parametrize(("kind", "content"), [(JSON, DOCUMENT), (EVENTS, STREAM)])
    async def test_none_is_complete(self, service, framing, kind, content):
        """Guards against a success with an empty or short body after a service has crashed."""
        response = framing.respond(content, kind)
        regular_ends = set()
        if framing is CLOSE and kind == EVENTS:
            first_event_end = response.index(b"data: y")
            regular_ends = {first_event_end - 1, first_event_end}
        server = service.server
        for cut_at in server.cuts(response):
            is_regular = cut_at in regular_ends and not server.is_reset
            assert await service.is_whole() == is_regular, response[:cut_at]
        server.cut_at, server.is_reset = None, False
        assert await service.is_whole()

    @pytest.mark.parametrize(
        "head",
        [
            b"HTTP/1.1 103 A\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: %s\r\n\r\n",
            b"HTTP/1.1 200 OK\nX: y\nContent-Type: %s\n\n",
            b"HTTP/1.0 200 OK\r\nContent-Length: 10\r\nContent-Type: %s\r\n\r\n",
        ],
        ids=["interim", "line-feeds", "length-first"],
    )
    async def test_no_head_is_complete(self, service, head):
        """Guards against a header that counts as whole at the end of one of its lines."""
        server = service.server
        for _ in server.cuts(head % JSON):
            assert not await service.is_whole(), server.response[: server.cut_at]

    async def test_none_is_complete_after_a_long_request(self, service):
        """As above, for a service whose connection has carried a long body."""
        server = service.server
        for framing in FRAMINGS:
            response = framing.respond(DOCUMENT, JSON)
            end = response.index(HEAD_END) + len(HEAD_END)
            server.response = response
            for server.cut_at in (0, 1, end - 2, end - 1, end, end + 1, len(response) - 1):
                assert not await service.is_whole(LONG_BODY)
            server.cut_at = None
            assert await service.is_whole(LONG_BODY)


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
    async def test_is_complete(self, service, status, header, content):
        """Guards against the loss of responses of services that close to end them."""
        server = service.server
        server.response = self.HEAD % (status, header) + content
        assert await service.is_whole()

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
    async def test_is_not_complete_without_what_its_type_announces(self, service, kind, content):
        """Guards against a success without content from a service that has died."""
        server = service.server
        server.response = CLOSE.respond(content, kind)
        assert not await service.is_whole()
