"""Streams of several attempts whose servers answer at about the same time."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
import trio
import trio.testing

from sassafrastally.proxy.attempt_stream import AttemptStream
from sassafrastally.proxy.body_framing import BodyFraming
from sassafrastally.proxy.caller_stream import CallerStream
from sassafrastally.proxy.open_attempt import OpenAttempt
from sassafrastally.proxy.overlapping_attempts import OverlappingAttempts
from sassafrastally.proxy.silence_watch import ServerWait
from sassafrastally.proxy.task import Progress

EVENTS = 4


def make_event(run: str, number: int) -> bytes:
    """Return an event of a run."""
    return f"id: {number}\ndata: {run}\n\n".encode()


class ScriptedAnswer:
    """A response whose chunks come when the test sends them."""

    status = 200
    headers = ()
    framing = BodyFraming.CHUNKS
    received_s = 0.0

    def __init__(self) -> None:
        self.held_bytes = 0
        self.send, self._chunks = trio.open_memory_channel(100)

    async def next_chunk(self) -> bytes | None:
        """Return the next chunk, or ``None`` after the last one."""
        try:
            return await self._chunks.receive()
        except trio.EndOfChannel:
            return None

    def hold(self, added_bytes: int) -> None:
        """Count held bytes."""
        self.held_bytes += added_bytes


class RecordingReply:
    """Takes down what the caller gets."""

    def __init__(self) -> None:
        self.body = b""
        self.has_begun = self.has_ended = False

    async def begin(self, status, headers) -> None:
        """Begin."""
        self.has_begun = True

    async def send(self, data: bytes) -> None:
        """Take down a part of the body."""
        await trio.lowlevel.checkpoint()
        self.body += data

    async def end(self) -> None:
        """End."""
        self.has_ended = True


class ScriptedStreams:
    """The attempts `first` and `second` of a request, both without an event yet."""

    def __init__(self) -> None:
        self.reply = RecordingReply()
        facts = SimpleNamespace(last_event_id=None)
        task = SimpleNamespace(request=SimpleNamespace(arrived_s=0.0, facts=facts))
        self.caller = CallerStream(task, self.reply, Progress(), 2.0)
        self.attempts = OverlappingAttempts(self.make)
        self.answers = {"first": ScriptedAnswer(), "second": ScriptedAnswer()}

    async def make(self, name: str) -> bool:
        """Forward the stream of an attempt."""
        now_s = trio.current_time()
        attempt = OpenAttempt(None, 1 + len(self.attempts._open), now_s, ServerWait(now_s, 1, 1))
        attempt.is_sent, attempt.position = True, self.caller.position
        with self.attempts.open(attempt):
            stream = AttemptStream(
                attempt,
                self.answers[name],
                self.attempts,
                self.caller,
                (),
                lambda events, waited_s: None,
            )
            await stream.forward()
            return True
        return False

    async def run(self) -> None:
        """Run the first attempt."""
        await self.attempts.run("first")


@pytest.fixture
async def streams(autojump_clock, nursery):
    """Two attempts that wait for their servers."""
    scripted = ScriptedStreams()
    nursery.start_soon(scripted.run)
    await trio.testing.wait_all_tasks_blocked()
    scripted.attempts.add("second")
    await trio.testing.wait_all_tasks_blocked()
    return scripted


class TestWholeResponse:
    """Responses of which all has arrived when a part of another one has."""

    @pytest.mark.parametrize("whole", ["first", "second"])
    @pytest.mark.parametrize("is_first", [False, True])
    @pytest.mark.parametrize("run", ["same", "other"])
    async def test_comes_before_a_part_of_another_one(
        self, autojump_clock, streams, whole, is_first, run
    ):
        """Guards against a stream that is cut since the begin of one response was read before
        another one, which had arrived as a whole."""
        partial = "second" if whole == "first" else "first"
        order = [whole, partial] if is_first else [partial, whole]
        for name in order:
            if name == partial:
                streams.answers[name].send.send_nowait(make_event(run, 0))
                continue
            for number in range(EVENTS):
                streams.answers[name].send.send_nowait(make_event("same", number))
            streams.answers[name].send.close()
        await trio.sleep(1.0)
        assert streams.reply.has_ended
        assert streams.reply.body == b"".join(make_event("same", one) for one in range(EVENTS))
        assert not any(answer.held_bytes for answer in streams.answers.values())


class TestFirstEvent:
    """Responses that go on after their first event."""

    @pytest.mark.parametrize("run", ["same", "other"])
    async def test_is_forwarded_soon(self, autojump_clock, streams, run):
        """Guards against a caller that waits for the event of one server until the other one, which
        is still silent, has sent something."""
        first, second = streams.answers["first"].send, streams.answers["second"].send
        second.send_nowait(make_event("same", 0))
        await trio.sleep(0.01)
        assert streams.reply.body == make_event("same", 0)
        first.send_nowait(make_event(run, 0))
        first.send_nowait(make_event(run, 1))
        await trio.sleep(0.01)
        has_other = run == "same"
        assert streams.reply.body.count(b"id: 1") == has_other
        second.send_nowait(make_event("same", 1))
        await trio.sleep(0.01)
        assert streams.reply.body == make_event("same", 0) + make_event("same", 1)
        assert streams.attempts.is_single is not has_other
