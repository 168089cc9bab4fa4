"""Reading of responses from backend servers on the mock clock: bounds and time limits."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import h11
import pytest
import trio
import trio.testing

from sassafrastally.core import Address
from sassafrastally.platform.adapter import PlatformDialect
from sassafrastally.proxy.answer_events import SILENT_SHARE, AnswerEvents
from sassafrastally.proxy.attempt import (
    Answer,
    AttemptNotRun,
    AttemptSender,
    AttemptUnknown,
    Request,
)
from sassafrastally.proxy.connection_pool import ConnectionPool
from sassafrastally.proxy.http_stream import RECEIVE_BYTES, HttpStream
from sassafrastally.proxy.input_limits import (
    DISCARD_TIME_S,
    MAX_BODY_BYTES,
    MAX_DISCARDED_BYTES,
    MAX_EVENT_BYTES,
    MAX_HEAD_BYTES,
    MAX_IDLE_BYTES,
    MAX_INTERIM_BYTES,
    MAX_INTERIM_RESPONSES,
    MAX_SMALL_CHUNKS,
    MAX_TRAILER_BYTES,
    SMALL_CHUNK_BYTES,
    InputBudget,
    InputPlace,
)
from sassafrastally.proxy.model import AttemptParameters, BackendServer, RequestMetadata

LIMIT_S = 1.3
HEAD = b"HTTP/1.1 200 OK\r\nreplica-seal: s\r\n"
STREAM_HEAD = HEAD + b"content-type: text/event-stream\r\n\r\n"
CHUNKED_HEAD = HEAD + b"transfer-encoding: chunked\r\n\r\n"
REJECTION_HEAD = b"HTTP/1.1 503 No\r\nnot-executed: 1\r\n\r\n"
STALE_HEAD = b"HTTP/1.1 200 OK\r\nrequest-id: other\r\n\r\n"
PIECE_BYTES = 32_768

Server = Callable[[trio.abc.Stream], Awaitable[None]]


class Flood:
    """A server that sends something and then repeats a unit, until the connection ends."""

    def __init__(self, begin: bytes, unit: bytes, most_bytes: int = 20_000_000) -> None:
        self.sent_bytes = 0
        self._begin = begin
        self._piece = unit * (PIECE_BYTES // len(unit))
        self._most_bytes = most_bytes

    async def __call__(self, stream: trio.abc.Stream) -> None:
        await stream.receive_some(65_536)
        await stream.send_all(self._begin)
        try:
            while self.sent_bytes < self._most_bytes:
                await stream.send_all(self._piece)
                self.sent_bytes += len(self._piece)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


class Drip:
    """A server that sends something and then a few bytes, again and again."""

    def __init__(self, begin: bytes, unit: bytes, interval_s: float = 0.05) -> None:
        self._begin = begin
        self._unit = unit
        self._interval_s = interval_s

    async def __call__(self, stream: trio.abc.Stream) -> None:
        await stream.receive_some(65_536)
        try:
            await stream.send_all(self._begin)
            while True:
                await trio.sleep(self._interval_s)
                await stream.send_all(self._unit)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


@pytest.fixture
def servers(nursery, monkeypatch):
    """Connects attempts to a server, without sockets; returns an attempt's response."""

    class Servers:
        def __init__(self) -> None:
            self.budget = InputBudget()
            self.connections: list[HttpStream] = []
            self.excesses: list[InputPlace] = []
            self.is_reused = False

        def attempt(self, server: Server, method: bytes = b"POST"):
            """Send an attempt to a server; an async context manager with the response."""

            async def open_stream(*_) -> HttpStream:
                client, other = trio.testing.lockstep_stream_pair()
                nursery.start_soon(server, other)
                connection = HttpStream(client, h11.CLIENT)
                connection.is_reused = self.is_reused
                self.connections.append(connection)
                return connection

            monkeypatch.setattr(ConnectionPool, "open", open_stream)
            facts = RequestMetadata("a", "x", None, None, None, None)
            request = Request(method, b"/x", [(b"host", b"x")], b"{}", facts, trio.current_time())
            target = BackendServer("s", "engines", Address("127.0.0.1", 1), "here", 8, False)
            sender = AttemptSender(PlatformDialect(), ConnectionPool(), self.budget)
            sender.on_excess = lambda _, excess: self.excesses.append(excess.place)
            waiting = trio.CancelScope(deadline=trio.current_time() + LIMIT_S)
            terms = AttemptParameters(target, 4.0, None, None)
            return sender.send(request, terms, may_reuse=True, waiting=waiting)

    yield Servers()
    nursery.cancel_scope.cancel()


