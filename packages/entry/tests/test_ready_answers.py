"""Answers that are ready when a time limit passes while the process doesn't run."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import pytest
import trio

from sassafrastally.core import Address, Service, time_limit
from sassafrastally.entry.span_member import Imports, Member, SegmentPlacement
from sassafrastally.serving.outcome import Outcome
from sassafrastally.serving.spans import Segment
from sassafrastally.testing.sidecar_scripts import THREE_EVENTS, own_of, refusal_of
from sassafrastally.wire.messages import Chunk, Commit, Refused, Reserve, Reserved

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LIMIT_S = 5.0
LAGS_S = [0.0, 0.01, 0.05, 0.25, 3.0]
"""How late the process runs after the limit."""


def answer_then_pause(clock: Any, pause_s: float) -> Any:
    """Return a script whose answer is in the entry's socket when the process pauses."""

    async def script(sidecar: Any, end: Any, reserve: Reserve) -> None:
        await sidecar.accept(end, reserve)
        await sidecar.answer(end, reserve)
        clock.jump(pause_s)

    return script


class TestTimeLimitOfARequest:
    @pytest.mark.parametrize("is_streamed", [True, False])
    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_ready_answer_is_delivered(
        self, world: Any, autojump_clock: Any, lag_s: float, is_streamed: bool
    ) -> None:
        """Guards against a complete answer that is dropped for a limit found in the same turn."""
        script = answer_then_pause(autojump_clock, LIMIT_S + lag_s)
        world.s1.scripts, world.s2.scripts = [script], [script]
        request = world.request(time_limit_s=LIMIT_S, is_streamed=is_streamed)
        assert (await world.ask(request)).body == THREE_EVENTS
        assert world.ran() == 1

    @pytest.mark.parametrize("is_streamed", [True, False])
    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_ready_answer_of_many_chunks_is_delivered(
        self, world: Any, autojump_clock: Any, lag_s: float, is_streamed: bool
    ) -> None:
        """Guards against an answer of which only the chunks that are relayed in the first turns
        after the limit are delivered."""
        words = tuple(f"w{number}" for number in range(100))
        for sidecar in (world.s1, world.s2):
            sidecar.scripts = [answer_then_pause(autojump_clock, LIMIT_S + lag_s)]
            sidecar.words = words
        answer = await world.ask(world.request(time_limit_s=LIMIT_S, is_streamed=is_streamed))
        assert answer.body == b"".join(world.s1.chunks(("", 0), words)[n].data for n in range(100))

    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_ready_answer_is_delivered_by_an_entry_that_hurries(
        self, world: Any, autojump_clock: Any, entry_settings: Any, lag_s: float
    ) -> None:
        """Guards against a complete answer that is dropped at the end of the drain."""
        hurried = trio.Event()

        async def script(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await sidecar.accept(end, reserve)
            world.kernel.hurrying.set()
            await trio.sleep(1.0)
            await sidecar.answer(end, reserve)
            autojump_clock.jump(entry_settings.stop_limit_s - 1.0 + lag_s)
            hurried.set()

        world.s1.scripts, world.s2.scripts = [script], [script]
        assert (await world.ask(world.request())).body == THREE_EVENTS
        assert hurried.is_set()

    async def test_limit_acts_when_nothing_is_ready(self, world: Any, autojump_clock: Any) -> None:
        async def pause(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await sidecar.accept(end, reserve)
            autojump_clock.jump(LIMIT_S + 1.0)
            await end.receive()

        world.s1.scripts, world.s2.scripts = [pause], [pause]
        started_s = trio.current_time()
        refusal = await refusal_of(world, world.request(time_limit_s=LIMIT_S))
        assert (refusal.kind.code, refusal.outcome) == ("time-limit-passed", Outcome.UNKNOWN)
        assert trio.current_time() - started_s <= LIMIT_S + 1.0 + 0.25


class TestReservation:
    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_ready_reservation_is_used(
        self, world: Any, autojump_clock: Any, entry_settings: Any, lag_s: float
    ) -> None:
        """Guards against a sound sidecar that counts as unreachable since the entry read late."""

        async def reserve_then_pause(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await end.send(Chunk("f" * 32, 1, 0, 0, b"late chunk of another request"))
            await end.send(Reserved(*own_of(reserve), sidecar.incarnation, 0.1, 0.5, 5.0))
            autojump_clock.jump(entry_settings.reserve_timeout_s + lag_s)
            await end.receive()
            await end.body(reserve.body_size_bytes)
            await sidecar.answer(end, reserve)

        world.s1.scripts, world.s2.scripts = [reserve_then_pause], [reserve_then_pause]
        assert (await world.ask(world.request(prompt_tokens=50_000))).body == THREE_EVENTS
        assert len(world.s1.of(Reserve) + world.s2.of(Reserve)) == 1


class TestWorkPastTheLimit:
    """Messages that are ready once the limit has passed must not begin anything."""

    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_reservation_is_not_committed(
        self, world: Any, autojump_clock: Any, lag_s: float
    ) -> None:
        """Guards against a booking reported as perhaps made: it would be committed past its limit,
        when no sidecar runs it."""

        async def reserve_then_pause(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await end.send(Reserved(*own_of(reserve), sidecar.incarnation, 0.1, 0.5, 5.0))
            autojump_clock.jump(LIMIT_S + lag_s)
            await trio.sleep_forever()

        world.s1.scripts, world.s2.scripts = [reserve_then_pause], [reserve_then_pause]
        refusal = await refusal_of(world, world.booking(time_limit_s=LIMIT_S))
        assert (refusal.kind.code, refusal.outcome) == ("time-limit-passed", Outcome.NOT_RUN)
        assert not world.s1.of(Commit) + world.s2.of(Commit)

    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_no_attempt_begins(self, world: Any, autojump_clock: Any, lag_s: float) -> None:
        """Guards against a prompt that is sent to the next sidecar past its limit."""

        async def refuse_then_pause(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await end.send(Refused(*own_of(reserve), "no-room"))
            autojump_clock.jump(LIMIT_S + lag_s)
            await trio.sleep_forever()

        world.s1.scripts, world.s2.scripts = [refuse_then_pause], [refuse_then_pause]
        refusal = await refusal_of(world, world.request(time_limit_s=LIMIT_S))
        assert (refusal.kind.code, refusal.outcome) == ("time-limit-passed", Outcome.NOT_RUN)
        assert len(world.s1.of(Reserve) + world.s2.of(Reserve)) == 1

    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_segment_is_not_reserved(
        self, world: Any, autojump_clock: Any, lag_s: float
    ) -> None:
        """Guards against a segment reserved for a span that has given it up: the link
        was dialled before a pause."""
        peers = PausedPeers(world, autojump_clock, LIMIT_S + lag_s)
        async with member_of(peers, world.request()) as member:
            assert await member.reserve(0.0, Imports()) is None
        assert not world.s1.of(Reserve)

    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_segment_is_not_committed(
        self, world: Any, autojump_clock: Any, lag_s: float
    ) -> None:
        """Guards against a segment that is computed past the limit of its request."""
        peers = PausedPeers(world, autojump_clock, 0.0)
        request = world.request(time_limit_s=LIMIT_S)
        async with (
            time_limit(request.deadline_s) as limit,
            member_of(peers, request) as member,
        ):
            assert isinstance(await member.reserve(0.0, Imports()), Reserved)
            autojump_clock.jump(LIMIT_S + lag_s)
            await member.compute()
        assert limit.scope.cancelled_caught
        assert not world.s1.of(Commit)


class PausedPeers:
    """Links that are dialled before the process pauses."""

    def __init__(self, world: Any, clock: Any, pause_s: float) -> None:
        self._peers = world.kernel.get("peers", Service)
        self._clock = clock
        self._pause_s = pause_s

    async def link_to(self, vm: str, address: Address) -> Any:
        link = await self._peers.link_to(vm, address)
        self._clock.jump(self._pause_s)
        return link


def member_of(peers: Any, request: Any) -> Member:
    """Return a member of a span whose segment isn't reserved yet."""
    place = SegmentPlacement("a" * 32, 1, "s1", Address("10.0.0.1", 7300), 1, LIMIT_S)
    return Member(peers, place, Segment("s1", 10, 10), request)


class TestWorkPastTheStopLimit:
    """As above, for the limit that a second stop signal sets."""

    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_reservation_is_not_committed(
        self, world: Any, autojump_clock: Any, entry_settings: Any, lag_s: float
    ) -> None:
        """Guards against a booking reported as perhaps made, though its entry stops unrun."""

        async def reserve_then_pause(sidecar: Any, end: Any, reserve: Reserve) -> None:
            world.kernel.hurrying.set()
            await trio.sleep(1.0)
            await end.send(Reserved(*own_of(reserve), sidecar.incarnation, 0.1, 0.5, 5.0))
            autojump_clock.jump(entry_settings.stop_limit_s - 1.0 + lag_s)
            await trio.sleep_forever()

        world.s1.scripts, world.s2.scripts = [reserve_then_pause], [reserve_then_pause]
        refusal = await refusal_of(world, world.booking())
        assert (refusal.kind.code, refusal.outcome) == ("stopping", Outcome.NOT_RUN)
        assert not world.s1.of(Commit) + world.s2.of(Commit)

    @pytest.mark.parametrize("lag_s", LAGS_S)
    async def test_no_attempt_begins(
        self, world: Any, autojump_clock: Any, entry_settings: Any, lag_s: float
    ) -> None:
        """Guards against a prompt that is sent to the next sidecar by an entry that ends."""

        async def refuse_then_pause(sidecar: Any, end: Any, reserve: Reserve) -> None:
            world.kernel.hurrying.set()
            await trio.sleep(1.0)
            await end.send(Refused(*own_of(reserve), "no-room"))
            autojump_clock.jump(entry_settings.stop_limit_s - 1.0 + lag_s)
            await trio.sleep_forever()

        world.s1.scripts, world.s2.scripts = [refuse_then_pause], [refuse_then_pause]
        refusal = await refusal_of(world, world.request())
        assert (refusal.kind.code, refusal.outcome) == ("stopping", Outcome.NOT_RUN)
        assert len(world.s1.of(Reserve) + world.s2.of(Reserve)) == 1


class TestAnswerThatEndsWithItsLimit:
    async def test_complete_answer_is_not_followed_by_a_failure(
        self, world: Any, autojump_clock: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an answer that is complete and failed at once: its execution is cancelled
        between its end mark and its own end."""

        @asynccontextmanager
        async def admitted(*_: Any) -> AsyncIterator[Any]:
            yield Settled()
            next(iter(world.path._open.values())).limit.scope.cancel()
            await trio.lowlevel.checkpoint()

        monkeypatch.setattr("sassafrastally.entry.path.admitted", admitted)
        async with world.path.open(world.request(time_limit_s=LIMIT_S)) as answer:
            assert b"".join([data async for data in answer]) == THREE_EVENTS
            assert answer.end is not None
            assert answer.refusal is None


class Settled:
    """An admission that discards what was used."""

    def settle(self, actual_tokens: int) -> None:
        """Do nothing."""
