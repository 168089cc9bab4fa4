"""Response headers that a server breaks off, at each byte, as an attempt reads them."""

from __future__ import annotations

import math
from typing import NamedTuple

import h11
import pytest
import trio

from sassafrastally.core import Address
from sassafrastally.platform.adapter import PlatformDialect
from sassafrastally.proxy.attempt import AttemptSender, AttemptUnknown, Request
from sassafrastally.proxy.connection_pool import ConnectionPool
from sassafrastally.proxy.http_stream import HttpStream
from sassafrastally.proxy.model import AttemptParameters, BackendServer, RequestMetadata

LIMIT_S = 1.3
ID = "a"
OWN = b"HTTP/1.1 200 OK\r\nattempt-id: a\r\nreplica-seal: s\r\n"
LENGTH = b"content-length: 2\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nattempt-id: other\r\ncontent-length: 1\r\n\r\nx"

HEADS = {
    "length": OWN + LENGTH + b"x: y\r\n\r\n",
    "length first": b"HTTP/1.1 200 OK\r\n" + LENGTH + OWN.partition(b"\r\n")[2] + b"\r\n",
    "chunks": OWN + b"transfer-encoding: chunked\r\n\r\n",
    "no framing": OWN + b"content-type: text/event-stream\r\n\r\n",
    "version 1.0": OWN.replace(b"1.1", b"1.0") + b"\r\n",
    "lines end with LF": (OWN + LENGTH).replace(b"\r\n", b"\n") + b"\n",
    "fields in several lines": OWN + b"x: y\r\n \r\n\tz\r\nx: y\r\nX: y\r\n" + LENGTH + b"\r\n",
    "interim response": b"HTTP/1.1 103 -\r\nlink: x\r\n\r\n" + OWN + LENGTH + b"\r\n",
    "other response before": OTHER + OWN + LENGTH + b"\r\n",
    "failure": b"HTTP/1.1 500 -\r\nattempt-id: a\r\nreplica-seal: s\r\n" + LENGTH + b"\r\n",
    "rejection": b"HTTP/1.1 503 -\r\nattempt-id: a\r\nnot-executed: 1\r\n" + LENGTH + b"\r\n",
    "wrong server": b"HTTP/1.1 421 -\r\nattempt-id: a\r\n" + LENGTH + b"\r\n",
}


class Break(NamedTuple):
    """How a connection ends after the bytes of a response."""

    is_reset: bool = False
    fails_write: bool = False
    """Whether the write of the request gets the error of the reset, so that reads don't."""
    gap_s: float = 0.0
    """Time before each piece and before the end."""
    piece_bytes: int = 65_536


BREAKS = [
    Break(),
    Break(is_reset=True),
    Break(fails_write=True),
    Break(gap_s=0.4),
    Break(gap_s=0.02, piece_bytes=16),
    Break(gap_s=math.inf),
]
CLOSES = [how for how in BREAKS if not how.is_reset and not how.fails_write and how.gap_s < LIMIT_S]


class BreakingStream(trio.abc.Stream):
    """A connection to a server that answers whole at first, and then breaks off.

    Parameters
    ----------
    answers
        What it sends for each request; the connection ends after the last one.
    how
        How it ends.
    """

    def __init__(self, answers: list[bytes], how: Break) -> None:
        self._answers = answers
        self._unread = b""
        self._how = how

    async def send_all(self, data) -> None:
        await trio.lowlevel.checkpoint()
        self._unread = self._answers.pop(0)
        if self._how.fails_write and not self._answers:
            raise trio.BrokenResourceError

    async def receive_some(self, max_bytes=None) -> bytes:
        how = self._how
        await trio.sleep(0 if self._unread and how.gap_s > 1 else how.gap_s)
        piece = self._unread[: how.piece_bytes]
        self._unread = self._unread[len(piece) :]
        if not piece and how.is_reset:
            raise trio.BrokenResourceError
        return piece

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def aclose(self) -> None:
        await trio.lowlevel.checkpoint()


@pytest.fixture
def send(monkeypatch):
    """Return a function that makes attempts on a connection that breaks in the last response.

    It returns the status and the body of the last response.
    """
    server = BackendServer("s", "engines", Address("127.0.0.1", 1), "here", 8, False)
    facts = RequestMetadata(ID, "x", None, None, None, None)

    async def send(answers: list[bytes], how: Break, method: bytes = b"POST"):
        stream = BreakingStream(list(answers), how)

        async def open_stream(*_) -> HttpStream:
            return HttpStream(stream, h11.CLIENT)

        monkeypatch.setattr(ConnectionPool, "open", open_stream)
        sender = AttemptSender(PlatformDialect(), ConnectionPool())
        terms = AttemptParameters(server, 4.0, None, None)
        for _ in answers:
            request = Request(method, b"/x", [(b"host", b"x")], b"{}", facts, trio.current_time())
            waiting = trio.CancelScope(deadline=trio.current_time() + LIMIT_S)
            async with sender.send(request, terms, may_reuse=True, waiting=waiting) as answer:
                body = await answer.read(trio.current_time() + LIMIT_S)
        return answer.status, body

    return send


@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("head", HEADS)
class TestCutHeads:
    """Headers without their end, on a new connection and on one that has carried an answer."""

    async def test_are_no_response(self, autojump_clock, send, head, is_reused):
        """Guards against a success, a failure or a proof that nothing ran from a part of a header.

        A header ends with its blank line, not with its connection.
        """
        whole = HEADS[head]
        earlier = [OWN + LENGTH + b"\r\n{}"] if is_reused else []
        begin = len(OTHER) if whole.startswith(OTHER) else 0
        for end in range(begin, len(whole)):
            for how in BREAKS:
                with pytest.raises(AttemptUnknown):
                    await send([*earlier, whole[:end]], how)


class TestHeadRequests:
    """Responses to HEAD requests, which end with their header."""

    @pytest.mark.parametrize("head", ["length", "no framing", "version 1.0"])
    async def test_are_whole_with_the_blank_line(self, autojump_clock, send, head):
        """Guards against a header that is broken off where no body would show it."""
        whole = HEADS[head]
        for how in BREAKS:
            for end in range(len(whole)):
                with pytest.raises(AttemptUnknown):
                    await send([whole[:end]], how, b"HEAD")
            assert await send([whole], how, b"HEAD") == (200, b"")


@pytest.mark.parametrize("head", ["no framing", "version 1.0"])
class TestBodiesWithoutLength:
    """Bodies that end with their connection."""

    async def test_are_whole_only_after_a_close(self, autojump_clock, send, head):
        """Guards against a body that ends early, with a reset or a silence, and counts as whole."""
        body = b"id: 0\ndata: x\n\n"
        for end in range(1, len(body) + 1):
            for how in BREAKS:
                if how in CLOSES:
                    assert await send([HEADS[head] + body[:end]], how) == (200, body[:end])
                    continue
                with pytest.raises(AttemptUnknown):
                    await send([HEADS[head] + body[:end]], how)

    @pytest.mark.parametrize("how", BREAKS)
    async def test_have_a_first_byte(self, autojump_clock, send, head, how):
        """Guards against an empty success from a server that crashes before it writes its body."""
        with pytest.raises(AttemptUnknown):
            await send([HEADS[head]], how)

    async def test_of_other_statuses_may_be_empty(self, autojump_clock, send, head):
        """Guards against the loss of responses that usually have no content."""
        for status in (201, 204, 404, 500):
            whole = HEADS[head].replace(b"200", b"%d" % status)
            assert await send([whole], Break()) == (status, b"")