async def read_events(answer: Answer) -> int:
    """Read a stream to its end and return the number of its events."""
    stream, count = AnswerEvents(answer), 0
    while (events := await stream.read(LIMIT_S)) is not None:
        count += sum(event.has_fields for event in events)
    return count


class TestFloods:
    """Bytes that come as fast as they are read end the attempt at their bound."""

    @pytest.mark.parametrize(
        ("flood", "place", "bound_bytes"),
        [
            (Flood(HEAD + b"x: ", b"x"), InputPlace.HEADER, MAX_HEAD_BYTES),
            (Flood(HEAD, b"x: y\r\n"), InputPlace.HEADER, MAX_HEAD_BYTES),
            (Flood(b"", b"HTTP/1.1 103 -\r\n\r\n"), InputPlace.INTERIM, MAX_INTERIM_BYTES),
            (
                Flood(b"", b"HTTP/1.1 103 -\r\nx: " + b"y" * 5000 + b"\r\n\r\n"),
                InputPlace.INTERIM_HEADERS,
                2 * MAX_INTERIM_BYTES,
            ),
        ],
    )
    async def test_header_without_end(self, autojump_clock, servers, flood, place, bound_bytes):
        """Guards against waiting for a header that never ends while its bytes are held."""
        with pytest.raises(AttemptUnknown) as caught:
            async with servers.attempt(flood):
                pass
        assert not caught.value.is_timeout
        assert servers.excesses == [place]
        assert flood.sent_bytes <= bound_bytes + 2 * RECEIVE_BYTES

    @pytest.mark.parametrize(
        ("flood", "place", "bound_bytes"),
        [
            (Flood(STREAM_HEAD, b"x"), InputPlace.EVENT, MAX_EVENT_BYTES),
            (Flood(STREAM_HEAD, b"data: x\n"), InputPlace.EVENT, MAX_EVENT_BYTES),
            (Flood(STREAM_HEAD, b": x\n\n"), InputPlace.BETWEEN_EVENTS, MAX_IDLE_BYTES),
            (Flood(STREAM_HEAD, b"id: 1\n\n"), InputPlace.BETWEEN_EVENTS, MAX_IDLE_BYTES),
            (Flood(CHUNKED_HEAD + b"1;", b"x"), InputPlace.TRAILERS, MAX_TRAILER_BYTES),
        ],
    )
    async def test_stream_without_end(self, autojump_clock, servers, flood, place, bound_bytes):
        """Guards against holding a stream's event, or what isn't one, without a bound."""
        with pytest.raises(AttemptUnknown):
            async with servers.attempt(flood) as answer:
                await read_events(answer)
        assert servers.excesses == [place]
        assert flood.sent_bytes <= bound_bytes + 2 * RECEIVE_BYTES

    async def test_body_without_end(self, autojump_clock, servers):
        """Guards against holding a body without length in memory."""
        flood = Flood(HEAD + b"\r\n", b"x")
        with pytest.raises(AttemptUnknown):
            async with servers.attempt(flood) as answer:
                await answer.read()
        assert servers.excesses == [InputPlace.BODY]
        assert flood.sent_bytes <= MAX_BODY_BYTES + 2 * RECEIVE_BYTES

    async def test_body_in_small_chunks_without_end(self, autojump_clock, servers):
        """Guards against an entry that does little else than parse one body, byte by byte."""
        chunk = b"1\r\nx\r\n"
        flood = Flood(CHUNKED_HEAD, chunk)
        with pytest.raises(AttemptUnknown) as caught:
            async with servers.attempt(flood) as answer:
                await answer.read()
        assert not caught.value.is_timeout
        assert servers.excesses == [InputPlace.SMALL_CHUNKS]
        assert flood.sent_bytes <= MAX_SMALL_CHUNKS * len(chunk) + 2 * RECEIVE_BYTES

    @pytest.mark.parametrize(
        ("chunk", "chunks"),
        [
            (b"x", MAX_SMALL_CHUNKS),
            (b"x" * 2 * SMALL_CHUNK_BYTES, 3 * MAX_SMALL_CHUNKS),
        ],
    )
    async def test_sound_body_in_small_chunks_is_read(self, autojump_clock, servers, chunk, chunks):
        """Guards against ending a server that flushes after each token."""

        async def serve(stream: trio.abc.Stream) -> None:
            await stream.receive_some(65_536)
            part = b"%x\r\n%s\r\n" % (len(chunk), chunk)
            await stream.send_all(CHUNKED_HEAD + part * chunks + b"0\r\n\r\n")

        async with servers.attempt(serve) as answer:
            assert await answer.read() == chunk * chunks
        assert servers.excesses == []

    async def test_body_of_a_rejection_without_end(self, autojump_clock, servers):
        """Guards against a rejected request that waits for the rest of the rejection."""
        flood = Flood(REJECTION_HEAD, b"x")
        with pytest.raises(AttemptNotRun):
            async with servers.attempt(flood):
                pass
        assert servers.excesses == [InputPlace.BODY]
        assert flood.sent_bytes <= MAX_DISCARDED_BYTES + 2 * RECEIVE_BYTES

    async def test_body_of_a_stale_response_without_end(self, autojump_clock, servers):
        """Guards against an attempt that waits for the end of an earlier request's response."""
        flood = Flood(STALE_HEAD, b"x")
        servers.is_reused = True
        with pytest.raises(AttemptUnknown):
            async with servers.attempt(flood):
                pass
        assert servers.excesses == [InputPlace.BODY]
        assert flood.sent_bytes <= MAX_DISCARDED_BYTES + 2 * RECEIVE_BYTES

    async def test_trailers_end_a_whole_body(self, autojump_clock, servers):
        """Guards against running a request again because what follows its body never ends."""
        flood = Flood(CHUNKED_HEAD + b"2\r\n{}\r\n0\r\n", b"x: y\r\n")
        async with servers.attempt(flood) as answer:
            assert await answer.read() == b"{}"
        with pytest.raises(trio.ClosedResourceError):
            await servers.connections[0].stream.receive_some(1)
        assert flood.sent_bytes <= 2 * RECEIVE_BYTES

    async def test_connection_with_bytes_after_the_response_is_closed(
        self, autojump_clock, servers
    ):
        """Guards against taking bytes after a response for the next one."""
        flood = Flood(HEAD + b"content-length: 2\r\n\r\n{}x", b"x")
        async with servers.attempt(flood) as answer:
            assert await answer.read() == b"{}"
        with pytest.raises(trio.ClosedResourceError):
            await servers.connections[0].stream.receive_some(1)
        assert flood.sent_bytes <= 2 * RECEIVE_BYTES

    async def test_joint_bound_ends_the_largest_response(self, autojump_clock, servers):
        """Guards against several servers that together make an entry hold what no one may, and
        against ending a sound response for it."""
        servers.budget = InputBudget(3_000_000)
        outcomes = []

        async def read_flood() -> None:
            with pytest.raises(AttemptUnknown):
                async with servers.attempt(Flood(HEAD + b"\r\n", b"x")) as answer:
                    await answer.read()
            outcomes.append(servers.excesses[-1])

        async def answer_slowly(stream: trio.abc.Stream) -> None:
            await stream.receive_some(65_536)
            await stream.send_all(HEAD + b"content-length: 10\r\n\r\n")
            for _ in range(10):
                await trio.sleep(0.01)
                await stream.send_all(b"x")

        async with trio.open_nursery() as floods, servers.attempt(answer_slowly) as answer:
            for _ in range(8):
                floods.start_soon(read_flood)
                await trio.testing.wait_all_tasks_blocked()
            assert await answer.read() == b"x" * 10
        assert InputPlace.ALL in outcomes
        assert len(outcomes) == 8
        assert servers.budget.held_bytes == 0


