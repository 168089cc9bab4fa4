"""Which of several open attempts of a request goes on, and what the caller gets."""

from __future__ import annotations

import random

import pytest
import trio
import trio.testing

from sassafrastally.proxy.event_stream import StreamEvent
from sassafrastally.proxy.failover_decision import (
    Handling,
    Received,
    Reserve,
    Silence,
    handling,
    is_dispensable,
    may_start_another,
)
from sassafrastally.proxy.http_stream import ConnectionLost
from sassafrastally.proxy.open_attempt import OpenAttempt
from sassafrastally.proxy.overlapping_attempts import OverlappingAttempts
from sassafrastally.proxy.silence_watch import ServerWait
from sassafrastally.proxy.stream_agreement import Agreement, ForwardedEvents, StreamPosition

LIMIT_S = 1.3
EVENTS = 10
"""Number of events of a stream in the replay."""


def run_event(run: int, differs_from: int, number: int) -> StreamEvent:
    """Return an event of a run that differs from run 0 from an event on."""
    text = run if number >= differs_from else 0
    return StreamEvent(f"id: {number}\ndata: {text}-{number}\n\n".encode(), number, True)


class ReplayedAttempt:
    """An attempt and the run of its server."""

    def __init__(self, position: StreamPosition, run: int, differs_from: int) -> None:
        self.position = position
        self.begin = position.events
        self.run = [run_event(run, differs_from, number) for number in range(EVENTS)]
        self.next = position.events
        """Number of its next event."""
        self.events = 0
        """Events received."""


class Replay:
    """Replays the attempts of one stream, each from the event after the caller's last one.

    An attempt has gone on after four events.
    """

    def __init__(self) -> None:
        self.open: dict[int, ReplayedAttempt] = {}
        self.forwarded = ForwardedEvents()
        self.delivered: list[StreamEvent] = []
        self.leader: ReplayedAttempt | None = None
        self.has_ended = False

    def start(self, attempt: int, run: int = 0, differs_from: int = EVENTS) -> None:
        """Start an attempt after the last event that the caller has."""
        last_id = self.delivered[-1].event_id if self.delivered else None
        position = StreamPosition(self.forwarded.count, last_id)
        self.open[attempt] = ReplayedAttempt(position, run, differs_from)

    def receive_next(self, attempt: int) -> Handling | None:
        """Let an open attempt receive the next event of its run, or the end after the last one."""
        one = self.open.get(attempt)
        if one is None or self.has_ended:
            return None
        if one.next == EVENTS:
            is_whole = one.position.events == self.forwarded.count
            return self.apply(attempt, Received.RESPONSE if is_whole else Received.OTHER_RESPONSE)
        event = one.run[one.next]
        agreement = self.forwarded.agreement(event, one.position)
        one.next, one.events = one.next + 1, one.events + 1
        received = {
            Agreement.NEW: Received.NEW_EVENT,
            Agreement.KNOWN: Received.KNOWN_EVENT,
            Agreement.DIFFERENT: Received.OTHER_EVENT,
        }[agreement]
        decision = self.apply(attempt, received)
        if decision is Handling.FORWARD:
            self.forwarded.record(event, has_others=len(self.open) > 1)
            self.delivered.append(event)
        if decision in (Handling.FORWARD, Handling.DROP):
            one.position = one.position.after(event)
        return decision

    def apply(self, attempt: int, received: Received | None) -> Handling | None:
        """Let an open attempt receive something, or end without a response."""
        if attempt not in self.open or self.has_ended:
            return None
        if received is None:
            del self.open[attempt]
            return None
        decision = handling(received, has_others=len(self.open) > 1)
        if decision in (Handling.KEEP, Handling.CLOSE):
            del self.open[attempt]
        elif decision is Handling.FORWARD and received is not Received.COMMENT:
            self.leader = self.open[attempt]
            self.has_ended = received is Received.RESPONSE
            reserve = Reserve(True, self.has_ended or self.leader.events >= 4)
            if is_dispensable(reserve):
                self.open = {attempt: self.leader}
        return decision


