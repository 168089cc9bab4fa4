"""Cancellations of runs that nobody reads any more, as tasks with bounds."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest
import trio

from sassafrastally.core import Address, Clock, EventLog, Incarnation
from sassafrastally.entry.site import Site
from sassafrastally.entry.unread_runs import CANCEL_LIMIT_S, UnreadRuns
from sassafrastally.wire.link import LinkRefused

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.wire.messages import Message

ADDRESS = Address("127.0.0.1", 1)


class Peers:
    """Links to one sidecar, which is dialled without end while it is silent."""

    def __init__(self) -> None:
        self.is_silent = True
        self.received: list[Message] = []
        self.dials = 0

    async def link_to(self, vm: str, address: Address) -> Any:
        self.dials += 1
        if self.is_silent:
            await trio.sleep(5.0)
            raise LinkRefused("no answer in 5 s")
        return SimpleNamespace(open_stream=lambda: self)

    async def send(self, message: Message) -> None:
        await trio.lowlevel.checkpoint()
        self.received.append(message)

    async def __aenter__(self) -> Peers:
        return self

    async def __aexit__(self, *_: object) -> None:
        return


def attempt_of(number: int, limit_s: float = 30.0) -> Any:
    """Return an attempt that was left with its run going on."""
    site = Site("s1", ADDRESS, "life-1", "r1", number)
    request = SimpleNamespace(deadline_s=trio.current_time() + limit_s)
    return SimpleNamespace(site=site, plan=SimpleNamespace(request=request), runs_unread=True)


@pytest.fixture
async def events() -> EventLog:
    return EventLog("e1", Incarnation("life-1"), Clock(epoch_s=1e9))


@pytest.fixture
def peers() -> Peers:
    return Peers()


@pytest.fixture
async def make(peers: Peers, events: EventLog) -> Callable[[int], UnreadRuns]:
    return lambda max_pending: UnreadRuns(peers, events, max_pending)  # type: ignore[arg-type]


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

    async def test_time_is_bounded(
        self, nursery: trio.Nursery, autojump_clock: Any, make: Any, events: EventLog
    ) -> None:
        """Guards against a task that stays at a silent sidecar."""
        runs = make(2)
        await nursery.start(runs.run)
        runs.after_attempt(attempt_of(1, limit_s=0.0), None)
        await trio.sleep(CANCEL_LIMIT_S + 0.1)
        assert runs.pending == 0
        assert causes(events) == []


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
        assert trio.current_time() - begin_s <= CANCEL_LIMIT_S
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