class TestTime:
    """Bytes that keep coming don't extend time limits."""

    @pytest.mark.parametrize(
        "unit", [b"x", b": x\n\n", b"data: x\n", b"id: 1\ndata: x\n\n"], ids=repr
    )
    async def test_silence_is_counted_since_the_last_new_event(self, autojump_clock, servers, unit):
        """Guards against a stream that waits as long as anything comes."""
        async with servers.attempt(Drip(STREAM_HEAD + b"id: 1\ndata: x\n\n", unit)) as answer:
            stream = AnswerEvents(answer)
            assert len(await stream.read(LIMIT_S) or ()) == 1
            began_s = trio.current_time()
            with pytest.raises(AttemptUnknown) as caught:
                while await stream.read(LIMIT_S):
                    pass
        assert not caught.value.is_timeout
        assert trio.current_time() - began_s == pytest.approx(LIMIT_S, abs=0.06)

    async def test_header_that_drips_is_no_silence(self, autojump_clock, servers):
        """Guards against a wait for the header that its bytes extend, and against leaving a server
        in use that never completes one."""
        began_s = trio.current_time()
        with pytest.raises(AttemptUnknown) as caught:
            async with servers.attempt(Drip(HEAD, b"x: y\r\n")):
                pass
        assert not caught.value.is_timeout
        assert trio.current_time() - began_s == pytest.approx(LIMIT_S, abs=0.01)

    async def test_interim_responses_do_not_extend_the_wait(self, autojump_clock, servers):
        """Guards against a server that announces a response again and again."""
        began_s = trio.current_time()
        with pytest.raises(AttemptUnknown):
            async with servers.attempt(Drip(b"", b"HTTP/1.1 102 -\r\n\r\n", 0.2)):
                pass
        assert trio.current_time() - began_s == pytest.approx(LIMIT_S, abs=0.01)

    async def test_few_interim_responses_are_skipped(self, autojump_clock, servers):
        async def respond(stream: trio.abc.Stream) -> None:
            await stream.receive_some(65_536)
            interim = b"HTTP/1.1 103 -\r\nlink: x\r\n\r\n" * MAX_INTERIM_RESPONSES
            await stream.send_all(interim + HEAD + b"content-length: 2\r\n\r\n{}")

        async with servers.attempt(respond) as answer:
            assert await answer.read() == b"{}"

    async def test_body_that_drips_is_not_awaited_longer(self, autojump_clock, servers):
        """Guards against a body whose bytes extend the time limit of its attempt."""
        due_s = trio.current_time() + LIMIT_S
        async with servers.attempt(Drip(HEAD + b"\r\n", b"x")) as answer:
            with pytest.raises(AttemptUnknown) as caught:
                await answer.read(due_s)
            assert caught.value.is_timeout
        assert trio.current_time() == pytest.approx(due_s, abs=0.01)

    @pytest.mark.parametrize(
        ("head", "error"), [(REJECTION_HEAD, AttemptNotRun), (STALE_HEAD, AttemptUnknown)]
    )
    async def test_body_that_is_not_used_is_not_awaited(self, autojump_clock, servers, head, error):
        """Guards against waiting for the rest of a response that is discarded."""
        servers.is_reused = head == STALE_HEAD
        began_s = trio.current_time()
        with pytest.raises(error) as caught:
            async with servers.attempt(Drip(head, b"x")):
                pass
        assert not getattr(caught.value, "is_timeout", False)
        assert trio.current_time() - began_s == pytest.approx(DISCARD_TIME_S, abs=0.01)

    async def test_reading_goes_on_after_a_timeout(self, autojump_clock, servers):
        """Guards against losing parts of an event when a silent server goes on: part of an event
        and whole events have arrived with the chunk before."""
        parts = [b"id: 1\ndata: x\n\nid: 2\nda", b"ta: y\n\nid: 3\ndata: z\n\n"]

        async def pause(stream: trio.abc.Stream) -> None:
            await stream.receive_some(65_536)
            await stream.send_all(STREAM_HEAD + parts[0])
            await trio.sleep(2.5 * LIMIT_S)
            await stream.send_all(parts[1])
            await stream.aclose()

        async with servers.attempt(pause) as answer:
            stream, received, timeouts = AnswerEvents(answer), b"", 0
            while True:
                try:
                    events = await stream.read(LIMIT_S)
                except AttemptUnknown as cause:
                    assert cause.is_timeout
                    timeouts += 1
                    continue
                if events is None:
                    break
                received += b"".join(event.data for event in events)
        assert received == b"".join(parts)
        assert timeouts == 2

    async def test_silence_after_part_of_an_event_is_silence(self, autojump_clock, servers):
        """Guards against counting a sound server that pauses as one that fails."""
        pause_s = (1 - SILENT_SHARE) * LIMIT_S - 0.05

        async def pause(stream: trio.abc.Stream) -> None:
            await stream.receive_some(65_536)
            await stream.send_all(STREAM_HEAD)
            await trio.sleep(pause_s)
            await stream.send_all(b"data:")
            await trio.sleep_forever()

        async with servers.attempt(pause) as answer:
            with pytest.raises(AttemptUnknown) as caught:
                await AnswerEvents(answer).read(LIMIT_S)
        assert caught.value.is_timeout


