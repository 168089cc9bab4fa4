"""Servers that fall silent for a while, without an entry between them and their caller."""

from __future__ import annotations

from itertools import pairwise
from random import Random
from typing import NamedTuple

import h11
import pytest
import trio

from sassafrastally.proxy.body_framing import BodyFraming
from sassafrastally.proxy.http_stream import HttpStream, connect
from sassafrastally.stand_ins.caller_requests import exchange_on, request_fields
from sassafrastally.stand_ins.platform_fleet import platform_fleet
from sassafrastally.stand_ins.silence import SilencePlace
from sassafrastally.testing.virtual_network import VirtualNetwork

EVENTS = 6
PROMPT = f"1000,{34 * EVENTS}"
SILENCE_S = 0.6
PLACES = [
    (SilencePlace.BEFORE_HEADER, 0),
    (SilencePlace.BEFORE_PART, 0),
    (SilencePlace.BEFORE_PART, 2),
    (SilencePlace.INSIDE_PART, 2),
]


class Piece(NamedTuple):
    """Bytes that a caller received, and when."""

    at_s: float
    data: bytes


@pytest.fixture
async def servers(autojump_clock):
    """An engine and a plain server, on a network and a clock that a busy machine doesn't delay."""
    trio.socket.set_custom_socket_factory(VirtualNetwork(Random(1)))
    async with platform_fleet() as fleet:
        yield await fleet.add_replica("engine-1"), await fleet.add_replica("desk-1", "desk")


async def read_pieces(replica, target: str, prompt: str | None = None) -> list[Piece]:
    """Return what a caller gets for one request, until the connection has been quiet for a while.

    The first piece is empty and has the time at which the request was sent.
    """
    stream = await connect(replica.address, 1.0)
    fields = request_fields({"Content-Length": "0"}, prompt)
    head = [f"POST {target} HTTP/1.1", *(f"{name}: {fields[name]}" for name in fields), "", ""]
    await stream.send_all("\r\n".join(head).encode())
    pieces = [Piece(trio.current_time(), b"")]
    with trio.move_on_after(1.5 * SILENCE_S) as scope:
        while data := await stream.receive_some():
            pieces.append(Piece(trio.current_time(), data))
            scope.deadline = trio.current_time() + 1.5 * SILENCE_S
    await trio.aclose_forcefully(stream)
    return pieces


def before_silence(pieces: list[Piece]) -> bytes:
    """Return what came before the longest pause, which lasted as long as the silence."""
    pauses = [later.at_s - earlier.at_s for earlier, later in pairwise(pieces)]
    assert SILENCE_S - 0.1 < max(pauses) < SILENCE_S + 0.3
    longest = pauses.index(max(pauses))
    return b"".join(piece.data for piece in pieces[: longest + 1])


class TestSilenceAtAPlace:
    """Responses that each stop once at a place."""

    @pytest.mark.parametrize(("place", "part_number"), PLACES)
    @pytest.mark.parametrize("framing", BodyFraming)
    async def test_stream_stops_there_and_is_whole(
        self, autojump_clock, servers, place, part_number, framing
    ):
        """Guards against a silence elsewhere, and against a stand-in that loses bytes by it."""
        engine, _ = servers
        engine.framing = framing
        engine.silence.place, engine.silence.part_number = place, part_number
        engine.silence.duration_s = SILENCE_S
        pieces = await read_pieces(engine, "/note/x", PROMPT)
        earlier = before_silence(pieces)
        assert bool(earlier) is (place is not SilencePlace.BEFORE_HEADER)
        assert earlier.count(b"id: ") >= part_number
        is_inside = place is SilencePlace.INSIDE_PART
        assert earlier.endswith(b"\n") is not is_inside or not earlier
        whole = b"".join(piece.data for piece in pieces)
        assert whole.count(b"\ndata: ") == EVENTS

    @pytest.mark.parametrize("place", SilencePlace)
    async def test_plain_response_stops_there_and_is_whole(self, autojump_clock, servers, place):
        """Guards against a silence that applies to streams only."""
        _, desk = servers
        desk.silence.place, desk.silence.duration_s = place, SILENCE_S
        pieces = await read_pieces(desk, "/look/x")
        earlier = before_silence(pieces)
        is_header_sent = place is not SilencePlace.BEFORE_HEADER
        assert (b"\r\n\r\n" in earlier) is is_header_sent
        assert (b"{" in earlier) is (place is SilencePlace.INSIDE_PART)
        assert b"".join(piece.data for piece in pieces).endswith(b"}")


class TestSilenceFromAMoment:
    """Servers that fall silent on all connections at once."""

    async def call(self, replica) -> float:
        """Send a request and return how long its whole answer took."""
        begin_s = trio.current_time()
        connection = HttpStream(await connect(replica.address, 1.0), h11.CLIENT)
        prompt = PROMPT if replica.engine else None
        answer = await exchange_on(connection, "POST", "/x/y", request_fields(prompt=prompt), b"")
        await connection.close()
        assert answer.is_whole
        return trio.current_time() - begin_s

    @pytest.mark.parametrize("cut_share", [0.0, 0.5])
    async def test_all_requests_are_answered_once_it_ends(self, autojump_clock, servers, cut_share):
        """Guards against a silence that ends a response, or lets a connection go on meanwhile."""
        engine, desk = servers
        for replica in (engine, desk):
            replica.silence.begin(SILENCE_S, cut_share=cut_share)
        took_s = []

        async def note(replica) -> None:
            took_s.append(await self.call(replica))

        async with trio.open_nursery() as nursery:
            for replica in (engine, engine, desk, desk):
                nursery.start_soon(note, replica)
        assert min(took_s) >= SILENCE_S - 0.1
        assert max(took_s) < SILENCE_S + 0.5
        assert await self.call(desk) < SILENCE_S / 2

    async def test_some_connections_go_on(self, autojump_clock, servers):
        """Guards against a share of silent connections that isn't kept."""
        _, desk = servers
        desk.silence.begin(SILENCE_S, one_in=2)
        assert await self.call(desk) >= SILENCE_S - 0.1
        desk.silence.begin(SILENCE_S, one_in=2)
        assert await self.call(desk) < SILENCE_S / 2

    @pytest.mark.parametrize("includes_reports", [True, False])
    async def test_reports_are_silent_too_unless_excluded(
        self, autojump_clock, servers, includes_reports
    ):
        """Guards against reports that always, or never, tell of a silence."""
        engine, _ = servers
        engine.silence.includes_reports = includes_reports
        engine.silence.begin(SILENCE_S)
        begin_s = trio.current_time()
        connection = HttpStream(await connect(engine.address, 1.0), h11.CLIENT)
        answer = await exchange_on(connection, "GET", "/report", request_fields(), b"")
        await connection.close()
        assert answer.status == 200
        assert (trio.current_time() - begin_s > SILENCE_S / 2) is includes_reports

    async def test_simulated_time_passes(self, autojump_clock):
        """Guards against silences that tests on a mock clock can't use."""
        trio.socket.set_custom_socket_factory(VirtualNetwork(Random(1)))
        async with platform_fleet() as fleet:
            desk = await fleet.add_replica("desk-1", "desk")
            desk.silence.begin(100.0)
            assert 99.0 < await self.call(desk) < 101.0