class TestReplay:
    """Requests that wait for silent servers and their successors in all orders of events."""

    @pytest.mark.parametrize("are_equal", [False, True])
    @pytest.mark.parametrize("seed", range(200))
    def test_caller_gets_each_event_once_and_of_one_run(self, seed, are_equal):
        """Guards against events that are missing, repeated or out of order, and against pieces of
        two runs, as attempts at several servers forward events."""
        draw = random.Random(seed)
        replay = Replay()
        for attempt in range(60):
            if len(replay.open) < 3:
                replay.start(attempt, attempt, EVENTS if are_equal else draw.randrange(EVENTS + 1))
            for _ in range(draw.randint(1, 4)):
                one = draw.choice([*replay.open, attempt])
                if draw.random() < 0.8:
                    replay.receive_next(one)
                else:
                    replay.apply(one, draw.choice([Received.COMMENT, Received.FAILURE, None]))
        numbers = [event.event_id for event in replay.delivered]
        assert numbers == list(range(len(numbers)))
        begin = replay.leader.begin
        assert replay.delivered[begin:] == replay.leader.run[begin : len(numbers)]
        assert not replay.has_ended or len(numbers) == EVENTS

    @pytest.mark.parametrize("end", [None, Received.FAILURE])
    def test_silent_attempt_outlives_all_successors_without_a_response(self, end):
        """Guards against a silent attempt that is closed for successors that are rejected, find
        their server gone, send comments only, answer with a failure or fail after some events."""
        replay = Replay()
        replay.start(0)
        for attempt in (1, 2, 3):
            replay.start(attempt)
            assert replay.apply(attempt, Received.COMMENT) is Handling.HOLD
            for _ in range(attempt):
                assert replay.receive_next(attempt) is Handling.FORWARD
            replay.apply(attempt, end)
        assert list(replay.open) == [0]
        for _ in range(1 + 2 + 3):
            assert replay.receive_next(0) is Handling.DROP
        assert replay.receive_next(0) is Handling.FORWARD

    @pytest.mark.parametrize("first", [0, 1])
    def test_complete_response_closes_the_other(self, first):
        """Guards against work for nobody, and against a stream that ends twice."""
        replay = Replay()
        replay.start(0)
        replay.start(1)
        assert replay.apply(first, Received.RESPONSE) is Handling.FORWARD
        assert list(replay.open) == [first]
        assert replay.receive_next(1 - first) is None

    def test_attempt_that_has_gone_on_closes_the_other(self):
        """Guards against a dead server whose request stays open beside a sound one's."""
        replay = Replay()
        replay.start(0)
        replay.start(1)
        for _ in range(4):
            assert list(replay.open) == [0, 1]
            replay.receive_next(1)
        assert list(replay.open) == [1]

    def test_other_run_is_closed(self):
        """Guards against pieces of two runs, and against the end of a shorter run behind the events
        of a longer one."""
        replay = Replay()
        replay.start(0)
        replay.start(1, run=1, differs_from=2)
        for attempt in (0, 0, 0, 1, 1):
            replay.receive_next(attempt)
        assert replay.receive_next(1) is Handling.CLOSE
        assert list(replay.open) == [0]
        replay.start(2)
        assert replay.apply(2, Received.OTHER_RESPONSE) is Handling.CLOSE

    def test_comments_of_a_single_attempt_are_forwarded(self):
        """Guards against a caller that gets no comments although nothing else is open."""
        assert handling(Received.COMMENT, has_others=False) is Handling.FORWARD


class TestIsDispensable:
    """Attempts beside one whose events are forwarded."""

    @pytest.mark.parametrize(
        ("is_sent", "has_leader_gone_on", "expected"),
        [(False, False, True), (True, False, False), (True, True, True)],
    )
    def test_stays_open_until_the_other_has_gone_on(self, is_sent, has_leader_gone_on, expected):
        """Guards against a sound server's attempt that is closed for the first event of another
        one, and against a request that is sent although the silent server goes on."""
        assert is_dispensable(Reserve(is_sent, has_leader_gone_on)) is expected

    def test_stays_open_once_the_limit_has_passed(self):
        """Guards against a whole response that lies in its socket when the limit passes and is
        closed for another one, which had gone on but isn't whole."""
        assert not is_dispensable(Reserve(True, True, is_time_over=True))
        assert is_dispensable(Reserve(False, True, is_time_over=True))


class TestMayStartAnother:
    """Silence of all open attempts, after which another one may start."""

    @pytest.mark.parametrize(
        ("silences_s", "expected"),
        [
            ([1.3], True),
            ([1.2], False),
            ([3.0, 0.1], False),
            ([0.1, 3.0], False),
            ([3.0, 1.3], True),
        ],
    )
    def test_needs_silence_of_all(self, silences_s, expected):
        """Guards against a request whose attempts are all used within a moment."""
        silences = [Silence(one, LIMIT_S) for one in silences_s]
        assert may_start_another(silences) is expected