class TestFraming:
    """Chunks, tunnels and events in the reading of one response."""

    async def test_tiny_events_are_split_in_parts(self, autojump_clock, servers):
        """Guards against an entry that is busy with the events of one read."""
        data = b"x\n\n" * 20_000

        async def respond(stream: trio.abc.Stream) -> None:
            await stream.receive_some(65_536)
            await stream.send_all(STREAM_HEAD + data)
            await stream.aclose()

        async with servers.attempt(respond) as answer:
            stream, most = AnswerEvents(answer), 0
            while (events := await stream.read(LIMIT_S)) is not None:
                most = max(most, len(events))
        assert most <= 1400

    async def test_chunks_that_drip_are_not_taken_for_trailers(self, autojump_clock, servers):
        """Guards against ending a body early because the end of a chunk's line has arrived."""
        body = b"5\r\nab\r\nc\r\n" * 20 + b"0\r\n\r\n"

        async def respond(stream: trio.abc.Stream) -> None:
            await stream.receive_some(65_536)
            await stream.send_all(CHUNKED_HEAD)
            for number in range(len(body)):
                await stream.send_all(body[number : number + 1])

        async with servers.attempt(respond) as answer:
            assert await answer.read() == b"ab\r\nc" * 20

    async def test_response_that_opens_a_tunnel_is_rejected(self, autojump_clock, servers):
        """Guards against an entry that is busy for good: after a success for CONNECT, the bytes are
        no HTTP any more, and there is never a next part of the response."""

        async def respond(stream: trio.abc.Stream) -> None:
            await stream.receive_some(65_536)
            await stream.send_all(STREAM_HEAD + b"x")

        with pytest.raises(AttemptUnknown):
            async with servers.attempt(respond, b"CONNECT") as answer:
                await answer.read()

    async def test_long_first_event_may_follow_a_comment(self, autojump_clock, servers):
        """Guards against a sound stream that is given up since a comment makes its event 0 look
        like one that is repeated."""
        event = b"id: 0\ndata: " + b"x" * 70_000 + b"\n\n"

        async def respond(stream: trio.abc.Stream) -> None:
            await stream.receive_some(65_536)
            await stream.send_all(STREAM_HEAD + b": accepted\n\n" + event)
            await stream.aclose()

        async with servers.attempt(respond) as answer:
            assert await read_events(answer) == 1
