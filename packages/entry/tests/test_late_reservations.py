"""Reservations that a silent sidecar grants late, while other candidates are asked."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing

from sassafrastally.entry.settings import EntrySettings
from sassafrastally.serving.outcome import Outcome
from sassafrastally.testing.sidecar_scripts import (
    THREE_EVENTS,
    cut_before_commit,
    hang,
    own_of,
    refusal_of,
    refusing,
    silent,
    silent_for,
)
from sassafrastally.wire.messages import Cancel, Commit, Refused, Reserve, Reserved


async def refuse_commit(sidecar: Any, end: Any, reserve: Reserve) -> None:
    """Grant the reservation and refuse the commit, which proves that nothing ran."""
    await end.send(Reserved(*own_of(reserve), sidecar.incarnation, 0.1, 0.5, 5.0))
    await end.receive()
    await trio.sleep(1.0)
    await end.send(Refused(*own_of(reserve), "no-replica"))


def play(world: Any, first: Any, *others: Any) -> None:
    """Let the sidecar that is asked first play one script, and the other one the rest."""
    names: list[str] = []
    rest = list(others)

    async def script(sidecar: Any, end: Any, message: Any) -> None:
        if not isinstance(message, Reserve):
            await type(sidecar).behave(sidecar, end, message)
            return
        names.append(sidecar.vm)
        if sidecar.vm == names[0]:
            await first(sidecar, end, message)
            return
        played = rest.pop(0) if len(rest) > 1 else rest[0]
        await played(sidecar, end, message)

    for sidecar in (world.s1, world.s2):
        sidecar.scripts = [script] * 50


def requests_of(world: Any) -> list[Any]:
    """Return requests that reserve before they commit."""
    return [world.request(prompt_tokens=5_000), world.booking()]


def all_of(world: Any, kind: type[Any]) -> list[Any]:
    return [*world.s1.of(kind), *world.s2.of(kind)]


class TestLateReservations:
    @pytest.fixture
    def entry_settings(self) -> EntrySettings:
        return EntrySettings(routing_policy="round-robin", retry_burst=0.0)

    @pytest.mark.parametrize("which", [0, 1], ids=["prompt", "booking"])
    @pytest.mark.parametrize("silence_s", [2.1, 3.5])
    @pytest.mark.parametrize(
        "other",
        [
            pytest.param(refusing("overloaded"), id="refuses"),
            pytest.param(refusing("busy", measured=2.0), id="is busy"),
            pytest.param(cut_before_commit, id="is cut off"),
            pytest.param(silent, id="is silent too"),
            pytest.param(refuse_commit, id="refuses the commit"),
        ],
    )
    async def test_late_reservation_is_used_if_no_other_is_granted(
        self, world: Any, autojump_clock: Any, other: Any, silence_s: float, which: int
    ) -> None:
        """Guards against a refusal although a sidecar that was silent for two seconds has room: its
        reservation was given back before another sidecar had granted one."""
        play(world, silent_for(silence_s), other)
        assert (await world.ask(requests_of(world)[which])).body == THREE_EVENTS
        assert world.ran() == 1

    @pytest.mark.parametrize("which", [0, 1], ids=["prompt", "booking"])
    async def test_late_reservation_of_the_only_sidecar(
        self, world: Any, autojump_clock: Any, which: int
    ) -> None:
        """As above, without any other sidecar."""
        del world.sidecars["s2"]
        world.s1.scripts = [silent_for(2.5)]
        assert (await world.ask(requests_of(world)[which])).body == THREE_EVENTS
        assert world.ran() == 1

    @pytest.mark.parametrize("which", [0, 1], ids=["prompt", "booking"])
    async def test_other_sidecar_is_used_after_two_seconds(
        self, world: Any, autojump_clock: Any, which: int
    ) -> None:
        """Guards against waits for a dead sidecar while another one has room."""
        play(world, silent, type(world.s1).behave)
        started_s = trio.current_time()
        assert (await world.ask(requests_of(world)[which])).body == THREE_EVENTS
        assert trio.current_time() - started_s < 2.5
        await trio.testing.wait_all_tasks_blocked()  # The cancellation is read.
        assert len(all_of(world, Cancel)) == 1

    @pytest.mark.parametrize("which", [0, 1], ids=["prompt", "booking"])
    async def test_two_reservations_make_one_commit(
        self, world: Any, autojump_clock: Any, which: int
    ) -> None:
        """Guards against two runs of one booking: the late reservation is granted while another
        sidecar has the commit and hasn't answered."""

        async def slow(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await sidecar.accept(end, reserve)
            await trio.sleep(3.0)
            await sidecar.answer(end, reserve)

        play(world, silent_for(2.5), slow)
        assert (await world.ask(requests_of(world)[which])).body == THREE_EVENTS
        assert world.ran() == 1
        assert len(all_of(world, Commit)) == 1

    async def test_unknown_outcome_keeps_the_late_reservation_from_its_commit(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """Guards against a second run of a booking whose first one may go on."""
        play(world, silent_for(2.5), hang)
        await refusal_of(world, world.booking(time_limit_s=9.0))
        assert len(all_of(world, Commit)) == 1
        assert world.ran() == 0

    async def test_silence_without_end_is_bounded_by_the_time_limit(
        self, world: Any, autojump_clock: Any
    ) -> None:
        play(world, silent, silent)
        started_s = trio.current_time()
        refusal = await refusal_of(world, world.booking(time_limit_s=9.0))
        assert refusal.outcome == Outcome.NOT_RUN
        assert trio.current_time() - started_s <= 9.01
        await trio.testing.wait_all_tasks_blocked()  # The cancellation is read.
        assert len(all_of(world, Cancel)) == 2


def failing_after(work_s: float, tokens: int = 0) -> Any:
    """Return a script that commits the attempt and reports after a while that its engine failed."""

    async def script(sidecar: Any, end: Any, reserve: Reserve) -> None:
        await sidecar.accept(end, reserve)
        await trio.sleep(work_s)
        own = own_of(reserve)
        await end.send(*sidecar.chunks(own, sidecar.words[:tokens]))
        await end.send(sidecar.end(own, tokens, "failed", code="backend-failed"))

    return script


def granted_once(silence_s: float) -> Any:
    """Return a script that grants a first reservation late, and has no room for another one."""
    has_room = True

    async def script(sidecar: Any, end: Any, reserve: Reserve) -> None:
        nonlocal has_room
        if not has_room:
            await refusing("memory-full")(sidecar, end, reserve)
            return
        has_room = False
        await trio.sleep(silence_s)
        await sidecar.behave(end, reserve)

    return script


class TestFailingCommit:
    """Late reservations that are granted while another sidecar has the commit, which fails."""

    @pytest.mark.parametrize("work_s", [0.7, 2.0])
    async def test_granted_reservation_is_used_for_the_retry(
        self, world: Any, autojump_clock: Any, work_s: float
    ) -> None:
        """Guards against a refusal although a sidecar has reserved room: the reservation was given
        back to ask for a new one, for which there is no room any more."""
        play(world, granted_once(2.5), failing_after(work_s))
        assert (await world.ask(world.request(prompt_tokens=5_000))).body == THREE_EVENTS
        assert world.ran() == 1

    async def test_other_sidecars_tokens_are_not_repeated(
        self, world: Any, autojump_clock: Any
    ) -> None:
        """Guards against tokens that the caller gets twice: the reservation was asked for before
        the other sidecar's tokens were sent."""
        play(world, silent_for(2.5), failing_after(2.0, tokens=1))
        request = world.request(prompt_tokens=5_000, max_output_tokens=5_000)
        assert (await world.ask(request)).body == THREE_EVENTS

    async def test_lapsed_reservation_is_not_used(self, world: Any, autojump_clock: Any) -> None:
        """Guards against a commit that the sidecar refuses, which costs another retry."""
        play(world, silent_for(2.5), failing_after(6.0))
        assert (await world.ask(world.request(prompt_tokens=5_000))).body == THREE_EVENTS
        assert len(all_of(world, Commit)) == 2
        assert len(all_of(world, Reserve)) == 3

    async def test_booking_is_not_run_twice(self, world: Any, autojump_clock: Any) -> None:
        """Guards against a second commit of a request that may not be repeated."""
        play(world, silent_for(2.5), failing_after(2.0))
        await refusal_of(world, world.booking())
        assert len(all_of(world, Commit)) == 1
