"""Which of several open attempts of a request goes on, and what the caller gets."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest
import trio
import trio.testing

from sassafrastally.proxy.failover_decision import (
    Handling,
    Received,
    Silence,
    handling,
    may_start_another,
)
from sassafrastally.proxy.http_stream import ConnectionLost
from sassafrastally.proxy.open_attempt import OpenAttempt
from sassafrastally.proxy.overlapping_attempts import OverlappingAttempts
from sassafrastally.proxy.silence_watch import ServerWait

LIMIT_S = 1.3
EVENTS = 10
"""Number of events of a stream in the replay."""


class Step(NamedTuple):
    """An attempt receives something, or ends without a response."""

    attempt: int
    received: Received | None


class Delivery(NamedTuple):
    """An event that the caller gets, and the attempt that it comes from."""

    attempt: int
    event: int


class Replay:
    """Replays the attempts of one stream, each from the event after the caller's last one."""

    def __init__(self) -> None:
        self.open: dict[int, int] = {}
        """Next event of each open attempt."""
        self.delivered: list[Delivery] = []
        self.has_ended = False

    def start(self, attempt: int) -> None:
        """Start an attempt after the last event that the caller has."""
        self.open[attempt] = len(self.delivered)

    def apply(self, step: Step) -> Handling | None:
        """Apply a step of an open attempt."""
        if step.attempt not in self.open or self.has_ended:
            return None
        if step.received is None:
            del self.open[step.attempt]
            return None
        decision = handling(step.received, has_others=len(self.open) > 1)
        if decision is Handling.KEEP:
            del self.open[step.attempt]
        elif decision is Handling.FORWARD:
            self.open = {step.attempt: self.open[step.attempt]}
            if step.received is Received.NEW_EVENT:
                self.delivered.append(Delivery(step.attempt, self.open[step.attempt]))
                self.open[step.attempt] += 1
                self.has_ended = self.open[step.attempt] == EVENTS
        return decision


class TestReplay:
    """Requests that wait for silent servers and their successors in all orders of events."""

    @pytest.mark.parametrize("seed", range(200))
    def test_caller_gets_each_event_once_and_in_order(self, seed):
        """Guards against events of two attempts in turn, which are repeated or out of order."""
        draw = random.Random(seed)
        replay = Replay()
        replay.start(0)
        for attempt in range(1, 60):
            steps = [
                Step(draw.choice([*replay.open, attempt]), draw.choice([*Received, None]))
                for _ in range(draw.randint(1, 4))
            ]
            if len(replay.open) < 3:
                replay.start(attempt)
            for step in steps:
                if step.received is not Received.RESPONSE:
                    replay.apply(step)
        assert [one.event for one in replay.delivered] == list(range(len(replay.delivered)))
        sources = [one.attempt for one in replay.delivered]
        assert sources == sorted(sources, key=sources.index)

    @pytest.mark.parametrize("end", [None, Received.FAILURE])
    def test_silent_attempt_outlives_all_successors_without_a_response(self, end):
        """Guards against a silent attempt that is closed for successors that are rejected, find
        their server gone, send comments only or answer with a failure."""
        replay = Replay()
        replay.start(0)
        for attempt in (1, 2, 3):
            replay.start(attempt)
            assert replay.apply(Step(attempt, Received.NOTHING_NEW)) is Handling.HOLD
            replay.apply(Step(attempt, end))
        assert list(replay.open) == [0]
        assert replay.apply(Step(0, Received.NEW_EVENT)) is Handling.FORWARD

    @pytest.mark.parametrize("received", [Received.NEW_EVENT, Received.RESPONSE])
    @pytest.mark.parametrize("first", [0, 1])
    def test_first_response_closes_the_other(self, received, first):
        """Guards against two attempts that both go on, and against work for nobody."""
        replay = Replay()
        replay.start(0)
        replay.start(1)
        assert replay.apply(Step(first, received)) is Handling.FORWARD
        assert list(replay.open) == [first]
        assert replay.apply(Step(1 - first, received)) is None

    def test_comments_of_a_single_attempt_are_forwarded(self):
        """Guards against a caller that gets no comments although nothing else is open."""
        assert handling(Received.NOTHING_NEW, has_others=False) is Handling.FORWARD


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
    async def test_first_new_event_closes_the_other_at_once(
        self, autojump_clock, scripted, goes_on
    ):
        """Guards against a server that works on for nobody, and against two that go on."""
        other = "second" if goes_on == "first" else "first"
        scripted.do(goes_on, Received.NEW_EVENT)
        await trio.testing.wait_all_tasks_blocked()
        assert scripted.ended == [other]
        assert scripted.overlapping.is_single
        scripted.do(goes_on, Received.RESPONSE)
        await trio.testing.wait_all_tasks_blocked()
        assert scripted.results == [True]

    async def test_events_that_arrive_at_once_go_on_with_one(self, autojump_clock, scripted):
        """Guards against two attempts that receive an event in the same turn and both write."""
        scripted.do("first", Received.NEW_EVENT)
        scripted.do("second", Received.NEW_EVENT)
        await trio.testing.wait_all_tasks_blocked()
        assert len(scripted.ended) == 1
        assert scripted.overlapping.is_single

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