class ScriptedAttempts:
    """Attempts that wait for the test before each step; the test writes down what they do."""

    def __init__(self) -> None:
        self.overlapping = OverlappingAttempts(self.make)
        self.opened: dict[str, OpenAttempt] = {}
        self.ended: list[str] = []
        self.results: list[bool] = []
        self.recording_s = 0.0
        """How long the record of an attempt without a response takes."""
        self._steps: dict[str, trio.MemoryReceiveChannel] = {}
        self._senders: dict[str, trio.MemorySendChannel] = {}

    async def make(self, name: str) -> bool:
        """Make an attempt that does what the test says."""
        now_s = trio.current_time()
        attempt = OpenAttempt(None, len(self.opened) + 1, now_s, ServerWait(now_s, 1.0, 1.0))
        self.opened[name] = attempt
        self._senders[name], steps = trio.open_memory_channel(10)
        try:
            with self.overlapping.open(attempt):
                async for step in steps:
                    if isinstance(step, Exception):
                        raise step
                    if step is None:
                        break
                    async with self.overlapping.turn(attempt):
                        decision = await self.overlapping.receive(attempt, step)
                    if step is Received.RESPONSE and decision is Handling.FORWARD:
                        return True
        finally:
            self.ended.append(name)
        await trio.sleep(self.recording_s)
        return False

    def do(self, name: str, step: Received | Exception | None) -> None:
        """Let an attempt receive something, raise an error, or end without a response."""
        self._senders[name].send_nowait(step)

    async def run(self) -> None:
        """Run the first attempt, named `first`."""
        self.results.append(await self.overlapping.run("first"))


@pytest.fixture
async def scripted(autojump_clock, nursery):
    """A silent attempt `first` and its successor `second`."""
    attempts = ScriptedAttempts()
    nursery.start_soon(attempts.run)
    await trio.testing.wait_all_tasks_blocked()
    attempts.overlapping.add("second")
    await trio.testing.wait_all_tasks_blocked()
    return attempts


