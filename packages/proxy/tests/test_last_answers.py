"""Answers to all open requests at the end of a drain."""

from __future__ import annotations

import socket
from functools import partial

import h11
import pytest
import trio

from sassafrastally.proxy.drain import Drain
from sassafrastally.proxy.http_stream import HttpStream
from sassafrastally.proxy.last_answers import LastAnswer, send_last_answers
from sassafrastally.proxy.reply import Reply

REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"

OPEN_REQUESTS = 100

DRAIN_S = 5.0


class TestOrder:
    """What is answered first."""

    def test_what_has_not_run_is_refused_first(self):
        """Guards against a caller who could still try elsewhere and waits behind a hundred who
        can't."""
        sent = []
        answers = [
            LastAnswer(partial(bool, number % 2), partial(sent.append, number))
            for number in range(6)
        ]
        send_last_answers(answers)
        assert sent == [0, 2, 4, 1, 3, 5]


class TestDrain:
    """A drain that ends with many open requests."""

    async def test_answers_all_before_a_task_runs(self, autojump_clock):
        """Guards against answers that come only after all tasks have had their turns: an entry with
        a tenth of a processor has no time for these before it is killed."""
        drain, begin_s, done = Drain(), trio.current_time(), []
        async with trio.open_nursery() as nursery:

            async def work(number: int) -> None:
                try:
                    with drain.limit(begin_s + 60.0, nursery) as limit:
                        limit.last_answer = LastAnswer(
                            lambda: number % 2 > 0, lambda: done.append("answer")
                        )
                        await trio.sleep_forever()
                finally:
                    done.append("task")

            for number in range(OPEN_REQUESTS):
                nursery.start_soon(work, number)
            await trio.sleep(1.0)
            drain.begin(begin_s + DRAIN_S)
        assert done == ["answer"] * OPEN_REQUESTS + ["task"] * OPEN_REQUESTS
        assert trio.current_time() - begin_s == pytest.approx(DRAIN_S)

    async def test_lets_no_refused_request_be_sent(self):
        """Guards against a refusal that isn't true: a task that is about to send its request to a
        server at the end."""
        drain, begin_s, refused, sent = Drain(), trio.current_time(), [], []
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(ours))
        async with trio.open_nursery() as nursery:

            async def work() -> None:
                with drain.limit(begin_s + 60.0, nursery) as limit:
                    limit.last_answer = LastAnswer(lambda: False, lambda: refused.append(1))
                    while not refused:
                        await trio.lowlevel.cancel_shielded_checkpoint()
                    await stream.send_all(b"request")
                    sent.append(1)

            nursery.start_soon(work)
            drain.begin(begin_s + 0.01)
        theirs.setblocking(False)
        assert refused
        assert not sent
        with pytest.raises(BlockingIOError):
            theirs.recv(1)

    async def test_delivers_what_has_been_received_first(self, autojump_clock):
        """Guards against an answer that lies ready and is replaced at the end."""
        drain, begin_s, done = Drain(), trio.current_time(), []
        async with trio.open_nursery() as nursery:

            async def work() -> None:
                with drain.limit(begin_s + 60.0, nursery) as limit:
                    limit.last_answer = LastAnswer(lambda: True, lambda: done.append("last answer"))
                    await trio.sleep_until(begin_s + DRAIN_S)
                    await trio.lowlevel.checkpoint()
                    limit.record_delivery()
                    done.append("answer")

            nursery.start_soon(work)
            await trio.sleep(1.0)
            drain.begin(begin_s + DRAIN_S)
        assert done == ["answer"]

    async def test_that_has_no_requests_yet_ends_those_that_come(self, autojump_clock):
        """Guards against requests that come after the signal and that nothing ends."""
        drain, begin_s = Drain(), trio.current_time()
        drain.begin(begin_s + DRAIN_S)
        async with trio.open_nursery() as nursery:
            await trio.sleep(1.0)
            with drain.limit(begin_s + 60.0, nursery) as limit:
                await trio.sleep_forever()
            assert limit.has_acted
        assert trio.current_time() - begin_s == pytest.approx(DRAIN_S)


class TestReply:
    """A response that is sent without a wait."""

    async def test_is_whole_and_sent_once(self):
        """Guards against a second response, or none, of the task that goes on afterwards."""
        ours, theirs = socket.socketpair()
        reply = await self._reply(ours)
        reply.send_at_once(502, [], b"text")
        assert reply.has_ended
        await reply.send_complete(200, [], b"other")
        ours.close()
        received = theirs.makefile("rb").read()
        assert received.startswith(b"HTTP/1.1 502")
        assert received.endswith(b"\r\n\r\ntext")

    @pytest.mark.parametrize("is_stream", [False, True])
    async def test_ends_the_task_that_has_another_one_ready(self, is_stream):
        """Guards against an error, or a request that counts as answered twice, when a server's
        response is delivered in the same turn."""
        ours, theirs = socket.socketpair()
        reply = await self._reply(ours)
        await reply.begin(200, [])
        reply.send_at_once(502, [], b"text")
        with trio.CancelScope() as scope:
            scope.cancel()
            await (reply.send(b"other") if is_stream else reply.send_complete(200, [], b"other"))
        assert scope.cancelled_caught
        theirs.close()

    async def test_goes_on_where_its_connection_took_no_more(self):
        """Guards against a response that is cut since its caller reads slowly."""
        ours, theirs = socket.socketpair()
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        reply = await self._reply(ours)
        reply.send_at_once(502, [], b"x" * 200_000)
        assert reply.was_sent_at_once
        assert not reply.has_ended
        received = bytearray()

        async def read() -> None:
            while b"\r\n\r\n" not in received or received.count(b"x") < 200_000:
                received.extend(await trio.to_thread.run_sync(theirs.recv, 65_536))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await reply.send_rest()
        assert reply.has_ended
        assert received.count(b"x") == 200_000

    async def _reply(self, ours: socket.socket) -> Reply:
        ours.setblocking(False)
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(ours))
        connection = HttpStream(stream, h11.SERVER)
        connection.http.receive_data(REQUEST)
        await connection.receive()
        return Reply(connection, lambda: True)
