"""Cancellations of runs that nobody reads any more, as tasks with bounds, and their cases."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest
import trio

from sassafrastally.core import Address, Clock, EventLog, Incarnation
from sassafrastally.entry.attempt_result import (
    ContactLost,
    Failed,
    IncarnationGone,
    Rejected,
)
from sassafrastally.entry.site import Site
from sassafrastally.entry.unread_runs import (
    MAX_CANCEL_LIMIT_S,
    MIN_CANCEL_LIMIT_S,
    STOP_LIMIT_S,
    UnreadRuns,
    cancel_limit_s,
    is_given_up,
)
from sassafrastally.testing.sidecar_scripts import own_of, refusal_of
from sassafrastally.wire.link import LinkCut, LinkRefused, StreamEnded
from sassafrastally.wire.messages import Cancel, End, Refused, Reserve
from sassafrastally.wire.streams import TooManyStreams

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.wire.messages import Message

ADDRESS = Address("127.0.0.1", 1)


class Peers:
    """Links to one sidecar, which is dialled without end while it is silent."""

    def __init__(self) -> None:
        self.is_silent = True
        self.received: list[Message] = []
        self.failures: list[Exception] = []
        """What the next calls raise."""

    async def link_to(self, vm: str, address: Address) -> Any:
        if self.is_silent:
            await trio.sleep(5.0)
            raise LinkRefused("no answer in 5 s")
        return self

    async def call(self, message: Message) -> Message:
        await trio.lowlevel.checkpoint()
        if self.failures:
            raise self.failures.pop(0)
        self.received.append(message)
        return End()


def attempt_of(number: int, limit_s: float = 300.0, *, is_idempotent: bool = False) -> Any:
    """Return an attempt that was left with its run going on."""
    site = Site("s1", ADDRESS, "life-1", "r1", number)
    deadline_s = trio.current_time() + limit_s
    request = SimpleNamespace(deadline_s=deadline_s, is_idempotent=is_idempotent)
    return SimpleNamespace(site=site, plan=SimpleNamespace(request=request), runs_unread=True)


@pytest.fixture
async def events() -> EventLog:
    return EventLog("e1", Incarnation("life-1"), Clock(epoch_s=1e9))


@pytest.fixture
def peers() -> Peers:
    return Peers()


@pytest.fixture
async def make(peers: Peers, events: EventLog) -> Callable[[int], UnreadRuns]:
    return lambda max_pending: UnreadRuns(peers, events, Random(1), max_pending)  # type: ignore[arg-type]


def causes(events: EventLog) -> list[Any]:
    """Return why runs weren't cancelled."""
    found = [record for record in events.records() if record["name"] == "UnreadRunContinues"]
    return [record["fields"]["cause"] for record in found]


class TestBounds:
    async def test_number_is_bounded(
        self, nursery: trio.Nursery, autojump_clock: Any, make: Any, events: EventLog
    ) -> None:
        """Guards against tasks without bound while a VM that had many runs is silent."""
        runs = make(2)
        await nursery.start(runs.run)
        for number in range(3):
            runs.after_attempt(attempt_of(number), None)
        assert runs.pending == 2
        assert causes(events) == ["2 cancellations are in progress"]

    @pytest.mark.parametrize(
        ("time_left_s", "limit_s"),
        [(0.0, MIN_CANCEL_LIMIT_S), (10.0, 10.0), (300.0, MAX_CANCEL_LIMIT_S)],
    )
    async def test_time_is_bounded(
        self,
        nursery: trio.Nursery,
        autojump_clock: Any,
        make: Any,
        events: EventLog,
        time_left_s: float,
        limit_s: float,
    ) -> None:
        """Guards against a task that stays at a silent sidecar."""
        assert cancel_limit_s(time_left_s) == limit_s
        runs = make(2)
        await nursery.start(runs.run)
        runs.after_attempt(attempt_of(1, time_left_s), None)
        await trio.sleep(limit_s - 0.1)
        assert runs.pending == 1
        await trio.sleep(0.2)
        assert runs.pending == 0
        # A run whose time limit has passed has ended by itself.
        assert len(causes(events)) == (time_left_s > limit_s)


class TestCancellation:
    @pytest.mark.parametrize(
        "failure",
        [LinkCut("cut"), TooManyStreams("256 are open"), StreamEnded("it stops", 2009)],
    )
    async def test_is_sent_again_until_the_sidecar_has_read_it(
        self,
        nursery: trio.Nursery,
        autojump_clock: Any,
        make: Any,
        peers: Peers,
        failure: Exception,
    ) -> None:
        """Guards against a run that goes on since its cancellation was lost or not accepted."""
        peers.is_silent, peers.failures = False, [failure] * 3
        runs = make(2)
        await nursery.start(runs.run)
        runs.after_attempt(attempt_of(1), None)
        await trio.sleep(5.0)
        assert (len(peers.received), runs.pending) == (1, 0)

    async def test_reaches_a_sidecar_that_was_silent(
        self, nursery: trio.Nursery, autojump_clock: Any, make: Any, peers: Peers
    ) -> None:
        """Guards against a run that goes on after its caller left during a loss of contact."""
        runs = make(2)
        await nursery.start(runs.run)
        runs.after_attempt(attempt_of(1), None)
        await trio.sleep(8.0)
        peers.is_silent = False
        await trio.sleep(7.0)
        assert (len(peers.received), runs.pending) == (1, 0)