class TestOverlappingAttempts:
    """The tasks of attempts that are open at the same time."""

    @pytest.mark.parametrize("goes_on", ["first", "second"])
    async def test_complete_response_closes_the_other_at_once(
        self, autojump_clock, scripted, goes_on
    ):
        """Guards against a server that works on for nobody, and against two responses."""
        other = "second" if goes_on == "first" else "first"
        scripted.opened[other].is_sent = True
        scripted.do(goes_on, Received.RESPONSE)
        await trio.testing.wait_all_tasks_blocked()
        assert scripted.ended == [goes_on, other]
        assert scripted.results == [True]

    @pytest.mark.parametrize("goes_on", ["first", "second"])
    async def test_other_stays_open_until_one_has_gone_on(self, autojump_clock, scripted, goes_on):
        """Guards against an attempt that is closed for the first event of another one, and against
        one that stays open beside a server that has gone on."""
        other = "second" if goes_on == "first" else "first"
        scripted.opened[other].is_sent = True
        scripted.do(goes_on, Received.NEW_EVENT)
        await trio.testing.wait_all_tasks_blocked()
        assert scripted.ended == []
        for _ in range(4):
            scripted.opened[goes_on].record_event(trio.current_time())
            await trio.sleep(0.2)
        scripted.do(goes_on, Received.NEW_EVENT)
        await trio.testing.wait_all_tasks_blocked()
        assert scripted.ended == [other]
        assert scripted.overlapping.is_single
        scripted.do(goes_on, Received.RESPONSE)
        await trio.testing.wait_all_tasks_blocked()
        assert scripted.results == [True]

    async def test_attempt_that_isnt_sent_is_closed_at_once(self, autojump_clock, scripted):
        """Guards against a second server that gets a request although the silent one goes on."""
        scripted.do("first", Received.NEW_EVENT)
        await trio.testing.wait_all_tasks_blocked()
        assert scripted.ended == ["second"]
        assert scripted.overlapping.is_single

    async def test_other_run_is_closed(self, autojump_clock, scripted):
        """Guards against an attempt that goes on although its caller has got another run."""
        for one in scripted.opened.values():
            one.is_sent = True
        scripted.do("first", Received.NEW_EVENT)
        await trio.testing.wait_all_tasks_blocked()
        scripted.do("second", Received.OTHER_EVENT)
        await trio.testing.wait_all_tasks_blocked()
        assert scripted.ended == ["second"]
        assert scripted.opened["second"].has_differed
        assert scripted.opened["second"].closed_by is scripted.opened["first"]

    async def test_only_one_writes_at_a_time(self, autojump_clock, scripted):
        """Guards against two attempts that write to the caller at once."""
        first, order = scripted.opened["first"], []
        for one in scripted.opened.values():
            one.is_sent = True
        async with trio.open_nursery() as nursery, scripted.overlapping.turn(first):

            async def write_second():
                async with scripted.overlapping.turn(scripted.opened["second"]):
                    order.append("second")

            nursery.start_soon(write_second)
            await trio.sleep(0.1)
            order.append("first")
        assert order == ["first", "second"]

    @pytest.mark.parametrize("fails", ["first", "second"])
    async def test_other_goes_on_after_a_failure(self, autojump_clock, scripted, fails):
        """Guards against a request that fails with the attempt that fails first."""
        other = "second" if fails == "first" else "first"
        scripted.do(fails, None)
        await trio.testing.wait_all_tasks_blocked()
        assert not scripted.results
        scripted.do(other, Received.RESPONSE)
        await trio.testing.wait_all_tasks_blocked()
        assert scripted.results == [True]

    async def test_all_failed(self, autojump_clock, scripted):
        """Guards against a request that waits for ever when all its attempts have failed."""
        scripted.do("first", None)
        scripted.do("second", None)
        await trio.testing.wait_all_tasks_blocked()
        assert scripted.results == [False]

    async def test_successor_that_hasnt_begun_doesnt_begin_any_more(self, autojump_clock, nursery):
        """Guards against a successor that gets the request although the silent server goes on in
        the turn in which it is chosen."""
        attempts = ScriptedAttempts()
        nursery.start_soon(attempts.run)
        await trio.testing.wait_all_tasks_blocked()
        first = attempts.opened["first"]
        attempts.overlapping.add("second")
        assert await attempts.overlapping.receive(first, Received.NEW_EVENT) is Handling.FORWARD
        await trio.testing.wait_all_tasks_blocked()
        assert list(attempts.opened) == ["first"]

    async def test_silence_allows_no_third_before_the_second_is_silent(
        self, autojump_clock, scripted
    ):
        """Guards against a successor for each check of a silent server."""
        assert not scripted.overlapping.silent(trio.current_time() + 0.9)
        await trio.sleep(1.1)
        silent = scripted.overlapping.silent(trio.current_time())
        assert [one.number for one in silent] == [1, 2]
        scripted.overlapping.add("third")
        assert not scripted.overlapping.silent(trio.current_time())

    async def test_no_other_begins_before_a_failure_is_recorded(self, autojump_clock, scripted):
        """Guards against a request that crashes a third server while it isn't known yet that it
        has crashed the second one."""
        await trio.sleep(1.1)
        scripted.recording_s = 0.3
        scripted.do("second", None)
        await trio.sleep(0.2)
        assert scripted.ended == ["second"]
        assert not scripted.overlapping.silent(trio.current_time())
        await trio.sleep(0.2)
        silent = scripted.overlapping.silent(trio.current_time())
        assert [one.number for one in silent] == [1]

    async def test_error_of_a_successor_ends_the_request_as_it_is(self, autojump_clock):
        """Guards against a caller that can't be reached and whose error is hidden in a group, so
        that it is taken for an unexpected one."""
        attempts = ScriptedAttempts()
        async with trio.open_nursery() as nursery:

            async def act():
                await trio.testing.wait_all_tasks_blocked()
                attempts.overlapping.add("second")
                await trio.testing.wait_all_tasks_blocked()
                attempts.do("second", ConnectionLost("the caller has left"))

            nursery.start_soon(act)
            with pytest.raises(ConnectionLost, match="the caller has left"):
                await attempts.run()
        assert sorted(attempts.ended) == ["first", "second"]

    async def test_cancellation_closes_all(self, autojump_clock):
        """Guards against attempts that stay open after their caller has left, and against a
        cancellation hidden in a group, which isn't logged as a caller that left."""
        attempts, is_cancellation = ScriptedAttempts(), []
        with trio.move_on_after(1.0) as caller:
            async with trio.open_nursery() as nursery:

                async def act():
                    await trio.testing.wait_all_tasks_blocked()
                    attempts.overlapping.add("second")

                nursery.start_soon(act)
                try:
                    await attempts.run()
                except trio.Cancelled:
                    is_cancellation.append(True)
                    raise
        assert caller.cancelled_caught
        assert is_cancellation == [True]
        assert sorted(attempts.ended) == ["first", "second"]