class TestDecision:
    @pytest.mark.parametrize(
        ("result", "is_idempotent", "is_expected"),
        [
            (None, False, True),
            (None, True, True),
            (ContactLost("cut"), False, True),
            (ContactLost("cut"), True, False),
            (ContactLost("a gap", is_protocol_error=True), True, True),
            (Failed(End()), False, False),
            (Rejected(Refused()), False, False),
            (IncarnationGone("s1"), False, False),
        ],
    )
    async def test_only_runs_that_nobody_will_read(
        self, result: Any, is_idempotent: bool, is_expected: bool
    ) -> None:
        """Guards against a run that goes on for nobody, and one that is cancelled although it is
        read later."""
        attempt = attempt_of(1, is_idempotent=is_idempotent)
        assert is_given_up(attempt, result) is is_expected
        attempt.runs_unread = False
        assert not is_given_up(attempt, result)


class TestStop:
    async def test_waits_for_a_cancellation_in_progress(
        self, nursery: trio.Nursery, autojump_clock: Any, make: Any, peers: Peers
    ) -> None:
        """Guards against a stop of the entry that loses the cancellations of its last requests."""
        peers.is_silent = False
        runs = make(2)
        await nursery.start(runs.run)
        runs.after_attempt(attempt_of(1), None)
        await runs.stop()
        assert len(peers.received) == 1

    async def test_isnt_held_up_by_a_silent_sidecar(
        self, autojump_clock: Any, make: Any, events: EventLog
    ) -> None:
        """Guards against a stop that waits for a sidecar that doesn't answer."""
        runs = make(2)
        async with trio.open_nursery() as nursery:
            await nursery.start(runs.run)
            runs.after_attempt(attempt_of(1), None)
            begin_s = trio.current_time()
            await runs.stop()
        assert trio.current_time() - begin_s <= STOP_LIMIT_S
        assert (runs.pending, len(causes(events))) == (0, 1)

    @pytest.mark.parametrize("is_cancelled", [False, True])
    async def test_request_may_outlive_the_service(
        self, autojump_clock: Any, make: Any, events: EventLog, is_cancelled: bool
    ) -> None:
        """Guards against an unexpected error of a request that ends after the service: no task can
        be started in a nursery that has ended."""
        runs = make(2)
        async with trio.open_nursery() as nursery:
            await nursery.start(runs.run)
            if is_cancelled:
                nursery.cancel_scope.cancel()
            else:
                await runs.stop()
        runs.after_attempt(attempt_of(1), None)
        assert (runs.pending, causes(events)) == (0, ["the entry stops"])


class TestOwnStream:
    """The caller leaves, or the limit passes, while the run's own stream is open but silent."""

    async def test_cancellation_may_be_lost_with_the_link(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """Guards against a run that may not be repeated and goes on for nobody, since the link was
        cut before the cancellation that was queued on it arrived."""

        async def script(sidecar: Any, end: Any, message: Any) -> None:
            if isinstance(message, Reserve):
                await sidecar.accept(end, message)
                sidecar.ran.append(own_of(message))
                await trio.sleep(2.0)
                end.cut()

        for sidecar in (world.s1, world.s2):
            sidecar.scripts = [script] * 50
        with trio.move_on_after(1.0):
            await world.ask(world.booking(prompt_tokens=5_000))
        await trio.sleep(5.0)
        assert world.ran() == 1
        assert len(world.s1.of(Cancel) + world.s2.of(Cancel)) == 1

    @pytest.mark.parametrize("is_idempotent", [False, True])
    async def test_refusal_doesnt_wait_for_room_on_the_link(
        self, world: Any, autojump_clock: Any, is_idempotent: bool
    ) -> None:
        """Guards against a refusal a second after the time limit: what is queued on the link to a
        VM that has lost power leaves no room for the cancellation."""

        async def wait_for_room(message: Any) -> None:
            await trio.sleep(5.0)

        async def script(sidecar: Any, end: Any, message: Any) -> None:
            await sidecar.accept(end, message)
            end._stream.send = wait_for_room
            await end.receive()

        for sidecar in (world.s1, world.s2):
            sidecar.scripts = [script]
        limits = {"prompt_tokens": 5_000, "time_limit_s": 2.0}
        request = world.request(**limits) if is_idempotent else world.booking(**limits)
        begin_s = trio.current_time()
        refusal = await refusal_of(world, request)
        assert refusal.kind.code == "time-limit-passed"
        assert trio.current_time() - begin_s <= 2.25
        await trio.sleep(2.0)
        assert len(world.s1.of(Cancel) + world.s2.of(Cancel)) == 1
